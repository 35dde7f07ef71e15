//! State that a gate keeps about one backend server.

use chart::Chart;
use chart::backend::{Event, State};
use timer::Moment;

use crate::pool::Limits;

/// Consecutive failures after which a server counts as failing.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Share of failures above which a server counts as failing.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Weight of the latest answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Difference from the lowest latency up to which latencies count as equal, in milliseconds.
const MIN_EXCESS_MS: f64 = 5.0;

/// Age beyond which a latency or a failure no longer raises the cost of a server, in milliseconds.
const MAX_OUTCOME_AGE_MS: u64 = 1_000;

/// Duration of the first ejection, in milliseconds; doubles with each consecutive ejection.
const EJECTION_MS: u64 = 2_000;

/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 60_000;

/// Maximum duration of an ejection of an unreachable server, in milliseconds. Its trials may be
/// frequent, since a trial that cannot connect does not run anywhere.
const MAX_UNREACHABLE_EJECTION_MS: u64 = 4_000;

/// Pause after a shed request, in milliseconds; doubles with each consecutive shed.
const SHED_PAUSE_MS: u64 = 20;

/// Time for which a server on trial accepts only retryable requests, in milliseconds.
const TRIAL_WAIT_MS: u64 = 5_000;

/// Maximum number of doublings of a pause or an ejection.
const MAX_DOUBLINGS: u32 = 5;

/// Age beyond which a reported load is ignored, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;

/// How a request to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Answered {
        /// Time to the answer, in milliseconds.
        latency_ms: u64,
    },
    /// The server reported that it did not run the request.
    Shed,
    /// No connection could be established.
    Unreachable,
    /// No complete answer arrived, or it reported a failure of the server.
    Failed,
    /// The caller cancelled the request; this does not count for or against the server.
    Cancelled,
}

/// Load that a backend server reported about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests of all gates in flight at the server.
    pub in_flight: u32,
    /// Time of the report.
    pub reported_at: Moment,
}

/// One backend server as this gate sees it.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) state: State,
    /// Number of this gate's requests in flight.
    pub(crate) in_flight: u32,
    /// Whether the server itself reported that it accepts no new requests.
    pub(crate) leaving: bool,
    /// Maximum number of connections that this gate opens.
    pub(crate) max_connections: u32,
    /// Concurrency window: the number of this gate's requests that the server ran without shedding.
    /// Shrinks with each shed and grows with answers, never above the declared slots.
    window: f64,
    /// Smoothed latency in milliseconds; zero before the first answer.
    latency_ms: f64,
    answered_at: Moment,
    failed_at: Moment,
    /// Whether the latest failure was a failure to connect.
    unreachable: bool,
    consecutive_failures: u32,
    consecutive_sheds: u32,
    failure_share: f64,
    consecutive_ejections: u32,
    /// End of an ejection or of a pause after a shed.
    paused_until: Moment,
    warming_since: Moment,
    load: Option<Load>,
}

impl Server {
    pub(crate) fn new(state: State, slots: u32, now: Moment) -> Self {
        Self {
            state,
            in_flight: 0,
            leaving: false,
            max_connections: u32::MAX,
            window: f64::from(slots),
            latency_ms: 0.0,
            answered_at: now,
            failed_at: Moment::default(),
            unreachable: false,
            consecutive_failures: 0,
            consecutive_sheds: 0,
            failure_share: 0.0,
            consecutive_ejections: 0,
            paused_until: now,
            warming_since: now,
            load: None,
        }
    }

    /// Applies an event of the state chart; an event without a transition from the current state is
    /// ignored.
    pub(crate) fn apply(&mut self, chart: &Chart<State, Event>, event: Event, now: Moment) {
        let Some(next) = chart.next(self.state, event) else {
            return;
        };
        self.state = next;
        match next {
            State::Warming => self.warming_since = now,
            State::Ejected => self.pause_after_failure(now),
            _ => {}
        }
    }

    /// Returns the maximum number of this gate's requests in flight at `now`.
    pub(crate) fn max_in_flight(&self, limits: Limits, now: Moment) -> u32 {
        let limit = match self.state {
            State::Serving => limits.slots,
            State::Warming => self.warmup_slots(limits, now),
            State::Joining | State::Ejected => 1,
            State::Draining | State::Gone => 0,
        };
        if self.is_paused(now) {
            return 0;
        }
        limit.min(self.window()).min(self.max_connections)
    }

    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Returns whether the next request is a trial of the server.
    pub(crate) fn is_on_trial(&self) -> bool {
        matches!(self.state, State::Joining | State::Ejected)
    }

    /// Returns whether a request that must not run more than once may be the trial: only once the
    /// trial has been due for [`TRIAL_WAIT_MS`] without a retryable request.
    pub(crate) fn accepts_any_trial(&self, now: Moment) -> bool {
        now >= self.paused_until.plus_ms(TRIAL_WAIT_MS)
    }

