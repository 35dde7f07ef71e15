//! Compares two configuration texts, section by section.

use std::collections::{BTreeMap, BTreeSet};

use super::{Change, Field, Subject, Value};
use crate::model::{Backend, Goal, Link, Objective, Region, Route, Service, Steering, Text, Zone};

/// Returns the differences between two configuration texts, ordered by section.
#[must_use]
pub fn diff(old: &Text, new: &Text) -> Vec<Change> {
    let mut changes = Changes::default();
    changes.value(&Subject::Deployment, Field::Name, &*old.name, &*new.name);
    steering(&mut changes, &old.steering, &new.steering);
    regions(&mut changes, old, new);
    zones(&mut changes, old, new);
    links(&mut changes, old, new);
    clients(&mut changes, old, new);
    services(&mut changes, old, new);
    capacities(&mut changes, old, new);
    backends(&mut changes, old, new);
    routes(&mut changes, old, new);
    workspaces(&mut changes, old, new);
    objectives(&mut changes, old, new);
    changes.list
}

#[derive(Debug, Default)]
struct Changes {
    list: Vec<Change>,
}

impl Changes {
    fn value(
        &mut self,
        subject: &Subject,
        field: Field,
        old: impl Into<Value>,
        new: impl Into<Value>,
    ) {
        let (old, new) = (old.into(), new.into());
        if old != new {
            self.list.push(Change::Changed {
                subject: subject.clone(),
                field,
                old,
                new,
            });
        }
    }

    /// Compares two sets of items by key; `compare` is called for the items that are in both.
    fn items<K: Ord, T>(
        &mut self,
        old: &BTreeMap<K, T>,
        new: &BTreeMap<K, T>,
        subject: impl Fn(&K) -> Subject,
        compare: impl Fn(&mut Self, &Subject, &T, &T),
    ) {
        for (key, before) in old {
            let subject = subject(key);
            match new.get(key) {
                Some(after) => compare(self, &subject, before, after),
                None => self.list.push(Change::Removed { subject }),
            }
        }
        for key in new.keys().filter(|key| !old.contains_key(key)) {
            let subject = subject(key);
            self.list.push(Change::Added { subject });
        }
    }
}

fn steering(changes: &mut Changes, old: &Steering, new: &Steering) {
    let subject = Subject::Steering;
    changes.value(
        &subject,
        Field::ShiftCap,
        old.shift_cap_percent,
        new.shift_cap_percent,
    );
    changes.value(
        &subject,
        Field::ShiftWindow,
        old.shift_window_s,
        new.shift_window_s,
    );
    changes.value(
        &subject,
        Field::LookupTtl,
        old.lookup_ttl_ms,
        new.lookup_ttl_ms,
    );
    changes.value(
        &subject,
        Field::Headroom,
        old.headroom_percent,
        new.headroom_percent,
    );
}

fn regions(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |name: &&str| Subject::Region {
        name: (*name).into(),
    };
    let (old, new) = (regions_by_name(old), regions_by_name(new));
    changes.items(&old, &new, subject, |_, _, _, _| {});
}

fn regions_by_name(text: &Text) -> BTreeMap<&str, &Region> {
    let regions = text.regions.iter();
    regions.map(|region| (&*region.name, region)).collect()
}

fn zones(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |name: &&str| Subject::Zone {
        name: (*name).into(),
    };
    changes.items(
        &zones_by_name(old),
        &zones_by_name(new),
        subject,
        |changes, subject, old, new| {
            changes.value(subject, Field::Region, &*old.region, &*new.region);
            changes.value(subject, Field::EntryVms, old.entry_vms, new.entry_vms);
            changes.value(subject, Field::Drain, old.drain, new.drain);
        },
    );
}

fn zones_by_name(text: &Text) -> BTreeMap<&str, &Zone> {
    text.zones.iter().map(|zone| (&*zone.name, zone)).collect()
}

fn links(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |ends: &[String; 2]| Subject::Link {
        between: ends.clone(),
    };
    changes.items(
        &links_by_ends(old),
        &links_by_ends(new),
        subject,
        |changes, subject, old, new| {
            changes.value(subject, Field::Bandwidth, old.mbit_per_s, new.mbit_per_s);
            changes.value(subject, Field::RoundTrip, old.rtt_ms, new.rtt_ms);
        },
    );
}

fn links_by_ends(text: &Text) -> BTreeMap<[String; 2], &Link> {
    let ends = |link: &Link| {
        let mut ends = link.between.clone();
        ends.sort();
        ends
    };
    text.links.iter().map(|link| (ends(link), link)).collect()
}

fn clients(changes: &mut Changes, old: &Text, new: &Text) {
    let key = |text: &Text| -> BTreeMap<_, _> {
        let blocks = text.clients.iter();
        blocks
            .map(|client| (client.block, client.zone.clone()))
            .collect()
    };
    changes.items(
        &key(old),
        &key(new),
        |block| Subject::Client { block: *block },
        |changes, subject, old, new| {
            changes.value(subject, Field::NearestZone, old.as_str(), new.as_str());
        },
    );
}

