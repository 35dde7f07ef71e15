//! The table and its versions.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use ipnet::IpNet;

use crate::block::{Block, BucketKey, InvalidBlock, Site, inner_bits, position};
use crate::bucket::{Bucket, Edit, InnerBlock};
use crate::index::Index;

/// Number of buckets of IPv4 addresses.
const V4_BUCKETS: usize = 1 << 16;

/// A change of one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Address range of the block.
    pub net: IpNet,
    /// New site; `None` removes the block.
    pub site: Option<Site>,
}

/// One version of the table. Versions share the blocks of unchanged buckets.
#[derive(Debug, Clone)]
pub struct Table {
    /// Buckets by number: all IPv4 buckets, then the IPv6 buckets in order of insertion.
    buckets: Vec<Bucket>,
    /// Numbers of the IPv6 buckets.
    v6: HashMap<u32, usize>,
    /// Index for lookups; derived from `buckets`.
    lookup_index: Index,
    /// Blocks wider than a bucket, sorted by descending prefix length.
    wide: Vec<Block>,
    blocks: usize,
}

impl Table {
    /// Builds a table; of several blocks with the same prefix, the last one is kept.
    ///
    /// # Errors
    ///
    /// Fails on the first block whose prefix is too long for the table.
    pub fn new(blocks: impl IntoIterator<Item = Block>) -> Result<Self, InvalidBlock> {
        let mut in_bucket: BTreeMap<BucketKey, Vec<InnerBlock>> = BTreeMap::new();
        let mut wide = Vec::new();
        for block in blocks {
            match inner_bits(block.net)? {
                None => set_wide_block(&mut wide, block.net, Some(block.site)),
                Some(bits) => {
                    let position_in_table = position(block.net.network());
                    in_bucket
                        .entry(position_in_table.key)
                        .or_default()
                        .push(InnerBlock {
                            low: position_in_table.low,
                            bits,
                            site: block.site,
                        });
                }
            }
        }
        let mut table = Self {
            buckets: vec![Bucket::default(); V4_BUCKETS],
            v6: HashMap::new(),
            lookup_index: Index::with_capacity(0, 0),
            blocks: wide.len(),
            wide,
        };
        for (key, blocks) in in_bucket {
            table.set(key, Bucket::new(blocks));
        }
        table.lookup_index = table.build_index(&Index::with_capacity(0, 0), |_| true);
        Ok(table)
    }

    /// Returns a table with `changes` applied.
    ///
    /// # Errors
    ///
    /// Fails on the first block whose prefix is too long for the table; no change is applied then.
    pub fn changed(&self, changes: &[Change]) -> Result<Self, InvalidBlock> {
        let mut next = Self {
            buckets: self.buckets.clone(),
            v6: self.v6.clone(),
            lookup_index: Index::with_capacity(0, 0),
            wide: self.wide.clone(),
            blocks: self.blocks,
        };
        let mut edits: BTreeMap<BucketKey, Vec<Edit>> = BTreeMap::new();
        for change in changes {
            match inner_bits(change.net)? {
                None => {
                    let before = next.wide.len();
                    set_wide_block(&mut next.wide, change.net, change.site);
                    next.blocks = next.blocks + next.wide.len() - before;
                }
                Some(bits) => {
                    let position_in_table = position(change.net.network());
                    edits.entry(position_in_table.key).or_default().push(Edit {
                        low: position_in_table.low,
                        bits,
                        site: change.site,
                    });
                }
            }
        }
        let mut edited = HashSet::new();
        for (key, edits) in edits {
            let bucket = next.number(key).map(|number| &next.buckets[number]);
            let bucket = bucket.cloned().unwrap_or_default().changed(&edits);
            edited.insert(next.set(key, bucket));
        }
        next.lookup_index = next.build_index(&self.lookup_index, |number| edited.contains(&number));
        Ok(next)
    }

    /// Returns the site of the block with the longest prefix that contains `addr`.
    #[must_use]
    pub fn site(&self, addr: IpAddr) -> Option<Site> {
        let position_in_table = position(addr);
        let in_bucket = self.number(position_in_table.key);
        let in_bucket =
            in_bucket.and_then(|number| self.lookup_index.site(number, position_in_table.low));
        in_bucket.or_else(|| self.wide_site(addr))
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks
    }

    /// Returns whether the table has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks == 0
    }

    /// Returns the size of this version on the heap in bytes, including shared buckets.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let blocks = self.buckets.iter().map(Bucket::heap_bytes);
        let buckets = size_of_val(&*self.buckets);
        blocks.sum::<usize>() + buckets + self.lookup_index.heap_bytes()
    }

    fn wide_site(&self, addr: IpAddr) -> Option<Site> {
        let containing = self.wide.iter().find(|block| block.net.contains(&addr));
        containing.map(|block| block.site)
    }

    fn number(&self, key: BucketKey) -> Option<usize> {
        match key {
            BucketKey::V4(bits) => Some(usize::from(bits)),
            BucketKey::V6(bits) => self.v6.get(&bits).copied(),
        }
    }

    /// Inserts or replaces a bucket and returns its number.
    fn set(&mut self, key: BucketKey, bucket: Bucket) -> usize {
        let number = match key {
            BucketKey::V4(bits) => usize::from(bits),
            BucketKey::V6(bits) => *self.v6.entry(bits).or_insert(self.buckets.len()),
        };
        if number == self.buckets.len() {
            self.buckets.push(Bucket::default());
        }
        self.blocks = self.blocks + bucket.len() - self.buckets[number].len();
        self.buckets[number] = bucket;
        number
    }

    /// Builds the index for lookups; the ranges of buckets that are not `edited` are copied from `old`.
    fn build_index(&self, old: &Index, edited: impl Fn(usize) -> bool) -> Index {
        let capacity = old.len().max(2 * self.blocks);
        let mut lookup_index = Index::with_capacity(self.buckets.len(), capacity);
        for (number, bucket) in self.buckets.iter().enumerate() {
            if edited(number) {
                lookup_index.push(&bucket.ranges());
            } else {
                lookup_index.copy_bucket(old, number);
            }
        }
        lookup_index.shrink();
        lookup_index
    }
}

fn set_wide_block(wide: &mut Vec<Block>, net: IpNet, site: Option<Site>) {
    let net = net.trunc();
    wide.retain(|block| block.net != net);
    if let Some(site) = site {
        let finer = |block: &Block| block.net.prefix_len() >= net.prefix_len();
        let index = wide.partition_point(finer);
        wide.insert(index, Block { net, site });
    }
}

/// A table that is shared between one writer and any number of readers.
#[derive(Debug)]
pub struct Shared {
    current: ArcSwap<Table>,
}

impl Shared {
    /// Creates a shared table with `table` as its first version.
    #[must_use]
    pub fn new(table: Table) -> Self {
        Self {
            current: ArcSwap::from_pointee(table),
        }
    }

    /// Returns the site of the block with the longest prefix that contains `addr`.
    #[must_use]
    pub fn site(&self, addr: IpAddr) -> Option<Site> {
        self.current.load().site(addr)
    }

    /// Publishes a new version with `changes` applied. Only one writer may call this at a time;
    /// readers are never blocked.
    ///
    /// # Errors
    ///
    /// Fails on a block whose prefix is too long for the table; no change is applied then.
    pub fn change(&self, changes: &[Change]) -> Result<(), InvalidBlock> {
        let next = self.current.load().changed(changes)?;
        self.current.store(Arc::new(next));
        Ok(())
    }
}
