//! The messages of membership gossip and how they fit a datagram.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{HostId, MemberRecord, MemberState};

/// The largest body of a gossip message, in bytes.
///
/// With the datagram's own header it stays under an Ethernet frame's 1,500 bytes, so that no
/// message is split into fragments, of which the loss of one would lose all.
pub const MEMBER_BODY_LIMIT: usize = 1_200;

/// The number of parts the table's digest has; a difference costs the transfer of one part.
pub(crate) const DIGEST_PARTS: usize = 64;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSend {
    /// Where to.
    pub to: SocketAddr,
    /// The encoded message.
    pub body: Bytes,
}

/// What is said of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub(crate) record: MemberRecord,
    pub(crate) state: MemberState,
}

impl MemberUpdate {
    /// Whether this outranks what is known: a later incarnation, or worse news of the same one.
    pub(crate) fn outranks(&self, known: &Self) -> bool {
        (self.record.incarnation, self.state) > (known.record.incarnation, known.state)
    }

    /// Whether it is that of an entry that lives.
    pub(crate) fn is_live_entry(&self) -> bool {
        self.state.is_live() && self.record.roles.entry
    }
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MemberPurpose {
    /// Asks for an `Ack`; answered only by the target, as another host may have its old address.
    Ping { sequence: u32, target: Option<HostId> },
    /// Answers a ping.
    Ack { sequence: u32 },
    /// Asks to ping a host on the sender's behalf.
    PingRequest { sequence: u32, target: HostId, address: SocketAddr },
    /// Shows the sender's digests, to be sent what differs.
    SyncAsk { digests: Vec<u32>, reply: bool },
    /// Carries what differed in a comparison.
    SyncPage,
    /// Carries news only.
    News,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberMessage {
    pub(crate) purpose: MemberPurpose,
    pub(crate) updates: Vec<MemberUpdate>,
}

impl MemberMessage {
    /// Encodes the message with as many of the updates, in their order, as the limit allows.
    pub(crate) fn pack<'a>(
        purpose: &MemberPurpose,
        updates: impl Iterator<Item = &'a MemberUpdate>,
    ) -> (Bytes, usize) {
        let mut body = encoded(purpose);
        let mut tail = Vec::new();
        let mut count = 0;
        for update in updates {
            let item = encoded(update);
            // Two bytes: the longest form of the number of updates.
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

    /// Decodes a message; what is longer than the limit or has a tail is none.
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

/// Encodes a value whose types always encode.
pub(crate) fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data types always encode")
}
