//! Look-ups over HTTP.

use std::time::Duration;

use cpu_time::ProcessTime;
use demo::caller::Caller;
use demo::{Fleet, Shape};

use super::float;
use crate::slope::{Slope, Slopes};

/// Look-ups that are measured.
const SIZES: [usize; 4] = [2_000, 4_000, 8_000, 16_000];

/// Time that a fleet needs to hear of its text, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// Measures the processor time of look-ups, that of the asking side included.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut time = Slope::new("look-ups", "processor time of both sides, ms");
    let runtime = tokio::runtime::Runtime::new()?;
    let fleet = runtime.block_on(Fleet::start(Shape::new()))?;
    std::thread::sleep(Duration::from_millis(SETTLE_MS));
    let gates = fleet.gates();
    for size in SIZES {
        let mut caller = Caller::new("10.1.0.1", &gates);
        let start = ProcessTime::now();
        for _ in 0..size {
            caller.forget();
            eyre::ensure!(caller.entry().is_some(), "no gate answered a look-up");
        }
        time.push(float(size), start.elapsed().as_secs_f64() * 1e3);
    }
    slopes.insert("look-up-http-ms".to_owned(), time);
    Ok(())
}
