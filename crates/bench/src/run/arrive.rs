//! Arrivals of callers' requests.

use rand::Rng as _;

use super::{
    Event, FAILED_ZONE, OUTAGE_S, OVERLOAD_FACTOR, OVERLOAD_S, OVERLOAD_WORKSPACE, RECOVERY_S,
    RETURN_S, Request, Run,
};
use crate::fleet::micros;
use crate::gate::Gate;
use crate::record::Record;

impl Run {
    pub(super) fn schedule_arrival(&mut self, workspace: usize, service: usize) {
        let overloaded = workspace == OVERLOAD_WORKSPACE && self.second() >= OVERLOAD_S;
        let factor = if overloaded { OVERLOAD_FACTOR } else { 1.0 };
        let rate = self.fleet.rates[workspace][service] * factor;
        let random: f64 = self.rng.random::<f64>().max(1e-12);
        let at_us = self.now_us + micros(-random.ln() / rate * 1_000.0).max(1);
        self.schedule(at_us, Event::Arrive { workspace, service });
    }

    pub(super) fn arrive(
        &mut self,
        workspace: usize,
        service: usize,
        gates: &mut [Gate],
        record: &mut Record,
    ) {
        let random = self.rng.random();
        let mut gate = self.fleet.entry(workspace, random);
        if gate == FAILED_ZONE && !self.is_entry_restored() {
            gate = self.fleet.nearest[gate][1];
        }
        let within_rate = self.buckets[workspace].take(self.now_us);
        if !within_rate && self.policy.is_limited() {
            return;
        }
        if let Some(now) = self.arrivals.back_mut() {
            now[service][gate] += 1.0;
        }
        self.requests.push(Request {
            workspace,
            service,
            gate,
            target_zone: gate,
            arrived_us: self.now_us,
            sent_us: self.now_us,
            within_rate,
            attempts: 0,
            broken: 0,
            tried: Vec::new(),
        });
        self.dispatch(self.requests.len() - 1, gates, record);
    }

    /// Returns whether a caller of the failed zone uses that zone's entry VMs: all callers leave at
    /// the outage and return gradually through lookups after the recovery.
    fn is_entry_restored(&mut self) -> bool {
        let elapsed_s = self.second().saturating_sub(RECOVERY_S);
        let restored =
            self.second() >= RECOVERY_S && self.rng.random_range(0..RETURN_S) < elapsed_s;
        self.second() < OUTAGE_S || restored
    }
}
