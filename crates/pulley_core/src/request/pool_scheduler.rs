//! Decides, for one pool at one entry, who starts, who waits and who is refused.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::arrival_probes::{ArrivalBudget, ProbeReading, expected_cost, expected_queueing};
use super::pool_scheduler_counts::ToldCounts;
use super::{
    AttemptOutcome, FIRST_PRIORITY, KindShares, LeaseTerms, LoadReport, RefusalCause,
    RequestNumber, RequestTicket, SchedulerEffect, SchedulerEffects, UpstreamChoice, UpstreamTable,
    WaitQueue, WaitingRequest,
};
use crate::process::{
    CountLink, FastMap, HostId, Moment, PoolName, UpstreamId, UpstreamRecord, ZoneName,
};
use crate::version::{KindPlan, PolicyPlan, WorkLength};

/// Requests that one entry lets wait for one pool. The expected wait refuses long before this on
/// any ordinary day; the bound keeps memory finite when deadlines are hours.
const QUEUE_LIMIT: usize = 4_096;

/// Requests outstanding for each usable slot, over the pool, while counts are fresh.
///
/// Each entry keeps to its part of this while more is asked for. What waits at an upstream can no
/// longer be overtaken by an urgent request; but with less, an upstream that old counts have
/// passed over would stand idle.
const SLACK: f32 = 1.5;

/// What each usual time of an answer between two rounds adds to that, and the most it comes to: the
/// rarer the rounds, the more requests end unseen between them.
const SLACK_PER_ANSWER: f32 = 0.6;
const MOST_SLACK: f32 = 10.0;

/// Requests outstanding at one upstream for each of its usable slots, at most: so many, and so many
/// times what the pool as a whole is held to. It is for one upstream that old counts make look idle
/// to every entry at once; what waits there cannot be moved elsewhere when it slows down.
const UPSTREAM_LEAST: f32 = 2.0;
const UPSTREAM_PART: f32 = 1.0;

/// One entry's own requests outstanding at an upstream for each of its usable slots. More than the
/// slots hold would only wait there; the half hides the way to the upstream and back, which for
/// long work is not worth a place in front of shorter work.
const OWN_SLACK: f32 = 1.5;

/// Long requests outstanding for each usable slot, over the pool.
const LONG_SLACK: f32 = 1.5;

/// A request waits at most this part of the time it has left, in expectation.
///
/// Admitted to the brim, a queue under overload holds only requests that start when their time is
/// almost over; a third of the answers then come too late and the slots' work is thrown away.
const WAIT_PART: f32 = 0.25;

/// Usual times of an answer that must be left when a request starts; 1 answer in 30 takes longer.
const TIMES_LEFT: f32 = 3.0;

/// What going to another zone costs, in usual times of an answer: the way there and back takes a
/// few hundredths of one, and its bytes cost the operators more than the rest of the request.
const ZONE_DISTANCE: f32 = 0.25;

/// The longest expected time, in usual times of an answer, that is worth a slot. A free slot beside
/// a busy one comes to 1.6 at two slots; the slowest usual spell is 5.
const WORTH_STARTING: f32 = 2.0;

/// From how many times the promised time on a request counts as overdue, and by what its upstream
/// then ranks behind others: three times the usual work is rarer than one in a thousand. It refuses
/// nobody: where answers get lost on the way, every upstream soon has a request that is overdue, and
/// with all of them passed over 437 requests of ten seconds were refused beside free slots.
const OVERDUE_TIMES: f32 = 3.0;
const OVERDUE_COST: f32 = 2.0;

/// The least part of an upstream that is taken to be usable when its cost is worked out.
const LEAST_PART: f32 = 0.2;

/// How long what an upstream said of itself is gone by. Its neighbours change its speed about every
/// 150 ms, so that one reading in five of this age is wrong.
const FRESH: Duration = Duration::from_millis(30);

/// How long a word of a free slot is remembered for requests that can ask nobody.
const REMEMBERED: Duration = Duration::from_secs(1);

/// The part of a kind's target that its work is taken to need before answers have shown it.
const TARGET_PART: f32 = 0.35;

/// The weight of one answer in a kind's smoothed time, and how many times that time one answer may
/// count for at most: a spell that began after the probe says nothing of the work itself.
const BASE_WEIGHT: f32 = 0.1;
const BASE_JUMP: f32 = 2.0;

