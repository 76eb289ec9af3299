//! Request limits that upstreams name, on the scheduler's side: what it learns and the permits it
//! asks for.

use super::pool_scheduler::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, refusal};
use super::{
    LimitSighting, PoolScheduler, RefusalCause, RequestNumber, SchedulerEffect, SchedulerEffects,
};
use crate::process::{LimitRecord, Moment, ObservedLimit, PermitAnswer, PermitAsk, UpstreamStart};

/// Maximum number of questions for permits that one look at the queue asks.
const ASKS_PER_LOOK: usize = 4;

impl PoolScheduler {
    /// Learns from an answer of an upstream which request limit it names. Returns what to tell other
    /// hosts, if there is news. Answers of earlier starts are ignored.
    pub fn observe_limit(
        &mut self,
        now: Moment,
        start: &UpstreamStart,
        sighting: LimitSighting,
    ) -> Option<ObservedLimit> {
        let index = self.upstreams.index_of(&start.id)?;
        let state = self.upstreams.at_mut(index);
        if state.record.announcement.incarnation != start.incarnation {
            return None;
        }
        let rate = state.limit.observe(now, sighting)?;
        let (upstream, incarnation) = (start.id.clone(), start.incarnation);
        Some(ObservedLimit { upstream, incarnation, rate })
    }

    /// Applies a limit that this host has learned of. Records of other starts of the upstream and of
    /// other pools' upstreams are ignored.
    pub fn apply_limit(&mut self, now: Moment, record: &LimitRecord) -> SchedulerEffects {
        let Some(index) = self.upstreams.index_of(&record.upstream) else { return Vec::new() };
        let state = self.upstreams.at_mut(index);
        if state.record.announcement.incarnation == record.incarnation {
            state.limit.apply(now, record);
        }
        self.tick(now)
    }

    /// Takes the answer to a question for permits. Returns `None` if the upstream is not one of this
    /// pool.
    pub fn receive_permits(
        &mut self,
        now: Moment,
        answer: &PermitAnswer,
    ) -> Option<SchedulerEffects> {
        let index = self.upstreams.index_of(&answer.upstream)?;
        self.upstreams.at_mut(index).limit.receive(now, answer);
        Some(self.tick(now))
    }

    /// Returns the number of upstreams that have a request limit.
    #[must_use]
    pub fn limited_upstreams(&self) -> usize {
        self.upstreams.available().filter(|state| state.limit.is_limited()).count()
    }

    /// Takes the questions for permits that are to be asked.
    pub fn take_permit_asks(&mut self) -> Vec<PermitAsk> {
        std::mem::take(&mut self.permit_asks)
    }

    /// Returns when a permit may be had, or the rest of an upstream ends, at the earliest, if a request
    /// can be sent to no upstream of the pool without a permit; that is `now` if one may arrive at any
    /// moment. `None` if some upstream needs no permit, or no upstream takes work.
    #[must_use]
    pub fn permit_due(&self, now: Moment) -> Option<Moment> {
        let is_limited = !self.upstreams.none_available() && self.upstreams.all_blocked(now);
        let permit_due = is_limited.then(|| self.upstreams.limited_until(now).unwrap_or(now))?;
        Some(self.upstreams.rest_ends_at().map_or(permit_due, |end| end.min(permit_due)))
    }

    /// Refuses a request if every upstream of the pool has a request limit of which nothing is left
    /// until after `latest`.
    pub(super) fn refuse_limited(
        &mut self,
        now: Moment,
        number: RequestNumber,
        latest: Moment,
    ) -> Option<SchedulerEffect> {
        let due = self.permit_due(now).filter(|due| *due >= latest)?;
        let soonest = due.since(now).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let retry_after = self.busy_period.record_refusal(now, soonest, &mut self.rng);
        Some(refusal(number, RefusalCause::UpstreamsLimited, retry_after))
    }

    /// Asks for permits for an upstream to which a request would have been sent.
    ///
    /// A request asks once, however often it looks for an upstream at the same time. Permits that it
    /// does not use expire, and the limit would be spent on them.
    pub(super) fn ask_for_request(&mut self, now: Moment, index: usize, number: RequestNumber) {
        self.upstreams.at_mut(index).limit.record_demand(now);
        if self.asked_for != Some(number) && self.ask_for_permits(now, index) {
            self.asked_for = Some(number);
        }
    }

    /// Asks for permits for the requests in the queue.
    pub(super) fn ask_for_queue(&mut self, now: Moment) {
        let wanted = self.queue.len().min(ASKS_PER_LOOK);
        for index in self.upstreams.askable(now, wanted) {
            self.ask_for_permits(now, index);
        }
    }

    fn ask_for_permits(&mut self, now: Moment, index: usize) -> bool {
        let state = self.upstreams.at_mut(index);
        let Some(draft) = state.limit.begin_ask(now) else { return false };
        let announcement = &state.record.announcement;
        self.permit_asks.push(PermitAsk {
            upstream: announcement.id.clone(),
            zone: announcement.zone.clone(),
            number: draft.number,
            wanted: draft.wanted,
            asks_deputy: draft.asks_deputy,
        });
        true
    }
}
