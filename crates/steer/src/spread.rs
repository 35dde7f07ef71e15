//! How the parts of a large value spread among the entry VMs of a zone.
//!
//! Load pattern: one VM of a zone gets a value from the store, and all others need it at the same time, over
//! links that take a second or more for one copy. A VM that sent it to each of them would take as many seconds as
//! there are VMs. So each VM passes on the parts that it has, those first that it gave least often, and asks VMs
//! other than the first as well. The links also carry responses to callers, behind which each answer waits: what
//! counts is how many answers follow one after the other, so some requests are made at the same time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::parts::{Id, Part, Values};
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::upload::Allowance;

/// Most parts that are requested at once.
pub const MAX_REQUESTED: usize = 16;

/// Most bytes that are given at once: 26 ms on a link of 10 Mbit/s.
const MAX_GIVEN_BYTES: usize = 32 << 10;

/// Number of VMs that told of a value last, and of highest ranks of the zone, which are asked first.
const MAX_GIVERS: usize = 2;
const FIRST_RANKS: usize = 2;

/// Why a VM is not asked for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rest {
    /// It is busy with others' requests for parts.
    Busy,
    /// It has none of the requested parts.
    Empty,
    /// It did not answer.
    Failed,
}

/// Pause before a VM that is busy, or has none of the requested parts, is asked again: the next parts reach it, or
/// leave it, within some 50 ms.
const SHORT_REST: Duration = Duration::from_millis(100);

/// Pause before a VM that did not answer is asked again.
const LONG_REST: Duration = Duration::from_millis(500);

impl Rest {
    /// Pause before the VM is asked again.
    #[must_use]
    pub const fn pause(self) -> Duration {
        match self {
            Self::Busy | Self::Empty => SHORT_REST,
            Self::Failed => LONG_REST,
        }
    }
}

/// The VMs that are asked for parts.
#[derive(Debug, Default)]
pub struct Sources {
    /// VMs that told of a value, the latest last.
    givers: VecDeque<SocketAddr>,
    /// VMs that are not asked until the given time.
    resting: HashMap<SocketAddr, Instant>,
}

impl Sources {
    /// Records that the VM at `addr` told of a value.
    pub fn note_giver(&mut self, addr: SocketAddr) {
        self.givers.retain(|giver| *giver != addr);
        self.givers.push_back(addr);
        if self.givers.len() > MAX_GIVERS {
            self.givers.pop_front();
        }
    }

    /// Records that the VM at `addr` is not to be asked for a while.
    pub fn let_rest(&mut self, addr: SocketAddr, rest: Rest, now: Instant, rng: &mut impl Rng) {
        let pause = rest.pause().mul_f64(rng.random_range(0.5..1.5));
        self.resting.retain(|_, until| *until > now);
        self.resting.insert(addr, now + pause);
    }

    /// Returns whether the VM at `addr` is not to be asked at `now`.
    #[must_use]
    pub fn rests(&self, addr: SocketAddr, now: Instant) -> bool {
        self.resting.get(&addr).is_some_and(|until| *until > now)
    }

    /// Returns a VM for the lane `lane` to ask: for the first lane one that told of the value or ranks first in the
    /// zone, which may have more room than others; else any of `zone`, which lists the VMs of the zone by rank,
    /// else one of `others`.
    pub fn choose(
        &self,
        lane: usize,
        zone: &[SocketAddr],
        others: impl Iterator<Item = SocketAddr>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_due = |addr: &&SocketAddr| !self.rests(**addr, now);
        let first = self.givers.iter().chain(zone.iter().take(FIRST_RANKS));
        let first = first.filter(is_due).choose(rng).filter(|_| lane == 0);
        let any = self.givers.iter().chain(zone);
        let source = first.or_else(|| any.filter(is_due).choose(rng));
        source
            .copied()
            .or_else(|| others.filter(|addr| is_due(&addr)).choose(rng))
    }
}

/// Number of requests that a VM makes at the same time. Together their responses take a link of 10 Mbit/s for 80 ms.
pub const LANES: usize = 3;

/// The parts that are requested on each lane.
#[derive(Debug, Default)]
pub struct Claims([Vec<Id>; LANES]);

impl Claims {
    /// Returns parts of `missing` to request on `lane`: more than one response brings, so that a VM which has only
    /// some can choose. Parts that are requested on other lanes are left to these, as long as there are more.
    pub fn choose(&mut self, lane: usize, missing: &[Part], rng: &mut impl Rng) -> Vec<Id> {
        self.0[lane].clear();
        let ids = missing.iter().map(|part| part.id);
        let is_free = |id: &Id| !self.0.iter().flatten().any(|claimed| claimed == id);
        let mut chosen = ids
            .clone()
            .filter(is_free)
            .choose_multiple(rng, MAX_REQUESTED);
        if chosen.is_empty() {
            chosen = ids.choose_multiple(rng, MAX_REQUESTED);
        }
        self.0[lane].clone_from(&chosen);
        chosen
    }
}

/// What a VM answers to a request for parts.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// Those that it gives; none if it has none of them.
    Parts(Vec<Bytes>),
    /// It has some, but others' requests take its link.
    Busy,
}

/// Answers a request for the parts `ids` at `now` from `values`, as far as `allowance` goes.
pub fn answer(values: &mut Values, allowance: &mut Allowance, ids: &[Id], now: Instant) -> Answer {
    if !values.has_any(ids) {
        return Answer::Parts(Vec::new());
    }
    if !allowance.is_left(now) {
        return Answer::Busy;
    }
    let parts = values.give(ids, MAX_GIVEN_BYTES);
    allowance.take(parts.iter().map(Bytes::len).sum());
    Answer::Parts(parts)
}
