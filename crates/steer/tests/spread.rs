//! How fast a large value spreads in a zone, in virtual time: the links carry what the real decisions ask for.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::parts::{Deferred, Id, Manifest, Values};
use rand::rngs::StdRng;
use rand::{Rng as _, RngCore as _, SeedableRng as _};
use steer::spread::{self, Answer, Claims, LANES, MAX_REQUESTED, Rest, Sources};
use steer::upload::Allowance;

/// Rate of each VM's link in each direction: 10 Mbit/s.
const LINK_BYTES_PER_S: u32 = 1_250_000;

/// One way between two VMs of a zone.
const LATENCY: Duration = Duration::from_micros(500);

/// Size of a request, and of a response without its parts.
const REQUEST_BYTES: usize = 700;
const HEAD_BYTES: usize = 200;

/// Responses to callers, which each VM sends all the time: their size, and the mean pause between two.
const CALLERS_BYTES: usize = 100_000;
const CALLERS_PAUSE: Duration = Duration::from_millis(400);

/// Time within which all VMs hear of a value: two intervals between two fetches from the leader.
const HEARD_WITHIN: Duration = Duration::from_millis(800);

/// Pause while no VM can be asked.
const PAUSE: Duration = Duration::from_millis(20);

/// Number of plays of each case.
const SEEDS: u64 = 10;

const KEY: &str = "config";

/// One direction of a link.
struct Link(Instant);

impl Link {
    /// Returns when `bytes` that are sent at `now` have passed.
    fn pass(&mut self, bytes: usize, now: Instant) -> Instant {
        let bytes = u32::try_from(bytes).expect("few bytes");
        self.0 = self.0.max(now) + Duration::from_secs(1) * bytes / LINK_BYTES_PER_S;
        self.0
    }
}

struct Vm {
    values: Values,
    sources: Sources,
    allowance: Allowance,
    up: Link,
    down: Link,
    last: [Option<SocketAddr>; LANES],
    claims: Claims,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The VM asks for parts on the lane.
    Ask(usize, usize),
    /// The VM sends a response to a caller.
    Respond(usize),
    /// A request of the first VM's lane reaches the second one.
    Request((usize, usize), usize, Vec<Id>),
    /// The answer of the second VM is with the first one: parts, or none if it is busy.
    Answer((usize, usize), usize, Option<Vec<Bytes>>),
}

/// A zone of VMs, of which the first has a value that the others need.
struct Zone {
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    count: u64,
    rng: StdRng,
}

fn addr(vm: usize) -> SocketAddr {
    let host = u8::try_from(vm + 1).expect("few VMs");
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 8_688))
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("address of another kind");
    };
    usize::from(addr.ip().octets()[3]) - 1
}

impl Zone {
    fn new(vms: usize, value: &Bytes, seed: u64, start: Instant) -> Self {
        let vm = |_| Vm {
            values: Values::default(),
            sources: Sources::default(),
            allowance: Allowance::new(f64::from(LINK_BYTES_PER_S), start),
            up: Link(start),
            down: Link(start),
            last: [None; LANES],
            claims: Claims::default(),
        };
        let mut zone = Self {
            vms: (0..vms).map(vm).collect(),
            events: BinaryHeap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        zone.vms[0].values.keep(value);
        for vm in 0..vms {
            zone.add(start, Event::Respond(vm));
        }
        for follower in 1..vms {
            zone.vms[follower].values.offer(Deferred {
                key: KEY.to_owned(),
                revision: 1,
                manifest: Manifest::of(value),
            });
            zone.vms[follower].sources.note_giver(addr(0));
            let heard = HEARD_WITHIN.mul_f64(zone.rng.random_range(0.0..1.0));
            for lane in 0..LANES {
                zone.add(start + heard, Event::Ask(follower, lane));
            }
        }
        zone
    }

    fn add(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    /// Lets the value spread; returns when the last VM has it.
    fn run(&mut self) -> Instant {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Ask(vm, lane) => self.ask(vm, lane, now),
                Event::Respond(vm) => {
                    self.vms[vm].up.pass(CALLERS_BYTES, now);
                    let pause = CALLERS_PAUSE.mul_f64(self.rng.random_range(0.0..2.0));
                    self.add(now + pause, Event::Respond(vm));
                }
                Event::Request(from, to, ids) => {
                    let parts = self.answer(to, &ids, now);
                    let parts_bytes = parts.iter().flatten().map(Bytes::len).sum::<usize>();
                    let bytes = HEAD_BYTES + parts_bytes;
                    let left = self.vms[to].up.pass(bytes, now);
                    let there = self.vms[from.0].down.pass(bytes, left + LATENCY);
                    self.add(there, Event::Answer(from, to, parts));
                }
                Event::Answer(vm, source, parts) => self.take(vm, source, parts, now),
            }
            if self.vms[1..]
                .iter()
                .all(|vm| vm.values.complete().is_some())
            {
                return now;
            }
        }
        panic!("a VM stopped asking");
    }

