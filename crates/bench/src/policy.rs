//! The compared policies.

use std::fmt;

/// How a gate chooses a zone and a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The crates `plan`, `pick` and `retry`.
    Teaseldoor,
    /// Round robin over the healthy servers of the nearest zone that has any.
    NearestRoundRobin,
    /// The server with the lowest reported load; ties are broken at random.
    LeastReported,
    /// Fixed weights: most requests stay in their zone, the rest go to other zones.
    StaticWeights,
    /// Like [`Policy::NearestRoundRobin`], without rate limits on workspaces.
    NearestUnlimited,
}

impl Policy {
    /// All policies in the order of the table.
    pub const ALL: [Self; 5] = [
        Self::Teaseldoor,
        Self::NearestRoundRobin,
        Self::LeastReported,
        Self::StaticWeights,
        Self::NearestUnlimited,
    ];

    /// Returns whether requests over a workspace's rate limit are refused.
    pub fn is_limited(self) -> bool {
        self != Self::NearestUnlimited
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Teaseldoor => "teaseldoor",
            Self::NearestRoundRobin => "nearest, round robin",
            Self::LeastReported => "least reported load",
            Self::StaticWeights => "static weights",
            Self::NearestUnlimited => "nearest, no limits",
        })
    }
}
