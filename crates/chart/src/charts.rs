//! The charts used by the code, with their states and events.

use crate::label::labels;
use crate::{Chart, ChartError};

/// The chart of a backend server from the perspective of a gate.
pub mod backend {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/backend.scxml");

    labels! {
        /// States of a backend server.
        State {
            /// Listed, but has not responded yet.
            Joining = "joining",
            /// Responds; receives fewer requests than it has slots until it is warm.
            Warming = "warming",
            /// Receives its full share of requests.
            Serving = "serving",
            /// Receives no requests until it responds again.
            Ejected = "ejected",
            /// Completes its current requests and receives no new ones.
            Draining = "draining",
            /// No longer listed.
            Gone = "gone",
        }
    }

    labels! {
        /// Events of a backend server.
        Event {
            /// It responded to a probe or request.
            Answered = "answered",
            /// It is to receive no new requests.
            Drain = "drain",
            /// It is no longer listed.
            Removed = "removed",
            /// Its warm-up is complete.
            Warm = "warm",
            /// Too many requests to it failed.
            Failing = "failing",
            /// It is to receive requests again.
            Undrain = "undrain",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}

/// The chart of an entry VM from the perspective of its peers.
pub mod entry {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/entry.scxml");

    labels! {
        /// States of an entry VM.
        State {
            /// Listed, but has not responded yet.
            Joining = "joining",
            /// Responds to probes.
            Live = "live",
            /// Has not responded recently.
            Suspect = "suspect",
            /// Completes its current requests and accepts no new callers.
            Leaving = "leaving",
            /// Terminated.
            Gone = "gone",
        }
    }

    labels! {
        /// Events of an entry VM.
        Event {
            /// It responded to a probe.
            Answered = "answered",
            /// It announced its shutdown.
            Leave = "leave",
            /// It has been silent or unlisted for too long.
            Expired = "expired",
            /// It did not respond to probes.
            Silent = "silent",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}

/// The chart of a workspace key.
pub mod key {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/key.scxml");

    labels! {
        /// States of a workspace key.
        State {
            /// The key is valid.
            Given = "given",
            /// The key is permanently invalid.
            Withdrawn = "withdrawn",
        }
    }

    labels! {
        /// Events of a workspace key.
        Event {
            /// An operator withdrew it.
            Withdraw = "withdraw",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}

/// The chart of an operation that runs at most once.
pub mod operation {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/operation.scxml");

    labels! {
        /// States of an operation.
        State {
            /// Not claimed.
            New = "new",
            /// Claimed by one VM, which alone may run it.
            Claimed = "claimed",
            /// Part of the request may have been sent.
            Running = "running",
            /// It certainly did not run.
            NotRun = "not-run",
            /// A backend server responded.
            Done = "done",
            /// It may have run and must not be retried.
            Unknown = "unknown",
            /// Its record was deleted.
            Expired = "expired",
        }
    }

    labels! {
        /// Events of an operation.
        Event {
            /// A VM claimed it.
            Claimed = "claimed",
            /// It was refused before anything was sent.
            Refused = "refused",
            /// Its first byte may have been sent.
            Sent = "sent",
            /// No response was received, or its VM terminated.
            Lost = "lost",
            /// A backend server responded.
            Answered = "answered",
            /// A backend server reported that it did not run the operation.
            Shed = "shed",
            /// Its retention time has passed.
            Expired = "expired",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}

/// The chart of the rollout of a configuration text revision to the fleet.
pub mod rollout {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/rollout.scxml");

    labels! {
        /// States of a configuration text revision.
        State {
            /// The write is in progress.
            Written = "written",
            /// The result of the write is unknown.
            Unsettled = "unsettled",
            /// The platform has stored it; some VMs have not received it.
            Spreading = "spreading",
            /// Every reachable VM has received it.
            InForce = "in-force",
            /// Another revision was written first.
            Refused = "refused",
            /// A later revision exists.
            Replaced = "replaced",
        }
    }

    labels! {
        /// Events of a configuration text revision.
        Event {
            /// The platform accepted the write.
            Accepted = "accepted",
            /// The revision it was based on is no longer current.
            Conflict = "conflict",
            /// The response to the write was lost.
            Unanswered = "unanswered",
            /// Every reachable VM reported it.
            Everywhere = "everywhere",
            /// A later revision was accepted.
            Superseded = "superseded",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}

/// The chart of a shift of traffic between zones.
pub mod shift {
    use super::{Chart, ChartError, labels};

    const SOURCE: &str = include_str!("../../../charts/shift.scxml");

    labels! {
        /// States of a shift of traffic.
        State {
            /// Requested; no traffic has been moved.
            Planned = "planned",
            /// Traffic is being moved within the cap.
            Moving = "moving",
            /// The cap of the current window is exhausted.
            Waiting = "waiting",
            /// Observations are too old to continue.
            Frozen = "frozen",
            /// Complete or cancelled.
            Ended = "ended",
        }
    }

    labels! {
        /// Events of a shift of traffic.
        Event {
            /// Capacity within the cap was granted.
            Granted = "granted",
            /// It was cancelled.
            Cancelled = "cancelled",
            /// The cap of the window is exhausted.
            Capped = "capped",
            /// Observations are late or missing.
            Stale = "stale",
            /// All of the traffic has been moved.
            Complete = "complete",
        }
    }

    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the file does not match the code.
    pub fn load() -> Result<Chart<State, Event>, ChartError> {
        Chart::new(SOURCE)
    }
}
