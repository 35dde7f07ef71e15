//! Lent shares: simulates gates, control daemons, zone leaders and the fleet's leader.

use std::collections::BTreeMap;

use grant::{Granter, Holder, Relay, Split, term};
use limit::{Allowance, Bucket, Demand, Share};
use timer::Moment;
use wire::lend::{FULL_SHARE, Grant, Request};

use crate::layout::{
    LEADER_ZONE, PARTITIONED_AT_MS, Partition, RECONNECTED_AT_MS, VMS, VMS_PER_ZONE, ZONES,
    delay_ms, round_trip_ms, zone_of,
};
use crate::policy::Policy;
use crate::traffic::{Arrival, Workload};

/// Time between two reports of a gate, in milliseconds.
const REPORT_MS: u64 = 200;

/// Time between two checks whether a request to a leader is due, in milliseconds.
const CHECK_MS: u64 = 250;

/// Time after which a leader that is partitioned from the platform loses its lease, in
/// milliseconds.
const LEASE_MS: u64 = 4_000;

/// Time after which a new leader is elected, in milliseconds.
const ELECTION_MS: u64 = 10_000;

/// Time for which a VM sends no further requests to an empty reserve, in milliseconds.
const EMPTY_RESERVE_PAUSE_MS: u64 = 100;

/// State of a workspace at one VM.
struct Tenant {
    demand: Demand,
    holder: Holder,
    bucket: Bucket,
    relay: Relay<()>,
    /// Time of the next request to the leader's reserve after the reserve was empty.
    reserve_retry_at: Moment,
}

#[derive(Clone, Copy)]
enum Message {
    ToZone {
        vm: usize,
        workspace: usize,
        ask: Request,
    },
    ToVm {
        vm: usize,
        workspace: usize,
        grant: Grant,
    },
    ToLeader {
        zone: usize,
        workspace: usize,
        ask: Request,
    },
    FromLeader {
        zone: usize,
        workspace: usize,
        grant: Grant,
    },
}

pub struct Fleet {
    allowances: Vec<Allowance>,
    split: Split,
    vms: Vec<Vec<Tenant>>,
    zones: Vec<Vec<Relay<usize>>>,
    /// Borrower IDs of the zone leaders: the zone's index, plus `ZONES` for each later leader.
    borrower_ids: [usize; ZONES],
    leader_granters: Vec<Granter<usize>>,
    leader_zone: usize,
    /// The leader's own shares, from which VMs without remaining tokens get single tokens.
    reserve: Vec<Bucket>,
    reserve_parts: u64,
    messages_by_time: BTreeMap<u64, Vec<Message>>,
    /// Network time of the latest decision, in milliseconds.
    network_ms: f64,
}

impl Fleet {
    pub fn new(workload: &Workload, base_percent: u64, reserve_percent: u64) -> Self {
        let allowances = workload.allowances.clone();
        let split = Split::with_percents(FULL_SHARE, ZONES as u64, base_percent, reserve_percent);
        let (reserve_parts, pool) = (split.reserve(), split.pool());
        let reserve =
            |allowance: &Allowance| Bucket::new(*allowance, Share::new(reserve_parts), Moment(0));
        let share = Share::new(split.seat(VMS_PER_ZONE as u64));
        let tenant = |allowance: &Allowance| Tenant {
            demand: Demand::new(),
            holder: Holder::new(1),
            bucket: Bucket::new(*allowance, share, Moment(0)),
            relay: Relay::new(1, Granter::new(0, term::LEND_TERM_MS)),
            reserve_retry_at: Moment(0),
        };
        let vm = |_| allowances.iter().map(tenant).collect();
        let relay = |_| Relay::new(1, Granter::new(0, term::LEND_TERM_MS));
        let zone = |_| allowances.iter().map(relay).collect();
        let granter = |_| Granter::new(pool, term::LEND_TERM_MS);
        Self {
            vms: (0..VMS).map(vm).collect(),
            zones: (0..ZONES).map(zone).collect(),
            borrower_ids: std::array::from_fn(|zone| zone),
            leader_granters: allowances.iter().map(granter).collect(),
            leader_zone: LEADER_ZONE,
            reserve: allowances.iter().map(reserve).collect(),
            reserve_parts,
            messages_by_time: BTreeMap::new(),
            network_ms: 0.0,
            allowances,
            split,
        }
    }

    fn report(&mut self, vm: usize, now: Moment) {
        let base = self.split.seat(VMS_PER_ZONE as u64);
        for (tenant, allowance) in self.vms[vm].iter_mut().zip(&self.allowances) {
            let wanted = tenant.demand.wanted(allowance, now).saturating_sub(base);
            let ask = tenant.holder.ask(wanted, 0, now);
            if let Some(grant) = tenant.relay.serve(&(), &ask, now) {
                tenant.holder.take(&grant);
            }
            let holder = &tenant.holder;
            let share = Share::new(base).with_lent(holder.lent(now), holder.until(now));
            tenant.bucket.set(*allowance, share, now);
        }
    }

    fn vm_asks(&mut self, vm: usize, now: u64) {
        for (workspace, tenant) in self.vms[vm].iter_mut().enumerate() {
            if !tenant.relay.is_due(Moment(now)) {
                continue;
            }
            let ask = tenant.relay.ask(Moment(now));
            let message = Message::ToZone { vm, workspace, ask };
            self.messages_by_time
                .entry(now + 1)
                .or_default()
                .push(message);
        }
    }

