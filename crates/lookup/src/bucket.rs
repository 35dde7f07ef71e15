//! Buckets of blocks.

use std::sync::Arc;

use crate::block::{LOW_BITS, Site};

/// A block within a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InnerBlock {
    /// Offset of the first address within the bucket.
    pub low: u16,
    /// Number of bits of the prefix within the bucket, at most [`LOW_BITS`].
    pub bits: u8,
    /// Site that serves the block.
    pub site: Site,
}

/// A range of consecutive addresses with the same site.
#[derive(Debug, Clone, Copy)]
pub struct Range {
    /// Offset of the first address; the range ends where the next one starts.
    pub low: u16,
    /// Site, or [`NO_SITE`] if no block covers the range.
    pub site: u16,
}

/// Site number of addresses that no block covers.
pub const NO_SITE: u16 = u16::MAX;

/// An immutable set of blocks.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    /// Sorted by address, then by prefix length; no two blocks have the same prefix.
    blocks: Arc<[InnerBlock]>,
}

impl Bucket {
    /// Creates a bucket; of several blocks with the same prefix, the last one is kept.
    #[must_use]
    pub fn new(mut blocks: Vec<InnerBlock>) -> Self {
        blocks.sort_by_key(|block| (block.low, block.bits));
        blocks.dedup_by(|later, earlier| {
            let same = later.low == earlier.low && later.bits == earlier.bits;
            if same {
                earlier.site = later.site;
            }
            same
        });
        Self {
            blocks: blocks.into(),
        }
    }

    /// Returns a bucket with `changes` applied: an edit with a site inserts or replaces the block with
    /// this prefix, an edit without a site removes it.
    #[must_use]
    pub fn changed(&self, changes: &[Edit]) -> Self {
        let replaced = |block: &&InnerBlock| {
            let same = |edit: &Edit| edit.low == block.low && edit.bits == block.bits;
            !changes.iter().any(same)
        };
        let mut blocks: Vec<InnerBlock> = self.blocks.iter().filter(replaced).copied().collect();
        blocks.extend(changes.iter().filter_map(|edit| edit.block()));
        Self::new(blocks)
    }

    /// Returns the ranges of addresses with the same site, in ascending order.
    #[must_use]
    pub fn ranges(&self) -> Vec<Range> {
        ranges(&self.blocks)
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the size of the bucket on the heap, in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        size_of_val(&*self.blocks)
    }
}

/// A change of one block of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edit {
    /// Offset of the first address within the bucket.
    pub low: u16,
    /// Number of bits of the prefix within the bucket.
    pub bits: u8,
    /// New site; `None` removes the block.
    pub site: Option<Site>,
}

impl Edit {
    fn block(self) -> Option<InnerBlock> {
        self.site.map(|site| InnerBlock {
            low: self.low,
            bits: self.bits,
            site,
        })
    }
}

/// Flattens nested blocks into ranges. In `blocks`, a block must precede the blocks that it contains.
fn ranges(blocks: &[InnerBlock]) -> Vec<Range> {
    let mut ranges: Vec<Range> = Vec::with_capacity(blocks.len());
    // Blocks that contain the current address, widest first.
    let mut open: Vec<OpenBlock> = Vec::new();
    for block in blocks {
        close_blocks(u32::from(block.low), &mut open, &mut ranges);
        push(&mut ranges, u32::from(block.low), block.site.0);
        open.push(OpenBlock {
            end: u32::from(block.low) + (1 << (LOW_BITS - block.bits)),
            site: block.site.0,
        });
    }
    close_blocks(u32::MAX, &mut open, &mut ranges);
    ranges
}

/// A block whose end has not been reached yet.
#[derive(Debug, Clone, Copy)]
struct OpenBlock {
    /// First address after the block.
    end: u32,
    site: u16,
}

/// Removes blocks that end at or before `low`, and resumes the range of the enclosing block after
/// each.
fn close_blocks(low: u32, open: &mut Vec<OpenBlock>, ranges: &mut Vec<Range>) {
    while let Some(inner) = open.pop_if(|inner| inner.end <= low) {
        let outer = open.last().map_or(NO_SITE, |outer| outer.site);
        push(ranges, inner.end, outer);
    }
}

/// Starts a range at `low`, unless `low` is past the end of the bucket or the site stays the same.
fn push(ranges: &mut Vec<Range>, low: u32, site: u16) {
    let Ok(low) = u16::try_from(low) else {
        return;
    };
    if ranges.last().is_some_and(|last| last.low == low) {
        ranges.pop();
    }
    let before = ranges.last().map_or(NO_SITE, |last| last.site);
    if before != site {
        ranges.push(Range { low, site });
    }
}
