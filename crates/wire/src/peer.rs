//! RPC service of control daemons for gates, other control daemons and operators.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::burn::Recording;
use crate::channel;
use crate::claim;
use crate::handover::Handover;
use crate::id::Vm;
use crate::keyring::Keyring;
use crate::lend::{Grants, Requests, ReserveRequest};
use crate::report::Report;
use crate::secret::Secret;
use crate::status::Status;
use crate::sync::{Probe, Receipt, Request as SyncRequest, Response as SyncResponse};
use crate::tally::{ChannelTally, Tally};
use crate::view::View;

/// Calls served by a control daemon.
#[tarpc::service]
pub trait Peer {
    /// Exchanges state between control daemons.
    async fn sync(request: SyncRequest) -> SyncResponse;
    /// Receives a gate's report and returns the state that the gate lacks.
    async fn report(report: Report) -> View;
    /// Receives key records directly from an operator or another control daemon.
    async fn withdraw(keyring: Keyring) -> Receipt;
    /// Checks whether the daemon is alive.
    async fn probe(probe: Probe) -> Probe;
    /// Makes the daemon probe `target` and returns whether `target` responded.
    async fn probe_for(target: SocketAddr) -> bool;
    /// Claims ownership of an operation that must run at most once.
    async fn claim(request: claim::Request) -> claim::Response;
    /// Receives the operations of a stopping gate, passes them to another VM and returns whether a
    /// VM has them.
    async fn hand_over(handover: Handover) -> bool;
    /// Takes over the operations of another VM's gate and returns the VM whose gate will serve them.
    async fn adopt(handover: Handover) -> Option<Vm>;
    /// Returns the VM that took over the operations of a stopped gate.
    async fn successor(owner: Vm) -> Option<Vm>;
    /// Requests shares from a leader.
    async fn lend(requests: Requests) -> Grants;
    /// Takes one token from the reserve of the fleet leader and returns whether a token was
    /// granted.
    async fn take_from_reserve(request: ReserveRequest) -> bool;
    /// Returns the daemon's status.
    async fn status() -> Status;
    /// Returns the recorded outcomes of requests at the daemon's gate.
    async fn burn() -> Recording;
}

/// Handles the calls of [`Peer`]. Calls that are not async return immediately, from the daemon's
/// state.
pub trait Handler: Send + Sync + 'static {
    /// Handles [`Peer::sync`].
    fn sync(&self, request: SyncRequest) -> SyncResponse;
    /// Handles [`Peer::report`].
    fn report(&self, report: Report) -> View;
    /// Handles [`Peer::withdraw`].
    fn withdraw(&self, keyring: Keyring) -> Receipt;
    /// Handles [`Peer::probe`].
    fn probe(&self, probe: Probe) -> Probe;
    /// Handles [`Peer::probe_for`].
    fn probe_for(&self, target: SocketAddr) -> impl Future<Output = bool> + Send;
    /// Handles [`Peer::claim`].
    fn claim(&self, request: claim::Request) -> impl Future<Output = claim::Response> + Send;
    /// Handles [`Peer::hand_over`].
    fn hand_over(&self, handover: Handover) -> impl Future<Output = bool> + Send;
    /// Handles [`Peer::adopt`].
    fn adopt(&self, handover: Handover) -> impl Future<Output = Option<Vm>> + Send;
    /// Handles [`Peer::successor`].
    fn successor(&self, owner: Vm) -> impl Future<Output = Option<Vm>> + Send;
    /// Handles [`Peer::lend`].
    fn lend(&self, requests: &Requests) -> Grants;
    /// Handles [`Peer::take_from_reserve`].
    fn take_from_reserve(&self, request: &ReserveRequest) -> bool;
    /// Handles [`Peer::status`].
    fn status(&self) -> Status;
    /// Handles [`Peer::burn`].
    fn burn(&self) -> Recording;
}

#[derive(Debug)]
struct Service<H> {
    handler: Arc<H>,
    tally: ChannelTally,
}

impl<H> Clone for Service<H> {
    fn clone(&self) -> Self {
        Self {
            handler: Arc::clone(&self.handler),
            tally: self.tally.clone(),
        }
    }
}

impl<H: Handler> Peer for Service<H> {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncResponse {
        self.handler.sync(request)
    }

    async fn report(self, _: Context, report: Report) -> View {
        self.tally.mark_gate();
        self.handler.report(report)
    }

    async fn withdraw(self, _: Context, keyring: Keyring) -> Receipt {
        self.handler.withdraw(keyring)
    }

    async fn probe(self, _: Context, probe: Probe) -> Probe {
        self.handler.probe(probe)
    }

    async fn probe_for(self, _: Context, target: SocketAddr) -> bool {
        self.handler.probe_for(target).await
    }

    async fn claim(self, _: Context, request: claim::Request) -> claim::Response {
        self.handler.claim(request).await
    }

    async fn hand_over(self, _: Context, handover: Handover) -> bool {
        self.handler.hand_over(handover).await
    }

    async fn adopt(self, _: Context, handover: Handover) -> Option<Vm> {
        self.handler.adopt(handover).await
    }

    async fn successor(self, _: Context, owner: Vm) -> Option<Vm> {
        self.handler.successor(owner).await
    }

    async fn lend(self, _: Context, requests: Requests) -> Grants {
        self.handler.lend(&requests)
    }

    async fn take_from_reserve(self, _: Context, request: ReserveRequest) -> bool {
        self.handler.take_from_reserve(&request)
    }

    async fn status(self, _: Context) -> Status {
        self.handler.status()
    }

    async fn burn(self, _: Context) -> Recording {
        self.handler.burn()
    }
}

/// Accepts connections on `listener` and serves them until the future is dropped. A connection
/// whose handshake fails is closed without a response. Counts bytes in `tally`.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    secret: Secret,
    handler: Arc<H>,
    tally: Tally,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let service = Service {
                        handler: Arc::clone(&handler),
                        tally: tally.channel(),
                    };
                    connections.spawn(serve_connection(stream, secret.clone(), service));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, secret: Secret, service: Service<H>) {
    let tally = service.tally.clone();
    let accepted = channel::accept::<ClientMessage<PeerRequest>, Response<PeerResponse>>(
        stream, &secret, tally,
    );
    let Ok(channel) = accepted.await else {
        return;
    };
    BaseChannel::with_defaults(channel)
        .execute(service.serve())
        .for_each_concurrent(None, |response| response)
        .await;
}
