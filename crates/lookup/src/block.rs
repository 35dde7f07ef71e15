//! Client blocks and their assignment to buckets.

use std::fmt;
use std::net::IpAddr;

use ipnet::IpNet;

/// Identifier of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Site(pub u16);

/// A block of client addresses and the site that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Address range. IPv6 blocks have prefixes of at most 48 bits.
    pub net: IpNet,
    /// Site that serves the block.
    pub site: Site,
}

/// Error for a block whose prefix is too long for a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidBlock(pub IpNet);

impl fmt::Display for InvalidBlock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the prefix of {} is longer than /48", self.0)
    }
}

impl std::error::Error for InvalidBlock {}

/// Number of leading bits of an IPv4 address that select its bucket.
const V4_BUCKET_BITS: u8 = 16;

/// Number of leading bits of an IPv6 address that select its bucket.
const V6_BUCKET_BITS: u8 = 32;

/// Number of bits that distinguish addresses within one bucket.
pub const LOW_BITS: u8 = 16;

/// Key of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BucketKey {
    /// The first 16 bits of an IPv4 address.
    V4(u16),
    /// The first 32 bits of an IPv6 address.
    V6(u32),
}

/// Position of an address or block in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Key of the bucket that holds the first address.
    pub key: BucketKey,
    /// Offset of the first address within the bucket.
    pub low: u16,
}

/// Returns the position of an address.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the shifts keep only the intended bits"
)]
pub fn position(addr: IpAddr) -> Position {
    match addr {
        IpAddr::V4(addr) => {
            let bits = addr.to_bits();
            Position {
                key: BucketKey::V4((bits >> 16) as u16),
                low: bits as u16,
            }
        }
        IpAddr::V6(addr) => {
            let bits = addr.to_bits();
            Position {
                key: BucketKey::V6((bits >> 96) as u32),
                low: (bits >> 80) as u16,
            }
        }
    }
}

/// Returns the number of bits of the block's prefix that lie within a bucket, or `None` if the block
/// is wider than a bucket.
///
/// # Errors
///
/// Fails if the prefix of the block is too long for a table.
pub fn inner_bits(net: IpNet) -> Result<Option<u8>, InvalidBlock> {
    let outer = match net {
        IpNet::V4(_) => V4_BUCKET_BITS,
        IpNet::V6(_) => V6_BUCKET_BITS,
    };
    let inner = net.prefix_len().checked_sub(outer);
    match inner {
        Some(bits) if bits > LOW_BITS => Err(InvalidBlock(net)),
        inner => Ok(inner),
    }
}
