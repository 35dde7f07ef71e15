//! Memory use with many idle callers.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::bench::Testbed;
use crate::bench::memory::resident_kb;
use crate::run::runtime;

/// Number of idle callers.
const CALLERS: usize = 2_000;

/// Idle time before memory use is read, in milliseconds.
const IDLE_MS: u64 = 2_000;

/// Opens connections that each send one request and then idle, and prints the memory use of
/// the whole process: the gate, its callers and its backend server.
///
/// # Errors
///
/// Fails if a caller cannot connect.
pub fn idle(testbed: &Testbed) -> eyre::Result<()> {
    let before_kb = resident_kb()?;
    let callers = runtime(1)?;
    let target = testbed.through_gate();
    let key = target.key.unwrap_or_default();
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: backend\r\nx-workspace-key: {key}\r\n\r\n",
        target.path
    );
    let connections = callers.block_on(async {
        let mut connections = Vec::new();
        for _ in 0..CALLERS {
            let mut stream = TcpStream::connect(target.addr).await?;
            stream.write_all(request.as_bytes()).await?;
            let mut response = [0; 512];
            let read = stream.read(&mut response).await?;
            eyre::ensure!(read > 0, "the gate closed an idle connection");
            connections.push(stream);
        }
        sleep(Duration::from_millis(IDLE_MS)).await;
        eyre::Ok(connections)
    })?;
    let after_kb = resident_kb()?;
    println!("memory with {} idle callers", connections.len());
    println!("  whole process: {before_kb} kB before, {after_kb} kB with them");
    Ok(())
}
