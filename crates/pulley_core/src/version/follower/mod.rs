//! How every host comes to have the current configuration in force.

mod plan_follower;
mod plan_follower_asking;
mod plan_follower_fetch;
mod plan_follower_message;

pub use plan_follower::{PlanFollower, PlanStanding};
pub use plan_follower_message::{PlanDigest, PlanSend, ReplicaSet};

use super::{ConfigVersion, EvacuatedZones, LogIndex, StoredPlan};
