//! List of all log events.

use std::net::SocketAddr;

use serde::Serialize;

use crate::catalogue::Entry;

macro_rules! events {
    ($($number:literal $level:ident $name:ident { $($field:ident : $kind:ty),* } $summary:literal;)*) => {
        /// A log event. See `docs/EVENTS.md`.
        #[derive(Debug, Clone, Serialize)]
        #[serde(untagged)]
        #[allow(missing_docs)]
        pub enum Event {
            $(#[doc = $summary] $name { $($field: $kind),* },)*
        }

        impl Event {
            /// Returns the event's entry in the catalogue.
            #[must_use]
            pub fn entry(&self) -> Entry {
                match self {
                    $(Self::$name { .. } => Entry {
                        number: $number,
                        level: stringify!($level),
                        name: stringify!($name),
                        summary: $summary,
                        fields: &[$(stringify!($field)),*],
                    },)*
                }
            }
        }

        /// All events in the order of their numbers.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry {
                number: $number,
                level: stringify!($level),
                name: stringify!($name),
                summary: $summary,
                fields: &[$(stringify!($field)),*],
            },)*
        ];
    };
}

events! {
    1001 info ControlStarted { vm: String, zone: String, peer: SocketAddr } "A control daemon accepts connections from peers.";
    1002 info ControlStopped { vm: String } "A control daemon has stopped.";
    1003 info ConfigReceived { revision: u64, source: String } "A newer revision of the configuration arrived.";
    1004 error ConfigRejected { revision: u64, problem: String } "A revision of the configuration is invalid; the previous revision stays in force.";
    1005 info KeysChanged { records: u64, withdrawn: u64 } "The workspace key records changed.";
    1006 warn StoreUnreachable { purpose: String, error: String } "A call to the platform failed.";
    1007 info StoreReachable {} "The platform responds again.";
    2001 info GateStarted { vm: String, zone: String, addr: SocketAddr } "A gate accepts connections from callers.";
    2002 info GateLeaving { vm: String, in_flight: u64 } "A gate began its graceful shutdown.";
    2003 info GateStopped { vm: String, cut: u64 } "A gate has stopped; `cut` counts the requests that were aborted.";
    2004 info ConfigInForce { revision: u64 } "A revision of the configuration is in force at the gate.";
    2005 warn ControlUnreachable { error: String } "The gate cannot reach the control daemon and continues with its last view.";
    2006 info RequestRefused { request: String, code: String, outcome: String } "A request was refused.";
    2007 warn BackendFailed { request: String, service: String, backend: SocketAddr, error: String } "A backend server failed while it processed a request.";
    2008 warn ConnectionsFull { connections: u64 } "The number of caller connections reached its limit; further connections are rejected.";
    2009 warn AnswerRefused { request: String, service: String, backend: SocketAddr } "The end of a backend server's response could not be determined, so the response was not forwarded.";
    2016 info OperationsHandedOver { operations: u64, kept: bool } "A stopping gate handed operations over to another VM; `kept` tells whether a VM has them.";
    3001 info EntryStarted { vm: String, zone: String } "An entry VM's daemon accepts connections from callers.";
    3002 info EntryLeaving { vm: String } "The daemon is shutting down and directs callers to other entry VMs.";
    3003 info EntryStopped { vm: String, cut: u64 } "The daemon has stopped; `cut` counts the requests that were aborted.";
    3004 info SettingsRead { changed: bool } "The settings were reloaded; `changed` tells whether a limit in force changed.";
    3005 info ServerJoined { server: String, service: String, zone: String, backend: SocketAddr } "An incarnation of a backend server was registered.";
    3006 info ServerLeaving { server: String } "A backend server accepts no new requests.";
    3007 info ServerGone { server: String } "A backend server's registration no longer exists.";
    3008 info ZoneEvacuated { zone: String, evacuated: bool } "The evacuation of a zone began or ended.";
    3009 warn KeyUnreadable { key: String, problem: String } "A key in the store cannot be decoded; the last known value stays in use.";
    3010 warn NeighbourUnreachable { addr: SocketAddr, error: String } "Another entry VM did not report its state.";
    3011 info RequestEnded { request: String, status: u16, reason: String, workspace: String, route: String, service: String, server: String, sent: u32, warmth: String, heartbeat_ms: u64, config: u64, via: String, via_config: u64, asked_config: u64, ms: u64 } "A request was answered; successes are sampled. `warmth` is the assumed warmth of the last backend server when the request was sent to it, `heartbeat_ms` the age of its latest heartbeat at that time. `via` is the VM through which it was passed on, `via_config` the configuration that this VM named. At that VM, `asked_config` is the configuration of the VM that passed it on.";
    3012 error ServerCrashed { server: String, fingerprint: String } "A backend server is unreachable right after it broke off a request.";
    3013 warn LinesDropped { lines: u64 } "Standard output was not read in time, so lines were dropped; `lines` counts the dropped lines since the start.";
    3014 warn SettingsUnreadable { error: String } "The settings cannot be reloaded; the previous settings stay in force.";
    3015 warn MetricsNotServed { error: String } "The metrics address cannot be bound; the daemon runs without serving metrics.";
    3016 warn ServerLost { server: String, zone: String } "A backend server is unreachable; no request is sent to it until a connection succeeds.";
    3017 info ServerBack { server: String, was_cut: bool, ms: u64 } "An unreachable backend server can be reached again after `ms`; `was_cut` tells whether this VM itself was partitioned.";
    3018 info WarmthChanged { server: String, service: String, zone: String, belief: String, by: String, sequence: u64, born_ms: u64, left_ms: u64, sent: u64 } "The assumed warmth of a backend server (`belief`) changed; `by` is the cause, `sent` counts this VM's requests to the server in the last second.";
    3019 info OwnerChanged { server: String, owner: String, is_own: bool, ready: u64, heard: u64, known: u64 } "Another entry VM ranks first as the owner of a cold backend server, or this VM may now send requests to it or no longer (`is_own`).";
    3020 info ColdSent { server: String, belief: String, sent: u64, most: f64, is_own: bool, sequence: u64, heartbeat_ms: u64 } "Requests that this VM sent in the last second to a backend server that it assumes to be cold.";
    3021 warn ConfigIncomplete { revision: u64, problem: String } "A part of a configuration that came into force could not be interpreted in full; `problem` says how it is treated.";
    3022 info RateUsedUp { workspace: String, per_s: f64, burst: f64, tokens: f64, admitted: f64, granted: f64, alive: u64, known: u64, settled: bool } "The owner of a workspace's rate limit rejects requests: `tokens` are left in the fleet's bucket, from which the other VMs took `admitted` a second unasked and `granted` a second as owners. Logged once a second for each workspace.";
    3023 info ServerLimitChanged { server: String, service: String, per_s: Option<f64>, earlier_per_s: Option<f64>, by: String } "A backend server names another limit than before on the requests a second that it takes from all entry VMs together (`per_s`; absent: none); `by` tells whether a response said so or another VM.";
    3024 warn HeaderInvalid { request: String, server: String, header: String } "A header of a backend server's response cannot be read and is ignored; logged once for each server.";
    3025 warn RelayBegan { request: String, service: String, vm: SocketAddr } "This VM reaches no backend server for a request and passed it on through another VM; logged once until a backend server is reached again.";
    3026 info RelayEnded {} "A backend server can be reached from this VM again.";
    3027 warn StoreEraChanged { era: u64, earlier: u64, revision: u64, earlier_revision: u64, missing: u64 } "The store was restored from an older copy and is in the era `era`, at `revision`; before, the state of `earlier` up to `earlier_revision` was known (0: the store named no era). `missing` counts the known keys that the copy does not have; they are kept until their writers had time to write them again.";
    3028 info RelayRefused { request: String, service: String, vm: SocketAddr, reason: String, config: u64, vm_config: u64 } "The VM `vm`, through which a request was to be passed on, could not help. `config` is the configuration of this VM, `vm_config` the one that the other named (0: none).";
    3029 error TaskFailed { task: String, error: String } "A task of the daemon failed and is started again; the process serves on with what it knows.";
    3030 info OutageTakenBack {} "Another VM followed the store all the time for which this one took it for down, so it was this VM that was cut off; registrations that are missing since count as removed.";
    3031 info TransferEnded { purpose: String, source: String, complete: bool, bytes: u64, expected: u64, ms: u64, age_ms: u64 } "A response of the store or of another entry VM (`source`) that brings the store's state was large, or ended before it was complete: `bytes` of `expected` (0: unknown) arrived in `ms`. `age_ms` is the age of the state in it.";
    3032 info ConfigApplied { revision: u64, bytes: u64, decode_ms: u64, apply_ms: u64 } "A configuration of `bytes` was decoded in `decode_ms` and applied in `apply_ms`.";
}
