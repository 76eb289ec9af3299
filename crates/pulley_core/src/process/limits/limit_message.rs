//! The messages with which hosts share limits and permits.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{LimitRecord, UpdateReach, UpstreamId, ZoneName, encoded};

/// The largest body of a limit message, in bytes.
pub const LIMIT_BODY_LIMIT: usize = 1_200;

/// A question of this host's traffic side for permits to send requests to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's availability zone.
    pub zone: ZoneName,
    /// The number that the answer repeats.
    pub number: u32,
    /// The number of permits that can be used soon.
    pub wanted: u16,
    /// Whether to ask the deputy, because the issuer has not answered.
    pub asks_deputy: bool,
}

/// The answer to a [`PermitAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The number of the question.
    pub number: u32,
    /// The number of requests that may be sent.
    pub permits: u16,
    /// If there are none: milliseconds after which to ask again.
    pub retry_ms: u16,
}

impl PermitAnswer {
    /// Returns the time after which to ask again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(u64::from(self.retry_ms))
    }
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// Limits that the sender knows. A host that did not know one forwards it within `reach`.
    Records { reach: UpdateReach, records: Vec<LimitRecord> },
    /// A question of a host that has just started for all limits that the receiver knows.
    Pull,
    /// A question for permits, with the limit as the sender knows it.
    Ask { record: LimitRecord, zone: ZoneName, number: u32, wanted: u16 },
    /// The answer to a question.
    Answer(PermitAnswer),
}

impl LimitMessage {
    pub(crate) fn pack(&self) -> Bytes {
        Bytes::from(encoded(self))
    }

    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > LIMIT_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
