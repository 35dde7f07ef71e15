//! Histories of operations that must not repeat, and whether they keep what was promised.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a caller was told of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// A backend server's answer, with the number of the run that it came from.
    Ran(u64),
    /// It did not run.
    NotRun,
    /// It may have run, or no answer came.
    Unknown,
}

/// A request or resend of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Name of the operation.
    pub operation: String,
    /// What the caller was told.
    pub told: Told,
}

/// A run of an operation at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// Name of the operation.
    pub operation: String,
    /// Number of the run.
    pub run: u64,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An operation ran more than once.
    Repeated(String),
    /// Every caller was told that an operation did not run, and it did.
    FalseNotRun(String),
    /// A caller was given the answer of a run that never was, or of another operation.
    ForeignAnswer(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Repeated(operation) => write!(f, "{operation} ran more than once"),
            Self::FalseNotRun(operation) => write!(f, "{operation} ran, but all heard not-run"),
            Self::ForeignAnswer(operation) => write!(f, "{operation} got a foreign answer"),
        }
    }
}

/// Returns the promises that a history breaks.
#[must_use]
pub fn check(calls: &[Call], runs: &[Ran]) -> Vec<Violation> {
    let mut runs_of: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for ran in runs {
        runs_of.entry(&ran.operation).or_default().insert(ran.run);
    }
    let mut violations = Vec::new();
    for (operation, numbers) in &runs_of {
        if numbers.len() > 1 {
            violations.push(Violation::Repeated((*operation).to_owned()));
        }
        let mut told = calls.iter().filter(|call| call.operation == **operation);
        if told.all(|call| call.told == Told::NotRun) {
            violations.push(Violation::FalseNotRun((*operation).to_owned()));
        }
    }
    for call in calls {
        let Told::Ran(run) = call.told else {
            continue;
        };
        let own = runs_of.get(call.operation.as_str());
        if own.is_none_or(|numbers| !numbers.contains(&run)) {
            violations.push(Violation::ForeignAnswer(call.operation.clone()));
        }
    }
    violations
}
