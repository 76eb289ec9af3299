//! The messages by which entries share counts: reports move up a tree, sums move down it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountKey, CountRows, HostId, PoolName, ZoneName};

/// The number of entries to which each entry forwards a sum.
pub(crate) const FAN_OUT: usize = 3;

/// The largest encoding of one count message, in bytes.
///
/// With headers it fits one unfragmented datagram on every usual network, so that the loss of a
/// single fragment cannot destroy a message.
pub const COUNT_MESSAGE_LIMIT: usize = 1_200;

/// Why bytes cannot be encoded or decoded as a count message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CountFault {
    /// The bytes do not decode.
    #[error("a count message does not decode")]
    Undecodable,
    /// The message is larger than [`COUNT_MESSAGE_LIMIT`].
    #[error("a count message of {0} bytes is over the limit")]
    TooLong(usize),
}

/// The result of encoding or decoding a count message.
pub(crate) type Result<T, E = CountFault> = std::result::Result<T, E>;

/// Orders the coordinators of one pool and zone; each successor takes a higher epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CountEpoch(pub u32);

/// Numbers the rounds of an epoch; a round is one sum down the tree and the reports that answer it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CountRound(pub u32);

/// A report to the coordinator: the counts of one entry, or the sum of several entries' counts.
///
/// All numbers are absolute and belong to one round, so a lost, duplicated or late message causes
/// no error in the next round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// The destination host; `None` for the zone's coordinator. It is not sent.
    #[serde(skip)]
    pub to: Option<HostId>,
    /// The pool whose requests are counted.
    pub pool: PoolName,
    /// The zone whose coordinator should receive it; `None` in an answer to a round.
    pub zone: Option<ZoneName>,
    /// The epoch of the answered sum. In a direct report it is the highest epoch seen, so that a
    /// new coordinator can choose a higher one.
    pub epoch: CountEpoch,
    /// The coordinator of that epoch.
    pub coordinator: CountKey,
    /// The round answered. `None` for a direct report, which goes to the coordinator without
    /// relays and keeps the sender on its list of entries.
    pub round: Option<CountRound>,
    /// The sender's number of hops from the coordinator in that round. The coordinator's host may
    /// also be a relay, and only the depth tells the reports for the two roles apart.
    pub depth: u8,
    /// The number of entries whose counts are included.
    pub hosts: u16,
    /// The largest number of entries that recent sums have reported to the sender.
    pub largest_known: u16,
    /// The counts by upstream and by kind.
    pub rows: CountRows,
}

/// The counts of all entries, as a coordinator publishes them down a tree of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountSum {
    /// The pool whose requests are counted.
    pub pool: PoolName,
    /// The coordinator that publishes it.
    pub coordinator: CountKey,
    /// The coordinator's epoch.
    pub epoch: CountEpoch,
    /// The round that it starts.
    pub round: CountRound,
    /// The round whose reports are included in the counts, if any.
    pub counted: Option<CountRound>,
    /// The number of entries on this coordinator's list.
    pub hosts: u16,
    /// Milliseconds until the next round.
    pub interval_ms: u16,
    /// The receiver's number of hops from the coordinator.
    pub depth: u8,
    /// Time allowed for one hop down the tree and up again, in units of 0.25 ms.
    pub step: u8,
    /// The host that sent this copy; the receiver sends its report there.
    pub sender: HostId,
    /// The entries to which the receiver forwards it, directly or through others.
    pub route: Vec<HostId>,
    /// The counts by upstream and by kind.
    pub rows: CountRows,
}

impl CountReport {
    /// Encodes the message for the network.
    ///
    /// # Errors
    /// Returns a fault if it is too long for one datagram.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a received message.
    ///
    /// # Errors
    /// Returns a fault if the bytes do not decode or exceed the limit.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

impl CountSum {
    /// Encodes the message for the network.
    ///
    /// # Errors
    /// Returns a fault if it is too long for one datagram.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a received message.
    ///
    /// # Errors
    /// Returns a fault if the bytes do not decode or exceed the limit.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

/// Splits a route into subtrees: returns each first hop with the hosts that it forwards to.
///
/// The coordinator shuffles the route every round. A dead host on the way therefore cuts off
/// different entries each time, and none of them for long.
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

/// Returns the number of hops from the coordinator to the deepest of `entries` entries: one to the
/// first entry, which forwards the sum with a fan-out of [`FAN_OUT`].
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
