//! Tests of key records.

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
    fn merge_ignores_order_and_never_revives(
        facts in proptest::collection::vec((0u8..6, any::<bool>()), 0..24)
    ) {
        let mut forward = KeySet::new();
        let mut backward = KeySet::new();
        for (number, withdrawn) in &facts {
            forward.merge(&Keyring { records: vec![record(*number, *withdrawn)] });
        }
        for (number, withdrawn) in facts.iter().rev() {
            backward.merge(&Keyring { records: vec![record(*number, *withdrawn)] });
        }
        prop_assert_eq!(forward.digest(), backward.digest());
        for (number, withdrawn) in facts {
            if withdrawn {
                prop_assert_eq!(forward.check(&[number; 32]), Verdict::Withdrawn);
            }
        }
    }
}

#[test]
fn a_key_is_recognized_wherever_it_stands() {
    let token = Token::new(&[0xab; 32]);
    let key = token.reveal();
    let inside = format!("a={key}&b");
    for shown in [key, &inside, &key.to_uppercase()] {
        assert!(Token::is_contained_in(shown.as_bytes()), "{shown}");
    }
    let cut = &key[..key.len() - 1];
    let broken = key.replacen("ab", "xy", 1);
    for hidden in ["", "td_", cut, &broken, &key[1..]] {
        assert!(!Token::is_contained_in(hidden.as_bytes()), "{hidden}");
    }
}
