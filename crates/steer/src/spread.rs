//! How the parts of a large value spread among the entry VMs of a zone.
//!
//! Load pattern: one VM of a zone gets a value from the store, and all others need it at the same time, over
//! links that take a second or more for one copy. A VM that sent it to each of them would take as many seconds as
//! there are VMs. So each VM passes on the parts that it has, and asks VMs other than the first as well.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::parts::Part;
use rand::Rng;
use rand::seq::IteratorRandom as _;

/// Most parts that are requested at once.
pub const MAX_REQUESTED: usize = 16;

/// Most bytes that are requested at once: 26 ms on a link of 10 Mbit/s.
const MAX_REQUESTED_BYTES: u32 = 32 << 10;

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

impl Rest {
    /// Pause before the VM is asked again.
    #[must_use]
    pub const fn pause(self) -> Duration {
        match self {
            Self::Busy => Duration::from_millis(30),
            Self::Empty => Duration::from_millis(200),
            Self::Failed => Duration::from_millis(500),
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

    /// Returns a VM to ask: one that told of the value or ranks first in the zone, else another one of `zone`,
    /// which lists the VMs of the zone by rank, else one of `others`.
    pub fn choose(
        &self,
        zone: &[SocketAddr],
        others: impl Iterator<Item = SocketAddr>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_due = |addr: &SocketAddr| !self.rests(*addr, now);
        let first = self.givers.iter().chain(zone.iter().take(FIRST_RANKS));
        let first = first.filter(|addr| is_due(addr)).choose(rng);
        let source = first.or_else(|| zone.iter().filter(|addr| is_due(addr)).choose(rng));
        source
            .copied()
            .or_else(|| others.filter(is_due).choose(rng))
    }
}

/// Returns parts of `missing`, which is not empty, to request at once. They begin at a random one, so that VMs
/// that fetch the same value soon have different parts to pass on.
pub fn choose_parts(missing: &[Part], rng: &mut impl Rng) -> Vec<Part> {
    let start = rng.random_range(0..missing.len());
    let parts = missing[start..].iter().chain(&missing[..start]);
    let parts = parts.take(MAX_REQUESTED);
    let mut bytes = 0;
    let fitting = parts.take_while(|part| {
        bytes += part.bytes;
        bytes <= MAX_REQUESTED_BYTES
    });
    let fitting: Vec<Part> = fitting.copied().collect();
    if fitting.is_empty() {
        return vec![missing[start]];
    }
    fitting
}
