//! What a gate knows about one backend server.

use chart::Chart;
use chart::backend::{Event, State};
use timer::Moment;

use crate::pool::Limits;

/// Failures in a row after which a server counts as failing.
const MAX_FAILURES_IN_ROW: u32 = 3;

/// Weight of the latest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Share of failures above which a server counts as failing.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Weight of the latest answer in the usual latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Difference in latency that never counts, in milliseconds.
const MIN_EXCESS_MS: f64 = 5.0;

/// Age beyond which a latency or a failure no longer keeps a server from work, in milliseconds.
const MAX_OUTCOME_AGE_MS: u64 = 1_000;

/// First ejection, in milliseconds; each further one in a row lasts twice as long.
const EJECTION_MS: u64 = 2_000;

/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 60_000;

/// Longest ejection of a server that no connection reaches, in milliseconds: its trials run
/// nowhere, so they may come often.
const MAX_UNREACHED_MS: u64 = 4_000;

/// Pause after a shed request, in milliseconds; doubles with each further shed in a row.
const SHED_PAUSE_MS: u64 = 20;

/// Time for which a server on trial waits for a request that may run again, in milliseconds.
const TRIAL_WAIT_MS: u64 = 5_000;

/// Most doublings of a pause or an ejection.
const MAX_DOUBLINGS: u32 = 5;

/// Age beyond which a reported load is ignored, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;

/// How a request to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered after some milliseconds.
    Answered {
        /// Time to the answer, in milliseconds.
        latency_ms: u64,
    },
    /// The server said that it did not run it.
    Shed,
    /// No connection was possible.
    Unreachable,
    /// The answer never came, was broken or reported a failure of the server.
    Failed,
    /// The caller went away; this says nothing about the server.
    Cancelled,
}

/// Load that a backend server reported about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs for all gates.
    pub in_flight: u32,
    /// When it said so.
    pub reported_at: Moment,
}

/// One backend server as this gate sees it.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) state: State,
    /// Requests of this gate in flight.
    pub(crate) in_flight: u32,
    /// Whether the server itself said that it takes no new work.
    pub(crate) leaving: bool,
    /// Most connections that this gate opens.
    pub(crate) connections: u32,
    /// Requests of this gate that the server took without shedding; falls with each shed and
    /// rises with answers, never above the declared slots.
    window: f64,
    /// Usual latency in milliseconds; zero before the first answer.
    latency_ms: f64,
    answered_at: Moment,
    failed_at: Moment,
    /// Whether the latest failure was to connect.
    unreached: bool,
    failures_in_row: u32,
    sheds_in_row: u32,
    failure_share: f64,
    ejections: u32,
    /// End of an ejection or of a pause after a shed.
    resting_until: Moment,
    warming_since: Moment,
    load: Option<Load>,
}

impl Server {
    pub(crate) fn new(state: State, slots: u32, now: Moment) -> Self {
        Self {
            state,
            in_flight: 0,
            leaving: false,
            connections: u32::MAX,
            window: f64::from(slots),
            latency_ms: 0.0,
            answered_at: now,
            failed_at: Moment::default(),
            unreached: false,
            failures_in_row: 0,
            sheds_in_row: 0,
            failure_share: 0.0,
            ejections: 0,
            resting_until: now,
            warming_since: now,
            load: None,
        }
    }

    /// Takes an event of the chart; events that the state has no transition for change nothing.
    pub(crate) fn take(&mut self, chart: &Chart<State, Event>, event: Event, now: Moment) {
        let Some(next) = chart.next(self.state, event) else {
            return;
        };
        self.state = next;
        match next {
            State::Warming => self.warming_since = now,
            State::Ejected => self.rest_after_failure(now),
            _ => {}
        }
    }

    /// Returns the requests of this gate that the server may run at `now`.
    pub(crate) fn allowance(&self, limits: Limits, now: Moment) -> u32 {
        let bound = match self.state {
            State::Serving => limits.slots,
            State::Warming => self.ramp(limits, now),
            State::Joining | State::Ejected => 1,
            State::Draining | State::Gone => 0,
        };
        if self.is_resting(now) {
            return 0;
        }
        bound.min(self.window()).min(self.connections)
    }

    pub(crate) fn is_resting(&self, now: Moment) -> bool {
        now < self.resting_until
    }

