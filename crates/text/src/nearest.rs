//! Suggestions for misspelled names.

/// Returns a hint that suggests the candidate most similar to `name`, or lists the candidates if
/// none is similar enough.
pub(crate) fn hint<'c>(name: &str, candidates: impl Iterator<Item = &'c str>) -> String {
    let candidates: Vec<&str> = candidates.filter(|name| !name.is_empty()).collect();
    let nearest = candidates
        .iter()
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), *candidate))
        .min();
    match nearest {
        Some((distance, candidate)) if distance <= max_distance(name) => {
            format!("did you mean \"{candidate}\"?")
        }
        Some(_) => list(&candidates),
        None => "none is declared".into(),
    }
}

/// Returns the maximum edit distance at which `name` counts as a misspelling of a candidate.
fn max_distance(name: &str) -> usize {
    (name.chars().count() / 3).max(1)
}

fn list(candidates: &[&str]) -> String {
    const MAX_LISTED: usize = 12;
    let shown = candidates[..candidates.len().min(MAX_LISTED)].join(", ");
    if candidates.len() > MAX_LISTED {
        format!("one of {shown}, ...")
    } else {
        format!("one of {shown}")
    }
}
