//! What entry VMs tell each other.
//!
//! In each zone the live entry VM with the highest rank leads. The others tell it about
//! themselves ([`Scope::Vm`]), the leads tell each other about their zones ([`Scope::Zone`]),
//! and each lead tells its zone about the fleet ([`Scope::Fleet`]). Traffic between zones thus
//! grows with the number of zones and not of VMs, and a list of VMs that has not changed is told every
//! few turns only. A VM whose lead falls silent needs no election:
//! it tells the next ranks too, and the first of those that hears of no higher one leads.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{Announcement, Member, Message, Report, Scope};

/// Silence after which an entry VM no longer leads.
const LEAD_SILENCE: Duration = Duration::from_millis(1_200);

/// Silence after which an entry VM no longer counts as alive.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Silence after which an entry VM is forgotten, whether or not it is still announced.
const FORGET: Duration = Duration::from_secs(20);

/// Silence after which a withdrawn entry VM is forgotten.
const FORGET_WITHDRAWN: Duration = Duration::from_secs(10);

/// Ranks of a zone that are told about each VM, so that another can take the lead at once.
const TOLD_RANKS: usize = 3;

/// Turns after which what has not changed is told again: those ranks that do not lead, and lists of
/// VMs. A lost message is made good after as many, well within [`SILENCE`].
const REPEAT: usize = 4;

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    is_announced: bool,
    rank: u64,
    /// When it became known or was last heard of, from itself or from others.
    last: Instant,
    /// When it was last heard itself.
    spoke: Option<Instant>,
}

#[derive(Debug)]
struct Told {
    report: Report,
    vm: String,
    at: Instant,
}

/// All that an entry VM knows of the others.
#[derive(Debug)]
pub struct Membership {
    name: String,
    own: Announcement,
    hash: fn(&str) -> u64,
    known: HashMap<String, Known>,
    /// By VM of this zone.
    hellos: HashMap<String, Told>,
    /// By zone.
    digests: HashMap<String, Told>,
    picture: Option<Told>,
    /// What was last told about this VM.
    told: Report,
    /// Number of times that others were told.
    turn: usize,
    /// Lists of VMs as they were last told.
    said: HashMap<Scope, Said>,
}

/// A list of VMs as it was last told.
#[derive(Debug, Default, PartialEq)]
struct Said {
    /// VMs, and whether callers may be sent to them.
    vms: Vec<(u64, bool)>,
    targets: Vec<SocketAddr>,
}

impl Membership {
    /// Creates the board of the VM `name`, which ranks names by `hash`.
    #[must_use]
    pub fn new(name: &str, own: Announcement, hash: fn(&str) -> u64) -> Self {
        Self {
            name: name.to_owned(),
            own,
            hash,
            known: HashMap::new(),
            hellos: HashMap::new(),
            digests: HashMap::new(),
            picture: None,
            told: Report::default(),
            turn: 0,
            said: HashMap::new(),
        }
    }

    /// Returns how this VM is reached.
    #[must_use]
    pub fn own_announcement(&self) -> &Announcement {
        &self.own
    }

    /// Returns the number of entry VMs, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Takes an announcement from the store.
    pub fn announce(&mut self, vm: &str, announcement: Announcement, now: Instant) {
        if let Some(known) = self.know(vm, announcement, now) {
            known.is_announced = true;
        }
    }

    /// Takes the end of an announcement.
    pub fn withdraw(&mut self, vm: &str) {
        if let Some(known) = self.known.get_mut(vm) {
            known.is_announced = false;
        }
    }

    fn know(&mut self, vm: &str, announcement: Announcement, now: Instant) -> Option<&mut Known> {
        if vm == self.name {
            return None;
        }
        let rank = (self.hash)(vm);
        let known = self.known.entry(vm.to_owned()).or_insert_with(|| Known {
            announcement: announcement.clone(),
            is_announced: false,
            rank,
            last: now,
            spoke: None,
        });
        known.announcement = announcement;
        Some(known)
    }

    /// Takes a message.
    pub fn receive(&mut self, mut message: Message, now: Instant) {
        if message.are_vms_unchanged {
            message.report.vms = self.vms_told_by(&message);
        }
        let zone = message.announcement.zone.clone();
        let Some(known) = self.know(&message.vm, message.announcement, now) else {
            return;
        };
        known.last = now;
        known.spoke = Some(now);
        self.note_seen(&message.report, now);
        let told = Told {
            report: message.report,
            vm: message.vm.clone(),
            at: now,
        };
        let is_own_zone = zone == self.own.zone;
        match message.scope {
            Scope::Vm if is_own_zone => {
                self.hellos.insert(message.vm, told);
            }
            Scope::Zone if !is_own_zone => self.take_digest(zone, told),
            Scope::Fleet if is_own_zone => self.picture = Some(told),
            Scope::Vm | Scope::Zone | Scope::Fleet => {}
        }
    }

