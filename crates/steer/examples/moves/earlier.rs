//! The choice of an object's server before the order was weighted by size.

use steer::placement::{Candidate, Distance, Reach, unit_hash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the home of an object, as long as it has capacity.
pub fn choose_by_affinity(candidates: &[Candidate], object: u64, reach: Reach) -> Option<usize> {
    let is_far = |candidate: &Candidate| candidate.distance == Distance::Far;
    let home = match reach {
        Reach::Fleet => None,
        Reach::Region(spill) => {
            let is_away = unit_hash(object) < spill;
            first_of(candidates, object, |candidate| is_far(candidate) == is_away)
        }
    };
    home.or_else(|| first_of(candidates, object, |_| true))
}

fn first_of(
    candidates: &[Candidate],
    object: u64,
    filter: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let matching = candidates.iter().enumerate();
    let matching = matching.filter(|(_, candidate)| filter(candidate));
    let score = |candidate: &Candidate| xxh3_64_with_seed(&object.to_le_bytes(), candidate.server);
    matching
        .max_by_key(|(_, candidate)| score(candidate))
        .map(|(index, _)| index)
}
