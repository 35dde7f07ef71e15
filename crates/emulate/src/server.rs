//! Model of a backend server with slots, a queue and a least-recently-used set of warm objects.

use std::collections::VecDeque;

use crate::scenario::Service;

/// A simulated backend server.
#[derive(Debug)]
pub struct Server {
    /// Index of the zone.
    pub zone: usize,
    /// Hash of the server name.
    pub hash: u64,
    /// Whether the server accepts requests.
    pub is_up: bool,
    /// Number of stops; work started in an earlier incarnation is lost.
    pub incarnation: u32,
    slots: u32,
    max_waiting: usize,
    max_warm: usize,
    running: u32,
    waiting: VecDeque<usize>,
    /// Warm objects as (kind, object), the most recently used last.
    warm: VecDeque<(usize, u64)>,
}

/// Result of submitting a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot and runs.
    Running,
    /// The request waits for a slot.
    Queued,
    /// The request was not run: the queue is full or the server is down.
    Shed,
}

impl Server {
    /// Creates an idle server.
    #[must_use]
    pub fn new(service: &Service, zone: usize, hash: u64) -> Self {
        Self {
            zone,
            hash,
            is_up: true,
            incarnation: 0,
            slots: service.slots,
            max_waiting: service.queue,
            max_warm: service.keeps,
            running: 0,
            waiting: VecDeque::new(),
            warm: VecDeque::new(),
        }
    }

    /// Assigns a slot to a request, queues it or sheds it.
    pub fn receive(&mut self, request: usize) -> Admission {
        if !self.is_up {
            return Admission::Shed;
        }
        if self.running < self.slots {
            self.running += 1;
            return Admission::Running;
        }
        if self.waiting.len() < self.max_waiting {
            self.waiting.push_back(request);
            return Admission::Queued;
        }
        Admission::Shed
    }

    /// Frees a slot, and gives it to the request that waited longest, which is returned.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the numbers of running and waiting requests.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        (self.running, waiting)
    }

    /// Marks an object as most recently used; returns whether it was warm.
    pub fn touch(&mut self, object: (usize, u64)) -> bool {
        let position = self.warm.iter().position(|warm| *warm == object);
        if let Some(index) = position {
            self.warm.remove(index);
        }
        self.warm.push_back(object);
        if self.warm.len() > self.max_warm {
            self.warm.pop_front();
        }
        position.is_some()
    }

    /// Stops the server, which loses its running requests and warm objects. Returns the requests
    /// that waited.
    pub fn stop(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.incarnation += 1;
        self.running = 0;
        self.warm.clear();
        self.waiting.drain(..).collect()
    }
}
