//! The messages between entries and the replicas that keep organisations' accounts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{HostId, KeeperBeat, OrganisationName, encoded};

/// The largest body of a quota message, in bytes.
pub const QUOTA_BODY_LIMIT: usize = 1_200;

/// The first byte of each message. Earlier builds sent and understand messages that begin with 0 to
/// 2; they drop these, as they are dropped here.
const MESSAGE_FORMAT: u8 = 16;

/// The most items in one message. Each takes at most 83 bytes, and the names of two hosts 131.
const ITEM_LIMIT: usize = 12;

/// A request of an entry for permits of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The number that the verdict repeats. The numbers of an entry start at a random value. An ask
    /// that is sent again keeps its number.
    pub number: u32,
    /// Permits that urgent requests need.
    pub urgent: u16,
    /// Permits that late requests need.
    pub late: u16,
    /// Permits of earlier verdicts that were not used.
    pub returned: u16,
}

/// The answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaVerdict {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The number of the ask.
    pub number: u32,
    /// The answer.
    pub answer: QuotaAnswer,
}

/// What a replica answers to a [`QuotaAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The keeper has charged the account. Both counts may be lower than requested.
    Permits {
        /// Permits for urgent requests.
        urgent: u16,
        /// Permits for late requests.
        late: u16,
        /// Milliseconds until the next permit accrues.
        retry_ms: u16,
        /// Milliseconds for which permits have been refused without a pause of a second.
        pressed_ms: u16,
    },
    /// The replica doesn't keep the account and can't reach its keeper.
    NotKeeper,
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuotaMessage {
    /// An entry's requests for permits.
    Asks(Vec<QuotaAsk>),
    /// A replica's answers.
    Verdicts(Vec<QuotaVerdict>),
    /// Asks of an entry that a replica passes on to the keeper, or another entry to a replica. `via`
    /// is the other entry if the replica has them from there.
    RelayedAsks { entry: HostId, via: Option<HostId>, asks: Vec<QuotaAsk> },
    /// The answers, which go back to the entry by the same hosts.
    RelayedVerdicts { entry: HostId, via: Option<HostId>, verdicts: Vec<QuotaVerdict> },
    /// The heartbeat of a replica.
    Beat(KeeperBeat),
}

impl QuotaMessage {
    /// Encodes items as messages that each fit a datagram.
    pub(crate) fn pack_all<T: Clone>(
        items: &[T],
        message: impl Fn(Vec<T>) -> Self,
    ) -> impl Iterator<Item = Bytes> {
        items.chunks(ITEM_LIMIT).map(move |part| message(part.to_vec()).pack())
    }

    /// Encodes the message.
    pub(crate) fn pack(&self) -> Bytes {
        Bytes::from(encoded(&(MESSAGE_FORMAT, self)))
    }

    /// Decodes a message; `None` if it is malformed.
    pub(crate) fn unpack(body: &[u8]) -> Option<Self> {
        if body.len() > QUOTA_BODY_LIMIT {
            return None;
        }
        match postcard::take_from_bytes(body) {
            Ok(((MESSAGE_FORMAT, message), [])) => Some(message),
            _ => None,
        }
    }
}
