//! The scheduler's part in asking upstreams when a request arrives, and in going by what they say.

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

/// What going to another zone costs, in usual times of an answer: the way there and back takes a
/// few hundredths of one, and its bytes cost the operators more than the rest of the request.
const ZONE_DISTANCE: f32 = 0.25;

/// The longest expected time, in usual times of an answer, that is worth a slot. A free slot beside
/// a busy one comes to 1.6 at two slots; the slowest usual spell is 5.
const WORTH_STARTING: f32 = 2.0;

/// The part of its time for which a request runs beside a full set of others, if it found room and
/// its upstream was full when it ended.
const FULL_PART: f32 = 0.5;

/// How much larger than usual a request's work may be and still be in time, before other zones are
/// asked as well.
const LARGE_WORK: f32 = 1.6;

/// From how many times the promised time on a request counts as overdue, and by what its upstream
/// then ranks behind others: three times the usual work is rarer than one in a thousand. It refuses
/// nobody: where answers get lost on the way, every upstream soon has a request that is overdue, and
/// with all of them passed over requests would be refused beside free slots.
const OVERDUE_TIMES: f32 = 3.0;
const OVERDUE_COST: f32 = 2.0;

/// The least part of an upstream that is taken to be usable when its cost is worked out.
const LEAST_PART: f32 = 0.2;

/// How long what an upstream said of itself is gone by. Its neighbours change its speed about every
/// 150 ms, so that one reading in five of this age is wrong.
const FRESH: Duration = Duration::from_millis(30);

/// For how long an upstream is asked last that has said that it is slowed down or full: most spells
/// and most queues are not over sooner.
const BAD_SPAN: Duration = Duration::from_millis(150);

/// How many upstreams a request asks at a time once half of the probes are used up. In a rush two
/// and a half probes come on each request; three at a time, every third request could ask nobody.
const SCARCE_WANTED: usize = 2;

/// How long a word of a free slot is remembered for requests that can ask nobody.
const REMEMBERED: Duration = Duration::from_secs(1);

/// The part of a kind's target that its work is taken to need before answers have shown it.
const TARGET_PART: f32 = 0.35;

/// The weight of one answer in a kind's smoothed time, and how many times that time one answer may
/// count for at most: a spell that began after the probe says nothing of the work itself.
const BASE_WEIGHT: f32 = 0.1;
const BASE_JUMP: f32 = 2.0;

/// How far a request looks for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReach {
    /// In its own zone, as long as that has upstreams of its pool.
    OwnZone,
    /// In every zone.
    EveryZone,
}

/// Asks for upstreams to ask.
#[derive(Clone, Copy, Debug)]
pub struct ProbeQuestion<'a> {
    /// Those that were asked already.
    pub asked: &'a [UpstreamId],
    /// How many to ask at most.
    pub wanted: usize,
    /// How far to look.
    pub reach: ProbeReach,
}

/// An upstream to ask when a request arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

impl PoolScheduler {
    /// Sets how many upstreams arriving requests may ask, in probes a second.
    pub fn set_probe_rate(&mut self, rate: f32) {
        self.probes.set_rate(rate);
    }

    /// Which upstreams to ask for a request, within the budget; none while requests wait here
    /// already, since theirs is the next slot.
    ///
    /// A request looks in its own zone first: another zone's answer is later, and its bytes are dear.
    /// Within a zone those of the entry's subset go first, as it has connections to them; among them
    /// the choice is random, as two entries that ask the same ones at the same moment would both
    /// choose the one that is idle.
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

    /// Orders upstreams to ask: those that are silent or have just said that they are bad go last, and
    /// else the own zone and the others take turns.
    ///
    /// Load it is for: one zone's callers ask more of its upstreams than other zones' do, in a rush or
    /// all day. Harm: with all of the own zone before any other, requests never left a zone of eighty
    /// upstreams that were all busy, and were refused while other zones had upstreams that stood
    /// idle. Reason for the limit: a request comes here again only once some of the own zone were
    /// asked in vain; half of its questions still go there, as bytes to other zones are dear.
    fn in_turns(&self, now: Moment, open: Vec<AskableUpstream>) -> Vec<AskableUpstream> {
        let standing = |upstream: &AskableUpstream| {
            let was_bad = self.was_bad(now, upstream.index);
            2 * u8::from(upstream.is_silent) + u8::from(was_bad)
        };
        let mut ranked: Vec<(u8, AskableUpstream)> =
            open.into_iter().map(|upstream| (standing(&upstream), upstream)).collect();
        // Stable, so that the order within the subset stays the random one.
        ranked
            .sort_by_key(|(standing, upstream)| (*standing, upstream.is_away, upstream.is_outside));
        let groups = ranked.chunk_by(|(a, x), (b, y)| (a, x.is_away) == (b, y.is_away));
        let turns = groups.flat_map(|group| group.iter().enumerate());
        let mut turns: Vec<(usize, u8, AskableUpstream)> =
            turns.map(|(turn, (standing, upstream))| (turn, *standing, *upstream)).collect();
        turns.sort_by_key(|(turn, standing, upstream)| (*standing, *turn, upstream.is_away));
        turns.into_iter().map(|(_, _, upstream)| upstream).collect()
    }

