//! Shares that this daemon lends: to its gate, as lead of its zone and as lead of the fleet.

use std::collections::BTreeMap;

use grant::term::{LEND_TERM_MS, all_expired_at};
use grant::{Lender, Relay, Split};
use limit::Allowance;
use text::Text;
use text::model::Workspace;
use timer::Moment;
use wire::Vm;
use wire::lend::{
    Borrower, FULL_SHARE, Grant, Grants, Ordinal, Request, Requests, ReserveRequest, Resource,
    ResourceGrant, ResourceRequest, ZoneLeader,
};

use crate::lend_reserve::Reserve;

#[cfg(test)]
mod tests;

/// A lead's time in office.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Office {
    /// Number of the lease's holder.
    pub epoch: u64,
    /// Moment at or after the lease was acquired.
    pub since: Moment,
}

impl Office {
    /// Returns whether there never was a lead before.
    fn is_first(self) -> bool {
        self.epoch <= 1
    }
}

/// Who lent before, and when it granted last at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Predecessor {
    /// Nobody.
    None,
    /// A relay that borrowed under the same name.
    SameName(Moment),
    /// A relay whose loans count apart.
    OtherName(Moment),
}

/// Relays by resource, to holders named by `K`.
#[derive(Debug)]
struct Relays<K> {
    epoch: u64,
    predecessor: Predecessor,
    by_resource: BTreeMap<Resource, Relay<K>>,
}

impl<K: Ord + Clone> Relays<K> {
    fn new(epoch: u64, predecessor: Predecessor) -> Self {
        Self {
            epoch,
            predecessor,
            by_resource: BTreeMap::new(),
        }
    }

    fn relay(&mut self, resource: &Resource) -> &mut Relay<K> {
        let (epoch, predecessor) = (self.epoch, self.predecessor);
        let new = || match predecessor {
            Predecessor::None => Relay::new(epoch, lender(0, None)),
            Predecessor::SameName(since) => Relay::new(epoch, lender(0, Some(since))),
            Predecessor::OtherName(since) => {
                Relay::new(epoch, lender(0, None)).with_predecessor_expiry(all_expired_at(since))
            }
        };
        self.by_resource.entry(resource.clone()).or_insert_with(new)
    }

    fn ask(&mut self, now: Moment) -> Vec<ResourceRequest> {
        let due = |(_, relay): &(&Resource, &mut Relay<K>)| relay.is_due(now);
        let asks = self.by_resource.iter_mut().filter(due);
        let ask = |(resource, relay): (&Resource, &mut Relay<K>)| ResourceRequest {
            resource: resource.clone(),
            request: relay.request(now),
        };
        asks.map(ask).collect()
    }

    fn ask_all<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a String>,
        now: Moment,
    ) -> Vec<ResourceRequest> {
        let ask = |name: &String| {
            let resource = Resource::Workspace(name.clone());
            let ask = self.relay(&resource).request(now);
            ResourceRequest {
                resource,
                request: ask,
            }
        };
        workspaces.map(ask).collect()
    }

    fn change_lender(&mut self, now: Moment) {
        for relay in self.by_resource.values_mut() {
            relay.change_lender(now);
        }
    }

    fn take(&mut self, grants: &Grants) {
        for answer in &grants.grants {
            if let Some(relay) = self.by_resource.get_mut(&answer.resource) {
                relay.accept(&answer.grant);
            }
        }
    }
}

/// Everything that this daemon lends.
#[derive(Debug)]
pub struct Lend {
    vm: Vm,
    zone: String,
    /// Zones of the text, which are all that the fleet's lead lends to.
    zones: Vec<String>,
    workspaces: BTreeMap<String, Allowance>,
    revision: u64,
    /// Seats of this daemon's zone.
    seats: usize,
    seat: Ordinal,
    gate: Relays<Vm>,
    /// Epoch of the zone's lead that this VM last asked; it never falls.
    lender: u64,
    zone_office: Option<Office>,
    zone_relays: Relays<String>,
    /// Term of the fleet's lead that has heard of every resource.
    told_fleet: Option<u64>,
    fleet_office: Option<Office>,
    fleet: BTreeMap<Resource, Lender<ZoneLeader>>,
    reserve: Reserve,
}

