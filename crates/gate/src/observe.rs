//! What is recorded of each request: metrics and refusals.

use std::sync::Arc;
use std::time::Instant;

use event::Event;

use crate::compiled::Service;
use crate::metrics::{Metric, result_tags};
use crate::proxy::Proxy;
use crate::refusal::Refused;

/// Service of requests for which none is known.
const NO_SERVICE: &str = "none";

/// A request as far as it has come.
#[derive(Debug)]
pub struct Record {
    /// Number of the request.
    pub id: String,
    /// When it arrived.
    pub arrived: Instant,
    /// Its service, once its route and key were accepted.
    pub service: Option<Arc<Service>>,
}

impl Record {
    /// Creates a request that arrived just now.
    #[must_use]
    pub fn new(id: String) -> Self {
        Self {
            id,
            arrived: Instant::now(),
            service: None,
        }
    }

    /// Records how the request ended, with its refusal if there was one.
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
