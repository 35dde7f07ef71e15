//! Questions to the control daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use key::confirm::{CONFIRM_MS, Listed, is_confirmed};
use serde::Serialize;
use store::{ListedVm, VmState};
use text::Text;
use tokio::runtime::{Builder, Runtime};
use wire::burn::Recording;
use wire::keyring::{Keyring, Record};
use wire::status::Status;
use wire::sync::{Digests, Receipt, Request};
use wire::update::Update;
use wire::view::{Entry, MemberState};
use wire::{Denylist, Pool};

use crate::config::Config;

/// Longest time that a daemon may take to answer, in milliseconds.
const ANSWER_MS: u64 = CONFIRM_MS;

/// Rounds in which daemons name further daemons.
const DISCOVERY_ROUNDS: usize = 3;

/// The control daemons of all entry VMs.
#[derive(Debug)]
pub struct Fleet {
    runtime: Runtime,
    pool: Pool,
    seeds: Vec<SocketAddr>,
}

/// An entry VM as far as it can be seen from here.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Address of its control daemon.
    pub peer: SocketAddr,
    /// What the platform or another daemon says of it.
    pub entry: Option<Entry>,
    /// What it says itself; absent if it does not answer.
    pub status: Option<Status>,
}

/// How requests fared at the VMs that answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// VMs that are known, whether they answered or not.
    pub known: usize,
    /// One recording for each VM that answered.
    pub recordings: Vec<Recording>,
}

/// What the daemons answered to a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Withdrawal {
    /// One for each daemon that is known.
    pub daemons: Vec<Confirmation>,
    /// Whether so many have it that no daemon takes the key for valid without the platform's
    /// word.
    pub by_quorum: bool,
}

/// What a daemon answered to a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Confirmation {
    /// Name of the VM, or its address if it has not told its name.
    pub vm: String,
    /// Whether the key is refused there from now on.
    pub confirmed: bool,
}

impl Seen {
    /// Returns its name, or its address if it has not told its name.
    pub fn name(&self) -> String {
        let told = self.status.as_ref().map(|status| &status.vm.name);
        let listed = self.entry.as_ref().map(|entry| &entry.name);
        told.or(listed)
            .cloned()
            .unwrap_or_else(|| self.peer.to_string())
    }

    /// Returns its zone, if anyone knows it.
    pub fn zone(&self) -> Option<&str> {
        let told = self.status.as_ref().map(|status| status.zone.as_str());
        told.or(self.entry.as_ref().map(|entry| entry.zone.as_str()))
    }

    /// Returns whether it is about to stop.
    pub fn is_leaving(&self) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.state == MemberState::Leaving)
    }
}

impl Fleet {
    /// Creates a client of the daemons that `config` and the platform's list name.
    pub fn new(config: &Config, listed: &[ListedVm]) -> eyre::Result<Self> {
        let mut seeds = config.daemons.clone();
        seeds.extend(listed.iter().map(|vm| vm.peer));
        Ok(Self {
            runtime: Builder::new_current_thread().enable_all().build()?,
            pool: Pool::new(config.secret()?, Denylist::new()),
            seeds,
        })
    }

    /// Asks all daemons for their state, those too that other daemons name.
    pub fn survey(&self, listed: &[ListedVm]) -> Vec<Seen> {
        let mut entries: BTreeMap<SocketAddr, Entry> =
            listed.iter().map(|vm| (vm.peer, entry(vm))).collect();
        let mut statuses: BTreeMap<SocketAddr, Option<Status>> = BTreeMap::new();
        let mut pending: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
        for _ in 0..DISCOVERY_ROUNDS {
            for (peer, status) in self.ask_statuses(&pending) {
                for named in status.iter().flat_map(|status| &status.entries) {
                    entries.entry(named.peer).or_insert_with(|| named.clone());
                }
                statuses.insert(peer, status);
            }
            pending = entries.keys().copied().collect();
            pending.retain(|peer| !statuses.contains_key(peer));
        }
        let seen = |(peer, status)| Seen {
            peer,
            entry: entries.get(&peer).cloned(),
            status,
        };
        statuses.into_iter().map(seen).collect()
    }

