//! What an upstream says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{PoolName, SlotCount, UpstreamId, ZoneName};

/// Counts an upstream's starts; a later start outranks all that earlier ones said.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Counts the announcements within one incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamSequence(pub u64);

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// Which upstream.
    pub id: UpstreamId,
    /// Which of its starts.
    pub incarnation: Incarnation,
}

/// Where an upstream stands in its life; only `Warming` and `Ready` ones get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamPhase {
    /// It has just started and is slow at first.
    Warming,
    /// It takes its full share of work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

impl UpstreamPhase {
    /// Whether new work may be sent to an upstream in this phase.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Warming | Self::Ready)
    }
}

/// One announcement, as an upstream sends it over HTTP to any host of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The upstream's own id, unique over all pools.
    pub id: UpstreamId,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// How many requests it works on at once.
    pub slots: SlotCount,
    /// How many connections it accepts from all hosts together.
    pub connections: u32,
    /// Which start of the upstream this is.
    pub incarnation: Incarnation,
    /// Which announcement of that start this is.
    pub sequence: UpstreamSequence,
    /// Where it stands in its life.
    pub phase: UpstreamPhase,
}

/// What the traffic side knows of one upstream: its last announcement, without lease details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// The announcement that holds.
    pub announcement: Announcement,
    /// False once the lease has expired or the upstream drains; it then gets no new work.
    pub takes_work: bool,
}