fn services(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |name: &&str| Subject::Service {
        name: (*name).into(),
    };
    changes.items(
        &services_by_name(old),
        &services_by_name(new),
        subject,
        |changes, subject, old, new| {
            let (before, after) = (dependencies(old), dependencies(new));
            changes.value(subject, Field::Dependencies, before, after);
            changes.value(subject, Field::Slots, old.slots, new.slots);
            changes.value(
                subject,
                Field::ColdStart,
                old.cold_start_s,
                new.cold_start_s,
            );
        },
    );
}

fn services_by_name(text: &Text) -> BTreeMap<&str, &Service> {
    let services = text.services.iter();
    services.map(|service| (&*service.name, service)).collect()
}

fn dependencies(service: &Service) -> Value {
    let mut names = service.depends_on.clone();
    names.sort();
    Value::Names(names)
}

fn capacities(changes: &mut Changes, old: &Text, new: &Text) {
    let (before, after) = (
        slots_by_service_and_zone(old),
        slots_by_service_and_zone(new),
    );
    let keys: BTreeSet<(&str, &str)> = before.keys().chain(after.keys()).copied().collect();
    for (service, zone) in keys {
        let subject = Subject::Capacity {
            service: service.into(),
            zone: zone.into(),
        };
        let slots = |of: &BTreeMap<_, u64>| of.get(&(service, zone)).copied().unwrap_or(0);
        changes.value(&subject, Field::Slots, slots(&before), slots(&after));
    }
}

/// Returns the slots of servers that accept new requests, by service and zone.
fn slots_by_service_and_zone(text: &Text) -> BTreeMap<(&str, &str), u64> {
    let mut slots = BTreeMap::new();
    for backend in &text.backends {
        let key = (&*backend.service, &*backend.zone);
        *slots.entry(key).or_default() += slots_of(text, backend);
    }
    slots
}

fn slots_of(text: &Text, backend: &Backend) -> u64 {
    if text.zone(&backend.zone).is_some_and(|zone| zone.drain) {
        return 0;
    }
    let slots_per_server = text.service(&backend.service).map_or(0, |s| s.slots);
    let accepting = backend.addrs.iter().filter(|a| !backend.drain.contains(a));
    accepting.map(|_| u64::from(slots_per_server)).sum()
}

fn backends(changes: &mut Changes, old: &Text, new: &Text) {
    let key = |text: &Text| -> BTreeMap<_, _> {
        let addrs = text.backends.iter().flat_map(|backend| {
            backend.addrs.iter().map(move |addr| {
                let key = (backend.service.clone(), backend.zone.clone(), *addr);
                (key, backend.drain.contains(addr))
            })
        });
        addrs.collect()
    };
    changes.items(
        &key(old),
        &key(new),
        |(service, zone, addr)| Subject::Backend {
            service: service.clone(),
            zone: zone.clone(),
            addr: *addr,
        },
        |changes, subject, old, new| changes.value(subject, Field::Drain, *old, *new),
    );
}

fn routes(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |(path, method): &(&str, &str)| Subject::Route {
        method: (*method).into(),
        path: (*path).into(),
    };
    changes.items(
        &routes_by_key(old),
        &routes_by_key(new),
        subject,
        |changes, subject, old, new| {
            changes.value(subject, Field::Service, &*old.service, &*new.service);
            changes.value(subject, Field::Access, old.access, new.access);
            changes.value(subject, Field::Repeat, old.repeat, new.repeat);
            changes.value(subject, Field::BodyLimit, old.body_limit, new.body_limit);
            changes.value(subject, Field::Deadline, old.deadline_ms, new.deadline_ms);
        },
    );
}

fn routes_by_key(text: &Text) -> BTreeMap<(&str, &str), &Route> {
    let routes = text.routes.iter().flat_map(|route| {
        let methods = route.methods.iter();
        methods.map(move |method| ((&*route.path, &**method), route))
    });
    routes.collect()
}

fn workspaces(changes: &mut Changes, old: &Text, new: &Text) {
    let key = |text: &Text| -> BTreeMap<_, _> {
        let workspaces = text.workspaces.iter();
        workspaces
            .map(|workspace| (workspace.name.clone(), workspace.clone()))
            .collect()
    };
    changes.items(
        &key(old),
        &key(new),
        |name| Subject::Workspace { name: name.clone() },
        |changes, subject, old, new| {
            changes.value(subject, Field::Rate, old.rate, new.rate);
            changes.value(subject, Field::Burst, old.burst, new.burst);
        },
    );
}

fn objectives(changes: &mut Changes, old: &Text, new: &Text) {
    let subject = |(service, workspace, goal): &(&str, Option<&str>, Goal)| Subject::Objective {
        service: (*service).into(),
        workspace: workspace.map(Into::into),
        goal: *goal,
    };
    changes.items(
        &objectives_by_key(old),
        &objectives_by_key(new),
        subject,
        |changes, subject, old, new| {
            changes.value(subject, Field::Percent, old.percent, new.percent);
            changes.value(subject, Field::Below, old.below_ms, new.below_ms);
        },
    );
}

fn objectives_by_key(text: &Text) -> BTreeMap<(&str, Option<&str>, Goal), &Objective> {
    let objectives = text.objectives.iter();
    objectives
        .map(|objective| {
            let workspace = objective.workspace.as_deref();
            ((&*objective.service, workspace, objective.kind), objective)
        })
        .collect()
}
