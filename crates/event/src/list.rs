//! Every event that a process logs.

use std::net::SocketAddr;

use serde::Serialize;

use crate::catalogue::Entry;

macro_rules! events {
    ($($number:literal $level:ident $name:ident { $($field:ident : $kind:ty),* } $summary:literal;)*) => {
        /// A thing worth a log line. See `docs/EVENTS.md`.
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

        /// All events by number.
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
    1001 info ControlStarted { vm: String, zone: String, peer: SocketAddr } "A control daemon serves peers.";
    1002 info ControlStopped { vm: String } "A control daemon has stopped.";
    1003 info ConfigReceived { revision: u64, source: String } "A newer revision of the text arrived.";
    1004 error ConfigRejected { revision: u64, problem: String } "A revision could not be read; the earlier one stays in force.";
    1005 info KeysChanged { records: u64, withdrawn: u64 } "The key records changed.";
    1006 warn StoreUnreachable { purpose: String, error: String } "A call to the platform's service failed.";
    1007 info StoreReachable {} "The platform's service answers again.";
    2001 info GateStarted { vm: String, zone: String, addr: SocketAddr } "A gate accepts callers.";
    2002 info GateLeaving { vm: String, in_flight: u64 } "A gate began its graceful shutdown.";
    2003 info GateStopped { vm: String, cut: u64 } "A gate has stopped; `cut` counts requests that were cut off.";
    2004 info ConfigInForce { revision: u64 } "A revision is in force at the gate.";
    2005 warn ControlUnreachable { error: String } "The gate goes on with its last view.";
    2006 info RequestRefused { request: String, code: String, outcome: String } "A request was refused.";
    2007 warn BackendFailed { request: String, service: String, backend: SocketAddr, error: String } "A backend server failed while it ran a request.";
    2008 warn ConnectionsFull { connections: u64 } "Callers' connections have reached their bound; further ones are turned away.";
    2009 warn AnswerRefused { request: String, service: String, backend: SocketAddr } "The end of a backend server's answer was not certain, so it was not passed on.";
    2016 info OperationsHandedOver { operations: u64, kept: bool } "A stopping gate gave operations to another VM; `kept` says whether one has them.";
    3001 info EntryStarted { vm: String, zone: String } "An entry VM's daemon accepts callers.";
    3002 info EntryLeaving { vm: String } "The daemon was told to stop and sends callers elsewhere.";
    3003 info EntryStopped { vm: String, cut: u64 } "The daemon has stopped; `cut` counts requests that were cut off.";
    3004 info SettingsRead { changed: bool } "The settings were read anew; `changed` says whether a bound in force did.";
    3005 info ServerJoined { server: String, service: String, zone: String, backend: SocketAddr } "A backend server's incarnation was registered.";
    3006 info ServerLeaving { server: String } "A backend server takes no new work.";
    3007 info ServerGone { server: String } "A backend server's registration is gone.";
    3008 info ZoneEvacuated { zone: String, evacuated: bool } "The evacuation of a zone began or ended.";
    3009 warn KeyUnreadable { key: String, problem: String } "A key of the store cannot be read; what was known stays.";
    3010 warn NeighbourUnreachable { addr: SocketAddr, error: String } "Another entry VM did not tell its state.";
    3011 info RequestEnded { request: String, status: u16, reason: String, workspace: String, route: String, service: String, server: String, sent: u32, warmth: String, heartbeat_ms: u64, config: u64, ms: u64 } "A request was answered; successes are sampled. `warmth` is what was believed of the last backend server when it was sent there, `heartbeat_ms` the age of its latest heartbeat then.";
    3012 error ServerCrashed { server: String, fingerprint: String } "A backend server cannot be reached right after it broke off a request.";
    3013 warn LinesDropped { lines: u64 } "Standard output was not read in time, so lines were left out; `lines` counts them since the start.";
    3014 warn SettingsUnreadable { error: String } "The settings cannot be read anew; the earlier ones stay in force.";
    3015 warn MetricsNotServed { error: String } "The metrics' address cannot be bound; the daemon goes on.";
    3016 warn ServerLost { server: String, zone: String } "A backend server cannot be reached; no request is sent to it until a connection succeeds.";
    3017 info ServerBack { server: String, was_cut: bool, ms: u64 } "A lost backend server can be reached again after `ms`; `was_cut` says whether the VM itself had been cut off.";
    3018 info WarmthChanged { server: String, service: String, zone: String, belief: String, by: String, sequence: u64, born_ms: u64, left_ms: u64, sent: u64 } "What is believed of a backend server's warmth changed, `by` what; `sent` counts this VM's requests to it in the last second.";
    3019 info OwnerChanged { server: String, owner: String, is_own: bool, ready: u64, heard: u64, known: u64 } "Another entry VM comes first for a cold backend server, or this one may send to it from now on or no more (`is_own`).";
    3020 info ColdSent { server: String, belief: String, sent: u64, most: f64, is_own: bool, sequence: u64, heartbeat_ms: u64 } "Requests that this VM sent in the last second to a backend server that it takes for cold.";
}
