//! State of a control daemon.

use std::collections::{BTreeMap, BTreeSet};

use key::Ring;
use key::confirm::Listed;
use member::Member;
use store::ListedVm;
use timer::Moment;
use wire::Vm;
use wire::keyring::{Keyring, Record};
use wire::report::Report;
use wire::sync::{Receipt, Response, Timestamp};
use wire::view::{Config, Entry, Versions};

use crate::crashes::Crashes;
use crate::leader::{FLEET_SILENCE_MS, LeaderLease, ZONE_SILENCE_MS};
use crate::quorum::{self, Quorum};
use crate::revisions::Revisions;
use crate::roster::Roster;

/// Maximum number of withdrawals that are forwarded at once; larger batches wait for the periodic
/// exchange.
const MAX_URGENT: usize = 64;

/// Time after the platform's recovery from which its records count as proof of freshness even if no
/// other daemon has responded since, in milliseconds.
const PLATFORM_PROOF_DELAY_MS: u64 = 5_000;

/// State of a control daemon, as read from the platform and received from peers.
#[derive(Debug)]
pub struct State {
    pub(crate) vm: Vm,
    pub(crate) zone: String,
    pub(crate) started: Moment,
    /// Highest valid revision of the configuration; its number never decreases.
    pub(crate) revisions: Revisions,
    /// Latest revision that was invalid; zero if none. Earlier valid revisions are still accepted.
    rejected: u64,
    pub(crate) ring: Ring,
    /// Key records as last read from the platform.
    saved: Ring,
    /// Latest moment at which every withdrawal was known; never decreases.
    fresh_at: Option<Moment>,
    pub(crate) roster: Roster,
    /// VMs that still respond although the platform no longer lists them.
    pub(crate) unlisted: BTreeMap<String, Entry>,
    pub(crate) member: Member,
    pub(crate) zone_leader: LeaderLease,
    pub(crate) fleet_leader: LeaderLease,
    /// Leaders of other zones, by zone.
    pub(crate) other_leaders: BTreeMap<String, String>,
    pub(crate) quorum: Quorum,
    /// Latest timestamp received from each VM.
    pub(crate) timestamps: BTreeMap<String, Timestamp>,
    /// Moments at which VMs last failed to respond.
    pub(crate) failed_at: BTreeMap<String, Moment>,
    /// Start of the latest successful exchange.
    pub(crate) synced_at: Option<Moment>,
    /// Whether the last VM of the zone that responded reported the platform as down.
    pub(crate) reported_store_down: bool,
    pub(crate) store_up: bool,
    store_answered_at: Option<Moment>,
    /// Moment at which the platform last started to respond; initially the start of the daemon.
    store_recovered_at: Moment,
    /// Whether the next round starts without waiting for its interval.
    pub(crate) round_due: bool,
    /// Withdrawals to forward at once.
    urgent: Vec<Record>,
    pub(crate) gate: Report,
    pub(crate) crashes: Crashes,
}

/// Changes of the state that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// A newer valid revision of the configuration arrived.
    pub config: bool,
    /// A newer revision of the configuration arrived but is invalid.
    pub rejected: bool,
    /// The key records changed.
    pub keys: bool,
}

impl State {
    /// Creates the state of a daemon that has received nothing yet.
    #[must_use]
    pub fn new(vm: Vm, zone: &str, now: Moment) -> Self {
        Self {
            member: Member::new(&vm, member::Settings::default()),
            vm,
            zone: zone.to_owned(),
            started: now,
            revisions: Revisions::new(),
            rejected: 0,
            ring: Ring::new(),
            saved: Ring::new(),
            fresh_at: None,
            roster: Roster::new(),
            unlisted: BTreeMap::new(),
            zone_leader: LeaderLease::new(ZONE_SILENCE_MS, now),
            fleet_leader: LeaderLease::new(FLEET_SILENCE_MS, now),
            other_leaders: BTreeMap::new(),
            quorum: Quorum::new(),
            timestamps: BTreeMap::new(),
            failed_at: BTreeMap::new(),
            synced_at: None,
            reported_store_down: false,
            store_up: false,
            store_answered_at: None,
            store_recovered_at: now,
            round_due: false,
            urgent: Vec::new(),
            gate: Report::default(),
            crashes: Crashes::default(),
        }
    }

