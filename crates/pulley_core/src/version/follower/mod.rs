//! Distribution of the current configuration to every host.

mod plan_delta;
mod plan_difference;
mod plan_follower;
mod plan_follower_asking;
mod plan_follower_fetch;
mod plan_follower_message;
mod plan_follower_spreading;
mod plan_rows;
mod plan_serve_budget;
mod plan_spread_counts;

pub use plan_difference::PlanDifference;
pub use plan_follower::{PlanFollower, PlanStanding};
pub use plan_follower_message::{PlanDigest, PlanSend, ReplicaSet};
pub use plan_spread_counts::SpreadCounts;

use super::sequence_edit::{SequenceEdit, apply_edits, edits_between};
use super::{
    CallerLimits, ConfigVersion, EvacuatedZones, KindPlan, LogIndex, OrganisationTerms,
    PLAN_BYTES_LIMIT, PLAN_ROW_LIMIT, PolicyPlan, PoolTerms, StoredPlan,
};
