//! Requests that crash the backend servers that run them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use killer::{Detector, Evidence, Fact, Fingerprint, Outcome};
use std::net::SocketAddr;
use timer::Moment;
use wire::crash::Crash;

/// Time for which a crash is told to others, in milliseconds.
const TOLD_MS: u64 = 60_000;

/// What the gate knows of requests and crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    detector: Mutex<Detector>,
}

impl Quarantine {
    /// Returns whether a request must not run any more: since its last success, it ran on two
    /// backend servers that crashed.
    pub fn holds(&self, fingerprint: &Fingerprint) -> bool {
        self.lock().is_quarantined(fingerprint)
    }

    /// Notes how a request ended on `server`.
    pub fn note(
        &self,
        fingerprint: Fingerprint,
        server: SocketAddr,
        outcome: Outcome,
        now: Moment,
    ) {
        self.lock().note(fingerprint, (server, ""), outcome, now);
    }

    /// Takes crashes that other gates saw, with their ages at `asked`.
    pub fn learn(&self, crashes: &[Crash], asked: Moment, now: Moment) {
        let mut detector = self.lock();
        for crash in crashes {
            let fact = Fact {
                fingerprint: Fingerprint::with_bytes(crash.fingerprint),
                evidence: Evidence::Crashed {
                    server: crash.server,
                    zone: String::new(),
                },
                at: asked.minus_ms(crash.age_ms),
            };
            detector.merge(fact, now);
        }
    }

    /// Returns the latest crashes, to be told to others.
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let facts = self.lock().facts();
        let told = facts.into_iter().filter_map(|fact| match fact.evidence {
            Evidence::Crashed { server, .. } => Some(Crash {
                fingerprint: *fact.fingerprint.bytes(),
                server,
                age_ms: now.ms_since(fact.at),
            }),
            Evidence::Succeeded => None,
        });
        told.filter(|crash| crash.age_ms < TOLD_MS).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
