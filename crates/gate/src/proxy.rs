//! The way of one request.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use burn::Recorder;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, Uri};
use hyper::body::Incoming;
use key::Hasher;
use killer::Fingerprint;
use rand::Rng as _;
use timer::Service;
use wire::Denylist;

use crate::admit::{Admitted, admit};
use crate::backend::Registry;
use crate::check;
use crate::config::{Config, Limits};
use crate::entries;
use crate::forward::Forward;
use crate::framing::Framing;
use crate::headers;
use crate::limit::Limiter;
use crate::metrics::Metrics;
use crate::observe::Observed;
use crate::operation::{self, Operations, Step};
use crate::pool::Pools;
use crate::presented;
use crate::quarantine::Quarantine;
use crate::refusal::{Refusal, Refused};
use crate::retries::Retries;
use crate::snapshot::Snapshot;
use crate::upload::{Kept, Upload};
use crate::upstream::Body;
use crate::watch::Watch;

/// State that all connections of a gate share.
#[derive(Debug)]
pub struct Proxy {
    /// Name of the gate's VM.
    pub vm: String,
    /// Zone of the gate.
    pub zone: String,
    /// Bounds on what callers may hold.
    pub limits: Limits,
    /// Current view.
    pub snapshot: ArcSwap<Snapshot>,
    /// Clock.
    pub timer: Service,
    /// Hashes keys.
    pub hasher: Hasher,
    /// Addresses that may be dialled.
    pub reach: Denylist,
    /// Backend servers.
    pub backends: Registry,
    /// What is known of the backend servers by service and zone.
    pub pools: Pools,
    /// Budgets of retries.
    pub retries: Retries,
    /// Holds workspaces to their rates.
    pub limiter: Limiter,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Operations that must not repeat.
    pub operations: Operations,
    /// Counts how requests fare.
    pub recorder: Mutex<Recorder>,
    /// Small bodies that are kept.
    pub kept: Kept,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// True once the graceful shutdown has begun.
    pub leaving: AtomicBool,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Proxy>);

impl InFlight {
    fn new(proxy: &Arc<Proxy>) -> Self {
        proxy.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(proxy))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Proxy {
    /// Creates the shared state of a gate.
    ///
    /// # Errors
    ///
    /// Fails if no socket for metrics can be opened.
    pub fn new(
        config: &Config,
        hasher: Hasher,
        operations: Operations,
        limiter: Limiter,
        timer: Service,
        reach: Denylist,
    ) -> eyre::Result<Self> {
        Ok(Self {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            limits: config.limits,
            snapshot: ArcSwap::default(),
            pools: Pools::new(timer.clone()),
            timer,
            hasher,
            reach,
            backends: Registry::default(),
            retries: Retries::default(),
            quarantine: Quarantine::default(),
            operations,
            limiter,
            recorder: Mutex::default(),
            kept: Kept::default(),
            metrics: Metrics::new(config.metrics, &config.vm, &config.zone)?,
            in_flight: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        })
    }

    /// Answers one request.
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: IpAddr,
        framing: Framing,
    ) -> Response<Body> {
        let leaving = self.leaving.load(Ordering::Relaxed);
        let mut answer = if framing == Framing::Clear && request.uri().path() == entries::PATH {
            self.look_up(client_of(request.uri()).unwrap_or(peer), leaving)
        } else {
            let mut observed = Observed::new(request_id());
            let served = self.serve(&mut observed, request, framing).await;
            observed.finish(&self, served.as_ref().err());
            served.unwrap_or_else(|refused| refused.answer(&observed.id))
        };
        if leaving || self.leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    fn look_up(&self, client: IpAddr, leaving: bool) -> Response<Body> {
        let leaving = leaving.then_some(self.vm.as_str());
        entries::answer(&self.snapshot.load(), &self.zone, leaving, client)
    }

    /// Takes a request through all steps: its form, its key, its workspace's share, its body and
    /// the backend servers.
    async fn serve(
        self: &Arc<Self>,
        observed: &mut Observed,
        request: Request<Incoming>,
        framing: Framing,
    ) -> Result<Response<Body>, Refused> {
        let guard = InFlight::new(self);
        let (mut parts, body) = request.into_parts();
        check::form(&mut parts, framing)?;
        let presented = presented::take(&mut parts)?;
        let admitted = admit(self, observed, &parts, &presented)?;
        observed.service = Some(Arc::clone(&admitted.route.service));
        headers::prepare(&mut parts.headers, &admitted.id, admitted.workspace());
        let mut watch = Watch::new(self, &admitted);
        let answer = self.run(&admitted, parts, body, guard).await;
        watch.end(answer.as_ref());
        answer
    }

    /// Takes an admitted request through the steps that cost something.
    async fn run(
        self: &Arc<Self>,
        admitted: &Admitted,
        parts: Parts,
        body: Incoming,
        guard: InFlight,
    ) -> Result<Response<Body>, Refused> {
        let limited = self.limiter.admit(admitted.workspace(), &self.timer);
        limited.await?;
        let limit = admitted.route.spec.body_limit;
        let upload = Upload::receive(body, limit, &self.limits, &self.kept).await?;
        let described = operation::describe(&upload, &parts);
        let fingerprint = fingerprint(admitted, &parts, &described);
        if self.quarantine.holds(&fingerprint) {
            return Err(Refusal::Quarantined.into());
        }
        let operation = match operation::begin(self, admitted, &parts, &described).await? {
            Step::Free => None,
            Step::Run(operation) => Some(operation),
            Step::Answered(answer) => return Ok(answer),
        };
        let forward = Forward::new(self, admitted, parts, upload, fingerprint);
        let Some(operation) = operation else {
            return forward.run(guard).await;
        };
        operation.sent();
        match forward.run(guard).await {
            Ok(answer) => Ok(operation.keep(answer).await),
            Err(refused) => {
                operation.refuse(refused);
                Err(refused)
            }
        }
    }
}

fn fingerprint(admitted: &Admitted, parts: &Parts, described: &[u8]) -> Fingerprint {
    let workspace = admitted.workspace().unwrap_or_default();
    let target = parts.uri.path_and_query();
    let target = target.map_or("", http::uri::PathAndQuery::as_str);
    Fingerprint::new(workspace, parts.method.as_str(), target, described)
}

/// Returns a new request number.
pub fn request_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

fn client_of(uri: &Uri) -> Option<IpAddr> {
    let mut pairs = uri.query()?.split('&');
    pairs.find_map(|pair| pair.strip_prefix("client=")?.parse().ok())
}
