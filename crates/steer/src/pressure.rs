//! Load reports of backend servers that entry VMs share: what is news, which report of a server counts,
//! and what fits into a message.
//!
//! Load pattern: many entry VMs use many servers, so a VM gets a response from a server less often than the
//! server's load changes, while all VMs together hear of it several times within each change. A VM
//! therefore passes on what it hears of servers under pressure: to the leader of its zone, which passes its
//! zone's news on to the other leaders, and all news to its zone. Servers that are not under pressure are
//! not reported: without a report, a server counts as one that has room.
//!
//! Of two reports on a server the newer counts, so the order in which they arrive makes no difference. News
//! is compared with what the receivers know already; what differs most is sent first, within the bytes
//! that a receiver may get.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use fleet::pressure::{ENTRY_BYTES, Entry, HEADER_BYTES};
use fleet::report::Scope;

use crate::load::weight;
use crate::to_f64;

/// Age from which a report is dropped.
pub const MAX_AGE: Duration = Duration::from_secs(1);

/// Unit of ages in messages, in milliseconds.
const AGE_UNIT_MS: u64 = 10;

/// Units of requests per slot in messages.
const PER_SLOT_UNITS: f64 = 16.0;

/// Units of the slowdown in messages.
const SLOWDOWN_UNITS: f64 = 10.0;

/// Requests per slot from which a server is under pressure, in units: all slots are taken.
const PRESSURE_PER_SLOT: u8 = 16;

/// Slowdown from which a server is under pressure, in units.
const PRESSURE_SLOWDOWN: u8 = 13;

/// Minimum change that is reported, in requests per slot plus slowdown. Smaller changes rarely decide
/// between two servers, whose expected times have to differ by half.
const MIN_CHANGE: f64 = 0.25;

/// Time that a report usually takes to the VMs of other zones, with rounds of [`MIN_INTERVAL`]: half a round
/// at each of three VMs, and the delay between regions. A server that stays under pressure is reported again
/// this long before its earlier report loses weight.
const PROPAGATION_TIME: Duration = Duration::from_millis(200);

/// Minimum interval between two rounds of messages.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of messages that a leader sends in a second.
const MAX_MESSAGES_PER_S: f64 = 400.0;

/// Maximum number of bytes of messages that a VM receives in a second.
const MAX_BYTES_PER_S: f64 = 2_000.0;

/// Size of a message with one entry, in bytes.
const MIN_MESSAGE_BYTES: usize = HEADER_BYTES + ENTRY_BYTES;

/// Load of a server in the units of messages. Both values are rounded down, so that sender and receivers
/// agree on what is pressure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level {
    per_slot: u8,
    slowdown: u8,
}

impl Level {
    /// Returns the level of a server with `per_slot` requests per slot on a machine that takes `slowdown`
    /// times as long as usual.
    #[must_use]
    pub fn new(per_slot: f64, slowdown: f64) -> Self {
        Self {
            per_slot: units(per_slot * PER_SLOT_UNITS),
            slowdown: units(slowdown * SLOWDOWN_UNITS).max(1),
        }
    }

    /// Returns the requests per slot, running and waiting.
    #[must_use]
    pub fn per_slot(self) -> f64 {
        f64::from(self.per_slot) / PER_SLOT_UNITS
    }

    /// Returns how long work takes compared with the usual time.
    #[must_use]
    pub fn slowdown(self) -> f64 {
        f64::from(self.slowdown) / SLOWDOWN_UNITS
    }

    /// Returns whether the server is under pressure.
    #[must_use]
    pub fn is_pressure(self) -> bool {
        self.per_slot >= PRESSURE_PER_SLOT || self.slowdown >= PRESSURE_SLOWDOWN
    }
}

/// Returns the number of whole units in `value`, at most what an entry can carry.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped to the type's range
fn units(value: f64) -> u8 {
    // Products such as 2.3 * 10.0 may end just below the whole number.
    (value + 1e-9).clamp(0.0, f64::from(u8::MAX)) as u8
}

/// A level and when a response said so. Reports on a server are ordered by time; of two at the same time, the
/// higher level counts, so that all VMs keep the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Level of the server.
    pub level: Level,
    /// When the response arrived at the VM that heard it.
    pub at: Instant,
}

impl Heard {
    /// Reads an entry that arrives at `now`; `None` if it is too old.
    #[must_use]
    pub fn from_entry(entry: &Entry, now: Instant) -> Option<Self> {
        let age = Duration::from_millis(u64::from(entry.age) * AGE_UNIT_MS);
        let at = now.checked_sub(age)?;
        let level = Level {
            per_slot: entry.per_slot,
            // No server takes no time; a zero would make it look infinitely fast.
            slowdown: entry.slowdown.max(1),
        };
        let heard = Self { level, at };
        heard.is_fresh(now).then_some(heard)
    }

