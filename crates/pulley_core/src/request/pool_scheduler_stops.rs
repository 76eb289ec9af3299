//! Upstreams that rest or leave because they have asked for it, on the scheduler's side.

use std::time::Duration;

use rand::Rng;

use super::pool_scheduler::{MAX_WAIT_PART, MIN_RETRY_DELAY, NO_UPSTREAM_DELAY, refusal};
use super::{PoolScheduler, RefusalCause, RequestTicket, SchedulerEffect, SchedulerEffects};
use crate::process::{Moment, UpstreamStart, UpstreamStop};

/// The rest that an upstream has asked for is kept for up to this part longer, and for at most
/// `MAX_REST_SPREAD`, so that the hosts don't come back in one moment.
const REST_SPREAD_PART: f32 = 0.125;
const MAX_REST_SPREAD: Duration = Duration::from_millis(500);

/// Callers that are refused until the end of a rest come back within this part of the time left,
/// from that end on.
const RETRY_SPREAD_PART: f32 = 0.25;

impl PoolScheduler {
    /// Applies what an upstream has asked of this host. Other starts of the upstream and other pools'
    /// upstreams are ignored.
    ///
    /// While an upstream rests, it takes no part in any choice, and neither its health nor its load
    /// is judged by that: it is neither dead nor slow.
    pub fn apply_stop(
        &mut self,
        now: Moment,
        start: &UpstreamStart,
        stop: UpstreamStop,
    ) -> SchedulerEffects {
        let Some(index) = self.upstreams.index_of(&start.id) else { return Vec::new() };
        let known = &self.upstreams.at(index).record.announcement;
        if known.incarnation != start.incarnation {
            return Vec::new();
        }
        let left = stop.rest_until.since(now);
        let longest = left.mul_f32(REST_SPREAD_PART).min(MAX_REST_SPREAD);
        let spread = longest.mul_f32(self.rng.random_range(0.0..1.0));
        let rest_until = stop.rest_until + spread;
        self.upstreams.apply_stop(now, index, UpstreamStop { rest_until, ..stop });
        let mut effects = Vec::new();
        self.refuse_unplaceable(now, &mut effects);
        self.dispatch(now, &mut effects);
        effects
    }

    /// Whether an attempt can be made at any upstream now.
    #[must_use]
    pub fn has_available(&mut self, now: Moment) -> bool {
        self.upstreams.end_rests(now);
        !self.upstreams.none_available()
    }

    /// Returns when the first upstream takes work again, if none does because some rest.
    #[must_use]
    pub fn rest_ends_at(&mut self, now: Moment) -> Option<Moment> {
        (!self.has_available(now)).then(|| self.upstreams.rest_ends_at()).flatten()
    }

    /// Refuses a request if no upstream takes work, unless it can wait for the end of a rest.
    pub(super) fn refuse_unavailable(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
    ) -> Option<SchedulerEffect> {
        if !self.upstreams.none_available() {
            return None;
        }
        let Some(end) = self.upstreams.rest_ends_at() else {
            return Some(refusal(ticket.number, RefusalCause::NoUpstream, NO_UPSTREAM_DELAY));
        };
        if self.can_wait_until(now, end, ticket) {
            return None;
        }
        let left = end.since(now);
        let spread = left.mul_f32(RETRY_SPREAD_PART).max(MIN_RETRY_DELAY);
        let retry_after = left + spread.mul_f32(self.rng.random_range(0.0..1.0));
        Some(refusal(ticket.number, RefusalCause::UpstreamsResting, retry_after))
    }

    /// Refuses the waiting requests that can't be placed if no upstream takes work.
    pub(super) fn refuse_unplaceable(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        if !self.upstreams.none_available() {
            return;
        }
        for request in self.queue.drain() {
            match self.refuse_unavailable(now, &request.ticket) {
                Some(refused) => effects.push(refused),
                None => {
                    if let Some(kind_index) = self.shares.index_of(request.ticket.kind) {
                        self.queue.push(kind_index, request);
                    }
                }
            }
        }
    }

    /// Whether a request may wait for the end of a rest. No more wait than the upstreams that rest
    /// have slots, as the first sends after a rest are few.
    #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
    fn can_wait_until(&self, now: Moment, end: Moment, ticket: &RequestTicket) -> bool {
        let latest = now + ticket.deadline.since(now).mul_f32(MAX_WAIT_PART);
        let by = ticket.target.map_or(latest, |target| latest.min(target - self.usual()));
        end < by && (self.queue.len() as f32) < self.upstreams.resting_slots()
    }
}
