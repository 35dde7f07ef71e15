//! Metrics and refusal events of requests.

use std::sync::Arc;
use std::time::Instant;

use event::Event;

use crate::compiled::Service;
use crate::metrics::{Metric, result_tags};
use crate::proxy::Proxy;
use crate::refusal::Refused;

/// Service tag of requests whose service is not known.
const NO_SERVICE: &str = "none";

/// Data recorded about a request.
#[derive(Debug)]
pub struct Record {
    /// ID of the request.
    pub id: String,
    /// Arrival time.
    pub arrived: Instant,
    /// Service of the request; `None` until the route and key are accepted.
    pub service: Option<Arc<Service>>,
}

impl Record {
    /// Creates a record of a request that arrived just now.
    #[must_use]
    pub fn new(id: String) -> Self {
        Self {
            id,
            arrived: Instant::now(),
            service: None,
        }
    }

    /// Emits the metrics of the finished request, and an event if it was refused.
    pub fn finish(&self, proxy: &Proxy, refused: Option<&Refused>) {
        let service = self.service.as_ref();
        let service = service.map_or(NO_SERVICE, |service| service.name.as_str());
        let (code, outcome) = result_tags(refused);
        let metrics = &proxy.metrics;
        metrics.count(Metric::Requests, &[service, code, outcome]);
        let elapsed = self.arrived.elapsed();
        metrics.time(Metric::FirstByte, elapsed, &[service, outcome]);
        if refused.is_some() {
            event::emit(&Event::RequestRefused {
                request: self.id.clone(),
                code: code.to_owned(),
                outcome: outcome.to_owned(),
            });
        }
    }
}