    /// Notes that an upstream has left a question unanswered.
    ///
    /// Load it is for: a zone's upstreams vanish without a word, and their leases hold for seconds yet.
    /// Harm: requests of the zone ask one of them after the other, wait for each, and come late while
    /// other zones have upstreams that stand idle. Reason for the limits: an upstream that is only
    /// slow is asked again a second later, and so is a zone, by whoever finds no other.
    pub fn note_unanswered(&mut self, now: Moment, upstream: &UpstreamId) {
        if let Some(index) = self.upstreams.index_of(upstream) {
            self.upstreams.at_mut(index).note_unanswered(now);
        }
    }

    /// Whether an upstream has said within the last moments that it is slowed down or full.
    fn was_bad(&self, now: Moment, index: usize) -> bool {
        let slots = self.upstreams.at(index);
        slots.reading.is_some_and(|(at, report)| {
            now.since(at) <= BAD_SPAN
                && expected_cost(slots.slots(), &report, self.filling)
                    + expected_harm(slots.slots(), &report, self.filling)
                    > WORTH_STARTING
        })
    }

    /// Whether the own zone has upstreams that may be heard.
    fn has_own_zone(&self, now: Moment) -> bool {
        if self.upstreams.silent_zones(now).contains(&&self.zone) {
            return false;
        }
        self.upstreams.open().any(|slots| slots.record.announcement.zone == self.zone)
    }

    /// How long a request would take at the best of the upstreams that were asked, in usual times
    /// of an answer.
    #[must_use]
    pub fn best_cost(&self, now: Moment, readings: &[ProbeReading]) -> Option<f32> {
        let costs = readings.iter().filter_map(|reading| self.reading_cost(now, reading));
        costs.map(|found| found.cost + found.harm).min_by(f32::total_cmp)
    }

    /// Takes a new request whose upstreams have been asked: it starts at the one that will answer
    /// it first, if any can answer it in time.
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

