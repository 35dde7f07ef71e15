//! Operations that must not run twice: which VM may run one, and its result.

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
use once::{Ending, Id, MAX_STORED_BODY_BYTES, StoredResponse, Table, Ticket};
use text::model::Repeat;
use timer::Moment;
use wire::claim::{self, Request};
use wire::handover::{Handover, Numbered};
use wire::view::{Entry, MemberState};
use wire::{Pool, Secret, Vm};

use crate::admit::Admitted;
use crate::proxy::Proxy;
use crate::refusal::{Outcome, Refusal, Refused, full_body};
use crate::upload::Upload;
use crate::upstream::Body;

/// Header with the caller-chosen key of an operation.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an operation key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum number of operations that a gate remembers.
const MAX_OPERATIONS: usize = 200_000;

/// Maximum number of operations in one handover message.
const MAX_HANDOVER_OPERATIONS: usize = 256;

/// Timeout of one handover message, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 8_000;

/// Timeout of a claim, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 3_000;

/// Decision on a request for an operation.
#[derive(Debug)]
pub enum Decision {
    /// The request may run more than once, so nothing is remembered.
    Idempotent,
    /// Run the operation and record its result.
    Run(Operation),
    /// Return this response without running anything.
    Respond(Response<Body>),
}

/// An operation that only this gate may run, and only once. If it is dropped before its result is
/// recorded, its outcome is unknown.
#[derive(Debug)]
pub struct Operation {
    table: Arc<Mutex<Table>>,
    ticket: Option<Ticket>,
}

/// Operations owned by a gate.
#[derive(Debug)]
pub struct Operations {
    /// The VM of this gate, as named in claims.
    owner: Vm,
    hasher: once::Hasher,
    table: Arc<Mutex<Table>>,
    pool: Pool,
    control: SocketAddr,
    /// Number of the latest adopted handover.
    adopted: AtomicU64,
}

impl Operations {
    /// Creates the operations of the gate on VM `owner`, which claims them through the control
    /// daemon at `control`.
    ///
    /// # Errors
    ///
    /// Fails if the state chart of operations does not match the code.
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

