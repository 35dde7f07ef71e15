//! Rate limiting of workspaces by the shares of their rates that this gate holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use grant::{Holder, Split};
use limit::{Allowance, Bucket, Demand, Share, Wait};
use text::Text;
use timer::{Moment, Service};
use tokio::time::sleep;
use wire::Pool;
use wire::lend::{
    FULL_SHARE, Grant, LeaderAddr, Ordinal, Request, ReserveRequest, Resource, ResourceRequest,
};
use wire::view::View;

use crate::refusal::{Refusal, Refused};

#[cfg(test)]
mod tests;

/// Retry delay for callers while the gate holds no share, in milliseconds.
const NO_SHARE_RETRY_AFTER_MS: u64 = 1_000;

/// Timeout of a request to the fleet leader's reserve, in milliseconds.
const RESERVE_TIMEOUT_MS: u64 = 150;

/// Time for which an empty reserve is not queried again, in milliseconds.
const EMPTY_RESERVE_MS: u64 = 100;

/// Maximum time that a request waits for a token of this gate's own share, in milliseconds.
const MAX_TOKEN_WAIT_MS: u64 = 250;

/// Maximum time that a token may be late after the wait, in milliseconds.
const MAX_TOKEN_DELAY_MS: u64 = 20;

/// Rate limit state of one workspace at this gate.
#[derive(Debug)]
struct Tenant {
    allowance: Allowance,
    /// Base share that applies while the VM holds an ordinal.
    base_parts: u64,
    /// Whether the VM holds an ordinal in its zone.
    has_ordinal: bool,
    demand: Demand,
    holder: Holder,
    bucket: Bucket,
    /// Moment until which the leader's reserve is not queried again.
    reserve_empty_until: Moment,
    /// Requests waiting for a token of this gate's own share.
    queued: u64,
}

impl Tenant {
    fn new(allowance: Allowance, now: Moment) -> Self {
        Self {
            allowance,
            base_parts: 0,
            has_ordinal: false,
            demand: Demand::new(),
            holder: Holder::new(1),
            bucket: Bucket::new(allowance, Share::default(), now),
            reserve_empty_until: Moment::default(),
            queued: 0,
        }
    }

    fn admit(&mut self, now: Moment) -> Result<(), Wait> {
        self.demand.count(now);
        self.bucket.take(now)
    }

    fn base_share(&self) -> u64 {
        if self.has_ordinal { self.base_parts } else { 0 }
    }

    /// Builds the request for the share needed beyond the base share. Gives the whole lent share
    /// back once the gate is leaving and receives no more requests.
    fn share_request(&mut self, leaving: bool, now: Moment) -> Request {
        let wanted = self.demand.wanted(&self.allowance, now);
        if leaving && wanted == 0 {
            let release = self.holder.leave(0, now);
            self.update_bucket(now);
            return release;
        }
        let wanted = wanted.saturating_sub(self.base_share());
        self.holder.request(wanted, 0, now)
    }

    fn apply_grant(&mut self, grant: &Grant, now: Moment) {
        if self.holder.accept(grant) {
            self.update_bucket(now);
        }
    }

    /// Updates the bucket to the current shares.
    fn update_bucket(&mut self, now: Moment) {
        let lent = self.holder.lent(now);
        let share = Share::new(self.base_share()).with_lent(lent, self.holder.expiry(now));
        self.bucket.set(self.allowance, share, now);
    }
}

/// A request waiting for a token. Requests that would wait too long are not queued but refused
/// immediately.
#[derive(Debug)]
struct Queued {
    tenant: Arc<Mutex<Tenant>>,
    /// Time until the token is due, in milliseconds.
    wait_ms: u64,
}

impl Queued {
    fn new(tenant: &Arc<Mutex<Tenant>>, wait: Wait) -> Option<Self> {
        let mut held = lock(tenant);
        let wait_ms = wait.ms?.saturating_mul(held.queued + 1);
        if wait_ms > MAX_TOKEN_WAIT_MS {
            return None;
        }
        held.queued += 1;
        Some(Self {
            tenant: Arc::clone(tenant),
            wait_ms,
        })
    }
}

impl Queued {
    /// Waits for the token and takes it. Waits once more if the token is slightly late because of
    /// clock differences.
    async fn take(&self, timer: &Service) -> Result<(), Wait> {
        sleep(Duration::from_millis(self.wait_ms)).await;
        let taken = lock(&self.tenant).bucket.take(timer.now());
        let late_ms = taken.err().and_then(|wait| wait.ms);
        match late_ms.filter(|late_ms| *late_ms <= MAX_TOKEN_DELAY_MS) {
            None => taken,
            Some(late_ms) => {
                sleep(Duration::from_millis(late_ms)).await;
                lock(&self.tenant).bucket.take(timer.now())
            }
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        lock(&self.tenant).queued -= 1;
    }
}

type Tenants = HashMap<String, Arc<Mutex<Tenant>>>;

/// Rate limiter for all workspaces.
#[derive(Debug)]
pub struct Limiter {
    tenants: ArcSwap<Tenants>,
    /// Address of the fleet leader.
    leader: ArcSwapOption<LeaderAddr>,
    pool: Arc<Pool>,
    has_ordinal: Mutex<bool>,
}

impl Limiter {
    /// Creates a limiter that admits no requests of workspaces until it has received shares.
    #[must_use]
    pub fn new(pool: Arc<Pool>) -> Self {
        Self {
            tenants: ArcSwap::default(),
            leader: ArcSwapOption::default(),
            pool,
            has_ordinal: Mutex::default(),
        }
    }

