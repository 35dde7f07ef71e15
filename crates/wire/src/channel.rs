//! Encrypted connections between processes that share the fleet secret.
//!
//! The handshake is the Noise pattern `NNpsk0`: both sides prove knowledge of the secret
//! before either accepts a message, and all later bytes are encrypted.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snow::{Builder, HandshakeState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::codec::Sealed;
use crate::secret::Secret;
use crate::tally::ChannelTally;

const NOISE_PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";

/// Timeout for connecting and completing the handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// Maximum size of a handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 256;

/// A channel that receives `In` and sends `Out`.
pub type Channel<In, Out> = Framed<TcpStream, Sealed<In, Out>>;

/// Connects to `addr` and proves knowledge of `secret`.
///
/// # Errors
///
/// Fails if the address is unreachable, the handshake times out or the other side does not know
/// the secret.
pub async fn connect<In, Out>(
    addr: SocketAddr,
    secret: &Secret,
    tally: ChannelTally,
) -> io::Result<Channel<In, Out>>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    with_timeout(async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut handshake = builder(secret)?
            .build_initiator()
            .map_err(permission_denied)?;
        send_handshake(&mut stream, &mut handshake, &tally).await?;
        receive_handshake(&mut stream, &mut handshake, &tally).await?;
        finish(stream, handshake, tally)
    })
    .await
}

/// Completes the handshake on an accepted connection.
///
/// # Errors
///
/// Fails if the handshake times out or the other side does not know the secret.
pub async fn accept<In, Out>(
    mut stream: TcpStream,
    secret: &Secret,
    tally: ChannelTally,
) -> io::Result<Channel<In, Out>>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    with_timeout(async {
        stream.set_nodelay(true)?;
        let mut handshake = builder(secret)?
            .build_responder()
            .map_err(permission_denied)?;
        receive_handshake(&mut stream, &mut handshake, &tally).await?;
        send_handshake(&mut stream, &mut handshake, &tally).await?;
        finish(stream, handshake, tally)
    })
    .await
}

async fn with_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), work)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

fn builder(secret: &Secret) -> io::Result<Builder<'_>> {
    let pattern = NOISE_PATTERN.parse().map_err(permission_denied)?;
    Builder::new(pattern)
        .psk(0, secret.bytes())
        .map_err(permission_denied)
}

fn finish<In, Out>(
    stream: TcpStream,
    handshake: HandshakeState,
    tally: ChannelTally,
) -> io::Result<Channel<In, Out>>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let noise = handshake.into_transport_mode().map_err(permission_denied)?;
    Ok(Framed::new(stream, Sealed::new(noise, tally)))
}

async fn send_handshake(
    stream: &mut TcpStream,
    handshake: &mut HandshakeState,
    tally: &ChannelTally,
) -> io::Result<()> {
    let mut message = [0; MAX_HANDSHAKE_BYTES];
    let length = handshake
        .write_message(&[], &mut message)
        .map_err(permission_denied)?;
    let prefix = u16::try_from(length).map_err(permission_denied)?;
    stream.write_u16(prefix).await?;
    tally.sent(size_of_val(&prefix) + length);
    stream.write_all(&message[..length]).await
}

async fn receive_handshake(
    stream: &mut TcpStream,
    handshake: &mut HandshakeState,
    tally: &ChannelTally,
) -> io::Result<()> {
    let length = usize::from(stream.read_u16().await?);
    let mut message = [0; MAX_HANDSHAKE_BYTES];
    let message = message
        .get_mut(..length)
        .ok_or_else(|| permission_denied("handshake message is too long"))?;
    stream.read_exact(message).await?;
    tally.received(size_of::<u16>() + length);
    handshake
        .read_message(message, &mut [])
        .map_err(permission_denied)?;
    Ok(())
}

fn permission_denied(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, error)
}
