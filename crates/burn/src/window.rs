//! Time windows over which burn rates are computed.

/// A time window, divided into buckets of equal length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Name shown in reports.
    pub name: &'static str,
    /// Length of a bucket, in seconds.
    pub bucket_s: u64,
    /// Number of buckets.
    pub buckets: u64,
}

/// All windows, shortest first.
pub const WINDOWS: [Window; 4] = [
    Window {
        name: "5m",
        bucket_s: 10,
        buckets: 30,
    },
    Window {
        name: "1h",
        bucket_s: 60,
        buckets: 60,
    },
    Window {
        name: "6h",
        bucket_s: 600,
        buckets: 36,
    },
    Window {
        name: "3d",
        bucket_s: 3_600,
        buckets: 72,
    },
];

impl Window {
    /// Returns the length, in seconds.
    #[must_use]
    pub fn length_s(&self) -> u64 {
        self.bucket_s * self.buckets
    }

    /// Returns the index of the bucket that contains `unix_s`.
    #[must_use]
    pub fn index(&self, unix_s: u64) -> u64 {
        unix_s / self.bucket_s
    }

    /// Returns whether the window that ends at `now_unix_s` includes the bucket `index`.
    #[must_use]
    pub fn includes(&self, index: u64, now_unix_s: u64) -> bool {
        let last = self.index(now_unix_s);
        index <= last && last - index < self.buckets
    }
}
