//! The messages between entries and the replicas that keep organisations' accounts.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{OrganisationName, encoded};

/// The largest body of a quota message, in bytes.
pub const QUOTA_BODY_LIMIT: usize = 1_200;

/// The most organisations that one message names. Each takes at most 80 bytes.
const ITEM_LIMIT: usize = 14;

/// What an entry tells of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Requests admitted without a permit since the last report, less those that were admitted and
    /// never ran.
    pub used: i32,
    /// Permits that waiting requests need.
    pub wanted: u16,
    /// The number that the verdict repeats.
    pub number: u32,
}

/// The answer to a [`QuotaReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaVerdict {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The number of the report.
    pub number: u32,
    /// Requests that may be admitted now.
    pub permits: u16,
    /// If there are none: milliseconds until there is room.
    pub retry_ms: u16,
    /// Milliseconds for which requests need permits; 0 if they need none.
    pub limited_ms: u16,
}

impl QuotaVerdict {
    /// Returns the time until there is room.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(u64::from(self.retry_ms))
    }

    /// Returns how long requests need permits.
    #[must_use]
    pub fn limited_for(&self) -> Duration {
        Duration::from_millis(u64::from(self.limited_ms))
    }
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuotaMessage {
    /// What an entry has used and needs.
    Reports(Vec<QuotaReport>),
    /// A replica's answers.
    Verdicts(Vec<QuotaVerdict>),
    /// Organisations whose requests need permits, and for how many milliseconds.
    Limited { organisations: Vec<OrganisationName>, limited_ms: u16 },
}

impl QuotaMessage {
    /// Encodes items as messages that each fit a datagram.
    pub(crate) fn pack_all<T: Clone>(
        items: &[T],
        message: impl Fn(Vec<T>) -> Self,
    ) -> impl Iterator<Item = Bytes> {
        items.chunks(ITEM_LIMIT).map(move |part| Bytes::from(encoded(&message(part.to_vec()))))
    }

    /// Decodes a message; `None` if it is malformed.
    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > QUOTA_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
