//! Warm-up of cold backend servers.
//!
//! Load pattern: the servers of a zone restart together, with empty caches. A cold server crashes
//! above a certain request rate, summed over all entry VMs. Only the server's owner
//! ([`crate::owner`]) sends it requests while it is cold, at less than half of the limit, since
//! two entry VMs that are partitioned from each other may both consider themselves the owner.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::window::{Window, to_f64};

/// Window over which requests to a cold server are counted.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum time from the last sign that a server may be down until it has restarted: the interval
/// between two probes, plus the delay until a report of the server arrives.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(3);

/// Ratio of unreachable servers outside an entry VM's zone from which the VM itself is considered
/// partitioned.
const PARTITIONED_RATIO: f64 = 0.9;

/// Assumed warmth of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The server is warm.
    Warm,
    /// The server may have restarted but has not reported it yet.
    Suspect,
    /// The server reported that it is cold.
    Cold,
}

impl Warmth {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Suspect => "suspect",
            Self::Cold => "cold",
        }
    }
}

/// Warm-up state of a server, and the requests that count against its limit.
#[derive(Debug)]
pub struct Warmup {
    /// Until when the server is cold by its own report.
    until: Option<Instant>,
    /// A possible restart that the server has not reported yet.
    suspicion: Option<Suspicion>,
    /// Requests that wait for a connection and may be sent at any time.
    reserved: usize,
    /// Requests sent, including those sent while the server was assumed to be warm.
    sent: Window,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Instant,
    /// When the suspicion ends if no heartbeat clears it.
    until: Instant,
}

impl Default for Warmup {
    fn default() -> Self {
        Self {
            until: None,
            suspicion: None,
            reserved: 0,
            sent: Window::new(RATE_WINDOW),
        }
    }
}

impl Warmup {
    /// Applies a heartbeat that reports the server as cold for `remaining`. `after` is a time before
    /// the heartbeat was written, if known; suspicions up to that time are cleared.
    pub fn note_heartbeat(&mut self, remaining: Duration, after: Option<Instant>, now: Instant) {
        self.until = (!remaining.is_zero()).then(|| now + remaining);
        self.suspicion
            .take_if(|suspicion| after.is_some_and(|after| suspicion.since <= after));
    }

    /// Notes that the server may have restarted or may be about to, and is then cold for `warmup`.
    pub fn suspect(&mut self, warmup: Duration, now: Instant) {
        self.suspicion = Some(Suspicion {
            since: now,
            until: now + warmup + MAX_RESTART_DELAY,
        });
    }

    /// Notes that the server has not restarted.
    pub fn clear_suspicion(&mut self) {
        self.suspicion = None;
    }

    /// Returns whether the server reported that it is cold.
    #[must_use]
    pub fn is_reported_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the assumed warmth.
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

    /// Returns whether the server is cold or suspected to be.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warmth(now) != Warmth::Warm
    }

    /// Returns the reported remaining time until the server is warm.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let remaining = self.until.map(|until| until.saturating_duration_since(now));
        remaining.unwrap_or_default()
    }

    /// Returns the number of requests that this entry VM sent in the last second or is about to send.
    pub fn sent(&mut self, now: Instant) -> usize {
        self.reserved + self.sent.len(now)
    }

    /// Returns whether another request may be sent under a limit of `max_per_s`.
    pub fn allows(&mut self, max_per_s: f64, now: Instant) -> bool {
        to_f64(self.sent(now) + 1) <= max_per_s
    }

    /// Counts a request that will be sent when a connection is available.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Notes that a counted request will not be sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Notes that a counted request was sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.release();
        self.sent.note(now);
    }
}

/// Returns whether unreachable servers are explained by a partition of the entry VM itself, in which
/// case they have not restarted. `servers` holds the region of each server outside the VM's zone, and
/// whether the server is unreachable. One region may lose power as a whole, but not two at once.
#[must_use]
pub fn is_partitioned<'a>(servers: impl Iterator<Item = (&'a str, bool)>) -> bool {
    let mut total = 0;
    let mut unreachable = 0;
    let mut regions = HashSet::new();
    for (region, is_unreachable) in servers {
        total += 1;
        if is_unreachable {
            unreachable += 1;
            regions.insert(region);
        }
    }
    regions.len() > 1 && to_f64(unreachable) >= to_f64(total) * PARTITIONED_RATIO
}
