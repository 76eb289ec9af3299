//! State that lives as long as the process.

mod count_gathering;
mod count_health;
mod count_key;
mod count_link;
mod count_message;
mod count_rows;
mod fast_map;
mod moment;
mod names;
mod pool_coordinator;
mod pool_coordinator_choice;
mod probe_budget;
mod quantities;
mod upstream;

pub use count_key::CountKey;
pub use count_link::COUNT_TERM;
pub use count_message::{
    COUNT_MESSAGE_LIMIT, CountDelta, CountEpoch, CountFault, CountRound, CountSum,
};
pub use count_rows::{CountRows, KindUse, UpstreamNews};
pub use fast_map::{FastMap, FastSet};
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

pub(crate) use count_health::{UpstreamHealth, median_ms};
pub(crate) use count_link::CountLink;
pub(crate) use count_rows::{CountLayout, CountTotals, digest_of};
pub(crate) use pool_coordinator::KEYS_FOR;
