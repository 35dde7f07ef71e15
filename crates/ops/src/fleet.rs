//! Queries to the control daemons.

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

/// Maximum time for the response of a daemon, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = CONFIRM_MS;

/// Maximum number of rounds in which daemons named by other daemons are queried.
const DISCOVERY_ROUNDS: usize = 3;

/// Client of the control daemons of all entry VMs.
#[derive(Debug)]
pub struct Fleet {
    runtime: Runtime,
    pool: Pool,
    seeds: Vec<SocketAddr>,
}

/// State of an entry VM as observed by this client.
#[derive(Debug, Clone)]
pub struct ObservedVm {
    /// Address of its control daemon.
    pub peer: SocketAddr,
    /// Entry of the VM in the list of the platform or of another daemon.
    pub entry: Option<Entry>,
    /// Status reported by the VM's daemon; absent if the daemon does not respond.
    pub status: Option<Status>,
}

/// Recorded outcomes of requests at the VMs that responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// Number of known VMs, whether they responded or not.
    pub known: usize,
    /// One recording for each VM that responded.
    pub recordings: Vec<Recording>,
}

/// Responses of the daemons to a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Withdrawal {
    /// One confirmation for each known daemon.
    pub daemons: Vec<Confirmation>,
    /// Whether enough daemons have the withdrawal that no daemon accepts the key as valid without a
    /// response of the platform.
    pub by_quorum: bool,
}

/// Response of a daemon to a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Confirmation {
    /// Name of the VM, or its address if the name is unknown.
    pub vm: String,
    /// Whether the daemon refuses the key from now on.
    pub confirmed: bool,
}

impl ObservedVm {
    /// Returns the VM's name, or its address if the name is unknown.
    pub fn name(&self) -> String {
        let reported = self.status.as_ref().map(|status| &status.vm.name);
        let listed = self.entry.as_ref().map(|entry| &entry.name);
        reported
            .or(listed)
            .cloned()
            .unwrap_or_else(|| self.peer.to_string())
    }

    /// Returns the VM's zone, if known.
    pub fn zone(&self) -> Option<&str> {
        let reported = self.status.as_ref().map(|status| status.zone.as_str());
        reported.or(self.entry.as_ref().map(|entry| entry.zone.as_str()))
    }

    /// Returns whether the VM is about to stop.
    pub fn is_leaving(&self) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.state == MemberState::Leaving)
    }
}

impl Fleet {
    /// Creates a client of the daemons in `config` and in the platform's list.
    pub fn new(config: &Config, listed: &[ListedVm]) -> eyre::Result<Self> {
        let mut seeds = config.daemons.clone();
        seeds.extend(listed.iter().map(|vm| vm.peer));
        Ok(Self {
            runtime: Builder::new_current_thread().enable_all().build()?,
            pool: Pool::new(config.secret()?, Denylist::new()),
            seeds,
        })
    }

    /// Queries the state of all daemons, including those named by other daemons.
    pub fn survey(&self, listed: &[ListedVm]) -> Vec<ObservedVm> {
        let mut entries: BTreeMap<SocketAddr, Entry> =
            listed.iter().map(|vm| (vm.peer, to_entry(vm))).collect();
        let mut statuses: BTreeMap<SocketAddr, Option<Status>> = BTreeMap::new();
        let mut pending: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
        for _ in 0..DISCOVERY_ROUNDS {
            for (peer, status) in self.query_statuses(&pending) {
                for entry in status.iter().flat_map(|status| &status.entries) {
                    entries.entry(entry.peer).or_insert_with(|| entry.clone());
                }
                statuses.insert(peer, status);
            }
            pending = entries.keys().copied().collect();
            pending.retain(|peer| !statuses.contains_key(peer));
        }
        let to_vm = |(peer, status)| ObservedVm {
            peer,
            entry: entries.get(&peer).cloned(),
            status,
        };
        statuses.into_iter().map(to_vm).collect()
    }

