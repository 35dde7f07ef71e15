//! Limits the bytes of request bodies outstanding at each backend server; see [`steer::outstanding`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use steer::outstanding::{Outstanding, SMALL_BODY_BYTES, Service, Ticket};
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::dispatch::Dispatch;
use crate::response::Refusal;
use crate::servers::Backend;

/// Bodies of requests outstanding at one backend server.
#[derive(Debug, Default)]
pub struct Bodies {
    outstanding: RefCell<Outstanding>,
    changed: Notify,
}

/// Counts a body as outstanding at a backend server until dropped.
#[derive(Debug)]
pub struct BodyGuard {
    backend: Rc<Backend>,
    bytes: u64,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let bodies = &self.backend.bodies;
        bodies.outstanding.borrow_mut().end(self.bytes);
        bodies.changed.notify_waiters();
    }
}

/// A body in the queue of a backend server until dropped.
struct Waiting<'a> {
    bodies: &'a Bodies,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.bodies.outstanding.borrow_mut().cancel(self.ticket);
        self.bodies.changed.notify_waiters();
    }
}

/// Result of waiting for room at a backend server.
pub enum Room {
    /// The body may be sent. Small ones are not counted.
    Free(Option<BodyGuard>),
    /// The server does not take the request any more.
    Lost,
}

impl Backend {
    /// Waits until a body of `bytes` may be sent, given the bound `max`.
    async fn begin_body(self: &Rc<Self>, bytes: u64, max: u64) -> BodyGuard {
        let bodies = &self.bodies;
        let ticket = bodies.outstanding.borrow_mut().enqueue();
        let waiting = Waiting { bodies, ticket };
        loop {
            let changed = bodies.changed.notified();
            let has_begun = bodies.outstanding.borrow_mut().begin(ticket, bytes, max);
            if has_begun {
                drop(waiting);
                return BodyGuard {
                    backend: Rc::clone(self),
                    bytes,
                };
            }
            changed.await;
        }
    }
}

impl Dispatch<'_> {
    /// Returns the servers of `eligible` that have room for the request's body, or all if none has.
    pub fn with_room<'a>(&self, eligible: Vec<&'a Rc<Backend>>) -> Vec<&'a Rc<Backend>> {
        let bytes = self.incoming.body.len() as u64;
        if bytes <= SMALL_BODY_BYTES {
            return eligible;
        }
        let has_room = |backend: &&&Rc<Backend>| {
            let outstanding = backend.bodies.outstanding.borrow();
            outstanding.has_room(bytes, self.max_outstanding(backend))
        };
        let with_room: Vec<_> = eligible.iter().filter(has_room).copied().collect();
        if with_room.is_empty() {
            eligible
        } else {
            with_room
        }
    }

    /// Waits until `backend` may be sent the request's body, but not so long that a response would come
    /// too late.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the caller gets if there is no room in time.
    pub async fn wait_for_room(&self, backend: &Rc<Backend>) -> Result<Room, Refusal> {
        let bytes = self.incoming.body.len() as u64;
        if bytes <= SMALL_BODY_BYTES {
            return Ok(Room::Free(None));
        }
        let max = self.max_outstanding(backend);
        if backend.bodies.outstanding.borrow().has_room(bytes, max) {
            // There is room, so this does not wait.
            return Ok(Room::Free(Some(backend.begin_body(bytes, max).await)));
        }
        let metrics = &self.state.metrics;
        let begin = backend.begin_body(bytes, max);
        let Ok(guard) = timeout_at(self.latest_start().into(), begin).await else {
            metrics.note_body_wait(self.service, "timed-out");
            return Err(self.no_capacity());
        };
        // The server may have become cold, limited or unreachable meanwhile.
        if !self.is_eligible(backend, Instant::now()) {
            metrics.note_body_wait(self.service, "moved");
            return Ok(Room::Lost);
        }
        metrics.note_body_wait(self.service, "sent");
        Ok(Room::Free(Some(guard)))
    }

    fn max_outstanding(&self, backend: &Backend) -> u64 {
        let service = self.config.services.get(self.service);
        let service = Service {
            max_body_bytes: self.config.limits.max_body_bytes,
            max_connections: service.map_or(0, |service| service.max_connections as u64),
            vms: self.state.membership.borrow().count() as u64,
        };
        service.max_outstanding(backend.slots.get())
    }
}
