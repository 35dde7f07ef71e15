//! Token bucket over a share that changes with time.

use grant::term::DRIFT_PPM;
use timer::Moment;

use crate::allowance::Allowance;
use crate::share::Share;

/// Nanotokens that one request costs.
const REQUEST_NANO: u128 = 1_000_000_000;

const MILLION: u128 = 1_000_000;

/// Time until a request may be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Milliseconds, provided that no other request takes the token; `None` if the share is too
    /// small to ever admit a request.
    pub ms: Option<u64>,
}

/// Token bucket for the requests of one workspace at one VM.
#[derive(Debug, Clone)]
pub struct Bucket {
    allowance: Allowance,
    share: Share,
    /// Available nanotokens; at most the burst of the share at `at`.
    nano: u128,
    /// Time up to which tokens were added.
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
        self.cap_to_burst();
    }

    /// Admits one request at `now`.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if less than one token is available.
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

    /// Adds the tokens for the time up to `now`: at the full share until the lent share expired, at
    /// the base share from then on.
    fn advance(&mut self, now: Moment) {
        if self.at < self.share.lent_expiry {
            self.add_tokens_until(now.min(self.share.lent_expiry));
        }
        self.cap_to_burst();
        self.add_tokens_until(now);
        self.cap_to_burst();
    }

    fn add_tokens_until(&mut self, end: Moment) {
        let per_ms = self.allowance.nano_per_ms(self.share.parts(self.at));
        let elapsed_ms = u128::from(end.ms_since(self.at));
        // Compensates for the largest drift, so that a fast clock adds no more tokens than the
        // true time allows.
        let tokens = elapsed_ms * per_ms * (MILLION - u128::from(DRIFT_PPM)) / MILLION;
        self.nano += tokens;
        self.at = self.at.max(end);
    }

    fn cap_to_burst(&mut self) {
        let parts = self.share.parts(self.at);
        self.nano = self.nano.min(self.capacity(parts));
    }

    /// Returns the burst of `parts`, less the tokens that the clock's granularity of a millisecond
    /// may add.
    fn capacity(&self, parts: u64) -> u128 {
        let granularity = self.allowance.nano_per_ms(parts);
        self.allowance.burst_nano(parts).saturating_sub(granularity)
    }
}