    /// Returns the entry about `server` in a message sent at `now`; `None` if it is too old. The age is
    /// rounded up, so that a report never looks newer than the response that it is about.
    #[must_use]
    pub fn to_entry(self, server: u32, now: Instant) -> Option<Entry> {
        let age_us = now.saturating_duration_since(self.at).as_micros();
        let age = age_us.div_ceil(u128::from(AGE_UNIT_MS) * 1_000);
        self.is_fresh(now).then_some(Entry {
            server,
            per_slot: self.level.per_slot,
            slowdown: self.level.slowdown,
            age: u8::try_from(age).ok()?,
        })
    }

    /// Returns whether it is newer than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.at, self.level) > (other.at, other.level)
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_AGE
    }
}

/// Number of VMs and zones that share reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// VMs of the sender's zone, including the sender.
    pub zone_vms: usize,
    /// Zones of the fleet, including the sender's.
    pub zones: usize,
}

impl Size {
    /// Returns the minimum interval between two rounds of a VM's messages.
    #[must_use]
    pub fn interval(self) -> Duration {
        let messages = to_f64(self.zone_vms + self.zones);
        MIN_INTERVAL.max(Duration::from_secs_f64(messages / MAX_MESSAGES_PER_S))
    }

    /// Returns the bytes that a receiver may get in a second from one sender of messages with `scope`. What a
    /// leader receives is divided evenly between its zone and the other leaders.
    #[must_use]
    pub fn bytes_per_s(self, scope: Scope) -> f64 {
        let vms = to_f64(self.zone_vms.saturating_sub(1));
        let leaders = to_f64(self.zones.saturating_sub(1));
        let share = if vms > 0.0 && leaders > 0.0 { 0.5 } else { 1.0 };
        match scope {
            Scope::Vm => MAX_BYTES_PER_S * share / vms.max(1.0),
            Scope::Zone => MAX_BYTES_PER_S * share / leaders.max(1.0),
            Scope::Fleet => MAX_BYTES_PER_S,
        }
    }
}

/// Entries of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Taken {
    /// What is sent.
    pub entries: Vec<Entry>,
    /// Number of entries that did not fit.
    pub cut: usize,
}

/// News for a set of receivers that get the same messages.
#[derive(Debug, Default)]
struct Outbox {
    /// News that was not sent yet, by hash of the server's name.
    pending: HashMap<u32, Heard>,
    /// What the receivers know.
    known: HashMap<u32, Heard>,
    /// Times and sizes of the latest messages.
    sent: VecDeque<(Instant, usize)>,
}

impl Outbox {
    /// Adds the newest report on a server, if it is news to the receivers.
    fn offer(&mut self, server: u32, heard: Heard) {
        let known = self.known.get(&server);
        if known.is_some_and(|known| !heard.is_newer_than(known)) {
            return;
        }
        if heard.level.is_pressure() || known.is_some_and(|known| known.level.is_pressure()) {
            self.pending.insert(server, heard);
        } else {
            self.pending.remove(&server);
        }
    }

    /// Records a report that the receivers have got from elsewhere.
    fn note_known(&mut self, server: u32, heard: Heard) {
        let pending = self.pending.get(&server);
        if pending.is_some_and(|pending| !pending.is_newer_than(&heard)) {
            self.pending.remove(&server);
        }
        let known = self.known.entry(server).or_insert(heard);
        if heard.is_newer_than(known) {
            *known = heard;
        }
    }

    /// Drops what is too old, and the ends of pressure that the receivers no longer know of.
    fn expire(&mut self, now: Instant) {
        let known = &mut self.known;
        known.retain(|_, heard| heard.is_fresh(now));
        let is_known = |server: &u32| known.get(server).is_some_and(|k| k.level.is_pressure());
        self.pending.retain(|server, heard| {
            heard.is_fresh(now) && (heard.level.is_pressure() || is_known(server))
        });
    }

