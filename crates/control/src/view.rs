//! What a control daemon shows of its knowledge: to its gate, to operators and to its own parts.

use timer::Moment;
use wire::lend::LeaderAddr;
use wire::report::Report;
use wire::status::Status;
use wire::view::{Entry, MemberState, View};

use crate::lead::{Holder, Lead, LeadTerm};
use crate::state::State;

/// What a lease is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The lead of this daemon's zone.
    Zone,
    /// The lead of the fleet.
    Fleet,
}

impl State {
    /// Takes a gate's report and returns its view.
    pub fn attach(&mut self, report: Report, now: Moment) -> View {
        let have = report.versions;
        if report.leaving {
            self.hurry |= self.member.leave();
        }
        self.hurry |= self.crashes.learn(&report.crashes, now, now);
        self.gate = report;
        View {
            control: self.vm.clone(),
            config: self.config_for(have),
            keys: (self.ring.digest() != have.keys).then(|| self.ring.keyring()),
            keys_age_ms: self.fresh_age_ms(now),
            leader: self.fleet_lead_addr(now),
            entries: self.entries(now),
            crashes: self.crashes.all(now),
            ..View::default()
        }
    }

    fn fleet_lead_addr(&self, now: Moment) -> Option<LeaderAddr> {
        let holder = self.fleet_lead.holder(now)?;
        let entry = self.roster.entry(&holder.name)?;
        Some(LeaderAddr {
            epoch: holder.epoch,
            peer: entry.peer,
        })
    }

    /// Describes the daemon, but for what its callers count.
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
            zone_leader: self.zone_lead.holder(now).map(name),
            fleet_leader: self.fleet_lead.holder(now).map(name),
            watching: self.is_watching(now),
            sync_age_ms: self.synced_at.map(|at| now.ms_since(at)),
            in_flight: self.gate.in_flight,
            roster: self.roster.edition(),
            entries: self.listed_entries().collect(),
            ..Status::default()
        }
    }

    /// Returns this daemon's term as a lead, if it is one at `now`.
    #[must_use]
    pub fn lead(&self, scope: Scope, now: Moment) -> Option<LeadTerm> {
        self.part(scope).term(now)
    }

    /// Returns the lead, if one was heard of lately.
    #[must_use]
    pub fn lead_holder(&self, scope: Scope, now: Moment) -> Option<&Holder> {
        self.part(scope).holder(now)
    }

    /// Returns the entry VMs with their standing as this daemon sees it.
    #[must_use]
    pub fn entries(&self, now: Moment) -> Vec<Entry> {
        let kept = self.kept.values();
        let kept = kept.filter(|entry| self.member.is_retained(&entry.name, now));
        let kept = kept.map(|entry| self.seen(entry));
        self.listed_entries().chain(kept).collect()
    }

    fn listed_entries(&self) -> impl Iterator<Item = Entry> {
        self.roster.entries().map(|entry| self.seen(entry))
    }

    fn seen(&self, entry: &Entry) -> Entry {
        Entry {
            state: self.member.state(&entry.name, entry.state),
            ..entry.clone()
        }
    }

    /// Returns the VMs of `zone` that are live as this daemon sees it.
    pub(crate) fn live_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Entry> {
        let live =
            move |entry: &&Entry| self.member.state(&entry.name, entry.state) == MemberState::Live;
        self.roster.entries_in(zone).filter(live)
    }

    fn part(&self, scope: Scope) -> &Lead {
        match scope {
            Scope::Zone => &self.zone_lead,
            Scope::Fleet => &self.fleet_lead,
        }
    }

    pub(crate) fn part_mut(&mut self, scope: Scope) -> &mut Lead {
        match scope {
            Scope::Zone => &mut self.zone_lead,
            Scope::Fleet => &mut self.fleet_lead,
        }
    }
}