    fn zone_asks(&mut self, zone: usize, now: u64) {
        let at = now + delay_ms(zone, self.leader_zone);
        for (workspace, relay) in self.zones[zone].iter_mut().enumerate() {
            if !relay.is_due(Moment(now)) {
                continue;
            }
            let ask = relay.ask(Moment(now));
            let message = Message::ToLeader {
                zone,
                workspace,
                ask,
            };
            self.messages_by_time.entry(at).or_default().push(message);
        }
    }

    fn deliver(&mut self, message: Message, partition: Partition, at: u64) {
        let now = Moment(at);
        match message {
            Message::ToZone { vm, workspace, ask } => {
                let zone = zone_of(vm);
                if !is_leader(partition, zone, at) {
                    return;
                }
                if let Some(grant) = self.zones[zone][workspace].serve(&vm, &ask, now) {
                    let message = Message::ToVm {
                        vm,
                        workspace,
                        grant,
                    };
                    self.messages_by_time
                        .entry(at + 1)
                        .or_default()
                        .push(message);
                }
            }
            Message::ToVm {
                vm,
                workspace,
                grant,
            } => {
                self.vms[vm][workspace].relay.take(&grant);
            }
            Message::ToLeader {
                zone,
                workspace,
                ask,
            } => self.answer_zone(partition, zone, workspace, &ask, at),
            Message::FromLeader {
                zone,
                workspace,
                grant,
            } => {
                self.zones[zone][workspace].take(&grant);
            }
        }
    }

    fn answer_zone(
        &mut self,
        partition: Partition,
        zone: usize,
        workspace: usize,
        ask: &Request,
        at: u64,
    ) {
        let leader = self.leader_zone;
        if !partition.reaches(zone, leader, at) || !is_leader(partition, leader, at) {
            return;
        }
        let granter = &mut self.leader_granters[workspace];
        let grant = granter.ask(&self.borrower_ids[zone], ask, Moment(u64::MAX), Moment(at));
        granter.settle(|borrowers| {
            (0..ZONES).all(|zone| borrowers.iter().any(|borrower| *borrower % ZONES == zone))
        });
        if let Some(grant) = grant {
            let at = at + delay_ms(zone, leader);
            let message = Message::FromLeader {
                zone,
                workspace,
                grant,
            };
            self.messages_by_time.entry(at).or_default().push(message);
        }
    }

    /// Replaces leaders that lost their leases because of the partition.
    fn elect(&mut self, partition: Partition, now: u64) {
        let Some(zone) = partition.zone(PARTITIONED_AT_MS) else {
            return;
        };
        let since = Moment(now);
        if now == RECONNECTED_AT_MS {
            let relay = |_: &Allowance| {
                let granter = Granter::new(0, term::LEND_TERM_MS);
                Relay::new(2, granter).with_predecessor_until(term::all_ended(since))
            };
            self.borrower_ids[zone] += ZONES;
            let first = zone * VMS_PER_ZONE;
            for tenant in self.vms[first..first + VMS_PER_ZONE].iter_mut().flatten() {
                tenant.relay.change_lender(since);
            }
            self.zones[zone] = self.allowances.iter().map(relay).collect();
        }
        if now == PARTITIONED_AT_MS + ELECTION_MS && zone == self.leader_zone {
            let pool = self.split.pool();
            for (bucket, allowance) in self.reserve.iter_mut().zip(&self.allowances) {
                *bucket = Bucket::new(*allowance, Share::new(self.reserve_parts), since);
            }
            let granter =
                |_: &Allowance| Granter::new(pool, term::LEND_TERM_MS).with_predecessor(since);
            self.leader_granters = self.allowances.iter().map(granter).collect();
            self.leader_zone = zone + 1;
        }
    }
}

/// Returns whether the leader in `zone` still holds its lease.
fn is_leader(partition: Partition, zone: usize, now: u64) -> bool {
    partition.zone(now) != Some(zone) || now < PARTITIONED_AT_MS + LEASE_MS
}

impl Policy for Fleet {
    fn advance(&mut self, partition: Partition, now: u64) {
        self.elect(partition, now);
        for message in self.messages_by_time.remove(&now).unwrap_or_default() {
            self.deliver(message, partition, now);
        }
        for vm in 0..VMS {
            if (now + 16 * vm as u64).is_multiple_of(REPORT_MS) {
                self.report(vm, Moment(now));
            }
            if (now + 20 * vm as u64).is_multiple_of(CHECK_MS) {
                self.vm_asks(vm, now);
            }
        }
        for zone in 0..ZONES {
            if (now + 41 * zone as u64).is_multiple_of(CHECK_MS) && is_leader(partition, zone, now)
            {
                self.zone_asks(zone, now);
            }
        }
    }

    fn admits(&mut self, partition: Partition, arrival: &Arrival) -> bool {
        let tenant = &mut self.vms[arrival.vm][arrival.workspace];
        let now = Moment(arrival.at);
        tenant.demand.count(now);
        self.network_ms = 0.0;
        if tenant.bucket.take(now).is_ok() {
            return true;
        }
        let (from, leader) = (zone_of(arrival.vm), self.leader_zone);
        let is_reachable =
            partition.reaches(from, leader, now.0) && is_leader(partition, leader, now.0);
        if now < tenant.reserve_retry_at || !is_reachable {
            return false;
        }
        self.network_ms = round_trip_ms(from, leader);
        let admitted = self.reserve[arrival.workspace].take(now).is_ok();
        if !admitted {
            tenant.reserve_retry_at = now.plus_ms(EMPTY_RESERVE_PAUSE_MS);
        }
        admitted
    }

    fn network_ms(&self, _: &Arrival) -> f64 {
        self.network_ms
    }
}
