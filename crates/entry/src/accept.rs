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

/// A listening socket and its open connections.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    open: Cell<usize>,
}

/// Counts a connection as open until dropped, also when its task fails.
struct Open(Rc<Listener>);

impl Open {
    fn new(listener: &Rc<Listener>) -> Self {
        listener.open.set(listener.open.get() + 1);
        Self(Rc::clone(listener))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Listener {
    /// Listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        Ok(Self {
            socket: socket.listen(BACKLOG)?,
            open: Cell::new(0),
        })
    }
}

/// Accepts connections until the daemon ends. Connections over the limit are closed at once.
pub async fn run(state: Rc<State>, listener: Rc<Listener>, role: Role) {
    let percent = match role {
        Role::Relayed => RELAYS_PERCENT,
        _ => CALLERS_PERCENT,
    };
    let max_open = state.settings.max_sockets * percent / 100;
    loop {
        let Ok((stream, _)) = listener.socket.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if listener.open.get() >= max_open {
            state.metrics.note_rejected_connection();
            continue;
        }
        let open = Open::new(&listener);
        let state = Rc::clone(&state);
        spawn_local(async move {
            caller::serve(state, stream, role).await;
            drop(open);
        });
    }
}
