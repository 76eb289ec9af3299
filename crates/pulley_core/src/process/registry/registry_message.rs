//! The messages with which hosts share upstream leases.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::bucket_range::BucketRange;
use super::encoded;
use super::lease_record::LeaseRecord;
use super::shared_clock::SharedTime;

/// The largest body of a registry message, in bytes; see `MEMBER_BODY_LIMIT`.
pub const REGISTRY_BODY_LIMIT: usize = 1_200;
/// The largest encoded size of a message's list in bytes; the rest is for the other fields.
pub(crate) const LIST_LIMIT: usize = REGISTRY_BODY_LIMIT - 32;

/// How many leases fit into one message, at three bits each.
pub(crate) const LEASES_PER_MESSAGE: usize = LIST_LIMIT / 3 * 8;

/// How many records one summary names. More do not fit into a message, at 15 bytes each.
pub(crate) const SUMMARY_LIMIT: usize = 72;

const _: () = assert!(SUMMARY_LIMIT * 15 + 16 <= LIST_LIMIT);

/// An encoded registry message and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrySend {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The encoded message.
    pub body: Bytes,
}

/// The digest of one bucket and the age codes of its leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BucketCodes {
    pub(crate) prefix: u16,
    pub(crate) digest: u32,
    pub(crate) codes: PackedCodes,
}

/// Age codes of leases, packed into three bits each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PackedCodes(pub(crate) Bytes);

/// Hashes that identify one upstream and the record that a host has of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct SummaryItem {
    pub(crate) id_hash: u64,
    pub(crate) record_hash: u32,
}

/// Hashes of all records that a host has in one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RangeSummary {
    pub(crate) range: BucketRange,
    pub(crate) items: Vec<SummaryItem>,
}

/// A record and the age of its lease in epochs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgedRecord {
    pub(crate) record: LeaseRecord,
    pub(crate) age: u32,
}

/// How far an update is forwarded: to the hosts fewer than `2^n` positions ahead in the ring.
///
/// Each host receives an update from only one other host. If hosts forwarded to a few peers picked
/// at random, they would spend several times the bytes on repeating known updates; on links of 2
/// Mbit/s the updates during a release then left little room for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct UpdateReach(pub(crate) u8);

impl UpdateReach {
    /// Not forwarded.
    pub(crate) const NONE: Self = Self(0);
    /// Forwarded to the next host only. Used for updates that every host is sent directly, as a
    /// second way to receive them.
    pub(crate) const NEXT: Self = Self(1);
    /// Forwarded to all hosts.
    pub(crate) const ALL: Self = Self(u8::MAX);
}

/// A record waiting to be sent to other hosts.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpdate {
    pub(crate) reach: UpdateReach,
    pub(crate) aged: AgedRecord,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RegistryContent {
    /// Leases starting at index `first`, numbered by their ids' hashes, for a host with the same
    /// records.
    Leases { digest: u32, first: u32, codes: PackedCodes },
    /// Leases by bucket, for a host that may lack a change. Sent while changes spread.
    BucketLeases { bits: u8, buckets: Vec<BucketCodes> },
    /// Records that have just changed. A host that did not know such a change forwards it to the
    /// hosts within `reach`.
    Updates { reach: UpdateReach, records: Vec<AgedRecord> },
    /// Summaries of the ranges in which the sender's records differ from the receiver's.
    Summaries { summaries: Vec<RangeSummary> },
    /// Records that the receiver lacks, and the id hashes of those that the sender lacks.
    Records { records: Vec<AgedRecord>, wanted: Vec<u64> },
}

/// One message, with the sender's shared time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RegistryMessage {
    pub(crate) time: SharedTime,
    pub(crate) content: RegistryContent,
}

impl RegistryMessage {
    pub(crate) fn pack(time: SharedTime, content: RegistryContent) -> Bytes {
        Bytes::from(encoded(&Self { time, content }))
    }

    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > REGISTRY_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}

impl PackedCodes {
    pub(crate) fn pack(codes: impl Iterator<Item = u8>) -> Self {
        let mut bytes = Vec::new();
        let (mut buffer, mut buffered_bits) = (0_u32, 0);
        for code in codes {
            buffer |= u32::from(code) << buffered_bits;
            buffered_bits += 3;
            while buffered_bits >= 8 {
                bytes.push((buffer & 0xff) as u8);
                buffer >>= 8;
                buffered_bits -= 8;
            }
        }
        if buffered_bits > 0 {
            bytes.push((buffer & 0xff) as u8);
        }
        Self(Bytes::from(bytes))
    }

    /// Returns the code at an index, or `None` past the end.
    pub(crate) fn code(&self, index: usize) -> Option<u8> {
        let bit = index * 3;
        let low = u16::from(*self.0.get(bit / 8)?);
        let high = self.0.get(bit / 8 + 1).map_or(0, |byte| u16::from(*byte));
        Some((((high << 8) | low) >> (bit % 8) & 0x7) as u8)
    }
}

/// Splits a list so that each part encodes to at most the limit. A single item never exceeds it
/// because names are bounded.
pub(crate) fn split_by_size<T: Serialize>(items: Vec<T>) -> Vec<Vec<T>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        let length = encoded(&item).len();
        if size + length > LIST_LIMIT && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 0;
        }
        size += length;
        part.push(item);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
