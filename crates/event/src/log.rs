//! Writes events as JSON lines through the logging library.
//!
//! A process that serves requests collects lines and passes them to the library in batches, since
//! each call wakes the writer thread: see [`init_bounded`] and [`flush`].

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use serde::Serialize;
use spdlog::error::SendToChannelErrorDropped;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use crate::batch::{self, Batch};
use crate::{Entry, Event};

#[derive(Serialize)]
struct Line<'a> {
    time_unix_ms: u64,
    event: u16,
    level: &'static str,
    name: &'static str,
    #[serde(flatten)]
    fields: &'a Event,
}

/// Configures the default logger to write plain JSON lines at `level` ("off", "error", "warn",
/// "info", "debug").
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

/// Maximum number of batches queued for writing; 1 MiB of lines.
const MAX_QUEUED: NonZeroUsize = NonZeroUsize::new((1 << 20) / batch::BYTES).unwrap();

/// Number of dropped lines.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written yet; `None` in processes that write each line immediately.
static BATCH: Mutex<Option<Batch>> = Mutex::new(None);

/// Configures the default logger to write plain JSON lines at `level` to standard output, in
/// batches and on a dedicated thread: the process calls [`flush`] periodically. If standard output
/// is not read, lines are dropped and counted; no caller blocks.
///
/// # Errors
///
/// Fails if the level is unknown or the thread cannot be started.
pub fn init_bounded(level: &str) -> eyre::Result<()> {
    let output = StdStreamSink::builder().stdout().build_arc()?;
    let pool = ThreadPool::builder().capacity(MAX_QUEUED).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|error| {
            DROPPED.fetch_add(dropped_lines(&error), Ordering::Relaxed);
        })
        .build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    spdlog::set_default_logger(logger);
    init(level)?;
    spdlog::default_logger().set_flush_level_filter(LevelFilter::Off);
    *lock_batch() = Some(Batch::default());
    Ok(())
}

/// Returns the number of lines that a failed write dropped.
fn dropped_lines(error: &spdlog::Error) -> u64 {
    let spdlog::Error::SendToChannel(_, SendToChannelErrorDropped::Record(record)) = error else {
        return 1;
    };
    let lines = record.payload().lines().count();
    u64::try_from(lines).unwrap_or(u64::MAX)
}

fn lock_batch() -> MutexGuard<'static, Option<Batch>> {
    // A batch stays valid even if another thread panicked.
    BATCH.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the collected lines.
pub fn flush() {
    let lines = lock_batch().as_mut().and_then(Batch::take);
    if let Some(lines) = lines {
        write_batch(&lines);
    }
}

fn write_batch(lines: &str) {
    // Each line passed the level filter already; the highest level keeps the batch from being
    // filtered again.
    spdlog::critical!("{lines}");
}

/// Returns the number of lines dropped since the start.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs `event`.
pub fn emit(event: &Event) {
    let entry = event.entry();
    let level = level_of(&entry);
    if !spdlog::default_logger().should_log(level) {
        return;
    }
    let line = Line {
        time_unix_ms: unix_ms(),
        event: entry.number,
        level: entry.level,
        name: entry.name,
        fields: event,
    };
    let payload = serde_json::to_string(&line).unwrap_or_else(|error| error.to_string());
    collect(level, &payload);
    if level == Level::Error {
        flush();
    }
}

/// Adds a line to the batch, or writes it if the process does not batch lines.
fn collect(level: Level, line: &str) {
    let mut guard = lock_batch();
    let Some(batch) = &mut *guard else {
        spdlog::log!(level, "{line}");
        return;
    };
    if let Some(full) = batch.push(line) {
        write_batch(&full);
    }
}

fn level_of(entry: &Entry) -> Level {
    match entry.level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
