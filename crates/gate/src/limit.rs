//! Holds workspaces to the gate's shares of their rates.

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

/// Time after which a caller without any share may try again, in milliseconds.
const NO_SHARE_RETRY_AFTER_MS: u64 = 1_000;

/// Longest time that the fleet's lead may take to answer, in milliseconds.
const RESERVE_TIMEOUT_MS: u64 = 150;

/// Time for which an empty reserve is not asked again, in milliseconds.
const EMPTY_RESERVE_MS: u64 = 100;

/// Longest time that a request waits for a token of this gate's own share, in milliseconds.
const MAX_TOKEN_WAIT_MS: u64 = 250;

/// Time by which a token may be late, in milliseconds.
const MAX_TOKEN_DELAY_MS: u64 = 20;

/// One workspace at this gate.
#[derive(Debug)]
struct Tenant {
    allowance: Allowance,
    /// Parts that stand, if the VM has a seat.
    base_parts: u64,
    /// Whether the VM has a seat.
    has_ordinal: bool,
    demand: Demand,
    holder: Holder,
    bucket: Bucket,
    /// Until then the lead's reserve is not asked again.
    reserve_empty_until: Moment,
    /// Requests that wait for a token of their own.
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

    /// Asks for what the standing share does not cover; gives everything back once the gate is
    /// leaving and no requests come any more.
    fn share_request(&mut self, leaving: bool, now: Moment) -> Request {
        let wanted = self.demand.wanted(&self.allowance, now);
        if leaving && wanted == 0 {
            let release = self.holder.leave(0, now);
            self.update_bucket(now);
            return release;
        }
        let wanted = wanted.saturating_sub(self.base_share());
        self.holder.ask(wanted, 0, now)
    }

    fn apply_grant(&mut self, grant: &Grant, now: Moment) {
        if self.holder.take(grant) {
            self.update_bucket(now);
        }
    }

    /// Brings the bucket in line with the shares.
    fn update_bucket(&mut self, now: Moment) {
        let lent = self.holder.lent(now);
        let share = Share::new(self.base_share()).with_lent(lent, self.holder.until(now));
        self.bucket.set(self.allowance, share, now);
    }
}

/// A request that waits for a token. One that would have to wait too long is not queued, so that
/// it is refused at once.
#[derive(Debug)]
struct Queued {
    tenant: Arc<Mutex<Tenant>>,
    /// Time until its token is due, in milliseconds.
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
    /// Waits for the token and takes it. Clocks that run apart by a little are waited for once.
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

/// The shares of all workspaces.
#[derive(Debug)]
pub struct Limiter {
    tenants: ArcSwap<Tenants>,
    /// Where the fleet's lead is.
    leader: ArcSwapOption<LeaderAddr>,
    pool: Arc<Pool>,
    has_ordinal: Mutex<bool>,
}

impl Limiter {
    /// Creates a limiter that admits nobody yet.
    #[must_use]
    pub fn new(pool: Arc<Pool>) -> Self {
        Self {
            tenants: ArcSwap::default(),
            leader: ArcSwapOption::default(),
            pool,
            has_ordinal: Mutex::default(),
        }
    }

    /// Admits one request of `workspace`; requests of no workspace are not limited. Only if this
    /// gate's own share is used up, the fleet's lead is asked for one request of its reserve; if
    /// that is empty or out of reach, the request waits for a token that is due soon.
    ///
    /// # Errors
    ///
    /// Says when to try again if neither has any left.
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

    /// Asks the fleet's lead for one request of its reserve.
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

    /// Takes over the allowances of `text` for a gate in `zone`.
    pub fn configure(&self, text: &Text, zone: &str, now: Moment) {
        let split = Split::new(FULL_SHARE, text.zones.len() as u64);
        let entry_vms = text.zone(zone).map_or(0, |zone| zone.entry_vms);
        let base_parts = split.seat(entry_vms.into());
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

    /// Asks for shares at `now`.
    pub fn share_requests(&self, leaving: bool, now: Moment) -> Vec<ResourceRequest> {
        let tenants = self.tenants.load();
        let resource_request = |(name, tenant): (&String, &Arc<Mutex<Tenant>>)| ResourceRequest {
            resource: Resource::Workspace(name.clone()),
            request: lock(tenant).share_request(leaving, now),
        };
        tenants.iter().map(resource_request).collect()
    }

    /// Takes what a view says of shares: the answers to the latest requests, whether the VM has a
    /// seat, and where the fleet's lead is.
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

    fn apply_ordinal(&self, tenants: &Tenants, ordinal: Ordinal, now: Moment) {
        let held = match ordinal {
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
