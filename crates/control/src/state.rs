//! What a control daemon knows, and how it changes.

use std::collections::{BTreeMap, BTreeSet};

use key::KeySet;
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
use crate::lead::{FLEET_SILENCE_MS, Lead, ZONE_SILENCE_MS};
use crate::quorum::{self, Quorum};
use crate::revisions::Revisions;
use crate::roster::Roster;

/// Most withdrawals that are sent on at once; more of them wait for the periodic exchange.
const MAX_URGENT: usize = 64;

/// Time after which the platform's records count as proof although no other daemon answered since
/// the platform came back, in milliseconds.
const UNHEARD_MS: u64 = 5_000;

/// A control daemon's knowledge.
#[derive(Debug)]
pub struct State {
    pub(crate) vm: Vm,
    pub(crate) zone: String,
    pub(crate) started: Moment,
    /// Highest revision that could be read; its number never falls.
    pub(crate) revisions: Revisions,
    /// The last revision that could not be read; zero if none. An earlier one that can be read
    /// is still taken.
    rejected: u64,
    pub(crate) ring: KeySet,
    /// Key records as the platform last showed them.
    saved: KeySet,
    /// Latest moment at which every withdrawal was known; never falls.
    fresh_at: Option<Moment>,
    pub(crate) roster: Roster,
    /// VMs that answer though the platform no longer lists them.
    pub(crate) kept: BTreeMap<String, Entry>,
    pub(crate) member: Member,
    pub(crate) zone_lead: Lead,
    pub(crate) fleet_lead: Lead,
    /// Leads of other zones, by zone.
    pub(crate) other_leads: BTreeMap<String, String>,
    pub(crate) quorum: Quorum,
    /// Newest stamp received from each VM.
    pub(crate) stamps: BTreeMap<String, Timestamp>,
    /// When VMs last failed to answer.
    pub(crate) failed: BTreeMap<String, Moment>,
    /// When the last exchange that succeeded was begun.
    pub(crate) synced_at: Option<Moment>,
    /// Whether the VM that was last asked said that the platform is down.
    pub(crate) told_down: bool,
    pub(crate) store_up: bool,
    store_answered_at: Option<Moment>,
    /// When the platform last began to answer; at first, when the daemon started.
    store_back_at: Moment,
    /// Whether the next round is due at once.
    pub(crate) hurry: bool,
    /// Withdrawals to be sent on at once.
    urgent: Vec<Record>,
    pub(crate) gate: Report,
    pub(crate) crashes: Crashes,
}

/// What a change brought that others should hear of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Change {
    /// A newer revision of the text arrived.
    pub config: bool,
    /// A newer revision arrived that cannot be read.
    pub rejected: bool,
    /// The key records changed.
    pub keys: bool,
}

