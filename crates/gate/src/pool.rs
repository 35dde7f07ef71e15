//! Load balancing pools shared by all requests, one for each service and zone.

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
    /// Outcome of the request; remains cancelled if none is recorded.
    outcome: Mutex<Outcome>,
}

/// Pools by service and zone. Their state is kept when the configuration text changes.
#[derive(Debug)]
pub struct Pools {
    pools: Mutex<HashMap<Key, Arc<Pool>>>,
    timer: Service,
}

/// Service and zone of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
}

impl Pools {
    /// Creates an empty set of pools.
    #[must_use]
    pub fn new(timer: Service) -> Self {
        Self {
            pools: Mutex::default(),
            timer,
        }
    }

    /// Returns the pool for `key`, created if absent, after applying `limits` and `endpoints`.
    ///
    /// # Panics
    ///
    /// Panics if the state chart of a backend server does not match the code.
    #[must_use]
    pub fn pool(&self, key: Key, limits: Limits, endpoints: &[Endpoint]) -> Arc<Pool> {
        let create = || {
            let pool = pick::Pool::new(limits).expect("the state chart matches the code");
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

    /// Removes the pools whose keys are not in `keys`.
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

    /// Records that the response head arrived.
    pub fn note_response(&self) {
        let latency_ms = self.pool.timer.now().ms_since(self.began);
        self.note(Outcome::Answered { latency_ms });
    }

    /// Records the outcome of the request.
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
