//! Turns HTTP requests into operations on the platform's data.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response};
use serde::de::DeserializeOwned;

use super::VALUE_LIMIT_BYTES;
use super::body::{self, Health, Pair, SessionCreated, SessionRequest};
use super::count::{Counters, Counts, Kind};
use super::fault::{Faults, Loss, Outage, Settings};
use super::kv::{Condition, Entries, Found, Scope};
use super::query::{has_parameter, kind_of, scope_of, watch_of};
use super::vm::Vm;
use super::watch::{Data, Shared};
use crate::listener::Connections;

/// Largest body that is read and thrown away to answer an oversized write properly.
const DISCARD_LIMIT_BYTES: u64 = 16_000_000;

/// Answers all requests of one platform.
#[derive(Debug)]
pub struct Handler {
    shared: Shared,
    faults: Faults,
    counters: Counters,
    connections: Connections,
}

impl Handler {
    /// A handler on empty data.
    pub fn new(faults: Faults, connections: Connections) -> Self {
        Self {
            shared: Shared::new(Instant::now()),
            faults,
            counters: Counters::default(),
            connections,
        }
    }

    /// The faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Calls by kind.
    pub fn counts(&self) -> Counts {
        self.counters.get()
    }

    /// Adds a VM or replaces its entry.
    pub fn register(&self, vm: Vm) {
        self.change(|data| data.list.register(vm, Instant::now()));
    }

    /// Removes a VM.
    pub fn deregister(&self, id: &str) {
        self.change(|data| data.list.deregister(id, Instant::now()));
    }

    /// Ends sessions whose term has passed, and blocking queries if an outage has begun.
    pub fn tick(&self, now: Instant) {
        self.change(|data| data.store.expire(now));
        self.shared
            .set_interrupted(self.faults.get().outage != Outage::None);
    }

