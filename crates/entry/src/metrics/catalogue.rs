//! Catalogue of the metrics, which `docs/METRICS-ENTRY.md` repeats.

/// A metric's entry in the catalogue.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Name.
    pub name: &'static str,
    /// Kind.
    pub kind: &'static str,
    /// Labels.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

/// All metrics.
pub const CATALOGUE: &[Entry] = &[
    REQUESTS,
    SECONDS,
    BACKEND_SECONDS,
    IN_FLIGHT,
    REJECTED_CONNECTIONS,
    BAD_MESSAGES,
    BAD_HEADERS,
    TASK_FAILURES,
    SOCKET_ERRORS,
    CLOSED_CALLERS,
    DROPPED_RESPONSES,
    BODY_WAITS,
    STORE_CALLS,
    TRANSFERS,
    TRANSFERRED_BYTES,
    TRANSFER_SECONDS,
    TICK_DELAY,
    MESSAGES,
    LOAD_ENTRIES,
    ADMISSIONS,
    RELAYS,
    STORE_AGE,
    STORE_ERA,
    VERSION,
    SERVERS,
    LIMITED,
    COLD,
    PRESSURED,
    UTILIZATION,
    SPILL,
    VMS,
    VMS_KNOWN,
    LINES_DROPPED,
];

const fn entry(
    name: &'static str,
    kind: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> Entry {
    Entry {
        name,
        kind,
        labels,
        help,
    }
}

pub(super) const REQUESTS: Entry = entry(
    "teaseldoor_requests_total",
    "counter",
    &["service", "outcome"],
    "Requests that ended, by the reason of their answer.",
);
pub(super) const SECONDS: Entry = entry(
    "teaseldoor_request_seconds",
    "histogram",
    &["service"],
    "Time from a whole request head to the answer.",
);
pub(super) const BACKEND_SECONDS: Entry = entry(
    "teaseldoor_backend_seconds",
    "histogram",
    &["service"],
    "Time of one exchange with a backend server.",
);
pub(super) const IN_FLIGHT: Entry =
    entry("teaseldoor_in_flight", "gauge", &[], "Requests in flight.");
pub(super) const REJECTED_CONNECTIONS: Entry = entry(
    "teaseldoor_connections_turned_away_total",
    "counter",
    &[],
    "Callers' connections closed since too many were open.",
);
pub(super) const BAD_HEADERS: Entry = entry(
    "teaseldoor_bad_headers_total",
    "counter",
    &[],
    "Headers of backend servers' responses that could not be read.",
);
pub(super) const BAD_MESSAGES: Entry = entry(
    "teaseldoor_bad_messages_total",
    "counter",
    &[],
    "Messages between entry VMs that could not be read or written.",
);
pub(super) const TASK_FAILURES: Entry = entry(
    "teaseldoor_task_failures_total",
    "counter",
    &["task"],
    "Failures of tasks that were started again, and of records of the store that could not be applied.",
);
pub(super) const SOCKET_ERRORS: Entry = entry(
    "teaseldoor_socket_errors_total",
    "counter",
    &[],
    "Socket options that could not be set.",
);
pub(super) const CLOSED_CALLERS: Entry = entry(
    "teaseldoor_closed_callers_total",
    "counter",
    &["reason"],
    "Callers closed since they did not read their response: for too long, or while memory was short.",
);
pub(super) const DROPPED_RESPONSES: Entry = entry(
    "teaseldoor_dropped_responses_total",
    "counter",
    &["service"],
    "Responses of backend servers that were dropped for lack of memory.",
);
pub(super) const BODY_WAITS: Entry = entry(
    "teaseldoor_body_waits_total",
    "counter",
    &["service", "outcome"],
    "Requests whose body waited until the backend server held fewer, by what followed.",
);
pub(super) const STORE_CALLS: Entry = entry(
    "teaseldoor_store_calls_total",
    "counter",
    &["purpose", "outcome"],
    "Calls to the platform's store.",
);
pub(super) const TRANSFERS: Entry = entry(
    "teaseldoor_state_transfers_total",
    "counter",
    &["purpose", "outcome"],
    "Responses that bring the store's state, from the store and from other entry VMs: complete, or cut before.",
);
pub(super) const TRANSFERRED_BYTES: Entry = entry(
    "teaseldoor_state_transferred_bytes_total",
    "counter",
    &["purpose", "outcome"],
    "Bytes of these responses, those included that were received in vain.",
);
pub(super) const TRANSFER_SECONDS: Entry = entry(
    "teaseldoor_state_transfer_seconds",
    "histogram",
    &["purpose"],
    "Time of one of these responses, with the time that the store waits for changes.",
);
pub(super) const TICK_DELAY: Entry = entry(
    "teaseldoor_tick_delay_seconds",
    "histogram",
    &[],
    "Time by which the regular task of the thread that serves requests ran late.",
);
pub(super) const MESSAGES: Entry = entry(
    "teaseldoor_messages_sent_total",
    "counter",
    &["kind"],
    "Messages sent to other entry VMs.",
);
pub(super) const LOAD_ENTRIES: Entry = entry(
    "teaseldoor_load_entries_total",
    "counter",
    &["outcome"],
    "Entries on the load of backend servers that were sent to other entry VMs, received, or did not fit into a round.",
);
pub(super) const ADMISSIONS: Entry = entry(
    "teaseldoor_admissions_total",
    "counter",
    &["outcome"],
    "Requests of workspaces with a rate limit, by how they were admitted or rejected.",
);
pub(super) const RELAYS: Entry = entry(
    "teaseldoor_relayed_requests_total",
    "counter",
    &["outcome"],
    "Requests passed on through another entry VM, since this one reaches no backend server for them, by the answer of each VM asked: `answered`, the reason of its refusal, `unreachable`, or `unknown` for a reason of a later version.",
);
pub(super) const STORE_AGE: Entry = entry(
    "teaseldoor_state_age_seconds",
    "gauge",
    &[],
    "Age of what is known of configuration and backend servers.",
);
pub(super) const STORE_ERA: Entry = entry(
    "teaseldoor_store_era",
    "gauge",
    &[],
    "Era of the store whose state is known; 0 if the store names none.",
);
pub(super) const VERSION: Entry = entry(
    "teaseldoor_config_version",
    "gauge",
    &[],
    "Version of the configuration in force.",
);
pub(super) const LIMITED: Entry = entry(
    "teaseldoor_limited_servers",
    "gauge",
    &["service"],
    "Backend servers that name a limit on their requests.",
);
pub(super) const SERVERS: Entry = entry(
    "teaseldoor_backend_servers",
    "gauge",
    &["service"],
    "Backend servers that take new work.",
);
pub(super) const COLD: Entry = entry(
    "teaseldoor_cold_servers",
    "gauge",
    &["service", "belief"],
    "Backend servers that said they are cold, or are suspected to be.",
);
pub(super) const PRESSURED: Entry = entry(
    "teaseldoor_pressured_servers",
    "gauge",
    &["service"],
    "Backend servers that share their machine and were reported full or slow within the last second.",
);
pub(super) const UTILIZATION: Entry = entry(
    "teaseldoor_zone_busy_ratio",
    "gauge",
    &["service"],
    "Requests for each slot of the zone's backend servers.",
);
pub(super) const SPILL: Entry = entry(
    "teaseldoor_spill_ratio",
    "gauge",
    &["service", "to"],
    "Part of the requests that begin away from the zone, on routes whose requests stay near.",
);
pub(super) const VMS: Entry = entry(
    "teaseldoor_entry_vms",
    "gauge",
    &[],
    "Entry VMs that are heard of, this one included.",
);
pub(super) const VMS_KNOWN: Entry = entry(
    "teaseldoor_entry_vms_known",
    "gauge",
    &[],
    "Entry VMs that are announced, or were until lately, this one included.",
);
pub(super) const LINES_DROPPED: Entry = entry(
    "teaseldoor_log_lines_dropped",
    "gauge",
    &[],
    "Log lines left out since the process started.",
);
