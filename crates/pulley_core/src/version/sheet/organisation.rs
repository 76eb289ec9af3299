//! Organisations: the customers on whose behalf callers send requests, with their keys and quotas.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::RequestPriority;
use crate::process::{OrganisationName, StartRate};

/// Number of bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// The digest of an API key.
///
/// Hosts hold digests only, so neither their memory nor their messages give away a key. Looking up
/// a digest takes a time that says nothing about how much of a guessed key was right.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ApiKeyDigest([u8; 32]);

/// Why a text is not the digest of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the digest of a key has 64 hexadecimal digits")]
pub struct ApiKeyDigestFault;

impl ApiKeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns a short text by which logs and operators tell keys apart.
    #[must_use]
    pub fn fingerprint(&self) -> KeyFingerprint {
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&self.0[..FINGERPRINT_BYTES]);
        KeyFingerprint(u32::from_be_bytes(bytes))
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKeyDigest({})", self.fingerprint())
    }
}

impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ApiKeyDigest {
    type Err = ApiKeyDigestFault;

    fn from_str(text: &str) -> Result<Self, ApiKeyDigestFault> {
        let is_hex = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(ApiKeyDigestFault);
        }
        let mut bytes = [0; 32];
        for (byte, start) in bytes.iter_mut().zip((0..).step_by(2)) {
            let digits = &text[start..start + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ApiKeyDigestFault)?;
        }
        Ok(Self(bytes))
    }
}

/// The first bytes of a key's digest. They identify a key to operators and are of no use to a
/// caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyFingerprint(u32);

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The requests that an organisation may send over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Requests a second.
    pub rate: StartRate,
    /// Further requests that may be sent at once.
    pub burst: u32,
}

/// One organisation of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrganisationTerms {
    /// Its name, unique within the sheet.
    pub name: OrganisationName,
    /// The digests of its keys. No two organisations share one.
    pub keys: Vec<ApiKeyDigest>,
    /// The priority of its requests; `None` for that of the row.
    pub priority: Option<RequestPriority>,
    /// Its quota; `None` without a limit.
    pub quota: Option<RequestQuota>,
}
