//! State that lives as long as the process.

mod fast_map;
mod moment;
mod names;
mod quantities;
mod upstream;

pub use fast_map::{FastMap, FastSet};
pub use moment::Moment;
pub use names::{
    ActorName, ChangeId, ClusterId, HostId, KindName, NameFault, PoolName, ServiceName, UpstreamId,
    ZoneName,
};
pub use quantities::{MemberId, ProbeRate, QuantityFault, ShareFraction, SlotCount};
pub use upstream::{Announcement, Incarnation, UpstreamPhase, UpstreamRecord, UpstreamSequence};
