//! State that belongs to one version of the configuration, and the log that orders versions.

mod change;
mod plan;
mod plan_follower;
mod plan_follower_fetch;
mod plan_follower_message;

pub use change::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRefusal, ChangeRequest, ConfigVersion, StoredPlan,
};
pub use plan::{KindPlan, MethodMatch, PolicyPlan, RequestPriority, WorkLength};
pub use plan_follower::{PlanFollower, PlanStanding};
pub use plan_follower_message::{PlanDigest, PlanSend, ReplicaSet};
