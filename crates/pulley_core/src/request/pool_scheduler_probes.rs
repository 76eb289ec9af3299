//! Placing a request by the load reports of the upstreams that were probed for it.

use std::time::Duration;

use super::arrival_probes::{
    ProbeReading, SlotRoom, expected_cost, expected_delay_to_others, expected_queueing,
    is_nearly_full,
};
use super::pool_scheduler::{MAX_RETRY_DELAY, MAX_WAIT_PART, MIN_RETRY_DELAY, refusal};
use super::{LoadReport, PoolScheduler, RefusalCause, RequestTicket, SchedulerEffects};
use crate::process::Moment;

/// Ranking penalty of another zone, in usual answer times. The round trip takes a few hundredths of
/// one, and bytes between zones cost the operators more than the rest of the request.
const ZONE_PENALTY: f32 = 0.25;

/// The longest expected time, in usual answer times, for which a request still starts. At an
/// upstream of two slots, a free slot beside a busy one costs 1.6. Neighbours usually slow a
/// machine down by a factor of at most 5.
pub(super) const MAX_START_COST: f32 = 2.0;

/// If work this many times as large as usual would miss its target, other zones are probed as well.
const LARGE_WORK_FACTOR: f32 = 1.6;

/// Multiple of its expected time after which a request counts as overdue, and the factor by which
/// that raises the cost of its upstream in the ranking. Work of three times the usual size is rarer
/// than one in a thousand. The factor causes no refusals. Where answers get lost on the network,
/// every upstream soon has an overdue request, and with all of them excluded, requests would be
/// refused beside free slots.
const OVERDUE_FACTOR: f32 = 3.0;
const OVERDUE_PENALTY: f32 = 2.0;

/// Lower bound of an upstream's usable fraction of slots, relative to a typical upstream, when it
/// divides the upstream's cost.
const MIN_USABLE_PART: f32 = 0.2;

/// How long a load report is used in place of a new probe. Neighbours change an upstream's speed
/// about every 150 ms, so one report in five of this age is wrong.
const FRESH_SPAN: Duration = Duration::from_millis(30);

/// How long a report of a free slot is used for requests that cannot probe any upstream.
const RECENT_SPAN: Duration = Duration::from_secs(1);

impl PoolScheduler {
    /// Returns the cost of a request at the best of the probed upstreams, in usual answer times:
    /// its own time plus the delay that it causes for others. `None` if no probed upstream can take
    /// it.
    #[must_use]
    pub fn best_cost(&self, now: Moment, readings: &[ProbeReading]) -> Option<f32> {
        let costs = readings.iter().filter_map(|reading| self.reading_cost(now, reading));
        costs.map(|found| found.cost + found.delay_to_others).min_by(f32::total_cmp)
    }