    /// Returns the key records of the first daemon that answers.
    pub fn keyring(&self) -> Option<Vec<Record>> {
        self.runtime.block_on(async {
            for peer in &self.seeds {
                let answer = self.pool.call(*peer, limit(), async |client, context| {
                    client.sync(context, ask_for_all()).await
                });
                if let Ok(answer) = answer.await {
                    return Some(answer.keys.unwrap_or_default().records);
                }
            }
            None
        })
    }

    /// Returns the newest text that a daemon has, if any can be read.
    pub fn text(&self) -> Option<Text> {
        let asked = self.runtime.block_on(async {
            let asks = self.seeds.iter().map(|peer| {
                self.pool.call(*peer, limit(), async |client, context| {
                    client.sync(context, ask_for_all()).await
                })
            });
            join_all(asks).await
        });
        // A daemon sends all of the text to one that has none.
        let configs = asked
            .into_iter()
            .filter_map(|answer| match answer.ok()?.config {
                Some(Update::Full(config)) => Some(config),
                Some(Update::Patch(_)) | None => None,
            });
        let newest = configs.max_by_key(|config| config.revision)?;
        text::parse(&newest.text).ok()
    }

    /// Asks all daemons how requests fared.
    pub fn recordings(&self, listed: &[ListedVm]) -> Recorded {
        let seen = self.survey(listed);
        let calls = seen.iter().map(|vm| {
            self.pool.call(vm.peer, limit(), async |client, context| {
                client.burn(context).await
            })
        });
        let answers = self.runtime.block_on(join_all(calls));
        Recorded {
            known: seen.len(),
            recordings: answers.into_iter().filter_map(Result::ok).collect(),
        }
    }

    /// Tells all daemons of a withdrawn key.
    pub fn withdraw(&self, listed: &[ListedVm], record: &Record) -> Withdrawal {
        let seen = self.survey(listed);
        let calls = seen.iter().map(|vm| self.withdraw_at(vm, record));
        let receipts = self.runtime.block_on(join_all(calls));
        let confirmation = |(vm, receipt): (&Seen, &Option<Receipt>)| Confirmation {
            vm: vm.name(),
            confirmed: receipt.is_some(),
        };
        let daemons = seen.iter().zip(&receipts).map(confirmation).collect();
        let receipts: Vec<Receipt> = receipts.into_iter().flatten().collect();
        Withdrawal {
            daemons,
            by_quorum: is_quorum(&seen, &receipts),
        }
    }

    async fn withdraw_at(&self, vm: &Seen, record: &Record) -> Option<Receipt> {
        let keyring = Keyring {
            records: vec![record.clone()],
        };
        let call = self.pool.call(vm.peer, limit(), async |client, context| {
            client.withdraw(context, keyring).await
        });
        call.await.ok()
    }

    fn ask_statuses(&self, peers: &BTreeSet<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
        let calls = peers.iter().map(|peer| async move {
            let call = self.pool.call(*peer, limit(), async |client, context| {
                client.status(context).await
            });
            (*peer, call.await.ok())
        });
        self.runtime.block_on(join_all(calls))
    }
}

/// Returns whether receipts confirm a withdrawal by quorum, on the list of a daemon that was
/// asked for its status before.
fn is_quorum(seen: &[Seen], receipts: &[Receipt]) -> bool {
    let statuses = seen.iter().filter_map(|vm| vm.status.as_ref());
    let confirms = |status: &Status| {
        let listed = status.entries.iter().map(|entry| Listed {
            name: &entry.name,
            zone: &entry.zone,
        });
        is_confirmed(receipts, status.roster, listed)
    };
    statuses.into_iter().any(confirms)
}

/// A question that every key record answers.
fn ask_for_all() -> Request {
    Request {
        digests: Some(Digests::default()),
        ..Request::default()
    }
}

fn limit() -> Duration {
    Duration::from_millis(ANSWER_MS)
}

fn entry(vm: &ListedVm) -> Entry {
    Entry {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        gate: vm.gate,
        peer: vm.peer,
        state: match vm.state {
            VmState::Live => MemberState::Live,
            VmState::Leaving => MemberState::Leaving,
        },
    }
}
