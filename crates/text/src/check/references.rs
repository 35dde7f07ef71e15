//! References by name.

use std::collections::HashSet;

use super::Subject;
use crate::nearest;

/// Reports names that nothing in the text declares, and drains of servers that are not listed.
pub(super) fn check(subject: &mut Subject<'_>) {
    let text = subject.text;
    let regions = Names::new("region", text.regions.iter().map(|r| &*r.name));
    let zones = Names::new("zone", text.zones.iter().map(|z| &*z.name));
    let services = Names::new("service", text.services.iter().map(|s| &*s.name));
    let workspaces = Names::new("workspace", text.workspaces.iter().map(|w| &*w.name));
    for (index, zone) in text.zones.iter().enumerate() {
        let offset = subject.positions.field("zone", index, "region");
        regions.expect(subject, &zone.region, offset);
    }
    for (index, link) in text.links.iter().enumerate() {
        for (element, region) in link.between.iter().enumerate() {
            let offset = subject.positions.element("link", index, "between", element);
            regions.expect(subject, region, offset);
        }
    }
    for (index, client) in text.clients.iter().enumerate() {
        let offset = subject.positions.field("client", index, "zone");
        zones.expect(subject, &client.zone, offset);
    }
    for (index, service) in text.services.iter().enumerate() {
        for (element, name) in service.depends_on.iter().enumerate() {
            let offset = subject
                .positions
                .element("service", index, "depends_on", element);
            services.expect(subject, name, offset);
        }
    }
    for (index, backend) in text.backends.iter().enumerate() {
        let offset = subject.positions.field("backend", index, "service");
        services.expect(subject, &backend.service, offset);
        let offset = subject.positions.field("backend", index, "zone");
        zones.expect(subject, &backend.zone, offset);
    }
    for (index, route) in text.routes.iter().enumerate() {
        let offset = subject.positions.field("route", index, "service");
        services.expect(subject, &route.service, offset);
    }
    for (index, objective) in text.objectives.iter().enumerate() {
        let offset = subject.positions.field("objective", index, "service");
        services.expect(subject, &objective.service, offset);
        if let Some(workspace) = &objective.workspace {
            let offset = subject.positions.field("objective", index, "workspace");
            workspaces.expect(subject, workspace, offset);
        }
    }
    drains(subject);
}

fn drains(subject: &mut Subject<'_>) {
    for (index, backend) in subject.text.backends.iter().enumerate() {
        for (element, addr) in backend.drain.iter().enumerate() {
            if backend.addrs.contains(addr) {
                continue;
            }
            let offset = subject
                .positions
                .element("backend", index, "drain", element);
            let addrs: Vec<String> = backend.addrs.iter().map(ToString::to_string).collect();
            subject.findings.push(
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
    /// Whether all of them could be read; references cannot be judged otherwise.
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

    fn expect(&self, subject: &mut Subject<'_>, name: &str, offset: usize) {
        if !self.complete || self.set.contains(name) {
            return;
        }
        subject.findings.push(
            offset,
            format!("unknown {} \"{name}\"", self.section),
            nearest::hint(name, self.list.iter().copied()),
        );
    }
}
