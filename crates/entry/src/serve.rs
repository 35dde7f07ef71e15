//! Processing of one request: routing, admission and dispatch.

use std::rc::Rc;
use std::time::Duration;

use fleet::{Config, Route, Workspace};
use steer::agreement;
use steer::placement::hash;

use crate::caller::Incoming;
use crate::dispatch::{Attempts, Dispatch, Origin, fingerprint};
use crate::head::Request;
use crate::quota;
use crate::relay::headers::Asked;
use crate::relay::{self, headers};
use crate::request_log::RequestLog;
use crate::response::{Refusal, Reply};
use crate::state::State;
use crate::upstream::Response;

/// Answers a request.
pub async fn answer(state: &Rc<State>, incoming: Incoming, origin: Origin) -> Reply {
    let mut log = RequestLog::new(state, &incoming);
    let asked = match origin {
        Origin::Vm => headers::version(&incoming.head.fields),
        Origin::Caller => None,
    };
    log.asked_config = asked.unwrap_or_default();
    let outcome = run(state, &incoming, origin, &mut log).await;
    log.end(outcome.as_ref().map(|response| response.head.status));
    let mut reply = match outcome {
        Ok(response) => {
            let is_head = &incoming.head.method[..] == b"HEAD";
            Reply::from_backend(response, is_head)
        }
        Err(refusal) => {
            let mut reply = match origin {
                Origin::Vm => Reply::refused_relay(refusal),
                Origin::Caller => Reply::refused(refusal),
            };
            // The body was read, so the connection can be used for further requests.
            reply.closes &= !matches!(refusal, Refusal::NoMemory(_));
            reply
        }
    };
    if asked.is_some() {
        reply.add_header(headers::CONFIG, &state.version().0.to_string());
    }
    reply
}

async fn run(
    state: &Rc<State>,
    incoming: &Incoming,
    origin: Origin,
    log: &mut RequestLog<'_>,
) -> Result<Response, Refusal> {
    if origin == Origin::Vm {
        relay::agree(state, &incoming.head).await?;
    }
    let config = state.config().ok_or(Refusal::Starting)?;
    let version = config.version;
    let outcome = run_by(state, incoming, origin, config, log).await;
    let later = state.config().filter(|later| later.version > version);
    match (&outcome, later) {
        // The VM learned of a later version when it passed the request on.
        (Err(Refusal::NoServer(_)), Some(later)) => {
            run_by(state, incoming, origin, later, log).await
        }
        _ => outcome,
    }
}

/// Processes a request by `config`.
async fn run_by(
    state: &Rc<State>,
    incoming: &Incoming,
    origin: Origin,
    config: Rc<Config>,
    log: &mut RequestLog<'_>,
) -> Result<Response, Refusal> {
    let routing = Rc::clone(&config);
    let (route, workspace) = decide(state, &routing, origin, &incoming.head)?;
    log.route = Some(route.name.clone());
    if let Some(workspace) = workspace {
        let is_admitted = log.workspace == workspace.name;
        workspace.name.clone_into(&mut log.workspace);
        if origin == Origin::Caller && !is_admitted {
            quota::admit(state, workspace).await?;
        }
    }
    let deadline = incoming.since + time_limit(state, route, &incoming.head);
    if !state.can_finish(deadline) {
        return Err(Refusal::Leaving);
    }
    if !state.quarantine.is_empty() && state.quarantine.forbids(&fingerprint(incoming, workspace)) {
        return Err(Refusal::Quarantined);
    }
    let object = object(state, incoming);
    let service = asked_service(origin, route, &incoming.head)
        .unwrap_or_else(|| choose_service(state, route, object));
    let is_counted = !log.service.is_empty();
    service.clone_into(&mut log.service);
    // The VM that the caller asked has counted a relayed request.
    if origin == Origin::Caller && !is_counted {
        state.note_request(service);
    }
    let mut dispatch = Dispatch {
        state,
        config,
        route,
        workspace,
        service,
        origin,
        incoming,
        object,
        deadline,
        attempts: Attempts::default(),
        via: None,
    };
    let outcome = dispatch.run().await;
    log.via = dispatch.via;
    log.warmth = dispatch.attempts.warmth;
    log.sent = dispatch.attempts.counts.sent();
    log.server = dispatch
        .attempts
        .servers
        .last()
        .map(|backend| Rc::clone(&backend.id));
    outcome
}

