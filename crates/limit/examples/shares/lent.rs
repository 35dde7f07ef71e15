//! Lent shares: gates, control daemons, leads of zones and the fleet's lead.

use std::collections::BTreeMap;

use grant::{Holder, Lender, Relay, Split, term};
use limit::{Allowance, Bucket, Demand, Share};
use timer::Moment;
use wire::lend::{FULL_SHARE, Grant, Request};

use crate::layout::{
    CUT_AT_MS, Cut, JOINED_AT_MS, LEADS_ZONE, VMS, VMS_PER_ZONE, ZONES, delay_ms, round_trip_ms,
    zone_of,
};
use crate::policy::Policy;
use crate::traffic::{Arrival, Workload};

/// Time between two reports of a gate, in milliseconds.
const REPORT_MS: u64 = 200;

/// Time between two looks whether a request to a lead is due, in milliseconds.
const ASK_MS: u64 = 250;

/// Time after which a lead that is cut off from the platform is no longer one, in milliseconds.
const LEASE_MS: u64 = 4_000;

/// Time after which there is another lead, in milliseconds.
const ELECTION_MS: u64 = 10_000;

/// Time for which a VM does not ask an empty reserve again, in milliseconds.
const EMPTY_MS: u64 = 100;

/// A workspace at one VM.
struct Tenant {
    demand: Demand,
    holder: Holder,
    bucket: Bucket,
    relay: Relay<()>,
    /// Until then the lead's reserve is not asked again.
    empty_until: Moment,
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
    ToLead {
        zone: usize,
        workspace: usize,
        ask: Request,
    },
    FromLead {
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
    /// Names under which the zones' leads borrow: the zone, plus `ZONES` for each later lead.
    keys: [usize; ZONES],
    lead: Vec<Lender<usize>>,
    leads_zone: usize,
    /// The lead's own shares, of which it gives single tokens to VMs that have none left.
    reserve: Vec<Bucket>,
    reserve_parts: u64,
    mail: BTreeMap<u64, Vec<Message>>,
    /// Time that the latest decision took on the network.
    hop_ms: f64,
}

impl Fleet {
    pub fn new(workload: &Workload, standing_percent: u64, reserve_percent: u64) -> Self {
        let allowances = workload.allowances.clone();
        let split =
            Split::with_percents(FULL_SHARE, ZONES as u64, standing_percent, reserve_percent);
        let (reserve_parts, pool) = (split.reserve(), split.pool());
        let reserve =
            |allowance: &Allowance| Bucket::new(*allowance, Share::new(reserve_parts), Moment(0));
        let share = Share::new(split.base_share(VMS_PER_ZONE as u64));
        let tenant = |allowance: &Allowance| Tenant {
            demand: Demand::new(),
            holder: Holder::new(1),
            bucket: Bucket::new(*allowance, share, Moment(0)),
            relay: Relay::new(1, Lender::new(0, term::LEND_TERM_MS)),
            empty_until: Moment(0),
        };
        let vm = |_| allowances.iter().map(tenant).collect();
        let relay = |_| Relay::new(1, Lender::new(0, term::LEND_TERM_MS));
        let zone = |_| allowances.iter().map(relay).collect();
        let lender = |_| Lender::new(pool, term::LEND_TERM_MS);
        Self {
            vms: (0..VMS).map(vm).collect(),
            zones: (0..ZONES).map(zone).collect(),
            keys: std::array::from_fn(|zone| zone),
            lead: allowances.iter().map(lender).collect(),
            leads_zone: LEADS_ZONE,
            reserve: allowances.iter().map(reserve).collect(),
            reserve_parts,
            mail: BTreeMap::new(),
            hop_ms: 0.0,
            allowances,
            split,
        }
    }

    fn report(&mut self, vm: usize, now: Moment) {
        let seat = self.split.base_share(VMS_PER_ZONE as u64);
        for (tenant, allowance) in self.vms[vm].iter_mut().zip(&self.allowances) {
            let wanted = tenant.demand.wanted(allowance, now).saturating_sub(seat);
            let ask = tenant.holder.request(wanted, 0, now);
            if let Some(grant) = tenant.relay.grant(&(), &ask, now) {
                tenant.holder.accept(&grant);
            }
            let holder = &tenant.holder;
            let share = Share::new(seat).with_lent(holder.lent(now), holder.expiry(now));
            tenant.bucket.set(*allowance, share, now);
        }
    }

    fn vm_asks(&mut self, vm: usize, now: u64) {
        for (workspace, tenant) in self.vms[vm].iter_mut().enumerate() {
            if !tenant.relay.is_due(Moment(now)) {
                continue;
            }
            let ask = tenant.relay.request(Moment(now));
            let message = Message::ToZone { vm, workspace, ask };
            self.mail.entry(now + 1).or_default().push(message);
        }
    }

    fn zone_asks(&mut self, zone: usize, now: u64) {
        let at = now + delay_ms(zone, self.leads_zone);
        for (workspace, relay) in self.zones[zone].iter_mut().enumerate() {
            if !relay.is_due(Moment(now)) {
                continue;
            }
            let ask = relay.request(Moment(now));
            let message = Message::ToLead {
                zone,
                workspace,
                ask,
            };
            self.mail.entry(at).or_default().push(message);
        }
    }

