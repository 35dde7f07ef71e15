//! The runs of all buckets in a few long arrays, so that a look-up touches little memory.

use crate::block::Site;
use crate::bucket::{NOBODY, Run};

/// Parts of equal width into which each bucket's addresses are divided.
const PARTS: usize = 16;

/// Bits of a low address that remain within a part.
const PART_BITS: u32 = 12;

/// Runs of all buckets, bucket after bucket.
#[derive(Debug, Clone)]
pub struct Flat {
    /// For each part of each bucket the index of the first run that begins in it or after it; one
    /// more at the end.
    starts: Vec<u32>,
    /// The runs; ascending within a bucket.
    runs: Vec<Run>,
}

impl Flat {
    /// Creates arrays without buckets and with room for `runs` runs.
    #[must_use]
    pub fn with_capacity(buckets: usize, runs: usize) -> Self {
        let mut starts = Vec::with_capacity(buckets * PARTS + 1);
        starts.push(0);
        Self {
            starts,
            runs: Vec::with_capacity(runs),
        }
    }

    /// Appends a bucket.
    pub fn push(&mut self, runs: &[Run]) {
        let first = self.runs.len();
        self.runs.extend_from_slice(runs);
        for part in 1..=PARTS {
            let before = runs.partition_point(|run| part_of(run.low) < part);
            self.starts.push(count(first + before));
        }
    }

    /// Appends bucket `index` of `other`.
    pub fn push_from(&mut self, other: &Self, index: usize) {
        let parts = index * PARTS..=(index + 1) * PARTS;
        let starts = &other.starts[parts];
        let old_first = starts[0];
        let new_first = count(self.runs.len());
        let old_end = starts[PARTS] as usize;
        self.runs
            .extend_from_slice(&other.runs[old_first as usize..old_end]);
        let moved = starts[1..]
            .iter()
            .map(|start| start - old_first + new_first);
        self.starts.extend(moved);
    }

    /// Returns the site of address `low` in bucket `index`.
    #[must_use]
    pub fn site(&self, index: usize, low: u16) -> Option<Site> {
        let part = index * PARTS + part_of(low);
        let start = self.starts[part] as usize;
        let end = self.starts[part + 1] as usize;
        let after = self.runs[start..end].partition_point(|run| run.low <= low);
        let next = start + after;
        // Without a run in this part, the last one before it goes on, if it is of this bucket.
        let bucket_start = self.starts[index * PARTS] as usize;
        if next == bucket_start {
            return None;
        }
        let site = self.runs[next - 1].site;
        (site != NOBODY).then_some(Site(site))
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns the bytes held on the heap.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        size_of_val(&*self.runs) + size_of_val(&*self.starts)
    }

    /// Gives unused room back.
    pub fn shrink(&mut self) {
        self.runs.shrink_to_fit();
    }
}

fn part_of(low: u16) -> usize {
    usize::from(low >> PART_BITS)
}

fn count(runs: usize) -> u32 {
    u32::try_from(runs).expect("a table has fewer than 2^32 runs")
}
