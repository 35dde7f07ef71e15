//! Bringing load to cold backend servers.
//!
//! Answers a zone whose servers come back together, without their caches: a cold server that
//! gets more than a certain rate crashes. The rate holds over all entry VMs, so one entry VM, the
//! server's owner ([`crate::owner`]), sends it work while it is cold, and keeps to less than half of
//! the bound, since entry VMs that are cut off from each other may both take themselves for the owner.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::window::{Window, to_f64};

/// Span over which a cold server's requests are counted.
pub const SPAN: Duration = Duration::from_secs(1);

/// Time from the last sign that a server may be down until it is up again, at most: that between two
/// looks at it, and the time that news takes.
const UNSEEN: Duration = Duration::from_secs(3);

/// Part of the servers outside an entry VM's zone that it loses at once only if it is cut off
/// itself.
const CUT_PART: f64 = 0.9;

/// Whether a server is believed to be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It is not.
    Warm,
    /// It may have restarted without saying so yet.
    Suspect,
    /// It said so.
    Cold,
}

impl Warmth {
    /// Returns its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Suspect => "suspect",
            Self::Cold => "cold",
        }
    }
}

/// What is believed of a server's warmth.
#[derive(Debug)]
pub struct Warmup {
    /// Until when it said that it stays cold.
    until: Option<Instant>,
    /// That it may have restarted without saying so yet.
    suspicion: Option<Suspicion>,
    /// Requests that wait for a connection and may be sent at any moment.
    waiting: usize,
    /// Requests sent, whatever was believed then.
    sent: Window,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Instant,
    /// When it ends if no heartbeat clears it.
    until: Instant,
}

impl Default for Warmup {
    fn default() -> Self {
        Self {
            until: None,
            suspicion: None,
            waiting: 0,
            sent: Window::new(SPAN),
        }
    }
}

impl Warmup {
    /// Takes a heartbeat which says that the server stays cold for `left`. It was written after
    /// `after`, if that is known.
    pub fn note_heartbeat(&mut self, left: Duration, after: Option<Instant>, now: Instant) {
        self.until = (!left.is_zero()).then(|| now + left);
        self.suspicion
            .take_if(|suspicion| after.is_some_and(|after| suspicion.since <= after));
    }

    /// Notes that the server may have restarted at `now` or may soon, and is cold for `warmup` then.
    pub fn suspect(&mut self, warmup: Duration, now: Instant) {
        self.suspicion = Some(Suspicion {
            since: now,
            until: now + warmup + UNSEEN,
        });
    }

    /// Notes that the server has not restarted after all.
    pub fn clear_suspicion(&mut self) {
        self.suspicion = None;
    }

    /// Returns whether the server said that it is cold.
    #[must_use]
    pub fn is_reported_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns what is believed.
    #[must_use]
    pub fn warmth(&self, now: Instant) -> Warmth {
        if self.is_reported_cold(now) {
            return Warmth::Cold;
        }
        match self.suspicion {
            Some(suspicion) if now < suspicion.until => Warmth::Suspect,
            _ => Warmth::Warm,
        }
    }

    /// Returns whether the server is cold or may be.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warmth(now) != Warmth::Warm
    }

    /// Returns how much longer it said that it stays cold.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let left = self.until.map(|until| until.saturating_duration_since(now));
        left.unwrap_or_default()
    }

    /// Returns the requests that this entry VM sent in the last second, or is about to send.
    pub fn sent(&mut self, now: Instant) -> usize {
        self.waiting + self.sent.len(now)
    }

    /// Returns whether another request may be sent, of at most `most` a second.
    pub fn allows(&mut self, most: f64, now: Instant) -> bool {
        to_f64(self.sent(now) + 1) <= most
    }

    /// Counts a request that is sent once there is a connection.
    pub fn reserve(&mut self) {
        self.waiting += 1;
    }

    /// Notes that such a request was given up.
    pub fn release(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Notes that such a request was sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.release();
        self.sent.note(now);
    }
}

/// Returns whether an entry VM that lost servers is cut off itself, so that they have not restarted.
/// `servers` are those outside its zone: their regions, and whether they are lost. A region may lose
/// power as a whole; two do not at once.
#[must_use]
pub fn is_partitioned<'a>(servers: impl Iterator<Item = (&'a str, bool)>) -> bool {
    let mut all = 0;
    let mut lost = 0;
    let mut regions = HashSet::new();
    for (region, is_lost) in servers {
        all += 1;
        if is_lost {
            lost += 1;
            regions.insert(region);
        }
    }
    regions.len() > 1 && to_f64(lost) >= to_f64(all) * CUT_PART
}
