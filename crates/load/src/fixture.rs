//! A gate with a control daemon that serves a fixed view.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::bail;
use gate::{Config, Gate, Limits};
use key::{Hasher, Token};
use timer::Service;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::burn::Recording;
use wire::claim;
use wire::handover::Handover;
use wire::keyring::{Keyring, Record};
use wire::lend::{
    FULL_SHARE, Grant, Grants, LeaderAddr, Requests, ReserveRequest, ResourceGrant, ResourceRequest,
};
use wire::peer::{self, Handler};
use wire::report::Report;
use wire::secret::SECRET_BYTES;
use wire::status::Status;
use wire::sync::{Probe, Receipt, Request, Response};
use wire::view::{self, View};
use wire::{Denylist, Secret, Tally, Vm};

/// Workspace that the fixture's key belongs to.
pub const WORKSPACE: &str = "alder";

/// Zone of the fixture's gate.
pub const ZONE: &str = "north-a";

/// Maximum request body size on the routes of [`text`], in bytes.
pub const BODY_LIMIT: u64 = 2 << 30;

/// Maximum duration of a gate's graceful shutdown, in milliseconds.
const SHUTDOWN_MS: u64 = 60_000;

/// Interval between checks that the gate is ready, in milliseconds.
const READY_POLL_MS: u64 = 10;

/// Maximum number of checks that the gate is ready.
const MAX_READY_POLLS: usize = 1_000;

/// Lease term of the shares granted to the gate, in milliseconds.
const TERM_MS: u64 = 60_000;

/// A gate, a workspace key and a control daemon that serves a fixed view.
#[derive(Debug)]
pub struct Fixture {
    /// The gate.
    pub gate: Gate,
    /// A key of [`WORKSPACE`].
    pub key: Token,
    control: Control,
}

/// A control daemon that serves a fixed view. Stops when dropped.
#[derive(Debug)]
pub struct Control {
    /// Address that gates connect to.
    pub addr: SocketAddr,
    /// The fleet's secret.
    pub secret: [u8; SECRET_BYTES],
    /// A key of [`WORKSPACE`].
    pub key: Token,
    handler: Arc<FixedControl>,
    serving: JoinHandle<()>,
}

#[derive(Debug)]
struct FixedControl {
    view: Mutex<View>,
}

