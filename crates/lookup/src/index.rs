//! Index with the ranges of all buckets in contiguous arrays, so that a lookup accesses little
//! memory.

use crate::block::Site;
use crate::bucket::{NO_SITE, Range};

/// Number of parts of equal width into which the addresses of each bucket are divided.
const PARTS: usize = 16;

/// Number of low bits of an offset that distinguish addresses within a part.
const PART_BITS: u32 = 12;

/// Ranges of all buckets, in bucket order.
#[derive(Debug, Clone)]
pub struct Index {
    /// For each part of each bucket, the index of the first range of the bucket that starts in or
    /// after the part; plus one final element.
    starts: Vec<u32>,
    /// Ranges in ascending order within each bucket.
    ranges: Vec<Range>,
}

impl Index {
    /// Creates an index without buckets that has capacity for `buckets` buckets and `ranges` ranges.
    #[must_use]
    pub fn with_capacity(buckets: usize, ranges: usize) -> Self {
        let mut starts = Vec::with_capacity(buckets * PARTS + 1);
        starts.push(0);
        Self {
            starts,
            ranges: Vec::with_capacity(ranges),
        }
    }

    /// Appends a bucket with the ranges `ranges`.
    pub fn push(&mut self, ranges: &[Range]) {
        let first = self.ranges.len();
        self.ranges.extend_from_slice(ranges);
        for part in 1..=PARTS {
            let before = ranges.partition_point(|range| part_of(range.low) < part);
            self.starts.push(count(first + before));
        }
    }

    /// Appends bucket `index` of `other`.
    pub fn copy_bucket(&mut self, other: &Self, index: usize) {
        let parts = index * PARTS..=(index + 1) * PARTS;
        let starts = &other.starts[parts];
        let old_first = starts[0];
        let new_first = count(self.ranges.len());
        let old_end = starts[PARTS] as usize;
        self.ranges
            .extend_from_slice(&other.ranges[old_first as usize..old_end]);
        let shifted = starts[1..]
            .iter()
            .map(|start| start - old_first + new_first);
        self.starts.extend(shifted);
    }

    /// Returns the site of the address at offset `low` in bucket `index`.
    #[must_use]
    pub fn site(&self, index: usize, low: u16) -> Option<Site> {
        let part = index * PARTS + part_of(low);
        let start = self.starts[part] as usize;
        let end = self.starts[part + 1] as usize;
        let after = self.ranges[start..end].partition_point(|range| range.low <= low);
        let next = start + after;
        // If no range starts before the address in this part, the previous range of the same bucket
        // covers it.
        let bucket_start = self.starts[index * PARTS] as usize;
        if next == bucket_start {
            return None;
        }
        let site = self.ranges[next - 1].site;
        (site != NO_SITE).then_some(Site(site))
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the size on the heap, in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        size_of_val(&*self.ranges) + size_of_val(&*self.starts)
    }

    /// Releases unused capacity.
    pub fn shrink(&mut self) {
        self.ranges.shrink_to_fit();
    }
}

fn part_of(low: u16) -> usize {
    usize::from(low >> PART_BITS)
}

fn count(ranges: usize) -> u32 {
    u32::try_from(ranges).expect("a table has fewer than 2^32 ranges")
}
