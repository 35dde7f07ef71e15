//! Quarantine of requests that crash the backend servers running them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use killer::{Detector, Evidence, Fact, Fingerprint, Outcome};
use std::net::SocketAddr;
use timer::Moment;
use wire::crash::Crash;

/// Maximum age of crashes that are reported to other gates, in milliseconds.
const MAX_REPORTED_AGE_MS: u64 = 60_000;

/// Evidence on requests and the crashes that they caused.
#[derive(Debug, Default)]
pub struct Quarantine {
    detector: Mutex<Detector>,
}

impl Quarantine {
    /// Returns whether a request must not run any more because two backend servers crashed while
    /// running it since its last success.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.lock().is_quarantined(fingerprint)
    }

    /// Records how a request ended on `server`.
    pub fn note(
        &self,
        fingerprint: Fingerprint,
        server: SocketAddr,
        outcome: Outcome,
        now: Moment,
    ) {
        self.lock().note(fingerprint, (server, ""), outcome, now);
    }

    /// Merges crashes observed by other gates, with their ages at `asked_at`.
    pub fn merge_crashes(&self, crashes: &[Crash], asked_at: Moment, now: Moment) {
        let mut detector = self.lock();
        for crash in crashes {
            let fact = Fact {
                fingerprint: Fingerprint::with_bytes(crash.fingerprint),
                evidence: Evidence::Crashed {
                    server: crash.server,
                    zone: String::new(),
                },
                at: asked_at.minus_ms(crash.age_ms),
            };
            detector.merge(fact, now);
        }
    }

    /// Returns recent crashes for the report to other gates.
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

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
