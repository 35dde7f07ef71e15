//! A minimal backend server that echoes requests.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Request header that is echoed as the response's body.
pub const ECHO: &str = "x-echo";

/// Response header with the number of request body bytes received.
pub const RECEIVED: &str = "x-received";

/// Path segment before the length of the response body, in bytes.
const BYTES: &str = "/bytes/";

/// Path segment before the delay of the response, in milliseconds.
const DELAY: &str = "/wait/";

/// Size of a frame of a long response, in bytes.
const FRAME_BYTES: usize = 64 << 10;

/// Response body for requests without [`ECHO`].
const DEFAULT_BODY: &[u8] = b"{\"ok\":true}";

type Body = BoxBody<Bytes, Infallible>;

/// A running echo server.
#[derive(Debug)]
pub struct Echo {
    addr: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Echo {
    /// Starts an echo server on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> eyre::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener));
        Ok(Self { addr, accepting })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Echo {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream));
    }
}

async fn serve(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| async { Ok::<_, Infallible>(respond(request).await) });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

async fn respond(request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    let bytes = number_after(path, BYTES);
    let delay_ms = number_after(path, DELAY);
    let echo = request.headers().get(ECHO);
    let echo = echo.map(|value| Bytes::copy_from_slice(value.as_bytes()));
    let mut body = request.into_body();
    let mut received = 0_u64;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    if let Some(delay_ms) = delay_ms {
        sleep(Duration::from_millis(delay_ms as u64)).await;
    }
    let body = match bytes {
        Some(bytes) => filler_body(bytes),
        None => Full::new(echo.unwrap_or(Bytes::from_static(DEFAULT_BODY))).boxed(),
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(RECEIVED, HeaderValue::from(received));
    response
}

fn number_after(path: &str, segment: &str) -> Option<usize> {
    path.split_once(segment)?.1.parse().ok()
}

/// Returns a body of `bytes` bytes, sent in frames of [`FRAME_BYTES`].
fn filler_body(bytes: usize) -> Body {
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    let frames = (0..bytes).step_by(FRAME_BYTES).map(move |sent| {
        let length = FRAME_BYTES.min(bytes - sent);
        Ok(Frame::data(frame.slice(..length)))
    });
    StreamBody::new(futures::stream::iter(frames)).boxed()
}
