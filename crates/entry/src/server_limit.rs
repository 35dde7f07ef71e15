//! Limits that backend servers name: asks the owner of a server's limit for tokens, answers as the owner,
//! and tells other entry VMs.

use std::time::{Duration, Instant};

use event::Event;
use fleet::ask::Subject;
use fleet::report::ServerLimit;
use steer::owner::Member;
use steer::quota::Grant;
use steer::server_limit::Word;

use crate::servers::Backend;
use crate::state::State;
use crate::warmth::member;

/// Time for which a limit, or its withdrawal, is reported to other entry VMs after it was heard.
const REPORTED_FOR: Duration = Duration::from_secs(10);

/// Time after which a VM asks again for a token of a server that the owner does not know yet.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);

/// Maximum number of limits reported at once.
const MAX_REPORTED: usize = 64;

/// How this entry VM heard of a limit.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// By a response.
    Response,
    /// By another entry VM.
    Peer,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer => "peer",
        }
    }
}

impl State {
    /// Takes a token of the limit of `backend` for a request; returns whether there was one. A server
    /// without a limit needs none.
    pub async fn admit_to_server(&self, backend: &Backend) -> bool {
        let word = backend.limiter.borrow().word();
        let Some(word) = word.filter(|word| word.per_s.is_some()) else {
            return true;
        };
        let limit = reported(backend, word, Instant::now());
        let grant = self
            .ask_owners(Subject::Server(limit), backend.member(), 1)
            .await;
        let now = Instant::now();
        let mut limiter = backend.limiter.borrow_mut();
        match grant {
            Some(Grant::Tokens(_)) => return true,
            Some(Grant::Wait(wait)) => limiter.note_wait(wait, now),
            None => limiter.note_unreached(now),
        }
        false
    }

    /// Grants a token of a server's limit; none for a server that this VM does not know yet.
    pub fn grant_server(&self, limit: &ServerLimit, is_standby: bool) -> Grant {
        let servers = self.servers.borrow();
        let Some(backend) = servers.with_hash(limit.server) else {
            return Grant::Wait(UNKNOWN_WAIT);
        };
        let now = Instant::now();
        backend.note_reported_limit(limit, now);
        let ownership = self.ownership(backend.member(), is_standby);
        let alive_ratio = self.views.borrow().alive_ratio();
        let mut limiter = backend.limiter.borrow_mut();
        limiter.grant(ownership, alive_ratio, now)
    }

    /// Returns the limits that this VM heard lately, the latest first.
    #[must_use]
    pub fn reported_limits(&self, now: Instant) -> Vec<ServerLimit> {
        let servers = self.servers.borrow();
        let heard = servers.iter().filter_map(|backend| {
            let word = backend.limiter.borrow().own_word(REPORTED_FOR, now)?;
            Some(reported(backend, word, now))
        });
        let mut limits: Vec<ServerLimit> = heard.collect();
        limits.sort_unstable_by_key(|limit| limit.age_ms);
        limits.truncate(MAX_REPORTED);
        limits
    }

    /// Applies the limits that other entry VMs reported.
    pub fn note_reported_limits(&self, now: Instant) {
        let servers = self.servers.borrow();
        for limit in &self.fleet_report.borrow().limits {
            if let Some(backend) = servers.with_hash(limit.server) {
                backend.note_reported_limit(limit, now);
            }
        }
    }
}

impl Backend {
    /// Returns the server as a subject of ownership.
    #[must_use]
    pub fn member(&self) -> Member {
        member(self.hash, &self.zone, &self.region)
    }

    /// Records the limit that a response names.
    pub fn note_limit(&self, per_s: Option<f64>) {
        let earlier = self.limiter.borrow().per_s();
        if self
            .limiter
            .borrow_mut()
            .note_response(per_s, Instant::now())
        {
            self.log_limit(earlier, Source::Response);
        }
    }

    fn note_reported_limit(&self, limit: &ServerLimit, now: Instant) {
        let earlier = self.limiter.borrow().per_s();
        let age = Duration::from_millis(limit.age_ms.into());
        let word = Word {
            per_s: limit.per_s,
            at: now.checked_sub(age).unwrap_or(now),
        };
        if self.limiter.borrow_mut().note_report(word) {
            self.log_limit(earlier, Source::Peer);
        }
    }

    fn log_limit(&self, earlier: Option<f64>, source: Source) {
        event::emit(&Event::ServerLimitChanged {
            server: self.id.to_string(),
            service: self.service.clone(),
            per_s: self.limiter.borrow().per_s(),
            earlier_per_s: earlier,
            by: source.name().to_owned(),
        });
    }
}

fn reported(backend: &Backend, word: Word, now: Instant) -> ServerLimit {
    let age = now.duration_since(word.at).as_millis();
    ServerLimit {
        server: backend.hash,
        per_s: word.per_s,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
