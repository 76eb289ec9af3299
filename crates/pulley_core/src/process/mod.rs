//! State that lives as long as the process.

mod count_key;
mod count_link;
mod count_message;
mod count_table;
mod fast_map;
mod moment;
mod names;
mod pool_coordinator;
mod pool_coordinator_choice;
mod probe_budget;
mod quantities;
mod upstream;

pub use count_key::CountKey;
pub use count_message::{
    COUNT_MESSAGE_LIMIT, CountDelta, CountEpoch, CountFault, CountSum, KindUse, UpstreamTotal,
    UpstreamUse,
};
pub use count_table::COUNT_TERM;
pub use fast_map::{FastMap, FastSet};
pub use moment::Moment;
pub use names::{
    ActorName, ChangeId, ClusterId, HostId, KindName, NameFault, PoolName, ServiceName, UpstreamId,
    ZoneName,
};
pub use pool_coordinator::{
    CoordinatorOutput, PUBLISH_BYTES_PER_SECOND, PoolCoordinator, ProbeOutcome,
};
pub use pool_coordinator_choice::coordinator_for;
pub use probe_budget::ProbeBudget;
pub use quantities::{MemberId, ProbeRate, QuantityFault, ShareFraction, SlotCount};
pub use upstream::{Announcement, Incarnation, UpstreamPhase, UpstreamRecord, UpstreamSequence};

pub(crate) use count_link::CountLink;
