//! Processing of a request from arrival to response.

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
use crate::forward::Forward;
use crate::framing::Framing;
use crate::headers;
use crate::limit::Limiter;
use crate::lookup;
use crate::measure::Measurement;
use crate::metrics::Metrics;
use crate::observe::Record;
use crate::operation::{self, Decision, Operations};
use crate::pool::Pools;
use crate::presented;
use crate::quarantine::Quarantine;
use crate::refusal::{Refusal, Refused};
use crate::retries::Retries;
use crate::snapshot::Snapshot;
use crate::upload::{BufferBudget, Upload};
use crate::upstream::Body;

/// State shared by all connections of a gate.
#[derive(Debug)]
pub struct Proxy {
    /// Name of the gate's VM.
    pub vm: String,
    /// Zone of the gate.
    pub zone: String,
    /// Limits on resources used by callers.
    pub limits: Limits,
    /// Current view of the fleet.
    pub snapshot: ArcSwap<Snapshot>,
    /// Clock.
    pub timer: Service,
    /// Hasher for keys.
    pub hasher: Hasher,
    /// Addresses that must not be connected to.
    pub denylist: Denylist,
    /// Backend servers.
    pub backends: Registry,
    /// Load balancing pools by service and zone.
    pub pools: Pools,
    /// Retry budgets.
    pub retries: Retries,
    /// Rate limiter for workspaces.
    pub limiter: Limiter,
    /// Requests that are quarantined because they crash backend servers.
    pub quarantine: Quarantine,
    /// Operations that must not run twice.
    pub operations: Operations,
    /// Recorder of request results for the burn report.
    pub recorder: Mutex<Recorder>,
    /// Limit on the total size of buffered request bodies.
    pub buffer_budget: BufferBudget,
    /// Metrics.
    pub metrics: Metrics,
    /// Number of requests in flight.
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
        denylist: Denylist,
    ) -> eyre::Result<Self> {
        Ok(Self {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            limits: config.limits,
            snapshot: ArcSwap::default(),
            pools: Pools::new(timer.clone()),
            timer,
            hasher,
            denylist,
            backends: Registry::default(),
            retries: Retries::default(),
            quarantine: Quarantine::default(),
            operations,
            limiter,
            recorder: Mutex::default(),
            buffer_budget: BufferBudget::default(),
            metrics: Metrics::new(config.metrics, &config.vm, &config.zone)?,
            in_flight: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        })
    }

    /// Handles one request or lookup.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: IpAddr,
        framing: Framing,
    ) -> Response<Body> {
        let leaving = self.leaving.load(Ordering::Relaxed);
        let mut response = if framing == Framing::Clear && request.uri().path() == lookup::PATH {
            self.lookup(client_of(request.uri()).unwrap_or(peer), leaving)
        } else {
            let mut record = Record::new(request_id());
            let result = self.serve(&mut record, request, framing).await;
            record.finish(&self, result.as_ref().err());
            result.unwrap_or_else(|refused| refused.response(&record.id))
        };
        if leaving || self.leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn lookup(&self, client: IpAddr, leaving: bool) -> Response<Body> {
        let leaving = leaving.then_some(self.vm.as_str());
        lookup::response(&self.snapshot.load(), &self.zone, leaving, client)
    }

    /// Processes a request: validation, key check and admission, then [`Self::run`].
    async fn serve(
        self: &Arc<Self>,
        record: &mut Record,
        request: Request<Incoming>,
        framing: Framing,
    ) -> Result<Response<Body>, Refused> {
        let guard = InFlight::new(self);
        let (mut parts, body) = request.into_parts();
        check::validate(&mut parts, framing)?;
        let presented = presented::take_key(&mut parts)?;
        let admitted = admit(self, record, &parts, &presented)?;
        record.service = Some(Arc::clone(&admitted.route.service));
        headers::prepare(&mut parts.headers, &admitted.id, admitted.workspace());
        let mut measurement = Measurement::new(self, &admitted);
        let response = self.run(&admitted, parts, body, guard).await;
        measurement.finish(response.as_ref());
        response
    }

    /// Processes an admitted request: rate limit, body, quarantine, operation and forwarding to
    /// backend servers.
    async fn run(
        self: &Arc<Self>,
        admitted: &Admitted,
        parts: Parts,
        body: Incoming,
        guard: InFlight,
    ) -> Result<Response<Body>, Refused> {
        let rate_check = self.limiter.admit(admitted.workspace(), &self.timer);
        rate_check.await?;
        let limit = admitted.route.spec.body_limit;
        let upload = Upload::receive(body, limit, &self.limits, &self.buffer_budget).await?;
        let body_identity = operation::identify_body(&upload, &parts);
        let fingerprint = fingerprint(admitted, &parts, &body_identity);
        if self.quarantine.is_quarantined(&fingerprint) {
            return Err(Refusal::Quarantined.into());
        }
        let operation = match operation::begin(self, admitted, &parts, &body_identity).await? {
            Decision::Idempotent => None,
            Decision::Run(operation) => Some(operation),
            Decision::Respond(response) => return Ok(response),
        };
        let forward = Forward::new(self, admitted, parts, upload, fingerprint);
        let Some(operation) = operation else {
            return forward.run(guard).await;
        };
        operation.note_sent();
        match forward.run(guard).await {
            Ok(response) => Ok(operation.keep_response(response).await),
            Err(refused) => {
                operation.note_refusal(refused);
                Err(refused)
            }
        }
    }
}

fn fingerprint(admitted: &Admitted, parts: &Parts, body_identity: &[u8]) -> Fingerprint {
    let workspace = admitted.workspace().unwrap_or_default();
    let target = parts.uri.path_and_query();
    let target = target.map_or("", http::uri::PathAndQuery::as_str);
    Fingerprint::new(workspace, parts.method.as_str(), target, body_identity)
}

/// Returns a new random request ID.
pub fn request_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

fn client_of(uri: &Uri) -> Option<IpAddr> {
    let mut pairs = uri.query()?.split('&');
    pairs.find_map(|pair| pair.strip_prefix("client=")?.parse().ok())
}
