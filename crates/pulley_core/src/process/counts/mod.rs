//! Shares counts of outstanding requests among the entries of a pool, and chooses the coordinator.

mod count_key;
mod count_link;
mod count_message;
mod count_rows;
mod pool_coordinator;
mod pool_coordinator_choice;
mod report_collector;
mod upstream_health;

pub use count_key::CountKey;
pub use count_link::COUNT_TTL;
pub use count_message::{
    COUNT_MESSAGE_LIMIT, CountEpoch, CountFault, CountReport, CountRound, CountSum,
};
pub use count_rows::{CountRows, KindUse, UpstreamOutcomes};
pub use pool_coordinator::{
    COUNT_BYTES_PER_SECOND, CoordinatorOutput, PoolCoordinator, ProbeOutcome,
};
pub use pool_coordinator_choice::coordinator_for;

pub(crate) use count_key::stable_hash;
pub(crate) use count_link::CountLink;
pub(crate) use count_rows::{CountLayout, CountTotals, digest_of};
pub(crate) use pool_coordinator::LAYOUT_KEYS_PERIOD;
pub(crate) use upstream_health::{UpstreamHealth, median_ms};

use super::{
    FastMap, FastSet, HostId, Moment, PoolName, ProbeBudget, ProbeRate, UpstreamId, UpstreamRecord,
    ZoneName,
};
