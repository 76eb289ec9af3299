//! What arriving requests ask of the schedulers before they are placed.

use pulley_core::request::{
    PoolScheduler, ProbeQuestion, ProbeReading, ProbeTarget, RequestTicket,
};
use pulley_core::{Moment, PoolName, UpstreamId};

use super::SchedulerSet;

impl SchedulerSet {
    /// Which upstreams to ask for a request that has just come, within the budget.
    #[must_use]
    pub fn probe_targets(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        question: &ProbeQuestion<'_>,
    ) -> Vec<ProbeTarget> {
        self.look(pool, |scheduler, now| scheduler.probe_targets(now, ticket, question))
            .unwrap_or_default()
    }

    /// How long a request would take at the best of the upstreams that were asked, in usual times
    /// of an answer.
    #[must_use]
    pub fn best_cost(&self, pool: &PoolName, readings: &[ProbeReading]) -> Option<f32> {
        self.look(pool, |scheduler, now| scheduler.best_cost(now, readings)).flatten()
    }

    /// What upstreams have said of themselves within the last moments.
    #[must_use]
    pub fn fresh_readings(&self, pool: &PoolName, ticket: &RequestTicket) -> Vec<ProbeReading> {
        self.look(pool, |scheduler, now| scheduler.fresh_readings(now, ticket)).unwrap_or_default()
    }

    /// Whether any upstream of a pool has said how loaded it is within the last second.
    #[must_use]
    pub fn has_heard(&self, pool: &PoolName) -> bool {
        self.look(pool, |scheduler, now| scheduler.has_heard(now)).unwrap_or_default()
    }

    /// Notes that upstreams have left a question unanswered.
    pub fn note_unanswered(&self, pool: &PoolName, upstreams: &[UpstreamId]) {
        self.look(pool, |scheduler, now| {
            upstreams.iter().for_each(|upstream| scheduler.note_unanswered(now, upstream));
        });
    }

    /// Until when a request may look for an upstream that is worth starting at.
    #[must_use]
    pub fn patience(&self, pool: &PoolName, ticket: &RequestTicket) -> Moment {
        self.look(pool, |scheduler, now| scheduler.patience(now, ticket))
            .unwrap_or_else(|| self.clock.now())
    }

    /// Whether one of the upstreams that were asked should answer a request by its target.
    #[must_use]
    pub fn is_soon(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        self.look(pool, |scheduler, now| scheduler.is_soon(now, ticket, readings))
            .unwrap_or_default()
    }

    /// Whether a request would start at one of the upstreams that were asked, but might well be
    /// answered late.
    #[must_use]
    pub fn is_risky(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        self.look(pool, |scheduler, now| scheduler.is_risky(now, ticket, readings))
            .unwrap_or_default()
    }

    /// Asks a pool's scheduler something that starts and ends nothing; none without such a pool.
    fn look<T>(
        &self,
        pool: &PoolName,
        question: impl FnOnce(&mut PoolScheduler, Moment) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        Some(question(&mut self.cell(pool)?.state.lock().scheduler, now))
    }
}
