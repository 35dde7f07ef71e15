//! Input of a plan.

use text::Text;
use timer::Moment;

use crate::{Move, Plan};

/// Everything on which a plan depends.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// The operators' configuration text in force.
    pub text: &'a Text,
    /// Traffic by service and source zone; several entries of one source zone are summed.
    pub demand: &'a [Demand],
    /// Observations of services in zones. A missing service and zone was not observed.
    pub observations: &'a [Observation],
    /// Capacity that destination zones granted. A missing service and zone was granted none.
    pub grants: &'a [Grant],
    /// Pairs of zones that cannot reach each other.
    pub partitions: &'a [Partition],
    /// Shifts by lookups that still count against the cap: lookups whose answers are still cached,
    /// or whose window has not ended since.
    pub pending: &'a [Move],
    /// Share of the cap on shifts that was granted to this planner, from zero to one.
    pub shift_share: f64,
    /// The plan in force, which a restarted planner gets from its gates; `None` only before any
    /// traffic was steered.
    pub previous: Option<&'a Plan>,
    /// Current time.
    pub now: Moment,
}

/// Traffic of one service that enters in one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Service.
    pub service: String,
    /// Zone in which the traffic enters.
    pub zone: String,
    /// Requests per second.
    pub per_s: f64,
    /// Size of a request, in bytes.
    pub request_bytes: f64,
    /// Size of a response, in bytes.
    pub response_bytes: f64,
    /// Time of the measurement.
    pub at: Moment,
}

/// Observed state of a service in a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Slots that the backend servers report as usable.
    pub slots: u32,
    /// Slots of the backend servers that gates reach by their own requests.
    pub reachable_slots: u32,
    /// Time for which a request holds a slot, in milliseconds, as gates measured it.
    pub service_time_ms: f64,
    /// Recent requests of gates that got a response.
    pub answered: u32,
    /// Recent requests of gates that failed.
    pub failed: u32,
    /// Time of the measurement.
    pub at: Moment,
}

/// Capacity of a service that a zone granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Service.
    pub service: String,
    /// Zone that granted the capacity.
    pub zone: String,
    /// Granted slots.
    pub slots: f64,
}

/// Two zones that cannot reach each other, in either direction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partition {
    /// One zone.
    pub from: String,
    /// The other zone.
    pub to: String,
}
