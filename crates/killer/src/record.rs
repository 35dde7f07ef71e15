//! What is known of one request.

use std::net::SocketAddr;

use timer::Moment;

/// Breaks of one server within this time are one crash, in milliseconds.
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
    /// In order of time; no two of one server within [`SAME_CRASH_MS`].
    crashes: Vec<Crash>,
    pub(crate) succeeded: Option<Moment>,
}

/// What the crashes since the last success say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing<'a> {
    /// No crash since.
    Clear,
    /// One crash since.
    Suspect(&'a Crash),
    /// Too many crashes since.
    Quarantined,
}

impl Record {
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        let same = |known: &Crash| {
            let apart_ms = known.at.ms_since(crash.at).max(crash.at.ms_since(known.at));
            known.server == crash.server && apart_ms <= SAME_CRASH_MS
        };
        if self.crashes.iter().any(same) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        true
    }

    pub(crate) fn add_success(&mut self, at: Moment) -> bool {
        let later = self.succeeded.is_none_or(|known| at > known);
        if later {
            self.succeeded = Some(at);
        }
        later
    }

    /// Returns the number of crashes since the last success.
    pub(crate) fn crashes_since_success(&self) -> usize {
        let after = |crash: &&Crash| self.succeeded.is_none_or(|at| crash.at > at);
        self.crashes.iter().filter(after).count()
    }

    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the latest moment at which anything was seen.
    pub(crate) fn latest(&self) -> Moment {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.succeeded).unwrap_or_default()
    }

    pub(crate) fn forget_before(&mut self, oldest: Moment) {
        self.crashes.retain(|crash| crash.at >= oldest);
        self.succeeded = self.succeeded.filter(|at| *at >= oldest);
    }

    /// Judges the crashes since the last success. Crashes of several servers at once say little
    /// of a request that succeeded shortly before (`proven`): they count as one.
    pub(crate) fn standing(&self, proven_ms: u64) -> Standing<'_> {
        let since = self.succeeded.unwrap_or_default();
        let after = |crash: &&Crash| self.succeeded.is_none() || crash.at > since;
        let crashes: Vec<&Crash> = self.crashes.iter().filter(after).collect();
        let Some(first) = crashes.first() else {
            return Standing::Clear;
        };
        let proven = self.succeeded.is_some() && first.at.ms_since(since) <= proven_ms;
        let at_once = |crash: &&&Crash| crash.at.ms_since(first.at) <= SAME_CRASH_MS;
        let count = if proven {
            1 + crashes.iter().filter(|crash| !at_once(crash)).count()
        } else {
            crashes.len()
        };
        if count >= MAX_CRASHES {
            Standing::Quarantined
        } else {
            Standing::Suspect(first)
        }
    }
}
