//! Checks that numbers are within their ranges.

use super::Context;
use crate::model::Goal;

/// Reports numbers that are out of range.
pub(super) fn check(context: &mut Context<'_>) {
    steering(context);
    zones(context);
    links(context);
    services(context);
    routes(context);
    workspaces(context);
    objectives(context);
}

fn steering(context: &mut Context<'_>) {
    let limits = &context.text.steering;
    let at = |field| context.positions.sub("steering", field);
    let (cap, window) = (at("shift_cap_percent"), at("shift_window_s"));
    let (ttl, headroom) = (at("lookup_ttl_ms"), at("headroom_percent"));
    if !(limits.shift_cap_percent > 0.0 && limits.shift_cap_percent <= 100.0) {
        context.findings.push(
            cap,
            "shift_cap_percent must be above 0 and at most 100",
            "such as shift_cap_percent = 10.0",
        );
    }
    if !(0.0..100.0).contains(&limits.headroom_percent) {
        context.findings.push(
            headroom,
            "headroom_percent must be at least 0 and below 100",
            "such as headroom_percent = 10.0",
        );
    }
    positive(context, limits.shift_window_s, "shift_window_s", window);
    positive(context, limits.lookup_ttl_ms, "lookup_ttl_ms", ttl);
}

fn zones(context: &mut Context<'_>) {
    for (index, zone) in context.text.zones.iter().enumerate() {
        if zone.entry_vms == 0 {
            let offset = context.positions.field("zone", index, "entry_vms");
            context.findings.push(
                offset,
                format!("zone \"{}\" has no entry VMs", zone.name),
                "each zone has entry VMs of its own; use drain = true to empty a zone",
            );
        }
    }
}

fn links(context: &mut Context<'_>) {
    for (index, link) in context.text.links.iter().enumerate() {
        let offset = context.positions.field("link", index, "mbit_per_s");
        positive(context, link.mbit_per_s, "mbit_per_s", offset);
        if !(link.rtt_ms.is_finite() && link.rtt_ms >= 0.0) {
            let offset = context.positions.field("link", index, "rtt_ms");
            context.findings.push(
                offset,
                "rtt_ms must be at least 0 and finite",
                "in milliseconds, such as rtt_ms = 12.0",
            );
        }
    }
}

fn services(context: &mut Context<'_>) {
    for (index, service) in context.text.services.iter().enumerate() {
        let offset = context.positions.field("service", index, "slots");
        positive(context, u64::from(service.slots), "slots", offset);
    }
}

fn routes(context: &mut Context<'_>) {
    for (index, route) in context.text.routes.iter().enumerate() {
        let offset = context.positions.field("route", index, "body_limit");
        positive(context, route.body_limit, "body_limit", offset);
        let offset = context.positions.field("route", index, "deadline_ms");
        positive(context, route.deadline_ms, "deadline_ms", offset);
    }
}

fn workspaces(context: &mut Context<'_>) {
    for (index, workspace) in context.text.workspaces.iter().enumerate() {
        if !(workspace.rate.is_finite() && workspace.rate > 0.0) {
            let offset = context.positions.field("workspace", index, "rate");
            context.findings.push(
                offset,
                format!(
                    "rate of workspace \"{}\" must be above 0 and finite",
                    workspace.name
                ),
                "requests per second over the whole fleet; withdraw its keys to stop a workspace",
            );
        }
        if !(workspace.burst.is_finite() && workspace.burst >= 1.0) {
            let offset = context.positions.field("workspace", index, "burst");
            context.findings.push(
                offset,
                format!(
                    "burst of workspace \"{}\" must be at least 1 and finite",
                    workspace.name
                ),
                "requests that may arrive at once; below 1 all requests would be refused",
            );
        }
    }
}

fn objectives(context: &mut Context<'_>) {
    for (index, objective) in context.text.objectives.iter().enumerate() {
        if !(objective.percent > 0.0 && objective.percent < 100.0) {
            let offset = context.positions.field("objective", index, "percent");
            context.findings.push(
                offset,
                "percent must be above 0 and below 100",
                "such as percent = 99.9; at 100 there is no error budget to burn",
            );
        }
        below_ms(context, index, objective.kind, objective.below_ms);
    }
}

fn below_ms(context: &mut Context<'_>, index: usize, kind: Goal, bound: Option<u64>) {
    let offset = context.positions.field("objective", index, "below_ms");
    match (kind, bound) {
        (Goal::Latency, None) => context.findings.push(
            offset,
            "latency objective without below_ms",
            "such as below_ms = 250",
        ),
        (Goal::Latency, Some(bound)) => positive(context, bound, "below_ms", offset),
        (_, Some(_)) => context.findings.push(
            offset,
            "below_ms applies to latency objectives only",
            "delete it or set kind = \"latency\"",
        ),
        (_, None) => {}
    }
}

fn positive(context: &mut Context<'_>, value: u64, field: &str, offset: usize) {
    if value == 0 {
        context.findings.push(
            offset,
            format!("{field} is zero"),
            "a limit of zero allows nothing; set it above zero",
        );
    }
}
