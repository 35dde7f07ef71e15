//! Operations that must not repeat: which VM may run one, and what became of it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use event::Event;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, LOCATION};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use once::{Decision, Ending, Id, MAX_STORED_BODY_BYTES, StoredResponse, Table, Ticket};
use text::model::Repeat;
use timer::Moment;
use wire::claim::{self, Request};
use wire::handover::{Handover, Numbered};
use wire::view::{Entry, MemberState};
use wire::{Pool, Secret, Vm};

use crate::admit::Admitted;
use crate::proxy::Proxy;
use crate::refusal::{Outcome, Refusal, Refused, full};
use crate::upload::Upload;
use crate::upstream::Body;

/// Header in which a caller names an operation.
const KEY_HEADER: &str = "idempotency-key";

/// Longest name of an operation, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Most operations that a gate remembers.
const MAX_OPERATIONS: usize = 200_000;

/// Operations that are handed over in one message.
const HANDOVER_OPERATIONS: usize = 256;

/// Longest time that handing one message over may take, in milliseconds.
const HANDOVER_MS: u64 = 8_000;

/// Longest time that a claim may take, in milliseconds.
const CLAIM_MS: u64 = 3_000;

/// What to do with a request for an operation.
#[derive(Debug)]
pub enum Step {
    /// It may repeat, so nothing has to be remembered.
    Free,
    /// Run it and say how it ended.
    Run(Operation),
    /// This is the answer.
    Answered(Response<Body>),
}

/// An operation that this gate alone may run, and only once. If it is dropped without a word on
/// how it ended, it may have run.
#[derive(Debug)]
pub struct Operation {
    table: Arc<Mutex<Table>>,
    ticket: Option<Ticket>,
}

/// The operations of a gate.
#[derive(Debug)]
pub struct Operations {
    /// This gate, as claims name it.
    owner: Vm,
    hasher: once::Hasher,
    table: Arc<Mutex<Table>>,
    pool: Pool,
    control: SocketAddr,
    /// Number of the latest handover that was taken.
    adopted: AtomicU64,
}

impl Operations {
    /// Creates the operations of the gate `owner`, which claims them through the control daemon
    /// at `control`.
    ///
    /// # Errors
    ///
    /// Fails if the chart of operations does not agree with the code.
    pub fn new(
        owner: Vm,
        secret: &Secret,
        pool: Pool,
        control: SocketAddr,
    ) -> Result<Self, chart::ChartError> {
        Ok(Self {
            owner,
            hasher: once::Hasher::new(secret),
            table: Arc::new(Mutex::new(Table::new(MAX_OPERATIONS)?)),
            pool,
            control,
            adopted: AtomicU64::new(0),
        })
    }

