//! Plays one case of the review: `review-harness CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
//! environment variable `TROUBLE` set to `0`, the case is played without its disruption.

mod base64;
mod caller;
mod case;
mod http;
mod record;
mod server;
mod store;
mod vm;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// Result of a case that could run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type Problem = Box<dyn std::error::Error>;

/// What a case is played with.
#[derive(Debug)]
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

impl Setting {
    /// Returns a loopback address of this process.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, high % 200 + 20, low, number)
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-harness CASE RECORD");
        exit(2);
    };
    let status = match play(case, Path::new(path)) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(problem) => {
            eprintln!("{case}: {problem}");
            2
        }
    };
    vm::kill_all();
    exit(status);
}

fn play(case: &str, path: &Path) -> Result<Verdict, Problem> {
    let record = Record::create(path)?;
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting {
        record: record.clone(),
        folder: folder.clone(),
        has_trouble,
    };
    record.note(format!("case {case}, disruption: {has_trouble}"));
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watchdog.note("the case took too long");
        vm::kill_all();
        exit(2);
    });
    let verdict = case::play(case, &setting);
    match &verdict {
        Ok(verdict) => record.note(format!("verdict: {verdict:?}")),
        Err(problem) => record.note(format!("could not run: {problem}")),
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("{}", folder.display());
    }
    verdict
}
