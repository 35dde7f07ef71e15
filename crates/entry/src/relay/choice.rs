//! Choice of the VMs through which a request is passed on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::config::may_run_in;
use fleet::restore::Position;

use crate::dispatch::Dispatch;
use crate::snapshot;
use crate::state::State;

/// Time for which a VM that could not help is not asked again.
const REST: Duration = Duration::from_secs(1);

/// The same for a VM that answers no questions: its refusals are all that is known of it.
const SILENT_REST: Duration = Duration::from_secs(5);

/// Time within which a VM of an older version tells which state of the store it knows.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Another VM through which a request may be passed on.
#[derive(Debug, Clone, Copy)]
pub struct Helper {
    /// Hash of its name.
    pub name: u64,
    /// Address for relayed requests.
    pub addr: SocketAddr,
    /// Address of its state service.
    pub state: Option<SocketAddr>,
}

/// VMs that could not help, by the service for which, and until when they are not asked.
#[derive(Debug, Default)]
pub struct Resting(RefCell<HashMap<(u64, String), Instant>>);

impl Resting {
    fn contains(&self, vm: u64, service: &str, now: Instant) -> bool {
        let resting = self.0.borrow();
        let is_resting = |service: &str| {
            let until = resting.get(&(vm, service.to_owned()));
            until.is_some_and(|until| now < *until)
        };
        is_resting(service) || is_resting(Self::ALL)
    }

    /// In place of a service: the VM could not help with any.
    const ALL: &str = "";

    /// Records that the VM could not help with `service`.
    fn insert(&self, vm: u64, service: &str, until: Instant, now: Instant) {
        let mut resting = self.0.borrow_mut();
        resting.retain(|_, until| now < *until);
        resting.insert((vm, service.to_owned()), until);
    }
}

/// States of the store that VMs of older versions were found to know.
#[derive(Debug, Default)]
pub struct Confirmed(RefCell<HashMap<u64, Position>>);

impl Dispatch<'_> {
    /// Returns the VMs that may pass the request on, nearest first: those that said that they reach a server
    /// of its service, or else those that don't answer such questions. The body of a request with home
    /// regions goes to no VM elsewhere.
    pub(super) async fn helpers(&self) -> Vec<Helper> {
        let found = self.state.find_helpers(self.service).await;
        let found = self.permitted(&found);
        if found.is_empty() {
            return self.permitted(&self.state.silent_helpers());
        }
        found
    }

    fn permitted(&self, vms: &[u64]) -> Vec<Helper> {
        let now = Instant::now();
        let homes = self.workspace.map_or(&[][..], |own| &own.home_regions);
        let membership = self.state.membership.borrow();
        let helper = |name: &u64| {
            let announcement = membership.announcement(*name)?;
            let region = self.state.region_of(&announcement.zone);
            may_run_in(region, &self.route.home_regions, homes).then_some(Helper {
                name: *name,
                addr: announcement.peer,
                state: announcement.state,
            })
        };
        let resting = &self.state.resting_relays;
        let helpers = vms.iter().filter_map(helper);
        helpers
            .filter(|helper| !resting.contains(helper.name, self.service, now))
            .collect()
    }
}

impl State {
    /// Does not ask `helper` for a while, for one service or for all.
    pub(super) fn let_rest(&self, helper: &Helper, service: Option<&str>) {
        let now = Instant::now();
        let rest = if self.scout.has_answered(helper.name) {
            REST
        } else {
            SILENT_REST
        };
        let service = service.unwrap_or(Resting::ALL);
        let resting = &self.resting_relays;
        resting.insert(helper.name, service, now + rest, now);
    }

    /// Returns whether `helper` is known to have the configuration in force here, or a later one. VMs that
    /// name the version of their configuration need not be asked.
    pub(super) async fn is_up_to_date(&self, helper: &Helper) -> bool {
        if self.scout.has_answered(helper.name) {
            return true;
        }
        let needed = self.config_position();
        let known = self.confirmed.0.borrow().get(&helper.name).copied();
        if known.is_some_and(|known| known >= needed) {
            return true;
        }
        let Some(addr) = helper.state else {
            return false;
        };
        let Ok(fetched) = snapshot::fetch(self, addr, self.position(), CONFIRM_TIMEOUT).await
        else {
            return false;
        };
        let position = Position {
            era: fetched.era.unwrap_or_default(),
            revision: fetched.snapshot.revision,
        };
        self.confirmed.0.borrow_mut().insert(helper.name, position);
        position >= needed
    }
}
