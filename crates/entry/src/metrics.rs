//! Metrics of the daemon, in the text format of Prometheus.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

mod catalogue;

use catalogue::{
    ADMISSIONS, BACKEND_SECONDS, BAD_HEADERS, BAD_MESSAGES, BODY_WAITS, CLOSED_CALLERS, COLD,
    DROPPED_RESPONSES, IN_FLIGHT, LIMITED, LINES_DROPPED, LOAD_ENTRIES, MESSAGES, PRESSURED,
    REJECTED_CONNECTIONS, RELAYS, REQUESTS, SECONDS, SERVERS, SOCKET_ERRORS, SPILL, STORE_AGE,
    STORE_CALLS, STORE_ERA, TASK_FAILURES, TICK_DELAY, TRANSFER_SECONDS, TRANSFERRED_BYTES,
    TRANSFERS, UTILIZATION, VERSION, VMS, VMS_KNOWN,
};
pub use catalogue::{CATALOGUE, Entry};

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    seconds: HistogramVec,
    backend_seconds: HistogramVec,
    store_calls: IntCounterVec,
    transfers: IntCounterVec,
    transferred_bytes: IntCounterVec,
    transfer_seconds: HistogramVec,
    tick_delay: Histogram,
    messages: IntCounterVec,
    load_entries: IntCounterVec,
    admissions: IntCounterVec,
    relays: IntCounterVec,
    rejected_connections: IntCounter,
    bad_messages: IntCounter,
    bad_headers: IntCounter,
    task_failures: IntCounterVec,
    socket_errors: IntCounter,
    closed_callers: IntCounterVec,
    dropped_responses: IntCounterVec,
    body_waits: IntCounterVec,
    gauges: Gauges,
}

/// Gauges, set when the metrics are read.
#[derive(Debug)]
pub struct Gauges {
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Age of the state, in seconds.
    pub store_age: Gauge,
    /// Era of the store.
    pub store_era: IntGauge,
    /// Version of the configuration.
    pub version: IntGauge,
    /// Backend servers by service.
    pub servers: GaugeVec,
    /// Backend servers that name a limit, by service.
    pub limited: GaugeVec,
    /// Cold backend servers by service and warmth.
    pub cold: GaugeVec,
    /// Backend servers under pressure, by service.
    pub pressured: GaugeVec,
    /// Utilization by service.
    pub utilization: GaugeVec,
    /// Ratio of the requests that spill, by service and destination.
    pub spill: GaugeVec,
    /// Entry VMs that reported recently.
    pub vms: IntGauge,
    /// Entry VMs that are announced, or were until recently.
    pub vms_known: IntGauge,
    /// Dropped log lines.
    pub lines_dropped: IntGauge,
}

