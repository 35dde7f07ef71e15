//! Judging requests before they are sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use timer::Moment;

use crate::home::{homes, in_zone};
use crate::record::{Crash, Record, Standing};
use crate::{Evidence, Fact, Fingerprint, Server};

/// Time within which all entry VMs that can reach each other know a fact, in milliseconds.
pub const SPREAD_MS: u64 = 2_000;

/// Time for which a request waits for news from an entry VM that is out of reach, in
/// milliseconds.
const PATIENCE_MS: u64 = 2 * SPREAD_MS;

/// Homes that a request without crashes has in its zone while an entry VM is out of reach.
const HOMES_OUT_OF_REACH: usize = 2;

/// Allowance for errors in the ages of facts, in milliseconds.
const MARGIN_MS: u64 = 200;

/// Pause before a request that waits for news is judged again, in milliseconds.
const POLL_MS: u64 = 100;

/// Time for which a success allows a request to run anywhere, in milliseconds.
const PROVEN_MS: u64 = 60_000;

/// Time for which facts are kept, in milliseconds.
const KEPT_MS: u64 = 600_000;

/// Most requests of which something is kept.
const MAX_RECORDS: usize = 65_536;

/// What an entry VM knows of the fleet when it judges a request.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Cell of the entry VM's own region.
    pub cell: usize,
    /// Backend servers of the request's service that are listed and not draining.
    pub servers: &'a [Server<'a>],
    /// Every fact that any live entry VM had before this moment is known here.
    pub known_until: Moment,
}

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// On any backend server.
    Anywhere,
    /// On this backend server alone.
    Only(SocketAddr),
    /// Nowhere for now; to be judged again after some time.
    Wait {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// Nowhere.
    Refuse,
}

/// How a request's run on a backend server ended, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The connection broke after the request was sent and before the answer was whole.
    Broken,
}

/// Facts about requests.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    records: BTreeMap<Fingerprint, Record>,
}

impl Watch {
    /// Creates a watch that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says where a request may run.
    #[must_use]
    pub fn judge(&self, fingerprint: &Fingerprint, fleet: Fleet, now: Moment) -> Verdict {
        let unknown = Record::default();
        let record = self.records.get(fingerprint).unwrap_or(&unknown);
        let proven = record
            .succeeded
            .is_some_and(|at| now.ms_since(at) <= PROVEN_MS);
        match record.standing(PROVEN_MS) {
            Standing::Quarantined => Verdict::Refuse,
            Standing::Clear if proven => Verdict::Anywhere,
            Standing::Suspect(crash) if !proven => trial(fingerprint, crash, fleet, now),
            Standing::Clear | Standing::Suspect(_) => {
                let homes = homes(fingerprint, fleet.cell, fleet.servers);
                first_up(&homes, HOMES_OUT_OF_REACH, fleet, now)
            }
        }
    }

    /// Returns whether a request crashed too many servers since its last success.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|record| record.standing(PROVEN_MS) == Standing::Quarantined)
    }

    /// Returns the number of servers that a request crashed since its last success.
    #[must_use]
    pub fn crashes(&self, fingerprint: &Fingerprint) -> usize {
        let record = self.records.get(fingerprint);
        record.map_or(0, Record::crashes_since_success)
    }

    /// Returns whether no request is known to have crashed a server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Notes how a run ended on `server` in `zone`.
    pub fn note(
        &mut self,
        fingerprint: Fingerprint,
        (server, zone): (SocketAddr, &str),
        ending: Ending,
        now: Moment,
    ) {
        let evidence = match ending {
            Ending::Answered => Evidence::Succeeded,
            Ending::Broken => Evidence::Crashed {
                server,
                zone: zone.to_owned(),
            },
        };
        let fact = Fact {
            fingerprint,
            evidence,
            at: now,
        };
        self.learn(fact, now);
    }

    /// Takes a fact and returns whether it was new.
    pub fn learn(&mut self, fact: Fact, now: Moment) -> bool {
        if now.ms_since(fact.at) > KEPT_MS {
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

    /// Returns the facts that others should know: all crashes, and the successes of requests
    /// with crashes.
    #[must_use]
    pub fn facts(&self) -> Vec<Fact> {
        let told = self.records.iter();
        let told = told.filter(|(_, record)| !record.crashes().is_empty());
        told.flat_map(|(fingerprint, record)| facts(*fingerprint, record))
            .collect()
    }

    /// Forgets what is too old, and the oldest quarter of requests without crashes if there are
    /// too many.
    pub fn expire(&mut self, now: Moment) {
        let oldest = now.minus_ms(KEPT_MS);
        self.records.retain(|_, record| {
            record.forget_before(oldest);
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

/// Whether everything that happened until some moment is known.
enum News {
    Known,
    Awaited {
        ms: u64,
    },
    /// It will not come: some entry VM cannot be reached.
    OutOfReach,
}

fn news(until: Moment, fleet: Fleet, now: Moment) -> News {
    let settled = until.plus_ms(SPREAD_MS);
    if now < settled {
        let ms = settled.ms_since(now);
        News::Awaited { ms }
    } else if fleet.known_until >= until.plus_ms(MARGIN_MS) {
        News::Known
    } else if now < until.plus_ms(PATIENCE_MS) {
        News::Awaited { ms: POLL_MS }
    } else {
        News::OutOfReach
    }
}

/// Lets a suspect run once more, on the next home in the zone of its first crash, once every
/// crash until then is known. An entry VM that is out of reach of another lets it run no more.
fn trial(fingerprint: &Fingerprint, crash: &Crash, fleet: Fleet, now: Moment) -> Verdict {
    match news(crash.at, fleet, now) {
        News::Awaited { ms } => return Verdict::Wait { ms },
        News::Known if now.ms_since(fleet.known_until) <= PATIENCE_MS => {}
        News::Known | News::OutOfReach => return Verdict::Refuse,
    }
    let homes = in_zone(fingerprint, &crash.zone, fleet.servers);
    let others: Vec<Server> = homes
        .into_iter()
        .filter(|server| server.addr != crash.server)
        .collect();
    first_up(&others, 1, fleet, now)
}

/// Returns the first of `homes` that is up. One that has gone down is passed over only once a
/// crash by this very request would be known. Out of reach of other entry VMs, there are only the first `alone` homes.
fn first_up(homes: &[Server], alone: usize, fleet: Fleet, now: Moment) -> Verdict {
    for (index, home) in homes.iter().enumerate() {
        let Some(since) = home.down_since else {
            return Verdict::Only(home.addr);
        };
        match news(since, fleet, now) {
            News::Known => {}
            News::Awaited { ms } => return Verdict::Wait { ms },
            News::OutOfReach if index + 1 < alone => {}
            News::OutOfReach => return Verdict::Refuse,
        }
    }
    Verdict::Refuse
}
