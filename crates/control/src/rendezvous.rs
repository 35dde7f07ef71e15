//! Rendezvous hashing: an order of names that is the same at all daemons and changes little when a
//! name is added or removed.

/// Returns `names` sorted by their weights for `topic`, highest first.
#[must_use]
pub fn order<'a>(topic: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = names
        .into_iter()
        .map(|name| (weight(topic, name), name))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name).collect()
}

fn weight(topic: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(topic.len() as u64).to_le_bytes());
    hasher.update(topic.as_bytes());
    hasher.update(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
