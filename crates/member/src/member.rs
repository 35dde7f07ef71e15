//! One VM's view of the others.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use timer::Moment;
use wire::Vm;
use wire::sync::{Probe, Rumor};
use wire::view::MemberState;

use crate::rumor::{Queue, replaces};

/// Sizes and times of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Most rumors in one message.
    pub max_rumors: usize,
    /// VMs that are asked to probe for this one.
    pub helpers: usize,
    /// Time for which a VM that left the platform's list stays a member after it last answered,
    /// in milliseconds.
    pub keep_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_rumors: 6,
            helpers: 2,
            keep_ms: 10_000,
        }
    }
}

/// Sends of one rumor for each doubling of the number of VMs.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug, Clone)]
struct Peer {
    /// The newest rumor on it.
    rumor: Rumor,
    /// When it last answered this VM.
    answered_at: Option<Moment>,
}

/// One VM's view of the others.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    /// The newest rumor on this VM itself; its standing is never `Suspect`.
    own: Rumor,
    peers: BTreeMap<String, Peer>,
    /// Names in the platform's list.
    listed: BTreeSet<String>,
    queue: Queue,
    /// VMs left to probe in this round, in random order.
    round: Vec<String>,
}

impl Member {
    /// Creates the view of a VM that knows no other.
    #[must_use]
    pub fn new(vm: &Vm, settings: Settings) -> Self {
        let own = birth(vm);
        Self {
            settings,
            own,
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            queue: Queue::default(),
            round: Vec::new(),
        }
    }

