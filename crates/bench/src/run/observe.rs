//! Periodic work: queue expiry, faults, measurements and planning.

use pick::spill::SHARE_OF_SHIFT_CAP;
use plan::{Demand, Grant, Input, Observation, decide};

use super::{
    DRAIN_S, DRAINED_ZONE, Event, FAILED_ZONE, FALSE_HEALTH_S, FALSE_HEALTH_ZONE, HEALTH_DELAY_S,
    LEASE_TERM_S, MEASUREMENT_S, OUTAGE_S, RECOVERY_S, Reply, Run, SECOND_US, TICK_US,
};
use crate::backend::Backend;
use crate::fleet::number;
use crate::gate::{Evidence, Gate};
use crate::policy::Policy;
use crate::record::{Completion, Record};

impl Run {
    pub(super) fn tick(&mut self, gates: &mut [Gate], record: &mut Record) {
        self.schedule(self.now_us + TICK_US, Event::Tick);
        let now = self.moment();
        for gate in gates.iter_mut() {
            let mut expired = Vec::new();
            let queues = gate.queues.iter_mut().flatten();
            queues.for_each(|queue| queue.expire(now, &mut expired));
            for id in expired {
                self.finish(id, Completion::Refused, record);
            }
            for service in 0..self.fleet.text.services.len() {
                for zone in 0..self.fleet.text.zones.len() {
                    self.start_waiting(service, zone, gate, record);
                }
            }
        }
        let runs = |b: &Backend| b.zone == DRAINED_ZONE && !b.running.is_empty();
        if self.second() >= DRAIN_S && self.backends.iter().any(runs) {
            self.last_busy_us = self.now_us;
        }
        if self.now_us.is_multiple_of(SECOND_US) {
            self.each_second(gates, record);
        }
    }

    fn each_second(&mut self, gates: &mut [Gate], record: &mut Record) {
        self.apply_faults();
        self.backends
            .iter_mut()
            .for_each(|b| b.report(HEALTH_DELAY_S));
        if self.policy == Policy::Teaseldoor {
            self.make_plan(gates);
        }
        let window_s = self.fleet.text.steering.shift_window_s;
        if self.second().is_multiple_of(window_s) {
            let max_percent = self.shifted_percent();
            record.shifted_percent = record.shifted_percent.max(max_percent);
        }
        let zero = vec![vec![0.0; self.fleet.text.zones.len()]; self.fleet.text.services.len()];
        self.arrivals.push_back(zero);
        if self.arrivals.len() > MEASUREMENT_S + 1 {
            self.arrivals.pop_front();
        }
    }

    fn apply_faults(&mut self) {
        let second = self.second();
        if second == FALSE_HEALTH_S {
            let target = |b: &&mut Backend| b.zone == FALSE_HEALTH_ZONE && b.service == 0;
            self.backends
                .iter_mut()
                .find(target)
                .into_iter()
                .for_each(|b| b.false_health = true);
        }
        if second == DRAIN_S {
            self.fleet.text.zones[DRAINED_ZONE].drain = true;
        }
        for server in 0..self.backends.len() {
            if self.backends[server].zone != FAILED_ZONE {
                continue;
            }
            if second == OUTAGE_S {
                for request in self.backends[server].crash() {
                    self.reply(request, server, Reply::Failed);
                }
            } else if second == RECOVERY_S {
                self.backends[server].is_up = true;
                let service = &self.fleet.text.services[self.backends[server].service];
                self.cold_until_us[server] = self.now_us + service.cold_start_s * SECOND_US;
            }
        }
    }

