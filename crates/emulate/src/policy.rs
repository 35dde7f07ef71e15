//! Placement policies: the policy of the product, and two simple ones as baselines.

use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;
use steer::load::Load;
use steer::placement::{Candidate, Distance, MAX_QUEUE, Reach, Strategy, choose};
use steer::spill::Spill;

/// A placement policy: how an entry VM selects the server for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// Policy of the product: affinity for routes with warm objects, otherwise proximity
    Product,
    /// Proximity policy of the product, for all routes
    Near,
    /// Server with the lowest utilization
    LeastLoad,
    /// Round robin over the servers of the nearest zone
    NearestInTurn,
}

/// State of a server as an entry VM sees it.
#[derive(Debug)]
pub struct View {
    /// Index of the server within its service.
    pub server: usize,
    /// Hash of the server name.
    pub hash: u64,
    /// Distance from the entry VM.
    pub distance: Distance,
    /// Requests that the server runs at once.
    pub slots: f64,
    /// Load estimate.
    pub load: Load,
    /// Moment up to which the server counts as unreachable and gets no requests.
    pub unreachable_until: Option<Instant>,
}

/// One attempt to place a request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Hash of the request's object.
    pub object: u64,
    /// Whether servers handle recently used objects faster.
    pub has_affinity: bool,
    /// Whether the object stays in the region of its callers.
    pub is_regional: bool,
    /// Number of entry VMs that send requests to the same servers.
    pub users: f64,
    /// Sequence number of the attempt at its entry VM.
    pub sequence: usize,
}

impl Policy {
    /// Returns the index in `views` of the server for an attempt, or `None` if no server is
    /// reachable.
    pub fn choose(
        self,
        views: &[View],
        attempt: Attempt,
        spill: Spill,
        rng: &mut StdRng,
        now: Instant,
    ) -> Option<usize> {
        let usable: Vec<usize> = (0..views.len())
            .filter(|index| {
                views[*index]
                    .unreachable_until
                    .is_none_or(|until| now >= until)
            })
            .collect();
        let candidate = |index: &usize| Candidate {
            server: views[*index].hash,
            distance: views[*index].distance,
            load: views[*index].load.estimate(|| attempt.users, now),
            slots: views[*index].slots,
            weight: views[*index].slots,
            is_cold: false,
            slowdown: 1.0,
            max_queue: MAX_QUEUE,
        };
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        let object = attempt.object;
        let chosen = match self {
            Self::Product if attempt.has_affinity => {
                let reach = if attempt.is_regional {
                    Reach::Region(spill.region)
                } else {
                    Reach::Fleet
                };
                choose(&candidates, Strategy::Affinity { object, reach })
            }
            Self::Product | Self::Near => {
                let random = rng.random();
                choose(
                    &candidates,
                    Strategy::Proximity {
                        sample: random,
                        spill,
                    },
                )
            }
            Self::LeastLoad => least_loaded(&candidates),
            Self::NearestInTurn => nearest_in_turn(&candidates, attempt.sequence),
        };
        chosen.map(|chosen| usable[chosen])
    }
}

fn least_loaded(candidates: &[Candidate]) -> Option<usize> {
    let utilization = |index: &usize| candidates[*index].load / candidates[*index].slots;
    (0..candidates.len()).min_by(|a, b| utilization(a).total_cmp(&utilization(b)))
}

fn nearest_in_turn(candidates: &[Candidate], sequence: usize) -> Option<usize> {
    let nearest = candidates
        .iter()
        .map(|candidate| candidate.distance)
        .min()?;
    let in_nearest_zone: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].distance == nearest)
        .collect();
    in_nearest_zone
        .get(sequence % in_nearest_zone.len())
        .copied()
}
