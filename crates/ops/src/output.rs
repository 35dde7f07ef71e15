//! Printing of reports.

use std::fmt;
use std::io::{self, Write};

use clap::builder::styling::{AnsiColor, Style};
use serde::Serialize;

use crate::config::Config;

/// Format of the printed reports.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    json: bool,
    colored: bool,
}

impl Output {
    /// Creates the output configured by `config`.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        Self {
            json: config.json,
            colored: config.colored,
        }
    }

    /// Prints a command's report in the configured format.
    ///
    /// # Errors
    ///
    /// Fails if standard output cannot be written.
    pub fn report<T: Serialize + fmt::Display>(self, report: &T) -> eyre::Result<()> {
        if self.json {
            write(&format!("{}\n", serde_json::to_string_pretty(report)?))
        } else {
            write(&self.colorize(&report.to_string()))
        }
    }

    /// Prints text that precedes the report; nothing if the report is printed as JSON.
    ///
    /// # Errors
    ///
    /// Fails if standard output cannot be written.
    pub fn preface(self, preface: &impl fmt::Display) -> eyre::Result<()> {
        if self.json {
            return Ok(());
        }
        write(&self.colorize(&preface.to_string()))
    }

    fn colorize(self, text: &str) -> String {
        if !self.colored {
            return text.to_owned();
        }
        text.split_inclusive('\n').map(colorize_line).collect()
    }
}

/// Prints text unchanged.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn write(text: &str) -> eyre::Result<()> {
    let mut stdout = io::stdout().lock();
    stdout.write_all(text.as_bytes())?;
    stdout.flush()?;
    Ok(())
}

/// Prints progress on standard error. Write errors are ignored, so that they do not abort a change.
pub fn progress(line: &str) {
    let _ = writeln!(io::stderr().lock(), "{line}");
}

/// Colours a line by its first character.
fn colorize_line(line: &str) -> String {
    let color = match line.trim_start().chars().next() {
        Some('+') => AnsiColor::Green,
        Some('-') => AnsiColor::Red,
        Some('~') => AnsiColor::Yellow,
        _ => return line.to_owned(),
    };
    let style = Style::new().fg_color(Some(color.into()));
    let content = line.trim_end_matches('\n');
    let end = &line[content.len()..];
    format!("{style}{content}{style:#}{end}")
}
