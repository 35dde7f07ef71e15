//! A VM's view of the other VMs.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use timer::Moment;
use wire::Vm;
use wire::sync::{Probe, Rumor};
use wire::view::MemberState;

use crate::rumor::{Queue, replaces};

/// Limits and timeouts of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of rumors in one message.
    pub max_rumors: usize,
    /// Number of VMs that send an indirect probe for this VM.
    pub helpers: usize,
    /// Time after its latest response for which a VM remains a member although the platform no
    /// longer lists it, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_rumors: 6,
            helpers: 2,
            retention_ms: 10_000,
        }
    }
}

/// Number of times that a rumor is sent per doubling of the number of VMs.
const MAX_SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug, Clone)]
struct Peer {
    /// The newest rumor about the VM.
    rumor: Rumor,
    /// Moment of the VM's latest response to this VM.
    responded_at: Option<Moment>,
}

/// A VM's view of the other VMs.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    /// The newest rumor about this VM itself; its state is never `Suspect`.
    own: Rumor,
    peers: BTreeMap<String, Peer>,
    /// Names of the VMs in the platform's list.
    listed: BTreeSet<String>,
    queue: Queue,
    /// VMs that remain to be probed in this round, in random order.
    round: Vec<String>,
}

impl Member {
    /// Creates the view of a VM that knows no other VM.
    #[must_use]
    pub fn new(vm: &Vm, settings: Settings) -> Self {
        let own = initial_rumor(vm);
        Self {
            settings,
            own,
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            queue: Queue::default(),
            round: Vec::new(),
        }
    }

    /// Updates the names in the platform's list. VMs that are no longer listed are removed only after
    /// they have stopped responding.
    pub fn set_listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>, now: Moment) {
        self.listed = names.into_iter().map(str::to_owned).collect();
        let retention_ms = self.settings.retention_ms;
        let listed = &self.listed;
        self.peers
            .retain(|name, peer| listed.contains(name) || responds(peer, retention_ms, now));
    }

    /// Returns whether `name` has responded recently and remains a member even if the platform does
    /// not list it.
    #[must_use]
    pub fn is_retained(&self, name: &str, now: Moment) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| responds(peer, self.settings.retention_ms, now))
    }

    /// Returns the state of `name`, given its state in the platform's list.
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

    /// Chooses the next of `candidates` to probe. Each candidate is probed once per round, in a random
    /// order.
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

    /// Chooses the VMs that probe `target` on behalf of this VM.
    #[must_use]
    pub fn helpers<'a>(
        &self,
        target: &str,
        candidates: &[&'a str],
        rng: &mut impl Rng,
    ) -> Vec<&'a str> {
        let eligible = |name: &&&str| {
            **name != target
                && **name != self.own.vm.name
                && self.state(name, MemberState::Live) != MemberState::Suspect
        };
        let eligible: Vec<&&str> = candidates.iter().filter(eligible).collect();
        eligible
            .choose_multiple(rng, self.settings.helpers)
            .map(|name| **name)
            .collect()
    }

    /// Returns the probe to send to `target`. It contains this VM's own state if that differs from the
    /// initial state, the rumor about the target unless its state is `Live`, so that the target can
    /// refute it, and pending rumors.
    pub fn probe(&mut self, target: &str) -> Probe {
        let about = self.peers.get(target).map(|peer| peer.rumor.clone());
        let own = (self.own != initial_rumor(&self.own.vm)).then(|| self.own.clone());
        let mut rumors: Vec<Rumor> = own.into_iter().collect();
        rumors.extend(about.filter(|rumor| rumor.state != MemberState::Live));
        rumors.extend(self.take_rumors());
        Probe {
            from: self.own.vm.clone(),
            rumors,
        }
    }

    /// Handles a probe or the response to a probe.
    pub fn handle_probe(&mut self, probe: &Probe, now: Moment) {
        self.handle_rumor(&initial_rumor(&probe.from));
        for rumor in &probe.rumors {
            self.handle_rumor(rumor);
        }
        if let Some(peer) = self.peers.get_mut(&probe.from.name) {
            peer.responded_at = Some(now);
        }
    }

    /// Records that `name` responded neither to this VM nor to its helpers.
    pub fn suspect(&mut self, name: &str) {
        let Some(peer) = self.peers.get(name) else {
            let vm = Vm::new(name, 0);
            return self.store(Rumor {
                vm,
                refutation: 0,
                state: MemberState::Suspect,
            });
        };
        let mut rumor = peer.rumor.clone();
        rumor.state = MemberState::Suspect;
        if replaces(&rumor, &peer.rumor) {
            self.store(rumor);
        }
    }

    /// Handles a rumor. A wrong rumor about this VM is refuted.
    pub fn handle_rumor(&mut self, rumor: &Rumor) {
        if rumor.vm.name == self.own.vm.name {
            self.refute(rumor);
            return;
        }
        let known = self.peers.get(&rumor.vm.name);
        if known.is_none_or(|known| replaces(rumor, &known.rumor)) {
            self.store(rumor.clone());
        }
    }

    /// Records that this VM has begun its graceful shutdown. Returns false if that was already
    /// recorded.
    pub fn leave(&mut self) -> bool {
        if self.own.state == MemberState::Leaving {
            return false;
        }
        self.own.state = MemberState::Leaving;
        self.queue.push(self.own.clone());
        true
    }

    /// Returns the rumors to add to a message and counts them as sent.
    pub fn take_rumors(&mut self) -> Vec<Rumor> {
        let doublings = (self.peers.len() + 2).ilog2() + 1;
        self.queue
            .take(self.settings.max_rumors, MAX_SENDS_PER_DOUBLING * doublings)
    }

    /// Returns whether there is a rumor that has not been sent yet.
    #[must_use]
    pub fn has_unsent_rumors(&self) -> bool {
        self.queue.has_unsent_rumors()
    }

    fn refute(&mut self, rumor: &Rumor) {
        let same_incarnation = rumor.vm.incarnation == self.own.vm.incarnation;
        let is_earlier = rumor.vm.incarnation < self.own.vm.incarnation;
        let is_suspicion = rumor.state == MemberState::Suspect;
        if same_incarnation && is_suspicion && rumor.refutation >= self.own.refutation {
            self.own.refutation = rumor.refutation + 1;
        }
        if is_suspicion && (same_incarnation || is_earlier) {
            self.queue.push(self.own.clone());
        }
    }

    /// Stores a rumor that is newer than the known one, and queues it for sending unless it is the
    /// initial rumor of a VM that was unknown or `Live`.
    fn store(&mut self, rumor: Rumor) {
        let name = rumor.vm.name.clone();
        let known = self.peers.get(&name);
        let responded_at = known.and_then(|peer| peer.responded_at);
        let was_live = known.is_none_or(|peer| peer.rumor.state == MemberState::Live);
        if !was_live || rumor != initial_rumor(&rumor.vm) {
            self.queue.push(rumor.clone());
        }
        self.peers.insert(
            name,
            Peer {
                rumor,
                responded_at,
            },
        );
    }
}

/// Returns the initial rumor about a VM that was just started.
fn initial_rumor(vm: &Vm) -> Rumor {
    Rumor {
        vm: vm.clone(),
        refutation: 0,
        state: MemberState::Live,
    }
}

fn responds(peer: &Peer, retention_ms: u64, now: Moment) -> bool {
    let is_recent = |at| now.ms_since(at) < retention_ms;
    peer.rumor.state != MemberState::Suspect && peer.responded_at.is_some_and(is_recent)
}
