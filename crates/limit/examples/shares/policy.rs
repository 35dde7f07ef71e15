//! What is compared: ways to hold a workspace to its rate over the whole fleet.

use limit::{Allowance, Bucket, Share};
use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::layout::{Cut, VMS, ZONES, round_trip_ms, zone_of};
use crate::traffic::{Arrival, Workload};

/// A way to decide on requests.
pub trait Policy {
    /// Lets everything happen that happens at `now` beside requests.
    fn advance(&mut self, cut: Cut, now: u64);

    /// Decides on a request.
    fn admits(&mut self, cut: Cut, arrival: &Arrival) -> bool;

    /// Returns the time that the decision takes on the network, in milliseconds.
    fn hop_ms(&self, arrival: &Arrival) -> f64;
}

fn full(allowances: &[Allowance], parts: u64) -> Vec<Bucket> {
    let bucket = |allowance: &Allowance| Bucket::new(*allowance, Share::new(parts), Moment(0));
    allowances.iter().map(bucket).collect()
}

/// One bucket for the whole fleet that everyone reaches at once: the ideal.
pub struct Ideal(Vec<Bucket>);

impl Ideal {
    pub fn new(workload: &Workload) -> Self {
        Self(full(&workload.allowances, FULL_SHARE))
    }

    pub fn admits(&mut self, arrival: &Arrival) -> bool {
        self.0[arrival.workspace].take(Moment(arrival.at)).is_ok()
    }
}

/// Each VM has the same share for ever.
pub struct EqualSplit(Vec<Vec<Bucket>>);

impl EqualSplit {
    pub fn new(workload: &Workload) -> Self {
        let parts = FULL_SHARE / VMS as u64;
        Self(
            (0..VMS)
                .map(|_| full(&workload.allowances, parts))
                .collect(),
        )
    }
}

impl Policy for EqualSplit {
    fn advance(&mut self, _: Cut, _: u64) {}

    fn admits(&mut self, _: Cut, arrival: &Arrival) -> bool {
        let bucket = &mut self.0[arrival.vm][arrival.workspace];
        bucket.take(Moment(arrival.at)).is_ok()
    }

    fn hop_ms(&self, _: &Arrival) -> f64 {
        0.0
    }
}

/// One VM decides for each workspace; the others ask it for each request.
pub struct SingleOwner(Vec<Bucket>);

impl SingleOwner {
    pub fn new(workload: &Workload) -> Self {
        Self(full(&workload.allowances, FULL_SHARE))
    }

    fn zone(arrival: &Arrival) -> usize {
        arrival.workspace % ZONES
    }
}

impl Policy for SingleOwner {
    fn advance(&mut self, _: Cut, _: u64) {}

    fn admits(&mut self, cut: Cut, arrival: &Arrival) -> bool {
        let reached = cut.reaches(zone_of(arrival.vm), Self::zone(arrival), arrival.at);
        reached && self.0[arrival.workspace].take(Moment(arrival.at)).is_ok()
    }

    fn hop_ms(&self, arrival: &Arrival) -> f64 {
        round_trip_ms(zone_of(arrival.vm), Self::zone(arrival))
    }
}
