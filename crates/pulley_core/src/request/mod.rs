//! Per-request decisions: scheduling, upstream choice, probing and retries.

mod arrival_probes;
mod busy_period;
mod cold_rate_limit;
mod content_table;
mod deadline_range;
mod isolated_allowance;
mod kind_shares;
mod limit_reading;
mod moved_rows;
mod organisation_quota;
mod pool_scheduler;
mod pool_scheduler_answers;
mod pool_scheduler_counts;
mod pool_scheduler_limits;
mod pool_scheduler_probes;
mod pool_scheduler_stops;
mod pool_scheduler_targets;
mod pool_scheduler_waits;
mod probe_rounds;
mod quota_table;
mod request_urgency;
mod retry_budget;
mod return_time;
mod row_deadlines;
mod share_leases;
mod start_wait;
mod subset_ranking;
mod ticket;
mod upstream_choice;
mod upstream_limit;
mod upstream_state;
mod upstream_table;
mod verdict;
mod wait_queue;

pub use arrival_probes::ProbeReading;
pub use content_table::{ContentDecision, ContentTable, SuspectState, SuspectStates};
pub use deadline_range::DeadlineRange;
pub use isolated_allowance::QuotaScope;
pub use limit_reading::LimitReading;
pub use organisation_quota::{PermitOutlook, PermitRequest, QuotaDecision};
pub use pool_scheduler::PoolScheduler;
pub use pool_scheduler_targets::{ProbeQuery, ProbeReach, ProbeTarget};
pub use probe_rounds::{GOOD_COST, POOR_COST, ProbeRounds};
pub use quota_table::QuotaTable;
pub use request_urgency::RequestUrgency;
pub use retry_budget::{GiveUpCause, RetryAllowance, RetryBudget, RetryDecision, RetryInputs};
pub use return_time::return_time;
pub use row_deadlines::RowDeadlines;
pub use share_leases::{KindDemand, divide_slots};
pub use start_wait::{not_ready_retry, start_wait};
pub use ticket::{
    AttemptOutcome, LoadReport, RequestNumber, RequestTicket, SchedulerEffect, SchedulerEffects,
};
pub use upstream_limit::LimitSighting;
pub use verdict::{RefusalCause, RequestVerdict};

pub(crate) use busy_period::BusyPeriod;
pub(crate) use cold_rate_limit::{COLD_ENTRIES, ColdRateLimit};
pub(crate) use kind_shares::{FIRST_PRIORITY, KindShares, LeaseTerms, kind_digest};
pub(crate) use upstream_choice::UpstreamChoice;
pub(crate) use upstream_limit::UpstreamLimit;
pub(crate) use upstream_state::UpstreamState;
pub(crate) use upstream_table::UpstreamTable;
pub(crate) use wait_queue::{WaitQueue, WaitingRequest};
