//! `check`: reports every problem of a text.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use text::Problem;

use crate::exit::Exit;
use crate::output::Output;
use crate::source;

/// Result of a check.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the checked file.
    pub file: String,
    /// Problems of the text.
    pub problems: Vec<Problem>,
}

impl Report {
    /// Creates the report for a file.
    pub fn new(file: &Path, problems: Vec<Problem>) -> Self {
        Self {
            file: file.display().to_string(),
            problems,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{}:{problem}", self.file)?;
        }
        match self.problems.len() {
            0 => writeln!(f, "{}: no problems", self.file),
            1 => writeln!(f, "1 problem"),
            count => writeln!(f, "{count} problems"),
        }
    }
}

/// Checks `file`.
pub fn run(file: &Path, output: Output) -> eyre::Result<Exit> {
    match source::load(file)? {
        Ok(_) => {
            output.report(&Report::new(file, Vec::new()))?;
            Ok(Exit::Done)
        }
        Err(problems) => report_invalid(file, problems, output),
    }
}

/// Reports the problems of a text.
pub fn report_invalid(file: &Path, problems: Vec<Problem>, output: Output) -> eyre::Result<Exit> {
    output.report(&Report::new(file, problems))?;
    Ok(Exit::Invalid)
}
