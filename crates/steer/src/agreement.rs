//! Decisions on requests that one entry VM passes on to another, while the two may know different versions of
//! the configuration.
//!
//! Load pattern: a VM without links to the backend servers passes each request on, each time through another
//! VM. These VMs learn of a change at different times, and one that was frozen or is cut off from the store
//! knows only an old version. If each handled requests by its own version, the callers of the first VM would
//! get old decisions after new ones, and run with keys or routes that one of the two knows to be withdrawn.
//! Hence a VM serves a request of another only if both versions decide the same about it. Otherwise the one
//! that is behind first takes over the state of the other.

use fleet::{Route, Version, Workspace};

use crate::placement::hash;

/// What the VM that took a request from the caller decided by its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ruling {
    /// Version of the configuration.
    pub version: Version,
    /// Hash of the name of the service that is to run the request.
    pub service: u64,
    /// Hash of the terms under which it may run; see [`terms`].
    pub terms: u64,
}

/// What the VM that is asked does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It serves the request.
    Serve,
    /// Its own version is older and decides differently or not at all.
    Behind,
    /// Its own version is later and decides differently.
    Ahead,
}

/// Returns the hash of a service's name.
#[must_use]
pub fn service(name: &str) -> u64 {
    hash(name.as_bytes())
}

/// Returns the hash of the terms under which a request of `workspace` may run on `route`: whether it may
/// run twice, for which workspace, and in which regions. Limits of time and number are no terms, since the
/// stricter ones of both VMs hold.
#[must_use]
pub fn terms(route: &Route, workspace: Option<&Workspace>) -> u64 {
    let owner = workspace.map(|workspace| (&workspace.name, &workspace.home_regions));
    let terms = (route.idempotency, route.public, &route.home_regions, owner);
    hash(format!("{terms:?}").as_bytes())
}

/// Judges a request with `asked`, the ruling of the VM that passes it on, at a VM whose own `version` sends it
/// by `decided`: its route and workspace, absent if that version refuses it.
#[must_use]
pub fn judge(
    asked: Ruling,
    version: Version,
    decided: Option<(&Route, Option<&Workspace>)>,
) -> Verdict {
    let agrees = |(route, workspace): (&Route, Option<&Workspace>)| {
        let mut targets = route.targets.iter();
        let is_target = targets.any(|target| service(&target.service) == asked.service);
        is_target && terms(route, workspace) == asked.terms
    };
    if decided.is_some_and(agrees) {
        Verdict::Serve
    } else if version > asked.version {
        Verdict::Ahead
    } else {
        Verdict::Behind
    }
}
