//! Which versions of large values are fetched, and what of them.

use bytes::Bytes;
use proptest::prelude::*;

use super::{Deferred, Id, Manifest, Values};

const KEY: &str = "config";

/// Returns `bytes` bytes without a pattern.
fn text(seed: u64, bytes: usize) -> Vec<u8> {
    let mut state = seed;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state.to_be_bytes()[0]
    };
    (0..bytes).map(|_| next()).collect()
}

fn deferred(revision: u64, value: &Bytes) -> Deferred {
    Deferred {
        key: KEY.to_owned(),
        revision,
        manifest: Manifest::of(value),
    }
}

/// Receives `most` of the missing parts from a VM that has `sources`; returns their number.
fn fetch(values: &mut Values, source: &mut Values, most: usize) -> usize {
    let missing = values.missing();
    for part in missing.iter().take(most) {
        source.note_requested(part.id);
    }
    let parts = missing
        .iter()
        .filter_map(|part| source.part(part.id).cloned());
    let parts: Vec<Bytes> = parts.take(most).collect();
    parts
        .into_iter()
        .filter(|part| values.receive(part.clone()))
        .count()
}

#[test]
fn change_of_a_few_bytes_needs_few_parts() {
    let mut content = text(1, 1_000_000);
    let first = Bytes::from(content.clone());
    content.splice(500_000..500_000, *b"more");
    let second = Bytes::from(content);
    let mut values = Values::default();
    values.keep(&first);
    values.offer(deferred(2, &second));
    let missing: u32 = values.missing().iter().map(|part| part.bytes).sum();
    assert!(missing < 64 << 10, "{missing}");
}

/// Guards against versions that keep each other from arriving.
#[test]
fn versions_that_follow_each_other_faster_than_they_arrive_are_completed() {
    let mut source = Values::default();
    let mut values = Values::default();
    let mut taken = Vec::new();
    for revision in 1..=20 {
        let value = Bytes::from(text(revision, 200_000));
        source.keep(&value);
        values.offer(deferred(revision, &value));
        fetch(&mut values, &mut source, 10);
        if let Some((done, content)) = values.complete() {
            assert!(values.finish(&done));
            values.keep(&content);
            taken.push(done.revision);
        }
        // What the source no longer has is given up.
        if fetch(&mut values, &mut source, 0) == 0
            && values
                .missing()
                .iter()
                .all(|part| source.part(part.id).is_none())
        {
            values.skip();
        }
    }
    assert!(taken.len() >= 4, "{taken:?}");
    assert!(taken.is_sorted());
}

/// Guards against a slow link, over which no version arrives before the VM that has it drops its parts.
#[test]
fn version_that_is_being_fetched_is_kept_while_many_follow() {
    let mut source = Values::default();
    let mut values = Values::default();
    let mut taken = 0;
    for revision in 1..=40 {
        let value = Bytes::from(text(revision, 200_000));
        source.keep(&value);
        values.offer(deferred(revision, &value));
        if fetch(&mut values, &mut source, 2) == 0 {
            values.skip();
        }
        if let Some((done, _)) = values.complete() {
            assert!(values.finish(&done));
            taken += 1;
        }
    }
    assert!(taken >= 2, "{taken}");
}

/// Guards against a version that is never fetched, since an earlier one arrived whole after it became known.
#[test]
fn later_version_is_lost_when_an_earlier_one_arrives() {
    let earlier = Bytes::from(text(1, 200_000));
    let later = Bytes::from(text(2, 150_000));
    let mut source = Values::default();
    source.keep(&later);
    let mut values = Values::default();
    values.offer(deferred(1, &earlier));
    values.offer(deferred(2, &later));
    values.keep(&earlier);
    values.offer(deferred(1, &earlier));
    let mut taken = Vec::new();
    while values.is_fetching() {
        fetch(&mut values, &mut source, 5);
        if let Some((done, _)) = values.complete() {
            assert!(values.finish(&done));
            taken.push(done.revision);
        }
    }
    assert_eq!(taken.last(), Some(&2));
}

#[test]
fn parts_that_were_given_least_often_are_given_first() {
    let value = Bytes::from(text(1, 100_000));
    let mut follower = Values::default();
    follower.offer(deferred(1, &value));
    let ids: Vec<Id> = follower.missing().iter().map(|part| part.id).collect();
    let mut values = Values::default();
    assert!(!values.has_any(&ids));
    assert!(values.give(&ids, 1).is_empty());
    values.keep(&value);
    for _ in &ids {
        let given = values.give(&ids, 1);
        assert_eq!(given.len(), 1);
        assert!(follower.receive(given[0].clone()));
    }
    assert!(follower.has_complete());
}

#[test]
fn part_of_another_value_is_not_kept() {
    let mut values = Values::default();
    values.offer(deferred(1, &Bytes::from(text(1, 50_000))));
    assert!(!values.receive(Bytes::from(text(2, 5_000))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever versions are offered and whichever parts arrive, also if an earlier version arrives whole, what is
    /// taken is whole, and the last version is taken in the end.
    #[test]
    fn taken_values_are_whole(
        steps in prop::collection::vec((0_u64..6, 0_usize..40, 1_usize..30, 0_usize..12), 1..12),
    ) {
        let mut source = Values::default();
        let mut values = Values::default();
        let mut versions: Vec<Bytes> = Vec::new();
        for (revision, (seed, cut, most, whole)) in steps.iter().enumerate() {
            let mut content = text(*seed, 60_000);
            content.truncate(60_000 - cut * 500);
            let value = Bytes::from(content);
            source.keep(&value);
            versions.push(value.clone());
            values.offer(deferred(revision as u64, &value));
            fetch(&mut values, &mut source, *most);
            if *whole < revision && values.is_pending(KEY) {
                values.keep(&versions[*whole]);
                values.offer(deferred(*whole as u64, &versions[*whole]));
            }
            if let Some((done, content)) = values.complete() {
                let version = usize::try_from(done.revision).expect("few versions");
                prop_assert_eq!(&content, &versions[version]);
                values.finish(&done);
                values.keep(&content);
            }
        }
        let mut last = None;
        for _ in 0..400 {
            if let Some((done, content)) = values.complete() {
                values.finish(&done);
                values.keep(&content);
                last = Some(done.revision);
            } else if fetch(&mut values, &mut source, 5) == 0 {
                values.skip();
            }
        }
        prop_assert!(!values.is_fetching());
        prop_assert!(last.is_none_or(|last| last == steps.len() as u64 - 1));
    }
}
