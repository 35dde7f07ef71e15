//! Renders the catalogue of events as a document.

use std::fmt::Write as _;

use crate::list::CATALOGUE;

/// Description of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Event number; never reused.
    pub number: u16,
    /// Severity.
    pub level: &'static str,
    /// Name as written in a log line.
    pub name: &'static str,
    /// Meaning of the event.
    pub summary: &'static str,
    /// Field names.
    pub fields: &'static [&'static str],
}

/// Renders the catalogue as Markdown, the content of `docs/EVENTS.md`.
#[must_use]
pub fn render() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Each log line is a JSON object with `time_unix_ms`, `event` (the number), `level`,\n\
         `name` and the fields below. Numbers are never reused.\n\n\
         | number | level | name | fields | meaning |\n|---|---|---|---|---|\n",
    );
    for entry in CATALOGUE {
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            entry.number,
            entry.level,
            entry.name,
            entry.fields.join(", "),
            entry.summary,
        );
    }
    page
}
