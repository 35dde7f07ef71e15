//! Decides where a request may run, based on the known crashes and successes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use timer::Moment;

use crate::home::{homes, ranked_in_zone};
use crate::record::{Crash, Record, Status};
use crate::{Evidence, Fact, Fingerprint, Server};

/// Time within which a fact reaches all entry VMs that can reach each other, in milliseconds.
pub const PROPAGATION_MS: u64 = 2_000;

/// Time for which a request waits for facts from an unreachable entry VM, in milliseconds.
const MAX_WAIT_MS: u64 = 2 * PROPAGATION_MS;

/// Number of homes of a request without crashes in its zone while an entry VM is unreachable.
const MAX_PARTITIONED_HOMES: usize = 2;

/// Tolerance for errors in the ages of facts, in milliseconds.
const MARGIN_MS: u64 = 200;

/// Delay before a request that waits for facts is checked again, in milliseconds.
const POLL_MS: u64 = 100;

/// Time after a success for which a request may run on any server, in milliseconds.
const RECENT_SUCCESS_MS: u64 = 60_000;

/// Time for which facts are kept, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Maximum number of requests for which facts are kept.
const MAX_RECORDS: usize = 65_536;

/// Fleet state known to an entry VM when it decides on a request.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Cell of the entry VM's region.
    pub cell: usize,
    /// Backend servers of the request's service that are listed and not draining.
    pub servers: &'a [Server<'a>],
    /// Moment up to which this entry VM knows all facts of every live entry VM.
    pub known_until: Moment,
}

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// On any backend server.
    Anywhere,
    /// On this backend server only.
    Only(SocketAddr),
    /// Nowhere for now; the request is to be checked again later.
    Wait {
        /// Delay before the next check, in milliseconds.
        ms: u64,
    },
    /// Nowhere; the request is to be refused.
    Refuse,
}

/// Outcome of a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded.
    Responded,
    /// The connection broke after the request was sent and before the response was complete.
    Disconnected,
}

/// Facts about requests, from which it detects those that crash servers.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    records: BTreeMap<Fingerprint, Record>,
}

impl Detector {
    /// Creates a detector without any facts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns where a request may run.
    #[must_use]
    pub fn check(&self, fingerprint: &Fingerprint, fleet: Fleet, now: Moment) -> Verdict {
        let empty = Record::default();
        let record = self.records.get(fingerprint).unwrap_or(&empty);
        let recently_succeeded = record
            .succeeded
            .is_some_and(|at| now.ms_since(at) <= RECENT_SUCCESS_MS);
        match record.status(RECENT_SUCCESS_MS) {
            Status::Quarantined => Verdict::Refuse,
            Status::Clear if recently_succeeded => Verdict::Anywhere,
            Status::Suspect(crash) if !recently_succeeded => {
                check_retry(fingerprint, crash, fleet, now)
            }
            Status::Clear | Status::Suspect(_) => {
                let homes = homes(fingerprint, fleet.cell, fleet.servers);
                first_available(&homes, MAX_PARTITIONED_HOMES, fleet, now)
            }
        }
    }

