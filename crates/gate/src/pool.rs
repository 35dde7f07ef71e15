//! Pools of backend servers, one for each service and zone, that requests share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pick::{Endpoint, Limits, Outcome, Request};
use timer::{Moment, Service};

/// The backend servers of one service in one zone.
#[derive(Debug)]
pub struct Pool {
    inner: Mutex<pick::Pool>,
    timer: Service,
}

/// A request counted at a backend server until dropped.
#[derive(Debug)]
pub struct Ticket {
    pool: Arc<Pool>,
    addr: SocketAddr,
    began: Moment,
    /// How the request ended; a request that nothing is known of was cancelled.
    outcome: Mutex<Outcome>,
}

/// Pools by service and zone. They keep what they know when the text changes.
#[derive(Debug)]
pub struct Pools {
    pools: Mutex<HashMap<Key, Arc<Pool>>>,
    timer: Service,
}

/// What a pool is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
}

impl Pools {
    /// Creates no pools.
    #[must_use]
    pub fn new(timer: Service) -> Self {
        Self {
            pools: Mutex::default(),
            timer,
        }
    }

    /// Returns the pool for `key` after it has taken `limits` and `listed`.
    ///
    /// # Panics
    ///
    /// Panics if the chart of a backend server does not agree with the code.
    #[must_use]
    pub fn pool(&self, key: Key, limits: Limits, endpoints: &[Endpoint]) -> Arc<Pool> {
        let create = || {
            let pool = pick::Pool::new(limits).expect("the chart agrees with the code");
            Arc::new(Pool {
                inner: Mutex::new(pool),
                timer: self.timer.clone(),
            })
        };
        let pool = Arc::clone(lock(&self.pools).entry(key).or_insert_with(create));
        let mut inner = lock(&pool.inner);
        inner.set_limits(limits);
        inner.set_endpoints(endpoints, self.timer.now());
        drop(inner);
        pool
    }

    /// Forgets the pools that are not among `keys`.
    pub fn retain(&self, keys: &[Key]) {
        lock(&self.pools).retain(|key, _| keys.contains(key));
    }
}

impl Pool {
    /// Chooses a backend server and counts the request there.
    #[must_use]
    pub fn choose(self: &Arc<Self>, request: Request) -> Option<Ticket> {
        let began = self.timer.now();
        let addr = lock(&self.inner).choose(request, began, &mut rand::rng())?;
        Some(Ticket {
            pool: Arc::clone(self),
            addr,
            began,
            outcome: Mutex::new(Outcome::Cancelled),
        })
    }
}

impl Ticket {
    /// Returns the backend server's address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Notes that the head of the answer came.
    pub fn note_response(&self) {
        let latency_ms = self.pool.timer.now().ms_since(self.began);
        self.note(Outcome::Answered { latency_ms });
    }

    /// Notes how the request ended.
    pub fn note(&self, outcome: Outcome) {
        *lock(&self.outcome) = outcome;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let outcome = *lock(&self.outcome);
        let now = self.pool.timer.now();
        lock(&self.pool.inner).finish(self.addr, outcome, now);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