    /// Takes a request for which no upstream could be asked any more, as the budget is used up.
    ///
    /// It goes by what upstreams have said within the last second: where one had a slot free, it is
    /// likely to have one still. Placed blindly where none had, it would only wait there, just when
    /// the pool can least afford it; it had better ask a little later.
    fn arrive_unasked(
        &mut self,
        now: Moment,
        local: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffects {
        // Those that wait here already are asked for by nobody: it goes behind them.
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

    /// The best upstream by what all have said within the last second; none if none had room.
    fn remembered(&self, now: Moment, ticket: &RequestTicket) -> Option<usize> {
        let known = self.readings_since(now, REMEMBERED, ticket);
        let costs = known.iter().filter_map(|reading| self.reading_cost(now, reading));
        let costs = costs.filter(|found| !self.upstreams.at(found.index).is_silent(now));
        let worth = costs.filter(|found| found.cost + found.harm <= WORTH_STARTING);
        worth.min_by(|a, b| a.rank().total_cmp(&b.rank())).map(|found| found.index)
    }

    /// Whether one of the upstreams that were asked should answer a request by its target.
    #[must_use]
    pub fn is_soon(&self, now: Moment, ticket: &RequestTicket, readings: &[ProbeReading]) -> bool {
        self.should_answer(now, ticket, readings, 1.0)
    }

    /// Whether a request would start at the best of the upstreams that were asked, but its answer
    /// would come late if its work were somewhat larger than usual.
    ///
    /// Load it is for: pools whose upstreams have few slots, in which the free slot of the own zone
    /// is mostly beside a busy one. Harm: there work takes longer, and answers miss targets of a few
    /// usual times while other zones have upstreams that stand idle. Reason for the limit: work
    /// much larger than usual is rare; what meets its target then too needs nobody else asked, and
    /// another zone's bytes are dear. Once half of the probes are used up they are kept for those
    /// that would else find no upstream at all.
    #[must_use]
    pub fn is_risky(&self, now: Moment, ticket: &RequestTicket, readings: &[ProbeReading]) -> bool {
        let starts = self.best_cost(now, readings).is_some_and(|cost| cost <= WORTH_STARTING);
        let may_ask = starts && ticket.target.is_some() && self.probes.is_ample();
        may_ask && !self.should_answer(now, ticket, readings, LARGE_WORK)
    }

    /// Whether work of so many times the usual size should be answered by its target.
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

    /// Whether a request is better kept than sent to the best upstream that was found.
    ///
    /// Load it is for: many of a pool's upstreams are slowed down or full at this moment. Harm:
    /// work that starts in a spell keeps its slot for the whole factor, and work that queues comes
    /// late and makes those behind it late; a rush of seconds then leaves a pool unable to recover for
    /// many times as long, though it could answer more than is asked of it. Reason for the limit: a
    /// slot that is free, even beside a busy one, is below it; a spell or a queue is not, and both
    /// are over sooner than the work would be.
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

    /// Until when a request may look for an upstream that is worth starting at: past that its
    /// answer would miss its target, and its caller had better know.
    #[must_use]
    pub fn patience(&self, now: Moment, ticket: &RequestTicket) -> Moment {
        let (Some(local), Some(target)) = (self.shares.local(ticket.kind), ticket.target) else {
            return now;
        };
        (target - self.base(local)).min(ticket.deadline)
    }

    /// What upstreams have said of themselves within the last moments, so that they need not be
    /// asked again.
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

    /// Whether any upstream has said how loaded it is within the last second.
    #[must_use]
    pub fn has_heard(&self, now: Moment) -> bool {
        let mut readings = self.upstreams.open().filter_map(|slots| slots.reading);
        readings.any(|(at, _)| now.since(at) <= REMEMBERED)
    }

    /// How long a kind's work takes at an upstream that nothing slows down.
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
            // What it said of that holds from now on, and no longer than until it says otherwise.
            let report = LoadReport { cold_left: None, ..reading.report };
            let slots = self.upstreams.at_mut(index);
            // One that was passed on from here is no newer than it was.
            if slots.reading.is_none_or(|(_, known)| known != report) {
                slots.reading = Some((now, report));
            }
        }
    }

    /// Whether a request that this entry has sent to an upstream has taken far longer already than
    /// the upstream's own word promised.
    fn is_overdue(&self, now: Moment, upstream: usize) -> bool {
        self.running.values().filter(|running| running.upstream == upstream).any(|running| {
            let Some(cost) = running.cost else { return false };
            let Some(local) = self.shares.local(running.row) else { return false };
            now.since(running.started) > self.base(local).mul_f32(cost * OVERDUE_TIMES)
        })
    }

    /// What a reading says of a request's time there, if the upstream still takes work.
    ///
    /// What callers have seen of it lately counts as well: an upstream may fail or take long while
    /// its own word is good.
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

    /// Whether an upstream is cold and nothing may be sent to it by this entry now. Its own word of
    /// this moment goes before what was known.
    fn is_too_cold(&self, now: Moment, index: usize, reading: &ProbeReading) -> bool {
        let (cold, terms) = (&self.upstreams.at(index).cold, self.upstreams.warm_up());
        match reading.report.cold_left {
            Some(left) if left.is_zero() => false,
            Some(_) => !cold.has_permit(now, terms),
            None => cold.is_closed(now, terms),
        }
    }

    /// Whether an upstream was full when a request ended that its report no longer counts.
    fn was_filled(&self, index: usize, report: Option<LoadReport>) -> bool {
        let slots = self.upstreams.at(index).slots();
        report.is_some_and(|report| SlotRoom::of(slots, &report) != SlotRoom::Free)
    }

    /// Learns from an answer how long the kind's work takes, and how its upstream's word holds.
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
        // Each of the two is learned from what the other has no part in: learned from the same
        // answers, one would make up for whatever the other is wrong by.
        match running.room {
            // Nobody need take a last slot to learn what it costs: others do, by chance.
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

/// What a request would cost at one upstream, in usual times of an answer.
#[derive(Clone, Copy, Debug)]
struct UpstreamCost {
    cost: f32,
    /// By how much it would delay those that run there.
    harm: f32,
    /// What speaks against it besides: another zone, failures lately. It ranks upstreams and
    /// refuses none, as a moment's waiting changes nothing about it.
    handicap: f32,
    index: usize,
}

impl UpstreamCost {
    fn rank(&self) -> f32 {
        self.cost + self.harm + self.handicap
    }
}
