//! Short stable keys that stand for names in count messages.

use serde::{Deserialize, Serialize};

/// A 32-bit hash of a name, the same in every process and version.
///
/// Counts travel many times a second, so names are too long for them. Two names with one key
/// would be counted together, which makes both look busier and harms nothing else; among the
/// 200 upstreams of a large pool that has a chance of about 1 in 200,000.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CountKey([u8; 4]);

impl CountKey {
    /// Hashes a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let wide = stable_hash([name]);
        let [a, b, c, d, e, f, g, h] = wide.to_le_bytes();
        Self([a ^ e, b ^ f, c ^ g, d ^ h])
    }

    pub(crate) const fn bytes(&self) -> &[u8; 4] {
        &self.0
    }
}

/// Hashes parts to 64 bits, the same in every process: FNV-1a, then a mix of the bits.
///
/// FNV alone leaves the high bits of short texts alike, and rendezvous hashing compares whole
/// numbers; the finalizer of `SplitMix64` spreads them.
#[must_use]
pub(crate) fn stable_hash(parts: impl IntoIterator<Item: AsRef<[u8]>>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.as_ref().iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
