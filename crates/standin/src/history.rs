//! Linearizability of recorded histories, by the search of Wing and Gong.
//!
//! A history is linearizable if each call can be given one moment between its start and its end
//! such that the calls, in the order of these moments, give the answers that were recorded. The
//! search tries every call that may come next and remembers the sets of calls and states that
//! led nowhere. It is exponential in the number of calls that overlap, so histories are kept to
//! one key and at most [`MAX_CALLS`] calls.

use std::collections::HashSet;
use std::hash::Hash;

/// Most calls of a history.
pub const MAX_CALLS: usize = 128;

/// What the object does when no calls overlap.
pub trait Model {
    /// State of the object.
    type State: Clone + Eq + Hash;
    /// A call.
    type Call;
    /// The answer to a call.
    type Answer: PartialEq;

    /// Returns the state before the first call.
    fn start(&self) -> Self::State;

    /// Returns the answer to `call` in `state`, and the state after it.
    fn apply(&self, state: &Self::State, call: &Self::Call) -> (Self::State, Self::Answer);
}

/// A call as it was recorded. Times are of one clock.
#[derive(Debug, Clone)]
pub struct Record<C, A> {
    /// The call.
    pub call: C,
    /// The answer; absent if none arrived, so that the call may have taken effect at any time
    /// since its start, or never.
    pub answer: Option<A>,
    /// When it started.
    pub start: u64,
    /// When its answer arrived.
    pub end: u64,
}

/// Returns whether `history` is linearizable.
///
/// # Panics
///
/// Panics if the history has more than [`MAX_CALLS`] calls.
pub fn is_linearizable<M: Model>(model: &M, history: &[Record<M::Call, M::Answer>]) -> bool {
    assert!(history.len() <= MAX_CALLS, "the history is too long");
    let mut search = Search {
        model,
        history,
        dead: HashSet::new(),
    };
    search.leads_to_the_end(0, &model.start())
}

struct Search<'a, M: Model> {
    model: &'a M,
    history: &'a [Record<M::Call, M::Answer>],
    /// Sets of calls done, with the state after them, from which the end cannot be reached.
    dead: HashSet<(u128, M::State)>,
}

impl<M: Model> Search<'_, M> {
    fn leads_to_the_end(&mut self, done: u128, state: &M::State) -> bool {
        let open = |index: &usize| done >> index & 1 == 0;
        let open: Vec<usize> = (0..self.history.len()).filter(open).collect();
        let answered = open.iter().map(|index| &self.history[*index]);
        let answered = answered.filter(|record| record.answer.is_some());
        // Every call that is done next must have started before all others have ended.
        let Some(first_end) = answered.map(|record| record.end).min() else {
            return true;
        };
        if self.dead.contains(&(done, state.clone())) {
            return false;
        }
        for index in open {
            let record = &self.history[index];
            if record.start > first_end {
                continue;
            }
            let (next, answer) = self.model.apply(state, &record.call);
            let fits = record.answer.as_ref().is_none_or(|seen| *seen == answer);
            if fits && self.leads_to_the_end(done | 1 << index, &next) {
                return true;
            }
        }
        self.dead.insert((done, state.clone()));
        false
    }
}
