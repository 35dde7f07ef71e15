//! Counters of the daemon.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

/// Counters of the daemon.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests by outcome.
    requests: RefCell<BTreeMap<(String, String), u64>>,
    socket_errors: Cell<u64>,
    turned_away: Cell<u64>,
    bad_messages: Cell<u64>,
}

impl Counts {
    /// Counts a request for `service` that ended with `outcome`.
    pub fn note_request(&self, service: &str, outcome: &str) {
        let mut requests = self.requests.borrow_mut();
        let key = (service.to_owned(), outcome.to_owned());
        *requests.entry(key).or_default() += 1;
    }

    /// Counts a socket option that could not be set; the connection is used all the same.
    pub fn note_socket_error(&self, _error: &io::Error) {
        self.socket_errors.set(self.socket_errors.get() + 1);
    }

    /// Counts a connection that was closed since too many were open.
    pub fn note_turned_away(&self) {
        self.turned_away.set(self.turned_away.get() + 1);
    }

    /// Counts a message between entry VMs that could not be read or written.
    pub fn note_bad_message(&self) {
        self.bad_messages.set(self.bad_messages.get() + 1);
    }
}
