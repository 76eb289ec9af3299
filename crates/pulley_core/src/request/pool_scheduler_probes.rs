//! Probing upstreams when a request arrives, and placing the request by their load reports.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::arrival_probes::{
    ProbeReading, SlotRoom, expected_cost, expected_harm, expected_queueing, is_nearly_full,
};
use super::pool_scheduler::{LONGEST_RETRY, RunningRequest, SHORTEST_RETRY, WAIT_PART, refusal};
use super::upstream_table::AskableUpstream;
use super::{LoadReport, PoolScheduler, RefusalCause, RequestTicket, SchedulerEffects};
use crate::process::{Moment, UpstreamId};

/// Ranking penalty of another zone, in usual answer times. The round trip takes a few hundredths of
/// one, and bytes between zones cost the operators more than the rest of the request.
const ZONE_DISTANCE: f32 = 0.25;

/// The longest expected time, in usual answer times, that is worth a slot. A free slot beside a
/// busy one costs 1.6 with two slots. The usual slowdown of a machine by its neighbours is at most
/// 5.
const WORTH_STARTING: f32 = 2.0;

/// The part of its time for which a request runs beside a full set of others, if it found room and
/// its upstream was full when it ended.
const FULL_PART: f32 = 0.5;

/// Other zones are probed as well unless work that is larger than usual by this factor would still
/// be in time.
const LARGE_WORK: f32 = 1.6;

/// Multiple of its promised time after which a request counts as overdue, and the ranking factor
/// for its upstream. Work of three times the usual size is rarer than one in a thousand. The factor
/// causes no refusals. Where answers get lost on the network, every upstream soon has an overdue
/// request, and with all of them excluded, requests would be refused beside free slots.
const OVERDUE_TIMES: f32 = 3.0;
const OVERDUE_COST: f32 = 2.0;

/// Lower bound of an upstream's usable part in its cost.
const LEAST_PART: f32 = 0.2;

/// How long a load report is used in place of a new probe. Neighbours change an upstream's speed
/// about every 150 ms, so one report in five of this age is wrong.
const FRESH: Duration = Duration::from_millis(30);

/// How long an upstream that has reported a slowdown or no free slot is probed last. Most slow
/// periods and most queues last at least this long.
const BAD_SPAN: Duration = Duration::from_millis(150);

/// Upstreams that a request probes at a time once half of the probes are used up. In a rush there
/// are two and a half probes per request. With three at a time, every third request could probe no
/// upstream.
const SCARCE_WANTED: usize = 2;

/// How long a report of a free slot is used for requests that cannot probe any upstream.
const REMEMBERED: Duration = Duration::from_secs(1);

/// The part of a kind's target that its work is assumed to need before answers have shown it.
const TARGET_PART: f32 = 0.35;

/// Weight of one answer in a kind's smoothed time, and the largest multiple of that time that one
/// answer may count for. A slowdown that began after the probe says nothing about the work itself.
const BASE_WEIGHT: f32 = 0.1;
const BASE_JUMP: f32 = 2.0;

/// Where a request looks for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReach {
    /// In its own zone, if that has upstreams of its pool.
    OwnZone,
    /// In every zone.
    EveryZone,
}

/// A query for upstreams to probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeQuestion<'a> {
    /// Upstreams that were already probed.
    pub asked: &'a [UpstreamId],
    /// Most upstreams to probe.
    pub wanted: usize,
    /// Where to look.
    pub reach: ProbeReach,
}

/// An upstream to probe when a request arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
}

impl PoolScheduler {
    /// Sets the probe rate for arriving requests, in probes per second.
    pub fn set_probe_rate(&mut self, rate: f32) {
        self.probes.set_rate(rate);
    }

    /// Returns the upstreams to probe for a request, within the budget. Returns none while requests
    /// wait here already, because those get the next slot.
    ///
    /// A request looks in its own zone first: an answer from another zone is later, and its bytes
    /// are expensive. Within a zone the entry's subset goes first, because there are open
    /// connections to it. Within the subset the order is random. Otherwise two entries that probe
    /// the same upstreams at the same moment would both choose the idle one.
    pub fn probe_targets(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
        question: &ProbeQuestion<'_>,
    ) -> Vec<ProbeTarget> {
        if self.queue.len() > 0 || self.shares.local(ticket.kind).is_none() {
            return Vec::new();
        }
        let asked = question.asked;
        let passed = |id: &UpstreamId| asked.contains(id) || ticket.avoid.contains(id);
        let mut open = self.upstreams.askable(now, &self.zone, passed);
        let stays = question.reach == ProbeReach::OwnZone && self.has_own_zone(now);
        if stays {
            open.retain(|upstream| !upstream.is_away);
        }
        open.shuffle(&mut self.rng);
        let open = self.in_turns(now, open);
        self.probes.fill(now);
        let most = if self.probes.is_ample() { question.wanted } else { SCARCE_WANTED };
        let count = self.probes.take(now, most.min(question.wanted).min(open.len()));
        let targets = open.into_iter().take(count).map(|upstream| {
            let announcement = &self.upstreams.at(upstream.index).record.announcement;
            ProbeTarget { upstream: announcement.id.clone(), address: announcement.address }
        });
        targets.collect()
    }

