//! Shares that this daemon lends to its gate, as leader of its zone and as leader of the fleet.

use std::collections::BTreeMap;

use grant::term::{LEND_TERM_MS, all_ended};
use grant::{Granter, Relay, Split};
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

/// A term of leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Moment at or after the lease was acquired.
    pub since: Moment,
}

impl Leadership {
    /// Returns whether there was no leader before.
    fn is_first(self) -> bool {
        self.epoch <= 1
    }
}

/// The previous lender, with the latest moment at which it may have granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Predecessor {
    /// There was none.
    None,
    /// A relay with the same borrower name.
    SameName(Moment),
    /// A relay whose shares its lender counts separately.
    OtherName(Moment),
}

/// Relays by resource, with holders identified by `K`.
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
            Predecessor::None => Relay::new(epoch, granter(0, None)),
            Predecessor::SameName(since) => Relay::new(epoch, granter(0, Some(since))),
            Predecessor::OtherName(since) => {
                Relay::new(epoch, granter(0, None)).with_predecessor_until(all_ended(since))
            }
        };
        self.by_resource.entry(resource.clone()).or_insert_with(new)
    }

    fn due_requests(&mut self, now: Moment) -> Vec<ResourceRequest> {
        let due = |(_, relay): &(&Resource, &mut Relay<K>)| relay.is_due(now);
        let requests = self.by_resource.iter_mut().filter(due);
        let request = |(resource, relay): (&Resource, &mut Relay<K>)| ResourceRequest {
            resource: resource.clone(),
            request: relay.ask(now),
        };
        requests.map(request).collect()
    }

    fn request_all<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a String>,
        now: Moment,
    ) -> Vec<ResourceRequest> {
        let request = |name: &String| {
            let resource = Resource::Workspace(name.clone());
            let request = self.relay(&resource).ask(now);
            ResourceRequest { resource, request }
        };
        workspaces.map(request).collect()
    }

    fn change_lender(&mut self, now: Moment) {
        for relay in self.by_resource.values_mut() {
            relay.change_lender(now);
        }
    }

    fn take(&mut self, grants: &Grants) {
        for response in &grants.grants {
            if let Some(relay) = self.by_resource.get_mut(&response.resource) {
                relay.take(&response.grant);
            }
        }
    }
}

/// Ledger of the shares that this daemon borrows and lends.
#[derive(Debug)]
pub struct Ledger {
    vm: Vm,
    zone: String,
    /// Zones of the configuration; the fleet's leader lends to no others.
    zones: Vec<String>,
    workspaces: BTreeMap<String, Allowance>,
    revision: u64,
    /// Number of ordinals of this daemon's zone.
    ordinals: usize,
    ordinal: Ordinal,
    gate: Relays<Vm>,
    /// Epoch of the zone's leader that this VM last borrowed from; never decreases.
    zone_epoch: u64,
    zone_leadership: Option<Leadership>,
    zone_relays: Relays<String>,
    /// Epoch of the fleet's leader that has received a request for every resource.
    reported_to_fleet: Option<u64>,
    fleet_leadership: Option<Leadership>,
    fleet: BTreeMap<Resource, Granter<ZoneLeader>>,
    reserve: Reserve,
}

impl Ledger {
    /// Creates the ledger of a daemon that started at `now` and has nothing to lend yet.
    #[must_use]
    pub fn new(vm: Vm, zone: &str, now: Moment) -> Self {
        Self {
            gate: Relays::new(vm.incarnation, Predecessor::SameName(now)),
            zone_epoch: 0,
            vm,
            zone: zone.to_owned(),
            zones: Vec::new(),
            workspaces: BTreeMap::new(),
            revision: 0,
            ordinals: 0,
            ordinal: Ordinal::Unknown,
            zone_leadership: None,
            zone_relays: Relays::new(0, Predecessor::None),
            reported_to_fleet: None,
            fleet_leadership: None,
            fleet: BTreeMap::new(),
            reserve: Reserve::default(),
        }
    }

    /// Returns the revision of the configuration that was last applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the zones and workspaces of a newer configuration.
    pub fn apply(&mut self, text: &Text, revision: u64) {
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
        self.ordinals = zone.map_or(0, |zone| zone.entry_vms as usize);
        let pool = self.pool();
        for granter in self.fleet.values_mut() {
            granter.resize(pool);
        }
    }

    /// Returns the number of ordinals of this daemon's zone.
    #[must_use]
    pub fn ordinals(&self) -> usize {
        self.ordinals
    }

    /// Returns whether this VM holds an ordinal.
    #[must_use]
    pub fn ordinal(&self) -> Ordinal {
        self.ordinal
    }

    /// Notes whether this VM holds an ordinal.
    pub fn note_ordinal(&mut self, ordinal: Ordinal) {
        self.ordinal = ordinal;
    }

    /// Notes whether this daemon is the leader of its zone. A new epoch starts with new relays.
    pub fn note_zone_leader(&mut self, epoch: Option<u64>, now: Moment) {
        if let Some(leadership) = new_leadership(self.zone_leadership, epoch, now) {
            self.zone_leadership = Some(leadership);
            let predecessor = if leadership.is_first() {
                Predecessor::None
            } else {
                Predecessor::OtherName(leadership.since)
            };
            self.zone_relays = Relays::new(leadership.epoch, predecessor);
            self.reported_to_fleet = None;
        }
    }

    /// Notes whether this daemon is the leader of the fleet. A new epoch starts without earlier grants.
    pub fn note_fleet_leader(&mut self, epoch: Option<u64>, now: Moment) {
        if let Some(leadership) = new_leadership(self.fleet_leadership, epoch, now) {
            self.fleet_leadership = Some(leadership);
            self.fleet.clear();
        }
    }

