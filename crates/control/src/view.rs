//! Views of a control daemon's state for its gate, for operators and for its other modules.

use timer::Moment;
use wire::lend::LeaderAddr;
use wire::report::Report;
use wire::status::Status;
use wire::view::{Entry, MemberState, View};

use crate::leader::{Holder, LeaderLease, LeaderTerm};
use crate::state::State;

/// Scope of a leader lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The leader of this daemon's zone.
    Zone,
    /// The leader of the fleet.
    Fleet,
}

impl State {
    /// Applies the gate's report and returns the gate's view.
    pub fn handle_report(&mut self, report: Report, now: Moment) -> View {
        let versions = report.versions;
        if report.leaving {
            self.round_due |= self.member.leave();
        }
        self.round_due |= self.crashes.merge(&report.crashes, now, now);
        self.gate = report;
        View {
            control: self.vm.clone(),
            config: self.config_for(versions),
            keys: (self.ring.digest() != versions.keys).then(|| self.ring.keyring()),
            keys_age_ms: self.fresh_age_ms(now),
            leader: self.fleet_leader_addr(now),
            entries: self.entries(now),
            crashes: self.crashes.all(now),
            ..View::default()
        }
    }

    fn fleet_leader_addr(&self, now: Moment) -> Option<LeaderAddr> {
        let holder = self.fleet_leader.holder(now)?;
        let entry = self.roster.entry(&holder.name)?;
        Some(LeaderAddr {
            epoch: holder.epoch,
            peer: entry.peer,
        })
    }

    /// Returns the daemon's status without the counters, which the caller adds.
    #[must_use]
    pub fn status(&self, now: Moment) -> Status {
        let name = |holder: &Holder| holder.name.clone();
        Status {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            revision: self.revision(),
            gate_revision: self.gate.versions.revision,
            keys: self.keys(),
            withdrawn: self.withdrawn(),
            keys_age_ms: self.fresh_age_ms(now),
            store_up: self.store_up,
            zone_leader: self.zone_leader.holder(now).map(name),
            fleet_leader: self.fleet_leader.holder(now).map(name),
            watching: self.is_watching(now),
            sync_age_ms: self.synced_at.map(|at| now.ms_since(at)),
            in_flight: self.gate.in_flight,
            roster: self.roster.version(),
            entries: self.listed_entries().collect(),
            ..Status::default()
        }
    }

    /// Returns this daemon's term as a leader, if it is one at `now`.
    #[must_use]
    pub fn leader_term(&self, scope: Scope, now: Moment) -> Option<LeaderTerm> {
        self.lease(scope).term(now)
    }

    /// Returns the leader, if one was recently reported.
    #[must_use]
    pub fn lease_holder(&self, scope: Scope, now: Moment) -> Option<&Holder> {
        self.lease(scope).holder(now)
    }

    /// Returns the entry VMs with their member states as seen by this daemon.
    #[must_use]
    pub fn entries(&self, now: Moment) -> Vec<Entry> {
        let unlisted = self.unlisted.values();
        let unlisted = unlisted.filter(|entry| self.member.keeps(&entry.name, now));
        let unlisted = unlisted.map(|entry| self.with_member_state(entry));
        self.listed_entries().chain(unlisted).collect()
    }

    fn listed_entries(&self) -> impl Iterator<Item = Entry> {
        self.roster
            .entries()
            .map(|entry| self.with_member_state(entry))
    }

    fn with_member_state(&self, entry: &Entry) -> Entry {
        Entry {
            state: self.member.standing(&entry.name, entry.state),
            ..entry.clone()
        }
    }

    /// Returns the VMs of `zone` that this daemon considers live.
    pub(crate) fn live_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Entry> {
        let live = move |entry: &&Entry| {
            self.member.standing(&entry.name, entry.state) == MemberState::Live
        };
        self.roster.entries_in(zone).filter(live)
    }

    fn lease(&self, scope: Scope) -> &LeaderLease {
        match scope {
            Scope::Zone => &self.zone_leader,
            Scope::Fleet => &self.fleet_leader,
        }
    }

    pub(crate) fn lease_mut(&mut self, scope: Scope) -> &mut LeaderLease {
        match scope {
            Scope::Zone => &mut self.zone_leader,
            Scope::Fleet => &mut self.fleet_leader,
        }
    }
}
