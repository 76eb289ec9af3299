//! State that lives as long as the process.

mod fast_map;
mod member_message;
mod member_record;
mod member_ring;
mod member_roster;
mod member_settings;
mod member_table;
mod moment;
mod names;
mod quantities;
mod upstream;

pub use fast_map::{FastMap, FastSet};
pub use member_message::{MEMBER_BODY_LIMIT, MemberSend};
pub use member_record::{HostRoles, MemberIncarnation, MemberRecord, MemberState};
pub use member_ring::PeerRing;
pub use member_settings::MemberSettings;
pub use member_table::MemberTable;
pub use moment::Moment;
pub use names::{
    ActorName, ChangeId, ClusterId, HostId, KindName, NameFault, PoolName, ServiceName, UpstreamId,
    ZoneName,
};
pub use quantities::{MemberId, ProbeRate, QuantityFault, ShareFraction, SlotCount};
pub use upstream::{Announcement, Incarnation, UpstreamPhase, UpstreamRecord, UpstreamSequence};
