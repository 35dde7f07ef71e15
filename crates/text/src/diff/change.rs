//! Differences between two configuration texts.

use std::fmt;
use std::net::SocketAddr;

use ipnet::IpNet;
use serde::Serialize;

use crate::model::{Access, Goal, Repeat};

/// A difference between two configuration texts.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Only the new text has the subject.
    Added {
        /// The added subject.
        subject: Subject,
    },
    /// Only the old text has the subject.
    Removed {
        /// The removed subject.
        subject: Subject,
    },
    /// Both texts have the subject, with different values of a field.
    Changed {
        /// The changed subject.
        subject: Subject,
        /// The changed field.
        field: Field,
        /// Value in the old text.
        old: Value,
        /// Value in the new text.
        new: Value,
    },
}

/// Part of the configuration that a change affects.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Subject {
    /// The deployment as a whole.
    Deployment,
    /// The limits on steering decisions.
    Steering,
    /// A region.
    Region {
        /// Its name.
        name: String,
    },
    /// An availability zone.
    Zone {
        /// Its name.
        name: String,
    },
    /// A link between regions.
    Link {
        /// The regions, in alphabetical order.
        between: [String; 2],
    },
    /// A block of client addresses.
    Client {
        /// The address block.
        block: IpNet,
    },
    /// A service.
    Service {
        /// Its name.
        name: String,
    },
    /// The backend servers of a service in a zone that accept new requests, taken together.
    Capacity {
        /// The service.
        service: String,
        /// The zone.
        zone: String,
    },
    /// A backend server.
    Backend {
        /// The service that the server runs.
        service: String,
        /// The zone of the server.
        zone: String,
        /// The address of the server.
        addr: SocketAddr,
    },
    /// A route for one method.
    Route {
        /// The method.
        method: String,
        /// The path prefix.
        path: String,
    },
    /// A workspace.
    Workspace {
        /// Its name.
        name: String,
    },
    /// A service-level objective.
    Objective {
        /// The service.
        service: String,
        /// The workspace; all workspaces if absent.
        workspace: Option<String>,
        /// Quality that the objective measures.
        goal: Goal,
    },
}

/// Field of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Field {
    /// Name of the deployment.
    Name,
    /// Shift cap, in percent.
    ShiftCap,
    /// Shift window, in seconds.
    ShiftWindow,
    /// Time to live of lookup answers, in milliseconds.
    LookupTtl,
    /// Headroom, in percent.
    Headroom,
    /// Region of a zone.
    Region,
    /// Zone nearest to a client block.
    NearestZone,
    /// Maximum number of entry VMs of a zone.
    EntryVms,
    /// Whether a zone or a backend server gets no new requests.
    Drain,
    /// Capacity of a link in each direction, in megabits per second.
    Bandwidth,
    /// Round-trip time of a link, in milliseconds.
    RoundTrip,
    /// Services that a service depends on.
    Dependencies,
    /// Requests that a backend server, or all of a service in a zone, may run at once.
    Slots,
    /// Time that a new backend server needs to reach full speed, in seconds.
    ColdStart,
    /// Service that handles the requests of a route.
    Service,
    /// Who may use a route.
    Access,
    /// Whether requests to a route may run more than once.
    Repeat,
    /// Maximum size of a request body, in bytes.
    BodyLimit,
    /// Maximum time to the first byte of an answer, in milliseconds.
    Deadline,
    /// Requests per second of a workspace over the whole fleet.
    Rate,
    /// Requests of a workspace that may arrive at once over the whole fleet.
    Burst,
    /// Share of requests that must be good, in percent.
    Percent,
    /// Latency bound of a good request, in milliseconds.
    Below,
}

