//! Connection of the gate to its control daemon.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use burn::Recorder;
use event::Event;
use timer::Moment;
use wire::report::Report;
use wire::view::View;
use wire::{Pool, Vm};

use crate::compiled::Compiled;
use crate::proxy::Proxy;
use crate::snapshot::Snapshot;

/// Interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;

/// Timeout of a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// Reports to the control daemon at `addr` and applies its views until dropped. While the control
/// daemon is unreachable, the gate continues with the last view.
pub async fn run(proxy: Arc<Proxy>, pool: Arc<Pool>, addr: SocketAddr, vm: Vm) {
    let mut ticks = proxy.timer.subscribe(REPORT_INTERVAL_MS);
    let mut reachable = true;
    loop {
        ticks.next().await;
        let asked_at = proxy.timer.now();
        let report = report(&proxy, &vm, asked_at);
        let limit = Duration::from_millis(REPORT_TIMEOUT_MS);
        let outcome = pool
            .call(addr, limit, async |client, context| {
                client.report(context, report).await
            })
            .await;
        match outcome {
            Ok(view) => {
                reachable = true;
                proxy.limiter.apply_view(&view, proxy.timer.now());
                apply_view(&proxy, view, asked_at);
            }
            Err(error) if reachable => {
                reachable = false;
                let error = error.to_string();
                event::emit(&Event::ControlUnreachable { error });
            }
            Err(_) => {}
        }
    }
}

fn report(proxy: &Proxy, vm: &Vm, now: Moment) -> Report {
    let leaving = proxy.leaving.load(Ordering::Relaxed);
    Report {
        gate: vm.clone(),
        versions: proxy.snapshot.load().versions(),
        leaving,
        in_flight: proxy.in_flight.load(Ordering::Relaxed),
        adopted: proxy.operations.adopted(),
        crashes: proxy.quarantine.crashes(proxy.timer.now()),
        served: recorder(proxy).take(),
        share_requests: proxy.limiter.share_requests(leaving, now),
    }
}

fn apply_view(proxy: &Proxy, view: View, asked_at: Moment) {
    let mut next = Snapshot::clone(&proxy.snapshot.load());
    let previous = next.revision;
    if let Some(config) = view.config.filter(|config| config.revision > next.revision) {
        match text::parse(&config.text) {
            Ok(text) => {
                proxy
                    .limiter
                    .configure(&text, &proxy.zone, proxy.timer.now());
                let (backends, pools) = (&proxy.backends, &proxy.pools);
                let compiled = Compiled::new(text, &proxy.zone, backends, pools);
                proxy
                    .retries
                    .retain(|service| compiled.text.service(service).is_some());
                recorder(proxy).set_objectives(&compiled.text);
                next.compiled = Some(Arc::new(compiled));
                next.revision = config.revision;
            }
            Err(problems) => event::emit(&Event::ConfigRejected {
                revision: config.revision,
                problem: problems
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default(),
            }),
        }
    }
    if let Some(keys) = &view.keys {
        Arc::make_mut(&mut next.key_set).merge(keys);
    }
    let fresh_at = view.keys_age_ms.map(|age_ms| asked_at.minus_ms(age_ms));
    next.fresh_at = next.fresh_at.max(fresh_at);
    proxy
        .quarantine
        .merge_crashes(&view.crashes, asked_at, proxy.timer.now());
    proxy.operations.adopt(&view.adoptions, proxy.timer.now());
    next.entries = view.entries;
    let revision = next.revision;
    proxy.snapshot.store(Arc::new(next));
    if revision > previous {
        event::emit(&Event::ConfigInForce { revision });
    }
}

fn recorder(proxy: &Proxy) -> MutexGuard<'_, Recorder> {
    let recorder = proxy.recorder.lock();
    recorder.unwrap_or_else(PoisonError::into_inner)
}
