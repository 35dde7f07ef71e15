//! Membership of the fleet: which entry VMs are alive and what they report.
//!
//! In each zone the live entry VM with the highest rank is the leader; VMs with more capacity rank
//! higher. The other VMs send it reports about themselves ([`Scope::Vm`]), leaders exchange reports
//! about their zones ([`Scope::Zone`]), and each leader sends a report about the fleet to its zone
//! ([`Scope::Fleet`]). Traffic between zones therefore grows with the number of zones, not of VMs. The
//! live VMs are listed by zone; a list that has not changed is resent only every few rounds, and a
//! receiver that misses a change keeps the earlier list until then. A leader is replaced without an
//! election: a VM that receives no fleet report also reports to the next ranks, and the first of those
//! that receives nothing from a higher rank becomes the leader.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use self::lists::{Known, Sent};
use crate::report::{Announced, Announcement, List, Message, Report, Scope};

mod lists;
mod rank;
mod start;
mod targets;

/// Time without a message after which an entry VM no longer counts as leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without a sign of life after which an entry VM no longer counts as alive.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a sign of life after which an entry VM is removed even if it is still announced.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Time without a sign of life after which a withdrawn entry VM is removed.
const FORGET_WITHDRAWN_AFTER: Duration = Duration::from_secs(10);

/// Number of highest ranks in a zone that receive VM reports, so that another VM can take over as
/// leader immediately.
const STANDBY_RANKS: usize = 3;

/// Rounds after which unchanged lists of VMs and reports to ranks below the leader are resent. This
/// bounds the effect of a lost message to as many rounds, well within [`MEMBER_TIMEOUT`].
const FULL_REPORT_INTERVAL: usize = 4;

/// Another entry VM.
#[derive(Debug)]
struct Peer {
    announcement: Announcement,
    is_announced: bool,
    /// Hash of the name.
    hash: u64,
    /// When the VM was added, or when the last message from it or report of it arrived.
    last_seen: Instant,
    /// When the last message from the VM arrived.
    last_message: Option<Instant>,
}

/// A received report.
#[derive(Debug)]
struct Received {
    report: Report,
    sender: String,
    at: Instant,
}

/// An entry VM's knowledge of the other entry VMs.
#[derive(Debug)]
pub struct Membership {
    name: String,
    own: Announcement,
    hash: fn(&str) -> u64,
    peers: HashMap<String, Peer>,
    /// VM reports by VM of this zone.
    vm_reports: HashMap<String, Received>,
    /// Reports of other zones, by zone.
    zone_reports: HashMap<String, Received>,
    fleet_report: Option<Received>,
    /// Live VMs by zone, as received.
    lists: HashMap<String, Known>,
    /// Live VMs of this zone as last listed by this VM, and their version.
    own_list: (Vec<(u64, bool)>, u32),
    /// Last report sent about this VM.
    own_report: Report,
    /// Number of rounds of messages sent.
    round: usize,
    /// What the latest messages of each scope listed.
    last_sent: HashMap<Scope, Sent>,
}

impl Membership {
    /// Creates the membership of the VM `name`, in which `hash` identifies VMs by their names.
    #[must_use]
    pub fn new(name: &str, own: Announcement, hash: fn(&str) -> u64) -> Self {
        Self {
            name: name.to_owned(),
            own,
            hash,
            peers: HashMap::new(),
            vm_reports: HashMap::new(),
            zone_reports: HashMap::new(),
            fleet_report: None,
            lists: HashMap::new(),
            own_list: (Vec::new(), 0),
            own_report: Report::default(),
            round: 0,
            last_sent: HashMap::new(),
        }
    }

    /// Returns the announcement of this VM.
    #[must_use]
    pub fn own_announcement(&self) -> &Announcement {
        &self.own
    }

    /// Returns the number of known entry VMs, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the address for messages of the VM whose name has the given hash.
    #[must_use]
    pub fn peer_addr(&self, hash: u64) -> Option<SocketAddr> {
        Some(self.announcement(hash)?.peer)
    }

    /// Returns the address of the state service of the VM whose name has the given hash.
    #[must_use]
    pub fn state_addr(&self, hash: u64) -> Option<SocketAddr> {
        self.announcement(hash)?.state
    }

