//! Identifies what upstreams see of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{NameFault, PoolName};

/// The result of reading a digest.
type Result<T> = std::result::Result<T, NameFault>;

/// The part of a content's digest that depends on method, host and path only. It is known before the
/// body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentHead(u32);

impl ContentHead {
    /// Creates the head from the first bytes of a 256-bit tag.
    #[must_use]
    pub const fn from_tag(tag: &[u8; 32]) -> Self {
        Self(u32::from_be_bytes([tag[0], tag[1], tag[2], tag[3]]))
    }
}

/// A digest under a key of the installation of what an upstream sees of a request: method, host,
/// path with query, and body. The first 32 bits are its head, the other 96 depend on all of it.
///
/// Nobody who lacks the key can choose a request with the digest of another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// The length of a digest as text.
    const TEXT_LENGTH: usize = 32;

    /// The number of bits below the head.
    const BODY_BITS: u32 = 96;

    /// Creates a digest from its head and a 256-bit tag over the whole content.
    #[must_use]
    pub const fn new(head: ContentHead, tag: &[u8; 32]) -> Self {
        let (half, _) = tag.split_at(16);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(half);
        let rest = u128::from_be_bytes(bytes) >> (u128::BITS - Self::BODY_BITS);
        Self(((head.0 as u128) << Self::BODY_BITS) | rest)
    }

    /// Returns the part that is known before the body has been read.
    #[must_use]
    pub const fn head(self) -> ContentHead {
        let bytes = self.0.to_be_bytes();
        ContentHead(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentDigest({self})")
    }
}

impl FromStr for ContentDigest {
    type Err = NameFault;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(NameFault::Empty);
        }
        if text.len() > Self::TEXT_LENGTH {
            return Err(NameFault::TooLong(text.len()));
        }
        if let Some(bad) = text.chars().find(|c| !c.is_ascii_hexdigit()) {
            return Err(NameFault::BadCharacter(bad));
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| NameFault::Empty)
    }
}

/// The content of requests, and the pool that one of them is sent to. Other pools run other software,
/// which the same content may leave unharmed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey {
    /// The pool that a request with the content is sent to.
    pub pool: PoolName,
    /// The digest of the content.
    pub digest: ContentDigest,
}