    fn deliver(&mut self, message: Message, cut: Cut, at: u64) {
        let now = Moment(at);
        match message {
            Message::ToZone { vm, workspace, ask } => {
                let zone = zone_of(vm);
                if !is_lead(cut, zone, at) {
                    return;
                }
                if let Some(grant) = self.zones[zone][workspace].grant(&vm, &ask, now) {
                    let message = Message::ToVm {
                        vm,
                        workspace,
                        grant,
                    };
                    self.mail.entry(at + 1).or_default().push(message);
                }
            }
            Message::ToVm {
                vm,
                workspace,
                grant,
            } => {
                self.vms[vm][workspace].relay.accept(&grant);
            }
            Message::ToLead {
                zone,
                workspace,
                ask,
            } => self.lead_answers(cut, zone, workspace, &ask, at),
            Message::FromLead {
                zone,
                workspace,
                grant,
            } => {
                self.zones[zone][workspace].accept(&grant);
            }
        }
    }

    fn lead_answers(&mut self, cut: Cut, zone: usize, workspace: usize, ask: &Request, at: u64) {
        let lead = self.leads_zone;
        if !cut.reaches(zone, lead, at) || !is_lead(cut, lead, at) {
            return;
        }
        let lender = &mut self.lead[workspace];
        let grant = lender.grant(&self.keys[zone], ask, Moment(u64::MAX), Moment(at));
        lender.settle(|told| (0..ZONES).all(|zone| told.iter().any(|key| *key % ZONES == zone)));
        if let Some(grant) = grant {
            let at = at + delay_ms(zone, lead);
            let message = Message::FromLead {
                zone,
                workspace,
                grant,
            };
            self.mail.entry(at).or_default().push(message);
        }
    }

    /// Replaces leads that lost their leases by being cut off.
    fn elect(&mut self, cut: Cut, now: u64) {
        let Some(zone) = cut.zone(CUT_AT_MS) else {
            return;
        };
        let since = Moment(now);
        if now == JOINED_AT_MS {
            let relay = |_: &Allowance| {
                let lender = Lender::new(0, term::LEND_TERM_MS);
                Relay::new(2, lender).with_predecessor_expiry(term::all_expired_at(since))
            };
            self.keys[zone] += ZONES;
            let first = zone * VMS_PER_ZONE;
            for tenant in self.vms[first..first + VMS_PER_ZONE].iter_mut().flatten() {
                tenant.relay.change_lender(since);
            }
            self.zones[zone] = self.allowances.iter().map(relay).collect();
        }
        if now == CUT_AT_MS + ELECTION_MS && zone == self.leads_zone {
            let pool = self.split.pool();
            for (bucket, allowance) in self.reserve.iter_mut().zip(&self.allowances) {
                *bucket = Bucket::new(*allowance, Share::new(self.reserve_parts), since);
            }
            let lender =
                |_: &Allowance| Lender::new(pool, term::LEND_TERM_MS).with_predecessor(since);
            self.lead = self.allowances.iter().map(lender).collect();
            self.leads_zone = zone + 1;
        }
    }
}

/// Returns whether the lead in `zone` still has its lease.
fn is_lead(cut: Cut, zone: usize, now: u64) -> bool {
    cut.zone(now) != Some(zone) || now < CUT_AT_MS + LEASE_MS
}

impl Policy for Fleet {
    fn advance(&mut self, cut: Cut, now: u64) {
        self.elect(cut, now);
        for message in self.mail.remove(&now).unwrap_or_default() {
            self.deliver(message, cut, now);
        }
        for vm in 0..VMS {
            if (now + 16 * vm as u64).is_multiple_of(REPORT_MS) {
                self.report(vm, Moment(now));
            }
            if (now + 20 * vm as u64).is_multiple_of(ASK_MS) {
                self.vm_asks(vm, now);
            }
        }
        for zone in 0..ZONES {
            if (now + 41 * zone as u64).is_multiple_of(ASK_MS) && is_lead(cut, zone, now) {
                self.zone_asks(zone, now);
            }
        }
    }

    fn admits(&mut self, cut: Cut, arrival: &Arrival) -> bool {
        let tenant = &mut self.vms[arrival.vm][arrival.workspace];
        let now = Moment(arrival.at);
        tenant.demand.count(now);
        self.hop_ms = 0.0;
        if tenant.bucket.take(now).is_ok() {
            return true;
        }
        let (from, lead) = (zone_of(arrival.vm), self.leads_zone);
        let reached = cut.reaches(from, lead, now.0) && is_lead(cut, lead, now.0);
        if now < tenant.empty_until || !reached {
            return false;
        }
        self.hop_ms = round_trip_ms(from, lead);
        let admitted = self.reserve[arrival.workspace].take(now).is_ok();
        if !admitted {
            tenant.empty_until = now.plus_ms(EMPTY_MS);
        }
        admitted
    }

    fn hop_ms(&self, _: &Arrival) -> f64 {
        self.hop_ms
    }
}
