//! The announcements that upstreams send about themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{PoolName, SlotCount, UpstreamId, ZoneName};

/// Orders an upstream's starts: a later start outranks all announcements of earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Numbers the announcements of one incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamSequence(pub u64);

/// Identifies one start of an upstream among all starts under the same id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// The upstream's id, which later starts may use again.
    pub id: UpstreamId,
    /// The incarnation of this start.
    pub incarnation: Incarnation,
}

/// An upstream's lifecycle phase; only `Warming` and `Ready` upstreams get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamPhase {
    /// It has just started and is still slow.
    Warming,
    /// It accepts its full share of work.
    Ready,
    /// It finishes its current requests and accepts no new ones.
    Draining,
    /// It has shut down.
    Gone,
}

impl UpstreamPhase {
    /// Whether new work may be sent to an upstream in this phase.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Warming | Self::Ready)
    }
}

/// An announcement, sent by an upstream over HTTP to any host of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The upstream's id, unique among all pools.
    pub id: UpstreamId,
    /// The address at which it listens for requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// The number of requests that it processes at once.
    pub slots: SlotCount,
    /// The number of connections that it accepts from all hosts together.
    pub connections: u32,
    /// The incarnation of the upstream's current start.
    pub incarnation: Incarnation,
    /// The number of this announcement within the incarnation.
    pub sequence: UpstreamSequence,
    /// The upstream's lifecycle phase.
    pub phase: UpstreamPhase,
}

impl Announcement {
    /// Returns the start that it comes from.
    #[must_use]
    pub fn start(&self) -> UpstreamStart {
        UpstreamStart { id: self.id.clone(), incarnation: self.incarnation }
    }
}

/// An upstream as seen by request routing: its last announcement, without lease details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// The current announcement.
    pub announcement: Announcement,
    /// Whether it may get new work; false if its lease has expired, it is draining or gone, or its
    /// zone is evacuated.
    pub takes_work: bool,
}
