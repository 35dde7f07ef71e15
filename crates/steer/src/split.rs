//! Sharing a route's requests among services by weight.
//!
//! Answers few callers with few objects: choosing by the object alone keeps an object at one
//! service, but a handful of objects can miss the weights by far. The object decides as long as
//! each service's running share stays near its weight.

use fleet::Target;

use crate::placement::mix;

/// Largest distance between a service's share and its weight.
const DRIFT: f64 = 0.02;

/// Number of requests after which counts are halved, so that shares follow recent requests.
const MEMORY: f64 = 200.0;

/// Counts of one route's requests by service.
#[derive(Debug, Default)]
pub struct Split {
    counts: Vec<f64>,
}

impl Split {
    /// Returns the index of the target that takes a request for `object`, and counts it.
    pub fn choose(&mut self, targets: &[Target], object: u64) -> usize {
        if targets.len() < 2 {
            return 0;
        }
        if self.counts.len() != targets.len() {
            self.counts = vec![0.0; targets.len()];
        }
        let by_object = by_weight(targets, object);
        let chosen = self.corrected(targets, by_object);
        self.note(chosen);
        chosen
    }

    /// Returns `wanted`, or the target that is furthest below its weight if `wanted` is above.
    fn corrected(&self, targets: &[Target], wanted: usize) -> usize {
        let total: f64 = self.counts.iter().sum::<f64>() + 1.0;
        let weights: f64 = targets.iter().map(|target| target.weight).sum();
        let excess = |index: usize| self.counts[index] / total - targets[index].weight / weights;
        if excess(wanted) < DRIFT {
            return wanted;
        }
        let indices = 0..targets.len();
        let lowest = indices.min_by(|a, b| excess(*a).total_cmp(&excess(*b)));
        lowest.unwrap_or(wanted)
    }

    fn note(&mut self, chosen: usize) {
        self.counts[chosen] += 1.0;
        if self.counts.iter().sum::<f64>() > MEMORY {
            for count in &mut self.counts {
                *count /= 2.0;
            }
        }
    }
}

fn by_weight(targets: &[Target], object: u64) -> usize {
    let weights: f64 = targets.iter().map(|target| target.weight).sum();
    let mut left = mix(object) * weights;
    for (index, target) in targets.iter().enumerate() {
        left -= target.weight;
        if left < 0.0 {
            return index;
        }
    }
    targets.len() - 1
}
