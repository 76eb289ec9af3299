//! State that lives as long as one request.

mod pool_scheduler;
mod ticket;
mod verdict;

pub use pool_scheduler::PoolScheduler;
pub use ticket::{
    AttemptOutcome, LoadReport, RequestNumber, RequestTicket, SchedulerEffect, SchedulerEffects,
};
pub use verdict::{RefusalCause, RequestVerdict};
