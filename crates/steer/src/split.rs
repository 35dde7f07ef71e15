//! Weighted split of a route's requests among services.
//!
//! Load pattern: a few callers request a few objects. A choice by object alone keeps each object at
//! one service, but with few objects the split can be far from the weights. The object therefore
//! decides only while each service's recent share is close to its weight.

use fleet::Target;

use crate::placement::unit_hash;

/// Maximum excess of a service's share over its weight.
const MAX_EXCESS: f64 = 0.02;

/// Number of requests above which the counts are halved, so that shares follow recent requests.
const MAX_COUNT: f64 = 200.0;

/// Request counts of one route by service.
///
/// Counts say how far shares are from the weights only if the requests were split by these weights. So they
/// start anew when a configuration changes the weights, rather than make up for requests that kept to others.
#[derive(Debug, Default)]
pub struct Split {
    /// Targets by whose weights the counted requests were split.
    targets: Vec<Target>,
    /// Requests by index of the target.
    counts: Vec<f64>,
}

impl Split {
    /// Returns the index of the target for a request for `object`, and counts the request.
    pub fn choose(&mut self, targets: &[Target], object: u64) -> usize {
        if targets.len() < 2 {
            return 0;
        }
        if self.targets != targets {
            self.targets = targets.to_vec();
            self.counts = vec![0.0; targets.len()];
        }
        let by_object = by_weight(targets, object);
        let chosen = self.corrected(targets, by_object);
        self.note(chosen);
        chosen
    }

    /// Returns `preferred`, or the target that is furthest below its weight if `preferred` is above its
    /// weight.
    fn corrected(&self, targets: &[Target], preferred: usize) -> usize {
        let total: f64 = self.counts.iter().sum::<f64>() + 1.0;
        let weights: f64 = targets.iter().map(|target| target.weight).sum();
        let excess = |index: usize| self.counts[index] / total - targets[index].weight / weights;
        if excess(preferred) < MAX_EXCESS {
            return preferred;
        }
        let indices = 0..targets.len();
        let furthest_below = indices.min_by(|a, b| excess(*a).total_cmp(&excess(*b)));
        furthest_below.unwrap_or(preferred)
    }

    fn note(&mut self, chosen: usize) {
        self.counts[chosen] += 1.0;
        if self.counts.iter().sum::<f64>() > MAX_COUNT {
            for count in &mut self.counts {
                *count /= 2.0;
            }
        }
    }
}

/// Returns the index of the target for `object`, in proportion to the weights.
fn by_weight(targets: &[Target], object: u64) -> usize {
    let weights: f64 = targets.iter().map(|target| target.weight).sum();
    let mut remaining = unit_hash(object) * weights;
    for (index, target) in targets.iter().enumerate() {
        remaining -= target.weight;
        if remaining < 0.0 {
            return index;
        }
    }
    targets.len() - 1
}
