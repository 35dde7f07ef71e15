//! Detection of unreachable backend servers.
//!
//! A server that loses power or is partitioned does not close its connections, and a whole zone may
//! fail at once. Each request sent to it would wait for a connection until it times out. So the VM
//! probes the server with connections of its own, at increasing intervals, and sends it no request
//! until a probe succeeds. A server that is reachable again may have restarted and counts as cold,
//! unless this VM itself was partitioned.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use rand::Rng as _;
use steer::placement::hash;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::servers::Backend;
use crate::state::State;

/// Time within which a live server accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before the first probe of an unreachable server.
const FIRST_DELAY: Duration = Duration::from_millis(400);

/// Maximum delay between two probes.
const MAX_DELAY: Duration = Duration::from_millis(1_600);

/// Longest time by which the probes after a partition are spread.
const MAX_WAKE_SPREAD: Duration = Duration::from_millis(100);

/// Minimum interval between two probes of all servers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of servers probed at once.
const MAX_SWEPT: usize = 100;

/// Time for which a partition of this VM explains that servers were unreachable. It has to cover
/// the time until the last of them is probed.
const PARTITION_MEMORY: Duration = Duration::from_secs(3);

/// Returns whether `backend` accepts a connection; marks it as unreachable if not.
pub async fn accepts(state: &Rc<State>, backend: &Rc<Backend>) -> bool {
    let accepts = connects(backend).await;
    if accepts {
        note_reached(state);
    } else {
        mark_unreachable(state, backend);
    }
    accepts
}

/// Records that a server accepted a connection. If none did before, the others are probably reachable
/// again too, and are probed at once.
fn note_reached(state: &State) {
    let was_partitioned = state.is_partitioned();
    state.partition.borrow_mut().note_reached();
    if was_partitioned {
        state.partition_ended.notify_waiters();
    }
}

async fn connects(backend: &Backend) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(backend.addr)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Probes `backend`, which did not answer a request in time and answered no other request
/// meanwhile.
pub fn probe(state: &Rc<State>, backend: &Rc<Backend>) {
    let state = Rc::clone(state);
    let backend = Rc::clone(backend);
    spawn_local(async move {
        accepts(&state, &backend).await;
    });
}

/// Marks `backend` as unreachable, and probes it until it is reachable again.
pub fn mark_unreachable(state: &Rc<State>, backend: &Rc<Backend>) {
    if !backend.set_unreachable(state.warmup_time(&backend.service), Instant::now()) {
        return;
    }
    event::emit(&Event::ServerLost {
        server: backend.id.to_string(),
        zone: backend.zone.clone(),
    });
    spawn_local(probe_until_reachable(Rc::clone(state), Rc::clone(backend)));
    let zone = hash(backend.zone.as_bytes());
    state
        .partition
        .borrow_mut()
        .note_unreachable(backend.hash, zone);
    sweep_if_partitioned(state);
}

/// Probes the servers that were not found unreachable yet, if this VM seems to be partitioned from all, so
/// that no request has to find that out.
fn sweep_if_partitioned(state: &Rc<State>) {
    let now = Instant::now();
    let is_recent = |at: Instant| now.duration_since(at) < SWEEP_INTERVAL;
    if !state.is_partitioned() || state.swept_at.get().is_some_and(is_recent) {
        return;
    }
    state.swept_at.set(Some(now));
    let servers = state.servers.borrow();
    let unknown = servers.iter().filter(|backend| backend.is_usable());
    for backend in unknown.take(MAX_SWEPT) {
        probe(state, backend);
    }
}

async fn probe_until_reachable(state: Rc<State>, backend: Rc<Backend>) {
    let since = Instant::now();
    let mut delay = FIRST_DELAY;
    loop {
        if timeout(delay, state.partition_ended.notified())
            .await
            .is_ok()
        {
            sleep(MAX_WAKE_SPREAD.mul_f64(rand::rng().random())).await;
        }
        if !backend.is_unreachable() || !backend.takes_work() {
            return;
        }
        let was_partitioned = was_partitioned(&state);
        if connects(&backend).await {
            note_reached(&state);
            state.end_relays();
            mark_reachable(&backend, was_partitioned, since);
            return;
        }
        backend.set_unreachable(state.warmup_time(&backend.service), Instant::now());
        delay = (delay * 2).min(MAX_DELAY);
    }
}

fn mark_reachable(backend: &Backend, was_partitioned: bool, since: Instant) {
    if was_partitioned {
        backend.end_partition();
    } else {
        backend.set_reachable();
    }
    event::emit(&Event::ServerBack {
        server: backend.id.to_string(),
        was_cut: was_partitioned,
        ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}

impl State {
    /// Returns whether this VM is probably partitioned from all servers.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        let partition = self.partition.borrow();
        if !partition.has_lost_several() {
            return false;
        }
        let servers = self.servers.borrow();
        let zones: HashSet<&str> = servers
            .iter()
            .map(|backend| backend.zone.as_str())
            .collect();
        partition.is_partitioned(zones.len())
    }
}

/// Returns whether this VM is partitioned or was so until recently.
fn was_partitioned(state: &State) -> bool {
    let now = Instant::now();
    if state.servers.borrow().is_partitioned(&state.settings.zone) {
        state.partitioned_at.set(Some(now));
    }
    let partitioned_at = state.partitioned_at.get();
    partitioned_at.is_some_and(|at| now.duration_since(at) < PARTITION_MEMORY)
}
