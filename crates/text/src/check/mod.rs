//! Checks of the model that go beyond field types.

mod limits;
mod names;
mod references;
mod routes;
mod serving;

use crate::model::Text;
use crate::position::Positions;
use crate::problem::Findings;

/// The text to check, its source positions and the problems found so far.
#[derive(Debug)]
pub(crate) struct Context<'c> {
    text: &'c Text,
    positions: &'c Positions<'c, 'c>,
    findings: Findings,
}

/// Returns all problems found in `text`.
pub(crate) fn check(text: &Text, positions: &Positions<'_, '_>) -> Findings {
    let mut context = Context {
        text,
        positions,
        findings: Findings::default(),
    };
    names::check(&mut context);
    references::check(&mut context);
    limits::check(&mut context);
    routes::check(&mut context);
    serving::check(&mut context);
    context.findings
}
