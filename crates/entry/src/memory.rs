//! Memory for bodies of requests and responses, limited over all callers.
//!
//! Callers that read slowly keep responses in memory. While a response waits for memory, the caller that
//! has read nothing for the longest time gives its memory up: it is closed.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::sleep;

/// Percentage of the process's memory that bodies may use.
const BODIES_PERCENT: u64 = 40;

/// Size up to which a response counts as small, in bytes.
const SMALL_RESPONSE_BYTES: u64 = 64 << 10;

/// Percentage of the pool that large responses leave to other bodies, so that a few endless or slowly
/// read ones do not stop the others.
const SPARED_PERCENT: u64 = 25;

/// Percentage of the pool that bodies of requests leave to small responses. A request keeps its memory
/// until it is answered, so that requests do not fill the pool and wait for responses that cannot be read.
const SMALL_RESPONSES_PERCENT: u64 = 10;

/// Time without progress after which a caller may be closed to free memory.
const MAX_STALL_WITHOUT_MEMORY: Duration = Duration::from_secs(1);

/// Interval between two attempts to reserve memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a response waits for memory before callers that do not read are closed.
const WAIT_BEFORE_CLOSING: Duration = Duration::from_millis(500);

/// Longest time for which a response waits for memory. With the reads before and after, it stays below two
/// seconds, after which servers may cut off a response that stays unread.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Bytes reserved beyond a response's expected size, for its head and what is read at once.
const READ_MARGIN_BYTES: u64 = 64 << 10;

/// Number of a route's latest responses that have to be large before its requests wait for memory. On a
/// route with responses of all sizes, small ones must not wait for slow readers of large ones.
const LATEST_SIZES: usize = 16;

/// Memory shared by all bodies.
#[derive(Debug, Clone)]
pub struct Pool {
    used_bytes: Rc<Cell<u64>>,
    max_bytes: u64,
    /// Responses that are being written to callers.
    writers: Rc<RefCell<Vec<Rc<Writer>>>>,
}

/// A response that is being written to a caller.
#[derive(Debug)]
struct Writer {
    /// When the caller last took bytes.
    progressed_at: Cell<Instant>,
    is_closed: Cell<bool>,
    closing: Notify,
}

/// A response that is being written to a caller, until dropped.
#[derive(Debug)]
pub struct Writing {
    pool: Pool,
    writer: Rc<Writer>,
}

/// Memory reserved for one body until dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: Pool,
    bytes: u64,
}

impl Pool {
    /// Creates the pool of a process with `memory_bytes` of memory.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            used_bytes: Rc::default(),
            max_bytes: memory_bytes / 100 * BODIES_PERCENT,
            writers: Rc::default(),
        }
    }

    /// Registers a response that is about to be written to a caller.
    #[must_use]
    pub fn writing(&self, now: Instant) -> Writing {
        let writer = Rc::new(Writer {
            progressed_at: Cell::new(now),
            is_closed: Cell::new(false),
            closing: Notify::new(),
        });
        self.writers.borrow_mut().push(Rc::clone(&writer));
        Writing {
            pool: self.clone(),
            writer,
        }
    }

    /// Closes the caller that has read nothing for the longest time, if it is too long for a VM that lacks
    /// memory. The next one is closed only once the memory of this one is free.
    fn close_stalled(&self, now: Instant) {
        let writers = self.writers.borrow();
        if writers.iter().any(|writer| writer.is_closed.get()) {
            return;
        }
        let longest = writers
            .iter()
            .min_by_key(|writer| writer.progressed_at.get());
        let is_stalled = |writer: &&Rc<Writer>| {
            now.duration_since(writer.progressed_at.get()) >= MAX_STALL_WITHOUT_MEMORY
        };
        if let Some(writer) = longest.filter(is_stalled) {
            writer.is_closed.set(true);
            writer.closing.notify_one();
        }
    }

    /// Returns an empty reservation.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation {
            pool: self.clone(),
            bytes: 0,
        }
    }
}

