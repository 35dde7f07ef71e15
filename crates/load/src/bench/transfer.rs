//! Memory use during long transfers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::ensure;
use futures::stream;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::bench::Testbed;
use crate::bench::memory::{Sampler, resident_kb};
use crate::echo::RECEIVED;
use crate::run::runtime;

/// Length of each transfer, in bytes.
const LENGTH: u64 = 1 << 30;

/// Size of a frame of an upload, in bytes.
const FRAME_BYTES: usize = 64 << 10;

type Body = BoxBody<Bytes, std::convert::Infallible>;

/// Uploads and downloads a long body, and prints the peak growth of the memory use of the whole
/// process.
///
/// # Errors
///
/// Fails if a transfer is incomplete.
pub fn transfer(testbed: &Testbed) -> eyre::Result<()> {
    let callers = runtime(1)?;
    let upload = Request::put("/reader/video").header("content-length", LENGTH);
    let download = Request::get(format!("/bytes/{LENGTH}"));
    for (name, request, body) in [
        ("upload", upload, filler_body()),
        ("download", download, Empty::new().boxed()),
    ] {
        let key = testbed.through_gate().key.unwrap_or_default();
        let request = request
            .header("host", "backend")
            .header("x-workspace-key", key);
        let request = request.body(body)?;
        let before_kb = resident_kb()?;
        let sampler = Sampler::new();
        let started = Instant::now();
        let transferred = callers.block_on(send(testbed, request))?;
        let duration = started.elapsed();
        let peak_kb = sampler.peak_kb();
        ensure!(
            transferred == LENGTH,
            "{name} transferred {transferred} bytes"
        );
        print(name, before_kb, peak_kb, duration);
    }
    Ok(())
}

fn print(name: &str, before_kb: u64, peak_kb: u64, duration: Duration) {
    let grown_kb = peak_kb.saturating_sub(before_kb);
    let seconds = duration.as_secs_f64();
    println!("{name} of {LENGTH} bytes in {seconds:.2} s");
    println!("  whole process: {before_kb} kB before, grown by {grown_kb} kB at its peak");
}

async fn send(testbed: &Testbed, request: Request<Body>) -> eyre::Result<u64> {
    let stream = TcpStream::connect(testbed.through_gate().addr).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    ensure!(
        response.status().is_success(),
        "unexpected status {}",
        response.status()
    );
    let uploaded = uploaded(&response);
    let mut body = response.into_body();
    let mut downloaded = 0;
    while let Some(frame) = body.frame().await {
        downloaded += frame?.data_ref().map_or(0, |data| data.len() as u64);
    }
    Ok(uploaded.max(downloaded))
}

fn uploaded(response: &Response<Incoming>) -> u64 {
    let received = response.headers().get(RECEIVED);
    let received = received.and_then(|value| value.to_str().ok()?.parse().ok());
    received.unwrap_or(0)
}

fn filler_body() -> Body {
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    let frames = (0..LENGTH / FRAME_BYTES as u64).map(move |_| Ok(Frame::data(frame.clone())));
    StreamBody::new(stream::iter(frames)).boxed()
}
