//! Dissemination of backend server crashes, as reported by gates, to all gates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use timer::Moment;
use wire::crash::Crash;

/// Time for which a crash is reported to the gate, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Time for which a crash is sent to other daemons after it was received, in milliseconds.
const GOSSIP_MS: u64 = 15_000;

/// Maximum number of stored crashes; more are ignored until some have expired.
const MAX_CRASHES: usize = 256;

/// Reports about the same server and request within this time count as one crash, in milliseconds.
const SAME_CRASH_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    fingerprint: [u8; 16],
    server: SocketAddr,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Moment,
    received_at: Moment,
}

/// Crashes known to the daemon. They are only removed by expiry.
#[derive(Debug, Default)]
pub struct Crashes {
    known: BTreeMap<Key, Observation>,
}

impl Crashes {
    /// Merges crashes whose ages are as of `requested_at`, and returns whether any was new.
    pub fn merge(&mut self, crashes: &[Crash], requested_at: Moment, now: Moment) -> bool {
        self.known
            .retain(|_, observation| now.ms_since(observation.at) < RETENTION_MS);
        let mut any_new = false;
        for crash in crashes.iter().filter(|crash| crash.age_ms < RETENTION_MS) {
            let key = Key {
                fingerprint: crash.fingerprint,
                server: crash.server,
            };
            let at = requested_at.minus_ms(crash.age_ms);
            let before = self.known.get(&key).map(|observation| observation.at);
            let later = before.is_none_or(|before| at > before.plus_ms(SAME_CRASH_MS));
            if later && (before.is_some() || self.known.len() < MAX_CRASHES) {
                self.known.insert(
                    key,
                    Observation {
                        at,
                        received_at: now,
                    },
                );
                any_new = true;
            }
        }
        any_new
    }

    /// Returns all crashes, for the gate.
    #[must_use]
    pub fn all(&self, now: Moment) -> Vec<Crash> {
        self.known
            .iter()
            .map(|(key, observation)| message(key, observation, now))
            .collect()
    }

    /// Returns the recently received crashes, for other daemons.
    #[must_use]
    pub fn recent(&self, now: Moment) -> Vec<Crash> {
        let recent = self.known.iter();
        let recent =
            recent.filter(|(_, observation)| now.ms_since(observation.received_at) < GOSSIP_MS);
        recent
            .map(|(key, observation)| message(key, observation, now))
            .collect()
    }
}

fn message(key: &Key, observation: &Observation, now: Moment) -> Crash {
    Crash {
        fingerprint: key.fingerprint,
        server: key.server,
        age_ms: now.ms_since(observation.at),
    }
}
