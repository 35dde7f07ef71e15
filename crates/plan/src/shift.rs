//! Progress of a service's shift, according to the shift's state chart.

use std::sync::LazyLock;

use chart::Chart;
use chart::shift::{Event, State, load};

use crate::Progress;

static CHART: LazyLock<Chart<State, Event>> =
    LazyLock::new(|| load().expect("the state chart of a shift matches the code"));

/// Effect of one decision on a shift.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Remaining traffic to move, in percent.
    pub(crate) remaining_percent: f64,
    /// Traffic that moves now, in percent.
    pub(crate) moving_percent: f64,
    /// Whether a measurement is stale or missing.
    pub(crate) stale: bool,
    /// Estimated time until all traffic has moved, in seconds.
    pub(crate) remaining_s: f64,
}

/// Returns the progress after `outcome`, or `None` if there is no shift.
pub(crate) fn advance(previous: Option<&Progress>, outcome: Outcome) -> Option<Progress> {
    let chart = &*CHART;
    let state_before = previous.map_or(chart.initial(), |progress| progress.state);
    let has_shift = outcome.remaining_percent > 0.0 || outcome.moving_percent > 0.0;
    if !has_shift {
        return None;
    }
    let event = if outcome.moving_percent > 0.0 {
        Event::Granted
    } else if outcome.stale {
        Event::Stale
    } else {
        Event::Capped
    };
    let state = chart.next(state_before, event).unwrap_or(state_before);
    let is_complete = outcome.remaining_percent <= 0.0;
    let state = if is_complete {
        chart.next(state, Event::Complete).unwrap_or(state)
    } else {
        state
    };
    (state != State::Ended).then_some(Progress {
        state,
        remaining_percent: outcome.remaining_percent,
        remaining_s: outcome.remaining_s,
    })
}
