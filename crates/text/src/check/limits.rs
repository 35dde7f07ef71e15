//! Numbers and their ranges.

use super::Subject;
use crate::model::Goal;

/// Reports numbers that are out of their ranges.
pub(super) fn check(subject: &mut Subject<'_>) {
    steering(subject);
    zones(subject);
    links(subject);
    services(subject);
    routes(subject);
    workspaces(subject);
    objectives(subject);
}

fn steering(subject: &mut Subject<'_>) {
    let limits = &subject.text.steering;
    let at = |field| subject.positions.sub("steering", field);
    let (cap, window) = (at("shift_cap_percent"), at("shift_window_s"));
    let (ttl, headroom) = (at("lookup_ttl_ms"), at("headroom_percent"));
    if !(limits.shift_cap_percent > 0.0 && limits.shift_cap_percent <= 100.0) {
        subject.findings.push(
            cap,
            "shift_cap_percent is not above 0 and at most 100",
            "such as shift_cap_percent = 10.0",
        );
    }
    if !(0.0..100.0).contains(&limits.headroom_percent) {
        subject.findings.push(
            headroom,
            "headroom_percent is not at least 0 and below 100",
            "such as headroom_percent = 10.0",
        );
    }
    positive(subject, limits.shift_window_s, "shift_window_s", window);
    positive(subject, limits.lookup_ttl_ms, "lookup_ttl_ms", ttl);
}

fn zones(subject: &mut Subject<'_>) {
    for (index, zone) in subject.text.zones.iter().enumerate() {
        if zone.entry_vms == 0 {
            let offset = subject.positions.field("zone", index, "entry_vms");
            subject.findings.push(
                offset,
                format!("zone \"{}\" has no entry VMs", zone.name),
                "each zone has entry VMs of its own; use drain = true to empty a zone",
            );
        }
    }
}

fn links(subject: &mut Subject<'_>) {
    for (index, link) in subject.text.links.iter().enumerate() {
        let offset = subject.positions.field("link", index, "mbit_per_s");
        positive(subject, link.mbit_per_s, "mbit_per_s", offset);
        if !(link.rtt_ms.is_finite() && link.rtt_ms >= 0.0) {
            let offset = subject.positions.field("link", index, "rtt_ms");
            subject.findings.push(
                offset,
                "rtt_ms is not a time",
                "in milliseconds, such as rtt_ms = 12.0",
            );
        }
    }
}

fn services(subject: &mut Subject<'_>) {
    for (index, service) in subject.text.services.iter().enumerate() {
        let offset = subject.positions.field("service", index, "slots");
        positive(subject, u64::from(service.slots), "slots", offset);
    }
}

fn routes(subject: &mut Subject<'_>) {
    for (index, route) in subject.text.routes.iter().enumerate() {
        let offset = subject.positions.field("route", index, "body_limit");
        positive(subject, route.body_limit, "body_limit", offset);
        let offset = subject.positions.field("route", index, "deadline_ms");
        positive(subject, route.deadline_ms, "deadline_ms", offset);
    }
}

fn workspaces(subject: &mut Subject<'_>) {
    for (index, workspace) in subject.text.workspaces.iter().enumerate() {
        if !(workspace.rate.is_finite() && workspace.rate > 0.0) {
            let offset = subject.positions.field("workspace", index, "rate");
            subject.findings.push(
                offset,
                format!(
                    "rate of workspace \"{}\" is not above 0 and finite",
                    workspace.name
                ),
                "requests per second over the whole fleet; withdraw its keys to stop a workspace",
            );
        }
        if !(workspace.burst.is_finite() && workspace.burst >= 1.0) {
            let offset = subject.positions.field("workspace", index, "burst");
            subject.findings.push(
                offset,
                format!(
                    "burst of workspace \"{}\" is not at least 1 and finite",
                    workspace.name
                ),
                "requests that may come at once; below 1 none would ever pass",
            );
        }
    }
}

fn objectives(subject: &mut Subject<'_>) {
    for (index, objective) in subject.text.objectives.iter().enumerate() {
        if !(objective.percent > 0.0 && objective.percent < 100.0) {
            let offset = subject.positions.field("objective", index, "percent");
            subject.findings.push(
                offset,
                "percent is not above 0 and below 100",
                "such as percent = 99.9; at 100 there is no error budget to burn",
            );
        }
        below_ms(subject, index, objective.kind, objective.below_ms);
    }
}

fn below_ms(subject: &mut Subject<'_>, index: usize, kind: Goal, bound: Option<u64>) {
    let offset = subject.positions.field("objective", index, "below_ms");
    match (kind, bound) {
        (Goal::Latency, None) => subject.findings.push(
            offset,
            "latency objective without below_ms",
            "such as below_ms = 250",
        ),
        (Goal::Latency, Some(bound)) => positive(subject, bound, "below_ms", offset),
        (_, Some(_)) => subject.findings.push(
            offset,
            "below_ms applies to latency objectives only",
            "delete it or set kind = \"latency\"",
        ),
        (_, None) => {}
    }
}

fn positive(subject: &mut Subject<'_>, value: u64, field: &str, offset: usize) {
    if value == 0 {
        subject.findings.push(
            offset,
            format!("{field} is zero"),
            "a limit of zero lets nothing pass; set one above zero",
        );
    }
}
