//! A token bucket over a share that changes.

use grant::term::DRIFT_PPM;
use timer::Moment;

use crate::allowance::Allowance;
use crate::share::Share;

/// Nanotokens that one request costs.
const REQUEST_NANO: u128 = 1_000_000_000;

const MILLION: u128 = 1_000_000;

/// How long to wait until a request may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Milliseconds, if nobody else asks; absent if the share admits nothing however long.
    pub ms: Option<u64>,
}

/// Admits requests of one workspace at one VM.
#[derive(Debug, Clone)]
pub struct Bucket {
    allowance: Allowance,
    share: Share,
    /// Nanotokens; at most the burst of the share at `at`.
    nano: u128,
    /// Up to when tokens were added.
    at: Moment,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(allowance: Allowance, share: Share, now: Moment) -> Self {
        Self {
            allowance,
            share,
            nano: 0,
            at: now,
        }
    }

    /// Replaces the allowance and the share. Tokens above the new burst are dropped; none are
    /// added.
    pub fn set(&mut self, allowance: Allowance, share: Share, now: Moment) {
        self.advance(now);
        self.allowance = allowance;
        self.share = share;
        self.drop_above_burst();
    }

    /// Admits one request at `now`.
    ///
    /// # Errors
    ///
    /// Returns how long to wait if there is no whole token.
    pub fn take(&mut self, now: Moment) -> Result<(), Wait> {
        self.advance(now);
        if self.nano < REQUEST_NANO {
            return Err(self.wait());
        }
        self.nano -= REQUEST_NANO;
        Ok(())
    }

    fn wait(&self) -> Wait {
        let parts = self.share.parts(self.at);
        let per_ms = self.allowance.nano_per_ms(parts);
        if self.capacity(parts) < REQUEST_NANO || per_ms == 0 {
            return Wait { ms: None };
        }
        let ms = (REQUEST_NANO - self.nano).div_ceil(per_ms);
        Wait {
            ms: Some(u64::try_from(ms).unwrap_or(u64::MAX)),
        }
    }

    /// Adds the tokens of the time up to `now`: at the full share until its term ended, at the
    /// standing share from then on.
    fn advance(&mut self, now: Moment) {
        if self.at < self.share.lent_expiry {
            self.add_until(now.min(self.share.lent_expiry));
        }
        self.drop_above_burst();
        self.add_until(now);
        self.drop_above_burst();
    }

    fn add_until(&mut self, end: Moment) {
        let per_ms = self.allowance.nano_per_ms(self.share.parts(self.at));
        let elapsed_ms = u128::from(end.ms_since(self.at));
        // A clock that is fast by the largest error still counts no more than true time.
        let slowed = elapsed_ms * per_ms * (MILLION - u128::from(DRIFT_PPM)) / MILLION;
        self.nano += slowed;
        self.at = self.at.max(end);
    }

    fn drop_above_burst(&mut self) {
        let parts = self.share.parts(self.at);
        self.nano = self.nano.min(self.capacity(parts));
    }

    /// Returns the burst of `parts`, less what the clock's granularity of a millisecond may add.
    fn capacity(&self, parts: u64) -> u128 {
        let granularity = self.allowance.nano_per_ms(parts);
        self.allowance.burst_nano(parts).saturating_sub(granularity)
    }
}
