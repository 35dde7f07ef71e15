//! Patches between texts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use text::patch::{Edit, apply, between};

/// Generates texts with few distinct lines, some of them without a final line end.
fn lines() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("a = 1"),
        Just("b = 2"),
        Just(""),
        Just("[x]"),
        Just("ü = 3")
    ];
    let ended = (line, prop_oneof![9 => Just("\n"), 1 => Just("\r\n")]);
    let ended = ended.prop_map(|(line, end)| format!("{line}{end}"));
    let text = proptest::collection::vec(ended, 0..30).prop_map(|lines| lines.concat());
    (text, any::<bool>()).prop_map(|(text, trimmed)| {
        if trimmed {
            text.trim_end().to_owned()
        } else {
            text
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn patch_produces_new_text(old in lines(), new in lines()) {
        prop_assert_eq!(apply(&old, &between(&old, &new)), Some(new));
    }

    #[test]
    fn patch_of_another_text_is_rejected_or_applied(
        old in lines(), new in lines(), other in lines()
    ) {
        let applied = apply(&other, &between(&old, &new));
        prop_assert!(applied.is_some() || other != old);
    }
}

#[test]
fn rejects_patch_with_wrong_line_count() {
    assert_eq!(apply("a\n", &[Edit::Keep(2)]), None);
    assert_eq!(apply("a\nb\n", &[Edit::Keep(1)]), None);
}