impl Lend {
    /// Creates the account of a daemon that started at `now` and has nothing to lend.
    #[must_use]
    pub fn new(vm: Vm, zone: &str, now: Moment) -> Self {
        Self {
            gate: Relays::new(vm.incarnation, Predecessor::SameName(now)),
            lender: 0,
            vm,
            zone: zone.to_owned(),
            zones: Vec::new(),
            workspaces: BTreeMap::new(),
            revision: 0,
            seats: 0,
            seat: Ordinal::Unknown,
            zone_office: None,
            zone_relays: Relays::new(0, Predecessor::None),
            told_fleet: None,
            fleet_office: None,
            fleet: BTreeMap::new(),
            reserve: Reserve::default(),
        }
    }

    /// Returns the revision of the text that was learnt last.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over the zones and workspaces of a newer text.
    pub fn learn(&mut self, text: &Text, revision: u64) {
        let workspaces = text.workspaces.iter();
        let named = |workspace: &Workspace| {
            let allowance = Allowance::new(workspace.rate, workspace.burst);
            (workspace.name.clone(), allowance)
        };
        self.workspaces = workspaces.map(named).collect();
        self.reserve.retain(&self.workspaces);
        self.zones = text.zones.iter().map(|zone| zone.name.clone()).collect();
        self.revision = revision;
        let zone = text.zone(&self.zone);
        self.seats = zone.map_or(0, |zone| zone.entry_vms as usize);
        let pool = self.pool();
        for lender in self.fleet.values_mut() {
            lender.resize(pool);
        }
    }

    /// Returns the number of seats of this daemon's zone.
    #[must_use]
    pub fn seats(&self) -> usize {
        self.seats
    }

    /// Returns whether this VM has a seat.
    #[must_use]
    pub fn seat(&self) -> Ordinal {
        self.seat
    }

    /// Notes whether this VM has a seat.
    pub fn note_seat(&mut self, seat: Ordinal) {
        self.seat = seat;
    }

    /// Notes whether this daemon is the lead of its zone. A new term starts a new account.
    pub fn note_zone_lead(&mut self, epoch: Option<u64>, now: Moment) {
        if let Some(office) = elected(self.zone_office, epoch, now) {
            self.zone_office = Some(office);
            let predecessor = if office.is_first() {
                Predecessor::None
            } else {
                Predecessor::OtherName(office.since)
            };
            self.zone_relays = Relays::new(office.epoch, predecessor);
            self.told_fleet = None;
        }
    }

    /// Notes whether this daemon is the lead of the fleet. A new term starts a new account.
    pub fn note_fleet_lead(&mut self, epoch: Option<u64>, now: Moment) {
        if let Some(office) = elected(self.fleet_office, epoch, now) {
            self.fleet_office = Some(office);
            self.fleet.clear();
        }
    }

    /// Answers this VM's gate. A VM runs one gate at a time, since they use the same address, so
    /// that what its present gate holds is all that any gate of it holds.
    pub fn serve_gate(&mut self, gate: &Vm, asks: &[ResourceRequest], now: Moment) -> Grants {
        let known = asks.iter().filter(|ask| self.knows(&ask.resource));
        let known: Vec<ResourceRequest> = known.cloned().collect();
        let answer = |ask: &ResourceRequest| {
            let relay = self.gate.relay(&ask.resource);
            let grant = relay.grant(gate, &ask.request, now);
            relay.settle(|told| told == [gate]);
            granted(&ask.resource, grant)
        };
        Grants {
            grants: known.iter().filter_map(answer).collect(),
        }
    }

    /// Returns this VM's requests to the lead of its zone, whose term is `epoch`.
    pub fn vm_asks(&mut self, epoch: u64, now: Moment) -> Requests {
        if epoch > self.lender {
            self.lender = epoch;
            self.gate.change_lender(now);
        }
        let asks = if epoch == self.lender {
            self.gate.ask(now)
        } else {
            Vec::new()
        };
        Requests {
            from: self.vm.clone(),
            borrower: Borrower::Vm(self.vm.name.clone()),
            epoch,
            requests: asks,
        }
    }

    /// Takes the answer to [`Lend::vm_asks`].
    pub fn take_for_vm(&mut self, grants: &Grants) {
        self.gate.take(grants);
    }