    /// Responds to this VM's gate. A VM runs one gate at a time, since all its gates use the same
    /// address, so no other gate of the VM holds a share.
    pub fn serve_gate(&mut self, gate: &Vm, requests: &[ResourceRequest], now: Moment) -> Grants {
        let known = requests
            .iter()
            .filter(|request| self.knows(&request.resource));
        let known: Vec<ResourceRequest> = known.cloned().collect();
        let response = |request: &ResourceRequest| {
            let relay = self.gate.relay(&request.resource);
            let grant = relay.serve(gate, &request.request, now);
            relay.settle(|reported| reported == [gate]);
            granted(&request.resource, grant)
        };
        Grants {
            grants: known.iter().filter_map(response).collect(),
        }
    }

    /// Returns this VM's requests to the leader of its zone in term `epoch`.
    pub fn vm_requests(&mut self, epoch: u64, now: Moment) -> Requests {
        if epoch > self.zone_epoch {
            self.zone_epoch = epoch;
            self.gate.change_lender(now);
        }
        let requests = if epoch == self.zone_epoch {
            self.gate.due_requests(now)
        } else {
            Vec::new()
        };
        Requests {
            from: self.vm.clone(),
            borrower: Borrower::Vm(self.vm.name.clone()),
            epoch,
            requests,
        }
    }

    /// Applies the response to [`Ledger::vm_requests`].
    pub fn take_for_vm(&mut self, grants: &Grants) {
        self.gate.take(grants);
    }

    /// Returns this zone's requests to the leader of the fleet in term `epoch`, while this daemon is
    /// the leader of its zone in term `own_epoch`. A new leader of the fleet receives a request for
    /// every resource, so that it knows all shares that were lent before.
    pub fn zone_requests(&mut self, own_epoch: u64, epoch: u64, now: Moment) -> Requests {
        let is_leader = self
            .zone_leadership
            .is_some_and(|own| own.epoch == own_epoch);
        let requests = match is_leader {
            true if self.reported_to_fleet == Some(epoch) => self.zone_relays.due_requests(now),
            true => self.zone_relays.request_all(self.workspaces.keys(), now),
            false => Vec::new(),
        };
        Requests {
            from: self.vm.clone(),
            borrower: Borrower::Zone(ZoneLeader {
                zone: self.zone.clone(),
                epoch: own_epoch,
            }),
            epoch,
            requests,
        }
    }

    /// Applies the response to [`Ledger::zone_requests`] from the fleet's leader in term `epoch`.
    pub fn take_for_zone(&mut self, grants: &Grants, epoch: u64) {
        if !grants.grants.is_empty() {
            self.reported_to_fleet = Some(epoch);
        }
        self.zone_relays.take(grants);
    }

    /// Responds to requests at `now`, a moment at which this daemon was the leader that they are
    /// addressed to.
    pub fn serve(&mut self, requests: &Requests, now: Moment) -> Grants {
        let leadership = match requests.borrower {
            Borrower::Vm(_) => self.zone_leadership,
            Borrower::Zone(_) => self.fleet_leadership,
        };
        let Some(leadership) = leadership.filter(|leadership| leadership.epoch == requests.epoch)
        else {
            return Grants::default();
        };
        let known = requests
            .requests
            .iter()
            .filter(|request| self.knows(&request.resource));
        let known: Vec<&ResourceRequest> = known.collect();
        let mut grants = Grants::default();
        for request in known {
            let grant = match &requests.borrower {
                Borrower::Vm(vm) => {
                    let relay = self.zone_relays.relay(&request.resource);
                    relay.serve(vm, &request.request, now)
                }
                Borrower::Zone(zone) => {
                    self.grant_to_zone(&request.resource, zone, &request.request, leadership, now)
                }
            };
            grants.grants.extend(granted(&request.resource, grant));
        }
        grants
    }

    /// Takes one request from the reserve at `now`, a moment at which this daemon was the leader of
    /// the fleet that `request` is addressed to.
    pub fn take_from_reserve(&mut self, request: &ReserveRequest, now: Moment) -> bool {
        let Some(allowance) = self.workspaces.get(&request.workspace) else {
            return false;
        };
        let parts = self.split().reserve();
        self.reserve
            .take(request.epoch, &request.workspace, *allowance, parts, now)
    }

    fn grant_to_zone(
        &mut self,
        resource: &Resource,
        borrower: &ZoneLeader,
        request: &Request,
        leadership: Leadership,
        now: Moment,
    ) -> Option<Grant> {
        let pool = self.pool();
        let predecessor = (!leadership.is_first()).then_some(leadership.since);
        let new = || granter(pool, predecessor);
        let granter = self.fleet.entry(resource.clone()).or_insert_with(new);
        let grant = granter.ask(borrower, request, Moment(u64::MAX), now);
        let zones = &self.zones;
        granter.settle(|reported| {
            zones
                .iter()
                .all(|zone| reported.iter().any(|leader| leader.zone == *zone))
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

fn granter<K: Ord + Clone>(total: u64, predecessor: Option<Moment>) -> Granter<K> {
    let granter = Granter::new(total, LEND_TERM_MS);
    match predecessor {
        Some(since) => granter.with_predecessor(since),
        None => granter,
    }
}

fn granted(resource: &Resource, grant: Option<Grant>) -> Option<ResourceGrant> {
    let resource = resource.clone();
    grant.map(|grant| ResourceGrant { resource, grant })
}

/// Returns the leadership in `epoch` unless it is a continuation of `before`.
fn new_leadership(
    before: Option<Leadership>,
    epoch: Option<u64>,
    now: Moment,
) -> Option<Leadership> {
    let epoch = epoch?;
    let continues = before.is_some_and(|leadership| leadership.epoch == epoch);
    (!continues).then_some(Leadership { epoch, since: now })
}
