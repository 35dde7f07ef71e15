//! Gauges, set when the metrics are read.

use std::time::Instant;

use steer::to_f64;
use steer::warmup::Warmth;

use crate::servers::Backend;
use crate::state::State;

impl State {
    /// Sets the gauges to the current values.
    pub fn set_gauges(&self) {
        let gauges = self.metrics.gauges();
        gauges.in_flight.set(to_i64(self.in_flight()));
        gauges.store_era.set(to_i64(self.position().era));
        gauges.version.set(to_i64(self.version().0));
        gauges.lines_dropped.set(to_i64(event::dropped()));
        gauges
            .vms
            .set(to_i64(self.fleet_report.borrow().vms.len() as u64));
        gauges
            .vms_known
            .set(to_i64(self.membership.borrow().count() as u64));
        let age = self
            .read_at()
            .map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64());
        gauges.store_age.set(age);
        self.set_server_gauges();
        for (service, utilization) in &*self.utilization.borrow() {
            gauges
                .utilization
                .with_label_values(&[service])
                .set(*utilization);
        }
        for (service, spill) in &*self.spills.borrow() {
            gauges
                .spill
                .with_label_values(&[service, "zone"])
                .set(spill.zone);
            gauges
                .spill
                .with_label_values(&[service, "region"])
                .set(spill.region);
        }
    }

    fn set_server_gauges(&self) {
        let gauges = self.metrics.gauges();
        let now = Instant::now();
        let servers = self.servers.borrow();
        for service in servers.services() {
            let count = |filter: &dyn Fn(&Backend) -> bool| {
                let all = servers.of(service).iter();
                to_f64(all.filter(|backend| filter(backend)).count())
            };
            let ready = count(&|backend| backend.takes_work());
            gauges.servers.with_label_values(&[service]).set(ready);
            let limited = count(&|backend| backend.limiter.borrow().per_s().is_some());
            gauges.limited.with_label_values(&[service]).set(limited);
            let pressured = count(&|backend| backend.is_under_pressure(now));
            let gauge = gauges.pressured.with_label_values(&[service]);
            gauge.set(pressured);
            for warmth in [Warmth::Suspect, Warmth::Cold] {
                let matching = count(&|backend| backend.warmth(now) == warmth);
                let labels = [service.as_str(), warmth.name()];
                gauges.cold.with_label_values(&labels).set(matching);
            }
        }
    }
}

/// Converts a count to the type of an integer gauge.
fn to_i64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