    /// Returns whether the next request is a trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        matches!(self.state, State::Joining | State::Ejected)
    }

    /// Returns whether the next request may be a trial that must not be repeated: only once no
    /// other request has come for a while.
    pub(crate) fn takes_any_trial(&self, now: Moment) -> bool {
        now >= self.resting_until.plus_ms(TRIAL_WAIT_MS)
    }

    /// Returns the expected wait; lower is better. A report can only add to what this gate sees
    /// itself, so a server that claims to be idle gains nothing. Latency counts only where it is
    /// well above `best_ms`, the best in the pool, so that servers alike share the work.
    pub(crate) fn cost(&self, limits: Limits, best_ms: f64, now: Moment) -> f64 {
        let in_flight = f64::from(self.in_flight + self.others(now).min(limits.slots));
        let allowed = f64::from(self.allowance(limits, now).max(1));
        let failing = now.ms_since(self.failed_at) <= MAX_OUTCOME_AGE_MS;
        let failures = if failing { self.failure_share } else { 0.0 };
        let trust = 1.0 - failures.min(0.9);
        (in_flight + 1.0) / allowed * self.slowness(best_ms, now) / trust
    }

    fn slowness(&self, best_ms: f64, now: Moment) -> f64 {
        let latency_ms = self.recent_ms(now).unwrap_or(best_ms);
        let excess_ms = latency_ms - best_ms;
        if excess_ms > best_ms && excess_ms > MIN_EXCESS_MS {
            latency_ms / best_ms.max(1.0)
        } else {
            1.0
        }
    }

    /// Returns the usual latency unless the last answer is long ago.
    pub(crate) fn recent_ms(&self, now: Moment) -> Option<f64> {
        let is_recent = now.ms_since(self.answered_at) <= MAX_OUTCOME_AGE_MS;
        (self.latency_ms > 0.0 && is_recent).then_some(self.latency_ms)
    }

    pub(crate) fn usual_ms(&self) -> f64 {
        self.latency_ms
    }

    pub(crate) fn set_load(&mut self, load: Load) {
        self.load = Some(load);
    }

    /// Notes how a request ended; returns whether the server counts as failing.
    pub(crate) fn note(&mut self, outcome: Outcome, limits: Limits, now: Moment) -> bool {
        match outcome {
            Outcome::Answered { latency_ms } => self.note_answer(latency_ms, limits, now),
            Outcome::Shed => self.note_shed(now),
            Outcome::Unreachable => self.note_failure(true, now),
            Outcome::Failed => self.note_failure(false, now),
            Outcome::Cancelled => {}
        }
        let in_row = self.failures_in_row >= MAX_FAILURES_IN_ROW;
        in_row || self.failure_share > MAX_FAILURE_SHARE
    }

    fn note_answer(&mut self, latency_ms: u64, limits: Limits, now: Moment) {
        let begins = self.recent_ms(now).is_none();
        self.answered_at = now;
        let latency_ms = f64::from(u32::try_from(latency_ms).unwrap_or(u32::MAX));
        if begins {
            self.latency_ms = latency_ms;
        }
        self.latency_ms += (latency_ms - self.latency_ms) * LATENCY_WEIGHT;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.failures_in_row = 0;
        self.sheds_in_row = 0;
        self.window = (self.window + 1.0 / self.window).min(f64::from(limits.slots));
        if self.failure_share < FAILURE_WEIGHT {
            self.ejections = 0;
        }
    }

    fn note_shed(&mut self, now: Moment) {
        let doublings = self.sheds_in_row.min(MAX_DOUBLINGS);
        self.resting_until = now.plus_ms(SHED_PAUSE_MS << doublings);
        self.sheds_in_row += 1;
        self.window = f64::from(self.in_flight).clamp(1.0, self.window);
    }

    fn note_failure(&mut self, unreached: bool, now: Moment) {
        self.failed_at = now;
        self.unreached = unreached;
        self.failures_in_row += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Pauses the server, longer with each pause in a row.
    pub(crate) fn rest_after_failure(&mut self, now: Moment) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let most_ms = if self.unreached {
            MAX_UNREACHED_MS
        } else {
            MAX_EJECTION_MS
        };
        let ms = (EJECTION_MS << doublings).min(most_ms);
        self.resting_until = now.plus_ms(ms);
        self.ejections += 1;
        self.failures_in_row = 0;
        self.failure_share = 0.0;
    }

    pub(crate) fn is_warm(&self, limits: Limits, now: Moment) -> bool {
        now.ms_since(self.warming_since) >= limits.cold_start_ms
    }

    fn ramp(&self, limits: Limits, now: Moment) -> u32 {
        let elapsed_ms = now.ms_since(self.warming_since).min(limits.cold_start_ms);
        let scaled = u64::from(limits.slots) * elapsed_ms / limits.cold_start_ms.max(1);
        u32::try_from(scaled).unwrap_or(limits.slots).max(1)
    }

    fn others(&self, now: Moment) -> u32 {
        let fresh = self
            .load
            .filter(|load| now.ms_since(load.reported_at) <= MAX_LOAD_AGE_MS);
        fresh.map_or(0, |load| load.in_flight.saturating_sub(self.in_flight))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the window is between one and the slots"
    )]
    fn window(&self) -> u32 {
        self.window as u32
    }
}
