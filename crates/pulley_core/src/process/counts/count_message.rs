//! The messages by which entries share counts: reports up a tree, sums down it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountKey, CountRows, HostId, PoolName, ZoneName};

/// Entries that each entry passes a sum on to.
pub(crate) const FAN_OUT: usize = 3;

/// The largest encoding of one count message, in bytes; with headers it fits one datagram on
/// every usual network, so that no fragment can be lost on its own.
pub const COUNT_MESSAGE_LIMIT: usize = 1_200;

/// Why bytes are no count message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CountFault {
    /// The bytes do not decode.
    #[error("a count message does not decode")]
    Undecodable,
    /// The message is larger than one datagram may be.
    #[error("a count message of {0} bytes is over the limit")]
    TooLong(usize),
}

/// What an encoding or decoding gives.
pub(crate) type Result<T, E = CountFault> = std::result::Result<T, E>;

/// Orders the coordinators of one pool and zone; a successor takes a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CountEpoch(pub u32);

/// Numbers one round of one epoch: a sum down the tree and the reports that answer it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CountRound(pub u32);

/// Counts of one entry, or of several added up, on their way to the coordinator.
///
/// All numbers are absolute and belong to one round, so a message that is lost, doubled or late
/// leaves nothing wrong in the next round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountDelta {
    /// The host it goes to; none for the coordinator of the zone. It does not travel.
    #[serde(skip)]
    pub to: Option<HostId>,
    /// The pool.
    pub pool: PoolName,
    /// The zone whose coordinator it is for; none in an answer to a round.
    pub zone: Option<ZoneName>,
    /// The epoch answered; without a round, the highest epoch seen, which a new coordinator goes
    /// above.
    pub epoch: CountEpoch,
    /// Whose epoch that is.
    pub coordinator: CountKey,
    /// The round answered; none for a report that goes straight to the coordinator and keeps the
    /// sender among the entries.
    pub round: Option<CountRound>,
    /// The sender's steps from the coordinator in that round. The coordinator's host may be a
    /// relay too; only this tells a report to the one from a report to the other.
    pub depth: u8,
    /// Entries added up in it.
    pub hosts: u16,
    /// The most entries that sums have lately counted, as the sender knows.
    pub known: u16,
    /// The counts.
    pub rows: CountRows,
}

/// All entries' counts, as a coordinator publishes them down a tree of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountSum {
    /// The pool.
    pub pool: PoolName,
    /// Whose epoch it is.
    pub coordinator: CountKey,
    /// Which coordinator's reign.
    pub epoch: CountEpoch,
    /// The round it opens.
    pub round: CountRound,
    /// The round whose reports are in the counts, if any are.
    pub counted: Option<CountRound>,
    /// Entries that this coordinator hears.
    pub hosts: u16,
    /// Milliseconds until the next round.
    pub interval_ms: u16,
    /// Steps from the coordinator.
    pub depth: u8,
    /// Time allowed for one step down the tree and up again, in units of 0.25 ms.
    pub step: u8,
    /// Who sent this copy; the receiver's report goes there.
    pub sender: HostId,
    /// Entries that the receiver passes it on to.
    pub route: Vec<HostId>,
    /// The counts.
    pub rows: CountRows,
}

impl CountDelta {
    /// Encodes it for the wire.
    ///
    /// # Errors
    /// Gives a fault if it is too long for one datagram.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Reads one off the wire.
    ///
    /// # Errors
    /// Gives a fault if the bytes are no delta or too many.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

impl CountSum {
    /// Encodes it for the wire.
    ///
    /// # Errors
    /// Gives a fault if it is too long for one datagram.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Reads one off the wire.
    ///
    /// # Errors
    /// Gives a fault if the bytes are no sum or too many.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

/// Splits a route among the first hops: each gets its own name's copy and the rest of its part.
///
/// The order is the coordinator's, drawn anew each round, so a dead host on the way leaves other
/// entries without news each time, and none for long.
#[must_use]
pub(crate) fn split_route(route: &[HostId], fan_out: usize) -> Vec<(HostId, Vec<HostId>)> {
    let hops = route.len().min(fan_out.max(1));
    let (first, rest) = route.split_at(hops);
    let parts = first.iter().enumerate().map(|(hop, host)| {
        let part = rest.iter().skip(hop).step_by(hops).cloned().collect();
        (host.clone(), part)
    });
    parts.collect()
}

/// Steps from the coordinator to the deepest of so many entries: one to the first, which spreads
/// the sum by [`FAN_OUT`].
#[must_use]
pub(crate) fn tree_depth(entries: usize) -> u32 {
    let (mut depth, mut level, mut reached) = (1, 1, 1);
    while reached < entries {
        level *= FAN_OUT;
        reached += level;
        depth += 1;
    }
    depth
}

fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(|_| CountFault::Undecodable)?;
    if bytes.len() > COUNT_MESSAGE_LIMIT {
        return Err(CountFault::TooLong(bytes.len()));
    }
    Ok(bytes)
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    if bytes.len() > COUNT_MESSAGE_LIMIT {
        return Err(CountFault::TooLong(bytes.len()));
    }
    postcard::from_bytes(bytes).map_err(|_| CountFault::Undecodable)
}
