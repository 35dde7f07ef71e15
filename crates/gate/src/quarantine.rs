//! Requests that crash the backend servers that run them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use killer::{Ending, Evidence, Fact, Fingerprint, Watch};
use std::net::SocketAddr;
use timer::Moment;
use wire::crash::Crash;

/// Time for which a crash is told to others, in milliseconds.
const MAX_REPORTED_AGE_MS: u64 = 60_000;

/// What the gate knows of requests and crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    watch: Mutex<Watch>,
}

impl Quarantine {
    /// Returns whether a request must not run any more: since its last success, it ran on two
    /// backend servers that crashed.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.lock().is_quarantined(fingerprint)
    }

    /// Notes how a request ended on `server`.
    pub fn note(&self, fingerprint: Fingerprint, server: SocketAddr, ending: Ending, now: Moment) {
        self.lock().note(fingerprint, (server, ""), ending, now);
    }

    /// Takes crashes that other gates saw, with their ages at `asked`.
    pub fn merge_crashes(&self, crashes: &[Crash], asked_at: Moment, now: Moment) {
        let mut watch = self.lock();
        for crash in crashes {
            let fact = Fact {
                fingerprint: Fingerprint::with_bytes(crash.fingerprint),
                evidence: Evidence::Crashed {
                    server: crash.server,
                    zone: String::new(),
                },
                at: asked_at.minus_ms(crash.age_ms),
            };
            watch.learn(fact, now);
        }
    }

    /// Returns the latest crashes, to be told to others.
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let facts = self.lock().facts();
        let reported = facts.into_iter().filter_map(|fact| match fact.evidence {
            Evidence::Crashed { server, .. } => Some(Crash {
                fingerprint: *fact.fingerprint.bytes(),
                server,
                age_ms: now.ms_since(fact.at),
            }),
            Evidence::Succeeded => None,
        });
        reported
            .filter(|crash| crash.age_ms < MAX_REPORTED_AGE_MS)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Watch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
