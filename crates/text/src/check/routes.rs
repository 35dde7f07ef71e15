//! Routes: paths, methods and access.

use std::collections::HashSet;

use super::Subject;
use crate::model::{Access, Route};

/// Reports routes that cannot match, that stand twice, and keyed ones that nobody may use.
pub(super) fn check(subject: &mut Subject<'_>) {
    let mut seen = HashSet::new();
    for (index, route) in subject.text.routes.iter().enumerate() {
        path(subject, index, route);
        methods(subject, index, route);
        access(subject, index, route);
        for (element, method) in route.methods.iter().enumerate() {
            if seen.insert((&route.path, method)) {
                continue;
            }
            let offset = subject
                .positions
                .element("route", index, "methods", element);
            subject.findings.push(
                offset,
                format!("route \"{}\" stands twice for {method}", route.path),
                "delete the method from one of the two",
            );
        }
    }
}

fn path(subject: &mut Subject<'_>, index: usize, route: &Route) {
    let visible = route.path.bytes().all(|byte| byte.is_ascii_graphic());
    if route.path.starts_with('/') && visible && !route.path.contains(['?', '#']) {
        return;
    }
    let offset = subject.positions.field("route", index, "path");
    subject.findings.push(
        offset,
        format!("path {:?} can match no request", route.path),
        "a path starts with / and has neither query nor spaces",
    );
}

fn methods(subject: &mut Subject<'_>, index: usize, route: &Route) {
    if route.methods.is_empty() {
        let offset = subject.positions.field("route", index, "methods");
        subject.findings.push(
            offset,
            format!("route \"{}\" has no methods", route.path),
            "such as methods = [\"GET\", \"HEAD\"]",
        );
    }
    for (element, method) in route.methods.iter().enumerate() {
        let upper = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if upper && !method.is_empty() {
            continue;
        }
        let offset = subject
            .positions
            .element("route", index, "methods", element);
        subject.findings.push(
            offset,
            format!("{method:?} is not an HTTP method"),
            format!("did you mean {:?}?", method.to_ascii_uppercase()),
        );
    }
}

fn access(subject: &mut Subject<'_>, index: usize, route: &Route) {
    if route.access == Access::Keyed && subject.text.workspaces.is_empty() {
        let offset = subject.positions.field("route", index, "access");
        subject.findings.push(
            offset,
            format!(
                "route \"{}\" is keyed, but there is no workspace",
                route.path
            ),
            "add a [[workspace]] or set access = \"open\"",
        );
    }
}
