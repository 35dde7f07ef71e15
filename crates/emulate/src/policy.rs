//! Ways of choosing a server: the product's, and two simple ones to compare it with.

use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;
use steer::load::Load;
use steer::placement::{Candidate, Distance, Strategy, choose};
use steer::spill::Spill;

/// A way of choosing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// The product's.
    Product,
    /// The product's for routes that do not warm.
    Near,
    /// The server with the least load.
    LeastLoad,
    /// The servers of the nearest zone in turn.
    NearestInTurn,
}

/// What an entry VM knows of a server.
#[derive(Debug)]
pub struct View {
    /// Index of the server within its service.
    pub server: usize,
    /// Hash of its name.
    pub hash: u64,
    /// Distance.
    pub distance: Distance,
    /// Slots.
    pub slots: f64,
    /// Load.
    pub load: Load,
    /// Until when it counts as lost.
    pub lost_until: Option<Instant>,
}

/// A request that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Hash of its object.
    pub object: u64,
    /// Whether servers are faster with objects that they handled lately.
    pub warms: bool,
    /// Entry VMs that use a server.
    pub users: f64,
    /// Number of the request at its entry VM.
    pub turn: usize,
}

impl Policy {
    /// Returns the index within `views` of the server for a request.
    pub fn choose(
        self,
        views: &[View],
        demand: Demand,
        spill: Spill,
        rng: &mut StdRng,
        now: Instant,
    ) -> Option<usize> {
        let usable: Vec<usize> = (0..views.len())
            .filter(|index| views[*index].lost_until.is_none_or(|until| now >= until))
            .collect();
        let candidate = |index: &usize| Candidate {
            server: views[*index].hash,
            distance: views[*index].distance,
            load: views[*index].load.estimate(|| demand.users, now),
            slots: views[*index].slots,
        };
        let candidates: Vec<Candidate> = usable.iter().map(candidate).collect();
        let object = demand.object;
        let chosen = match self {
            Self::Product if demand.warms => choose(&candidates, Strategy::Affinity { object }),
            Self::Product | Self::Near => {
                let draw = rng.random();
                choose(
                    &candidates,
                    Strategy::Proximity {
                        sample: draw,
                        spill,
                    },
                )
            }
            Self::LeastLoad => least(&candidates),
            Self::NearestInTurn => in_turn(&candidates, demand.turn),
        };
        chosen.map(|chosen| usable[chosen])
    }
}

fn least(candidates: &[Candidate]) -> Option<usize> {
    let busy = |index: &usize| candidates[*index].load / candidates[*index].slots;
    (0..candidates.len()).min_by(|a, b| busy(a).total_cmp(&busy(b)))
}

fn in_turn(candidates: &[Candidate], turn: usize) -> Option<usize> {
    let nearest = candidates
        .iter()
        .map(|candidate| candidate.distance)
        .min()?;
    let near: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].distance == nearest)
        .collect();
    near.get(turn % near.len()).copied()
}