    /// Takes a new request whose upstreams have been probed. It starts at the upstream with the
    /// best rank, unless it has to be held back or cannot be answered in time.
    pub fn arrive_probed(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> SchedulerEffects {
        self.upstreams.end_rests(now);
        let Some(kind_index) = self.shares.index_of(ticket.kind) else {
            return self.arrive(now, ticket);
        };
        let best = readings
            .iter()
            .filter_map(|reading| Some((self.reading_cost(now, reading)?, reading)))
            .min_by(|(a, _), (b, _)| a.rank().total_cmp(&b.rank()));
        let Some((PlacementCost { cost, delay_to_others, index, .. }, reading)) = best else {
            readings.iter().for_each(|reading| self.record_reading(now, reading));
            return self.arrive_unprobed(now, kind_index, ticket);
        };
        if self.queue.len() > 0 || !self.may_start(kind_index) || ticket.deadline <= now {
            return self.arrive(now, ticket);
        }
        for reading in readings {
            self.record_reading(now, reading);
        }
        self.probes.refill(now);
        if self.should_hold(now, kind_index, ticket, (index, reading), cost)
            || (delay_to_others > 0.0 && ticket.target.is_some())
        {
            if self.probes.is_exhausted()
                && let Some(found) = self.best_recent(now, ticket)
            {
                return vec![self.start(now, kind_index, found, ticket)];
            }
            let slots = self.upstreams.at(index).slots();
            let queueing = expected_queueing(slots, &reading.report, self.base_time(kind_index));
            let soonest = queueing.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            let retry_after = self.busy_period.record_refusal(now, soonest, &mut self.rng);
            return vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)];
        }
        let slots = self.upstreams.at(index).slots();
        let room = SlotRoom::of(slots, &reading.report);
        let was_nearly_full = is_nearly_full(slots, &reading.report);
        let started = self.start(now, kind_index, index, ticket);
        if let Some(running) = self.running.get_mut(&ticket.number) {
            running.cost = Some(cost);
            running.room = Some(room);
            running.was_nearly_full = was_nearly_full;
        }
        vec![started]
    }

    /// Takes a request for which no upstream could be probed, because the budget is used up.
    ///
    /// It uses the load reports of the last second: an upstream that had a free slot is likely to
    /// have one still. If no upstream had one, a request that is placed without a report would only
    /// queue, at a time when the pool has no slots to spare. Its caller should retry a little later
    /// instead.
    fn arrive_unprobed(
        &mut self,
        now: Moment,
        kind_index: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffects {
        // No probes are made for requests that already wait here, so this one queues behind them.
        let waits = self.queue.len() > 0;
        if waits || ticket.target.is_none() || self.upstreams.none_available() {
            return self.arrive(now, ticket);
        }
        if let Some(found) = self.best_recent(now, ticket)
            && self.may_start(kind_index)
            && ticket.deadline > now
        {
            return vec![self.start(now, kind_index, found, ticket)];
        }
        if let Some(refused) = self.refuse_limited(now, ticket.number, now) {
            return vec![refused];
        }
        let soonest = self.base_time(kind_index).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let retry_after = self.busy_period.record_refusal(now, soonest, &mut self.rng);
        vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)]
    }

    /// Returns the best upstream according to the load reports of the last second, or `None` if
    /// none had room.
    fn best_recent(&self, now: Moment, ticket: &RequestTicket) -> Option<usize> {
        let known = self.readings_since(now, RECENT_SPAN, ticket);
        let costs = known.iter().filter_map(|reading| self.reading_cost(now, reading));
        let costs = costs.filter(|found| !self.upstreams.at(found.index).is_silent(now));
        let acceptable = costs.filter(|found| found.cost + found.delay_to_others <= MAX_START_COST);
        acceptable.min_by(|a, b| a.rank().total_cmp(&b.rank())).map(|found| found.index)
    }

    /// Whether one of the probed upstreams is expected to answer a request by its target, or by its
    /// deadline if it has no target.
    #[must_use]
    pub fn meets_target(
        &self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        self.meets_target_at_size(now, ticket, readings, 1.0)
    }

    /// Whether a request would start at the best of the probed upstreams, but its answer would come
    /// late if its work were somewhat larger than usual.
    ///
    /// In pools whose upstreams have few slots, a free slot in the entry's zone is mostly beside a
    /// busy one. Work takes longer there, and answers miss targets of a few usual answer times
    /// while upstreams of other zones stand idle. Work much larger than usual is rare. A request
    /// that would meet its target even then needs no other probe, and bytes from another zone are
    /// expensive. When half of the probes are used up, the rest is kept for requests that would
    /// otherwise find no upstream at all.
    #[must_use]
    pub fn may_miss_target(
        &self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> bool {
        let starts = self.best_cost(now, readings).is_some_and(|cost| cost <= MAX_START_COST);
        let may_ask = starts && ticket.target.is_some() && self.probes.is_ample();
        may_ask && !self.meets_target_at_size(now, ticket, readings, LARGE_WORK_FACTOR)
    }

    /// Whether work of `size` times the usual size is expected to be answered by its target, or by
    /// its deadline if it has no target.
    fn meets_target_at_size(
        &self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
        size: f32,
    ) -> bool {
        let (Some(kind_index), Some(cost)) =
            (self.shares.index_of(ticket.kind), self.best_cost(now, readings))
        else {
            return false;
        };
        let takes = self.base_time(kind_index).mul_f32(cost * size);
        now + takes <= ticket.target.unwrap_or(ticket.deadline)
    }

    /// Whether to hold a request instead of sending it to the best upstream that was found.
    ///
    /// Many of a pool's upstreams may be slowed down or full at the same moment. Work that starts
    /// on a slowed upstream keeps its slot that many times as long. Work that queues comes late and
    /// makes the requests behind it late. After a burst of seconds, a pool that could handle more
    /// than its load would then need many times as long to recover. The cost of a free slot, even
    /// beside a busy one, is below `MAX_START_COST`. The cost during a slow period or behind a
    /// queue is above it. Both are over sooner than work that is sent into them.
    fn should_hold(
        &self,
        now: Moment,
        kind_index: usize,
        ticket: &RequestTicket,
        (index, reading): (usize, &ProbeReading),
        cost: f32,
    ) -> bool {
        if ticket.target.is_some() {
            return cost > MAX_START_COST;
        }
        let slots = self.upstreams.at(index).slots();
        let queueing = expected_queueing(slots, &reading.report, self.base_time(kind_index));
        queueing > ticket.deadline.since(now).mul_f32(MAX_WAIT_PART)
    }

    /// Returns the time until which a request may go on probing upstreams. After that its answer
    /// would miss its target, so the request is to be refused. Without a target the time is `now`.
    #[must_use]
    pub fn placement_deadline(&self, now: Moment, ticket: &RequestTicket) -> Moment {
        let (Some(kind_index), Some(target)) = (self.shares.index_of(ticket.kind), ticket.target)
        else {
            return now;
        };
        (target - self.base_time(kind_index)).min(ticket.deadline)
    }

    /// Returns how long the work of a row usually takes; `None` if the pool has no such row.
    #[must_use]
    pub fn usual_time(&self, row: usize) -> Option<Duration> {
        Some(self.base_time(self.shares.index_of(row)?))
    }

    /// Returns the load reports that are recent enough to replace a new probe of their upstreams.
    #[must_use]
    pub fn fresh_readings(&self, now: Moment, ticket: &RequestTicket) -> Vec<ProbeReading> {
        self.readings_since(now, FRESH_SPAN, ticket)
    }

    fn readings_since(
        &self,
        now: Moment,
        span: Duration,
        ticket: &RequestTicket,
    ) -> Vec<ProbeReading> {
        let known = self.upstreams.available().filter_map(|state| {
            let (at, report) = state.last_report?;
            let upstream = &state.record.announcement.id;
            let is_usable = now.since(at) <= span && !ticket.avoid.contains(upstream);
            is_usable.then(|| ProbeReading { upstream: upstream.clone(), report })
        });
        known.collect()
    }

    /// Whether any upstream has reported its load within the last second.
    #[must_use]
    pub fn has_recent_reports(&self, now: Moment) -> bool {
        let mut readings = self.upstreams.available().filter_map(|state| state.last_report);
        readings.any(|(at, _)| now.since(at) <= RECENT_SPAN)
    }

    fn record_reading(&mut self, now: Moment, reading: &ProbeReading) {
        if let Some(index) = self.upstreams.index_of(&reading.upstream) {
            if let Some(left) = reading.report.cold_left {
                self.upstreams.record_cold(now, index, left);
            }
            // The reported cold time counts from now and holds until the next report, so it is not
            // stored.
            let report = LoadReport { cold_left: None, ..reading.report };
            let state = self.upstreams.at_mut(index);
            // The reading may be a copy of `last_report`, which must not be stored again as if it
            // were new.
            if state.last_report.is_none_or(|(_, known)| known != report) {
                state.last_report = Some((now, report));
            }
        }
    }

    /// Whether a request that this entry has sent to an upstream has already taken far longer than
    /// the load report promised.
    fn is_overdue(&self, now: Moment, upstream: usize) -> bool {
        self.running.values().filter(|running| running.upstream == upstream).any(|running| {
            let Some(cost) = running.cost else { return false };
            let Some(kind_index) = self.shares.index_of(running.row) else { return false };
            now.since(running.started) > self.base_time(kind_index).mul_f32(cost * OVERDUE_FACTOR)
        })
    }

    /// Returns a request's cost at an upstream by its load report. `None` if the upstream no longer
    /// takes work, or is cold and this entry may not send to it now.
    ///
    /// Recently observed failures and answer times count as well, because an upstream may fail or
    /// take long while its own report is good.
    fn reading_cost(&self, now: Moment, reading: &ProbeReading) -> Option<PlacementCost> {
        let index = self.upstreams.index_of(&reading.upstream)?;
        let state = self.upstreams.at(index);
        if state.send_block_if(now, self.is_cold_blocked(now, index, reading)).is_some() {
            return None;
        }
        let away = if state.record.announcement.zone == self.zone { 0.0 } else { ZONE_PENALTY };
        let reported_cost = expected_cost(state.slots(), &reading.report, self.last_slot_cost);
        let part =
            (state.usable_part(now) / self.upstreams.usual_part()).clamp(MIN_USABLE_PART, 1.0);
        let late = if self.is_overdue(now, index) { OVERDUE_PENALTY } else { 1.0 };
        let cost = reported_cost * state.latency_ratio(now);
        let delay_to_others =
            expected_delay_to_others(state.slots(), &reading.report, self.last_slot_cost);
        Some(PlacementCost {
            cost,
            delay_to_others,
            handicap: cost * late / part - cost + away,
            index,
        })
    }

    /// Whether an upstream is cold and this entry may not send to it now. A new report takes
    /// precedence over earlier information.
    fn is_cold_blocked(&self, now: Moment, index: usize, reading: &ProbeReading) -> bool {
        let (cold, terms) = (&self.upstreams.at(index).cold, self.upstreams.warm_up());
        match reading.report.cold_left {
            Some(left) if left.is_zero() => false,
            Some(_) => !cold.has_permit(now, terms),
            None => cold.is_blocked(now, terms),
        }
    }
}

/// The cost of a request at one upstream, in usual answer times.
#[derive(Clone, Copy, Debug)]
struct PlacementCost {
    cost: f32,
    /// The delay that it would cause for the requests running there.
    delay_to_others: f32,
    /// Other disadvantages, such as another zone or recent failures. It ranks upstreams and causes
    /// no refusals, because waiting a moment would not change it.
    handicap: f32,
    index: usize,
}

impl PlacementCost {
    fn rank(&self) -> f32 {
        self.cost + self.delay_to_others + self.handicap
    }
}
