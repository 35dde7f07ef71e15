//! Checks of routes: paths, methods and access.

use std::collections::HashSet;

use super::Context;
use crate::model::{Access, Route};

/// Reports routes that cannot match a request, duplicate routes, and keyed routes in a text without
/// workspaces.
pub(super) fn check(context: &mut Context<'_>) {
    let mut seen = HashSet::new();
    for (index, route) in context.text.routes.iter().enumerate() {
        path(context, index, route);
        methods(context, index, route);
        access(context, index, route);
        for (element, method) in route.methods.iter().enumerate() {
            if seen.insert((&route.path, method)) {
                continue;
            }
            let offset = context
                .positions
                .element("route", index, "methods", element);
            context.findings.push(
                offset,
                format!("route \"{}\" is declared twice for {method}", route.path),
                "delete the method from one of the two",
            );
        }
    }
}

fn path(context: &mut Context<'_>, index: usize, route: &Route) {
    let visible = route.path.bytes().all(|byte| byte.is_ascii_graphic());
    if route.path.starts_with('/') && visible && !route.path.contains(['?', '#']) {
        return;
    }
    let offset = context.positions.field("route", index, "path");
    context.findings.push(
        offset,
        format!("path {:?} can match no request", route.path),
        "a path starts with / and has neither query nor spaces",
    );
}

fn methods(context: &mut Context<'_>, index: usize, route: &Route) {
    if route.methods.is_empty() {
        let offset = context.positions.field("route", index, "methods");
        context.findings.push(
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
        let offset = context
            .positions
            .element("route", index, "methods", element);
        context.findings.push(
            offset,
            format!("{method:?} is not an HTTP method"),
            format!("did you mean {:?}?", method.to_ascii_uppercase()),
        );
    }
}

fn access(context: &mut Context<'_>, index: usize, route: &Route) {
    if route.access == Access::Keyed && context.text.workspaces.is_empty() {
        let offset = context.positions.field("route", index, "access");
        context.findings.push(
            offset,
            format!(
                "route \"{}\" is keyed, but there is no workspace",
                route.path
            ),
            "add a [[workspace]] or set access = \"open\"",
        );
    }
}
