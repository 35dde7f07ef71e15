//! Callers that send requests over keep-alive connections.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use eyre::WrapErr;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// Address, path and key of the requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Workspace key.
    pub key: Option<String>,
}

/// Counts and latencies of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Latencies of successful requests, measured from their due times, in microseconds.
    pub latencies: hdrhistogram::Histogram<u64>,
    /// Responses with a status other than 2xx.
    pub refused: u64,
    /// Requests without a complete response.
    pub failed: u64,
}

impl Tally {
    /// Creates empty counts.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are valid.
    #[must_use]
    pub fn new() -> Self {
        let latencies = hdrhistogram::Histogram::new(3);
        Self {
            latencies: latencies.expect("three digits are a valid precision"),
            refused: 0,
            failed: 0,
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        // Both histograms resize, so adding cannot fail.
        let _ = self.latencies.add(&other.latencies);
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

/// Sends a request for each due time received from `due`, sequentially.
pub async fn run(target: Target, mut due: UnboundedReceiver<Instant>) -> Tally {
    let mut tally = Tally::new();
    let mut connection = None;
    while let Some(due) = due.recv().await {
        match call(&target, &mut connection).await {
            Ok(true) => {
                let elapsed_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
                // The histogram grows as needed, so recording cannot fail.
                let _ = tally.latencies.record(elapsed_us);
            }
            Ok(false) => tally.refused += 1,
            Err(_) => {
                connection = None;
                tally.failed += 1;
            }
        }
    }
    tally
}

/// Sends one request, opening a connection if none is open. Returns whether the status is 2xx.
async fn call(
    target: &Target,
    connection: &mut Option<SendRequest<Full<Bytes>>>,
) -> eyre::Result<bool> {
    if connection.as_ref().is_none_or(SendRequest::is_closed) {
        *connection = Some(connect(target.addr).await?);
    }
    let Some(sender) = connection else {
        return Ok(false);
    };
    sender.ready().await?;
    let response = sender.send_request(request(target)?).await?;
    let served = response.status().is_success();
    response.into_body().collect().await?;
    Ok(served)
}

async fn connect(addr: SocketAddr) -> eyre::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.wrap_err_with(|| format!("cannot connect to {addr}"))?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(target: &Target) -> eyre::Result<Request<Full<Bytes>>> {
    let mut request = Request::get(&target.path).header("host", "backend");
    if let Some(key) = &target.key {
        request = request.header("x-workspace-key", key);
    }
    Ok(request.body(Full::default())?)
}
