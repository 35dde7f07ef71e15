//! Taking over the state of another entry VM at once, when a request shows that it knows more.
//!
//! The regular exchange brings changes within its intervals. A VM that is asked to serve a request by a
//! later configuration than its own, or that learns of one from an answer, must not wait for it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::Version;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::state::State;
use crate::store::Store;
use crate::sync;

/// Time for which a request waits for the state of another VM, which may be in another region.
const WAIT: Duration = Duration::from_millis(300);

/// Time after a fetch that brought nothing new in which there is no other one.
const REST: Duration = Duration::from_millis(200);

/// The VM whose state is due, and the requests that wait for it.
#[derive(Debug, Default)]
pub struct CatchUp {
    /// Address of the state service to fetch from next.
    wanted: RefCell<Option<SocketAddr>>,
    is_wanted: Notify,
    is_done: Notify,
    /// When a fetch last brought nothing new.
    failed_at: Cell<Option<Instant>>,
}

impl CatchUp {
    fn rests(&self, now: Instant) -> bool {
        let failed_at = self.failed_at.get();
        failed_at.is_some_and(|at| now.duration_since(at) < REST)
    }
}

impl State {
    /// Takes over the state of the VM whose state service is at `addr`; returns whether the configuration
    /// is of `version` or later then.
    pub async fn catch_up(&self, addr: SocketAddr, version: Version) -> bool {
        let until = Instant::now() + WAIT;
        while self.version() < version && !self.catch_up.rests(Instant::now()) {
            let done = self.catch_up.is_done.notified();
            self.catch_up.wanted.replace(Some(addr));
            self.catch_up.is_wanted.notify_one();
            if timeout_at(until.into(), done).await.is_err() {
                break;
            }
        }
        self.version() >= version
    }
}

/// Fetches the states that requests wait for, one after the other.
pub async fn run<S: Store>(state: Rc<State>) {
    let catch_up = &state.catch_up;
    loop {
        catch_up.is_wanted.notified().await;
        let Some(addr) = catch_up.wanted.take() else {
            continue;
        };
        let has_news = sync::fetch_from::<S>(&state, addr, WAIT).await;
        state.bulk.wait_idle(WAIT).await;
        if !has_news {
            catch_up.failed_at.set(Some(Instant::now()));
        }
        catch_up.is_done.notify_waiters();
    }
}
