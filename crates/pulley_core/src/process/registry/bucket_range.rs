//! Ranges of id hashes, by which hosts compare their records.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// The least and the largest number of leading bits that a range has. A registry has as many
/// buckets as there are ranges of its number of bits.
pub(crate) const MIN_BITS: u8 = 6;
pub(crate) const MAX_BITS: u8 = 16;

/// All id hashes that begin with the same bits.
///
/// Hosts that know different numbers of upstreams divide them into different numbers of buckets. A
/// range means the same on all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct BucketRange {
    /// The number of leading bits.
    pub(crate) bits: u8,
    /// Their value.
    pub(crate) prefix: u16,
}

impl BucketRange {
    /// Returns the ranges with a number of bits.
    pub(crate) fn all(bits: u8) -> impl Iterator<Item = Self> {
        (0..=u16::MAX >> (MAX_BITS - bits)).map(move |prefix| Self { bits, prefix })
    }

    /// Whether a range that another host has sent is one.
    pub(crate) fn is_valid(self) -> bool {
        (MIN_BITS..=MAX_BITS).contains(&self.bits)
            && self.prefix <= u16::MAX >> (MAX_BITS - self.bits)
    }

    /// Returns the hashes in the range.
    pub(crate) fn hashes(self) -> RangeInclusive<u64> {
        let rest = 64 - u32::from(self.bits);
        let first = u64::from(self.prefix) << rest;
        first..=first | (u64::MAX >> self.bits)
    }

    /// Returns the two halves; `None` if the range cannot be divided further.
    pub(crate) fn halves(self) -> Option<[Self; 2]> {
        let half = |bit| Self { bits: self.bits + 1, prefix: (self.prefix << 1) | bit };
        (self.bits < MAX_BITS).then(|| [half(0), half(1)])
    }
}
