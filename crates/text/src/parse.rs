//! Parser that reports problems with their positions.

use toml::de::DeTable;

use crate::check;
use crate::model::Text;
use crate::position::Positions;
use crate::problem::{Findings, Problem};
use crate::read;
use crate::schema;
use crate::table::Table;

/// Maximum size of a text, in bytes; the platform's key-value service can store it together with
/// its envelope.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// Parses and checks a configuration text.
///
/// # Errors
///
/// Returns all problems found, sorted by position. A text that is not valid TOML is reported with
/// its syntax errors only, since the content that they affect cannot be checked.
pub fn parse(source: &str) -> Result<Text, Vec<Problem>> {
    let mut findings = Findings::default();
    if source.len() > MAX_TEXT_BYTES {
        report_size(source, &mut findings);
        return Err(findings.into_problems(source));
    }
    let (root, errors) = DeTable::parse_recoverable(source);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        findings.push(offset, error.message(), "this line is not valid TOML");
    }
    if !findings.is_empty() {
        return Err(findings.into_problems(source));
    }
    let root = root.into_inner();
    let text = read::text(&mut Table::new(&schema::TOP, &root, 0, &mut findings));
    findings.merge(check::check(&text, &Positions::new(&root)));
    if findings.is_empty() {
        Ok(text)
    } else {
        Err(findings.into_problems(source))
    }
}

fn report_size(source: &str, findings: &mut Findings) {
    let message = format!(
        "the text has {} bytes, more than {MAX_TEXT_BYTES}",
        source.len()
    );
    findings.push(
        MAX_TEXT_BYTES,
        message,
        "merge client blocks or shorten names",
    );
}
