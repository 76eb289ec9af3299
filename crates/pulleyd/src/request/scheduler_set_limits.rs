//! Request limits of upstreams, and the permits that requests to them need.

use pulley_core::process::{LimitRecord, PermitAnswer, UpstreamStart};
use pulley_core::request::LimitSighting;
use pulley_core::{Moment, PoolName};

use super::SchedulerSet;
use super::scheduler_set::PoolState;
use crate::process::ControlRequest;

impl SchedulerSet {
    /// Learns from an answer of an upstream which request limit it names, and tells other hosts if
    /// that is news.
    pub fn observe_limit(&self, pool: &PoolName, start: &UpstreamStart, sighting: LimitSighting) {
        let observe = |scheduler: &mut pulley_core::request::PoolScheduler, now| {
            scheduler.observe_limit(now, start, sighting)
        };
        let Some(observed) = self.with_scheduler(pool, observe).flatten() else { return };
        if let Some(control) = &self.control {
            control.tell(ControlRequest::ObservedLimit(observed));
        }
    }

    /// Returns the number of upstreams in all pools that have a request limit.
    #[must_use]
    pub fn limited_upstreams(&self) -> usize {
        let cells = self.pools.load();
        cells.values().map(|cell| cell.state.lock().scheduler.limited_upstreams()).sum()
    }

    /// Applies a limit that this host has learned of.
    pub fn apply_limit(&self, now: Moment, record: &LimitRecord) {
        for cell in self.pools.load().values() {
            let effects = cell.state.lock().scheduler.apply_limit(now, record);
            self.deliver(cell, effects);
        }
    }

    /// Takes the answer to a question for permits.
    pub fn receive_permits(&self, now: Moment, answer: &PermitAnswer) {
        for cell in self.pools.load().values() {
            let effects = cell.state.lock().scheduler.receive_permits(now, answer);
            if let Some(effects) = effects {
                self.deliver(cell, effects);
                cell.permits_answered.notify_waiters();
            }
        }
    }

    /// Returns when a permit may be had at the earliest, if every upstream of the pool needs one.
    #[must_use]
    pub fn permit_due(&self, pool: &PoolName) -> Option<Moment> {
        self.with_scheduler(pool, |scheduler, now| scheduler.permit_due(now)).flatten()
    }

    /// Waits until a question for permits of the pool has been answered. Never returns for an
    /// unknown pool.
    pub async fn permits_answered(&self, pool: &PoolName) {
        match self.cell(pool) {
            Some(cell) => cell.permits_answered.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Sends the scheduler's questions for permits to the control thread.
    pub(super) fn send_asks(&self, state: &mut PoolState) {
        let asks = state.scheduler.take_permit_asks();
        if let Some(control) = self.control.as_ref().filter(|_| !asks.is_empty()) {
            control.tell(ControlRequest::AskPermits(asks));
        }
    }
}
