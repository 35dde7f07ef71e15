//! Recording of request results for the service-level burn report.

use std::sync::PoisonError;
use std::time::Instant;

use burn::{Ending, Sample};
use http::Response;

use crate::admit::Admitted;
use crate::proxy::Proxy;
use crate::refusal::{Outcome, Refusal, Refused};
use crate::upstream::Body;

/// Measurement of an admitted request. A request whose caller disconnects before the response is
/// not counted, since nobody waited for it.
#[derive(Debug)]
pub struct Measurement<'a> {
    proxy: &'a Proxy,
    admitted: &'a Admitted,
    started: Instant,
}

impl<'a> Measurement<'a> {
    /// Starts the measurement of a request that was admitted just now.
    #[must_use]
    pub fn new(proxy: &'a Proxy, admitted: &'a Admitted) -> Self {
        Self {
            proxy,
            admitted,
            started: Instant::now(),
        }
    }

    /// Records the result of the request. Refusals caused by the caller are not counted.
    pub fn finish(&mut self, result: Result<&Response<Body>, &Refused>) {
        let ending = match result {
            Ok(result) if result.status().is_server_error() => Some(Ending::Failed),
            Ok(_) => Some(Ending::Served),
            Err(refused) => ending(*refused),
        };
        let Some(ending) = ending else {
            return;
        };
        let sample = Sample {
            service: &self.admitted.route.service.name,
            workspace: self.admitted.workspace().unwrap_or_default(),
            ending,
            latency_us: u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX),
        };
        let recorder = self.proxy.recorder.lock();
        let mut recorder = recorder.unwrap_or_else(PoisonError::into_inner);
        recorder.record(sample);
    }
}

fn ending(refused: Refused) -> Option<Ending> {
    let status = refused.refusal.status();
    if status.is_server_error() || refused.outcome == Outcome::Unknown {
        return Some(Ending::Failed);
    }
    (refused.refusal == Refusal::RateExceeded).then_some(Ending::Limited)
}
