//! Finding out whether backend servers can be reached.
//!
//! Answers servers that lose power or are cut off without a word, alone or a zone at a time: each
//! request that tried one would wait for a connection in vain. The VM finds out by connections of
//! its own, less and less often, and sends no request to a server until one succeeded. A server that
//! comes back may have restarted, and counts as cold; not so if the VM itself was cut off.

use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::servers::Live;
use crate::state::State;

/// Time within which a living server accepts a connection.
const ACCEPT: Duration = Duration::from_millis(400);

/// Time until a lost server is first looked at again.
const FIRST: Duration = Duration::from_millis(400);

/// Longest time between two looks.
const MOST: Duration = Duration::from_millis(1_600);

/// Time for which a cut explains that servers were lost: that until the last of them is looked at.
const EXPLAINS: Duration = Duration::from_secs(3);

/// Returns whether `live` accepts a connection; one that does not is lost.
pub async fn accepts(state: &Rc<State>, live: &Rc<Live>) -> bool {
    let accepts = connects(live).await;
    if !accepts {
        lose(state, live);
    }
    accepts
}

async fn connects(live: &Live) -> bool {
    let connected = timeout(ACCEPT, TcpStream::connect(live.addr)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Finds out whether `live`, which let a request wait and answered no other meanwhile, is lost.
pub fn look(state: &Rc<State>, live: &Rc<Live>) {
    let state = Rc::clone(state);
    let live = Rc::clone(live);
    spawn_local(async move {
        accepts(&state, &live).await;
    });
}

/// Notes that `live` could not be reached, and watches for its return.
pub fn lose(state: &Rc<State>, live: &Rc<Live>) {
    if !live.begin_loss(state.warmup(&live.service), Instant::now()) {
        return;
    }
    event::emit(&Event::ServerLost {
        server: live.id.to_string(),
        zone: live.zone.clone(),
    });
    spawn_local(watch(Rc::clone(state), Rc::clone(live)));
}

async fn watch(state: Rc<State>, live: Rc<Live>) {
    let since = Instant::now();
    let mut pause = FIRST;
    loop {
        sleep(pause).await;
        if !live.is_lost() || !live.ready.get() {
            return;
        }
        let was_cut = was_cut(&state);
        if connects(&live).await {
            end(&live, was_cut, since);
            return;
        }
        live.begin_loss(state.warmup(&live.service), Instant::now());
        pause = (pause * 2).min(MOST);
    }
}

fn end(live: &Live, was_cut: bool, since: Instant) {
    if was_cut {
        live.end_cut();
    } else {
        live.end_loss();
    }
    event::emit(&Event::ServerBack {
        server: live.id.to_string(),
        was_cut,
        ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}

/// Returns whether this VM was cut off a moment ago.
fn was_cut(state: &State) -> bool {
    let now = Instant::now();
    if state.servers.borrow().is_cut_off(&state.settings.zone) {
        state.cut_at.set(Some(now));
    }
    let cut_at = state.cut_at.get();
    cut_at.is_some_and(|at| now.duration_since(at) < EXPLAINS)
}