    /// Returns this zone's requests to the lead of the fleet, whose term is `epoch`, while this
    /// daemon is the lead of its zone in term `own_epoch`. A new lead of the fleet hears of every
    /// resource, so that it knows all that was lent before.
    pub fn zone_asks(&mut self, own_epoch: u64, epoch: u64, now: Moment) -> Requests {
        let in_office = self.zone_office.is_some_and(|own| own.epoch == own_epoch);
        let asks = match in_office {
            true if self.told_fleet == Some(epoch) => self.zone_relays.ask(now),
            true => self.zone_relays.ask_all(self.workspaces.keys(), now),
            false => Vec::new(),
        };
        Requests {
            from: self.vm.clone(),
            borrower: Borrower::Zone(ZoneLeader {
                zone: self.zone.clone(),
                epoch: own_epoch,
            }),
            epoch,
            requests: asks,
        }
    }

    /// Takes the answer to [`Lend::zone_asks`] of the fleet's lead in term `epoch`.
    pub fn take_for_zone(&mut self, grants: &Grants, epoch: u64) {
        if !grants.grants.is_empty() {
            self.told_fleet = Some(epoch);
        }
        self.zone_relays.take(grants);
    }

    /// Answers requests at `now`, a moment at which this daemon was the lead that is asked.
    pub fn serve(&mut self, asks: &Requests, now: Moment) -> Grants {
        let office = match asks.borrower {
            Borrower::Vm(_) => self.zone_office,
            Borrower::Zone(_) => self.fleet_office,
        };
        let Some(office) = office.filter(|office| office.epoch == asks.epoch) else {
            return Grants::default();
        };
        let known = asks.requests.iter().filter(|ask| self.knows(&ask.resource));
        let known: Vec<&ResourceRequest> = known.collect();
        let mut grants = Grants::default();
        for ask in known {
            let grant = match &asks.borrower {
                Borrower::Vm(vm) => {
                    let relay = self.zone_relays.relay(&ask.resource);
                    relay.grant(vm, &ask.request, now)
                }
                Borrower::Zone(zone) => {
                    self.grant_to_zone(&ask.resource, zone, &ask.request, office, now)
                }
            };
            grants.grants.extend(granted(&ask.resource, grant));
        }
        grants
    }

    /// Gives one request of the reserve at `now`, a moment at which this daemon was the lead of
    /// the fleet that is asked.
    pub fn draw(&mut self, draw: &ReserveRequest, now: Moment) -> bool {
        let Some(allowance) = self.workspaces.get(&draw.workspace) else {
            return false;
        };
        let parts = self.split().reserve();
        self.reserve
            .draw(draw.epoch, &draw.workspace, *allowance, parts, now)
    }

    fn grant_to_zone(
        &mut self,
        resource: &Resource,
        borrower: &ZoneLeader,
        ask: &Request,
        office: Office,
        now: Moment,
    ) -> Option<Grant> {
        let pool = self.pool();
        let predecessor = (!office.is_first()).then_some(office.since);
        let new = || lender(pool, predecessor);
        let lender = self.fleet.entry(resource.clone()).or_insert_with(new);
        let grant = lender.grant(borrower, ask, Moment(u64::MAX), now);
        let zones = &self.zones;
        lender.settle(|told| {
            zones
                .iter()
                .all(|zone| told.iter().any(|lead| lead.zone == *zone))
        });
        grant
    }

    fn knows(&self, resource: &Resource) -> bool {
        match resource {
            Resource::Workspace(name) => self.workspaces.contains_key(name),
            Resource::Slots(_) => false,
        }
    }

    fn split(&self) -> Split {
        Split::new(FULL_SHARE, self.zones.len() as u64)
    }

    fn pool(&self) -> u64 {
        self.split().pool()
    }
}

fn lender<K: Ord + Clone>(total: u64, predecessor: Option<Moment>) -> Lender<K> {
    let lender = Lender::new(total, LEND_TERM_MS);
    match predecessor {
        Some(since) => lender.with_predecessor(since),
        None => lender,
    }
}

fn granted(resource: &Resource, grant: Option<Grant>) -> Option<ResourceGrant> {
    let resource = resource.clone();
    grant.map(|grant| ResourceGrant { resource, grant })
}

/// Returns the office of a lead that was not in it before.
fn elected(before: Option<Office>, epoch: Option<u64>, now: Moment) -> Option<Office> {
    let epoch = epoch?;
    let continues = before.is_some_and(|office| office.epoch == epoch);
    (!continues).then_some(Office { epoch, since: now })
}
