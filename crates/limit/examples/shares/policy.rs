//! Policies to compare: ways to enforce a workspace's rate over the whole fleet.

use limit::{Allowance, Bucket, Share};
use timer::Moment;
use wire::lend::FULL_SHARE;

use crate::layout::{Partition, VMS, ZONES, round_trip_ms, zone_of};
use crate::traffic::{Arrival, Workload};

/// Policy that admits or refuses requests.
pub trait Policy {
    /// Processes all events at `now` other than requests.
    fn advance(&mut self, partition: Partition, now: u64);

    /// Returns whether a request is admitted.
    fn admits(&mut self, partition: Partition, arrival: &Arrival) -> bool;

    /// Returns the network time of the decision on `arrival`, in milliseconds.
    fn network_ms(&self, arrival: &Arrival) -> f64;
}

fn full_buckets(allowances: &[Allowance], parts: u64) -> Vec<Bucket> {
    let bucket = |allowance: &Allowance| Bucket::new(*allowance, Share::new(parts), Moment(0));
    allowances.iter().map(bucket).collect()
}

/// The ideal: one bucket for the whole fleet, which every VM reaches without delay.
pub struct Ideal(Vec<Bucket>);

impl Ideal {
    pub fn new(workload: &Workload) -> Self {
        Self(full_buckets(&workload.allowances, FULL_SHARE))
    }

    pub fn admits(&mut self, arrival: &Arrival) -> bool {
        self.0[arrival.workspace].take(Moment(arrival.at)).is_ok()
    }
}

/// Each VM has the same constant share.
pub struct EqualSplit(Vec<Vec<Bucket>>);

impl EqualSplit {
    pub fn new(workload: &Workload) -> Self {
        let parts = FULL_SHARE / VMS as u64;
        Self(
            (0..VMS)
                .map(|_| full_buckets(&workload.allowances, parts))
                .collect(),
        )
    }
}

impl Policy for EqualSplit {
    fn advance(&mut self, _: Partition, _: u64) {}

    fn admits(&mut self, _: Partition, arrival: &Arrival) -> bool {
        let bucket = &mut self.0[arrival.vm][arrival.workspace];
        bucket.take(Moment(arrival.at)).is_ok()
    }

    fn network_ms(&self, _: &Arrival) -> f64 {
        0.0
    }
}

/// One VM decides for each workspace; the other VMs ask it for each request.
pub struct SingleOwner(Vec<Bucket>);

impl SingleOwner {
    pub fn new(workload: &Workload) -> Self {
        Self(full_buckets(&workload.allowances, FULL_SHARE))
    }

    fn zone(arrival: &Arrival) -> usize {
        arrival.workspace % ZONES
    }
}

impl Policy for SingleOwner {
    fn advance(&mut self, _: Partition, _: u64) {}

    fn admits(&mut self, partition: Partition, arrival: &Arrival) -> bool {
        let is_reachable = partition.reaches(zone_of(arrival.vm), Self::zone(arrival), arrival.at);
        is_reachable && self.0[arrival.workspace].take(Moment(arrival.at)).is_ok()
    }

    fn network_ms(&self, arrival: &Arrival) -> f64 {
        round_trip_ms(zone_of(arrival.vm), Self::zone(arrival))
    }
}
