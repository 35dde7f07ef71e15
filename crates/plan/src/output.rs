//! What a plan says.

use std::collections::BTreeMap;

use chart::shift::State;
use timer::Moment;

/// Where traffic goes. The default sends none anywhere.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// When it was made.
    pub at: Moment,
    /// Placement of each service.
    pub services: BTreeMap<String, Placement>,
    /// Shifts that still count against the cap.
    pub moves: Vec<Move>,
    /// Progress of each service's shift; services without one are absent.
    pub shifts: BTreeMap<String, Progress>,
}

/// Where the traffic of one service goes, by the zone in which it enters.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Placement {
    /// Route of each source zone.
    pub sources: BTreeMap<String, Route>,
}

/// Where the traffic of one service and source zone goes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Requests per second that the plan reckons with.
    pub per_s: f64,
    /// Share of the traffic by destination zone; the sum is at most one, and the rest is refused
    /// as not run.
    pub shares: BTreeMap<String, f64>,
}

impl Route {
    /// Returns the share that is refused.
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
    /// Moment from which it no longer counts.
    pub expiry: Moment,
}

/// How far a service's shift is.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// State in the chart of a shift.
    pub state: State,
    /// Traffic that has yet to move, in percent of the service's fleet-wide traffic.
    pub remaining_percent: f64,
    /// Estimated time until it has moved, in seconds.
    pub remaining_s: f64,
}
