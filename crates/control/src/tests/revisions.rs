//! Tests of patches between revisions.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::update::Update;
use wire::view::Config;

use crate::revisions::Revisions;

/// Limit on the size of an update for a one-line change of a large text.
const SMALL_BYTES: usize = 400;

fn config(revision: u64, lines: &[u8]) -> Config {
    let text = lines.iter().map(|line| format!("slots = {line}\n"));
    Config {
        revision,
        text: text.collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn receiver_ends_with_text_of_sender(
        texts in proptest::collection::vec(proptest::collection::vec(0..4_u8, 0..12), 1..14),
        is_updated in proptest::collection::vec(any::<bool>(), 14),
    ) {
        let mut sender = Revisions::new();
        let mut receiver = Revisions::new();
        for (index, lines) in texts.iter().enumerate() {
            sender.advance(config(index as u64 + 1, lines));
            if is_updated[index] {
                let update = sender.update_for(receiver.current().revision, false);
                let update = update.expect("receiver is behind");
                let restored = receiver.restore(&update);
                receiver.advance(restored.expect("update applies"));
                prop_assert_eq!(receiver.current(), sender.current());
            }
        }
        let behind = sender.update_for(sender.current().revision, false);
        prop_assert_eq!(behind, None);
    }
}

#[test]
fn small_change_results_in_small_patch() {
    let mut sender = Revisions::new();
    let mut lines = vec![1; 10_000];
    sender.advance(config(1, &lines));
    lines[5_000] = 2;
    sender.advance(config(2, &lines));
    let update = sender.update_for(1, false).expect("an update");
    let sent = postcard::to_stdvec(&update)
        .expect("update is encodable")
        .len();
    assert!(sent < SMALL_BYTES, "{sent} bytes");
}

#[test]
fn rejects_patch_of_different_text() {
    let mut sender = Revisions::new();
    sender.advance(config(1, &[1, 2, 3, 4, 5, 6, 7, 8]));
    sender.advance(config(2, &[1, 2, 3, 9, 5, 6, 7, 8]));
    let update = sender.update_for(1, false).expect("an update");
    assert_matches!(update, Update::Patch(_));
    let mut other = Revisions::new();
    other.advance(config(1, &[1, 2, 3, 4, 5, 6, 7, 0]));
    assert_eq!(other.restore(&update), None);
    assert!(other.needs_full_text());
    let full_text = sender.update_for(1, true).expect("an update");
    assert_eq!(other.restore(&full_text).as_ref(), Some(sender.current()));
}
