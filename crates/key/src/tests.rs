//! Tests of key sets and keys.

use proptest::prelude::*;
use wire::keyring::{Keyring, Record};

use crate::{KeySet, Token, Verdict};

fn record(number: u8, withdrawn: bool) -> Record {
    Record {
        id: format!("k{number}"),
        workspace: "w".into(),
        hash: [number; 32],
        withdrawn,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_order_independent_and_keeps_withdrawals(
        merged in proptest::collection::vec((0u8..6, any::<bool>()), 0..24)
    ) {
        let mut forward = KeySet::new();
        let mut backward = KeySet::new();
        for (number, withdrawn) in &merged {
            forward.merge(&Keyring { records: vec![record(*number, *withdrawn)] });
        }
        for (number, withdrawn) in merged.iter().rev() {
            backward.merge(&Keyring { records: vec![record(*number, *withdrawn)] });
        }
        prop_assert_eq!(forward.digest(), backward.digest());
        for (number, withdrawn) in merged {
            if withdrawn {
                prop_assert_eq!(forward.check(&[number; 32]), Verdict::Withdrawn);
            }
        }
    }
}

#[test]
fn key_is_recognized_at_any_position_in_text() {
    let token = Token::new(&[0xab; 32]);
    let key = token.reveal();
    let embedded = format!("a={key}&b");
    for with_key in [key, &embedded, &key.to_uppercase()] {
        assert!(Token::is_contained_in(with_key.as_bytes()), "{with_key}");
    }
    let truncated = &key[..key.len() - 1];
    let corrupted = key.replacen("ab", "xy", 1);
    for without_key in ["", "td_", truncated, &corrupted, &key[1..]] {
        assert!(
            !Token::is_contained_in(without_key.as_bytes()),
            "{without_key}"
        );
    }
}
