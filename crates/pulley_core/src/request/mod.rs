//! Per-request decisions: scheduling, upstream choice, probing and retries.

mod arrival_probes;
mod busy_spell;
mod cold_guard;
mod kind_shares;
mod pool_scheduler;
mod pool_scheduler_counts;
mod pool_scheduler_probes;
mod retry_budget;
mod share_leases;
mod start_wait;
mod subset_ranking;
mod ticket;
mod upstream_slots;
mod upstream_table;
mod verdict;
mod wait_queue;

pub use arrival_probes::ProbeReading;
pub use pool_scheduler::PoolScheduler;
pub use pool_scheduler_probes::{ProbeQuestion, ProbeReach, ProbeTarget};
pub use retry_budget::{GiveUpCause, RetryAllowance, RetryBudget, RetryDecision, RetryQuestion};
pub use share_leases::{KindDemand, divide_slots};
pub use start_wait::{not_ready_retry, start_wait};
pub use ticket::{
    AttemptOutcome, LoadReport, RequestNumber, RequestTicket, SchedulerEffect, SchedulerEffects,
};
pub use verdict::{RefusalCause, RequestVerdict};

pub(crate) use busy_spell::BusySpell;
pub(crate) use cold_guard::{COLD_ENTRIES, ColdGuard};
pub(crate) use kind_shares::{FIRST_PRIORITY, KindShares, LeaseTerms, kind_digest};
pub(crate) use upstream_slots::UpstreamSlots;
pub(crate) use upstream_table::{UpstreamChoice, UpstreamTable};
pub(crate) use wait_queue::{WaitQueue, WaitingRequest};
