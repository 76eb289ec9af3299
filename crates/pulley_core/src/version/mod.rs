//! State that belongs to one version of the configuration, and the log that orders versions.

mod change;
mod plan;

pub use change::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRefusal, ChangeRequest, ConfigVersion, StoredPlan,
};
pub use plan::{KindPlan, MethodMatch, PolicyPlan, RequestPriority, WorkLength};
