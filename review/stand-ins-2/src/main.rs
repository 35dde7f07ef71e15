//! Cases of the second review that start entry VMs as processes, with stand-ins of all that they speak to.
//!
//! `review-2 CASE FOLDER` plays a case from the root of the repository and writes `FOLDER/record.txt`. It ends
//! with status 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod base64;
mod http;
mod limits;
mod quarantine;
mod record;
mod server;
mod store;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

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
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return Verdict::NotRun.into();
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let files = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let verdict = match case.as_str() {
        "quarantine" => quarantine::play(&files, &record, has_trouble),
        "limits" => limits::play(&files, &record, has_trouble),
        _ => Verdict::NotRun,
    };
    record.note(&format!("verdict: {verdict:?}"));
    println!("{case}: {verdict:?}");
    if std::env::var_os("KEEP_FILES").is_none() {
        let _ = std::fs::remove_dir_all(&files);
    }
    verdict.into()
}
