//! What a plan is made from.

use text::Text;
use timer::Moment;

use crate::{Move, Plan};

/// Everything that a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// The operators' text in force.
    pub text: &'a Text,
    /// Traffic by service and source; entries of one source zone add up.
    pub demand: &'a [Demand],
    /// What was observed of services in zones. Whoever is not in it was not observed.
    pub observations: &'a [Observation],
    /// Capacity that destination zones granted. Whatever is not in it was not granted.
    pub grants: &'a [Grant],
    /// Pairs of zones without a connection.
    pub partitions: &'a [Partition],
    /// Shifts by look-ups that still count against the cap: those whose answers are still cached,
    /// or whose window has not ended since.
    pub pending: &'a [Move],
    /// Share of the cap on shifts that was granted to this decider, from zero to one.
    pub shift_share: f64,
    /// The plan in force, which a restarted decider gets from its gates; nothing only while no
    /// traffic was steered yet.
    pub previous: Option<&'a Plan>,
    /// The present.
    pub now: Moment,
}

/// Traffic of one service that enters in one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Service.
    pub service: String,
    /// Zone in which it enters.
    pub zone: String,
    /// Requests per second.
    pub per_s: f64,
    /// Bytes of a request.
    pub request_bytes: f64,
    /// Bytes of an answer.
    pub response_bytes: f64,
    /// When it was measured.
    pub at: Moment,
}

/// What was observed of a service in a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Slots that the backend servers report as usable.
    pub slots: u32,
    /// Slots of the backend servers that gates found up by their own requests.
    pub reachable_slots: u32,
    /// Time for which a request holds a slot, in milliseconds, as gates measured it.
    pub service_time_ms: f64,
    /// Requests of gates that were answered lately.
    pub answered: u32,
    /// Requests of gates that failed lately.
    pub failed: u32,
    /// When it was measured.
    pub at: Moment,
}

/// Capacity that a zone granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Service.
    pub service: String,
    /// Zone that granted it.
    pub zone: String,
    /// Slots.
    pub slots: f64,
}

/// Two zones without a connection, in either direction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partition {
    /// One zone.
    pub from: String,
    /// The other zone.
    pub to: String,
}
