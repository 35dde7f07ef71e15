//! Checks that names, client blocks and addresses are unique.

use std::collections::HashSet;
use std::hash::Hash;

use super::Context;

/// Reports empty and duplicate names.
pub(super) fn check(context: &mut Context<'_>) {
    let text = context.text;
    if text.name.is_empty() {
        let offset = context.positions.top("name");
        context
            .findings
            .push(offset, "the deployment has no name", "give it one");
    }
    unique_names(context, "region", text.regions.iter().map(|r| &*r.name));
    unique_names(context, "zone", text.zones.iter().map(|z| &*z.name));
    unique_names(context, "service", text.services.iter().map(|s| &*s.name));
    unique_names(
        context,
        "workspace",
        text.workspaces.iter().map(|w| &*w.name),
    );
    links(context);
    client_blocks(context);
    backends(context);
    objectives(context);
}

fn unique_names<'n>(
    context: &mut Context<'_>,
    section: &str,
    names: impl Iterator<Item = &'n str>,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let offset = context.positions.field(section, index, "name");
        if name.is_empty() {
            context.findings.push(
                offset,
                format!("{section} has an empty name"),
                "give it a unique name",
            );
        } else if !seen.insert(name) {
            context.findings.push(
                offset,
                format!("{section} \"{name}\" is declared twice"),
                "rename one of the two or delete it",
            );
        }
    }
}

fn links(context: &mut Context<'_>) {
    let mut seen = HashSet::new();
    for (index, link) in context.text.links.iter().enumerate() {
        let [first, second] = &link.between;
        if first.is_empty() || second.is_empty() {
            continue;
        }
        let offset = context.positions.field("link", index, "between");
        if first == second {
            context.findings.push(
                offset,
                format!("link joins region \"{first}\" with itself"),
                "name two different regions",
            );
        }
        let ends = (first.min(second), first.max(second));
        let message = format!("link between \"{first}\" and \"{second}\" is declared twice");
        report_duplicate(context, &mut seen, ends, offset, &message);
    }
}

fn client_blocks(context: &mut Context<'_>) {
    let mut seen = HashSet::new();
    for (index, client) in context.text.clients.iter().enumerate() {
        let offset = context.positions.field("client", index, "block");
        let network = client.block.trunc();
        if network != client.block {
            context.findings.push(
                offset,
                format!("client block {} has host bits set", client.block),
                format!("did you mean \"{network}\"?"),
            );
        }
        let message = format!("client block {network} is declared twice");
        report_duplicate(context, &mut seen, network, offset, &message);
    }
}

fn backends(context: &mut Context<'_>) {
    let mut groups = HashSet::new();
    let mut addrs = HashSet::new();
    for (index, backend) in context.text.backends.iter().enumerate() {
        let offset = context.positions.item("backend", index);
        if !backend.service.is_empty() && !backend.zone.is_empty() {
            let message = format!(
                "backend servers of \"{}\" in \"{}\" are declared twice",
                backend.service, backend.zone
            );
            let group = (&backend.service, &backend.zone);
            report_duplicate(context, &mut groups, group, offset, &message);
        }
        for (element, addr) in backend.addrs.iter().enumerate() {
            let offset = context
                .positions
                .element("backend", index, "addrs", element);
            let message = format!("backend server {addr} is declared twice");
            report_duplicate(context, &mut addrs, *addr, offset, &message);
        }
    }
}

fn objectives(context: &mut Context<'_>) {
    let mut seen = HashSet::new();
    for (index, objective) in context.text.objectives.iter().enumerate() {
        let offset = context.positions.item("objective", index);
        let key = (&objective.service, &objective.workspace, objective.kind);
        let message = format!("objective for \"{}\" is declared twice", objective.service);
        report_duplicate(context, &mut seen, key, offset, &message);
    }
}

/// Reports `value` if `seen` contains it already.
fn report_duplicate<T: Eq + Hash>(
    context: &mut Context<'_>,
    seen: &mut HashSet<T>,
    value: T,
    offset: usize,
    message: &str,
) {
    if !seen.insert(value) {
        context
            .findings
            .push(offset, message, "delete one of the two or merge them");
    }
}
