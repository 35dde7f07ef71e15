//! Retry budgets.

use timer::Moment;

/// Length of the sliding window, in seconds.
pub const WINDOW_S: u64 = 10;

/// Retries allowed within one window even if no request succeeds.
pub const MIN_RETRIES: u64 = 5;

/// Successful requests per allowed retry, if more than [`MIN_RETRIES`] are to be allowed.
const SUCCESSES_PER_RETRY: u64 = 10;

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 1_000;

/// Number of buckets in the window, including the current, incomplete one.
const BUCKETS: usize = 10;

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the second, counted from the clock's origin; counts of an old second are ignored.
    second: u64,
    successes: u64,
    retries: u64,
}

/// Retries and successes of one service and workspace over the last [`WINDOW_S`] seconds.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    buckets: [Bucket; BUCKETS],
}

impl Budget {
    /// Creates a budget without any counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a successful request.
    pub fn note_success(&mut self, now: Moment) {
        self.bucket(now).successes += 1;
    }

    /// Takes one retry from the budget and returns whether the budget allowed it.
    pub fn take(&mut self, now: Moment) -> bool {
        let allowed = self.remaining(now) > 0;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the number of remaining retries.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> u64 {
        let second = now.0 / BUCKET_MS;
        let is_recent = |bucket: &&Bucket| bucket.second + WINDOW_S > second;
        let recent = || self.buckets.iter().filter(is_recent);
        let successes: u64 = recent().map(|bucket| bucket.successes).sum();
        let retries: u64 = recent().map(|bucket| bucket.retries).sum();
        MIN_RETRIES
            .max(successes / SUCCESSES_PER_RETRY)
            .saturating_sub(retries)
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let second = now.0 / BUCKET_MS;
        let index = usize::try_from(second % WINDOW_S).unwrap_or(0);
        let bucket = &mut self.buckets[index];
        if bucket.second < second {
            *bucket = Bucket {
                second,
                ..Bucket::default()
            };
        }
        bucket
    }
}
