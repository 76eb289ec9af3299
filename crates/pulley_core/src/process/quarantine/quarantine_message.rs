//! The messages with which hosts share suspected contents and permit trials of them.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{PoolName, SuspectRecord, UpdateReach, encoded};

/// The largest body of a quarantine message, in bytes.
pub const QUARANTINE_BODY_LIMIT: usize = 1_200;

/// Numbers a trial. Hosts draw it at random, so that no two trials have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TrialNumber(pub u64);

impl fmt::Display for TrialNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The answer to a host that wants to try a request with a suspected content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialVerdict {
    /// The request may run. No other with its content runs meanwhile.
    Granted,
    /// Another request with the content is running.
    Busy,
    /// The content's standing doesn't allow a trial, or doesn't call for one.
    Refused,
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuarantineMessage {
    /// Records that the sender knows. A host that did not know one forwards it within `reach`.
    Records { reach: UpdateReach, records: Vec<SuspectRecord> },
    /// A question of a host that has just started for all records that the receiver knows.
    Pull,
    /// A question whether a request to a pool may be tried, with the content's record as the sender
    /// knows it and the time in milliseconds after which the trial has ended in any case.
    Ask { record: SuspectRecord, pool: PoolName, number: TrialNumber, lease_ms: u32 },
    /// The answer to a question.
    Answer { number: TrialNumber, verdict: TrialVerdict },
    /// The end of a trial, with the content's record after it.
    Finished { record: SuspectRecord, number: TrialNumber },
}

impl QuarantineMessage {
    pub(crate) fn pack(&self) -> Bytes {
        Bytes::from(encoded(self))
    }

    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > QUARANTINE_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
