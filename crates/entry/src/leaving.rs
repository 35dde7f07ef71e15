//! Backend servers that say in their responses that they leave.

use std::cell::RefCell;
use std::collections::VecDeque;

use event::Event;
use fleet::ServerId;

use crate::servers::Backend;
use crate::state::State;

/// Number of incarnations that are remembered after they said that they leave. They may be registered
/// again: registrations lapse, and the store may lose the latest ones.
const MAX_REMEMBERED: usize = 1_024;

/// An incarnation of a backend server: its name and its start in milliseconds since the Unix epoch.
type Incarnation = (ServerId, u64);

/// Incarnations of backend servers that said that they leave, the latest last.
#[derive(Debug, Default)]
pub struct Leaving(RefCell<VecDeque<Incarnation>>);

impl Leaving {
    /// Returns whether the incarnation of `backend` said that it leaves.
    #[must_use]
    pub fn contains(&self, backend: &Backend) -> bool {
        self.0.borrow().contains(&incarnation(backend))
    }

    fn insert(&self, incarnation: Incarnation) {
        let mut leaving = self.0.borrow_mut();
        if leaving.len() == MAX_REMEMBERED {
            leaving.pop_front();
        }
        leaving.push_back(incarnation);
    }
}

impl State {
    /// Records that a response of `backend` says that it leaves.
    pub fn note_leaving(&self, backend: &Backend) {
        if backend.leaves.replace(true) {
            return;
        }
        backend.idle.borrow_mut().clear();
        self.leaving.insert(incarnation(backend));
        event::emit(&Event::ServerLeaving {
            server: backend.id.to_string(),
        });
    }
}

fn incarnation(backend: &Backend) -> Incarnation {
    (backend.id.clone(), backend.heartbeat.get().born_ms)
}