    /// Returns the key records of the first daemon that responds.
    pub fn keyring(&self) -> Option<Vec<Record>> {
        self.runtime.block_on(async {
            for peer in &self.seeds {
                let call = self.pool.call(*peer, timeout(), async |client, context| {
                    client.sync(context, full_sync_request()).await
                });
                if let Ok(response) = call.await {
                    return Some(response.keys.unwrap_or_default().records);
                }
            }
            None
        })
    }

    /// Returns the newest text of the daemons that respond, if there is one and it is valid.
    pub fn text(&self) -> Option<Text> {
        let responses = self.runtime.block_on(async {
            let calls = self.seeds.iter().map(|peer| {
                self.pool.call(*peer, timeout(), async |client, context| {
                    client.sync(context, full_sync_request()).await
                })
            });
            join_all(calls).await
        });
        // The request names no revision, so daemons respond with the full text instead of a patch.
        let configs = responses
            .into_iter()
            .filter_map(|response| match response.ok()?.config {
                Some(Update::Full(config)) => Some(config),
                Some(Update::Patch(_)) | None => None,
            });
        let newest = configs.max_by_key(|config| config.revision)?;
        text::parse(&newest.text).ok()
    }

    /// Queries the recordings of all daemons.
    pub fn recordings(&self, listed: &[ListedVm]) -> Recorded {
        let vms = self.survey(listed);
        let calls = vms.iter().map(|vm| {
            self.pool.call(vm.peer, timeout(), async |client, context| {
                client.burn(context).await
            })
        });
        let responses = self.runtime.block_on(join_all(calls));
        Recorded {
            known: vms.len(),
            recordings: responses.into_iter().filter_map(Result::ok).collect(),
        }
    }

    /// Sends the record of a withdrawn key to all daemons.
    pub fn withdraw(&self, listed: &[ListedVm], record: &Record) -> Withdrawal {
        let vms = self.survey(listed);
        let calls = vms.iter().map(|vm| self.withdraw_at(vm, record));
        let receipts = self.runtime.block_on(join_all(calls));
        let confirmation = |(vm, receipt): (&ObservedVm, &Option<Receipt>)| Confirmation {
            vm: vm.name(),
            confirmed: receipt.is_some(),
        };
        let daemons = vms.iter().zip(&receipts).map(confirmation).collect();
        let receipts: Vec<Receipt> = receipts.into_iter().flatten().collect();
        Withdrawal {
            daemons,
            by_quorum: is_quorum(&vms, &receipts),
        }
    }

    async fn withdraw_at(&self, vm: &ObservedVm, record: &Record) -> Option<Receipt> {
        let keyring = Keyring {
            records: vec![record.clone()],
        };
        let call = self.pool.call(vm.peer, timeout(), async |client, context| {
            client.withdraw(context, keyring).await
        });
        call.await.ok()
    }

    fn query_statuses(&self, peers: &BTreeSet<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
        let calls = peers.iter().map(|peer| async move {
            let call = self.pool.call(*peer, timeout(), async |client, context| {
                client.status(context).await
            });
            (*peer, call.await.ok())
        });
        self.runtime.block_on(join_all(calls))
    }
}

/// Returns whether receipts confirm a withdrawal by quorum, on the list of VMs of some daemon whose
/// status was queried before.
fn is_quorum(vms: &[ObservedVm], receipts: &[Receipt]) -> bool {
    let statuses = vms.iter().filter_map(|vm| vm.status.as_ref());
    let confirms = |status: &Status| {
        let listed = status.entries.iter().map(|entry| Listed {
            name: &entry.name,
            zone: &entry.zone,
        });
        is_confirmed(receipts, status.roster, listed)
    };
    statuses.into_iter().any(confirms)
}

/// Returns a request for all key records and the full text.
fn full_sync_request() -> Request {
    Request {
        digests: Some(Digests::default()),
        ..Request::default()
    }
}

fn timeout() -> Duration {
    Duration::from_millis(RESPONSE_TIMEOUT_MS)
}

fn to_entry(vm: &ListedVm) -> Entry {
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
