//! Budgets of retries.

use timer::Moment;

/// Length of the sliding window, in seconds.
pub const WINDOW_S: u64 = 10;

/// Retries allowed within one window however few requests succeed.
pub const MIN_RETRIES: u64 = 5;

/// Requests that have to succeed for each further retry.
const SUCCESSES_PER_RETRY: u64 = 10;

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 1_000;

/// Buckets in the window; the newest one is not yet full.
const BUCKETS: usize = 10;

/// Counts within one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the second; a bucket with another number is empty.
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

    /// Notes a request that a backend server answered.
    pub fn note_success(&mut self, now: Moment) {
        self.bucket(now).successes += 1;
    }

    /// Takes one retry out of the budget and returns whether it was left.
    pub fn take(&mut self, now: Moment) -> bool {
        let allowed = self.remaining(now) > 0;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the retries that are left.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> u64 {
        let second = now.0 / BUCKET_MS;
        let counts = |bucket: &&Bucket| bucket.second + WINDOW_S > second;
        let recent = || self.buckets.iter().filter(counts);
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