    /// Returns the relative cost of a request to the server; lower is better. A reported load can
    /// only add to the load that this gate observes, so a server gains nothing by claiming to be
    /// idle. Latency counts only if it is well above `best_ms`, the lowest in the pool, so that
    /// similar servers share the requests.
    pub(crate) fn cost(&self, limits: Limits, best_ms: f64, now: Moment) -> f64 {
        let in_flight = f64::from(self.in_flight + self.in_flight_of_others(now).min(limits.slots));
        let max_in_flight = f64::from(self.max_in_flight(limits, now).max(1));
        let failing = now.ms_since(self.failed_at) <= MAX_OUTCOME_AGE_MS;
        let failure_share = if failing { self.failure_share } else { 0.0 };
        let success_share = 1.0 - failure_share.min(0.9);
        (in_flight + 1.0) / max_in_flight * self.slowdown(best_ms, now) / success_share
    }

    fn slowdown(&self, best_ms: f64, now: Moment) -> f64 {
        let latency_ms = self.recent_latency_ms(now).unwrap_or(best_ms);
        let excess_ms = latency_ms - best_ms;
        if excess_ms > best_ms && excess_ms > MIN_EXCESS_MS {
            latency_ms / best_ms.max(1.0)
        } else {
            1.0
        }
    }

    /// Returns the smoothed latency unless the latest answer is too old.
    pub(crate) fn recent_latency_ms(&self, now: Moment) -> Option<f64> {
        let is_recent = now.ms_since(self.answered_at) <= MAX_OUTCOME_AGE_MS;
        (self.latency_ms > 0.0 && is_recent).then_some(self.latency_ms)
    }

    pub(crate) fn smoothed_latency_ms(&self) -> f64 {
        self.latency_ms
    }

    pub(crate) fn set_load(&mut self, load: Load) {
        self.load = Some(load);
    }

    /// Records the outcome of a request and returns whether the server counts as failing.
    pub(crate) fn note(&mut self, outcome: Outcome, limits: Limits, now: Moment) -> bool {
        match outcome {
            Outcome::Answered { latency_ms } => self.note_answer(latency_ms, limits, now),
            Outcome::Shed => self.note_shed(now),
            Outcome::Unreachable => self.note_failure(true, now),
            Outcome::Failed => self.note_failure(false, now),
            Outcome::Cancelled => {}
        }
        let failing = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
        failing || self.failure_share > MAX_FAILURE_SHARE
    }

    fn note_answer(&mut self, latency_ms: u64, limits: Limits, now: Moment) {
        let is_first = self.recent_latency_ms(now).is_none();
        self.answered_at = now;
        let latency_ms = f64::from(u32::try_from(latency_ms).unwrap_or(u32::MAX));
        if is_first {
            self.latency_ms = latency_ms;
        }
        self.latency_ms += (latency_ms - self.latency_ms) * LATENCY_WEIGHT;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.consecutive_failures = 0;
        self.consecutive_sheds = 0;
        self.window = (self.window + 1.0 / self.window).min(f64::from(limits.slots));
        if self.failure_share < FAILURE_WEIGHT {
            self.consecutive_ejections = 0;
        }
    }

    fn note_shed(&mut self, now: Moment) {
        let doublings = self.consecutive_sheds.min(MAX_DOUBLINGS);
        self.paused_until = now.plus_ms(SHED_PAUSE_MS << doublings);
        self.consecutive_sheds += 1;
        self.window = f64::from(self.in_flight).clamp(1.0, self.window);
    }

    fn note_failure(&mut self, unreachable: bool, now: Moment) {
        self.failed_at = now;
        self.unreachable = unreachable;
        self.consecutive_failures += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Pauses the server, for longer with each consecutive ejection.
    pub(crate) fn pause_after_failure(&mut self, now: Moment) {
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        let max_ms = if self.unreachable {
            MAX_UNREACHABLE_EJECTION_MS
        } else {
            MAX_EJECTION_MS
        };
        let ms = (EJECTION_MS << doublings).min(max_ms);
        self.paused_until = now.plus_ms(ms);
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.failure_share = 0.0;
    }

    pub(crate) fn is_warm(&self, limits: Limits, now: Moment) -> bool {
        now.ms_since(self.warming_since) >= limits.cold_start_ms
    }

    /// Returns the slots that a warming server may use, rising linearly over its cold start.
    fn warmup_slots(&self, limits: Limits, now: Moment) -> u32 {
        let elapsed_ms = now.ms_since(self.warming_since).min(limits.cold_start_ms);
        let scaled = u64::from(limits.slots) * elapsed_ms / limits.cold_start_ms.max(1);
        u32::try_from(scaled).unwrap_or(limits.slots).max(1)
    }

    /// Returns the reported requests in flight that other gates sent.
    fn in_flight_of_others(&self, now: Moment) -> u32 {
        let recent = self
            .load
            .filter(|load| now.ms_since(load.reported_at) <= MAX_LOAD_AGE_MS);
        recent.map_or(0, |load| load.in_flight.saturating_sub(self.in_flight))
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
