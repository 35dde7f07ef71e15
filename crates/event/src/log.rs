//! Writing events as JSON lines through the logging library.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use serde::Serialize;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use crate::Event;

#[derive(Serialize)]
struct Line<'a> {
    time_unix_ms: u64,
    event: u16,
    level: &'static str,
    name: &'static str,
    #[serde(flatten)]
    fields: &'a Event,
}

/// Sets the default logger to bare JSON lines at `level` ("off", "error", "warn", "info",
/// "debug").
///
/// # Errors
///
/// Fails if the level is unknown.
pub fn init(level: &str) -> eyre::Result<()> {
    let filter = if level == "off" {
        LevelFilter::Off
    } else {
        let level = level
            .parse::<Level>()
            .wrap_err_with(|| format!("unknown log level \"{level}\""))?;
        LevelFilter::MoreSevereEqual(level)
    };
    let logger = spdlog::default_logger();
    for sink in logger.sinks() {
        sink.set_formatter(Box::new(PatternFormatter::new(pattern!("{payload}{eol}"))));
    }
    logger.set_level_filter(filter);
    logger.set_flush_level_filter(LevelFilter::All);
    Ok(())
}

/// Lines that may wait to be written.
const MAX_WAITING: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Lines that were left out.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sets the default logger to bare JSON lines at `level` on standard output, written by a thread
/// of its own. If standard output is not read, lines are left out and counted; nothing waits.
///
/// # Errors
///
/// Fails if the level is unknown or the thread cannot be started.
pub fn init_bounded(level: &str) -> eyre::Result<()> {
    let output = StdStreamSink::builder().stdout().build_arc()?;
    let pool = ThreadPool::builder().capacity(MAX_WAITING).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    spdlog::set_default_logger(logger);
    init(level)?;
    spdlog::default_logger().set_flush_level_filter(LevelFilter::Off);
    Ok(())
}

/// Returns the number of lines that were left out.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs `event`.
pub fn emit(event: &Event) {
    let entry = event.entry();
    let line = Line {
        time_unix_ms: unix_ms(),
        event: entry.number,
        level: entry.level,
        name: entry.name,
        fields: event,
    };
    let payload = serde_json::to_string(&line).unwrap_or_else(|error| error.to_string());
    match entry.level {
        "error" => spdlog::error!("{payload}"),
        "warn" => spdlog::warn!("{payload}"),
        "debug" => spdlog::debug!("{payload}"),
        _ => spdlog::info!("{payload}"),
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
