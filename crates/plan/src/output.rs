//! Plans: the routes of all traffic.

use std::collections::BTreeMap;

use chart::shift::State;
use timer::Moment;

/// Routes of all services. The default routes no traffic.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Time at which the plan was made.
    pub at: Moment,
    /// Placement of each service.
    pub services: BTreeMap<String, Placement>,
    /// Shifts that still count against the cap.
    pub moves: Vec<Move>,
    /// Progress of each service's shift; services without a shift are absent.
    pub shifts: BTreeMap<String, Progress>,
}

/// Routes of one service's traffic by the zone in which it enters.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Placement {
    /// Route of each source zone.
    pub sources: BTreeMap<String, Route>,
}

/// Distribution of one service's traffic from one source zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Requests per second that the plan assumes.
    pub per_s: f64,
    /// Share of the traffic by destination zone. The sum is at most one; the rest is refused without
    /// being run.
    pub shares: BTreeMap<String, f64>,
}

impl Route {
    /// Returns the share of the traffic that is refused.
    #[must_use]
    pub fn refused(&self) -> f64 {
        (1.0 - self.shares.values().sum::<f64>()).max(0.0)
    }
}

/// A shift that counts against the cap.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Service.
    pub service: String,
    /// Share of the service's fleet-wide traffic, in percent.
    pub percent: f64,
    /// Time from which the shift no longer counts.
    pub expiry: Moment,
}

/// Progress of a service's shift.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// State in the state chart of a shift.
    pub state: State,
    /// Remaining traffic to move, in percent of the service's fleet-wide traffic.
    pub remaining_percent: f64,
    /// Estimated time until all traffic has moved, in seconds.
    pub remaining_s: f64,
}