impl State {
    /// Creates the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(vm: Vm, zone: &str, now: Moment) -> Self {
        Self {
            member: Member::new(&vm, member::Settings::default()),
            vm,
            zone: zone.to_owned(),
            started: now,
            revisions: Revisions::new(),
            rejected: 0,
            ring: KeySet::new(),
            saved: KeySet::new(),
            fresh_at: None,
            roster: Roster::new(),
            kept: BTreeMap::new(),
            zone_lead: Lead::new(ZONE_SILENCE_MS, now),
            fleet_lead: Lead::new(FLEET_SILENCE_MS, now),
            other_leads: BTreeMap::new(),
            quorum: Quorum::new(),
            stamps: BTreeMap::new(),
            failed: BTreeMap::new(),
            synced_at: None,
            told_down: false,
            store_up: false,
            store_answered_at: None,
            store_back_at: now,
            hurry: false,
            urgent: Vec::new(),
            gate: Report::default(),
            crashes: Crashes::default(),
        }
    }

    /// Takes a revision of the text if it is newer and can be read.
    pub fn learn_config(&mut self, config: &Config) -> Change {
        if config.revision <= self.revision() || config.revision == self.rejected {
            return Change::default();
        }
        let readable = text::parse(&config.text).is_ok();
        if readable {
            self.revisions.advance(config.clone());
        } else {
            self.rejected = config.revision;
        }
        Change {
            config: readable,
            rejected: !readable,
            keys: false,
        }
    }

    /// Takes key records and returns whether they changed anything.
    pub fn learn_keys(&mut self, keyring: &Keyring) -> bool {
        let withdrawn_before = self.ring.withdrawn();
        let fresh = |record: &&Record| {
            record.withdrawn && self.ring.check(&record.hash) != key::Verdict::Withdrawn
        };
        let news: Vec<Record> = keyring.records.iter().filter(fresh).cloned().collect();
        let changed = self.ring.merge(keyring);
        if news.len() <= MAX_URGENT && self.ring.withdrawn() > withdrawn_before {
            self.urgent.extend(news);
        }
        changed
    }

    /// Takes all key records of the platform, which was asked at `asked`.
    pub fn learn_saved_keys(&mut self, keyring: &Keyring, asked: Moment) -> bool {
        self.saved = KeySet::new();
        self.saved.merge(keyring);
        let changed = self.learn_keys(keyring);
        self.prove_by_platform(asked);
        changed
    }

    /// Notes that the platform's records, asked for at `asked`, are all known. Just after an outage
    /// they may lack withdrawals that daemons have yet to write there, so they count as proof only
    /// once another daemon's records were taken since, or after a while if none answers.
    pub fn prove_by_platform(&mut self, asked: Moment) {
        let heard = self.synced_at.is_some_and(|at| at >= self.store_back_at);
        let is_own = |entry: &Entry| entry.name == self.vm.name;
        let alone = !self.roster.is_empty() && self.roster.entries().all(is_own);
        if heard || alone || asked.ms_since(self.store_back_at) >= UNHEARD_MS {
            self.prove_fresh(asked);
        }
    }

    /// Returns withdrawn records that the platform does not show as withdrawn.
    #[must_use]
    pub fn unsaved(&self) -> Vec<Record> {
        if self.saved.digest() == self.ring.digest() {
            return Vec::new();
        }
        let mut withdrawals = self.ring.withdrawals().records;
        withdrawals.retain(|record| self.saved.check(&record.hash) != key::Verdict::Withdrawn);
        withdrawals
    }

    /// Takes the withdrawals that are to be sent on at once.
    pub fn take_urgent(&mut self) -> Keyring {
        Keyring {
            records: std::mem::take(&mut self.urgent),
        }
    }

    /// Returns once whether the next round is due at once.
    pub fn take_hurry(&mut self) -> bool {
        std::mem::take(&mut self.hurry)
    }

    /// Returns whether something is to be sent on at once.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns the records that the sender of `answer`, given to a detailed question, lacks.
    #[must_use]
    pub fn beyond(&self, answer: &Response) -> Keyring {
        let known = answer.keys.as_ref();
        known.map_or_else(Keyring::default, |known| {
            self.ring.missing_from(&answer.key_shards, known)
        })
    }

    /// Returns whether no list of VMs is known.
    #[must_use]
    pub fn knows_nobody(&self) -> bool {
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

    /// Returns the number of this run.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.vm.incarnation
    }

    /// Notes that every withdrawal before `at` is known.
    pub fn prove_fresh(&mut self, at: Moment) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Takes the platform's list of VMs as of `index`.
    pub fn learn_vms(&mut self, vms: &[ListedVm], index: u64, now: Moment) {
        let before = self.roster.clone();
        if self.roster.replace(vms, index) {
            self.note_roster(&before, now);
        }
    }

    /// Takes over the list of VMs that replaced `before`.
    pub(crate) fn note_roster(&mut self, before: &Roster, now: Moment) {
        let names = self.roster.entries().map(|entry| entry.name.as_str());
        self.member.set_listed(names, now);
        for entry in before.entries() {
            if self.roster.entry(&entry.name).is_none() {
                self.kept.insert(entry.name.clone(), entry.clone());
            }
        }
        self.kept
            .retain(|name, _| self.roster.entry(name).is_none());
    }

    /// Notes whether the platform's service answered a call, and returns whether that changed.
    pub fn note_store(&mut self, up: bool, now: Moment) -> bool {
        if up {
            self.store_answered_at = Some(now);
        }
        let changed = self.store_up != up;
        if changed && up {
            self.store_back_at = now;
        }
        self.store_up = up;
        changed
    }

    /// Returns whether the platform has not answered this daemon for a while.
    #[must_use]
    pub fn store_is_silent(&self, now: Moment) -> bool {
        let since = self.store_answered_at.unwrap_or(self.started);
        now.ms_since(since) > quorum::DOWN_MS
    }

    /// Returns the identity of the daemon's gate, once that has reported.
    #[must_use]
    pub fn gate(&self) -> Option<Vm> {
        let gate = &self.gate.gate;
        (!gate.name.is_empty()).then(|| gate.clone())
    }

    /// Returns a receipt for key records that were sent straight to this daemon.
    #[must_use]
    pub fn receipt(&self) -> Receipt {
        Receipt {
            from: self.vm.clone(),
            zone: self.zone.clone(),
            roster: self.roster.edition(),
            withdrawn: self.withdrawn(),
        }
    }

    pub(crate) fn listed(&self) -> impl Iterator<Item = Listed<'_>> {
        self.roster.entries().map(|entry| Listed {
            name: &entry.name,
            zone: &entry.zone,
        })
    }

    /// Returns whether this VM's gate began its graceful shutdown.
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

    /// Returns the text, if there is one.
    #[must_use]
    pub fn text(&self) -> Option<Config> {
        self.config_for(Versions::default())
    }

    /// Returns the highest revision that could be read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revisions.current().revision
    }

    /// Returns the last revision that could not be read; zero if none.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the latest moment at which every withdrawal was known.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Moment> {
        self.fresh_at
    }

    /// Returns what this daemon has.
    pub(crate) fn have(&self) -> Versions {
        Versions {
            revision: self.revision(),
            keys: self.ring.digest(),
        }
    }

    pub(crate) fn config_for(&self, have: Versions) -> Option<Config> {
        let current = self.revisions.current();
        (current.revision > have.revision).then(|| current.clone())
    }

    pub(crate) fn fresh_age_ms(&self, now: Moment) -> Option<u64> {
        self.fresh_at.map(|at| now.ms_since(at))
    }
}