    /// Admits one request of `workspace`; requests without a workspace are not limited. If this
    /// gate's own share is used up, it takes one request from the fleet leader's reserve; if the
    /// reserve is empty or unreachable, the request waits for a token that is due soon.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if neither the share nor the reserve has tokens.
    pub async fn admit(&self, workspace: Option<&str>, timer: &Service) -> Result<(), Refused> {
        let Some(workspace) = workspace else {
            return Ok(());
        };
        let tenant = self.tenants.load().get(workspace).cloned();
        let Some(tenant) = tenant else {
            return Err(exceeded(Wait { ms: None }));
        };
        let now = timer.now();
        let Err(wait) = lock(&tenant).admit(now) else {
            return Ok(());
        };
        if now >= lock(&tenant).reserve_empty_until {
            if self.take_from_reserve(workspace).await {
                return Ok(());
            }
            lock(&tenant).reserve_empty_until = timer.now().plus_ms(EMPTY_RESERVE_MS);
        }
        let queued = Queued::new(&tenant, wait).ok_or_else(|| exceeded(wait))?;
        queued.take(timer).await.map_err(exceeded)
    }

    /// Takes one request from the reserve of the fleet leader and returns whether it was granted.
    async fn take_from_reserve(&self, workspace: &str) -> bool {
        let Some(leader) = self.leader.load_full() else {
            return false;
        };
        let reserve_request = ReserveRequest {
            epoch: leader.epoch,
            workspace: workspace.to_owned(),
        };
        let limit = Duration::from_millis(RESERVE_TIMEOUT_MS);
        let call = self.pool.call(leader.peer, limit, async |client, context| {
            client.take_from_reserve(context, reserve_request).await
        });
        call.await.unwrap_or(false)
    }

    /// Applies the workspace rates of `text` for a gate in `zone`.
    pub fn configure(&self, text: &Text, zone: &str, now: Moment) {
        let split = Split::new(FULL_SHARE, text.zones.len() as u64);
        let entry_vms = text.zone(zone).map_or(0, |zone| zone.entry_vms);
        let base_parts = split.base_share(entry_vms.into());
        let has_ordinal = *lock(&self.has_ordinal);
        let before = self.tenants.load();
        let tenant = |workspace: &text::model::Workspace| {
            let allowance = Allowance::new(workspace.rate, workspace.burst);
            let known = before.get(&workspace.name).map(Arc::clone);
            let tenant = known.unwrap_or_else(|| Arc::new(Mutex::new(Tenant::new(allowance, now))));
            let mut held = lock(&tenant);
            held.allowance = allowance;
            held.base_parts = base_parts;
            held.has_ordinal = has_ordinal;
            held.update_bucket(now);
            drop(held);
            (workspace.name.clone(), tenant)
        };
        let tenants = text.workspaces.iter().map(tenant).collect();
        self.tenants.store(Arc::new(tenants));
    }

    /// Builds the share requests for all workspaces at `now`.
    pub fn share_requests(&self, leaving: bool, now: Moment) -> Vec<ResourceRequest> {
        let tenants = self.tenants.load();
        let resource_request = |(name, tenant): (&String, &Arc<Mutex<Tenant>>)| ResourceRequest {
            resource: Resource::Workspace(name.clone()),
            request: lock(tenant).share_request(leaving, now),
        };
        tenants.iter().map(resource_request).collect()
    }

    /// Applies a view: the grants for the latest share requests, whether the VM holds an ordinal,
    /// and the fleet leader's address.
    pub fn apply_view(&self, view: &View, now: Moment) {
        self.leader.store(view.leader.map(Arc::new));
        let tenants = self.tenants.load();
        for resource_grant in &view.grants {
            if let Resource::Workspace(name) = &resource_grant.resource
                && let Some(tenant) = tenants.get(name)
            {
                let mut tenant = lock(tenant);
                tenant.apply_grant(&resource_grant.grant, now);
            }
        }
        self.apply_ordinal(&tenants, view.ordinal, now);
    }

    fn apply_ordinal(&self, tenants: &Tenants, ordinal_state: Ordinal, now: Moment) {
        let held = match ordinal_state {
            Ordinal::Unknown => return,
            Ordinal::Held => true,
            Ordinal::Missing => false,
        };
        let mut has_ordinal = lock(&self.has_ordinal);
        if *has_ordinal == held {
            return;
        }
        *has_ordinal = held;
        for tenant in tenants.values() {
            let mut tenant = lock(tenant);
            tenant.has_ordinal = held;
            tenant.update_bucket(now);
        }
    }
}

fn exceeded(wait: Wait) -> Refused {
    Refused {
        retry_after_ms: Some(wait.ms.unwrap_or(NO_SHARE_RETRY_AFTER_MS)),
        ..Refusal::RateExceeded.into()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