impl Default for Metrics {
    /// Creates metrics that count from zero.
    ///
    /// # Panics
    ///
    /// Panics if the catalogue contains a metric twice.
    fn default() -> Self {
        let registry = Registry::new();
        let register = |metric: Box<dyn Collector>| {
            registry
                .register(metric)
                .expect("the catalogue contains each metric once");
        };
        let requests = counters(&REQUESTS);
        let seconds = histograms(&SECONDS);
        let backend_seconds = histograms(&BACKEND_SECONDS);
        let store_calls = counters(&STORE_CALLS);
        let transfers = counters(&TRANSFERS);
        let transferred_bytes = counters(&TRANSFERRED_BYTES);
        let transfer_seconds = histograms(&TRANSFER_SECONDS);
        let tick_delay = histogram(&TICK_DELAY);
        let messages = counters(&MESSAGES);
        let load_entries = counters(&LOAD_ENTRIES);
        let admissions = counters(&ADMISSIONS);
        let relays = counters(&RELAYS);
        let rejected_connections = counter(&REJECTED_CONNECTIONS);
        let bad_messages = counter(&BAD_MESSAGES);
        let bad_headers = counter(&BAD_HEADERS);
        let task_failures = counters(&TASK_FAILURES);
        let socket_errors = counter(&SOCKET_ERRORS);
        let closed_callers = counters(&CLOSED_CALLERS);
        let dropped_responses = counters(&DROPPED_RESPONSES);
        let body_waits = counters(&BODY_WAITS);
        let gauges = Gauges {
            in_flight: int_gauge(&IN_FLIGHT),
            store_age: gauge(&STORE_AGE),
            store_era: int_gauge(&STORE_ERA),
            version: int_gauge(&VERSION),
            servers: gauges(&SERVERS),
            limited: gauges(&LIMITED),
            cold: gauges(&COLD),
            pressured: gauges(&PRESSURED),
            utilization: gauges(&UTILIZATION),
            spill: gauges(&SPILL),
            vms: int_gauge(&VMS),
            vms_known: int_gauge(&VMS_KNOWN),
            lines_dropped: int_gauge(&LINES_DROPPED),
        };
        register(Box::new(requests.clone()));
        register(Box::new(seconds.clone()));
        register(Box::new(backend_seconds.clone()));
        register(Box::new(store_calls.clone()));
        register(Box::new(transfers.clone()));
        register(Box::new(transferred_bytes.clone()));
        register(Box::new(transfer_seconds.clone()));
        register(Box::new(tick_delay.clone()));
        register(Box::new(messages.clone()));
        register(Box::new(load_entries.clone()));
        register(Box::new(admissions.clone()));
        register(Box::new(relays.clone()));
        register(Box::new(rejected_connections.clone()));
        register(Box::new(bad_messages.clone()));
        register(Box::new(bad_headers.clone()));
        register(Box::new(task_failures.clone()));
        register(Box::new(socket_errors.clone()));
        register(Box::new(closed_callers.clone()));
        register(Box::new(dropped_responses.clone()));
        register(Box::new(body_waits.clone()));
        register(Box::new(gauges.in_flight.clone()));
        register(Box::new(gauges.store_age.clone()));
        register(Box::new(gauges.store_era.clone()));
        register(Box::new(gauges.version.clone()));
        register(Box::new(gauges.servers.clone()));
        register(Box::new(gauges.limited.clone()));
        register(Box::new(gauges.cold.clone()));
        register(Box::new(gauges.pressured.clone()));
        register(Box::new(gauges.utilization.clone()));
        register(Box::new(gauges.spill.clone()));
        register(Box::new(gauges.vms.clone()));
        register(Box::new(gauges.vms_known.clone()));
        register(Box::new(gauges.lines_dropped.clone()));
        Self {
            registry,
            requests,
            seconds,
            backend_seconds,
            store_calls,
            transfers,
            transferred_bytes,
            transfer_seconds,
            tick_delay,
            messages,
            load_entries,
            admissions,
            relays,
            rejected_connections,
            bad_messages,
            bad_headers,
            task_failures,
            socket_errors,
            closed_callers,
            dropped_responses,
            body_waits,
            gauges,
        }
    }
}

const VALID: &str = "the catalogue's names and labels are valid";

fn counters(entry: &Entry) -> IntCounterVec {
    IntCounterVec::new(Opts::new(entry.name, entry.help), entry.labels).expect(VALID)
}

fn counter(entry: &Entry) -> IntCounter {
    IntCounter::new(entry.name, entry.help).expect(VALID)
}

fn histograms(entry: &Entry) -> HistogramVec {
    let options = HistogramOpts::new(entry.name, entry.help).buckets(BUCKETS.to_vec());
    HistogramVec::new(options, entry.labels).expect(VALID)
}

fn histogram(entry: &Entry) -> Histogram {
    let options = HistogramOpts::new(entry.name, entry.help).buckets(BUCKETS.to_vec());
    Histogram::with_opts(options).expect(VALID)
}

fn gauge(entry: &Entry) -> Gauge {
    Gauge::new(entry.name, entry.help).expect(VALID)
}

fn int_gauge(entry: &Entry) -> IntGauge {
    IntGauge::new(entry.name, entry.help).expect(VALID)
}

