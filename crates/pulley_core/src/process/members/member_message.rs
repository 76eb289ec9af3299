//! The messages of membership gossip and their packing into datagrams.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{HostId, MemberRecord, MemberState};

/// The largest body of a gossip message, in bytes.
///
/// With the datagram's header it stays below the 1,500 bytes of an Ethernet frame, so that no
/// message is fragmented. The loss of one fragment would lose the whole message.
pub const MEMBER_BODY_LIMIT: usize = 1_200;

/// The number of parts in the table's digest; each difference costs the transfer of one part.
pub(crate) const DIGEST_PARTS: usize = 64;

/// An encoded membership message and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSend {
    /// The destination address.
    pub to: SocketAddr,
    /// The encoded message.
    pub body: Bytes,
}

/// A host's description and state, as one host reports them to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub(crate) record: MemberRecord,
    pub(crate) state: MemberState,
}

impl MemberUpdate {
    /// Whether this outranks the known update, by a later incarnation or a worse state of the same
    /// incarnation.
    pub(crate) fn outranks(&self, known: &Self) -> bool {
        (self.record.incarnation, self.state) > (known.record.incarnation, known.state)
    }

    /// Whether the host is a live entry.
    pub(crate) fn is_live_entry(&self) -> bool {
        self.state.is_live() && self.record.roles.entry
    }
}

/// What a message requests or reports, apart from the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MemberPurpose {
    /// Requests an `Ack`. Only the target answers, because another host may now use its address.
    Ping { sequence: u32, target: Option<HostId> },
    /// Answers a ping.
    Ack { sequence: u32 },
    /// Requests a ping of a host on the sender's behalf.
    PingRequest { sequence: u32, target: HostId, address: SocketAddr },
    /// Carries the sender's digests and requests the parts that differ.
    SyncRequest { digests: Vec<u32>, reply: bool },
    /// Carries updates from parts that differed.
    SyncPage,
    /// Carries updates only.
    Updates,
}

/// A gossip message: its purpose and as many updates as fit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberMessage {
    pub(crate) purpose: MemberPurpose,
    pub(crate) updates: Vec<MemberUpdate>,
}

impl MemberMessage {
    /// Encodes a message with as many of the updates, in order, as the limit allows; returns it and
    /// their number.
    pub(crate) fn pack<'a>(
        purpose: &MemberPurpose,
        updates: impl Iterator<Item = &'a MemberUpdate>,
    ) -> (Bytes, usize) {
        let mut body = encoded(purpose);
        let mut tail = Vec::new();
        let mut count = 0;
        for update in updates {
            let item = encoded(update);
            // The encoded number of updates takes at most two bytes.
            if body.len() + tail.len() + item.len() + 2 > MEMBER_BODY_LIMIT {
                break;
            }
            tail.extend_from_slice(&item);
            count += 1;
        }
        body.extend_from_slice(&encoded(&count));
        body.extend_from_slice(&tail);
        (Bytes::from(body), count)
    }

    /// Decodes a message; `None` if it is invalid, exceeds the limit or has trailing bytes.
    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > MEMBER_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}

/// Encodes a value of a type whose encoding never fails.
pub(crate) fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data types always encode")
}
