//! Listeners.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::caller::{self, Role};
use crate::state::State;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(20);

/// Part of the sockets that callers may use, in percent; backend servers need the others.
const CALLERS_PERCENT: usize = 60;

/// Listens on `addr`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections as long as the daemon runs.
pub async fn run(state: Rc<State>, listener: TcpListener, role: Role) {
    let most = state.settings.max_sockets * CALLERS_PERCENT / 100;
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        if open.get() >= most {
            state.metrics.note_turned_away();
            continue;
        }
        open.set(open.get() + 1);
        let state = Rc::clone(&state);
        let open = Rc::clone(&open);
        spawn_local(async move {
            caller::serve(state, stream, role).await;
            open.set(open.get() - 1);
        });
    }
}
