//! Listener for callers' connections.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use event::Event;
use http::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::caller_stream::CallerStream;
use crate::config::Limits;
use crate::framing::{MAX_HEAD_BYTES, MAX_HEADERS, Verdicts};
use crate::metrics::Metric;
use crate::proxy::Proxy;
use crate::refusal::{Refusal, Refused};
use crate::upstream::Body;

/// Maximum number of connections over the limit that receive a response at the same time. Further
/// ones are closed without a response.
const MAX_REJECTING: usize = 64;

/// Maximum lifetime of a connection over the limit, in milliseconds.
const REJECT_TIMEOUT_MS: u64 = 2_000;

/// Interval between updates of gauge metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1_000;

/// Delay after `accept` fails, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Accepts connections until `stopping` becomes true, then finishes the requests in flight.
pub async fn run(
    listener: TcpListener,
    proxy: Arc<Proxy>,
    limits: Limits,
    mut stopping: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut rejecting = JoinSet::new();
    let mut at_limit = false;
    let connection_stopping = stopping.clone();
    let mut ticks = proxy.timer.subscribe(METRICS_INTERVAL_MS);
    loop {
        let accepted = tokio::select! {
            _ = stopping.wait_for(|stopping| *stopping) => break,
            Some(_) = connections.join_next() => continue,
            _ = ticks.next() => {
                report(&proxy, connections.len());
                continue;
            }
            Some(_) = rejecting.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let metrics = &proxy.metrics;
        if connections.len() < limits.connections {
            at_limit = false;
            let stopping = connection_stopping.clone();
            let proxy = Arc::clone(&proxy);
            connections.spawn(serve(stream, peer.ip(), proxy, limits, stopping));
            continue;
        }
        metrics.count(Metric::TurnedAway, &[]);
        if !at_limit {
            at_limit = true;
            let connections = connections.len() as u64;
            event::emit(&Event::ConnectionsFull { connections });
        }
        if rejecting.len() < MAX_REJECTING {
            rejecting.spawn(reject(stream, limits));
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn report(proxy: &Proxy, connections: usize) {
    let in_flight = proxy.in_flight.load(Ordering::Relaxed);
    proxy.metrics.set(Metric::InFlight, in_flight);
    proxy.metrics.set(Metric::Connections, connections as u64);
}

async fn serve(
    stream: TcpStream,
    peer: IpAddr,
    proxy: Arc<Proxy>,
    limits: Limits,
    mut stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let verdicts = Verdicts::default();
    let stream = CallerStream::new(stream, verdicts.clone(), limits.head_ms, limits.write_ms);
    let service = service_fn(|request| {
        let proxy = Arc::clone(&proxy);
        let framing = verdicts.next();
        async move { Ok::<_, Infallible>(proxy.handle(request, peer, framing).await) }
    });
    let connection = builder(limits.idle_ms).serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopping.wait_for(|stopping| *stopping) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Refuses the first request on a connection over the limit.
async fn reject(stream: TcpStream, limits: Limits) {
    let verdicts = Verdicts::default();
    let stream = CallerStream::new(stream, verdicts, REJECT_TIMEOUT_MS, limits.write_ms);
    let service = service_fn(async |_| Ok::<Response<Body>, Infallible>(too_many_connections()));
    let mut builder = builder(REJECT_TIMEOUT_MS);
    let connection = builder
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = timeout(Duration::from_millis(REJECT_TIMEOUT_MS), connection).await;
}

fn too_many_connections() -> Response<Body> {
    Refused::from(Refusal::TooManyConnections).response(&crate::proxy::request_id())
}

/// Returns a builder for connections that are closed after `idle_ms` milliseconds without a
/// request.
fn builder(idle_ms: u64) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
}