    /// Changes the data. While stale reads are on, the keys as they were before the first change
    /// are kept for plain reads.
    fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let stale = self.faults.get().stale_reads;
        self.shared.change(|data| {
            if !stale {
                data.stale = None;
            } else if data.stale.is_none() {
                data.stale = Some(Arc::new(data.store.entries().clone()));
            }
            change(data)
        })
    }

    /// Ends all blocking queries.
    pub fn stop(&self) {
        self.shared.set_interrupted(true);
    }

    /// Answers one request.
    pub fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        let put = request.method() == "PUT";
        match url.as_str() {
            "/standin/faults" if put => return self.put_faults(request),
            "/standin/faults" => return Response::json(&self.faults.get()),
            "/standin/counts" => return Response::json(&self.counts()),
            _ => {}
        }
        let list = url.strip_prefix("/v1/health/service/");
        let key = url.strip_prefix("/v1/kv/");
        let session = url.strip_prefix("/v1/session/");
        let agent = url.strip_prefix("/v1/agent/service/");
        let kind = kind_of(request, &url);
        if let Some(kind) = kind {
            self.counters.add(kind);
        }
        self.delay();
        if let Some(refusal) = self.refuse(request) {
            return refusal;
        }
        let response = match (key, session, list, agent) {
            (Some(key), ..) => self.answer_key(request, key),
            (_, Some(operation), ..) if put => self.answer_session(request, operation),
            (_, _, Some(service), _) => self.list(request, service),
            (.., Some(operation)) if put => self.answer_agent(request, operation),
            _ => Response::empty_404(),
        };
        // An outage that began during a blocking query ends it as any other call.
        self.refuse(request)
            .filter(|_| kind == Some(Kind::Watch))
            .unwrap_or(response)
    }

    fn put_faults(&self, request: &Request) -> Response {
        let Some(settings) = read_json::<Settings>(request) else {
            return bad_request("faults cannot be read");
        };
        self.faults.set(settings);
        Response::json(&settings)
    }

    fn delay(&self) {
        let delay_ms = self.faults.get().delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    /// The answer of a platform that is down, if it is.
    fn refuse(&self, request: &Request) -> Option<Response> {
        match self.faults.get().outage {
            Outage::None => None,
            Outage::Refuse => Some(Response::text("no leader").with_status_code(503)),
            Outage::Close => Some(self.close(*request.remote_addr())),
        }
    }

    fn close(&self, peer: SocketAddr) -> Response {
        self.connections.close(peer);
        Response::text("connection closed").with_status_code(500)
    }

    fn answer_key(&self, request: &Request, key: &str) -> Response {
        match request.method() {
            "GET" => self.get(request, key),
            "PUT" => self.put(request, key),
            "DELETE" => self.delete(request, key),
            _ => Response::text("method not allowed").with_status_code(405),
        }
    }

    fn get(&self, request: &Request, key: &str) -> Response {
        let scope = scope_of(request, key);
        let data = match watch_of(request) {
            Some(watch) => self.shared.wait_for_keys(&scope, watch.index, watch.end),
            None => self.shared.lock(),
        };
        let plain = watch_of(request).is_none();
        let stale = data
            .stale
            .clone()
            .filter(|_| plain && self.faults.get().stale_reads);
        let entries = stale.as_deref().unwrap_or_else(|| data.store.entries());
        let found = find(entries, &scope);
        let index = match &stale {
            Some(_) => found
                .iter()
                .map(|found| found.entry.modify_index)
                .max()
                .unwrap_or(1),
            None => data.store.index_of(&scope),
        };
        drop(data);
        let response = match found.first() {
            None => Response::empty_404(),
            Some(first) if has_parameter(request, "raw") => {
                Response::from_data("application/octet-stream", first.entry.value.to_vec())
            }
            Some(_) if has_parameter(request, "keys") => {
                Response::json(&found.iter().map(|found| &found.key).collect::<Vec<_>>())
            }
            Some(_) => Response::json(&found.iter().map(Pair::from).collect::<Vec<_>>()),
        };
        response.with_additional_header("X-Consul-Index", index.to_string())
    }

    fn put(&self, request: &Request, key: &str) -> Response {
        let Some(value) = read_limited(request, VALUE_LIMIT_BYTES) else {
            return Response::text("value is too large").with_status_code(413);
        };
        let cas = request.get_param("cas");
        let acquire = request.get_param("acquire");
        let release = request.get_param("release");
        let condition = match (&cas, &acquire, &release) {
            (Some(index), ..) => match index.parse() {
                Ok(index) => Condition::Index(index),
                Err(_) => return bad_request("cas is not a number"),
            },
            (_, Some(session), _) => Condition::Acquire(session),
            (.., Some(session)) => Condition::Release(session),
            _ => Condition::Always,
        };
        let flags = request
            .get_param("flags")
            .and_then(|flags| flags.parse().ok())
            .unwrap_or(0);
        let outcome = self.change(|data| data.store.put(key, &value, flags, condition));
        let response = match outcome {
            Ok(written) => Response::json(&written),
            Err(_) => Response::text("invalid session").with_status_code(500),
        };
        self.lose(request, response)
    }

    fn delete(&self, request: &Request, key: &str) -> Response {
        let scope = scope_of(request, key);
        let index = match request.get_param("cas").map(|index| index.parse()) {
            None => None,
            Some(Ok(index)) => Some(index),
            Some(Err(_)) => return bad_request("cas is not a number"),
        };
        let deleted = self.change(|data| data.store.delete(&scope, index));
        self.lose(request, Response::json(&deleted))
    }

    /// Loses the answer of a write if that fault is in force.
    fn lose(&self, request: &Request, response: Response) -> Response {
        match self.faults.take_loss() {
            None => response,
            Some(Loss::Close) => self.close(*request.remote_addr()),
            Some(Loss::Error) => Response::text("rpc error").with_status_code(500),
        }
    }

    fn answer_session(&self, request: &Request, operation: &str) -> Response {
        if operation == "create" {
            return self.create_session(request);
        }
        if let Some(id) = operation.strip_prefix("renew/") {
            return self.renew_session(id);
        }
        if let Some(id) = operation.strip_prefix("destroy/") {
            self.change(|data| data.store.destroy_session(id));
            return Response::json(&true);
        }
        Response::empty_404()
    }

    fn create_session(&self, request: &Request) -> Response {
        let Some(body) = read_json_or_default::<SessionRequest>(request) else {
            return bad_request("session cannot be read");
        };
        let Some(behavior) = body.behavior() else {
            return bad_request("unknown behavior");
        };
        let term = body::parse_duration(&body.ttl);
        if term.is_none() && !body.ttl.is_empty() {
            return bad_request("unknown TTL");
        }
        let id = self.change(|data| {
            data.store
                .create_session(body.name, term, behavior, Instant::now())
        });
        Response::json(&SessionCreated { id })
    }

    fn renew_session(&self, id: &str) -> Response {
        self.change(|data| {
            let now = Instant::now();
            data.store.expire(now);
            match data.store.renew_session(id, now) {
                Some(session) => Response::json(&[body::Session::new(id, session)]),
                None => Response::text("session not found").with_status_code(404),
            }
        })
    }

    fn list(&self, request: &Request, service: &str) -> Response {
        let lag = || Duration::from_millis(self.faults.get().list_lag_ms);
        let data = match watch_of(request) {
            Some(watch) => self.shared.wait_for_list(watch.index, watch.end, lag),
            None => self.shared.lock(),
        };
        let version = data.list.read(lag(), Instant::now()).clone();
        drop(data);
        let vms = version.vms.values().filter(|vm| vm.name == service);
        let vms: Vec<Health> = vms.map(Health::from).collect();
        Response::json(&vms).with_additional_header("X-Consul-Index", version.index.to_string())
    }

    fn answer_agent(&self, request: &Request, operation: &str) -> Response {
        if operation == "register" {
            let Some(vm) = read_json::<Vm>(request) else {
                return bad_request("VM cannot be read");
            };
            self.register(vm);
            return Response::text("");
        }
        let Some(id) = operation.strip_prefix("deregister/") else {
            return Response::empty_404();
        };
        self.deregister(id);
        Response::text("")
    }
}