    /// Orders upstreams for probing. Silent upstreams and those with a recent bad report go last.
    /// The remaining ones alternate between the own zone and the others.
    ///
    /// One zone's callers may ask more of its upstreams than those of other zones, in a rush or all
    /// day. When all of the own zone were probed first, requests never left a zone of eighty busy
    /// upstreams, and were refused while upstreams of other zones stood idle. A request only looks
    /// in other zones once some upstreams of its own zone were probed without success. Half of its
    /// probes still go to its own zone, because bytes to other zones are expensive.
    fn in_turns(&self, now: Moment, open: Vec<AskableUpstream>) -> Vec<AskableUpstream> {
        let standing = |upstream: &AskableUpstream| {
            let was_bad = self.was_bad(now, upstream.index);
            2 * u8::from(upstream.is_silent) + u8::from(was_bad)
        };
        let mut ranked: Vec<(u8, AskableUpstream)> =
            open.into_iter().map(|upstream| (standing(&upstream), upstream)).collect();
        // The sort is stable, so that the order within the subset stays random.
        ranked
            .sort_by_key(|(standing, upstream)| (*standing, upstream.is_away, upstream.is_outside));
        let groups = ranked.chunk_by(|(a, x), (b, y)| (a, x.is_away) == (b, y.is_away));
        let turns = groups.flat_map(|group| group.iter().enumerate());
        let mut turns: Vec<(usize, u8, AskableUpstream)> =
            turns.map(|(turn, (standing, upstream))| (turn, *standing, *upstream)).collect();
        turns.sort_by_key(|(turn, standing, upstream)| (*standing, *turn, upstream.is_away));
        turns.into_iter().map(|(_, _, upstream)| upstream).collect()
    }

    /// Records that an upstream has left a probe unanswered.
    ///
    /// A zone's upstreams may vanish without notice while their leases are still valid for seconds.
    /// Requests of the zone would probe them one after the other, wait for each, and come late
    /// while upstreams of other zones stand idle. An upstream that is only slow is probed again a
    /// second later. So is a silent zone, by requests that find no other.
    pub fn note_unanswered(&mut self, now: Moment, upstream: &UpstreamId) {
        if let Some(index) = self.upstreams.index_of(upstream) {
            self.upstreams.at_mut(index).note_unanswered(now);
        }
    }

    /// Whether an upstream has recently reported a slowdown or no free slot.
    fn was_bad(&self, now: Moment, index: usize) -> bool {
        let slots = self.upstreams.at(index);
        slots.reading.is_some_and(|(at, report)| {
            now.since(at) <= BAD_SPAN
                && expected_cost(slots.slots(), &report, self.filling)
                    + expected_harm(slots.slots(), &report, self.filling)
                    > WORTH_STARTING
        })
    }

    /// Whether the own zone has upstreams and is not silent.
    fn has_own_zone(&self, now: Moment) -> bool {
        if self.upstreams.silent_zones(now).contains(&&self.zone) {
            return false;
        }
        self.upstreams.open().any(|slots| slots.record.announcement.zone == self.zone)
    }

    /// Returns how long a request would take at the best of the probed upstreams, in usual answer
    /// times.
    #[must_use]
    pub fn best_cost(&self, now: Moment, readings: &[ProbeReading]) -> Option<f32> {
        let costs = readings.iter().filter_map(|reading| self.reading_cost(now, reading));
        costs.map(|found| found.cost + found.harm).min_by(f32::total_cmp)
    }

