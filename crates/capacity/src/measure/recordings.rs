//! Recordings for the report on service-level burn.

use burn::{Ending, History, Recorder, Sample};

use super::float;
use crate::slope::{Slope, Slopes};

/// Series (pairs of service and workspace) that are measured.
const SERIES: [usize; 4] = [8, 32, 128, 512];

/// Time that the recording covers, in seconds.
const COVERED_S: u64 = 3 * 86_400;

/// Time between two recorded requests of a series, in seconds.
const EVERY_S: u64 = 60;

/// Unix time at which the recording begins, in seconds.
const START_S: u64 = 1_700_000_000;

/// Measures the size of one VM's recording on the wire.
pub fn measure(slopes: &mut Slopes) -> eyre::Result<()> {
    let mut bytes = Slope::new("series", "recording of one VM on the wire, bytes");
    for series in SERIES {
        let recording = record(series).recording(START_S + COVERED_S);
        bytes.push(float(series), float(postcard::to_stdvec(&recording)?.len()));
    }
    slopes.insert("recording-bytes".to_owned(), bytes);
    Ok(())
}

fn record(series: usize) -> History {
    let mut history = History::new(START_S);
    for at_s in (0..COVERED_S).step_by(usize::try_from(EVERY_S).unwrap_or(1)) {
        let mut recorder = Recorder::new();
        for number in 0..series {
            recorder.record(Sample {
                service: "reader",
                workspace: &format!("workspace-{number}"),
                ending: Ending::Served,
                latency_us: 1_000 + (at_s * 31 + number as u64 * 17) % 40_000,
            });
        }
        history.add(&recorder.take(), START_S + at_s);
    }
    history
}
