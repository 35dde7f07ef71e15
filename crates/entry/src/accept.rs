//! Listening sockets and the limit on open connections.

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

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

/// Delay after a failed `accept`.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Share of the sockets that callers may use, in percent; the rest is for connections to backend
/// servers.
const CALLERS_PERCENT: usize = 60;

/// Share of the sockets that other entry VMs may use for requests that they pass on, in percent.
const RELAYS_PERCENT: usize = 15;

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

/// Accepts connections until the daemon ends. Connections over the limit are closed at once.
pub async fn run(state: Rc<State>, listener: TcpListener, role: Role) {
    let percent = match role {
        Role::Relayed => RELAYS_PERCENT,
        _ => CALLERS_PERCENT,
    };
    let max_open = state.settings.max_sockets * percent / 100;
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if open.get() >= max_open {
            state.metrics.note_rejected_connection();
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
