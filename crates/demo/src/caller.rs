//! Callers that look up an entry VM and send requests to it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::Agent;

/// Longest time that a caller waits for an answer, in milliseconds.
const CALL_MS: u64 = 5_000;

/// Time for which a pinned entry VM is used, in seconds.
const PINNED_S: u64 = 3_600;

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server's answer.
    Served,
    /// A refusal with its code and what it says of the request.
    Refused {
        /// Code of the refusal.
        code: String,
        /// Whether the request may have run.
        outcome: String,
    },
    /// No answer.
    Lost(String),
}

/// A caller with its cached look-up.
#[derive(Debug)]
pub struct Caller {
    agent: Agent,
    /// Address that it gives as its own in look-ups.
    client: String,
    /// Entry VMs that it asks first of all.
    known: Vec<SocketAddr>,
    cached: Option<Cached>,
}

#[derive(Debug)]
struct Cached {
    addr: SocketAddr,
    until: Instant,
}

#[derive(Debug, Deserialize)]
struct LookUp {
    ttl_ms: u64,
    entries: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    addr: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Explanation {
    code: String,
    outcome: String,
}

impl Caller {
    /// Creates a caller at the address `client` that knows the entry VMs `known`.
    #[must_use]
    pub fn new(client: &str, known: &[SocketAddr]) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_millis(CALL_MS)))
            .build();
        Self {
            agent: config.new_agent(),
            client: client.to_owned(),
            known: known.to_vec(),
            cached: None,
        }
    }

    /// Sends a GET request for `path` with a key.
    pub fn get(&mut self, path: &str, key: Option<&str>) -> Outcome {
        let Some(addr) = self.entry() else {
            return Outcome::Lost("no entry VM answered a look-up".to_owned());
        };
        let mut request = self.agent.get(format!("http://{addr}{path}"));
        if let Some(key) = key {
            request = request.header("x-workspace-key", key);
        }
        let outcome = outcome(request.call());
        if matches!(outcome, Outcome::Lost(_)) {
            self.cached = None;
        }
        outcome
    }

    /// Makes the caller use `addr` without further look-ups.
    pub fn pin(&mut self, addr: SocketAddr) {
        let until = Instant::now() + Duration::from_secs(PINNED_S);
        self.cached = Some(Cached { addr, until });
    }

    /// Forgets the latest look-up.
    pub fn forget(&mut self) {
        self.cached = None;
    }

    /// Returns the entry VM to use, from the cache while its time to live lasts.
    pub fn entry(&mut self) -> Option<SocketAddr> {
        let now = Instant::now();
        if let Some(cached) = self.cached.as_ref().filter(|cached| now < cached.until) {
            return Some(cached.addr);
        }
        let found = self.known.iter().find_map(|addr| self.look_up(*addr))?;
        let addr = found.entries.first()?.addr;
        let until = now + Duration::from_millis(found.ttl_ms);
        self.cached = Some(Cached { addr, until });
        Some(addr)
    }

    fn look_up(&self, addr: SocketAddr) -> Option<LookUp> {
        let path = "/.well-known/teaseldoor/entry";
        let url = format!("http://{addr}{path}?client={}", self.client);
        let mut response = self.agent.get(url).call().ok()?;
        let found: LookUp = response.body_mut().read_json().ok()?;
        (!found.entries.is_empty()).then_some(found)
    }
}

fn outcome(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Outcome {
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Outcome::Lost(error.to_string()),
    };
    let served = answer.status().is_success();
    match answer.body_mut().read_to_string() {
        Ok(_) if served => Outcome::Served,
        Ok(body) => refused(&body),
        Err(error) => Outcome::Lost(error.to_string()),
    }
}

fn refused(body: &str) -> Outcome {
    match serde_json::from_str::<Explanation>(body) {
        Ok(explanation) => Outcome::Refused {
            code: explanation.code,
            outcome: explanation.outcome,
        },
        Err(_) => Outcome::Lost(format!("unexplained answer: {body}")),
    }
}
