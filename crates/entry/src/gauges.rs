//! Metrics that are values of now.

use std::time::Instant;

use steer::to_f64;
use steer::warmup::Warmth;

use crate::servers::Live;
use crate::state::State;

impl State {
    /// Sets the metrics that are values of now.
    pub fn set_gauges(&self) {
        let gauges = self.metrics.gauges();
        gauges.in_flight.set(whole(self.in_flight()));
        gauges.version.set(whole(self.version().0));
        gauges.lines_dropped.set(whole(event::dropped()));
        gauges
            .vms
            .set(whole(self.picture.borrow().vms.len() as u64));
        gauges
            .vms_known
            .set(whole(self.board.borrow().count() as u64));
        let age = self
            .read_at()
            .map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64());
        gauges.store_age.set(age);
        self.set_server_gauges();
        for (service, busy) in &*self.busy.borrow() {
            gauges.busy.with_label_values(&[service]).set(*busy);
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
            let count = |filter: &dyn Fn(&Live) -> bool| {
                let all = servers.of(service).iter();
                to_f64(all.filter(|live| filter(live)).count())
            };
            let ready = count(&|live| live.ready.get());
            gauges.servers.with_label_values(&[service]).set(ready);
            for belief in [Warmth::Suspect, Warmth::Cold] {
                let believed = count(&|live| live.belief(now) == belief);
                let labels = [service.as_str(), belief.name()];
                gauges.cold.with_label_values(&labels).set(believed);
            }
        }
    }
}

/// Returns a count in the type of the metrics.
fn whole(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