    /// Takes the names in the platform's list. VMs that are no longer listed are forgotten only
    /// once they stopped answering.
    pub fn set_listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>, now: Moment) {
        self.listed = names.into_iter().map(str::to_owned).collect();
        let keep_ms = self.settings.keep_ms;
        let listed = &self.listed;
        self.peers
            .retain(|name, peer| listed.contains(name) || answers(peer, keep_ms, now));
    }

    /// Returns whether `name` is a member although the platform does not list it.
    #[must_use]
    pub fn is_retained(&self, name: &str, now: Moment) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| answers(peer, self.settings.keep_ms, now))
    }

    /// Returns the standing of `name`, given what the platform's list says of it.
    #[must_use]
    pub fn state(&self, name: &str, listed: MemberState) -> MemberState {
        let own = (name == self.own.vm.name).then_some(&self.own);
        let known = own.or_else(|| self.peers.get(name).map(|peer| &peer.rumor));
        match (listed, known.map(|rumor| rumor.state)) {
            (MemberState::Leaving, _) | (_, Some(MemberState::Leaving)) => MemberState::Leaving,
            (_, Some(MemberState::Suspect)) => MemberState::Suspect,
            _ => MemberState::Live,
        }
    }

    /// Chooses the next of `candidates` to probe: each once in a random order, then anew.
    pub fn next_probe(&mut self, candidates: &[&str], rng: &mut impl Rng) -> Option<String> {
        self.round
            .retain(|name| candidates.contains(&name.as_str()));
        if self.round.is_empty() {
            self.round = candidates.iter().map(|&name| name.to_owned()).collect();
            self.round.retain(|name| *name != self.own.vm.name);
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    /// Chooses the VMs that probe `target` for this one.
    #[must_use]
    pub fn helpers<'a>(
        &self,
        target: &str,
        candidates: &[&'a str],
        rng: &mut impl Rng,
    ) -> Vec<&'a str> {
        let able = |name: &&&str| {
            **name != target
                && **name != self.own.vm.name
                && self.state(name, MemberState::Live) != MemberState::Suspect
        };
        let able: Vec<&&str> = candidates.iter().filter(able).collect();
        able.choose_multiple(rng, self.settings.helpers)
            .map(|name| **name)
            .collect()
    }

    /// Returns the probe to send to `target`: this VM's own standing if it is not simply alive,
    /// what is said of the target, so that it can refute it, and rumors that spread.
    pub fn probe(&mut self, target: &str) -> Probe {
        let about = self.peers.get(target).map(|peer| peer.rumor.clone());
        let own = (self.own != birth(&self.own.vm)).then(|| self.own.clone());
        let mut rumors: Vec<Rumor> = own.into_iter().collect();
        rumors.extend(about.filter(|rumor| rumor.state != MemberState::Live));
        rumors.extend(self.take_rumors());
        Probe {
            from: self.own.vm.clone(),
            rumors,
        }
    }

    /// Takes a probe or the answer to one.
    pub fn handle_probe(&mut self, probe: &Probe, now: Moment) {
        self.handle_rumor(&birth(&probe.from));
        for rumor in &probe.rumors {
            self.handle_rumor(rumor);
        }
        if let Some(peer) = self.peers.get_mut(&probe.from.name) {
            peer.answered_at = Some(now);
        }
    }

    /// Notes that `name` answered neither this VM nor its helpers.
    pub fn suspect(&mut self, name: &str) {
        let Some(peer) = self.peers.get(name) else {
            let vm = Vm::new(name, 0);
            return self.accept(Rumor {
                vm,
                refutation: 0,
                state: MemberState::Suspect,
            });
        };
        let mut rumor = peer.rumor.clone();
        rumor.state = MemberState::Suspect;
        if replaces(&rumor, &peer.rumor) {
            self.accept(rumor);
        }
    }

    /// Takes a rumor. One on this VM that is wrong is refuted.
    pub fn handle_rumor(&mut self, rumor: &Rumor) {
        if rumor.vm.name == self.own.vm.name {
            self.defend(rumor);
            return;
        }
        let known = self.peers.get(&rumor.vm.name);
        if known.is_none_or(|known| replaces(rumor, &known.rumor)) {
            self.accept(rumor.clone());
        }
    }

    /// Notes that this VM began its graceful shutdown. Returns whether that is news.
    pub fn leave(&mut self) -> bool {
        if self.own.state == MemberState::Leaving {
            return false;
        }
        self.own.state = MemberState::Leaving;
        self.queue.push(self.own.clone());
        true
    }

    /// Takes the rumors to add to a message.
    pub fn take_rumors(&mut self) -> Vec<Rumor> {
        let doublings = (self.peers.len() + 2).ilog2() + 1;
        self.queue
            .take(self.settings.max_rumors, SENDS_PER_DOUBLING * doublings)
    }

    /// Returns whether there is a rumor that was not sent yet.
    #[must_use]
    pub fn has_unsent_rumors(&self) -> bool {
        self.queue.has_unsent_rumors()
    }

    fn defend(&mut self, rumor: &Rumor) {
        let same_run = rumor.vm.incarnation == self.own.vm.incarnation;
        let earlier = rumor.vm.incarnation < self.own.vm.incarnation;
        let suspected = rumor.state == MemberState::Suspect;
        if same_run && suspected && rumor.refutation >= self.own.refutation {
            self.own.refutation = rumor.refutation + 1;
        }
        if suspected && (same_run || earlier) {
            self.queue.push(self.own.clone());
        }
    }

    /// Takes a rumor that is newer than what was known, and spreads it unless it only says that
    /// a VM runs of which nothing else was ever said.
    fn accept(&mut self, rumor: Rumor) {
        let name = rumor.vm.name.clone();
        let known = self.peers.get(&name);
        let answered_at = known.and_then(|peer| peer.answered_at);
        let was_live = known.is_none_or(|peer| peer.rumor.state == MemberState::Live);
        if !was_live || rumor != birth(&rumor.vm) {
            self.queue.push(rumor.clone());
        }
        self.peers.insert(name, Peer { rumor, answered_at });
    }
}

/// Returns what is true of a VM that was just started.
fn birth(vm: &Vm) -> Rumor {
    Rumor {
        vm: vm.clone(),
        refutation: 0,
        state: MemberState::Live,
    }
}

fn answers(peer: &Peer, keep_ms: u64, now: Moment) -> bool {
    let recently = |at| now.ms_since(at) < keep_ms;
    peer.rumor.state != MemberState::Suspect && peer.answered_at.is_some_and(recently)
}
