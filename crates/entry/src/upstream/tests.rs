//! Tests of servers that end the connection while the request is still written.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, TcpListener};
use std::pin::pin;
use std::sync::mpsc;
use std::thread;

use assert_matches::assert_matches;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use super::*;
use crate::fixture::{run_local, state};

/// Size of the request's body, more than the buffers of both sockets hold.
const BODY_BYTES: usize = 64 << 20;

/// Time for what the kernel holds to reach the other side.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Timeout of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// A response whose body ends with the connection.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nattempt: a1\r\n\r\npart";

/// How a server ends the connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// With a reset.
    Reset,
    /// In order, and with a reset once more of the request arrives.
    CloseThenReset,
}

/// Answers before it reads the request, reads a part of it, and ends the connection; each step after the
/// first waits for `steps`, and each is reported to `done`.
fn serve(listener: &TcpListener, end: End, steps: &mpsc::Receiver<()>, done: &UnboundedSender<()>) {
    let (mut stream, _) = listener.accept().expect("connection");
    let mut buffer = vec![0; 64 << 10];
    stream.read_exact(&mut buffer[..1]).expect("request begins");
    stream.write_all(RESPONSE).expect("response");
    done.send(()).expect("test waits");
    steps.recv().expect("next step");
    stream
        .set_read_timeout(Some(SETTLE_TIME))
        .expect("read timeout");
    while matches!(stream.read(&mut buffer), Ok(1..)) {}
    done.send(()).expect("test waits");
    steps.recv().expect("next step");
    if end == End::CloseThenReset {
        stream.shutdown(Shutdown::Write).expect("end in order");
    }
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("reset at the close");
    drop(stream);
    done.send(()).expect("test waits");
}

/// Sends a request to a server that ends the connection as `end` says. The next write is what meets the
/// reset: reads have found nothing since the response, and the runtime sees no event in between.
async fn send_until(end: End) -> Outcome {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listener");
    let addr = listener.local_addr().expect("address");
    let (next, steps) = mpsc::channel();
    let (done_sender, mut done): (_, UnboundedReceiver<()>) = unbounded_channel();
    thread::spawn(move || serve(&listener, end, &steps, &done_sender));
    let state = state();
    let request = Outgoing {
        head: Bytes::from_static(b"POST / HTTP/1.1\r\n\r\n"),
        body: Bytes::from(vec![b'v'; BODY_BYTES]),
        attempt: Bytes::from_static(b"a1"),
        is_head: false,
    };
    let memory = state.body_memory.reservation();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut sending = pin!(send_once(addr, &request, &state.names, memory, deadline));
    let answered = async {
        done.recv().await.expect("server runs");
        sleep(SETTLE_TIME).await;
    };
    tokio::select! {
        outcome = &mut sending => panic!("ended early: {outcome:?}"),
        () = answered => {}
    }
    next.send(()).expect("server runs");
    done.recv().await.expect("server runs");
    sleep(SETTLE_TIME).await;
    next.send(()).expect("server runs");
    while done.try_recv().is_err() {
        thread::sleep(Duration::from_millis(1));
    }
    sending.await
}

/// The write took the error, and the read after it saw an end as if in order.
#[test]
fn reset_that_a_write_meets_does_not_complete_a_response_without_length() {
    run_local(async {
        assert_matches!(send_until(End::Reset).await, Outcome::ConnectionLost(_));
    });
}

#[test]
fn response_without_length_that_ended_before_a_reset_is_complete() {
    run_local(async {
        assert_matches!(send_until(End::CloseThenReset).await, Outcome::Answered(response) => {
            assert_eq!(response.body.concat(), b"part");
        });
    });
}