    fn ask(&mut self, vm: usize, lane: usize, now: Instant) {
        let missing = self.vms[vm].values.missing();
        if missing.is_empty() {
            return;
        }
        let others = (0..self.vms.len()).filter(|other| *other != vm);
        let zone: Vec<SocketAddr> = others.map(addr).collect();
        let asking = &mut self.vms[vm];
        let last = asking.last[lane].filter(|addr| !asking.sources.rests(*addr, now));
        let nobody = std::iter::empty();
        let source = last.or_else(|| {
            let sources = &asking.sources;
            sources.choose(lane, &zone, nobody, now, &mut self.rng)
        });
        let Some(source) = source else {
            self.add(now + PAUSE, Event::Ask(vm, lane));
            return;
        };
        let ids = asking.claims.choose(lane, &missing, &mut self.rng);
        let left = asking.up.pass(REQUEST_BYTES, now);
        let request = Event::Request((vm, lane), index(source), ids);
        self.add(left + LATENCY, request);
    }

    fn answer(&mut self, vm: usize, ids: &[Id], now: Instant) -> Option<Vec<Bytes>> {
        let vm = &mut self.vms[vm];
        match spread::answer(&mut vm.values, &mut vm.allowance, ids, now) {
            Answer::Parts(parts) => Some(parts),
            Answer::Busy => None,
        }
    }

    fn take(
        &mut self,
        (vm, lane): (usize, usize),
        source: usize,
        parts: Option<Vec<Bytes>>,
        now: Instant,
    ) {
        let asking = &mut self.vms[vm];
        let rest = match parts {
            None => Some(Rest::Busy),
            Some(parts) => {
                let mut parts = parts.into_iter();
                let needed = parts.any(|part| asking.values.receive(part));
                for part in parts {
                    asking.values.receive(part);
                }
                (!needed).then_some(Rest::Empty)
            }
        };
        asking.last[lane] = Some(addr(source));
        if let Some(rest) = rest {
            let sources = &mut asking.sources;
            sources.let_rest(addr(source), rest, now, &mut self.rng);
        }
        self.add(now, Event::Ask(vm, lane));
    }
}

/// Returns the time until the last of `vms` VMs has a value of `bytes` bytes, at most over some seeds.
fn longest(vms: usize, bytes: usize) -> Duration {
    let start = Instant::now();
    let spans = (0..SEEDS).map(|seed| {
        let mut text = vec![0; bytes];
        StdRng::seed_from_u64(seed).fill_bytes(&mut text);
        Zone::new(vms, &Bytes::from(text), seed, start).run() - start
    });
    spans.max().unwrap_or_default()
}

/// Guards against a zone of slow links in which a large configuration comes into force seconds after it has to.
/// Of the 3 s after its acknowledgement, which takes 3 s for 1 MB, its reading from the store takes 1.5 s.
#[test]
fn large_value_spreads_too_slowly_among_vms_with_slow_links() {
    let span = longest(18, 1_000_000);
    assert!(span < Duration::from_millis(4_500), "{span:?}");
}

#[test]
fn value_of_some_hundred_kilobytes_spreads_among_many_vms_with_slow_links() {
    let span = longest(36, 273_000);
    assert!(span < Duration::from_secs(3), "{span:?}");
}

#[test]
fn lanes_leave_parts_to_each_other_until_none_is_free() {
    let mut text = vec![0; 400_000];
    StdRng::seed_from_u64(1).fill_bytes(&mut text);
    let mut values = Values::default();
    values.offer(Deferred {
        key: KEY.to_owned(),
        revision: 1,
        manifest: Manifest::of(&Bytes::from(text)),
    });
    let missing = values.missing();
    let mut claims = Claims::default();
    let mut rng = StdRng::seed_from_u64(2);
    let first = claims.choose(0, &missing, &mut rng);
    let second = claims.choose(1, &missing, &mut rng);
    assert_eq!((first.len(), second.len()), (MAX_REQUESTED, MAX_REQUESTED));
    assert!(first.iter().all(|id| !second.contains(id)));
    let last = &missing[..1];
    let claimed = [
        claims.choose(0, last, &mut rng),
        claims.choose(1, last, &mut rng),
    ];
    assert_eq!(claimed, [vec![last[0].id], vec![last[0].id]]);
}
