//! Cases of the second review that start entry VMs as processes, with stand-ins of all that they speak to.
//!
//! `review-2 CASE FOLDER with|without` plays a case from the root of the repository, with or without its
//! disruption, and writes `FOLDER/record.txt`. It ends with status 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. Whatever happens, it ends all processes that it started.

mod base64;
mod http;
mod limits;
mod quarantine;
mod record;
mod server;
mod store;
mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;

/// Longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(115);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

const SIGINT: i32 = 2;

/// Whether the program was told to end.
static IS_INTERRUPTED: AtomicBool = AtomicBool::new(false);

unsafe extern "C" {
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn interrupt(_signal: i32) {
    IS_INTERRUPTED.store(true, Ordering::Relaxed);
}

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Held => Self::SUCCESS,
            Verdict::Broken => Self::from(1),
            Verdict::NotRun => Self::from(2),
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, trouble] = &args[..] else {
        eprintln!("usage: review-2 CASE FOLDER with|without");
        return Verdict::NotRun.into();
    };
    // SAFETY: the handler only stores to an atomic variable.
    unsafe {
        signal(SIGINT, interrupt);
        signal(vm::SIGTERM, interrupt);
    }
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.note(&format!("{case}, {trouble} the disruption"));
    let files = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let verdict = watch(case, &files, &record, trouble == "with");
    vm::end_all();
    record.note(&format!("verdict: {verdict:?}"));
    println!("{case}, {trouble} the disruption: {verdict:?}");
    let _ = std::fs::remove_dir_all(&files);
    verdict.into()
}

/// Plays a case beside this thread; gives up if it fails, takes too long or the program was told to end.
fn watch(case: &str, files: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let until = Instant::now() + LIMIT;
    let playing = {
        let (case, files, record) = (case.to_owned(), files.to_owned(), record.clone());
        thread::spawn(move || play(&case, &files, &record, has_trouble))
    };
    while !playing.is_finished() {
        if Instant::now() >= until || IS_INTERRUPTED.load(Ordering::Relaxed) {
            record.note("given up");
            return Verdict::NotRun;
        }
        thread::sleep(POLL_INTERVAL);
    }
    playing.join().unwrap_or(Verdict::NotRun)
}

fn play(case: &str, files: &Path, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "limits" => limits::play(files, record, has_trouble),
        "quarantine" => quarantine::play(files, record, has_trouble),
        _ => Verdict::NotRun,
    }
}
