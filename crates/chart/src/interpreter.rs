//! Loads charts and evaluates their transitions.

use std::collections::HashMap;
use std::fmt;

use scxml::{ResolvedChart, Statechart};

use crate::Label;

/// A state chart with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    initial: S,
    finals: Vec<S>,
    /// At most one target for each state and event.
    transitions: HashMap<(S, E), S>,
}

/// Error on loading a chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a valid chart.
    Invalid(String),
    /// The file contains a state that the code does not declare.
    UnknownState(String),
    /// The file contains an event that the code does not declare.
    UnknownEvent(String),
    /// The code declares a state that the file does not contain.
    MissingState(String),
    /// The code declares an event that no transition uses.
    UnusedEvent(String),
    /// A transition has no event or not exactly one target, or a state has several transitions for
    /// one event.
    Ambiguous(String),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => write!(f, "the chart is invalid: {error}"),
            Self::UnknownState(name) => write!(f, "the code has no state \"{name}\""),
            Self::UnknownEvent(name) => write!(f, "the code has no event \"{name}\""),
            Self::MissingState(name) => write!(f, "the chart has no state \"{name}\""),
            Self::UnusedEvent(name) => write!(f, "no transition uses the event \"{name}\""),
            Self::Ambiguous(state) => write!(f, "a transition of \"{state}\" is ambiguous"),
        }
    }
}

impl std::error::Error for ChartError {}

impl<S: Label, E: Label> Chart<S, E> {
    /// Loads a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// Fails if the file is not a valid chart or does not match `S` and `E`.
    pub fn new(source: &str) -> Result<Self, ChartError> {
        let parsed = scxml::parse_xml(source).map_err(invalid)?;
        scxml::validate(&parsed).map_err(invalid)?;
        let chart = Self {
            initial: state(&parsed.initial)?,
            finals: finals(&parsed)?,
            transitions: transitions(&scxml::resolve(&parsed))?,
        };
        check_states::<S>(&parsed)?;
        chart.check_events()?;
        Ok(chart)
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether `state` is a final state.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// Returns the target state of the transition from `state` on `event`, or `None` if the chart has
    /// no such transition.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    fn check_events(&self) -> Result<(), ChartError> {
        let is_used = |event: &E| self.transitions.keys().any(|(_, other)| other == event);
        match E::ALL.iter().find(|event| !is_used(event)) {
            Some(event) => Err(ChartError::UnusedEvent(event.name().to_owned())),
            None => Ok(()),
        }
    }
}

fn state<S: Label>(name: &str) -> Result<S, ChartError> {
    S::from_name(name).ok_or_else(|| ChartError::UnknownState(name.to_owned()))
}

fn finals<S: Label>(chart: &Statechart) -> Result<Vec<S>, ChartError> {
    let states = chart.iter_all_states();
    let finals = states.filter(|state| state.kind == scxml::StateKind::Final);
    finals.map(|found| state(&found.id)).collect()
}

fn check_states<S: Label>(chart: &Statechart) -> Result<(), ChartError> {
    let is_in_chart = |label: &S| {
        chart
            .iter_all_states()
            .any(|state| state.id == label.name())
    };
    match S::ALL.iter().find(|label| !is_in_chart(label)) {
        Some(label) => Err(ChartError::MissingState(label.name().to_owned())),
        None => Ok(()),
    }
}

fn transitions<S: Label, E: Label>(
    chart: &ResolvedChart,
) -> Result<HashMap<(S, E), S>, ChartError> {
    let mut transitions = HashMap::new();
    for from in &chart.states {
        let source = state(&from.id)?;
        for transition in &from.transitions {
            let ambiguous = || ChartError::Ambiguous(from.id.to_string());
            let name = transition.event.as_deref().ok_or_else(ambiguous)?;
            let event = E::from_name(name);
            let event = event.ok_or_else(|| ChartError::UnknownEvent(name.to_owned()))?;
            let [target] = transition.targets.as_slice() else {
                return Err(ambiguous());
            };
            if transitions
                .insert((source, event), state(target)?)
                .is_some()
            {
                return Err(ambiguous());
            }
        }
    }
    Ok(transitions)
}

fn invalid(error: impl fmt::Display) -> ChartError {
    ChartError::Invalid(error.to_string())
}