    /// Returns whether a request is quarantined for too many crashes since its last success.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|record| record.status(RECENT_SUCCESS_MS) == Status::Quarantined)
    }

    /// Returns the number of crashes caused by a request since its last success.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Fingerprint) -> usize {
        let record = self.records.get(fingerprint);
        record.map_or(0, Record::crashes_since_success)
    }

    /// Returns whether there are no facts about any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records the outcome of a request on `server` in `zone`.
    pub fn note(
        &mut self,
        fingerprint: Fingerprint,
        (server, zone): (SocketAddr, &str),
        outcome: Outcome,
        now: Moment,
    ) {
        let evidence = match outcome {
            Outcome::Responded => Evidence::Succeeded,
            Outcome::Disconnected => Evidence::Crashed {
                server,
                zone: zone.to_owned(),
            },
        };
        let fact = Fact {
            fingerprint,
            evidence,
            at: now,
        };
        self.merge(fact, now);
    }

    /// Merges a fact and returns whether it was new.
    pub fn merge(&mut self, fact: Fact, now: Moment) -> bool {
        if now.ms_since(fact.at) > RETENTION_MS {
            return false;
        }
        let record = self.records.entry(fact.fingerprint).or_default();
        let new = match fact.evidence {
            Evidence::Succeeded => record.add_success(fact.at),
            Evidence::Crashed { server, zone } => {
                let at = fact.at;
                record.add_crash(Crash { server, zone, at })
            }
        };
        if self.records.len() > MAX_RECORDS {
            self.expire(now);
        }
        new
    }

    /// Returns the facts to send to other entry VMs: all crashes, and the successes of requests
    /// with crashes.
    #[must_use]
    pub fn facts(&self) -> Vec<Fact> {
        let reported = self.records.iter();
        let reported = reported.filter(|(_, record)| !record.crashes().is_empty());
        reported
            .flat_map(|(fingerprint, record)| facts(*fingerprint, record))
            .collect()
    }

    /// Removes facts older than `RETENTION_MS`. If more than `MAX_RECORDS` requests remain, also
    /// removes those without crashes among the oldest quarter of them.
    pub fn expire(&mut self, now: Moment) {
        let oldest = now.minus_ms(RETENTION_MS);
        self.records.retain(|_, record| {
            record.remove_before(oldest);
            record.succeeded.is_some() || !record.crashes().is_empty()
        });
        if self.records.len() > MAX_RECORDS {
            let mut times: Vec<Moment> = self.records.values().map(Record::latest).collect();
            times.sort_unstable();
            let limit = times[times.len() / 4];
            self.records
                .retain(|_, record| record.latest() > limit || !record.crashes().is_empty());
        }
    }
}

fn facts(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Fact> {
    let fact = move |evidence, at| Fact {
        fingerprint,
        evidence,
        at,
    };
    let crashes = record.crashes().iter().map(move |crash| {
        let server = crash.server;
        let zone = crash.zone.clone();
        fact(Evidence::Crashed { server, zone }, crash.at)
    });
    let succeeded = record.succeeded;
    crashes.chain(succeeded.map(move |at| fact(Evidence::Succeeded, at)))
}

/// Whether all facts up to some moment are known.
enum Facts {
    Known,
    Pending {
        ms: u64,
    },
    /// Facts are missing because some entry VM is unreachable.
    Unreachable,
}

fn facts_until(until: Moment, fleet: Fleet, now: Moment) -> Facts {
    let settled = until.plus_ms(PROPAGATION_MS);
    if now < settled {
        let ms = settled.ms_since(now);
        Facts::Pending { ms }
    } else if fleet.known_until >= until.plus_ms(MARGIN_MS) {
        Facts::Known
    } else if now < until.plus_ms(MAX_WAIT_MS) {
        Facts::Pending { ms: POLL_MS }
    } else {
        Facts::Unreachable
    }
}

/// Decides on the retry of a request with one crash. It runs on the next home in the zone of its
/// first crash after all facts up to that crash are known. If another entry VM is unreachable,
/// the request is refused.
fn check_retry(fingerprint: &Fingerprint, crash: &Crash, fleet: Fleet, now: Moment) -> Verdict {
    match facts_until(crash.at, fleet, now) {
        Facts::Pending { ms } => return Verdict::Wait { ms },
        Facts::Known if now.ms_since(fleet.known_until) <= MAX_WAIT_MS => {}
        Facts::Known | Facts::Unreachable => return Verdict::Refuse,
    }
    let homes = ranked_in_zone(fingerprint, &crash.zone, fleet.servers);
    let remaining_homes: Vec<Server> = homes
        .into_iter()
        .filter(|server| server.addr != crash.server)
        .collect();
    first_available(&remaining_homes, 1, fleet, now)
}

/// Selects the first of `homes` that is up. A server that went down is skipped only after all facts
/// up to its outage are known, as this request may have crashed it. If another entry VM is
/// unreachable, only the first `max_homes` homes are considered.
fn first_available(homes: &[Server], max_homes: usize, fleet: Fleet, now: Moment) -> Verdict {
    for (index, home) in homes.iter().enumerate() {
        let Some(since) = home.down_since else {
            return Verdict::Only(home.addr);
        };
        match facts_until(since, fleet, now) {
            Facts::Known => {}
            Facts::Pending { ms } => return Verdict::Wait { ms },
            Facts::Unreachable if index + 1 < max_homes => {}
            Facts::Unreachable => return Verdict::Refuse,
        }
    }
    Verdict::Refuse
}
