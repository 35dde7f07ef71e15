//! Startup and shutdown of a control daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use event::Event;
use eyre::WrapErr;
use store::{Meter, Purpose};
use timer::Service;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use wire::peer::Handler as _;
use wire::status::Status;
use wire::view::{Entry, MemberState};
use wire::{Denylist, Pool, Secret, Tally, Vm, peer};

use crate::claims::Claims;
use crate::config::Config;
use crate::exchange;
use crate::handler::Shared;
use crate::lending;
use crate::platform::Platform;
use crate::probe;
use crate::state::State;

/// A running control daemon.
#[derive(Debug)]
pub struct Control {
    addr: SocketAddr,
    name: String,
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<()>,
    leases: JoinHandle<()>,
    shared: Arc<Shared>,
}

impl Control {
    /// Starts a control daemon on the current runtime.
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
        let listener = TcpListener::bind(config.peer)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", config.peer))?;
        let addr = listener.local_addr()?;
        let vm = Vm::new(&config.vm, incarnation());
        let tally = Tally::new();
        let meter = Arc::new(Meter::new(timer.clone()));
        let pool = Arc::new(Pool::new(secret.clone(), denylist).with_tally(tally.clone()));
        let platform = Platform::new(&config.platform, Arc::clone(&meter));
        let shared = Arc::new(Shared::new(
            State::new(vm, &config.zone, timer.now()),
            timer,
            meter,
            tally.clone(),
            Arc::clone(&pool),
            Claims::new(platform.client(Purpose::Claim)),
        ));
        let stopping = Arc::new(AtomicBool::new(false));
        let leases = platform.start(&shared, &stopping);
        let seeds = config.seeds.iter().map(|addr| seed(*addr)).collect();
        let mut tasks = JoinSet::new();
        tasks.spawn(exchange::run(Arc::clone(&shared), Arc::clone(&pool), seeds));
        tasks.spawn(probe::run(Arc::clone(&shared), Arc::clone(&pool)));
        tasks.spawn(lending::run(Arc::clone(&shared), pool));
        tasks.spawn(peer::serve(listener, secret, Arc::clone(&shared), tally));
        event::emit(&Event::ControlStarted {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            peer: addr,
        });
        Ok(Self {
            addr,
            name: config.vm.clone(),
            stopping,
            tasks,
            leases,
            shared,
        })
    }

    /// Returns the status that is shown to operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// Returns the address that peers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the daemon as a crash would: releases no lease and notifies no peer.
    pub async fn kill(mut self) {
        self.shared.abandon();
        self.stopping.store(true, Ordering::Relaxed);
        self.tasks.shutdown().await;
    }

    /// Stops the daemon and releases its leases, so that another daemon can acquire them at once.
    pub async fn stop(mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        let leases = self.leases;
        let _ = tokio::task::spawn_blocking(move || leases.join()).await;
        self.tasks.shutdown().await;
        event::emit(&Event::ControlStopped { vm: self.name });
    }
}

/// Returns an entry for a daemon whose name and zone are not known yet.
fn seed(addr: SocketAddr) -> Entry {
    Entry {
        name: addr.to_string(),
        zone: String::new(),
        gate: addr,
        peer: addr,
        state: MemberState::Live,
    }
}

fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
