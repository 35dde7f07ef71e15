//! Names, blocks and addresses that may stand only once.

use std::collections::HashSet;
use std::hash::Hash;

use super::Subject;

/// Reports empty and duplicate names.
pub(super) fn check(subject: &mut Subject<'_>) {
    let text = subject.text;
    if text.name.is_empty() {
        let offset = subject.positions.top("name");
        subject
            .findings
            .push(offset, "the deployment has no name", "give it one");
    }
    unique_names(subject, "region", text.regions.iter().map(|r| &*r.name));
    unique_names(subject, "zone", text.zones.iter().map(|z| &*z.name));
    unique_names(subject, "service", text.services.iter().map(|s| &*s.name));
    unique_names(
        subject,
        "workspace",
        text.workspaces.iter().map(|w| &*w.name),
    );
    links(subject);
    client_blocks(subject);
    backends(subject);
    objectives(subject);
}

fn unique_names<'n>(
    subject: &mut Subject<'_>,
    section: &str,
    names: impl Iterator<Item = &'n str>,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let offset = subject.positions.field(section, index, "name");
        if name.is_empty() {
            subject.findings.push(
                offset,
                format!("{section} has an empty name"),
                "give it a name of its own",
            );
        } else if !seen.insert(name) {
            subject.findings.push(
                offset,
                format!("{section} \"{name}\" stands twice"),
                "rename one of the two or delete it",
            );
        }
    }
}

fn links(subject: &mut Subject<'_>) {
    let mut seen = HashSet::new();
    for (index, link) in subject.text.links.iter().enumerate() {
        let [first, second] = &link.between;
        if first.is_empty() || second.is_empty() {
            continue;
        }
        let offset = subject.positions.field("link", index, "between");
        if first == second {
            subject.findings.push(
                offset,
                format!("link joins region \"{first}\" with itself"),
                "name two regions",
            );
        }
        let ends = (first.min(second), first.max(second));
        let message = format!("link between \"{first}\" and \"{second}\" stands twice");
        once(subject, &mut seen, ends, offset, &message);
    }
}

fn client_blocks(subject: &mut Subject<'_>) {
    let mut seen = HashSet::new();
    for (index, client) in subject.text.clients.iter().enumerate() {
        let offset = subject.positions.field("client", index, "block");
        let network = client.block.trunc();
        if network != client.block {
            subject.findings.push(
                offset,
                format!("client block {} has host bits set", client.block),
                format!("did you mean \"{network}\"?"),
            );
        }
        let message = format!("client block {network} stands twice");
        once(subject, &mut seen, network, offset, &message);
    }
}

fn backends(subject: &mut Subject<'_>) {
    let mut places = HashSet::new();
    let mut addrs = HashSet::new();
    for (index, backend) in subject.text.backends.iter().enumerate() {
        let offset = subject.positions.item("backend", index);
        if !backend.service.is_empty() && !backend.zone.is_empty() {
            let message = format!(
                "backend servers of \"{}\" in \"{}\" stand twice",
                backend.service, backend.zone
            );
            let place = (&backend.service, &backend.zone);
            once(subject, &mut places, place, offset, &message);
        }
        for (element, addr) in backend.addrs.iter().enumerate() {
            let offset = subject
                .positions
                .element("backend", index, "addrs", element);
            let message = format!("backend server {addr} stands twice");
            once(subject, &mut addrs, *addr, offset, &message);
        }
    }
}

fn objectives(subject: &mut Subject<'_>) {
    let mut seen = HashSet::new();
    for (index, objective) in subject.text.objectives.iter().enumerate() {
        let offset = subject.positions.item("objective", index);
        let same = (&objective.service, &objective.workspace, objective.kind);
        let message = format!("objective for \"{}\" stands twice", objective.service);
        once(subject, &mut seen, same, offset, &message);
    }
}

/// Reports `value` if it was seen before.
fn once<T: Eq + Hash>(
    subject: &mut Subject<'_>,
    seen: &mut HashSet<T>,
    value: T,
    offset: usize,
    message: &str,
) {
    if !seen.insert(value) {
        subject
            .findings
            .push(offset, message, "delete one of the two or merge them");
    }
}