    /// Takes a new request whose upstreams have been probed. It starts at the one that should
    /// answer first, if any can answer in time.
    pub fn arrive_probed(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
    ) -> SchedulerEffects {
        let Some(local) = self.shares.local(ticket.kind) else {
            return self.arrive(now, ticket);
        };
        let best = readings
            .iter()
            .filter_map(|reading| Some((self.reading_cost(now, reading)?, reading)))
            .min_by(|(a, _), (b, _)| a.rank().total_cmp(&b.rank()));
        let Some((UpstreamCost { cost, harm, index, .. }, reading)) = best else {
            readings.iter().for_each(|reading| self.note_reading(now, reading));
            return self.arrive_unasked(now, local, ticket);
        };
        if self.queue.len() > 0 || !self.may_start(local) || ticket.deadline <= now {
            return self.arrive(now, ticket);
        }
        for reading in readings {
            self.note_reading(now, reading);
        }
        self.probes.fill(now);
        if self.is_kept(now, local, ticket, (index, reading), cost)
            || (harm > 0.0 && ticket.target.is_some())
        {
            if self.probes.is_spent()
                && let Some(found) = self.remembered(now, ticket)
            {
                return vec![self.start(now, local, found, ticket)];
            }
            let slots = self.upstreams.at(index).slots();
            let queueing = expected_queueing(slots, &reading.report, self.base(local));
            let soonest = queueing.clamp(SHORTEST_RETRY, LONGEST_RETRY);
            let retry_after = self.busy_spell.refuse(now, soonest, &mut self.rng);
            return vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)];
        }
        let slots = self.upstreams.at(index).slots();
        let room = SlotRoom::of(slots, &reading.report);
        let was_near = is_nearly_full(slots, &reading.report);
        let started = self.start(now, local, index, ticket);
        if let Some(running) = self.running.get_mut(&ticket.number) {
            running.cost = Some(cost);
            running.room = Some(room);
            running.was_near = was_near;
        }
        vec![started]
    }

    /// Takes a request for which no upstream could be probed, because the budget is used up.
    ///
    /// It uses the load reports of the last second: an upstream that had a free slot is likely to
    /// have one still. If no upstream had one, a request that is placed blindly would only queue,
    /// just when the pool can least afford it. Its caller should retry a little later instead.
    fn arrive_unasked(
        &mut self,
        now: Moment,
        local: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffects {
        // No probes are made for requests that already wait here, so this one queues behind them.
        let waits = self.queue.len() > 0;
        if waits || ticket.target.is_none() || self.upstreams.is_closed() {
            return self.arrive(now, ticket);
        }
        if let Some(found) = self.remembered(now, ticket)
            && self.may_start(local)
            && ticket.deadline > now
        {
            return vec![self.start(now, local, found, ticket)];
        }
        let soonest = self.base(local).clamp(SHORTEST_RETRY, LONGEST_RETRY);
        let retry_after = self.busy_spell.refuse(now, soonest, &mut self.rng);
        vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)]
    }

    /// Returns the best upstream according to the load reports of the last second, or `None` if
    /// none had room.
    fn remembered(&self, now: Moment, ticket: &RequestTicket) -> Option<usize> {
        let known = self.readings_since(now, REMEMBERED, ticket);
        let costs = known.iter().filter_map(|reading| self.reading_cost(now, reading));
        let costs = costs.filter(|found| !self.upstreams.at(found.index).is_silent(now));
        let worth = costs.filter(|found| found.cost + found.harm <= WORTH_STARTING);
        worth.min_by(|a, b| a.rank().total_cmp(&b.rank())).map(|found| found.index)
    }

    /// Whether one of the probed upstreams should answer a request by its target.
    #[must_use]
    pub fn is_soon(&self, now: Moment, ticket: &RequestTicket, readings: &[ProbeReading]) -> bool {
        self.should_answer(now, ticket, readings, 1.0)
    }

    /// Whether a request would start at the best of the probed upstreams, but its answer would come
    /// late if its work were somewhat larger than usual.
    ///
    /// In pools whose upstreams have few slots, the free slot of the own zone is mostly beside a
    /// busy one. Work takes longer there, and answers miss targets of a few usual answer times
    /// while upstreams of other zones stand idle. Work much larger than usual is rare. A request
    /// that would meet its target even then needs no other probe, and bytes from another zone are
    /// expensive. Once half of the probes are used up, the rest is kept for requests that would
    /// otherwise find no upstream at all.
    #[must_use]
    pub fn is_risky(&self, now: Moment, ticket: &RequestTicket, readings: &[ProbeReading]) -> bool {
        let starts = self.best_cost(now, readings).is_some_and(|cost| cost <= WORTH_STARTING);
        let may_ask = starts && ticket.target.is_some() && self.probes.is_ample();
        may_ask && !self.should_answer(now, ticket, readings, LARGE_WORK)
    }

    /// Whether work of `size` times the usual size should be answered by its target.
    fn should_answer(
        &self,
        now: Moment,
        ticket: &RequestTicket,
        readings: &[ProbeReading],
        size: f32,
    ) -> bool {
        let (Some(local), Some(cost)) =
            (self.shares.local(ticket.kind), self.best_cost(now, readings))
        else {
            return false;
        };
        let takes = self.base(local).mul_f32(cost * size);
        now + takes <= ticket.target.unwrap_or(ticket.deadline)
    }

    /// Whether to hold a request instead of sending it to the best upstream that was found.
    ///
    /// Many of a pool's upstreams may be slowed down or full at the same moment. Work that starts
    /// on a slowed upstream keeps its slot that many times as long. Work that queues comes late and
    /// makes the requests behind it late. After a rush of seconds, a pool that could handle more
    /// than its load would then be unable to recover for many times as long. A free slot, even
    /// beside a busy one, is below the limit. A slow period or a queue is above it, and both are
    /// over sooner than the work would be.
    fn is_kept(
        &self,
        now: Moment,
        local: usize,
        ticket: &RequestTicket,
        (index, reading): (usize, &ProbeReading),
        cost: f32,
    ) -> bool {
        if ticket.target.is_some() {
            return cost > WORTH_STARTING;
        }
        let slots = self.upstreams.at(index).slots();
        let queueing = expected_queueing(slots, &reading.report, self.base(local));
        queueing > ticket.deadline.since(now).mul_f32(WAIT_PART)
    }

    /// Returns until when a request may look for an upstream. After that its answer would miss its
    /// target, and its caller should be refused.
    #[must_use]
    pub fn patience(&self, now: Moment, ticket: &RequestTicket) -> Moment {
        let (Some(local), Some(target)) = (self.shares.local(ticket.kind), ticket.target) else {
            return now;
        };
        (target - self.base(local)).min(ticket.deadline)
    }

    /// Returns the most recent load reports, so that these upstreams need not be probed again.
    #[must_use]
    pub fn fresh_readings(&self, now: Moment, ticket: &RequestTicket) -> Vec<ProbeReading> {
        self.readings_since(now, FRESH, ticket)
    }

    fn readings_since(
        &self,
        now: Moment,
        span: Duration,
        ticket: &RequestTicket,
    ) -> Vec<ProbeReading> {
        let known = self.upstreams.open().filter_map(|slots| {
            let (at, report) = slots.reading?;
            let upstream = &slots.record.announcement.id;
            let is_usable = now.since(at) <= span && !ticket.avoid.contains(upstream);
            is_usable.then(|| ProbeReading { upstream: upstream.clone(), report })
        });
        known.collect()
    }

    /// Whether any upstream has reported its load within the last second.
    #[must_use]
    pub fn has_heard(&self, now: Moment) -> bool {
        let mut readings = self.upstreams.open().filter_map(|slots| slots.reading);
        readings.any(|(at, _)| now.since(at) <= REMEMBERED)
    }

    /// Returns how long a kind's work takes at an upstream that nothing slows down.
    fn base(&self, local: usize) -> Duration {
        let kind = self.shares.kind(local);
        if kind.base_ms > 0.0 {
            return Duration::from_secs_f32(kind.base_ms / 1_000.0);
        }
        kind.target.map_or_else(|| self.usual(), |target| target.mul_f32(TARGET_PART))
    }

    /// Learns from an answer how long a kind's work takes where nothing slows it down.
    fn note_base(&mut self, local: usize, cost: f32, took: Duration) {
        let kind = self.shares.kind_mut(local);
        let sample = took.as_secs_f32() * 1_000.0 / cost;
        if kind.base_ms <= 0.0 {
            kind.base_ms =
                kind.target.map_or(sample, |target| target.as_secs_f32() * 1_000.0 * TARGET_PART);
        }
        kind.base_ms += BASE_WEIGHT * (sample.min(kind.base_ms * BASE_JUMP) - kind.base_ms);
    }

    fn note_reading(&mut self, now: Moment, reading: &ProbeReading) {
        if let Some(index) = self.upstreams.index_of(&reading.upstream) {
            if let Some(left) = reading.report.cold_left {
                self.upstreams.note_cold(now, index, left);
            }
            // The reported cold time counts from now and holds until the next report, so it is not
            // stored.
            let report = LoadReport { cold_left: None, ..reading.report };
            let slots = self.upstreams.at_mut(index);
            // A load report that was returned from this store is no newer than the stored one.
            if slots.reading.is_none_or(|(_, known)| known != report) {
                slots.reading = Some((now, report));
            }
        }
    }

    /// Whether a request that this entry has sent to an upstream has already taken far longer than
    /// the load report promised.
    fn is_overdue(&self, now: Moment, upstream: usize) -> bool {
        self.running.values().filter(|running| running.upstream == upstream).any(|running| {
            let Some(cost) = running.cost else { return false };
            let Some(local) = self.shares.local(running.row) else { return false };
            now.since(running.started) > self.base(local).mul_f32(cost * OVERDUE_TIMES)
        })
    }

    /// Returns a request's cost at an upstream by its load report, if the upstream still takes
    /// work.
    ///
    /// Recently observed failures and answer times count as well, because an upstream may fail or
    /// take long while its own report is good.
    fn reading_cost(&self, now: Moment, reading: &ProbeReading) -> Option<UpstreamCost> {
        let index = self.upstreams.index_of(&reading.upstream)?;
        let slots = self.upstreams.at(index);
        if !slots.takes_work() || self.is_too_cold(now, index, reading) {
            return None;
        }
        let away = if slots.record.announcement.zone == self.zone { 0.0 } else { ZONE_DISTANCE };
        let own_word = expected_cost(slots.slots(), &reading.report, self.filling);
        let part = (slots.usable_part(now) / self.upstreams.usual_part()).clamp(LEAST_PART, 1.0);
        let late = if self.is_overdue(now, index) { OVERDUE_COST } else { 1.0 };
        let cost = own_word * slots.pace(now);
        let harm = expected_harm(slots.slots(), &reading.report, self.filling);
        Some(UpstreamCost { cost, harm, handicap: cost * late / part - cost + away, index })
    }

    /// Whether an upstream is cold and this entry may not send to it now. A new report takes
    /// precedence over earlier information.
    fn is_too_cold(&self, now: Moment, index: usize, reading: &ProbeReading) -> bool {
        let (cold, terms) = (&self.upstreams.at(index).cold, self.upstreams.warm_up());
        match reading.report.cold_left {
            Some(left) if left.is_zero() => false,
            Some(_) => !cold.has_permit(now, terms),
            None => cold.is_closed(now, terms),
        }
    }

    /// Whether an upstream was full when a request ended. The report no longer counts that request.
    fn was_filled(&self, index: usize, report: Option<LoadReport>) -> bool {
        let slots = self.upstreams.at(index).slots();
        report.is_some_and(|report| SlotRoom::of(slots, &report) != SlotRoom::Free)
    }

    /// Learns from an answer how long the kind's work takes, and how accurate the upstream's load
    /// report was.
    pub(super) fn note_answer(
        &mut self,
        now: Moment,
        local: usize,
        running: &RunningRequest,
        report: Option<LoadReport>,
    ) {
        let Some(cost) = running.cost else { return };
        let took = now.since(running.started);
        let promised = self.base(local).as_secs_f32() * cost;
        let slots = self.upstreams.at_mut(running.upstream);
        slots.note_pace(now, took.as_secs_f32() / promised);
        // The two estimates are learned from different answers. Learned from the same answers, one
        // would compensate for the error of the other.
        match running.room {
            // The cost of a last slot can be learned without taking one, from other requests that
            // do by chance.
            Some(SlotRoom::Free)
                if running.was_near && self.was_filled(running.upstream, report) =>
            {
                let longer = (took.as_secs_f32() / promised - 1.0) / FULL_PART;
                self.filling.note(1.0 + longer);
            }
            Some(SlotRoom::Free) => self.note_base(local, cost, took),
            Some(SlotRoom::Last) => {
                let usual = promised / (1.0 + self.filling.or_first());
                self.filling.note(took.as_secs_f32() / usual);
            }
            Some(SlotRoom::Full) | None => {}
        }
    }
}

/// The cost of a request at one upstream, in usual answer times.
#[derive(Clone, Copy, Debug)]
struct UpstreamCost {
    cost: f32,
    /// The delay that it would cause for the requests running there.
    harm: f32,
    /// Other disadvantages, such as another zone or recent failures. It ranks upstreams and causes
    /// no refusals, because waiting a moment would not change it.
    handicap: f32,
    index: usize,
}

impl UpstreamCost {
    fn rank(&self) -> f32 {
        self.cost + self.harm + self.handicap
    }
}
