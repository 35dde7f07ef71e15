//! Admission of requests: route lookup and key check.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::request::Parts;
use text::model::{Access, Repeat};
use wire::keyring::Hash;

use crate::check::content_length;
use crate::compiled::Route;
use crate::observe::Record;
use crate::presented::Presented;
use crate::proxy::Proxy;
use crate::refusal::Refusal;
use crate::snapshot::{Check, Snapshot};

/// A request that has passed all checks.
#[derive(Debug)]
pub struct Admitted {
    /// ID of the request.
    pub id: String,
    /// Matched route.
    pub route: Arc<Route>,
    /// Workspace and key; `None` on open routes.
    pub credential: Option<Credential>,
    /// Moment by which the response head must arrive.
    pub deadline: Instant,
}

/// Workspace of a request and the key that authenticates it.
#[derive(Debug)]
pub struct Credential {
    /// Name of the workspace.
    pub workspace: String,
    /// Hash of the key.
    pub hash: Hash,
}

impl Admitted {
    /// Returns the time until the deadline, in milliseconds.
    #[must_use]
    pub fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.route.spec.repeat == Repeat::Safe
    }

    /// Returns the name of the workspace, or `None` on open routes.
    #[must_use]
    pub fn workspace(&self) -> Option<&str> {
        self.credential
            .as_ref()
            .map(|credential| credential.workspace.as_str())
    }
}

/// Finds the route of a request and checks its key.
///
/// # Errors
///
/// Returns the reason if the request is refused.
pub fn admit(
    proxy: &Proxy,
    record: &Record,
    parts: &Parts,
    presented: &Presented,
) -> Result<Admitted, Refusal> {
    let snapshot = proxy.snapshot.load();
    let compiled = snapshot.compiled.as_ref().ok_or(Refusal::NotReady)?;
    let route = compiled.route(parts.method.as_str(), parts.uri.path());
    let route = route.ok_or(Refusal::NoRoute)?;
    if content_length(&parts.headers) > route.spec.body_limit {
        return Err(Refusal::BodyTooLarge);
    }
    let credential = match route.spec.access {
        Access::Open => None,
        Access::Keyed => Some(credential(proxy, &snapshot, presented)?),
    };
    Ok(Admitted {
        id: record.id.clone(),
        route: Arc::clone(route),
        credential,
        deadline: record.arrived + Duration::from_millis(route.spec.deadline_ms),
    })
}

/// Checks again, before an attempt, that the key of an admitted request is still valid.
///
/// # Errors
///
/// Returns the reason if the request is refused.
pub fn recheck_key(proxy: &Proxy, admitted: &Admitted) -> Result<(), Refusal> {
    match &admitted.credential {
        None => Ok(()),
        Some(credential) => verify_key(proxy, &proxy.snapshot.load(), &credential.hash).map(|_| ()),
    }
}

fn credential(
    proxy: &Proxy,
    snapshot: &Snapshot,
    presented: &Presented,
) -> Result<Credential, Refusal> {
    let key = match presented {
        Presented::Nothing => return Err(Refusal::KeyMissing),
        Presented::Several => return Err(Refusal::KeyAmbiguous),
        Presented::Key(key) => key,
    };
    let hash = proxy.hasher.hash(key);
    let workspace = verify_key(proxy, snapshot, &hash)?;
    Ok(Credential { workspace, hash })
}

fn verify_key(proxy: &Proxy, snapshot: &Snapshot, hash: &Hash) -> Result<String, Refusal> {
    match snapshot.check(hash, proxy.timer.now()) {
        Check::Workspace(workspace) => Ok(workspace),
        Check::Withdrawn => Err(Refusal::KeyWithdrawn),
        Check::Unknown => Err(Refusal::KeyUnknown),
        Check::Stale => Err(Refusal::KeysStale),
    }
}