fn find(entries: &Entries, scope: &Scope) -> Vec<Found> {
    let start = match scope {
        Scope::Key(start) | Scope::Prefix(start) => start.clone(),
    };
    let covered = entries
        .range(start..)
        .take_while(|(key, _)| scope.covers(key));
    let found = covered.map(|(key, entry)| Found {
        key: key.clone(),
        entry: entry.clone(),
    });
    found.collect()
}

/// Reads a body of at most `limit` bytes; `None` if it is larger or cannot be read.
fn read_limited(request: &Request, limit: usize) -> Option<Vec<u8>> {
    let mut body = request.data()?;
    let mut bytes = Vec::new();
    let allowed = u64::try_from(limit).unwrap_or(u64::MAX);
    body.by_ref()
        .take(allowed + 1)
        .read_to_end(&mut bytes)
        .ok()?;
    if bytes.len() > limit {
        // The rest is read so that the caller gets the answer instead of a broken connection.
        let _ = std::io::copy(&mut body.take(DISCARD_LIMIT_BYTES), &mut std::io::sink());
        return None;
    }
    Some(bytes)
}

fn read_json<T: DeserializeOwned>(request: &Request) -> Option<T> {
    let bytes = read_limited(request, VALUE_LIMIT_BYTES)?;
    serde_json::from_slice(&bytes).ok()
}

fn read_json_or_default<T: DeserializeOwned + Default>(request: &Request) -> Option<T> {
    let bytes = read_limited(request, VALUE_LIMIT_BYTES)?;
    if bytes.is_empty() {
        return Some(T::default());
    }
    serde_json::from_slice(&bytes).ok()
}

fn bad_request(reason: &str) -> Response {
    Response::text(reason.to_owned()).with_status_code(400)
}
