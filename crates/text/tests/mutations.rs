//! Parsing any edited text returns a model, or problems whose positions are inside the text.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use text::parse;

const BASE: &str = include_str!("base.toml");

const CASES: u32 = 2_000;
const SEED: u64 = 20_261_203;

/// An edit of the source at a position, given as a share of its length.
#[derive(Debug, Clone)]
enum Edit {
    Delete { at: f64, length: usize },
    Insert { at: f64, piece: String },
    DeleteLine { at: f64 },
    DuplicateLine { at: f64 },
    ReplaceValue { at: f64, value: &'static str },
}

fn edit() -> impl Strategy<Value = Edit> {
    let values = prop::sample::select(vec![
        "0",
        "-1",
        "1e400",
        "nan",
        "true",
        "\"\"",
        "[]",
        "{}",
        "[[]]",
        "\"ä\"",
        "99999999999999999999",
        "1979-05-27",
        "\"north\"",
        "[\"front\"]",
        "{ a = 1 }",
    ]);
    prop_oneof![
        (0.0..1.0, 1..20_usize).prop_map(|(at, length)| Edit::Delete { at, length }),
        (0.0..1.0, "\\PC{1,8}").prop_map(|(at, piece)| Edit::Insert { at, piece }),
        (0.0..1.0, "[\\[\\]{}=\"'.,#\r\n\t\0-]{1,4}")
            .prop_map(|(at, piece)| Edit::Insert { at, piece }),
        (0.0..1.0).prop_map(|at| Edit::DeleteLine { at }),
        (0.0..1.0).prop_map(|at| Edit::DuplicateLine { at }),
        (0.0..1.0, values).prop_map(|(at, value)| Edit::ReplaceValue { at, value }),
    ]
}

fn apply(source: &str, edit: &Edit) -> String {
    match edit {
        Edit::Delete { at, length } => {
            let start = offset_at(source, *at);
            let end = source.ceil_char_boundary((start + length).min(source.len()));
            format!("{}{}", &source[..start], &source[end..])
        }
        Edit::Insert { at, piece } => {
            let start = offset_at(source, *at);
            format!("{}{piece}{}", &source[..start], &source[start..])
        }
        Edit::DeleteLine { at } => edit_line(source, *at, |_| String::new()),
        Edit::DuplicateLine { at } => edit_line(source, *at, |line| format!("{line}\n{line}\n")),
        Edit::ReplaceValue { at, value } => edit_line(source, *at, |line| {
            let (name, _) = line.split_once('=').unwrap_or((line, ""));
            format!("{name}= {value}\n")
        }),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn offset_at(source: &str, share: f64) -> usize {
    source.floor_char_boundary((source.len() as f64 * share) as usize)
}

fn edit_line(source: &str, share: f64, change: impl Fn(&str) -> String) -> String {
    let edited = source[..offset_at(source, share)].matches('\n').count();
    let lines = source.split('\n').enumerate();
    lines
        .map(|(index, line)| {
            if index == edited {
                change(line)
            } else {
                format!("{line}\n")
            }
        })
        .collect()
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn mutated_text_parses_or_has_problems_inside_it(edits in vec(edit(), 1..4)) {
        let source = edits.iter().fold(BASE.to_owned(), |source, edit| apply(&source, edit));
        let Err(problems) = parse(&source) else {
            return Ok(());
        };
        prop_assert!(!problems.is_empty());
        for problem in &problems {
            prop_assert!(problem.line >= 1 && problem.column >= 1, "{}", problem);
            let line = source.split('\n').nth(problem.line - 1);
            prop_assert!(line.is_some(), "{} is past the last line", problem);
            let length = line.unwrap_or_default().chars().count();
            prop_assert!(problem.column <= length + 1, "{} is past its line", problem);
        }
    }
}