impl Control {
    /// Starts a control daemon that serves the configuration `text`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(text: &str) -> eyre::Result<Self> {
        let bytes = rand::random();
        let secret = Secret::new(bytes);
        let key = Token::new(&rand::random());
        let listener = TcpListener::bind(any_port()).await?;
        let addr = listener.local_addr()?;
        let handler = Arc::new(FixedControl {
            view: Mutex::new(view(text, &key, &secret, addr)),
        });
        let serving = peer::serve(listener, secret, Arc::clone(&handler), Tally::new());
        Ok(Self {
            addr,
            secret: bytes,
            key,
            handler,
            serving: tokio::spawn(serving),
        })
    }

    /// Returns the settings of a gate that connects to this control daemon.
    #[must_use]
    pub fn gate_config(&self, limits: Limits, metrics: Option<SocketAddr>) -> Config {
        Config {
            vm: format!("{ZONE}-vm0"),
            zone: ZONE.to_owned(),
            listen: any_port(),
            control: self.addr,
            secret_file: "unused".into(),
            log_level: "info".to_owned(),
            metrics,
            limits,
            shutdown_ms: SHUTDOWN_MS,
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Fixture {
    /// Starts a gate in [`ZONE`] with the configuration `text`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the gate does not apply the configuration.
    pub async fn start(text: &str, limits: Limits) -> eyre::Result<Self> {
        Self::start_with(text, limits, None).await
    }

    /// Starts a gate like [`Fixture::start`] and sets its metrics address to `metrics`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the gate does not apply the configuration.
    pub async fn start_with(
        text: &str,
        limits: Limits,
        metrics: Option<SocketAddr>,
    ) -> eyre::Result<Self> {
        let control = Control::start(text).await?;
        let config = control.gate_config(limits, metrics);
        let secret = Secret::new(control.secret);
        let gate = Gate::start(&config, secret, Service::new(), Denylist::new()).await?;
        let fixture = Self {
            gate,
            key: control.key.clone(),
            control,
        };
        fixture.wait_for(1).await?;
        Ok(fixture)
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.gate.addr()
    }

    /// Replaces the configuration and waits until the gate applies it.
    ///
    /// # Errors
    ///
    /// Fails if the gate does not apply the configuration.
    pub async fn apply(&self, text: &str) -> eyre::Result<()> {
        let revision = self.control.handler.apply(text);
        self.wait_for(revision).await
    }

    /// Stops the gate gracefully and returns the number of interrupted requests.
    pub async fn stop(self) -> u64 {
        self.gate.stop().await
    }

    async fn wait_for(&self, revision: u64) -> eyre::Result<()> {
        for _ in 0..MAX_READY_POLLS {
            let ready = self.gate.revision() >= revision;
            // Also sleeps once after the configuration is applied, so that the workspace's token
            // bucket fills.
            sleep(Duration::from_millis(READY_POLL_MS)).await;
            if ready {
                return Ok(());
            }
        }
        bail!("the gate did not apply revision {revision}")
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl FixedControl {
    fn apply(&self, text: &str) -> u64 {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let config = view.config.get_or_insert_default();
        config.revision += 1;
        text.clone_into(&mut config.text);
        config.revision
    }
}

impl Handler for FixedControl {
    fn sync(&self, _: Request) -> Response {
        Response::default()
    }

    fn report(&self, report: Report) -> View {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = view.clone();
        view.config = view
            .config
            .filter(|config| config.revision > report.versions.revision);
        view.grants = report
            .share_requests
            .into_iter()
            .map(grant_full_share)
            .collect();
        view
    }

    fn lend(&self, _: &Requests) -> Grants {
        Grants::default()
    }

    fn take_from_reserve(&self, _: &ReserveRequest) -> bool {
        true
    }

    fn withdraw(&self, _: Keyring) -> Receipt {
        Receipt::default()
    }

    fn probe(&self, _: Probe) -> Probe {
        Probe::default()
    }

    async fn probe_for(&self, _: SocketAddr) -> bool {
        false
    }

    async fn hand_over(&self, _: Handover) -> bool {
        false
    }

    async fn adopt(&self, _: Handover) -> Option<Vm> {
        None
    }

    async fn successor(&self, _: Vm) -> Option<Vm> {
        None
    }

    async fn claim(&self, request: claim::Request) -> claim::Response {
        claim::Response::Owner(request.from)
    }

    fn status(&self) -> Status {
        Status::default()
    }

    fn burn(&self) -> Recording {
        Recording::default()
    }
}

/// Grants the full share of the resource.
fn grant_full_share(resource_request: ResourceRequest) -> ResourceGrant {
    ResourceGrant {
        resource: resource_request.resource,
        grant: Grant {
            seq: resource_request.request.seq,
            amount: FULL_SHARE,
            term_ms: TERM_MS,
        },
    }
}

fn view(text: &str, key: &Token, secret: &Secret, peer: SocketAddr) -> View {
    let record = Record {
        id: "fixture".to_owned(),
        workspace: WORKSPACE.to_owned(),
        hash: Hasher::new(secret).hash(key.reveal().as_bytes()),
        withdrawn: false,
    };
    View {
        control: Vm::new("fixture", 1),
        config: Some(view::Config {
            revision: 1,
            text: text.to_owned(),
        }),
        keys: Some(Keyring {
            records: vec![record],
        }),
        keys_age_ms: Some(0),
        leader: Some(LeaderAddr { epoch: 1, peer }),
        ..View::default()
    }
}

/// Returns a configuration with the service `reader` on `backends` in [`ZONE`]. Each backend server
/// runs up to `slots` requests concurrently. Responses must begin within `deadline_ms`
/// milliseconds.
///
/// `GET` on `/reader/public`, `/bytes` and `/cut` needs no key. `GET` and `PUT` on `/reader` may be
/// retried, `POST` may not.
#[must_use]
pub fn text(backends: &[SocketAddr], slots: u32, deadline_ms: u64) -> String {
    let addrs: Vec<String> = backends.iter().map(|addr| format!("\"{addr}\"")).collect();
    let route = |path: &str, methods: &str, access: &str, repeat: &str| {
        format!(
            "[[route]]\npath = \"{path}\"\nmethods = [{methods}]\nservice = \"reader\"\n\
             access = \"{access}\"\nrepeat = \"{repeat}\"\nbody_limit = {BODY_LIMIT}\n\
             deadline_ms = {deadline_ms}\n"
        )
    };
    [
        "name = \"fixture\"\n[steering]\nlookup_ttl_ms = 100\n".to_owned(),
        format!("[[region]]\nname = \"north\"\n[[zone]]\nname = \"{ZONE}\"\nregion = \"north\"\n"),
        format!("[[service]]\nname = \"reader\"\nslots = {slots}\n"),
        route("/reader/public", "\"GET\"", "open", "safe"),
        route("/reader", "\"GET\", \"PUT\"", "keyed", "safe"),
        route("/reader", "\"POST\"", "keyed", "once"),
        route("/bytes", "\"GET\"", "open", "safe"),
        route("/cut", "\"GET\"", "open", "safe"),
        format!(
            "[[backend]]\nservice = \"reader\"\nzone = \"{ZONE}\"\naddrs = [{}]\n",
            addrs.join(", ")
        ),
        format!("[[workspace]]\nname = \"{WORKSPACE}\"\nrate = 100000.0\nburst = 100000.0\n"),
    ]
    .concat()
}