/// A value before or after a change.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Value {
    /// No value.
    Absent,
    /// A boolean.
    Flag(bool),
    /// An integer.
    Count(u64),
    /// A floating-point number.
    Number(f64),
    /// A name.
    Name(String),
    /// Names, in alphabetical order.
    Names(Vec<String>),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { subject } => write!(f, "+ {subject}"),
            Self::Removed { subject } => write!(f, "- {subject}"),
            Self::Changed {
                subject,
                field: Field::Drain,
                new,
                ..
            } => {
                let drains = *new == Value::Flag(true);
                let verb = if drains { "drains" } else { "takes work again" };
                write!(f, "~ {subject}: {verb}")
            }
            Self::Changed {
                subject,
                field,
                old,
                new,
            } => write!(f, "~ {subject}: {field} {old} -> {new}{}", field.unit()),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment => f.write_str("deployment"),
            Self::Steering => f.write_str("steering"),
            Self::Region { name } => write!(f, "region {name}"),
            Self::Zone { name } => write!(f, "zone {name}"),
            Self::Link {
                between: [first, second],
            } => write!(f, "link {first} - {second}"),
            Self::Client { block } => write!(f, "clients {block}"),
            Self::Service { name } => write!(f, "service {name}"),
            Self::Capacity { service, zone } => write!(f, "capacity of {service} in {zone}"),
            Self::Backend {
                service,
                zone,
                addr,
            } => write!(f, "backend server {addr} of {service} in {zone}"),
            Self::Route { method, path } => write!(f, "route {method} {path}"),
            Self::Workspace { name } => write!(f, "workspace {name}"),
            Self::Objective {
                service,
                workspace,
                goal,
            } => {
                write!(f, "{goal} objective of {service}")?;
                match workspace {
                    Some(workspace) => write!(f, " for {workspace}"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl Field {
    /// Returns the unit to print after a value.
    fn unit(self) -> &'static str {
        match self {
            Self::ShiftCap | Self::Headroom | Self::Percent => " %",
            Self::ShiftWindow | Self::ColdStart => " s",
            Self::LookupTtl | Self::RoundTrip | Self::Deadline | Self::Below => " ms",
            Self::Bandwidth => " Mbit/s",
            Self::BodyLimit => " bytes",
            Self::Rate => " requests/s",
            Self::Burst => " requests",
            Self::Name
            | Self::Region
            | Self::NearestZone
            | Self::EntryVms
            | Self::Drain
            | Self::Dependencies
            | Self::Slots
            | Self::Service
            | Self::Access
            | Self::Repeat => "",
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Name => "name",
            Self::ShiftCap => "shift cap",
            Self::ShiftWindow => "shift window",
            Self::LookupTtl => "lookup TTL",
            Self::Headroom => "headroom",
            Self::Region => "region",
            Self::NearestZone => "nearest zone",
            Self::EntryVms => "entry VMs",
            Self::Drain => "drain",
            Self::Bandwidth => "bandwidth",
            Self::RoundTrip => "round trip",
            Self::Dependencies => "dependencies",
            Self::Slots => "slots",
            Self::ColdStart => "cold start",
            Self::Service => "service",
            Self::Access => "access",
            Self::Repeat => "repeat",
            Self::BodyLimit => "body limit",
            Self::Deadline => "deadline",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::Percent => "share of good requests",
            Self::Below => "latency bound",
        })
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Flag(flag) => write!(f, "{flag}"),
            Self::Count(count) => write!(f, "{count}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Name(name) => f.write_str(name),
            Self::Names(names) if names.is_empty() => f.write_str("none"),
            Self::Names(names) => f.write_str(&names.join(", ")),
        }
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

impl From<u64> for Value {
    fn from(count: u64) -> Self {
        Self::Count(count)
    }
}

impl From<u32> for Value {
    fn from(count: u32) -> Self {
        Self::Count(count.into())
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        Self::Number(number)
    }
}

impl From<&str> for Value {
    fn from(name: &str) -> Self {
        Self::Name(name.into())
    }
}

impl From<Access> for Value {
    fn from(access: Access) -> Self {
        match access {
            Access::Open => "open".into(),
            Access::Keyed => "keyed".into(),
        }
    }
}

impl From<Repeat> for Value {
    fn from(repeat: Repeat) -> Self {
        match repeat {
            Repeat::Safe => "safe".into(),
            Repeat::Once => "once".into(),
        }
    }
}

impl<T: Into<Value>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Absent, Into::into)
    }
}
