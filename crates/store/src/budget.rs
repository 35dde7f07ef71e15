//! Token buckets that limit the rate of calls.

use timer::Moment;

use crate::purpose::Purpose;

/// Kind of a call, as counted by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A read, blocking or not.
    Read,
    /// A write or a session call.
    Write,
}

/// A token bucket that refills at a constant rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    /// Between 0 and `burst`.
    tokens: f64,
    refilled_at: Moment,
}

impl Bucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, now: Moment) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until a token is available; [`u64::MAX`] if the bucket
    /// never refills.
    pub fn take(&mut self, now: Moment) -> Result<(), u64> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(self.wait_ms())
    }

    #[allow(clippy::cast_precision_loss)]
    fn refill(&mut self, now: Moment) {
        let elapsed_ms = now.ms_since(self.refilled_at) as f64;
        let added = elapsed_ms * self.rate_per_s / 1_000.0;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn wait_ms(&self) -> u64 {
        if self.rate_per_s <= 0.0 {
            return u64::MAX;
        }
        let missing = 1.0 - self.tokens;
        (missing * 1_000.0 / self.rate_per_s).ceil() as u64
    }
}

#[derive(Debug, Clone)]
struct CallBuckets {
    reads: Bucket,
    writes: Bucket,
}

/// Token buckets of one daemon for every limited purpose.
#[derive(Debug, Clone)]
pub struct Budget {
    buckets: Vec<Option<CallBuckets>>,
}

impl Budget {
    /// Creates a budget with full buckets from the allowance of each purpose.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        let buckets_of = |purpose: Purpose| {
            let allowance = purpose.allowance()?;
            let writes_burst = allowance
                .burst
                .min(allowance.writes_per_s * allowance.burst);
            Some(CallBuckets {
                reads: Bucket::new(allowance.reads_per_s, allowance.burst, now),
                writes: Bucket::new(allowance.writes_per_s, writes_burst, now),
            })
        };
        Self {
            buckets: Purpose::ALL.into_iter().map(buckets_of).collect(),
        }
    }

    /// Deducts one call from the budget of `purpose`.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the call is within the budget.
    pub fn take(&mut self, purpose: Purpose, kind: Kind, now: Moment) -> Result<(), u64> {
        let Some(buckets) = &mut self.buckets[purpose.index()] else {
            return Ok(());
        };
        match kind {
            Kind::Read => buckets.reads.take(now),
            Kind::Write => buckets.writes.take(now),
        }
    }
}
