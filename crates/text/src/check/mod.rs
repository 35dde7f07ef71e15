//! Checks that go beyond the shape of the text.

mod limits;
mod names;
mod references;
mod routes;
mod serving;

use crate::model::Text;
use crate::position::Positions;
use crate::problem::Findings;

/// A text under check.
#[derive(Debug)]
pub(crate) struct Subject<'c> {
    text: &'c Text,
    positions: &'c Positions<'c, 'c>,
    findings: Findings,
}

/// Returns everything wrong with `text`.
pub(crate) fn check(text: &Text, positions: &Positions<'_, '_>) -> Findings {
    let mut subject = Subject {
        text,
        positions,
        findings: Findings::default(),
    };
    names::check(&mut subject);
    references::check(&mut subject);
    limits::check(&mut subject);
    routes::check(&mut subject);
    serving::check(&mut subject);
    subject.findings
}
