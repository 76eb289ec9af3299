//! The messages by which entries share counts: deltas to a coordinator, sums back.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{CountKey, HostId, PoolName, ZoneName};

/// The largest encoding of one count message, in bytes; with headers it fits one datagram on
/// every usual network, so that no fragment can be lost on its own.
pub const COUNT_MESSAGE_LIMIT: usize = 1_200;

/// Upstreams in one message at most: 10 bytes each, with room for names and kinds.
pub(crate) const UPSTREAMS_PER_MESSAGE: usize = 64;

/// Kinds in one message at most: 10 bytes each.
pub(crate) const KINDS_PER_MESSAGE: usize = 20;

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

/// What one entry has outstanding at one upstream. All numbers are absolute, so a message that is
/// lost, doubled or late leaves nothing wrong once a newer one arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUse {
    /// Which upstream.
    pub upstream: CountKey,
    /// Requests outstanding.
    pub in_flight: u16,
    /// Smoothed time of its answers, in units of 0.1 ms; 0 if none came lately.
    pub latency: u16,
    /// Part of its slots that callers find usable, in 255ths.
    pub health: u8,
}

/// What is running and waiting of one kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindUse {
    /// Which kind of which service.
    pub kind: CountKey,
    /// Requests outstanding.
    pub in_flight: u16,
    /// Requests that wait.
    pub queued: u16,
}

/// One entry's own counts at the upstreams of one zone of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountDelta {
    /// The pool.
    pub pool: PoolName,
    /// The upstreams' zone.
    pub zone: ZoneName,
    /// Tells one start of the sending process from the next.
    pub generation: u32,
    /// Counts the sender's deltas to this zone.
    pub sequence: u32,
    /// The highest epoch of a sum seen; a new coordinator goes above it.
    pub epoch: CountEpoch,
    /// Whose epoch that was.
    pub coordinator: CountKey,
    /// Upstreams whose counts changed since the last delta, or all in turn.
    pub upstreams: Vec<UpstreamUse>,
    /// Kinds with anything running or waiting, whole pool.
    pub kinds: Vec<KindUse>,
}

/// What all entries together have outstanding at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamTotal {
    /// Which upstream.
    pub upstream: CountKey,
    /// Requests outstanding.
    pub in_flight: u16,
    /// Smoothed time of its answers, in units of 0.1 ms; 0 if unknown.
    pub latency: u16,
    /// Part of its slots that callers find usable, in 255ths.
    pub health: u8,
}

/// The entries' counts together, as a coordinator publishes them to one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountSum {
    /// The pool.
    pub pool: PoolName,
    /// The upstreams' zone.
    pub zone: ZoneName,
    /// Who made it.
    pub coordinator: HostId,
    /// Which coordinator's reign.
    pub epoch: CountEpoch,
    /// Counts the sums of that epoch.
    pub sequence: u32,
    /// The receiver's generation that `echo` is of.
    pub generation: u32,
    /// The newest delta of the receiver that is in the totals.
    pub echo: u32,
    /// Entries heard of within the term.
    pub entries: u16,
    /// Milliseconds until the next sum is due; the receiver paces its deltas by it.
    pub interval_ms: u16,
    /// The totals.
    pub upstreams: Vec<UpstreamTotal>,
    /// What is running and waiting of each kind, all entries together.
    pub kinds: Vec<KindUse>,
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
