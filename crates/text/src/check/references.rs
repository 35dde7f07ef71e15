//! Checks that references name items that exist.

use std::collections::HashSet;

use super::Context;
use crate::nearest;

/// Reports references to undeclared names, and drained servers that are not in `addrs`.
pub(super) fn check(context: &mut Context<'_>) {
    let text = context.text;
    let regions = Names::new("region", text.regions.iter().map(|r| &*r.name));
    let zones = Names::new("zone", text.zones.iter().map(|z| &*z.name));
    let services = Names::new("service", text.services.iter().map(|s| &*s.name));
    let workspaces = Names::new("workspace", text.workspaces.iter().map(|w| &*w.name));
    for (index, zone) in text.zones.iter().enumerate() {
        let offset = context.positions.field("zone", index, "region");
        regions.check_reference(context, &zone.region, offset);
    }
    for (index, link) in text.links.iter().enumerate() {
        for (element, region) in link.between.iter().enumerate() {
            let offset = context.positions.element("link", index, "between", element);
            regions.check_reference(context, region, offset);
        }
    }
    for (index, client) in text.clients.iter().enumerate() {
        let offset = context.positions.field("client", index, "zone");
        zones.check_reference(context, &client.zone, offset);
    }
    for (index, service) in text.services.iter().enumerate() {
        for (element, name) in service.depends_on.iter().enumerate() {
            let offset = context
                .positions
                .element("service", index, "depends_on", element);
            services.check_reference(context, name, offset);
        }
    }
    for (index, backend) in text.backends.iter().enumerate() {
        let offset = context.positions.field("backend", index, "service");
        services.check_reference(context, &backend.service, offset);
        let offset = context.positions.field("backend", index, "zone");
        zones.check_reference(context, &backend.zone, offset);
    }
    for (index, route) in text.routes.iter().enumerate() {
        let offset = context.positions.field("route", index, "service");
        services.check_reference(context, &route.service, offset);
    }
    for (index, objective) in text.objectives.iter().enumerate() {
        let offset = context.positions.field("objective", index, "service");
        services.check_reference(context, &objective.service, offset);
        if let Some(workspace) = &objective.workspace {
            let offset = context.positions.field("objective", index, "workspace");
            workspaces.check_reference(context, workspace, offset);
        }
    }
    drains(context);
}

fn drains(context: &mut Context<'_>) {
    for (index, backend) in context.text.backends.iter().enumerate() {
        for (element, addr) in backend.drain.iter().enumerate() {
            if backend.addrs.contains(addr) {
                continue;
            }
            let offset = context
                .positions
                .element("backend", index, "drain", element);
            let addrs: Vec<String> = backend.addrs.iter().map(ToString::to_string).collect();
            context.findings.push(
                offset,
                format!("draining server {addr} is not in addrs"),
                nearest::hint(&addr.to_string(), addrs.iter().map(String::as_str)),
            );
        }
    }
}

/// The names that a section declares.
struct Names<'n> {
    section: &'static str,
    list: Vec<&'n str>,
    set: HashSet<&'n str>,
    /// Whether all names could be read; otherwise references to them are not checked.
    complete: bool,
}

impl<'n> Names<'n> {
    fn new(section: &'static str, names: impl Iterator<Item = &'n str>) -> Self {
        let list: Vec<&str> = names.collect();
        let set: HashSet<&str> = list.iter().copied().collect();
        let complete = !set.contains("") && (!list.is_empty() || section == "workspace");
        Self {
            section,
            list,
            set,
            complete,
        }
    }

    fn check_reference(&self, context: &mut Context<'_>, name: &str, offset: usize) {
        if !self.complete || self.set.contains(name) {
            return;
        }
        context.findings.push(
            offset,
            format!("unknown {} \"{name}\"", self.section),
            nearest::hint(name, self.list.iter().copied()),
        );
    }
}
