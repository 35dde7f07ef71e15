//! Changes to a running backend server.

use serde::{Deserialize, Serialize};

use super::health::Health;

/// Settings to change; absent ones stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Whether the backend server drains.
    pub draining: Option<bool>,
    /// Whether the backend server refuses all new requests.
    pub shedding: Option<bool>,
    /// Time that a request runs when warm, in milliseconds.
    pub service_time_ms: Option<u64>,
    /// Age of the health endpoint's answers, in milliseconds.
    pub health_lag_ms: Option<u64>,
    /// What the health endpoint answers whatever the truth is.
    pub false_health: Option<Health>,
}
