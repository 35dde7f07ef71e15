//! Benchmarks of the gate: latency, memory, long transfers and slow callers.

mod idle;
mod latency;
mod memory;
mod slow;
mod transfer;

use std::net::SocketAddr;

use tokio::runtime::Runtime;

use crate::caller::Target;
use crate::echo::Echo;
use crate::fixture::{Fixture, text};
use crate::run::runtime;

pub use idle::idle;
pub use latency::latency;
pub use slow::slow;
pub use transfer::transfer;

/// Threads of each runtime.
const WORKERS: usize = 2;

/// Maximum number of concurrent requests of the backend server.
const SLOTS: u32 = 4_000;

/// Deadline for the start of a response, in milliseconds.
const DEADLINE_MS: u64 = 600_000;

/// A gate in front of an echo server, each on its own runtime.
#[derive(Debug)]
pub struct Testbed {
    gate: Runtime,
    _backend: Runtime,
    echo: Echo,
    fixture: Fixture,
}

impl Testbed {
    /// Starts a gate and its backend server.
    ///
    /// # Errors
    ///
    /// Fails if either cannot start.
    pub fn new() -> eyre::Result<Self> {
        let gate = runtime(WORKERS)?;
        let backend = runtime(WORKERS)?;
        let echo = backend.block_on(Echo::start())?;
        let text = text(&[echo.addr()], SLOTS, DEADLINE_MS);
        let fixture = gate.block_on(Fixture::start(&text, gate::Limits::default()))?;
        Ok(Self {
            gate,
            _backend: backend,
            echo,
            fixture,
        })
    }

    /// Stops the gate gracefully.
    pub fn stop(self) {
        self.gate.block_on(self.fixture.stop());
    }

    fn direct(&self) -> Target {
        self.target(self.echo.addr())
    }

    fn through_gate(&self) -> Target {
        self.target(self.fixture.addr())
    }

    fn target(&self, addr: SocketAddr) -> Target {
        Target {
            addr,
            path: "/reader/calendar".to_owned(),
            key: Some(self.fixture.key.reveal().to_owned()),
        }
    }
}
