//! Startup and shutdown of a gate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use event::Event;
use eyre::WrapErr;
use key::Hasher;
use rand::Rng as _;
use timer::Service;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use wire::{Denylist, Pool, Secret, Vm};

use crate::config::Config;
use crate::limit::Limiter;
use crate::link;
use crate::listener;
use crate::operation::Operations;
use crate::proxy::Proxy;

/// Time until every other gate omits a leaving VM from its lookup responses, in milliseconds.
const LEAVE_PROPAGATION_MS: u64 = 2_000;

/// A running gate.
#[derive(Debug)]
pub struct Gate {
    addr: SocketAddr,
    name: String,
    shutdown_ms: u64,
    proxy: Arc<Proxy>,
    stopping: watch::Sender<bool>,
    listener: JoinHandle<()>,
    link: JoinHandle<()>,
}

impl Gate {
    /// Starts a gate on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub async fn start(
        config: &Config,
        secret: Secret,
        timer: Service,
        denylist: Denylist,
    ) -> eyre::Result<Self> {
        let socket = TcpListener::bind(config.listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", config.listen))?;
        let addr = socket.local_addr()?;
        let vm = Vm::new(&config.vm, rand::rng().random());
        let claim_pool = Pool::new(secret.clone(), denylist.clone());
        let operations = Operations::new(vm.clone(), &secret, claim_pool, config.control)?;
        let pool = Arc::new(Pool::new(secret.clone(), denylist.clone()));
        let proxy = Arc::new(Proxy::new(
            config,
            Hasher::new(&secret),
            operations,
            Limiter::new(Arc::clone(&pool)),
            timer,
            denylist,
        )?);
        let (stopping, stop) = watch::channel(false);
        let listener = listener::run(socket, Arc::clone(&proxy), config.limits, stop);
        let link = link::run(Arc::clone(&proxy), pool, config.control, vm);
        event::emit(&Event::GateStarted {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            addr,
        });
        Ok(Self {
            addr,
            name: config.vm.clone(),
            shutdown_ms: config.shutdown_ms,
            proxy,
            stopping,
            listener: tokio::spawn(listener),
            link: tokio::spawn(link),
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the revision of the active configuration text, or zero before the first one arrives.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.proxy.snapshot.load().revision
    }

    /// Shuts the gate down gracefully: waits until cached lookups have expired, stops accepting
    /// connections, finishes the requests in flight and returns how many it had to abort.
    pub async fn stop(self) -> u64 {
        let in_flight = || self.proxy.in_flight.load(Ordering::Relaxed);
        self.proxy.leaving.store(true, Ordering::Relaxed);
        event::emit(&Event::GateLeaving {
            vm: self.name.clone(),
            in_flight: in_flight(),
        });
        sleep(Duration::from_millis(
            self.lookup_ttl_ms() + LEAVE_PROPAGATION_MS,
        ))
        .await;
        let _ = self.stopping.send(true);
        let limit = Duration::from_millis(self.shutdown_ms);
        let abort = self.listener.abort_handle();
        let finished = timeout(limit, self.listener).await.is_ok();
        let cut = if finished { 0 } else { in_flight() };
        abort.abort();
        self.proxy.operations.hand_over().await;
        self.link.abort();
        event::emit(&Event::GateStopped { vm: self.name, cut });
        cut
    }

    /// Stops the gate immediately, as if its process had been killed; for tests and drills.
    pub fn kill(self) {
        self.listener.abort();
        self.link.abort();
    }

    fn lookup_ttl_ms(&self) -> u64 {
        let snapshot = self.proxy.snapshot.load();
        let compiled = snapshot.compiled.as_ref();
        compiled.map_or(0, |compiled| compiled.text.steering.lookup_ttl_ms)
    }
}
