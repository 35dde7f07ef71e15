//! Simulated backend server.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of requests that wait at a server before it sheds.
const MAX_WAITING: usize = 2;

/// A backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Its address.
    pub addr: SocketAddr,
    /// Index of its service.
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is running.
    pub is_up: bool,
    /// Whether it is slow and fails requests while its health endpoint reports no load.
    pub false_health: bool,
    /// Incremented by each crash, so that completions scheduled before the crash are ignored.
    pub epoch: u32,
    /// Running requests.
    pub running: Vec<usize>,
    /// Waiting requests.
    pub waiting: VecDeque<usize>,
    /// Load last received from its health endpoint; `None` if it was down.
    pub reported: Option<usize>,
    /// Reports not yet received, oldest first.
    reports: VecDeque<Option<usize>>,
}

/// Result of offering a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Runs,
    /// The request waits for a slot.
    Waits,
    /// The request is shed.
    Shed,
    /// The server is down.
    Unreached,
}

impl Backend {
    /// Creates an idle server.
    pub fn new(addr: SocketAddr, service: usize, zone: usize, slots: usize) -> Self {
        Self {
            addr,
            service,
            zone,
            slots,
            is_up: true,
            false_health: false,
            epoch: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            reported: Some(0),
            reports: VecDeque::new(),
        }
    }

    /// Runs, queues or sheds a request.
    pub fn take(&mut self, request: usize) -> Admission {
        if !self.is_up {
            Admission::Unreached
        } else if self.running.len() < self.slots {
            self.running.push(request);
            Admission::Runs
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(request);
            Admission::Waits
        } else {
            Admission::Shed
        }
    }

    /// Completes a request and returns the waiting request that takes its slot.
    pub fn end(&mut self, request: usize) -> Option<usize> {
        self.running.retain(|other| *other != request);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Stops the server and returns the requests that were running or waiting.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.epoch += 1;
        let mut dropped = std::mem::take(&mut self.running);
        dropped.extend(self.waiting.drain(..));
        dropped
    }

    /// Reports its load, which is received `delay` calls later.
    pub fn report(&mut self, delay: usize) {
        let load = self.running.len() + self.waiting.len();
        let reported_load = if self.false_health { 0 } else { load };
        self.reports.push_back(self.is_up.then_some(reported_load));
        if self.reports.len() > delay {
            self.reported = self.reports.pop_front().flatten();
        }
    }
}
