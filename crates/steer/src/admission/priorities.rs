//! Queue allowance by priority.

use std::collections::{BTreeSet, HashMap};

use fleet::Config;

use crate::placement::MAX_QUEUE;
use crate::to_f64;

/// Waiting requests per slot that each priority leaves to the more urgent ones. A full server frees a place
/// with each response, so a few are enough, and more would stay empty while less urgent requests are refused.
const RESERVED: f64 = 0.25;

/// The different priorities of the requests for a service, the most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Priorities(Vec<u32>);

impl Priorities {
    /// Creates the set of `priorities`.
    #[must_use]
    pub fn new(priorities: impl IntoIterator<Item = u32>) -> Self {
        let distinct: BTreeSet<u32> = priorities.into_iter().collect();
        Self(distinct.into_iter().collect())
    }

    /// Returns the queue allowance of `priority`, in waiting requests per slot: [`MAX_QUEUE`] for the most
    /// urgent one, and less by [`RESERVED`] for each more urgent one, or by equal steps if there are more
    /// than these steps are enough for. A priority that is not in the set, of a request that began under an
    /// earlier configuration, counts as the next less urgent one, or as the least urgent one.
    #[must_use]
    pub fn allowance(&self, priority: u32) -> f64 {
        let count = self.0.len().max(1);
        let rank = self.0.partition_point(|other| *other < priority);
        let step = RESERVED.min(MAX_QUEUE / to_f64(count));
        MAX_QUEUE - step * to_f64(rank.min(count - 1))
    }
}

/// Returns the priorities of the requests that `config` permits, by service.
pub fn by_service(config: &Config) -> HashMap<String, Priorities> {
    let workspaces = config.keys.values();
    let own: BTreeSet<u32> = workspaces
        .clone()
        .filter_map(|workspace| workspace.priority)
        .collect();
    let has_others = workspaces
        .clone()
        .any(|workspace| workspace.priority.is_none());
    let mut services: HashMap<String, BTreeSet<u32>> = HashMap::new();
    for route in config.hosts.values().flatten() {
        let has_workspace = config.has_workspaces && !route.public;
        for target in route.targets.iter().filter(|target| target.weight > 0.0) {
            let priorities = services.entry(target.service.clone()).or_default();
            if has_workspace {
                priorities.extend(&own);
            }
            if !has_workspace || has_others {
                priorities.insert(route.priority);
            }
        }
    }
    services
        .into_iter()
        .map(|(service, priorities)| (service, Priorities::new(priorities)))
        .collect()
}
