//! Admission by the workspaces' rate limits.

use std::time::{Duration, Instant};

use event::Event;
use fleet::Workspace;
use fleet::ask::Subject;
use steer::owner::Member;
use steer::quota::{Grant, Limiter, Ownership};

use crate::dispatch::retry_jitter;
use crate::peers;
use crate::response::Refusal;
use crate::state::State;

/// Interval at which a workspace whose rate is used up is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Range of the time after which a rejected caller may retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));

/// Takes a token of `workspace`'s rate limit for a request.
///
/// # Errors
///
/// Fails if the rate is used up.
pub async fn admit(state: &State, workspace: &Workspace) -> Result<(), Refusal> {
    if workspace.rate_per_s <= 0.0 {
        return Ok(());
    }
    let id = peers::short_hash(&workspace.name);
    let Some(wanted) = admit_locally(state, id) else {
        state.metrics.note_admission("local");
        return Ok(());
    };
    match state
        .ask_owners(Subject::Workspace(id), limit(id), wanted)
        .await
    {
        Some(Grant::Tokens(tokens)) => {
            if let Some(limiter) = state.limiters.borrow_mut().get_mut(&id) {
                limiter.note_granted(tokens, Instant::now());
            }
            state.metrics.note_admission("granted");
            Ok(())
        }
        Some(Grant::Wait(wait)) => {
            state.metrics.note_admission("rejected");
            Err(over_rate(wait))
        }
        None => admit_unreached(state, id),
    }
}

/// Admits a request without asking if possible; otherwise returns the number of tokens to ask for.
fn admit_locally(state: &State, workspace: u32) -> Option<u32> {
    let mut limiters = state.limiters.borrow_mut();
    let limiter = limiters.get_mut(&workspace)?;
    (!limiter.admit(Instant::now())).then(|| limiter.wanted())
}

/// Admits a request by this VM's even share, since no owner of the limit answers.
fn admit_unreached(state: &State, workspace: u32) -> Result<(), Refusal> {
    let mut limiters = state.limiters.borrow_mut();
    let Some(limiter) = limiters.get_mut(&workspace) else {
        return Ok(());
    };
    if limiter.admit_unreached(Instant::now()) {
        state.metrics.note_admission("unreached");
        return Ok(());
    }
    state.metrics.note_admission("unreached-rejected");
    Err(over_rate(limiter.base_wait()))
}

fn over_rate(wait: Duration) -> Refusal {
    Refusal::OverRate(wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1) + retry_jitter())
}

impl State {
    /// Grants tokens of a workspace's rate; returns `None` for a workspace that this VM does not know.
    pub fn grant_rate(&self, workspace: u32, wanted: u32, is_standby: bool) -> Option<Grant> {
        let now = Instant::now();
        let ownership = self.ownership(limit(workspace), is_standby);
        let mut limiters = self.limiters.borrow_mut();
        let limiter = limiters.get_mut(&workspace)?;
        let grant = limiter.grant(wanted, ownership, now);
        if matches!(grant, Grant::Wait(_)) {
            self.log_used_up(workspace, limiter, ownership, now);
        }
        Some(grant)
    }

    fn log_used_up(&self, workspace: u32, limiter: &Limiter, ownership: Ownership, now: Instant) {
        let mut logged = self.logged_rates.borrow_mut();
        let is_recent = |at: &Instant| now.duration_since(*at) < LOG_INTERVAL;
        if logged.get(&workspace).is_some_and(is_recent) {
            return;
        }
        logged.insert(workspace, now);
        let (rate, peers, tokens) = limiter.state();
        event::emit(&Event::RateUsedUp {
            workspace: self.workspace_name(workspace),
            per_s: rate.per_s,
            burst: rate.burst,
            tokens,
            admitted: peers.admitted,
            granted: peers.granted,
            alive: peers.alive as u64,
            known: peers.vms as u64,
            settled: ownership == Ownership::Settled,
        });
    }

    fn workspace_name(&self, id: u32) -> String {
        let config = self.config();
        let mut workspaces = config.iter().flat_map(|config| config.keys.values());
        let named = workspaces.find(|workspace| peers::short_hash(&workspace.name) == id);
        named
            .map(|workspace| workspace.name.clone())
            .unwrap_or_default()
    }
}

/// Returns a workspace's limit as a subject of ownership. It belongs to no zone.
fn limit(workspace: u32) -> Member {
    Member {
        name: workspace.into(),
        zone: 0,
        region: 0,
    }
}
