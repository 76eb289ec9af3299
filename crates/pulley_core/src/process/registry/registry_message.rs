//! The messages by which hosts share upstream leases.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::encoded;
use super::lease_record::LeaseRecord;
use super::shared_clock::SharedTime;

/// The largest body of a message of the registry, in bytes; see `MEMBER_BODY_LIMIT`.
pub const REGISTRY_BODY_LIMIT: usize = 1_200;
/// What is left for a message's list after its other fields.
pub(crate) const LIST_LIMIT: usize = REGISTRY_BODY_LIMIT - 32;

/// How many leases go into one message: three bits each.
pub(crate) const LEASES_PER_MESSAGE: usize = LIST_LIMIT / 3 * 8;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrySend {
    /// Where to.
    pub to: SocketAddr,
    /// The encoded message.
    pub body: Bytes,
}

/// The leases of some buckets with each bucket's digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BucketCodes {
    pub(crate) bucket: u8,
    pub(crate) digest: u32,
    pub(crate) codes: PackedCodes,
}

/// Ages of leases, three bits each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PackedCodes(pub(crate) Bytes);

/// What a host holds of one upstream, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SummaryItem {
    pub(crate) id_hash: u64,
    pub(crate) record_hash: u32,
}

/// What a host holds of one bucket, in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BucketSummary {
    pub(crate) bucket: u8,
    pub(crate) items: Vec<SummaryItem>,
}

/// A record with the age of its lease in epochs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AgedRecord {
    pub(crate) record: LeaseRecord,
    pub(crate) age: u32,
}

/// How far news is to be passed on: to the hosts up to `2^n` places further on in the ring.
///
/// Each host is told by one other only. Told by several, as where everybody tells a few chosen
/// freely, hosts spent several times the bytes on what they knew already; on links of 2 Mbit/s the
/// news of a release then left little room for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct UpdateReach(pub(crate) u8);

impl UpdateReach {
    /// To nobody.
    pub(crate) const NONE: Self = Self(0);
    /// To the next host: a second way, where everybody is told directly.
    pub(crate) const NEXT: Self = Self(1);
    /// To all.
    pub(crate) const ALL: Self = Self(u8::MAX);
}

/// A record that is to be told of.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpdate {
    pub(crate) reach: UpdateReach,
    pub(crate) aged: AgedRecord,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RegistryContent {
    /// Leases from a place on, numbered by the order of bucket and id, for a host with the same
    /// records.
    Leases { digest: u32, first: u32, codes: PackedCodes },
    /// Leases of some buckets, for a host that may lack a change; sent while changes spread.
    BucketLeases { buckets: Vec<BucketCodes> },
    /// Records that have just changed; whoever had not heard of them passes them on to the hosts
    /// that its reach covers.
    Updates { reach: UpdateReach, records: Vec<AgedRecord> },
    /// What the sender holds of buckets in which the receiver holds something else.
    Summaries { buckets: Vec<BucketSummary> },
    /// Records that the receiver lacks, and the hashes of those that the sender lacks.
    Records { records: Vec<AgedRecord>, wanted: Vec<(u8, u64)> },
}

/// One message.
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

    /// The code at a place; a place past the end has none.
    pub(crate) fn code(&self, index: usize) -> Option<u8> {
        let bit = index * 3;
        let low = u16::from(*self.0.get(bit / 8)?);
        let high = self.0.get(bit / 8 + 1).map_or(0, |byte| u16::from(*byte));
        Some((((high << 8) | low) >> (bit % 8) & 0x7) as u8)
    }
}

/// Splits a list so that each part's encoding stays under the limit; a single item never exceeds
/// it, as names are bounded.
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