/// How soon a refused caller may come back, at least.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// How long a refused caller is asked to stay away, at most.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// When to come back where no upstream takes work.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    upstream: usize,
    row: usize,
    started: Moment,
    /// How long it should take, in usual times, by its upstream's own word.
    cost: Option<f32>,
}

/// One pool's scheduler at one entry.
///
/// It holds no socket and no clock: each call says what time it is, and the returned effects say
/// what to do.
#[derive(Debug)]
pub struct PoolScheduler {
    pub(crate) pool: PoolName,
    pub(crate) host: HostId,
    zone: ZoneName,
    plan: Arc<PolicyPlan>,
    pub(crate) shares: KindShares,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) link: Option<CountLink>,
    pub(crate) layout_since: Moment,
    pub(crate) told: VecDeque<ToldCounts>,
    pub(crate) counted_at: Option<Moment>,
    pub(crate) queue: WaitQueue,
    running: FastMap<RequestNumber, RunningRequest>,
    rng: SmallRng,
    finishes: u32,
    /// Requests that may be outstanding for each usable slot, over the pool.
    slack: f32,
    /// The upstream whose slot this entry has just seen freed.
    freed: Option<usize>,
    /// What arriving requests may ask of upstreams.
    probes: ArrivalBudget,
}

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
    /// Makes a scheduler that knows no upstream yet.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneName, pool: PoolName, seed: u64) -> Self {
        Self {
            pool,
            host,
            zone,
            plan: Arc::default(),
            shares: KindShares::default(),
            upstreams: UpstreamTable::default(),
            link: None,
            layout_since: Moment::ZERO,
            told: VecDeque::new(),
            counted_at: None,
            queue: WaitQueue::default(),
            running: FastMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            finishes: 0,
            slack: SLACK,
            freed: None,
            probes: ArrivalBudget::new(),
        }
    }

    /// Sets how many upstreams arriving requests may ask, in probes a second.
    pub fn set_probe_rate(&mut self, rate: f32) {
        self.probes.set_rate(rate);
    }

    /// Which upstreams to ask for a request, within the budget; none while requests wait here
    /// already, since theirs is the next slot.
    ///
    /// Those of the own zone are asked first, and others only once all of those are asked: another
    /// zone's answer is later, and its bytes are dear. Within a zone the choice is random, as two
    /// entries that ask the same ones at the same moment would both choose the one that is idle.
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
        if question.reach == ProbeReach::OwnZone && self.has_own_zone() {
            open.retain(|(is_away, _)| !is_away);
        }
        open.shuffle(&mut self.rng);
        open.sort_by_key(|(is_away, _)| *is_away);
        let count = self.probes.take(now, question.wanted.min(open.len()));
        let targets = open.into_iter().take(count).map(|(_, index)| {
            let announcement = &self.upstreams.at(index).record.announcement;
            ProbeTarget { upstream: announcement.id.clone(), address: announcement.address }
        });
        targets.collect()
    }

    fn has_own_zone(&self) -> bool {
        self.upstreams.open().any(|slots| slots.record.announcement.zone == self.zone)
    }

    /// How long a request would take at the best of the upstreams that were asked, in usual times
    /// of an answer.
    #[must_use]
    pub fn best_cost(&self, now: Moment, readings: &[ProbeReading]) -> Option<f32> {
        let costs = readings.iter().filter_map(|reading| self.reading_cost(now, reading));
        costs.map(|found| found.cost).min_by(f32::total_cmp)
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
        let Some((UpstreamCost { cost, index, .. }, reading)) = best else {
            return self.arrive_unasked(now, local, ticket);
        };
        if self.queue.len() > 0 || !self.may_start(local) || ticket.deadline <= now {
            return self.arrive(now, ticket);
        }
        for reading in readings {
            self.note_reading(now, reading);
        }
        if self.is_kept(now, local, ticket, (index, reading), cost) {
            let slots = self.upstreams.at(index).slots();
            let queueing = expected_queueing(slots, &reading.report, self.base(local));
            let retry_after = queueing.clamp(SHORTEST_RETRY, LONGEST_RETRY);
            return vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)];
        }
        let started = self.start(now, local, index, ticket);
        if let Some(running) = self.running.get_mut(&ticket.number) {
            running.cost = Some(cost);
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
        let known = self.readings_since(now, REMEMBERED, ticket);
        let best = known
            .iter()
            .filter_map(|reading| self.reading_cost(now, reading))
            .filter(|found| found.cost <= WORTH_STARTING)
            .min_by(|a, b| a.rank().total_cmp(&b.rank()));
        if let Some(found) = best
            && self.may_start(local)
            && ticket.deadline > now
        {
            return vec![self.start(now, local, found.index, ticket)];
        }
        let retry_after = self.base(local).clamp(SHORTEST_RETRY, LONGEST_RETRY);
        vec![refusal(ticket.number, RefusalCause::PoolBusy, retry_after)]
    }

    /// Whether one of the upstreams that were asked should answer a request by its target.
    #[must_use]
    pub fn is_soon(&self, now: Moment, ticket: &RequestTicket, readings: &[ProbeReading]) -> bool {
        let (Some(local), Some(cost)) =
            (self.shares.local(ticket.kind), self.best_cost(now, readings))
        else {
            return false;
        };
        now + self.base(local).mul_f32(cost) <= ticket.target.unwrap_or(ticket.deadline)
    }

    /// Whether a request is better kept than sent to the best upstream that was found.
    ///
    /// Load it is for: many of a pool's upstreams are slowed down or full at this moment. Harm: work
    /// that starts in a spell keeps its slot for the whole factor, and work that queues comes late
    /// and makes those behind it late; so a rush of three seconds left a pool of 14 with 49
    /// requests a second unable to recover within 30 s, though it can answer over 80. Reason for
    /// the limit: a slot that is free, even beside a busy one, is below it; a spell or a queue is
    /// not, and both are over sooner than the work would be.
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

    /// Until when a request may look for an upstream that is worth starting at: past that its answer
    /// would miss its target, and its caller had better know.
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
            let slots = self.upstreams.at_mut(index);
            // One that was passed on from here is no newer than it was.
            if slots.reading.is_none_or(|(_, known)| known != reading.report) {
                slots.reading = Some((now, reading.report));
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
        if !slots.takes_work() {
            return None;
        }
        let away = if slots.record.announcement.zone == self.zone { 0.0 } else { ZONE_DISTANCE };
        let own_word = expected_cost(slots.slots(), &reading.report);
        let part = (slots.usable_part(now) / self.upstreams.usual_part()).clamp(LEAST_PART, 1.0);
        let late = if self.is_overdue(now, index) { OVERDUE_COST } else { 1.0 };
        let cost = own_word * slots.pace(now);
        Some(UpstreamCost { cost, handicap: cost * late / part - cost + away, index })
    }

    /// Puts a newer plan in force. Requests that wait move to their rows in it; one whose kind is
    /// gone is refused.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<PolicyPlan>) -> SchedulerEffects {
        let mut effects = Vec::new();
        let rows = moved_rows(&self.pool, &self.plan, &plan);
        self.plan = plan;
        let old_shares = std::mem::take(&mut self.shares);
        self.shares = KindShares::new(&self.plan, &self.pool, &old_shares);
        self.told.clear();
        let waiting = self.queue.drain();
        self.queue = WaitQueue::new(self.shares.len());
        for mut request in waiting {
            let row = rows.get(&request.ticket.kind).copied();
            let number = request.ticket.number;
            match row.and_then(|row| Some((row, self.shares.local(row)?))) {
                Some((row, local)) => {
                    request.ticket.kind = row;
                    self.queue.push(local, request);
                }
                None => effects.push(refusal(number, RefusalCause::PlanChanged, SHORTEST_RETRY)),
            }
        }
        for running in self.running.values_mut() {
            running.row = rows.get(&running.row).copied().unwrap_or(usize::MAX);
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Replaces what is known of the pool's upstreams.
    pub fn apply_upstreams(
        &mut self,
        now: Moment,
        upstreams: &[UpstreamRecord],
    ) -> SchedulerEffects {
        if self.upstreams.apply(now, upstreams) {
            self.relist(now);
        }
        let least = upstreams.iter().map(|record| &record.announcement.zone).min();
        if let Some(zone) = least
            && self.link.as_ref().is_none_or(|link| link.zone != *zone)
        {
            self.link = Some(CountLink::new(zone.clone(), now));
        }
        let mut effects = Vec::new();
        if self.upstreams.is_closed() {
            for request in self.queue.drain() {
                let number = request.ticket.number;
                effects.push(refusal(number, RefusalCause::NoUpstream, NO_UPSTREAM_RETRY));
            }
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Takes a new request; it starts, waits or is refused.
    pub fn arrive(&mut self, now: Moment, ticket: &RequestTicket) -> SchedulerEffects {
        let number = ticket.number;
        let Some(local) = self.shares.local(ticket.kind) else {
            return vec![refusal(number, RefusalCause::PlanChanged, SHORTEST_RETRY)];
        };
        if self.upstreams.is_closed() {
            return vec![refusal(number, RefusalCause::NoUpstream, NO_UPSTREAM_RETRY)];
        }
        if let Some(cause) = self.refusal_cause(now, local, ticket) {
            return vec![refusal(number, cause, self.retry_after(local))];
        }
        self.queue.push(local, WaitingRequest { ticket: ticket.clone(), arrived: now });
        let mut effects = Vec::new();
        self.dispatch(now, &mut effects);
        effects
    }

    /// Notes the end of an attempt that was started.
    pub fn finish(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> SchedulerEffects {
        let Some(running) = self.running.remove(&number) else { return Vec::new() };
        let usual_ms = self.upstreams.usual_ms();
        let slots = self.upstreams.at_mut(running.upstream);
        slots.reading = report.map(|report| (now, report)).or(slots.reading);
        slots.finish(now, outcome, now.since(running.started), usual_ms);
        if slots.takes_work() {
            self.upstreams.count(-1.0);
        }
        if let Some(local) = self.shares.local(running.row) {
            let kind = self.shares.kind_mut(local);
            kind.own = kind.own.saturating_sub(1);
            if let Some(cost) = running.cost.filter(|_| outcome == AttemptOutcome::Answered) {
                let took = now.since(running.started);
                let promised = self.base(local).as_secs_f32() * cost;
                self.upstreams
                    .at_mut(running.upstream)
                    .note_pace(now, took.as_secs_f32() / promised);
                self.note_base(local, cost, took);
            }
        }
        self.finishes = self.finishes.wrapping_add(1);
        // A failure may take the last usable upstream, and then the floor has to hold at once.
        if outcome.is_failure() || self.finishes.is_multiple_of(REFRESH_EVERY) {
            self.upstreams.refresh(now);
        }
        let mut effects = Vec::new();
        self.freed = Some(running.upstream);
        self.dispatch(now, &mut effects);
        self.freed = None;
        effects
    }

    /// Forgets a request that still waits, because its caller has left.
    pub fn cancel(&mut self, _now: Moment, number: RequestNumber) -> SchedulerEffects {
        self.queue.remove(number);
        Vec::new()
    }

    /// Does what has come due: early refusals, grown-old counts, returned slots.
    pub fn tick(&mut self, now: Moment) -> SchedulerEffects {
        let mut effects = Vec::new();
        self.expire_counts(now);
        self.refuse_late(now, &mut effects);
        self.dispatch(now, &mut effects);
        effects
    }

    /// When [`Self::tick`] is next of use, if ever.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let refuse_at = self.queue.earliest()? - self.usual();
        let expires_at = self.link.as_ref().and_then(CountLink::expires_at);
        Some(expires_at.map_or(refuse_at, |at| at.min(refuse_at)))
    }

    /// The pool it decides for.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// How many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many requests are started and not finished.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    // -----------------------------------------------------------------------------------------
    // Admitting and starting

    /// Refuses what cannot be answered in time.
    ///
    /// Under sustained overload every queue that merely waits grows until all answers are late;
    /// the callers see timeouts and the upstreams' work is thrown away. Said at once, a refusal
    /// costs the caller nothing but the trip, and it knows that nothing was run.
    fn refusal_cause(
        &self,
        now: Moment,
        local: usize,
        ticket: &RequestTicket,
    ) -> Option<RefusalCause> {
        if self.queue.len() >= QUEUE_LIMIT {
            return Some(RefusalCause::QueueFull);
        }
        let left = ticket.deadline.since(now);
        if left.is_zero() {
            return Some(RefusalCause::DeadlineTooClose);
        }
        let wait = self.expected_wait(local, ticket.deadline);
        let longest = left.mul_f32(WAIT_PART).min(left.saturating_sub(self.needed()));
        (wait > longest).then_some(RefusalCause::DeadlineTooClose)
    }

    /// How long a request would wait, by how many of its kind go before it and how fast the kind
    /// has lately started; that pace holds what priorities and shares leave it.
    fn expected_wait(&self, local: usize, deadline: Moment) -> Duration {
        self.wait_of(local, self.queue.ahead_of(local, deadline))
    }

    /// When a refused caller may usefully come back: once those who wait now have started.
    fn retry_after(&self, local: usize) -> Duration {
        self.wait_of(local, self.queue.len_of(local)).clamp(SHORTEST_RETRY, LONGEST_RETRY)
    }

    #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
    fn wait_of(&self, local: usize, ahead: usize) -> Duration {
        let wait_ms = self.shares.kind(local).start_gap_ms * ahead as f32;
        Duration::from_secs_f32(wait_ms / 1_000.0)
    }

    /// Starts what may start, best first.
    pub(crate) fn dispatch(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        while let Some((local, upstream)) = self.next_start(now) {
            let Some(waiting) = self.queue.pop(local) else { return };
            if waiting.ticket.deadline <= now {
                let number = waiting.ticket.number;
                effects.push(refusal(
                    number,
                    RefusalCause::DeadlineTooClose,
                    self.retry_after(local),
                ));
                continue;
            }
            self.note_gap(now, local, waiting.arrived);
            effects.push(self.start(now, local, upstream, &waiting.ticket));
        }
    }

    fn next_start(&mut self, now: Moment) -> Option<(usize, usize)> {
        if self.queue.len() == 0 {
            return None;
        }
        let mut order: Vec<usize> =
            (0..self.shares.len()).filter(|local| self.queue.len_of(*local) > 0).collect();
        if order.len() > 1 {
            order.sort_by_key(|local| {
                let deadline = self.queue.first(*local).map(|first| first.ticket.deadline);
                (self.shares.rank(*local), deadline)
            });
            self.raise_lowest(&mut order);
        }
        order.into_iter().find_map(|local| Some((local, self.place(now, local)?)))
    }

    /// Lets whoever has waited longest of the lower kinds go first on the floor's turns.
    fn raise_lowest(&mut self, order: &mut Vec<usize>) {
        if !self.shares.floor_turn() {
            return;
        }
        let lower = order[1..].iter().copied();
        let oldest = lower.min_by_key(|local| self.queue.first(*local).map(|w| w.arrived));
        if let Some(oldest) = oldest {
            order.retain(|local| *local != oldest);
            order.insert(0, oldest);
        }
    }

    /// Finds an upstream for a kind's next request.
    fn place(&mut self, now: Moment, local: usize) -> Option<usize> {
        if !self.may_start(local) {
            return None;
        }
        let first = self.queue.first(local)?;
        let kind = self.shares.kind(local);
        let mut choice = UpstreamChoice {
            now,
            zone: &self.zone,
            avoid: &first.ticket.avoid,
            age: self.count_age(now),
            slack: self.slack.mul_add(UPSTREAM_PART, UPSTREAM_LEAST),
            own_slack: if kind.length == WorkLength::Long { 1.0 } else { OWN_SLACK },
        };
        // The one thing known for certain is the slot that an answer has just left. While every
        // slot is in demand, filling that one keeps each upstream's load even, whatever the age
        // of the counts.
        if let Some(freed) = self.freed.take_if(|_| self.shares.is_tight())
            && self.upstreams.is_usual(&choice, freed)
        {
            return Some(freed);
        }
        let found = self.upstreams.choose(&mut self.rng, &choice);
        if found.is_some() || choice.avoid.is_empty() {
            return found;
        }
        // Where every other upstream is tried or full, a tried one beats none.
        choice.avoid = &[];
        self.upstreams.choose(&mut self.rng, &choice)
    }

    /// Whether shares, reservations and the bound on long work leave this kind a slot.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn may_start(&self, local: usize) -> bool {
        if self.shares.kind(local).priority == FIRST_PRIORITY {
            return true;
        }
        if !self.shares.has_lease(local) {
            return false;
        }
        let reserved = self.shares.reserved_from(local);
        reserved == 0
            || self.upstreams.busy() + reserved as f32 <= self.upstreams.usable_slots() * self.slack
    }

    /// Works out anew what this entry may start until the next sum.
    pub(crate) fn grant_leases(&mut self, entries: u16, interval: Duration) {
        let slots = self.upstreams.usable_slots();
        let usual_ms = self.upstreams.usual_ms().max(1.0);
        let answers = interval.as_secs_f32() * 1_000.0 / usual_ms;
        self.slack = (SLACK + SLACK_PER_ANSWER * answers).min(MOST_SLACK);
        let terms = LeaseTerms {
            slots: slots * self.slack,
            long_slots: slots * LONG_SLACK,
            entries: f32::from(entries),
        };
        let (queue, rng) = (&self.queue, &mut self.rng);
        self.shares.lease(&terms, |local| queue.len_of(local));
        self.shares.round_leases(|| rng.random());
    }

    fn start(
        &mut self,
        now: Moment,
        local: usize,
        upstream: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffect {
        self.shares.kind_mut(local).own += 1;
        self.upstreams.count(1.0);
        let slots = self.upstreams.at_mut(upstream);
        slots.start(now);
        let running = RunningRequest { upstream, row: ticket.kind, started: now, cost: None };
        self.running.insert(ticket.number, running);
        let announcement = &slots.record.announcement;
        SchedulerEffect::Start {
            number: ticket.number,
            upstream: announcement.id.clone(),
            address: announcement.address,
        }
    }

    // -----------------------------------------------------------------------------------------
    // Growing old

    /// Refuses waiting requests that can no longer be answered in time, so that their callers
    /// learn it while they can still act, and no slot is spent on an answer nobody awaits.
    fn refuse_late(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        let usual = self.usual();
        for local in 0..self.shares.len() {
            while let Some(first) = self.queue.first(local) {
                if first.ticket.deadline - usual > now {
                    break;
                }
                let number = first.ticket.number;
                self.queue.remove(number);
                effects.push(refusal(
                    number,
                    RefusalCause::DeadlineTooClose,
                    self.retry_after(local),
                ));
            }
        }
    }

    fn note_gap(&mut self, now: Moment, local: usize, arrived: Moment) {
        let kind = self.shares.kind_mut(local);
        let since = kind.last_start.map_or(arrived, |last| last.max(arrived));
        kind.last_start = Some(now);
        // One that starts as it comes says nothing about how fast a queue moves.
        if now == arrived {
            return;
        }
        let gap_ms = now.since(since).as_secs_f32() * 1_000.0;
        kind.start_gap_ms += GAP_WEIGHT * (gap_ms - kind.start_gap_ms);
    }

    /// The usual time of one answer.
    fn usual(&self) -> Duration {
        Duration::from_secs_f32(self.upstreams.usual_ms() / 1_000.0)
    }

    /// Time that must be left when a request starts.
    fn needed(&self) -> Duration {
        self.usual().mul_f32(TIMES_LEFT)
    }
}

/// What a request would cost at one upstream, in usual times of an answer.
#[derive(Clone, Copy, Debug)]
struct UpstreamCost {
    cost: f32,
    /// What speaks against it besides: another zone, failures lately. It ranks upstreams and refuses
    /// none, as a moment's waiting changes nothing about it.
    handicap: f32,
    index: usize,
}

impl UpstreamCost {
    fn rank(&self) -> f32 {
        self.cost + self.handicap
    }
}

/// Finished requests between two workings-out of what holds for the pool as a whole.
const REFRESH_EVERY: u32 = 32;

/// The new row of each of a pool's rows of the old plan that is still there.
///
/// Each pool looks at its own rows by name: compared one by one over all pools, a sheet of 4,000
/// rows held up the control thread for a second, and a leader lost its office over it.
fn moved_rows(pool: &PoolName, old: &PolicyPlan, new: &PolicyPlan) -> FastMap<usize, usize> {
    let named: FastMap<_, usize> =
        rows_of(pool, new).map(|(row, kind)| ((&kind.service, &kind.kind), row)).collect();
    rows_of(pool, old)
        .filter_map(|(row, kind)| Some((row, *named.get(&(&kind.service, &kind.kind))?)))
        .collect()
}

fn rows_of<'a>(
    pool: &'a PoolName,
    plan: &'a PolicyPlan,
) -> impl Iterator<Item = (usize, &'a KindPlan)> {
    plan.kinds.iter().enumerate().filter(move |(_, kind)| kind.pool == *pool)
}

/// The weight of one start in the smoothed time between starts.
const GAP_WEIGHT: f32 = 0.1;

fn refusal(number: RequestNumber, cause: RefusalCause, retry_after: Duration) -> SchedulerEffect {
    SchedulerEffect::Refuse { number, cause, retry_after }
}