    /// Returns the entries of the next message, largest change first. `bytes_per_s` holds over any second, or
    /// over the time in which it allows one entry; a round takes its part of it.
    fn take(&mut self, bytes_per_s: f64, interval: Duration, now: Instant) -> Taken {
        self.expire(now);
        let mut changes: Vec<(f64, u32, Heard)> = Vec::new();
        for (server, heard) in &self.pending {
            let known = self.known.get(server).copied();
            let was_pressure = known.is_some_and(|known| known.level.is_pressure());
            let change = change(known, heard.level, now);
            if change >= MIN_CHANGE || was_pressure != heard.level.is_pressure() {
                changes.push((change, *server, *heard));
            }
        }
        changes.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let fitting = self.fitting(bytes_per_s, interval, now).min(changes.len());
        let cut = changes.len() - fitting;
        let mut entries = Vec::with_capacity(fitting);
        for (_, server, heard) in changes.into_iter().take(fitting) {
            self.pending.remove(&server);
            self.known.insert(server, heard);
            entries.extend(heard.to_entry(server, now));
        }
        if !entries.is_empty() {
            let bytes = HEADER_BYTES + ENTRY_BYTES * entries.len();
            self.sent.push_back((now, bytes));
        }
        Taken { entries, cut }
    }

    /// Returns the number of entries that fit into the next message.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative, at most a few thousand
    fn fitting(&mut self, bytes_per_s: f64, interval: Duration, now: Instant) -> usize {
        let min_bytes = to_f64(MIN_MESSAGE_BYTES);
        let window = Duration::from_secs_f64((min_bytes / bytes_per_s).max(1.0));
        while let Some((at, _)) = self.sent.front()
            && now.saturating_duration_since(*at) >= window
        {
            self.sent.pop_front();
        }
        let sent: usize = self.sent.iter().map(|(_, bytes)| bytes).sum();
        let in_window = bytes_per_s * window.as_secs_f64() - to_f64(sent);
        let in_round = (bytes_per_s * interval.as_secs_f64()).max(min_bytes);
        // The tolerance covers the rounding of a window that allows exactly one entry.
        let bytes = in_window.min(in_round) + 1e-6;
        (bytes.max(0.0) as usize).saturating_sub(HEADER_BYTES) / ENTRY_BYTES
    }
}

/// Returns by how much `level` differs from what receivers that know `known` will assume when a report of it
/// reaches them.
fn change(known: Option<Heard>, level: Level, now: Instant) -> f64 {
    let weight = known.map_or(0.0, |known| {
        weight(now.saturating_duration_since(known.at) + PROPAGATION_TIME)
    });
    let assumed = |of: fn(Level) -> f64, idle: f64| {
        known.map_or(idle, |known| weight.mul_add(of(known.level) - idle, idle))
    };
    let per_slot = (level.per_slot() - assumed(Level::per_slot, 0.0)).abs();
    let slowdown = (level.slowdown() - assumed(Level::slowdown, 1.0)).abs();
    per_slot + slowdown
}

/// How a VM got a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// By a response of the server.
    Response,
    /// In a message with this scope.
    Message(Scope),
}

/// The reports that a VM passes on.
#[derive(Debug, Default)]
pub struct Exchange {
    /// The newest report on each server. One that is no news is kept too: an older one may arrive later.
    newest: HashMap<u32, Heard>,
    /// News of this VM for its leader, or as a leader of its zone for the other leaders.
    outward: Outbox,
    /// All news for the VMs of the zone, as their leader.
    zone: Outbox,
}

impl Exchange {
    /// Records a report of the server with the hash `server`. Reports from other VMs are passed on only by
    /// a leader, and only to those who do not get them from the sender, so none is sent in a circle.
    pub fn note(&mut self, server: u32, heard: Heard, origin: Origin, is_leader: bool) {
        let newest = self.newest.get(&server);
        let is_newest = newest.is_none_or(|newest| heard.is_newer_than(newest));
        if is_newest {
            self.newest.insert(server, heard);
        }
        match origin {
            Origin::Message(Scope::Zone) => self.outward.note_known(server, heard),
            Origin::Message(Scope::Fleet) => {
                self.outward.note_known(server, heard);
                self.zone.note_known(server, heard);
                return;
            }
            Origin::Message(Scope::Vm) if !is_leader => return,
            Origin::Message(Scope::Vm) | Origin::Response if is_newest => {
                self.outward.offer(server, heard);
            }
            Origin::Message(Scope::Vm) | Origin::Response => {}
        }
        if is_leader && is_newest {
            self.zone.offer(server, heard);
        }
    }

    /// Returns whether there is something to send.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.outward.pending.is_empty() || !self.zone.pending.is_empty()
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.newest.retain(|_, heard| heard.is_fresh(now));
        self.outward.expire(now);
        self.zone.expire(now);
    }

    /// Returns the entries of this round's message with `scope`, in a fleet of the given size.
    pub fn take(&mut self, scope: Scope, size: Size, now: Instant) -> Taken {
        let outbox = match scope {
            Scope::Vm | Scope::Zone => &mut self.outward,
            Scope::Fleet => &mut self.zone,
        };
        outbox.take(size.bytes_per_s(scope), size.interval(), now)
    }
}
