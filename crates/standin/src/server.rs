//! Runs a `rouille` server on a private loopback port in a thread of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::eyre;
use rouille::{Request, Response};

/// How long the server waits for a request before it looks at its stop flag.
const POLL_MS: u64 = 20;

/// A running HTTP server. Dropping it stops it.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that answers every request with `handler`.
    pub(crate) fn start<F>(handler: F) -> eyre::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server = rouille::Server::new((Ipv4Addr::LOCALHOST, 0), handler)
            .map_err(|error| eyre!("cannot start the HTTP server: {error}"))?;
        let addr = server.server_addr();
        let stopping = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopping);
        let thread = std::thread::Builder::new()
            .name("standin-http".to_owned())
            .spawn(move || {
                while !flag.load(Ordering::Relaxed) {
                    server.poll_timeout(Duration::from_millis(POLL_MS));
                }
            })?;
        Ok(Self {
            addr,
            stopping,
            thread: Some(thread),
        })
    }

    /// The private address that the server listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
