//! Crashes and successes of one request.

use std::net::SocketAddr;

use timer::Moment;

/// Broken connections to one server within this time count as one crash, in milliseconds.
const SAME_CRASH_MS: u64 = 1_000;

/// Crashes since the last success after which a request is quarantined.
const MAX_CRASHES: usize = 2;

/// A crash while the request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) server: SocketAddr,
    pub(crate) zone: String,
    pub(crate) at: Moment,
}

/// Crashes and the latest success of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Record {
    /// Sorted by time; no two of the same server within [`SAME_CRASH_MS`].
    crashes: Vec<Crash>,
    pub(crate) succeeded: Option<Moment>,
}

/// Classification of a request by its crashes since the last success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Status<'a> {
    /// No crash since the last success.
    Clear,
    /// One crash since the last success.
    Suspect(&'a Crash),
    /// At least [`MAX_CRASHES`] crashes since the last success.
    Quarantined,
}

impl Record {
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_duplicate = |known: &Crash| {
            let apart_ms = known.at.ms_since(crash.at).max(crash.at.ms_since(known.at));
            known.server == crash.server && apart_ms <= SAME_CRASH_MS
        };
        if self.crashes.iter().any(is_duplicate) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        true
    }

    pub(crate) fn add_success(&mut self, at: Moment) -> bool {
        let is_later = self.succeeded.is_none_or(|known| at > known);
        if is_later {
            self.succeeded = Some(at);
        }
        is_later
    }

    /// Returns the number of crashes since the last success.
    pub(crate) fn crashes_since_success(&self) -> usize {
        let is_since_success = |crash: &&Crash| self.succeeded.is_none_or(|at| crash.at > at);
        self.crashes.iter().filter(is_since_success).count()
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the moment of the latest crash or success.
    pub(crate) fn latest(&self) -> Moment {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.succeeded).unwrap_or_default()
    }

    pub(crate) fn remove_before(&mut self, oldest: Moment) {
        self.crashes.retain(|crash| crash.at >= oldest);
        self.succeeded = self.succeeded.filter(|at| *at >= oldest);
    }

    /// Classifies the request by its crashes since the last success. If the request succeeded at
    /// most `recent_ms` before the first crash, simultaneous crashes of several servers count as
    /// one, because the request is then unlikely to be their cause.
    pub(crate) fn status(&self, recent_ms: u64) -> Status<'_> {
        let succeeded_at = self.succeeded.unwrap_or_default();
        let is_since_success = |crash: &&Crash| self.succeeded.is_none() || crash.at > succeeded_at;
        let crashes: Vec<&Crash> = self.crashes.iter().filter(is_since_success).collect();
        let Some(first) = crashes.first() else {
            return Status::Clear;
        };
        let recently_succeeded =
            self.succeeded.is_some() && first.at.ms_since(succeeded_at) <= recent_ms;
        let is_simultaneous = |crash: &&&Crash| crash.at.ms_since(first.at) <= SAME_CRASH_MS;
        let count = if recently_succeeded {
            1 + crashes
                .iter()
                .filter(|crash| !is_simultaneous(crash))
                .count()
        } else {
            crashes.len()
        };
        if count >= MAX_CRASHES {
            Status::Quarantined
        } else {
            Status::Suspect(first)
        }
    }
}
