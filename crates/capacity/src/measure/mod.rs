//! Running each part at several sizes.

mod claims;
mod fleet;
mod keys;
mod look_ups;
mod recordings;
mod shares;
mod table;
mod texts;

use std::time::Instant;

use crate::slope::Slopes;

/// Measures every slope; takes some minutes.
///
/// # Errors
///
/// Fails if a part cannot be started.
pub fn all() -> eyre::Result<Slopes> {
    let mut slopes = Slopes::new();
    table::measure(&mut slopes)?;
    texts::measure(&mut slopes)?;
    keys::measure(&mut slopes);
    shares::measure(&mut slopes);
    claims::measure(&mut slopes)?;
    recordings::measure(&mut slopes)?;
    look_ups::measure(&mut slopes)?;
    fleet::measure(&mut slopes)?;
    fleet::measure_workspaces(&mut slopes)?;
    Ok(slopes)
}

/// Measures only what depends on the number of workspaces; takes less than a minute.
///
/// # Errors
///
/// Fails if a fleet cannot be started.
pub fn workspaces() -> eyre::Result<Slopes> {
    let mut slopes = Slopes::new();
    fleet::measure_workspaces(&mut slopes)?;
    Ok(slopes)
}

/// Returns the shortest of several runs of `work`, in microseconds.
fn shortest_us(runs: usize, mut work: impl FnMut()) -> f64 {
    let run = |_| {
        let start = Instant::now();
        work();
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..runs).map(run).fold(f64::INFINITY, f64::min)
}

/// Converts a count for arithmetic.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn float(count: usize) -> f64 {
    count as f64
}