fn gauges(entry: &Entry) -> GaugeVec {
    GaugeVec::new(Opts::new(entry.name, entry.help), entry.labels).expect(VALID)
}

impl Metrics {
    /// Counts a request for `service` that ended with `outcome` after `elapsed`.
    pub fn note_request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.requests.with_label_values(&[service, outcome]).inc();
        self.seconds
            .with_label_values(&[service])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts an exchange with a backend server of `service`.
    pub fn note_exchange(&self, service: &str, elapsed: Duration) {
        let histogram = self.backend_seconds.with_label_values(&[service]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn note_store_call(&self, purpose: &str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.store_calls
            .with_label_values(&[purpose, outcome])
            .inc();
    }

    /// Counts a response that brings the store's state.
    pub fn note_transfer(&self, purpose: &str, is_complete: bool, bytes: u64, elapsed: Duration) {
        let labels = [purpose, if is_complete { "complete" } else { "cut" }];
        self.transfers.with_label_values(&labels).inc();
        self.transferred_bytes
            .with_label_values(&labels)
            .inc_by(bytes);
        let histogram = self.transfer_seconds.with_label_values(&[purpose]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Records by how much a regular task ran late.
    pub fn note_tick_delay(&self, delay: Duration) {
        self.tick_delay.observe(delay.as_secs_f64());
    }

    /// Counts a message sent to another entry VM.
    pub fn note_message(&self, kind: &str) {
        self.messages.with_label_values(&[kind]).inc();
    }

    /// Counts entries on the load of backend servers.
    pub fn note_load_entries(&self, outcome: &str, count: usize) {
        if count > 0 {
            let counter = self.load_entries.with_label_values(&[outcome]);
            counter.inc_by(count as u64);
        }
    }

    /// Counts a request of a workspace with a rate limit.
    pub fn note_admission(&self, outcome: &str) {
        self.admissions.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that was passed on through another entry VM.
    pub fn note_relay(&self, outcome: &str) {
        self.relays.with_label_values(&[outcome]).inc();
    }

    /// Counts a connection that was rejected because too many were open.
    pub fn note_rejected_connection(&self) {
        self.rejected_connections.inc();
    }

    /// Counts a message between entry VMs that could not be decoded or encoded.
    pub fn note_bad_message(&self) {
        self.bad_messages.inc();
    }

    /// Counts a failure of `task`.
    pub fn note_task_failure(&self, task: &str) {
        self.task_failures.with_label_values(&[task]).inc();
    }

    /// Counts a header of a backend server's response that could not be read.
    pub fn note_bad_header(&self) {
        self.bad_headers.inc();
    }

    /// Counts a socket option that could not be set; the connection is used without it.
    pub fn note_socket_error(&self) {
        self.socket_errors.inc();
    }

    /// Counts a caller that was closed because it did not read its response.
    pub fn note_closed_caller(&self, reason: &str) {
        self.closed_callers.with_label_values(&[reason]).inc();
    }

    /// Counts a response of a backend server of `service` that was dropped for lack of memory.
    pub fn note_dropped_response(&self, service: &str) {
        self.dropped_responses.with_label_values(&[service]).inc();
    }

    /// Counts a request for `service` whose body waited.
    pub fn note_body_wait(&self, service: &str, outcome: &str) {
        let counter = self.body_waits.with_label_values(&[service, outcome]);
        counter.inc();
    }

    /// Returns the gauges.
    #[must_use]
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# metrics cannot be rendered: {error}\n").into_bytes();
        }
        text
    }
}

/// Returns the catalogue as a Markdown table.
#[must_use]
pub fn markdown_table() -> String {
    let line = |entry: &Entry| {
        let labels = entry.labels.join(", ");
        format!(
            "| `{}` | {} | {labels} | {} |\n",
            entry.name, entry.kind, entry.help
        )
    };
    let lines: String = CATALOGUE.iter().map(line).collect();
    format!("| metric | kind | labels | meaning |\n|---|---|---|---|\n{lines}")
}