    /// Applies a revision of the configuration if it is newer and valid.
    pub fn apply_config(&mut self, config: &Config) -> Change {
        if config.revision <= self.revision() || config.revision == self.rejected {
            return Change::default();
        }
        let valid = text::parse(&config.text).is_ok();
        if valid {
            self.revisions.advance(config.clone());
        } else {
            self.rejected = config.revision;
        }
        Change {
            config: valid,
            rejected: !valid,
            keys: false,
        }
    }

    /// Merges key records and returns whether this changed any.
    pub fn merge_keys(&mut self, keyring: &Keyring) -> bool {
        let withdrawn_before = self.ring.withdrawn();
        let is_new = |record: &&Record| {
            record.withdrawn && self.ring.judge(&record.hash) != key::Verdict::Withdrawn
        };
        let new_withdrawals: Vec<Record> = keyring.records.iter().filter(is_new).cloned().collect();
        let changed = self.ring.merge(keyring);
        if new_withdrawals.len() <= MAX_URGENT && self.ring.withdrawn() > withdrawn_before {
            self.urgent.extend(new_withdrawals);
        }
        changed
    }

    /// Merges all key records of the platform, as read by a request sent at `requested_at`.
    pub fn merge_saved_keys(&mut self, keyring: &Keyring, requested_at: Moment) -> bool {
        self.saved = Ring::new();
        self.saved.merge(keyring);
        let changed = self.merge_keys(keyring);
        self.note_platform_read(requested_at);
        changed
    }

    /// Notes that all of the platform's records as of `requested_at` are known. Just after an outage
    /// they may lack withdrawals that daemons have yet to write there, so they count as proof of
    /// freshness only after an exchange with another daemon since the recovery, or after
    /// `PLATFORM_PROOF_DELAY_MS` if no daemon responds.
    pub fn note_platform_read(&mut self, requested_at: Moment) {
        let exchanged = self
            .synced_at
            .is_some_and(|at| at >= self.store_recovered_at);
        let is_own = |entry: &Entry| entry.name == self.vm.name;
        let is_alone = !self.roster.is_empty() && self.roster.entries().all(is_own);
        if exchanged
            || is_alone
            || requested_at.ms_since(self.store_recovered_at) >= PLATFORM_PROOF_DELAY_MS
        {
            self.note_fresh(requested_at);
        }
    }

    /// Returns withdrawn records that the platform has not stored as withdrawn.
    #[must_use]
    pub fn unsaved(&self) -> Vec<Record> {
        if self.saved.digest() == self.ring.digest() {
            return Vec::new();
        }
        let mut withdrawals = self.ring.withdrawals().records;
        withdrawals.retain(|record| self.saved.judge(&record.hash) != key::Verdict::Withdrawn);
        withdrawals
    }

    /// Removes and returns the withdrawals to forward at once.
    pub fn take_urgent(&mut self) -> Keyring {
        Keyring {
            records: std::mem::take(&mut self.urgent),
        }
    }

    /// Returns whether the next round starts without waiting, and resets this.
    pub fn take_round_due(&mut self) -> bool {
        std::mem::take(&mut self.round_due)
    }

    /// Returns whether there are withdrawals to forward at once.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns the records that the sender of `response`, given to a detailed request, lacks.
    #[must_use]
    pub fn records_missing_from(&self, response: &Response) -> Keyring {
        let known = response.keys.as_ref();
        known.map_or_else(Keyring::default, |known| {
            self.ring.beyond(&response.key_shards, known)
        })
    }

    /// Returns whether no list of VMs has been received yet.
    #[must_use]
    pub fn has_empty_roster(&self) -> bool {
        self.roster.is_empty()
    }

    /// Returns the name of this VM and of its zone.
    #[must_use]
    pub fn identity(&self) -> (String, String) {
        (self.vm.name.clone(), self.zone.clone())
    }

