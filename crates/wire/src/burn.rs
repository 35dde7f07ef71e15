//! Recordings of how requests fared, as they cross the wire.

use serde::{Deserialize, Serialize};

/// Counts of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that arrived with a valid key where the route needs one.
    pub arrived: u64,
    /// Requests refused because the workspace's share was used up.
    pub limited: u64,
    /// Requests that failed on the system's side.
    pub failed: u64,
    /// Answers later than the bound of the service's latency objective.
    pub late: u64,
    /// Answers later than the bound of the workspace's own latency objective.
    pub late_own: u64,
}

/// Answers with about the same latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyBucket {
    /// Latency, in microseconds.
    pub latency_us: u64,
    /// Number of answers.
    pub count: u64,
}

/// How the requests of one workspace to one service fared since the last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Service.
    pub service: String,
    /// Workspace; empty on open routes.
    pub workspace: String,
    /// Counts.
    pub tally: Tally,
    /// Latencies of answers.
    pub latencies: Vec<LatencyBucket>,
}

/// Counts within one bucket of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Unix time divided by the bucket's length.
    pub index: u64,
    /// Counts.
    pub tally: Tally,
}

/// The recording of one workspace's requests to one service by one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Service.
    pub service: String,
    /// Workspace; empty on open routes.
    pub workspace: String,
    /// Buckets of each window, shortest window first; empty buckets are absent.
    pub windows: Vec<Vec<Bucket>>,
    /// Latencies over the last hour.
    pub latencies: Vec<LatencyBucket>,
}

/// What one VM has recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// Unix time at which the recording began, in seconds.
    pub since_unix_s: u64,
    /// Unix time of the reply, in seconds.
    pub now_unix_s: u64,
    /// One series for each service and workspace.
    pub series: Vec<Series>,
}
