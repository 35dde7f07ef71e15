//! Open-loop pacing: requests are due at a fixed rate, independent of response times.

use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedSender;

/// Time before a due time when the pacer spins instead of sleeping, in microseconds.
const SPIN_US: u64 = 150;

/// Sends the due times of `rate` requests per second to `callers` in round-robin order, for
/// `duration`. Blocks the current thread.
pub fn run(callers: &[UnboundedSender<Instant>], rate: f64, duration: Duration) {
    let start = Instant::now();
    let period = Duration::from_secs_f64(1.0 / rate);
    let mut due = start;
    for caller in callers.iter().cycle() {
        if due.duration_since(start) >= duration {
            return;
        }
        wait_until(due);
        // Fails only if the caller panicked. `run::run` reports that as an error.
        let _ = caller.send(due);
        due += period;
    }
}

fn wait_until(due: Instant) {
    let spin = Duration::from_micros(SPIN_US);
    let remaining = due.saturating_duration_since(Instant::now());
    thread::sleep(remaining.saturating_sub(spin));
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
