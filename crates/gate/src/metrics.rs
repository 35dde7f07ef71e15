//! Statsd metrics, sent over UDP.

#[cfg(test)]
mod tests;

use std::fmt::Write as _;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{
    BufferedUdpMetricSink, MetricBuilder, NopMetricSink, QueuingMetricSink, StatsdClient,
};
use eyre::WrapErr;

use crate::refusal::Refused;

/// Prefix of every metric.
const PREFIX: &str = "teaseldoor.gate";

/// Maximum number of metrics waiting to be sent; further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Code tag of requests with a response from a backend server.
const SERVED: &str = "served";

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A sum of increments.
    Counter,
    /// A duration, in milliseconds.
    Timer,
    /// A current value.
    Gauge,
}

macro_rules! metrics {
    ($($name:ident $text:literal $kind:ident [$($tag:literal),*] $summary:literal;)*) => {
        /// A metric. See `docs/METRICS.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $summary] $name,)*
        }

        impl Metric {
            /// All metrics.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the name without the prefix.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns its type.
            #[must_use]
            pub fn kind(self) -> Kind {
                match self { $(Self::$name => Kind::$kind,)* }
            }

            /// Returns the names of its tags, without those common to all metrics.
            #[must_use]
            pub fn tags(self) -> &'static [&'static str] {
                match self { $(Self::$name => &[$($tag),*],)* }
            }

            /// Returns its description.
            #[must_use]
            pub fn summary(self) -> &'static str {
                match self { $(Self::$name => $summary,)* }
            }
        }
    };
}

metrics! {
    Requests "requests" Counter ["service", "code", "outcome"] "Requests that were answered. `code` is `served` or the code of a refusal; `outcome` is `served`, `not-run` or `unknown`. `service` is `none` if no route matched or the key was refused.";
    FirstByte "first_byte" Timer ["service", "outcome"] "Time from a request's arrival to the head of its answer.";
    Retries "retries" Counter ["service", "failure"] "Further attempts at a request. `failure` is `unreached`, `shed` or `broken`.";
    TurnedAway "turned_away" Counter [] "Connections past the bound.";
    Connections "connections" Gauge [] "Callers' connections.";
    InFlight "in_flight" Gauge [] "Requests in flight.";
}

/// Client that sends metrics, or drops them if there is no collector.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates the metrics client of the gate on VM `vm` in `zone`, which sends to `collector`.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn new(collector: Option<SocketAddr>, vm: &str, zone: &str) -> eyre::Result<Self> {
        let builder = match collector {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(collector) => StatsdClient::builder(PREFIX, sink(collector)?),
        };
        let client = builder.with_tag("vm", vm).with_tag("zone", zone).build();
        Ok(Self { client })
    }

    /// Increments `metric` by one. `values` are the values of its tags in order.
    pub fn count(&self, metric: Metric, values: &[&str]) {
        let builder = self.client.count_with_tags(metric.name(), 1);
        send(builder, metric, values);
    }

    /// Records a duration. `values` are the values of the tags of `metric` in order.
    pub fn time(&self, metric: Metric, duration: Duration, values: &[&str]) {
        let builder = self.client.time_with_tags(metric.name(), duration);
        send(builder, metric, values);
    }

    /// Sets the value of a gauge.
    pub fn set(&self, metric: Metric, value: u64) {
        send(
            self.client.gauge_with_tags(metric.name(), value),
            metric,
            &[],
        );
    }
}

fn sink(collector: SocketAddr) -> eyre::Result<QueuingMetricSink> {
    let local_addr = match collector {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(local_addr).wrap_err("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(collector, socket)?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY))
}

fn send<'m, T>(mut builder: MetricBuilder<'m, '_, T>, metric: Metric, values: &[&'m str])
where
    T: cadence::Metric + From<String>,
{
    for (tag, value) in metric.tags().iter().zip(values) {
        builder = builder.with_tag(tag, value);
    }
    // Metrics that cannot be sent are dropped; the queue capacity limits their cost.
    let _ = builder.try_send();
}

/// Returns the code and outcome tags for the result of a request.
#[must_use]
pub fn result_tags(refused: Option<&Refused>) -> (&'static str, &'static str) {
    match refused {
        None => (SERVED, SERVED),
        Some(refused) => (refused.refusal.code(), refused.outcome.code()),
    }
}

/// Renders the content of `docs/METRICS.md`.
#[must_use]
pub fn render() -> String {
    let mut page = format!(
        "# Metrics\n\n\
         A gate sends metrics in the format of statsd, with tags, over UDP to the address\n\
         `metrics` in its settings, and none if the setting is absent. Each name begins with\n\
         `{PREFIX}.`, and each metric has the tags `vm` and `zone` besides those below.\n\n\
         | name | kind | tags | meaning |\n|---|---|---|---|\n"
    );
    for metric in Metric::ALL {
        let kind = match metric.kind() {
            Kind::Counter => "counter",
            Kind::Timer => "timer, ms",
            Kind::Gauge => "gauge",
        };
        let (name, tags, summary) = (metric.name(), metric.tags().join(", "), metric.summary());
        let _ = writeln!(page, "| {name} | {kind} | {tags} | {summary} |");
    }
    page
}
