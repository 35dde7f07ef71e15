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
const NO_SHARE_RETRY_MS: u64 = 1_000;

/// Longest time that the fleet's lead may take to answer, in milliseconds.
const DRAW_MS: u64 = 150;

/// Time for which an empty reserve is not asked again, in milliseconds.
const EMPTY_MS: u64 = 100;

/// Longest time that a request waits for a token of this gate's own share, in milliseconds.
const PATIENCE_MS: u64 = 250;

/// Time by which a token may be late, in milliseconds.
const LATE_MS: u64 = 20;

/// One workspace at this gate.
#[derive(Debug)]
struct Tenant {
    allowance: Allowance,
    /// Parts that stand, if the VM has a seat.
    seat_parts: u64,
    /// Whether the VM has a seat.
    seated: bool,
    demand: Demand,
    holder: Holder,
    bucket: Bucket,
    /// Until then the lead's reserve is not asked again.
    empty_until: Moment,
    /// Requests that wait for a token of their own.
    queued: u64,
}

impl Tenant {
    fn new(allowance: Allowance, now: Moment) -> Self {
        Self {
            allowance,
            seat_parts: 0,
            seated: false,
            demand: Demand::new(),
            holder: Holder::new(1),
            bucket: Bucket::new(allowance, Share::default(), now),
            empty_until: Moment::default(),
            queued: 0,
        }
    }

    fn admit(&mut self, now: Moment) -> Result<(), Wait> {
        self.demand.count(now);
        self.bucket.take(now)
    }

    fn standing(&self) -> u64 {
        if self.seated { self.seat_parts } else { 0 }
    }

    /// Asks for what the standing share does not cover; gives everything back once the gate is
    /// leaving and no requests come any more.
    fn ask(&mut self, leaving: bool, now: Moment) -> Request {
        let wanted = self.demand.wanted(&self.allowance, now);
        if leaving && wanted == 0 {
            let ask = self.holder.leave(0, now);
            self.apply(now);
            return ask;
        }
        let wanted = wanted.saturating_sub(self.standing());
        self.holder.request(wanted, 0, now)
    }

    fn take(&mut self, grant: &Grant, now: Moment) {
        if self.holder.accept(grant) {
            self.apply(now);
        }
    }

    /// Brings the bucket in line with the shares.
    fn apply(&mut self, now: Moment) {
        let lent = self.holder.lent(now);
        let share = Share::new(self.standing()).with_lent(lent, self.holder.expiry(now));
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
        if wait_ms > PATIENCE_MS {
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
        match late_ms.filter(|late_ms| *late_ms <= LATE_MS) {
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
    lead: ArcSwapOption<LeaderAddr>,
    pool: Arc<Pool>,
    seated: Mutex<bool>,
}

impl Limiter {
    /// Creates a limiter that admits nobody yet.
    #[must_use]
    pub fn new(pool: Arc<Pool>) -> Self {
        Self {
            tenants: ArcSwap::default(),
            lead: ArcSwapOption::default(),
            pool,
            seated: Mutex::default(),
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
        if now >= lock(&tenant).empty_until {
            if self.draw(workspace).await {
                return Ok(());
            }
            lock(&tenant).empty_until = timer.now().plus_ms(EMPTY_MS);
        }
        let queued = Queued::new(&tenant, wait).ok_or_else(|| exceeded(wait))?;
        queued.take(timer).await.map_err(exceeded)
    }

    /// Asks the fleet's lead for one request of its reserve.
    async fn draw(&self, workspace: &str) -> bool {
        let Some(lead) = self.lead.load_full() else {
            return false;
        };
        let draw = ReserveRequest {
            epoch: lead.epoch,
            workspace: workspace.to_owned(),
        };
        let limit = Duration::from_millis(DRAW_MS);
        let call = self.pool.call(lead.peer, limit, async |client, context| {
            client.take_from_reserve(context, draw).await
        });
        call.await.unwrap_or(false)
    }

    /// Takes over the allowances of `text` for a gate in `zone`.
    pub fn configure(&self, text: &Text, zone: &str, now: Moment) {
        let split = Split::new(FULL_SHARE, text.zones.len() as u64);
        let seats = text.zone(zone).map_or(0, |zone| zone.entry_vms);
        let seat_parts = split.base_share(seats.into());
        let seated = *lock(&self.seated);
        let before = self.tenants.load();
        let tenant = |workspace: &text::model::Workspace| {
            let allowance = Allowance::new(workspace.rate, workspace.burst);
            let known = before.get(&workspace.name).map(Arc::clone);
            let tenant = known.unwrap_or_else(|| Arc::new(Mutex::new(Tenant::new(allowance, now))));
            let mut held = lock(&tenant);
            held.allowance = allowance;
            held.seat_parts = seat_parts;
            held.seated = seated;
            held.apply(now);
            drop(held);
            (workspace.name.clone(), tenant)
        };
        let tenants = text.workspaces.iter().map(tenant).collect();
        self.tenants.store(Arc::new(tenants));
    }

    /// Asks for shares at `now`.
    pub fn asks(&self, leaving: bool, now: Moment) -> Vec<ResourceRequest> {
        let tenants = self.tenants.load();
        let ask = |(name, tenant): (&String, &Arc<Mutex<Tenant>>)| ResourceRequest {
            resource: Resource::Workspace(name.clone()),
            request: lock(tenant).ask(leaving, now),
        };
        tenants.iter().map(ask).collect()
    }

    /// Takes what a view says of shares: the answers to the latest requests, whether the VM has a
    /// seat, and where the fleet's lead is.
    pub fn take(&self, view: &View, now: Moment) {
        self.lead.store(view.leader.map(Arc::new));
        let tenants = self.tenants.load();
        for answer in &view.grants {
            if let Resource::Workspace(name) = &answer.resource
                && let Some(tenant) = tenants.get(name)
            {
                let mut tenant = lock(tenant);
                tenant.take(&answer.grant, now);
            }
        }
        self.take_seat(&tenants, view.ordinal, now);
    }

    fn take_seat(&self, tenants: &Tenants, seat: Ordinal, now: Moment) {
        let held = match seat {
            Ordinal::Unknown => return,
            Ordinal::Held => true,
            Ordinal::Missing => false,
        };
        let mut seated = lock(&self.seated);
        if *seated == held {
            return;
        }
        *seated = held;
        for tenant in tenants.values() {
            let mut tenant = lock(tenant);
            tenant.seated = held;
            tenant.apply(now);
        }
    }
}

fn exceeded(wait: Wait) -> Refused {
    Refused {
        retry_after_ms: Some(wait.ms.unwrap_or(NO_SHARE_RETRY_MS)),
        ..Refusal::RateExceeded.into()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