impl Writing {
    /// Records that the caller took bytes.
    pub fn note_progress(&self, now: Instant) {
        self.writer.progressed_at.set(now);
    }

    /// Waits until the caller is to be closed to free memory.
    pub async fn close_requested(&self) {
        self.writer.closing.notified().await;
    }
}

impl Drop for Writing {
    fn drop(&mut self) {
        let mut writers = self.pool.writers.borrow_mut();
        writers.retain(|writer| !Rc::ptr_eq(writer, &self.writer));
    }
}

impl Reservation {
    /// Grows the reservation of a request to at least `bytes`; returns false if the pool has too
    /// little capacity.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let spared = self.pool.max_bytes / 100 * SMALL_RESPONSES_PERCENT;
        self.grow_within(bytes, self.pool.max_bytes - spared)
    }

    /// Waits until the reservation of a response has grown to at least `bytes`; returns false if there was
    /// no memory in time. `since` is when the wait began; it is kept if the future is dropped.
    pub async fn wait_for_response(&mut self, bytes: u64, since: &mut Option<Instant>) -> bool {
        while !self.grow_response_to(bytes) {
            let now = Instant::now();
            let waited = now.duration_since(*since.get_or_insert(now));
            if waited >= MAX_WAIT {
                return false;
            }
            if waited >= WAIT_BEFORE_CLOSING {
                self.pool.close_stalled(now);
            }
            sleep(RETRY_INTERVAL).await;
        }
        *since = None;
        true
    }

    /// Shrinks the reservation to at most `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let freed = self.bytes.saturating_sub(bytes);
        self.pool.used_bytes.set(self.pool.used_bytes.get() - freed);
        self.bytes -= freed;
    }

    /// Grows the reservation of a response to at least `bytes`; returns false if the pool has too
    /// little capacity for a response of that size.
    pub fn grow_response_to(&mut self, bytes: u64) -> bool {
        let spared = if bytes > SMALL_RESPONSE_BYTES {
            self.pool.max_bytes / 100 * SPARED_PERCENT
        } else {
            0
        };
        self.grow_within(bytes, self.pool.max_bytes - spared)
    }

    /// Takes all reserved memory out of this reservation.
    #[must_use]
    pub fn take(&mut self) -> Self {
        Self {
            pool: self.pool.clone(),
            bytes: std::mem::take(&mut self.bytes),
        }
    }

    fn grow_within(&mut self, bytes: u64, max_bytes: u64) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let used_bytes = self.pool.used_bytes.get().saturating_add(additional);
        if additional > 0 && used_bytes > max_bytes {
            return false;
        }
        self.pool.used_bytes.set(used_bytes);
        self.bytes += additional;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool
            .used_bytes
            .set(self.pool.used_bytes.get() - self.bytes);
    }
}

/// Sizes of the latest responses of each route.
#[derive(Debug, Default)]
pub struct ResponseSizes(RefCell<HashMap<String, VecDeque<u64>>>);

impl ResponseSizes {
    /// Records a response of `bytes`.
    pub fn note(&self, route: &str, bytes: u64) {
        let mut routes = self.0.borrow_mut();
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), VecDeque::new());
        }
        if let Some(sizes) = routes.get_mut(route) {
            sizes.truncate(LATEST_SIZES - 1);
            sizes.push_front(bytes);
        }
    }

    /// Drops the sizes of the routes for which `is_kept` returns false.
    pub fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.0.borrow_mut().retain(|route, _| is_kept(route));
    }

    /// Returns the bytes to reserve before a request of `route` is sent: the least of the latest responses
    /// if there were enough and all of them were large, else none.
    #[must_use]
    pub fn expected(&self, route: &str) -> u64 {
        let routes = self.0.borrow();
        let sizes = routes.get(route);
        let sizes = sizes.filter(|sizes| sizes.len() == LATEST_SIZES);
        let least = sizes.and_then(|sizes| sizes.iter().min());
        let large = least.filter(|least| **least > SMALL_RESPONSE_BYTES);
        large.map_or(0, |large| large + READ_MARGIN_BYTES)
    }
}