    /// Returns the addresses of the other VMs' state services, whether they are alive or not.
    pub fn state_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.values();
        peers.filter_map(|peer| peer.announcement.state)
    }

    /// Returns the announcement of the VM whose name has the given hash.
    #[must_use]
    pub fn announcement(&self, hash: u64) -> Option<&Announcement> {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.hash == hash)?;
        Some(&peer.announcement)
    }

    /// Applies the announced VMs of `zone`, in place of those announced before.
    pub fn announce_zone(&mut self, zone: &str, vms: Vec<Announced>, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer.announcement.zone == zone {
                peer.is_announced = false;
            }
        }
        for Announced { vm, announcement } in vms {
            self.announce(&vm, announcement, now);
        }
    }

    /// Adds or updates an announced VM.
    pub fn announce(&mut self, vm: &str, announcement: Announcement, now: Instant) {
        if let Some(peer) = self.update_peer(vm, announcement, now) {
            peer.is_announced = true;
        }
    }

    fn update_peer(
        &mut self,
        vm: &str,
        announcement: Announcement,
        now: Instant,
    ) -> Option<&mut Peer> {
        if vm == self.name {
            return None;
        }
        let hash = (self.hash)(vm);
        let peer = self.peers.entry(vm.to_owned()).or_insert_with(|| Peer {
            announcement: announcement.clone(),
            is_announced: false,
            hash,
            last_seen: now,
            last_message: None,
        });
        peer.announcement = announcement;
        Some(peer)
    }

    /// Applies a message from another VM.
    pub fn receive(&mut self, message: Message, now: Instant) {
        let zone = message.announcement.zone.clone();
        let Some(peer) = self.update_peer(&message.vm, message.announcement, now) else {
            return;
        };
        peer.last_seen = now;
        peer.last_message = Some(now);
        let received = Received {
            report: message.report,
            sender: message.vm.clone(),
            at: now,
        };
        let is_own_zone = zone == self.own.zone;
        match message.scope {
            Scope::Vm if is_own_zone => {
                self.vm_reports.insert(message.vm, received);
            }
            Scope::Zone if !is_own_zone => {
                if self.receive_zone_report(zone, received) {
                    self.receive_lists(message.lists, now);
                }
            }
            Scope::Fleet if is_own_zone => {
                if !self.is_leader(now) {
                    let covers = |zone: &String| message.lists.iter().any(|l| l.zone == *zone);
                    self.lists.retain(|zone, _| covers(zone));
                }
                self.fleet_report = Some(received);
                self.receive_lists(message.lists, now);
            }
            Scope::Vm | Scope::Zone | Scope::Fleet => {}
        }
    }

    /// Applies a report about a zone; returns whether it is used. While a zone has two leaders, the report
    /// of the higher rank is.
    fn receive_zone_report(&mut self, zone: String, received: Received) -> bool {
        let outranks = |earlier: &Received| {
            let is_recent = received.at.duration_since(earlier.at) < LEADER_TIMEOUT;
            is_recent && self.rank_of(&earlier.sender) > self.rank_of(&received.sender)
        };
        let is_used = !self.zone_reports.get(&zone).is_some_and(outranks);
        if is_used {
            self.zone_reports.insert(zone, received);
        }
        is_used
    }

    /// Removes VMs and reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let limit = if peer.is_announced {
                FORGET_AFTER
            } else {
                FORGET_WITHDRAWN_AFTER
            };
            now.duration_since(peer.last_seen) < limit
        });
        self.vm_reports
            .retain(|_, received| now.duration_since(received.at) < MEMBER_TIMEOUT);
        self.zone_reports
            .retain(|_, received| now.duration_since(received.at) < MEMBER_TIMEOUT);
        self.lists
            .retain(|_, known| now.duration_since(known.at) < MEMBER_TIMEOUT);
        self.fleet_report
            .take_if(|received| now.duration_since(received.at) >= LEADER_TIMEOUT);
    }

    /// Starts a round and returns its messages; `own` is the report on this VM.
    #[must_use]
    pub fn messages(&mut self, own: Report, now: Instant) -> Vec<(SocketAddr, Message)> {
        self.own_report = own;
        self.round = self.round.wrapping_add(1);
        let mut messages = self.vm_messages(now);
        if !self.is_leader(now) {
            return messages;
        }
        let mut zone_report = self.zone_report();
        let own_list = self.list_own_zone(&std::mem::take(&mut zone_report.vms));
        let targets = self.zone_report_targets(now);
        let lists = vec![own_list.clone()];
        messages.extend(self.messages_to(targets, Scope::Zone, &zone_report, lists));
        let fleet = self.merge_zone_reports(zone_report);
        let others = self.lists.values().map(|known| &known.list);
        let others = others.filter(|list| list.zone != self.own.zone).cloned();
        let lists = others.chain([own_list]).collect();
        let zone_vms = self.vm_reports.keys().filter_map(|vm| self.peers.get(vm));
        let zone_targets: Vec<SocketAddr> = zone_vms.map(|peer| peer.announcement.peer).collect();
        messages.extend(self.messages_to(zone_targets, Scope::Fleet, &fleet, lists));
        messages
    }

    fn messages_to(
        &mut self,
        mut targets: Vec<SocketAddr>,
        scope: Scope,
        report: &Report,
        lists: Vec<List>,
    ) -> Vec<(SocketAddr, Message)> {
        targets.sort_unstable();
        let message = Message {
            vm: self.name.clone(),
            announcement: self.own.clone(),
            scope,
            report: report.clone(),
            lists: self.without_known_vms(scope, lists, &targets),
        };
        let targets = targets.into_iter();
        targets.map(|target| (target, message.clone())).collect()
    }

    /// Returns the reports about this VM: to the leader each round, to the next ranks every few
    /// rounds. Without a known leader, every higher rank gets one, since any of them may be the
    /// leader.
    fn vm_messages(&mut self, now: Instant) -> Vec<(SocketAddr, Message)> {
        let own = self.own_rank();
        let has_leader = self.fleet_report.is_some() && !self.is_leader(now);
        let is_target = |peer: &&Peer| {
            let is_alive = now.duration_since(peer.last_seen) < MEMBER_TIMEOUT;
            if has_leader {
                is_alive
            } else {
                peer.rank() > own
            }
        };
        let mut targets = self.ranked(&self.own.zone, is_target);
        if has_leader {
            targets.truncate(STANDBY_RANKS);
            if !self.round.is_multiple_of(FULL_REPORT_INTERVAL) {
                targets.retain(|target| Some(*target) == self.leader_peer());
            }
        }
        let report = self.own_report.clone();
        self.messages_to(targets, Scope::Vm, &report, Vec::new())
    }

    /// Returns the zone of each known VM, including this one, whether it is alive or not.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let others = self.peers.values();
        let others = others.map(|peer| peer.announcement.zone.as_str());
        others.chain([self.own.zone.as_str()])
    }

    /// Returns whether the VM `vm` is known.
    #[must_use]
    pub fn knows(&self, vm: &str) -> bool {
        vm == self.name || self.peers.contains_key(vm)
    }

    /// Returns the address of each other zone's leader. For a zone whose leader is unknown, returns the
    /// highest live ranks and one more VM, a different one each round.
    fn zone_report_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let zones = self
            .peers
            .values()
            .map(|peer| peer.announcement.zone.as_str());
        let zones: HashSet<&str> = zones.filter(|zone| *zone != self.own.zone).collect();
        let mut targets = Vec::new();
        for zone in zones {
            let leader = self
                .zone_reports
                .get(zone)
                .and_then(|received| self.peers.get(&received.sender));
            if let Some(peer) = leader {
                targets.push(peer.announcement.peer);
                continue;
            }
            let is_alive = |peer: &&Peer| now.duration_since(peer.last_seen) < MEMBER_TIMEOUT;
            targets.extend(self.ranked(zone, is_alive).into_iter().take(STANDBY_RANKS));
            let all = self.ranked(zone, |_| true);
            targets.push(all[self.round % all.len()]);
        }
        targets
    }

    /// Returns the report on this zone.
    fn zone_report(&self) -> Report {
        let mut report = self.own_report.clone();
        for received in self.vm_reports.values() {
            report.merge(&received.report);
        }
        report
    }

    /// Returns the report on the fleet, given the report on this zone.
    fn merge_zone_reports(&self, mut zone: Report) -> Report {
        for received in self.zone_reports.values() {
            zone.merge(&received.report);
        }
        zone
    }

    /// Returns the latest report on the fleet, including this VM.
    #[must_use]
    pub fn fleet_report(&self, now: Instant) -> Report {
        match &self.fleet_report {
            Some(fleet) if !self.is_leader(now) => {
                let mut report = fleet.report.clone();
                report.vms = self.listed(|_| true).collect();
                report
            }
            _ => {
                let mut report = self.merge_zone_reports(self.zone_report());
                let is_other = |zone: &str| zone != self.own.zone;
                report.vms.extend(self.listed(is_other));
                report
            }
        }
    }

    /// Returns the last report sent about this VM.
    #[must_use]
    pub fn own_report(&self) -> &Report {
        &self.own_report
    }

    /// Returns the announcements of the other VMs that are ready according to `report`.
    #[must_use]
    pub fn ready<'a>(&'a self, report: &Report) -> Vec<(&'a str, &'a Announcement)> {
        let ready = report.vms.iter().filter(|member| member.is_ready);
        let ready: HashSet<u64> = ready.map(|member| member.vm).collect();
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| ready.contains(&peer.hash));
        peers
            .map(|(vm, peer)| (vm.as_str(), &peer.announcement))
            .collect()
    }

    /// Returns the state service addresses of VMs whose store revision is higher than `revision`,
    /// highest first.
    #[must_use]
    pub fn ahead(&self, report: &Report, revision: u64) -> Vec<SocketAddr> {
        let ahead = report
            .vms
            .iter()
            .filter(|member| member.revision > revision);
        let revisions: HashMap<u64, u64> =
            ahead.map(|member| (member.vm, member.revision)).collect();
        let state = |peer: &Peer| {
            let revision = revisions.get(&peer.hash)?;
            Some((*revision, peer.announcement.state?))
        };
        let mut ahead: Vec<(u64, SocketAddr)> = self.peers.values().filter_map(state).collect();
        ahead.sort_by_key(|(revision, _)| std::cmp::Reverse(*revision));
        ahead.into_iter().map(|(_, state)| state).collect()
    }
}