    /// Returns the VMs that the sender of `message` told last.
    fn vms_told_by(&self, message: &Message) -> Vec<Member> {
        let told = match message.scope {
            Scope::Vm => self.hellos.get(&message.vm),
            Scope::Zone => self.digests.get(&message.announcement.zone),
            Scope::Fleet => self.picture.as_ref(),
        };
        let told = told.filter(|told| told.vm == message.vm);
        told.map(|told| told.report.vms.clone()).unwrap_or_default()
    }

    /// Takes what a VM tells about its zone. While two of a zone lead, the higher rank counts.
    fn take_digest(&mut self, zone: String, told: Told) {
        let outranks = |earlier: &Told| {
            let is_recent = told.at.duration_since(earlier.at) < LEAD_SILENCE;
            is_recent && (self.hash)(&earlier.vm) > (self.hash)(&told.vm)
        };
        if !self.digests.get(&zone).is_some_and(outranks) {
            self.digests.insert(zone, told);
        }
    }

    /// Notes that the VMs of `report` are alive.
    fn note_seen(&mut self, report: &Report, now: Instant) {
        let seen: HashSet<u64> = report.vms.iter().map(|seen| seen.vm).collect();
        for known in self.known.values_mut() {
            if seen.contains(&known.rank) {
                known.last = now;
            }
        }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            let limit = if known.is_announced {
                FORGET
            } else {
                FORGET_WITHDRAWN
            };
            now.duration_since(known.last) < limit
        });
        self.hellos
            .retain(|_, told| now.duration_since(told.at) < SILENCE);
        self.digests
            .retain(|_, told| now.duration_since(told.at) < SILENCE);
        self.picture
            .take_if(|told| now.duration_since(told.at) >= LEAD_SILENCE);
    }

    /// Returns whether this VM leads its zone.
    #[must_use]
    pub fn is_leader(&self, now: Instant) -> bool {
        let own = (self.hash)(&self.name);
        let is_higher = |known: &&Known| {
            let is_heard = known
                .spoke
                .is_some_and(|at| now.duration_since(at) < LEAD_SILENCE);
            is_heard && known.announcement.zone == self.own.zone && known.rank > own
        };
        !self.known.values().any(|known| is_higher(&known))
    }

    /// Returns the state service of the VM that leads the zone, if that is another.
    #[must_use]
    pub fn leader_state_addr(&self, now: Instant) -> Option<SocketAddr> {
        let picture = self.picture.as_ref().filter(|_| !self.is_leader(now))?;
        self.known.get(&picture.vm)?.announcement.state
    }

    /// Returns the messages to send, if `own` is to be told about this VM.
    #[must_use]
    pub fn messages(&mut self, own: Report, now: Instant) -> Vec<(SocketAddr, Message)> {
        self.told = own;
        self.turn = self.turn.wrapping_add(1);
        let mut messages = self.hello(now);
        if !self.is_leader(now) {
            return messages;
        }
        let digest = self.zone_report();
        let targets = self.digest_targets(now);
        messages.extend(self.tell(targets, Scope::Zone, &digest));
        let picture = self.merge_zone_reports(digest);
        let zone = self.hellos.keys().filter_map(|vm| self.known.get(vm));
        let zone: Vec<SocketAddr> = zone.map(|known| known.announcement.peer).collect();
        messages.extend(self.tell(zone, Scope::Fleet, &picture));
        messages
    }

    fn tell(
        &mut self,
        mut targets: Vec<SocketAddr>,
        kind: Scope,
        report: &Report,
    ) -> Vec<(SocketAddr, Message)> {
        targets.sort_unstable();
        let mut report = report.clone();
        let are_vms_unchanged = kind != Scope::Vm && self.have_heard(kind, &report, &targets);
        if are_vms_unchanged {
            report.vms.clear();
        }
        let message = Message {
            vm: self.name.clone(),
            announcement: self.own.clone(),
            scope: kind,
            report,
            are_vms_unchanged,
        };
        let targets = targets.into_iter();
        targets.map(|target| (target, message.clone())).collect()
    }

    /// Returns whether the VMs of `report` need not be told, and remembers them.
    fn have_heard(&mut self, kind: Scope, report: &Report, targets: &[SocketAddr]) -> bool {
        let mut vms: Vec<(u64, bool)> = report
            .vms
            .iter()
            .map(|seen| (seen.vm, seen.is_ready))
            .collect();
        vms.sort_unstable();
        let said = Said {
            vms,
            targets: targets.to_vec(),
        };
        let is_due = self.turn.is_multiple_of(REPEAT);
        let before = self.said.insert(kind, said);
        !is_due && before.as_ref() == self.said.get(&kind)
    }

    /// Tells the lead about this VM, and the next ranks now and then. One that hears of no lead tells
    /// every higher rank, since any of them may lead.
    fn hello(&mut self, now: Instant) -> Vec<(SocketAddr, Message)> {
        let own = (self.hash)(&self.name);
        let is_led = self.picture.is_some() && !self.is_leader(now);
        let is_told = |known: &&Known| {
            let is_alive = now.duration_since(known.last) < SILENCE;
            if is_led { is_alive } else { known.rank > own }
        };
        let mut targets = self.ranked(&self.own.zone, is_told);
        if is_led {
            targets.truncate(TOLD_RANKS);
            if !self.turn.is_multiple_of(REPEAT) {
                targets.retain(|target| Some(*target) == self.lead_peer());
            }
        }
        let told = self.told.clone();
        self.tell(targets, Scope::Vm, &told)
    }

    /// Returns the address for messages of the VM whose picture this VM has.
    fn lead_peer(&self) -> Option<SocketAddr> {
        let picture = self.picture.as_ref()?;
        Some(self.known.get(&picture.vm)?.announcement.peer)
    }

    /// Returns the addresses of those of a zone's other VMs that pass `filter`, highest rank first.
    fn ranked(&self, zone: &str, filter: impl Fn(&&Known) -> bool) -> Vec<SocketAddr> {
        let own = self
            .known
            .values()
            .filter(|known| known.announcement.zone == zone);
        let own = own.filter(filter);
        let mut ranked: Vec<(u64, SocketAddr)> = own
            .map(|known| (known.rank, known.announcement.peer))
            .collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Returns the lead of each other zone. Where it is not known, the highest living ranks are
    /// told, and another VM each time.
    fn digest_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let zones = self
            .known
            .values()
            .map(|known| known.announcement.zone.as_str());
        let zones: HashSet<&str> = zones.filter(|zone| *zone != self.own.zone).collect();
        let mut targets = Vec::new();
        for zone in zones {
            let lead = self
                .digests
                .get(zone)
                .and_then(|told| self.known.get(&told.vm));
            if let Some(known) = lead {
                targets.push(known.announcement.peer);
                continue;
            }
            let is_alive = |known: &&Known| now.duration_since(known.last) < SILENCE;
            targets.extend(self.ranked(zone, is_alive).into_iter().take(TOLD_RANKS));
            let all = self.ranked(zone, |_| true);
            targets.push(all[self.turn % all.len()]);
        }
        targets
    }

    /// Returns what is known of this zone.
    fn zone_report(&self) -> Report {
        let mut report = self.told.clone();
        for told in self.hellos.values() {
            report.merge(&told.report);
        }
        report
    }

    /// Returns what is known of the fleet if `zone` is known of this zone.
    fn merge_zone_reports(&self, mut zone: Report) -> Report {
        for told in self.digests.values() {
            zone.merge(&told.report);
        }
        zone
    }

    /// Returns what is known of the fleet, this VM included.
    #[must_use]
    pub fn fleet_report(&self, now: Instant) -> Report {
        match &self.picture {
            Some(picture) if !self.is_leader(now) => picture.report.clone(),
            _ => self.merge_zone_reports(self.zone_report()),
        }
    }

    /// Returns what was last told about this VM.
    #[must_use]
    pub fn own_report(&self) -> &Report {
        &self.told
    }

    /// Returns the announcements of the other VMs of `report` that callers may be sent to.
    #[must_use]
    pub fn ready<'a>(&'a self, report: &Report) -> Vec<(&'a str, &'a Announcement)> {
        let ready = report.vms.iter().filter(|seen| seen.is_ready);
        let ready: HashSet<u64> = ready.map(|seen| seen.vm).collect();
        let known = self
            .known
            .iter()
            .filter(|(_, known)| ready.contains(&known.rank));
        known
            .map(|(vm, known)| (vm.as_str(), &known.announcement))
            .collect()
    }

    /// Returns the state services of VMs that know more of the store than `revision`, those that
    /// know most first.
    #[must_use]
    pub fn ahead(&self, report: &Report, revision: u64) -> Vec<SocketAddr> {
        let ahead = report.vms.iter().filter(|seen| seen.revision > revision);
        let revisions: HashMap<u64, u64> = ahead.map(|seen| (seen.vm, seen.revision)).collect();
        let state = |known: &Known| {
            let revision = revisions.get(&known.rank)?;
            Some((*revision, known.announcement.state?))
        };
        let mut ahead: Vec<(u64, SocketAddr)> = self.known.values().filter_map(state).collect();
        ahead.sort_by_key(|(revision, _)| std::cmp::Reverse(*revision));
        ahead.into_iter().map(|(_, state)| state).collect()
    }
}