/// Returns the route of a request and its workspace, which is absent on open routes.
///
/// # Errors
///
/// Fails if `config` does not allow the request.
pub fn decide<'a>(
    state: &State,
    config: &'a Config,
    origin: Origin,
    head: &Request,
) -> Result<(&'a Route, Option<&'a Workspace>), Refusal> {
    let route = route(config, head)?;
    if route.public || !config.has_workspaces {
        return Ok((route, None));
    }
    let workspace = workspace(state, config, origin, head)?;
    Ok((route, Some(workspace)))
}

fn route<'a>(config: &'a Config, head: &Request) -> Result<&'a Route, Refusal> {
    let host = head.fields.text("host").ok_or(Refusal::Malformed)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    let target = std::str::from_utf8(&head.target).map_err(|_| Refusal::Malformed)?;
    let path = target.split('?').next().unwrap_or_default();
    let route = config.route(host, path).ok_or(Refusal::NoRoute)?;
    Ok(route)
}

/// Returns the workspace that a request is for.
fn workspace<'a>(
    state: &State,
    config: &'a Config,
    origin: Origin,
    head: &Request,
) -> Result<&'a Workspace, Refusal> {
    match origin {
        Origin::Caller => workspace_of_key(state, config, head),
        Origin::Vm => relayed_workspace(state, config, head),
    }
}

/// Returns the workspace whose key the request carries.
fn workspace_of_key<'a>(
    state: &State,
    config: &'a Config,
    head: &Request,
) -> Result<&'a Workspace, Refusal> {
    let mut keys = head.fields.all(state.names.key);
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(Refusal::NoKey);
    };
    let key = std::str::from_utf8(key).map_err(|_| Refusal::NoKey)?;
    let workspace = config.keys.get(key).ok_or(Refusal::NoKey)?;
    Ok(workspace)
}

/// Returns the workspace of a request that another VM passes on: that of the key, which may have been
/// withdrawn since the other VM checked it. VMs of older versions name only the workspace.
fn relayed_workspace<'a>(
    state: &State,
    config: &'a Config,
    head: &Request,
) -> Result<&'a Workspace, Refusal> {
    if head.fields.get(state.names.key).is_some() {
        return workspace_of_key(state, config, head);
    }
    let name = head.fields.text(state.names.workspace);
    let mut workspaces = config.keys.values();
    let named = workspaces.find(|workspace| Some(workspace.name.as_str()) == name);
    named.map(|workspace| &**workspace).ok_or(Refusal::Starting)
}

/// Returns the hash of the object that the request is about: the object that a header names, else
/// the request's target.
fn object(state: &State, incoming: &Incoming) -> u64 {
    let named = incoming.head.fields.get(state.names.object);
    hash(named.unwrap_or(&incoming.head.target))
}

/// Returns the service that the VM which passes the request on has chosen.
fn asked_service<'a>(origin: Origin, route: &'a Route, head: &Request) -> Option<&'a str> {
    let ruling = Asked::of(head).ruling.filter(|_| origin == Origin::Vm)?;
    let mut targets = route.targets.iter();
    let asked = targets.find(|target| agreement::service(&target.service) == ruling.service)?;
    Some(&asked.service)
}

fn choose_service<'a>(state: &State, route: &'a Route, object: u64) -> &'a str {
    if let [only] = &route.targets[..] {
        return &only.service;
    }
    let mut splits = state.splits.borrow_mut();
    let split = splits.entry(route.name.clone()).or_default();
    &route.targets[split.choose(&route.targets, object)].service
}

/// Returns the time limit of the request: the route's, or the caller's if that is shorter.
fn time_limit(state: &State, route: &Route, head: &Request) -> Duration {
    let requested = head.fields.text(state.names.deadline);
    let requested = requested.and_then(|requested| requested.trim().parse().ok());
    requested.map_or(route.timeout, |requested| {
        route.timeout.min(Duration::from_millis(requested))
    })
}
