//! The service that control daemons offer to gates, to each other and to operators.

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
use crate::tally::{Link, Tally};
use crate::view::View;

/// Calls that a control daemon answers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges state between control daemons.
    async fn sync(request: SyncRequest) -> SyncResponse;
    /// Takes a gate's report and returns what it lacks.
    async fn report(report: Report) -> View;
    /// Takes key records straight from an operator or another control daemon.
    async fn withdraw(keyring: Keyring) -> Receipt;
    /// Asks whether the daemon is alive.
    async fn probe(probe: Probe) -> Probe;
    /// Asks the daemon to probe `target` and returns whether that answered.
    async fn probe_for(target: SocketAddr) -> bool;
    /// Asks for the ownership of an operation that must not repeat.
    async fn claim(request: claim::Request) -> claim::Response;
    /// Takes the operations of a gate that stops, to be kept by another VM, and returns whether
    /// one has them.
    async fn hand_over(handover: Handover) -> bool;
    /// Takes the operations of another VM's gate and returns whose gate will answer for them.
    async fn adopt(handover: Handover) -> Option<Vm>;
    /// Asks which VM answers for the operations of a gate that has stopped.
    async fn successor(owner: Vm) -> Option<Vm>;
    /// Asks a lead for shares.
    async fn lend(requests: Requests) -> Grants;
    /// Asks the lead of the fleet for one request of its reserve, and returns whether it gave
    /// one.
    async fn take_from_reserve(request: ReserveRequest) -> bool;
    /// Describes the daemon.
    async fn status() -> Status;
    /// Returns how requests fared at the daemon's gate.
    async fn burn() -> Recording;
}

/// Answers of a control daemon, given at once from its state.
pub trait Handler: Send + Sync + 'static {
    /// Answers [`Peer::sync`].
    fn sync(&self, request: SyncRequest) -> SyncResponse;
    /// Answers [`Peer::report`].
    fn report(&self, report: Report) -> View;
    /// Answers [`Peer::withdraw`].
    fn withdraw(&self, keyring: Keyring) -> Receipt;
    /// Answers [`Peer::probe`].
    fn probe(&self, probe: Probe) -> Probe;
    /// Answers [`Peer::probe_for`].
    fn probe_for(&self, target: SocketAddr) -> impl Future<Output = bool> + Send;
    /// Answers [`Peer::claim`].
    fn claim(&self, request: claim::Request) -> impl Future<Output = claim::Response> + Send;
    /// Answers [`Peer::hand_over`].
    fn hand_over(&self, handover: Handover) -> impl Future<Output = bool> + Send;
    /// Answers [`Peer::adopt`].
    fn adopt(&self, handover: Handover) -> impl Future<Output = Option<Vm>> + Send;
    /// Answers [`Peer::successor`].
    fn successor(&self, owner: Vm) -> impl Future<Output = Option<Vm>> + Send;
    /// Answers [`Peer::lend`].
    fn lend(&self, requests: &Requests) -> Grants;
    /// Answers [`Peer::take_from_reserve`].
    fn take_from_reserve(&self, request: &ReserveRequest) -> bool;
    /// Answers [`Peer::status`].
    fn status(&self) -> Status;
    /// Answers [`Peer::burn`].
    fn burn(&self) -> Recording;
}

#[derive(Debug)]
struct Service<H> {
    handler: Arc<H>,
    link: Link,
}

impl<H> Clone for Service<H> {
    fn clone(&self) -> Self {
        Self {
            handler: Arc::clone(&self.handler),
            link: self.link.clone(),
        }
    }
}

impl<H: Handler> Peer for Service<H> {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncResponse {
        self.handler.sync(request)
    }

    async fn report(self, _: Context, report: Report) -> View {
        self.link.mark_gate();
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

/// Accepts connections on `listener` and serves them until dropped. A connection whose
/// handshake fails is closed without an answer. Bytes are counted in `tally`.
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
                        link: tally.channel(),
                    };
                    connections.spawn(answer(stream, secret.clone(), service));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn answer<H: Handler>(stream: TcpStream, secret: Secret, service: Service<H>) {
    let link = service.link.clone();
    let accepted = channel::accept::<ClientMessage<PeerRequest>, Response<PeerResponse>>(
        stream, &secret, link,
    );
    let Ok(channel) = accepted.await else {
        return;
    };
    BaseChannel::with_defaults(channel)
        .execute(service.serve())
        .for_each_concurrent(None, |reply| reply)
        .await;
}
