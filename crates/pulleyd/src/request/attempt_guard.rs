//! One started attempt, whose slot must be released exactly once.

use std::sync::Arc;

use pulley_core::PoolName;
use pulley_core::request::{AttemptOutcome, LoadReport, RequestNumber};

use super::SchedulerSet;

/// Holds an upstream's slot for one attempt and reports how the attempt ended.
///
/// If a guard is dropped without a report, the caller has left. Dropping it releases the slot;
/// otherwise it would stay counted and the pool would seem full permanently.
#[derive(Debug)]
pub struct AttemptGuard {
    schedulers: Arc<SchedulerSet>,
    pool: PoolName,
    number: RequestNumber,
    report: Option<LoadReport>,
    settled: bool,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that a placement has started.
    #[must_use]
    pub fn new(schedulers: Arc<SchedulerSet>, pool: PoolName, number: RequestNumber) -> Self {
        Self { schedulers, pool, number, report: None, settled: false }
    }

    /// Stores the upstream's load report until the attempt ends.
    pub fn set_report(&mut self, report: Option<LoadReport>) {
        self.report = report;
    }

    /// Reports the outcome of the attempt.
    pub fn settle(mut self, outcome: AttemptOutcome) {
        self.settle_as(outcome);
    }

    fn settle_as(&mut self, outcome: AttemptOutcome) {
        self.settled = true;
        self.schedulers.finish(&self.pool, self.number, outcome, self.report.take());
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.settle_as(AttemptOutcome::Cancelled);
        }
    }
}
