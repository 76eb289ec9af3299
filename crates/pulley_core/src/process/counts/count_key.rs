//! Short, stable keys that replace names in count messages.

use serde::{Deserialize, Serialize};

/// A 32-bit hash of a name that is the same in every process and version.
///
/// Counts are sent many times a second, so full names would take too much bandwidth. Two names
/// whose keys collide are counted together. Both then look busier than they are, with no other
/// harm. Among the 200 upstreams of a large pool the probability is about 1 in 200,000.
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

/// Hashes parts to 64 bits, the same in every process: FNV-1a followed by a bit mixer.
///
/// FNV alone gives short texts similar high bits, and rendezvous hashing compares whole numbers.
/// The finalizer of `SplitMix64` spreads the bits.
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
