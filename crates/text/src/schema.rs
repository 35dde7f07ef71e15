//! Sections of the configuration text and their fields, with an example of each field for hints.

/// Definition of a field.
#[derive(Debug)]
pub(crate) struct Field {
    /// Name in the configuration text.
    pub(crate) name: &'static str,
    /// Example of a value, as written in the configuration text.
    pub(crate) example: &'static str,
}

/// Definition of a section.
#[derive(Debug)]
pub(crate) struct Section {
    /// Name in the configuration text; empty for the top level.
    pub(crate) name: &'static str,
    /// All fields that the section may have.
    pub(crate) fields: &'static [Field],
}

impl Section {
    /// Returns the example of the field `name`, or an empty string for an unknown field.
    pub(crate) fn example(&self, name: &str) -> &'static str {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map_or("", |field| field.example)
    }
}

const fn field(name: &'static str, example: &'static str) -> Field {
    Field { name, example }
}

pub(crate) const TOP: Section = Section {
    name: "",
    fields: &[
        field("name", "\"isartal\""),
        field("steering", "{ shift_cap_percent = 10.0 }"),
        field("region", "[{ name = \"obb\" }]"),
        field("zone", "[{ name = \"obb-a\", region = \"obb\" }]"),
        field("link", "[]"),
        field("client", "[]"),
        field("service", "[{ name = \"reader\", slots = 6 }]"),
        field("backend", "[]"),
        field("route", "[]"),
        field("workspace", "[]"),
        field("objective", "[]"),
    ],
};

pub(crate) const STEERING: Section = Section {
    name: "steering",
    fields: &[
        field("shift_cap_percent", "10.0"),
        field("shift_window_s", "10"),
        field("lookup_ttl_ms", "5000"),
        field("headroom_percent", "10.0"),
    ],
};

pub(crate) const REGION: Section = Section {
    name: "region",
    fields: &[field("name", "\"obb\"")],
};

pub(crate) const ZONE: Section = Section {
    name: "zone",
    fields: &[
        field("name", "\"obb-a\""),
        field("region", "\"obb\""),
        field("entry_vms", "2"),
        field("drain", "false"),
    ],
};

pub(crate) const LINK: Section = Section {
    name: "link",
    fields: &[
        field("between", "[\"obb\", \"ndb\"]"),
        field("mbit_per_s", "4000"),
        field("rtt_ms", "12.0"),
    ],
};

pub(crate) const CLIENT: Section = Section {
    name: "client",
    fields: &[
        field("block", "\"10.64.0.0/12\""),
        field("zone", "\"obb-a\""),
    ],
};

pub(crate) const SERVICE: Section = Section {
    name: "service",
    fields: &[
        field("name", "\"reader\""),
        field("depends_on", "[\"reactions\"]"),
        field("slots", "6"),
        field("cold_start_s", "20"),
    ],
};

pub(crate) const BACKEND: Section = Section {
    name: "backend",
    fields: &[
        field("service", "\"reader\""),
        field("zone", "\"obb-a\""),
        field("addrs", "[\"10.1.1.11:8080\"]"),
        field("drain", "[]"),
    ],
};

pub(crate) const ROUTE: Section = Section {
    name: "route",
    fields: &[
        field("path", "\"/forum\""),
        field("methods", "[\"GET\", \"HEAD\"]"),
        field("service", "\"reader\""),
        field("access", "\"open\" or \"keyed\""),
        field("repeat", "\"safe\" or \"once\""),
        field("body_limit", "1048576"),
        field("deadline_ms", "10000"),
    ],
};

pub(crate) const WORKSPACE: Section = Section {
    name: "workspace",
    fields: &[
        field("name", "\"tankfreunde\""),
        field("rate", "50.0"),
        field("burst", "100.0"),
    ],
};

pub(crate) const OBJECTIVE: Section = Section {
    name: "objective",
    fields: &[
        field("service", "\"reader\""),
        field("workspace", "\"tankfreunde\""),
        field("kind", "\"availability\", \"latency\" or \"admission\""),
        field("percent", "99.9"),
        field("below_ms", "250"),
    ],
};
