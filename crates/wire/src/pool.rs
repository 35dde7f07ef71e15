//! Connection pool for calls to control daemons.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tokio::time::timeout;

use crate::channel;
use crate::denylist::Denylist;
use crate::peer::PeerClient;
use crate::secret::Secret;
use crate::tally::Tally;

/// A pool of connections to control daemons, opened on first use and dropped on failure.
#[derive(Debug)]
pub struct Pool {
    secret: Secret,
    denylist: Denylist,
    tally: Tally,
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(secret: Secret, denylist: Denylist) -> Self {
        Self {
            secret,
            denylist,
            tally: Tally::new(),
            clients: Mutex::default(),
        }
    }

    /// Returns a pool that counts its traffic in `tally`.
    #[must_use]
    pub fn with_tally(mut self, tally: Tally) -> Self {
        self.tally = tally;
        self
    }

    /// Calls the daemon at `addr` and waits at most `limit` for its response.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is unreachable or does not respond in time. The call may have taken
    /// effect nevertheless.
    pub async fn call<T, F>(&self, addr: SocketAddr, limit: Duration, call: F) -> io::Result<T>
    where
        F: AsyncFnOnce(PeerClient, Context) -> Result<T, RpcError>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let client = timeout(limit, self.client(addr)).await??;
        let outcome = call(client, context).await;
        outcome.map_err(|error| {
            self.drop_client(addr);
            io::Error::other(error)
        })
    }

    async fn client(&self, addr: SocketAddr) -> io::Result<PeerClient> {
        if !self.denylist.allows(addr) {
            self.drop_client(addr);
            return Err(io::ErrorKind::HostUnreachable.into());
        }
        if let Some(client) = self.lock().get(&addr) {
            return Ok(client.clone());
        }
        let channel = channel::connect(addr, &self.secret, self.tally.channel()).await?;
        let client = PeerClient::new(Config::default(), channel).spawn();
        self.lock().insert(addr, client.clone());
        Ok(client)
    }

    fn drop_client(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
