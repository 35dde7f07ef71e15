//! Recorded outcomes and latencies of requests, from which the burn rate of the error budget is
//! computed.

use serde::{Deserialize, Serialize};

/// Counts of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests received with a valid key, or without a key on routes that require none.
    pub arrived: u64,
    /// Requests refused because the workspace's share was exhausted.
    pub limited: u64,
    /// Requests that failed because of the system, not the caller.
    pub failed: u64,
    /// Responses slower than the limit of the service's latency objective.
    pub late: u64,
    /// Responses slower than the limit of the workspace's own latency objective.
    pub late_own: u64,
}

/// A histogram bucket: number of responses with approximately the same latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyBucket {
    /// Latency, in microseconds.
    pub latency_us: u64,
    /// Number of responses.
    pub count: u64,
}

/// Outcomes of the requests of one workspace to one service since the last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace; empty on open routes.
    pub workspace: String,
    /// Counts.
    pub tally: Tally,
    /// Latencies of the responses.
    pub latencies: Vec<LatencyBucket>,
}

/// Request counts within one time bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Unix time divided by the length of the bucket.
    pub index: u64,
    /// Counts.
    pub tally: Tally,
}

/// Recorded requests of one workspace to one service on one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the service.
    pub service: String,
    /// Name of the workspace; empty on open routes.
    pub workspace: String,
    /// Buckets of each window, shortest window first; empty buckets are omitted.
    pub windows: Vec<Vec<Bucket>>,
    /// Latencies over the last hour.
    pub latencies: Vec<LatencyBucket>,
}

/// All recorded requests of one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recording {
    /// Unix time at which the recording began, in seconds.
    pub since_unix_s: u64,
    /// Unix time of the response, in seconds.
    pub now_unix_s: u64,
    /// One series for each service and workspace.
    pub series: Vec<Series>,
}