    fn make_plan(&mut self, gates: &mut [Gate]) {
        let now = self.moment();
        let at = now.minus_ms(HEALTH_DELAY_S as u64 * 1_000);
        let measured_s = (self.arrivals.len() - 1).clamp(1, MEASUREMENT_S);
        let (mut demand, mut observations, mut grants) = (Vec::new(), Vec::new(), Vec::new());
        let grants_expired = (OUTAGE_S + LEASE_TERM_S..=RECOVERY_S).contains(&self.second());
        for (service, spec) in self.fleet.text.services.iter().enumerate() {
            for (zone, named) in self.fleet.text.zones.iter().enumerate() {
                let (service_name, zone_name) = (spec.name.clone(), named.name.clone());
                let latest = self.arrivals.iter().rev().skip(1).take(measured_s);
                let counted = latest.map(|s| s[service][zone]);
                let usual = self
                    .fleet
                    .rates
                    .iter()
                    .map(|rates| rates[service])
                    .sum::<f64>();
                let measured = counted.sum::<f64>() / number(measured_s);
                let early = self.second() < MEASUREMENT_S as u64;
                demand.push(Demand {
                    service: service_name.clone(),
                    zone: zone_name.clone(),
                    per_s: if early {
                        usual / number(gates.len())
                    } else {
                        measured
                    },
                    request_bytes: 2_000.0,
                    response_bytes: 20_000.0,
                    at,
                });
                let here = |b: &&Backend| (b.service, b.zone) == (service, zone);
                let servers = self.backends.iter().filter(here);
                let healthy = servers.clone().filter(|b| b.reported.is_some()).count();
                let healthy = u32::try_from(healthy).unwrap_or(u32::MAX);
                let own = gates.iter().map(|gate| gate.evidence[service][zone]);
                let own: Vec<Evidence> = own.collect();
                let observing = gates.iter().zip(&own).filter(|(_, own)| own.answered > 0);
                let usable = observing.map(|(gate, _)| gate.pools[service][zone].usable_slots());
                let usable = usable.min().unwrap_or(healthy * spec.slots);
                observations.push(Observation {
                    service: service_name.clone(),
                    zone: zone_name.clone(),
                    slots: healthy * spec.slots,
                    reachable_slots: usable,
                    service_time_ms: self.fleet.busy_ms[service],
                    answered: own.iter().map(|own| own.answered).sum(),
                    failed: own.iter().map(|own| own.failed).sum(),
                    at,
                });
                let is_failed = grants_expired && zone == FAILED_ZONE;
                grants.push(Grant {
                    service: service_name,
                    zone: zone_name,
                    slots: if is_failed {
                        0.0
                    } else {
                        number(servers.map(|b| b.slots).sum())
                    },
                });
            }
        }
        for gate in gates {
            gate.evidence
                .iter_mut()
                .flatten()
                .for_each(|own| *own = Evidence::default());
        }
        let plan = decide(Input {
            text: &self.fleet.text,
            demand: &demand,
            observations: &observations,
            grants: &grants,
            partitions: &[],
            pending: &[],
            shift_share: 1.0 - SHARE_OF_SHIFT_CAP,
            previous: self.plan.as_ref(),
            now,
        });
        self.plan = Some(plan);
    }

    /// Closes a window and returns the largest share of a service's traffic that changed zones since
    /// the previous window, in percent.
    fn shifted_percent(&mut self) -> f64 {
        let moved = |(old, new): (&Vec<Vec<f64>>, &Vec<Vec<f64>>)| -> f64 {
            let total: f64 = new.iter().flatten().sum();
            let rows = old.iter().zip(new).map(|(old, new)| {
                let (was, is): (f64, f64) = (old.iter().sum(), new.iter().sum());
                let pairs = old.iter().zip(new);
                let more = pairs.map(|(o, n)| (n / is.max(1.0) - o / was.max(1.0)).max(0.0));
                if was > 0.0 {
                    more.sum::<f64>() * is
                } else {
                    0.0
                }
            });
            rows.sum::<f64>() * 100.0 / total.max(1.0)
        };
        let percents = self.sent[0].iter().zip(&self.sent[1]).map(moved);
        let max_percent = percents.fold(0.0, f64::max);
        let mut zeroed = self.sent[1].clone();
        zeroed
            .iter_mut()
            .flatten()
            .flatten()
            .for_each(|count| *count = 0.0);
        self.sent[0] = std::mem::replace(&mut self.sent[1], zeroed);
        max_percent
    }
}
