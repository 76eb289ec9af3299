//! State that lives as long as the process.

mod count_gathering;
mod count_health;
mod count_key;
mod count_link;
mod count_message;
mod count_rows;
mod fast_map;
mod link_pacer;
mod member_message;
mod member_record;
mod member_ring;
mod member_roster;
mod member_settings;
mod member_table;
mod moment;
mod names;
mod pool_coordinator;
mod pool_coordinator_choice;
mod probe_budget;
mod quantities;
mod upstream;
mod upstream_registry;
mod upstream_registry_bucket;
mod upstream_registry_clock;
mod upstream_registry_gossip;
mod upstream_registry_message;
mod upstream_registry_record;
mod upstream_registry_table;

pub use count_key::CountKey;
pub use count_link::COUNT_TERM;
pub use count_message::{
    COUNT_MESSAGE_LIMIT, CountDelta, CountEpoch, CountFault, CountRound, CountSum,
};
pub use count_rows::{CountRows, KindUse, UpstreamNews};
pub use fast_map::{FastMap, FastSet};
pub use link_pacer::LinkPacer;
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
pub use pool_coordinator::{
    COUNT_BYTES_PER_SECOND, CoordinatorOutput, PoolCoordinator, ProbeOutcome,
};
pub use pool_coordinator_choice::coordinator_for;
pub use probe_budget::ProbeBudget;
pub use quantities::{MemberId, ProbeRate, QuantityFault, ShareFraction, SlotCount};
pub use upstream::{Announcement, Incarnation, UpstreamPhase, UpstreamRecord, UpstreamSequence};
pub use upstream_registry::{AnnounceOutcome, RegistryFault, RegistryResult, UpstreamRegistry};
pub(crate) use upstream_registry_clock::{SharedClock, SharedTime};
pub use upstream_registry_message::{REGISTRY_BODY_LIMIT, RegistrySend};
pub use upstream_registry_table::UPSTREAM_LIMIT;

pub(crate) use count_health::{UpstreamHealth, median_ms};
pub(crate) use count_key::stable_hash;
pub(crate) use count_link::CountLink;
pub(crate) use count_rows::{CountLayout, CountTotals, digest_of};
pub(crate) use pool_coordinator::KEYS_FOR;
