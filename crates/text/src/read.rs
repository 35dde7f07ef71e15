//! Builds the model from TOML tables. A field or an item that cannot be read is reported and
//! replaced by a placeholder, so that the rest can still be checked.

use crate::model::{
    Access, Backend, Client, Goal, Link, Objective, Region, Repeat, Route, Service, Steering, Text,
    Workspace, Zone, default_body_limit, default_deadline_ms, default_entry_vms,
};
use crate::schema;
use crate::table::Table;

/// Sections that are required to serve any traffic.
const REQUIRED: [&str; 4] = ["region", "zone", "service", "route"];

/// Reads the model from the top-level table.
pub(crate) fn text(top: &mut Table<'_, '_>) -> Text {
    for name in REQUIRED {
        if !top.has(name) {
            top.report_missing(name);
        }
    }
    Text {
        name: top.required("name").unwrap_or_default(),
        steering: top
            .subtable(&schema::STEERING, steering)
            .unwrap_or_default(),
        regions: top.sections(&schema::REGION, region),
        zones: top.sections(&schema::ZONE, zone),
        links: top.sections(&schema::LINK, link),
        clients: top.sections(&schema::CLIENT, client),
        services: top.sections(&schema::SERVICE, service),
        backends: top.sections(&schema::BACKEND, backend),
        routes: top.sections(&schema::ROUTE, route),
        workspaces: top.sections(&schema::WORKSPACE, workspace),
        objectives: top.sections(&schema::OBJECTIVE, objective),
    }
}

fn steering(table: &mut Table<'_, '_>) -> Steering {
    let default = Steering::default();
    Steering {
        shift_cap_percent: table
            .optional("shift_cap_percent")
            .unwrap_or(default.shift_cap_percent),
        shift_window_s: table
            .optional("shift_window_s")
            .unwrap_or(default.shift_window_s),
        lookup_ttl_ms: table
            .optional("lookup_ttl_ms")
            .unwrap_or(default.lookup_ttl_ms),
        headroom_percent: table
            .optional("headroom_percent")
            .unwrap_or(default.headroom_percent),
    }
}

fn region(table: &mut Table<'_, '_>) -> Region {
    Region {
        name: table.required("name").unwrap_or_default(),
    }
}

fn zone(table: &mut Table<'_, '_>) -> Zone {
    Zone {
        name: table.required("name").unwrap_or_default(),
        region: table.required("region").unwrap_or_default(),
        entry_vms: table
            .optional("entry_vms")
            .unwrap_or_else(default_entry_vms),
        drain: table.optional("drain").unwrap_or_default(),
    }
}

fn link(table: &mut Table<'_, '_>) -> Link {
    Link {
        between: table.required("between").unwrap_or_default(),
        mbit_per_s: table.required("mbit_per_s").unwrap_or(1),
        rtt_ms: table.required("rtt_ms").unwrap_or_default(),
    }
}

fn client(table: &mut Table<'_, '_>) -> Client {
    Client {
        block: table.required("block").unwrap_or_default(),
        zone: table.required("zone").unwrap_or_default(),
    }
}

fn service(table: &mut Table<'_, '_>) -> Service {
    Service {
        name: table.required("name").unwrap_or_default(),
        depends_on: table.list("depends_on"),
        slots: table.required("slots").unwrap_or(1),
        cold_start_s: table.optional("cold_start_s").unwrap_or_default(),
    }
}

fn backend(table: &mut Table<'_, '_>) -> Backend {
    Backend {
        service: table.required("service").unwrap_or_default(),
        zone: table.required("zone").unwrap_or_default(),
        addrs: table.required_list("addrs"),
        drain: table.list("drain"),
    }
}

fn route(table: &mut Table<'_, '_>) -> Route {
    Route {
        path: table.required("path").unwrap_or_default(),
        methods: table.required_list("methods"),
        service: table.required("service").unwrap_or_default(),
        access: table.required("access").unwrap_or(Access::Open),
        repeat: table.required("repeat").unwrap_or(Repeat::Once),
        body_limit: table
            .optional("body_limit")
            .unwrap_or_else(default_body_limit),
        deadline_ms: table
            .optional("deadline_ms")
            .unwrap_or_else(default_deadline_ms),
    }
}

fn workspace(table: &mut Table<'_, '_>) -> Workspace {
    Workspace {
        name: table.required("name").unwrap_or_default(),
        rate: table.required("rate").unwrap_or(1.0),
        burst: table.required("burst").unwrap_or(1.0),
    }
}

fn objective(table: &mut Table<'_, '_>) -> Objective {
    Objective {
        service: table.required("service").unwrap_or_default(),
        workspace: table.optional("workspace"),
        kind: table.required("kind").unwrap_or(Goal::Availability),
        percent: table.required("percent").unwrap_or(50.0),
        below_ms: table.optional("below_ms"),
    }
}
