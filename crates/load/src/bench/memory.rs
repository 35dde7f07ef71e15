//! Memory use of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use eyre::{OptionExt, WrapErr};

/// Interval between samples, in milliseconds.
const SAMPLE_MS: u64 = 5;

/// Returns the resident memory, in kilobytes.
///
/// # Errors
///
/// Fails if `/proc/self/status` cannot be read or has no `VmRSS` value.
pub fn resident_kb() -> eyre::Result<u64> {
    let status =
        std::fs::read_to_string("/proc/self/status").wrap_err("cannot read /proc/self/status")?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    Ok(field
        .ok_or_eyre("/proc/self/status has no VmRSS value")?
        .parse()?)
}

/// Samples the resident memory in a thread and keeps the peak.
#[derive(Debug)]
pub struct Sampler {
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl Sampler {
    /// Starts sampling.
    #[must_use]
    pub fn new() -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopping);
        let thread = thread::spawn(move || {
            let mut peak_kb = 0;
            while !flag.load(Ordering::Relaxed) {
                peak_kb = peak_kb.max(resident_kb().unwrap_or(0));
                thread::sleep(Duration::from_millis(SAMPLE_MS));
            }
            peak_kb
        });
        Self { stopping, thread }
    }

    /// Stops sampling and returns the peak, in kilobytes.
    #[must_use]
    pub fn peak_kb(self) -> u64 {
        self.stopping.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or(0)
    }
}