    /// Takes the operations of gates that have stopped.
    pub fn adopt(&self, adoptions: &[Numbered], now: Moment) {
        for adoption in adoptions {
            if adoption.number > self.adopted() {
                lock(&self.table).import(&adoption.handover.operations, now);
                self.adopted.store(adoption.number, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of the latest handover that was taken.
    #[must_use]
    pub fn adopted(&self) -> u64 {
        self.adopted.load(Ordering::Relaxed)
    }

    /// Hands the operations to another VM, which answers for them from then on. What cannot be
    /// handed over is unknown from then on.
    pub async fn hand_over(&self) {
        let operations = lock(&self.table).export();
        for part in operations.chunks(HANDOVER_OPERATIONS) {
            let handover = Handover {
                from: self.owner.clone(),
                operations: part.to_vec(),
            };
            let limit = Duration::from_millis(HANDOVER_MS);
            let handed = self
                .pool
                .call(self.control, limit, async |client, context| {
                    client.hand_over(context, handover).await
                });
            let handed = handed.await.unwrap_or(false);
            event::emit(&Event::OperationsHandedOver {
                operations: part.len() as u64,
                kept: handed,
            });
            if !handed {
                return;
            }
        }
    }

    async fn heir(&self, owner: &Vm) -> Option<Vm> {
        let owner = owner.clone();
        let limit = Duration::from_millis(CLAIM_MS);
        let heir = self
            .pool
            .call(self.control, limit, async |client, context| {
                client.successor(context, owner).await
            });
        heir.await.ok().flatten()
    }

    async fn claim(&self, id: Id, left_ms: u64) -> claim::Response {
        let ask = Request {
            from: self.owner.clone(),
            operation: id.0,
            relayed: false,
        };
        let limit = Duration::from_millis(left_ms.min(CLAIM_MS));
        let answer = self
            .pool
            .call(self.control, limit, async |client, context| {
                client.claim(context, ask).await
            });
        answer.await.unwrap_or(claim::Response::Unavailable)
    }
}

/// Decides whether this gate runs a request that must not repeat; `body` is what [`describe`]
/// says of its body.
///
/// # Errors
///
/// Says why it does not.
pub async fn begin(
    proxy: &Proxy,
    admitted: &Admitted,
    parts: &Parts,
    body: &[u8],
) -> Result<Step, Refused> {
    if admitted.route.spec.repeat == Repeat::Safe {
        return Ok(Step::Free);
    }
    let operations = &proxy.operations;
    let key = key(parts)?;
    let workspace = admitted.workspace().unwrap_or_default();
    let id = operations.hasher.id(workspace, key);
    if admitted.left_ms() == 0 {
        return Err(Refusal::DeadlinePassed.into());
    }
    let needs_claim = lock(&operations.table).needs_claim(&id);
    if needs_claim {
        match operations.claim(id, admitted.left_ms()).await {
            claim::Response::Owner(owner) if owner == operations.owner => {}
            claim::Response::Owner(owner) => {
                return elsewhere(proxy, admitted, parts, &owner).await;
            }
            claim::Response::Full => return Err(Refusal::OperationsFull.into()),
            claim::Response::Unavailable => return Err(Refusal::OperationUnclaimed.into()),
        }
    }
    let target = parts
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let fingerprint = operations
        .hasher
        .fingerprint(parts.method.as_str(), target, body);
    let begun = lock(&operations.table).begin(id, fingerprint, proxy.timer.now());
    match begin_outcome(&operations.table, begun)? {
        Begun::Run(operation) => Ok(Step::Run(operation)),
        Begun::Replay(answer) => replay(answer).map(Step::Answered),
    }
}

enum Begun {
    Run(Operation),
    Replay(StoredResponse),
}

fn begin_outcome(table: &Arc<Mutex<Table>>, begun: Decision) -> Result<Begun, Refused> {
    match begun {
        Decision::Run(ticket) => Ok(Begun::Run(Operation {
            table: Arc::clone(table),
            ticket: Some(ticket),
        })),
        Decision::Replay(answer) => Ok(Begun::Replay(answer)),
        Decision::Running => Err(Refused::unknown(Refusal::OperationRunning)),
        Decision::Unknown => Err(Refused::unknown(Refusal::OperationUnknown)),
        Decision::Mismatch => Err(Refusal::OperationMismatch.into()),
        Decision::Full => Err(Refusal::OperationsFull.into()),
    }
}

impl Operation {
    /// Notes that bytes of the request may leave from now on.
    pub fn sent(&self) {
        if let Some(ticket) = self.ticket {
            lock(&self.table).note_sent(ticket);
        }
    }

    /// Notes that the request was refused.
    pub fn refuse(mut self, refused: Refused) {
        self.end(match refused.outcome {
            Outcome::NotRun => Ending::NotRun,
            Outcome::Unknown | Outcome::Ran => Ending::Unknown,
        });
    }

    /// Keeps a backend server's answer for resends and returns it. A short one is received whole
    /// first, so that a caller that goes away loses nothing.
    pub async fn keep(mut self, answer: Response<Body>) -> Response<Body> {
        let (parts, body) = answer.into_parts();
        let content_type = parts.headers.get(CONTENT_TYPE);
        let content_type = content_type.map(|value| Bytes::copy_from_slice(value.as_bytes()));
        let status = parts.status.as_u16();
        let kept = |body| StoredResponse {
            status,
            content_type,
            body,
        };
        let short = body
            .size_hint()
            .exact()
            .or_else(|| announced(&parts.headers))
            .is_some_and(|length| length <= MAX_STORED_BODY_BYTES as u64);
        if !short {
            self.end(Ending::Answered(kept(None)));
            return Response::from_parts(parts, body);
        }
        match body.collect().await {
            Ok(whole) => {
                let bytes = whole.to_bytes();
                self.end(Ending::Answered(kept(Some(bytes.clone()))));
                Response::from_parts(parts, full(bytes))
            }
            Err(error) => {
                self.end(Ending::Answered(kept(None)));
                let cut = futures::stream::once(async move { Err(error) });
                Response::from_parts(parts, http_body_util::StreamBody::new(cut).boxed_unsync())
            }
        }
    }

    fn end(&mut self, ending: Ending) {
        if let Some(ticket) = self.ticket.take() {
            lock(&self.table).note_ended(ticket, ending);
        }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.end(Ending::Unknown);
    }
}

/// Returns the caller's name for the operation.
fn key(parts: &Parts) -> Result<&[u8], Refusal> {
    let mut keys = parts.headers.get_all(KEY_HEADER).iter();
    let key = keys.next().ok_or(Refusal::OperationKeyMissing)?.as_bytes();
    let valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && keys.next().is_none();
    valid.then_some(key).ok_or(Refusal::OperationKeyInvalid)
}

/// Returns what tells a body from another: its bytes, or the length of one that is streamed.
#[must_use]
pub fn describe(upload: &Upload, parts: &Parts) -> Bytes {
    match upload {
        Upload::Whole(bytes, _) => bytes.clone(),
        _ => announced(&parts.headers).map_or_else(Bytes::new, |length| {
            Bytes::copy_from_slice(&length.to_le_bytes())
        }),
    }
}

fn announced(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Sends the caller to the VM that answers for the operation, or says that there is none.
async fn elsewhere(
    proxy: &Proxy,
    admitted: &Admitted,
    parts: &Parts,
    owner: &Vm,
) -> Result<Step, Refused> {
    let gate = answering(proxy, owner).await;
    let gate = gate.ok_or(Refused::unknown(Refusal::OperationUnknown))?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut answer = Refused::unknown(Refusal::OperationElsewhere).answer(&admitted.id);
    if let Ok(location) = HeaderValue::from_str(&format!("http://{gate}{target}")) {
        answer.headers_mut().insert(LOCATION, location);
    }
    Ok(Step::Answered(answer))
}

/// Returns the address of the gate that answers for `owner`: its own, or that of its heir once
/// it leaves or is gone.
async fn answering(proxy: &Proxy, owner: &Vm) -> Option<SocketAddr> {
    let own = entry_of(proxy, owner);
    if let Some(live) = own
        .as_ref()
        .filter(|entry| entry.state == MemberState::Live)
    {
        return Some(live.gate);
    }
    let answering = match proxy.operations.heir(owner).await {
        // An heir answers from its table alone.
        Some(heir) => entry_of(proxy, &heir),
        None => own,
    };
    answering.map(|entry| entry.gate)
}

/// Returns the entry of another VM, if it is listed.
fn entry_of(proxy: &Proxy, vm: &Vm) -> Option<Entry> {
    let snapshot = proxy.snapshot.load();
    let mut entries = snapshot.entries.iter();
    let entry = entries.find(|entry| entry.name == vm.name)?;
    (entry.name != proxy.vm).then(|| entry.clone())
}

fn replay(answer: StoredResponse) -> Result<Response<Body>, Refused> {
    let Some(body) = answer.body else {
        return Err(Refused::ran(Refusal::OperationDone));
    };
    let mut response = Response::new(full(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer.content_type;
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_maybe_shared) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    Ok(response)
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