    /// Adopts the operations of gates that have stopped.
    pub fn adopt(&self, adoptions: &[Numbered], now: Moment) {
        for adoption in adoptions {
            if adoption.number > self.adopted() {
                lock(&self.table).import(&adoption.handover.operations, now);
                self.adopted.store(adoption.number, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of the latest adopted handover.
    #[must_use]
    pub fn adopted(&self) -> u64 {
        self.adopted.load(Ordering::Relaxed)
    }

    /// Hands the operations over to a successor VM, which then handles requests for them.
    /// Operations that cannot be handed over have an unknown outcome from then on.
    pub async fn hand_over(&self) {
        let operations = lock(&self.table).export();
        for part in operations.chunks(MAX_HANDOVER_OPERATIONS) {
            let handover = Handover {
                from: self.owner.clone(),
                operations: part.to_vec(),
            };
            let limit = Duration::from_millis(HANDOVER_TIMEOUT_MS);
            let accepted = self
                .pool
                .call(self.control, limit, async |client, context| {
                    client.hand_over(context, handover).await
                });
            let accepted = accepted.await.unwrap_or(false);
            event::emit(&Event::OperationsHandedOver {
                operations: part.len() as u64,
                kept: accepted,
            });
            if !accepted {
                return;
            }
        }
    }

    async fn successor(&self, owner: &Vm) -> Option<Vm> {
        let owner = owner.clone();
        let limit = Duration::from_millis(CLAIM_TIMEOUT_MS);
        let successor = self
            .pool
            .call(self.control, limit, async |client, context| {
                client.successor(context, owner).await
            });
        successor.await.ok().flatten()
    }

    async fn claim(&self, id: Id, remaining_ms: u64) -> claim::Response {
        let request = Request {
            from: self.owner.clone(),
            operation: id.0,
            relayed: false,
        };
        let limit = Duration::from_millis(remaining_ms.min(CLAIM_TIMEOUT_MS));
        let response = self
            .pool
            .call(self.control, limit, async |client, context| {
                client.claim(context, request).await
            });
        response.await.unwrap_or(claim::Response::Unavailable)
    }
}

/// Decides whether this gate runs a request that must not run twice; `body` is the result of
/// [`identify_body`].
///
/// # Errors
///
/// Returns the refusal if the operation cannot run or be replayed here.
pub async fn begin(
    proxy: &Proxy,
    admitted: &Admitted,
    parts: &Parts,
    body: &[u8],
) -> Result<Decision, Refused> {
    if admitted.route.spec.repeat == Repeat::Safe {
        return Ok(Decision::Idempotent);
    }
    let operations = &proxy.operations;
    let key = operation_key(parts)?;
    let workspace = admitted.workspace().unwrap_or_default();
    let id = operations.hasher.id(workspace, key);
    if admitted.remaining_ms() == 0 {
        return Err(Refusal::DeadlinePassed.into());
    }
    let needs_claim = lock(&operations.table).needs_claim(&id);
    if needs_claim {
        match operations.claim(id, admitted.remaining_ms()).await {
            claim::Response::Owner(owner) if owner == operations.owner => {}
            claim::Response::Owner(owner) => {
                return redirect(proxy, admitted, parts, &owner).await;
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
    let beginning = lock(&operations.table).begin(id, fingerprint, proxy.timer.now());
    match started(&operations.table, beginning)? {
        Started::Run(operation) => Ok(Decision::Run(operation)),
        Started::Replay(stored) => replay(stored).map(Decision::Respond),
    }
}

enum Started {
    Run(Operation),
    Replay(StoredResponse),
}

fn started(table: &Arc<Mutex<Table>>, decision: once::Decision) -> Result<Started, Refused> {
    match decision {
        once::Decision::Run(ticket) => Ok(Started::Run(Operation {
            table: Arc::clone(table),
            ticket: Some(ticket),
        })),
        once::Decision::Replay(stored) => Ok(Started::Replay(stored)),
        once::Decision::Running => Err(Refused::unknown(Refusal::OperationRunning)),
        once::Decision::Unknown => Err(Refused::unknown(Refusal::OperationUnknown)),
        once::Decision::Mismatch => Err(Refusal::OperationMismatch.into()),
        once::Decision::Full => Err(Refusal::OperationsFull.into()),
    }
}

impl Operation {
    /// Records that bytes of the request may be sent from now on.
    pub fn note_sent(&self) {
        if let Some(ticket) = self.ticket {
            lock(&self.table).note_sent(ticket);
        }
    }

    /// Records that the request was refused.
    pub fn note_refusal(mut self, refused: Refused) {
        self.finish(match refused.outcome {
            Outcome::NotRun => Ending::NotRun,
            Outcome::Unknown | Outcome::Ran => Ending::Unknown,
        });
    }

    /// Stores the response of a backend server for retries by the caller and returns it. A short
    /// response is received completely first, so that it is stored even if the caller disconnects.
    pub async fn keep_response(mut self, response: Response<Body>) -> Response<Body> {
        let (parts, body) = response.into_parts();
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
            .or_else(|| content_length(&parts.headers))
            .is_some_and(|length| length <= MAX_STORED_BODY_BYTES as u64);
        if !short {
            self.finish(Ending::Answered(kept(None)));
            return Response::from_parts(parts, body);
        }
        match body.collect().await {
            Ok(collected) => {
                let bytes = collected.to_bytes();
                self.finish(Ending::Answered(kept(Some(bytes.clone()))));
                Response::from_parts(parts, full_body(bytes))
            }
            Err(error) => {
                self.finish(Ending::Answered(kept(None)));
                let truncated = futures::stream::once(async move { Err(error) });
                Response::from_parts(
                    parts,
                    http_body_util::StreamBody::new(truncated).boxed_unsync(),
                )
            }
        }
    }

    fn finish(&mut self, ending: Ending) {
        if let Some(ticket) = self.ticket.take() {
            lock(&self.table).note_ended(ticket, ending);
        }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.finish(Ending::Unknown);
    }
}

/// Returns the caller's key for the operation.
fn operation_key(parts: &Parts) -> Result<&[u8], Refusal> {
    let mut keys = parts.headers.get_all(KEY_HEADER).iter();
    let key = keys.next().ok_or(Refusal::OperationKeyMissing)?.as_bytes();
    let valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && keys.next().is_none();
    valid.then_some(key).ok_or(Refusal::OperationKeyInvalid)
}

/// Returns data that identifies a body: the bytes of a buffered body, or the length of a streamed
/// one.
#[must_use]
pub fn identify_body(upload: &Upload, parts: &Parts) -> Bytes {
    match upload {
        Upload::Buffered(bytes, _) => bytes.clone(),
        _ => content_length(&parts.headers).map_or_else(Bytes::new, |length| {
            Bytes::copy_from_slice(&length.to_le_bytes())
        }),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Redirects the caller to the VM responsible for the operation. Fails if there is none.
async fn redirect(
    proxy: &Proxy,
    admitted: &Admitted,
    parts: &Parts,
    owner: &Vm,
) -> Result<Decision, Refused> {
    let gate = responsible_gate(proxy, owner).await;
    let gate = gate.ok_or(Refused::unknown(Refusal::OperationUnknown))?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut response = Refused::unknown(Refusal::OperationElsewhere).response(&admitted.id);
    if let Ok(location) = HeaderValue::from_str(&format!("http://{gate}{target}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    Ok(Decision::Respond(response))
}

/// Returns the address of the gate responsible for `owner`: its own while it is live, otherwise
/// that of its successor.
async fn responsible_gate(proxy: &Proxy, owner: &Vm) -> Option<SocketAddr> {
    let own = entry_of(proxy, owner);
    if let Some(live) = own
        .as_ref()
        .filter(|entry| entry.state == MemberState::Live)
    {
        return Some(live.gate);
    }
    let responsible_gate = match proxy.operations.successor(owner).await {
        // A successor responds from its operation table alone.
        Some(successor) => entry_of(proxy, &successor),
        None => own,
    };
    responsible_gate.map(|entry| entry.gate)
}

/// Returns the entry of another VM, if it is listed.
fn entry_of(proxy: &Proxy, vm: &Vm) -> Option<Entry> {
    let snapshot = proxy.snapshot.load();
    let mut entries = snapshot.entries.iter();
    let entry = entries.find(|entry| entry.name == vm.name)?;
    (entry.name != proxy.vm).then(|| entry.clone())
}

fn replay(stored: StoredResponse) -> Result<Response<Body>, Refused> {
    let Some(body) = stored.body else {
        return Err(Refused::ran(Refusal::OperationDone));
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let content_type = stored.content_type;
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_maybe_shared) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    Ok(response)
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
