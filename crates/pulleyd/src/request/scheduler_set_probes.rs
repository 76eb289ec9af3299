//! Queries of the schedulers that arriving requests make before they are placed.

use std::time::Duration;

use pulley_core::request::{PoolScheduler, ProbeQuery, ProbeReading, ProbeTarget, RequestTicket};
use pulley_core::{Moment, PoolName, UpstreamId};

use super::SchedulerSet;

impl SchedulerSet {
    /// Returns the upstreams to probe for a new request, within the probe budget.
    #[must_use]
    pub fn probe_targets(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        query: &ProbeQuery<'_>,
    ) -> Vec<ProbeTarget> {
        self.with_scheduler(pool, |scheduler, now| scheduler.probe_targets(now, ticket, query))
            .unwrap_or_default()
    }

    /// Returns the expected time of a request at the best of the probed upstreams, in multiples of
    /// the usual response time.
    #[must_use]
    pub fn best_cost(&self, pool: &PoolName, readings: &[ProbeReading]) -> Option<f32> {
        self.with_scheduler(pool, |scheduler, now| scheduler.best_cost(now, readings)).flatten()
    }

    /// Returns the load reports that upstreams have sent very recently.
    #[must_use]
    pub fn fresh_readings(&self, pool: &PoolName, ticket: &RequestTicket) -> Vec<ProbeReading> {
        self.with_scheduler(pool, |scheduler, now| scheduler.fresh_readings(now, ticket))
            .unwrap_or_default()
    }

    /// Whether any upstream of a pool has reported its load within the last second.
    #[must_use]
    pub fn has_recent_reports(&self, pool: &PoolName) -> bool {
        self.with_scheduler(pool, |scheduler, now| scheduler.has_recent_reports(now))
            .unwrap_or_default()
    }

    /// Records that upstreams have left a probe unanswered.
    pub fn record_probe_timeout(&self, pool: &PoolName, upstreams: &[UpstreamId]) {
        self.with_scheduler(pool, |scheduler, now| {
            upstreams.iter().for_each(|upstream| scheduler.record_probe_timeout(now, upstream));
        });
    }

    /// Returns the latest time at which a request can be placed and still be expected to meet its
    /// target. Without a target, or for an unknown pool, this is the current time.
    #[must_use]
    pub fn placement_deadline(&self, pool: &PoolName, ticket: &RequestTicket) -> Moment {
        self.with_scheduler(pool, |scheduler, now| scheduler.placement_deadline(now, ticket))
            .unwrap_or_else(|| self.clock.now())
    }

    /// Returns how long the work of a row of the pool's plan usually takes; `None` for an unknown
    /// row.
    #[must_use]
    pub fn usual_time(&self, pool: &PoolName, row: usize) -> Option<Duration> {
        self.with_scheduler(pool, |scheduler, _| scheduler.usual_time(row)).flatten()
    }

    /// Whether one of the probed upstreams is expected to answer a request by the request's target.
    #[must_use]
    pub fn meets_target(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        self.with_scheduler(pool, |scheduler, now| scheduler.meets_target(now, ticket, readings))
            .unwrap_or_default()
    }

    /// Whether a request would start at one of the probed upstreams but may well miss its target.
    #[must_use]
    pub fn may_miss_target(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        self.with_scheduler(pool, |scheduler, now| scheduler.may_miss_target(now, ticket, readings))
            .unwrap_or_default()
    }

    /// Runs a query on a pool's scheduler that neither starts nor ends a request; `None` for an
    /// unknown pool.
    pub(super) fn with_scheduler<T>(
        &self,
        pool: &PoolName,
        query: impl FnOnce(&mut PoolScheduler, Moment) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let cell = self.cell(pool)?;
        let mut state = cell.state.lock();
        let answer = query(&mut state.scheduler, now);
        self.send_asks(&mut state);
        Some(answer)
    }
}