    /// Returns the names of the VMs in the platform's list.
    #[must_use]
    pub fn listed_names(&self) -> BTreeSet<String> {
        let entries = self.roster.entries();
        entries.map(|entry| entry.name.clone()).collect()
    }

    /// Returns the incarnation of this daemon.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.vm.incarnation
    }

    /// Notes that every withdrawal before `at` is known.
    pub fn note_fresh(&mut self, at: Moment) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Applies the platform's list of VMs as of `index`.
    pub fn apply_vms(&mut self, vms: &[ListedVm], index: u64, now: Moment) {
        let before = self.roster.clone();
        if self.roster.replace(vms, index) {
            self.note_roster(&before, now);
        }
    }

    /// Updates the membership after the list of VMs has replaced `before`.
    pub(crate) fn note_roster(&mut self, before: &Roster, now: Moment) {
        let names = self.roster.entries().map(|entry| entry.name.as_str());
        self.member.list(names, now);
        for entry in before.entries() {
            if self.roster.entry(&entry.name).is_none() {
                self.unlisted.insert(entry.name.clone(), entry.clone());
            }
        }
        self.unlisted
            .retain(|name, _| self.roster.entry(name).is_none());
    }

    /// Notes whether the platform's service responded to a call, and returns whether that changed.
    pub fn note_store(&mut self, up: bool, now: Moment) -> bool {
        if up {
            self.store_answered_at = Some(now);
        }
        let changed = self.store_up != up;
        if changed && up {
            self.store_recovered_at = now;
        }
        self.store_up = up;
        changed
    }

    /// Returns whether the platform has not responded to this daemon for [`quorum::DOWN_MS`].
    #[must_use]
    pub fn is_store_silent(&self, now: Moment) -> bool {
        let since = self.store_answered_at.unwrap_or(self.started);
        now.ms_since(since) > quorum::DOWN_MS
    }

    /// Returns the identity of the daemon's gate, once the gate has sent a report.
    #[must_use]
    pub fn gate(&self) -> Option<Vm> {
        let gate = &self.gate.gate;
        (!gate.name.is_empty()).then(|| gate.clone())
    }

    /// Returns a receipt for key records that were sent directly to this daemon.
    #[must_use]
    pub fn receipt(&self) -> Receipt {
        Receipt {
            from: self.vm.clone(),
            zone: self.zone.clone(),
            roster: self.roster.version(),
            withdrawn: self.withdrawn(),
        }
    }

    pub(crate) fn listed(&self) -> impl Iterator<Item = Listed<'_>> {
        self.roster.entries().map(|entry| Listed {
            name: &entry.name,
            zone: &entry.zone,
        })
    }

    /// Returns whether this VM's gate has started its graceful shutdown.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.gate.leaving
    }

    /// Returns the number of withdrawn key records.
    #[must_use]
    pub fn withdrawn(&self) -> u64 {
        self.ring.withdrawn() as u64
    }

    /// Returns the number of key records.
    #[must_use]
    pub fn keys(&self) -> u64 {
        self.ring.len() as u64
    }

    /// Returns the configuration, if there is one.
    #[must_use]
    pub fn text(&self) -> Option<Config> {
        self.config_for(Versions::default())
    }

    /// Returns the highest valid revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revisions.current().revision
    }

    /// Returns the latest revision that was invalid; zero if none.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the latest moment at which every withdrawal was known.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Moment> {
        self.fresh_at
    }

    /// Returns the versions of the state that this daemon has.
    pub(crate) fn versions(&self) -> Versions {
        Versions {
            revision: self.revision(),
            keys: self.ring.digest(),
        }
    }

    pub(crate) fn config_for(&self, versions: Versions) -> Option<Config> {
        let current = self.revisions.current();
        (current.revision > versions.revision).then(|| current.clone())
    }

    pub(crate) fn fresh_age_ms(&self, now: Moment) -> Option<u64> {
        self.fresh_at.map(|at| now.ms_since(at))
    }
}
