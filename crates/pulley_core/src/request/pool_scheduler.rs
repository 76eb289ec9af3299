//! The scheduler of one pool at one entry: which requests start, wait or are refused.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::arrival_probes::{ArrivalBudget, LastSlotCost, SlotRoom};
use super::moved_rows::moved_rows;
use super::pool_scheduler_counts::SentCounts;
use super::{
    AttemptOutcome, BusyPeriod, FIRST_PRIORITY, KindShares, LeaseTerms, LoadReport, RefusalCause,
    RequestNumber, RequestTicket, SchedulerEffect, SchedulerEffects, UpstreamChoice, UpstreamTable,
    WaitQueue, WaitingRequest,
};
use crate::process::{
    CountLink, EntryZones, FastMap, HostId, Moment, PermitAsk, PoolName, UpstreamChange,
    UpstreamRecord, ZoneName,
};
use crate::version::{IndexedPlan, WorkLength};

/// Maximum number of requests that one entry lets wait for one pool. Normally the expected wait
/// leads to refusals long before this. The bound keeps memory finite when deadlines are hours.
const QUEUE_LIMIT: usize = 4_096;

/// Outstanding requests per usable slot, over the pool, while counts are fresh.
///
/// Each entry keeps to its fraction of this while the demand exceeds it. A request that queues at
/// an upstream can no longer be overtaken by an urgent one. But with a lower limit, an upstream
/// that stale counts wrongly show as busy would stand idle.
const OVERCOMMIT: f32 = 1.5;

/// Increase of `OVERCOMMIT` per usual answer time in the interval between two rounds, and the
/// largest limit. The rarer the rounds, the more requests have ended that the counts still include.
const OVERCOMMIT_PER_ANSWER: f32 = 0.6;
const MAX_OVERCOMMIT: f32 = 10.0;

/// Maximum number of outstanding requests per usable slot of one upstream: `UPSTREAM_BASE` plus
/// `UPSTREAM_FACTOR` times the limit over the pool (`OVERCOMMIT` with its increase). When counts
/// are stale, an upstream may look idle to every entry at the same moment. Without this maximum all
/// entries would send to that upstream, and requests that queue there cannot be moved elsewhere
/// when it slows down.
const UPSTREAM_BASE: f32 = 2.0;
const UPSTREAM_FACTOR: f32 = 1.0;

/// Maximum number of outstanding requests of one entry per usable slot of an upstream; 1 for long
/// work. Requests beyond the slots only queue there. The extra half hides the network round trip to
/// the upstream. For long work that gain is not worth making shorter work queue behind it.
const OWN_OVERCOMMIT: f32 = 1.5;

/// Maximum number of outstanding long requests per usable slot, over the pool.
const LONG_OVERCOMMIT: f32 = 1.5;

/// The largest fraction of its remaining time that a request may be expected to wait.
///
/// If a queue is filled completely under overload, it holds only requests that start when their
/// time is almost over. A third of the answers then come too late, and the slots' work is wasted.
pub(super) const MAX_WAIT_PART: f32 = 0.25;

/// Number of finished requests after which the pool's sums (usable slots, outstanding requests,
/// usual answer time) are recalculated.
const REFRESH_FINISHES: u32 = 32;

/// Shortest retry delay of a refused caller.
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest retry delay of a refused caller.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Retry delay where no upstream takes work.
pub(super) const NO_UPSTREAM_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
pub(super) struct RunningRequest {
    pub(super) upstream: usize,
    pub(super) row: usize,
    pub(super) started: Moment,
    /// Expected duration in usual answer times, according to the upstream's load report.
    pub(super) cost: Option<f32>,
    /// Room that the request found there, according to the same report.
    pub(super) room: Option<SlotRoom>,
    /// Whether one more request was enough to fill the upstream.
    pub(super) was_nearly_full: bool,
}

/// One pool's scheduler at one entry.
///
/// It holds no socket and no clock. Each call passes the current time, and the returned effects are
/// the actions to carry out.
#[derive(Debug)]
pub struct PoolScheduler {
    pub(crate) pool: PoolName,
    pub(crate) host: HostId,
    pub(super) zone: ZoneName,
    plan: Arc<IndexedPlan>,
    pub(crate) shares: KindShares,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) link: Option<CountLink>,
    pub(crate) layout_since: Moment,
    pub(crate) sent: VecDeque<SentCounts>,
    pub(crate) counted_at: Option<Moment>,
    pub(crate) queue: WaitQueue,
    pub(super) running: FastMap<RequestNumber, RunningRequest>,
    pub(super) rng: SmallRng,
    finishes: u32,
    /// Limit of outstanding requests per usable slot, over the pool.
    overcommit: f32,
    /// The upstream where this entry has just seen a slot become free.
    freed: Option<usize>,
    /// Budget of the probes for arriving requests.
    pub(super) probes: ArrivalBudget,
    /// Learned slowdown of work that takes the last slot of one of the pool's upstreams.
    pub(super) last_slot_cost: LastSlotCost,
    /// How long the pool has been full.
    pub(super) busy_period: BusyPeriod,
    /// Questions for permits that are to be asked.
    pub(super) permit_asks: Vec<PermitAsk>,
    /// The request that last asked for permits.
    pub(super) asked_for: Option<RequestNumber>,
    /// When to look at the queue again, because permits may be asked for then.
    next_look_at: Option<Moment>,
}

impl PoolScheduler {
    /// Creates a scheduler without upstreams.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneName, pool: PoolName, seed: u64) -> Self {
        Self {
            pool,
            upstreams: UpstreamTable::new(host.clone()),
            host,
            zone,
            plan: Arc::default(),
            shares: KindShares::default(),
            link: None,
            layout_since: Moment::ZERO,
            sent: VecDeque::new(),
            counted_at: None,
            queue: WaitQueue::default(),
            running: FastMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            finishes: 0,
            overcommit: OVERCOMMIT,
            freed: None,
            probes: ArrivalBudget::new(),
            last_slot_cost: LastSlotCost::default(),
            busy_period: BusyPeriod::default(),
            permit_asks: Vec::new(),
            asked_for: None,
            next_look_at: None,
        }
    }

    /// Puts a newer plan in force. Waiting requests move to their rows in it. A request whose kind
    /// no longer exists is refused.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<IndexedPlan>) -> SchedulerEffects {
        let mut effects = Vec::new();
        let waiting = self.queue.drain();
        let in_use = waiting.iter().map(|request| request.ticket.kind);
        let in_use = in_use.chain(self.running.values().map(|running| running.row)).collect();
        let rows = moved_rows(&self.pool, &self.plan, &plan, &in_use);
        self.plan = plan;
        self.upstreams.set_warm_up(self.plan.warm_up(&self.pool));
        let old_shares = std::mem::take(&mut self.shares);
        self.shares = KindShares::new(&self.plan, &self.pool, &old_shares);
        self.sent.clear();
        self.queue = WaitQueue::new(self.shares.len());
        for mut request in waiting {
            let row = rows.get(&request.ticket.kind).copied();
            let number = request.ticket.number;
            match row.and_then(|row| Some((row, self.shares.index_of(row)?))) {
                Some((row, kind_index)) => {
                    request.ticket.kind = row;
                    self.queue.push(kind_index, request);
                }
                None => effects.push(refusal(number, RefusalCause::PlanChanged, MIN_RETRY_DELAY)),
            }
        }
        for running in self.running.values_mut() {
            running.row = rows.get(&running.row).copied().unwrap_or(usize::MAX);
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Sets the live entries, which share the rate that cold upstreams can handle.
    pub fn set_entries(&mut self, now: Moment, entries: &Arc<EntryZones>) {
        self.upstreams.set_entries(now, entries);
    }

    /// Replaces the list of the pool's upstreams.
    pub fn apply_upstreams(
        &mut self,
        now: Moment,
        upstreams: &[UpstreamRecord],
    ) -> SchedulerEffects {
        let changes = self.upstreams.changes_to(upstreams);
        self.apply_changes(now, &changes)
    }

    /// Applies changes of the pool's upstreams.
    pub fn apply_changes(&mut self, now: Moment, changes: &[UpstreamChange]) -> SchedulerEffects {
        if self.upstreams.apply(now, changes) {
            self.reset_layout(now);
            self.link_counts(now);
        }
        let mut effects = Vec::new();
        self.refuse_unplaceable(now, &mut effects);
        self.dispatch(now, &mut effects);
        effects
    }

    /// Starts a new request, queues it or refuses it.
    pub fn arrive(&mut self, now: Moment, ticket: &RequestTicket) -> SchedulerEffects {
        let number = ticket.number;
        let Some(kind_index) = self.shares.index_of(ticket.kind) else {
            return vec![refusal(number, RefusalCause::PlanChanged, MIN_RETRY_DELAY)];
        };
        self.upstreams.end_rests(now);
        if let Some(refused) = self.refuse_unavailable(now, ticket) {
            return vec![refused];
        }
        if let Some(cause) = self.refusal_cause(now, kind_index, ticket) {
            return vec![refusal(number, cause, self.retry_after(kind_index))];
        }
        let latest = now + ticket.deadline.since(now).mul_f32(MAX_WAIT_PART);
        if let Some(refused) = self.refuse_limited(now, number, latest) {
            return vec![refused];
        }
        self.queue.push(kind_index, WaitingRequest { ticket: ticket.clone(), arrived: now });
        let mut effects = Vec::new();
        self.dispatch(now, &mut effects);
        effects
    }

    /// Records the end of an attempt that was started.
    pub fn finish(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> SchedulerEffects {
        let Some(running) = self.running.remove(&number) else { return Vec::new() };
        self.upstreams.end_rests(now);
        let median_latency_ms = self.upstreams.median_latency_ms();
        let state = self.upstreams.at_mut(running.upstream);
        state.last_report = report.map(|report| (now, report)).or(state.last_report);
        state.finish(now, outcome, now.since(running.started), median_latency_ms);
        if state.takes_work() {
            self.upstreams.add_outstanding(-1.0);
        }
        if let Some(kind_index) = self.shares.index_of(running.row) {
            self.shares.record_finish(kind_index);
            if outcome == AttemptOutcome::Answered {
                self.record_answer(now, kind_index, &running, report);
            }
        }
        self.finishes = self.finishes.wrapping_add(1);
        // A failure may remove the last usable upstream. The floor under the usable slots must then
        // apply at once.
        let is_due = self.finishes.is_multiple_of(REFRESH_FINISHES) || self.upstreams.is_stale(now);
        if outcome.is_failure() || is_due {
            self.upstreams.refresh(now);
        }
        let mut effects = Vec::new();
        self.freed = Some(running.upstream);
        self.dispatch(now, &mut effects);
        self.freed = None;
        effects
    }

    /// Removes a waiting request, because its caller has left.
    pub fn cancel(&mut self, _now: Moment, number: RequestNumber) -> SchedulerEffects {
        self.queue.remove(number);
        Vec::new()
    }

    /// Runs the work that is due: ends of rests, early refusals, expiry of old counts and starts on
    /// freed slots.
    pub fn tick(&mut self, now: Moment) -> SchedulerEffects {
        self.upstreams.end_rests(now);
        let mut effects = Vec::new();
        self.expire_counts(now);
        self.refuse_late(now, &mut effects);
        self.dispatch(now, &mut effects);
        effects
    }

    /// Returns when [`Self::tick`] is next needed, or `None` if no request waits.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let refuse_at = self.queue.earliest()? - self.usual();
        let expires_at = self.link.as_ref().and_then(CountLink::expires_at);
        let rest_ends_at = self.upstreams.rest_ends_at();
        [expires_at, self.next_look_at, rest_ends_at, Some(refuse_at)].into_iter().flatten().min()
    }

    /// Returns the pool that it schedules.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests have started and not finished.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Joins the exchange of counts. Counts are shared under the name of the first zone that has
    /// upstreams.
    fn link_counts(&mut self, now: Moment) {
        let Some(zone) = self.upstreams.first_zone() else { return };
        if self.link.as_ref().is_none_or(|link| link.zone != *zone) {
            self.link = Some(CountLink::new(zone.clone(), now));
        }
    }

    // -----------------------------------------------------------------------------------------
    // Admitting and starting

    /// Returns the cause of a refusal for a request that cannot be answered in time.
    ///
    /// Under sustained overload a queue without admission control grows until all answers are late.
    /// The callers see timeouts and the upstreams' work is wasted. An immediate refusal costs the
    /// caller only the round trip, and the caller knows that nothing was run.
    fn refusal_cause(
        &self,
        now: Moment,
        kind_index: usize,
        ticket: &RequestTicket,
    ) -> Option<RefusalCause> {
        if self.queue.len() >= QUEUE_LIMIT {
            return Some(RefusalCause::QueueFull);
        }
        let left = ticket.deadline.since(now);
        if left.is_zero() {
            return Some(RefusalCause::DeadlineTooClose);
        }
        let wait = self.expected_wait(kind_index, ticket.deadline);
        let longest = left.mul_f32(MAX_WAIT_PART).min(left.saturating_sub(self.min_time_left()));
        (wait > longest).then_some(RefusalCause::DeadlineTooClose)
    }

    /// Starts all requests that may start, in order of precedence.
    pub(crate) fn dispatch(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        while let Some((kind_index, upstream)) = self.next_start(now) {
            let Some(waiting) = self.queue.pop(kind_index) else { return };
            if waiting.ticket.deadline <= now {
                let number = waiting.ticket.number;
                effects.push(refusal(
                    number,
                    RefusalCause::DeadlineTooClose,
                    self.retry_after(kind_index),
                ));
                continue;
            }
            self.record_start_gap(now, kind_index, waiting.arrived);
            effects.push(self.start(now, kind_index, upstream, &waiting.ticket));
        }
        self.next_look_at = None;
        if self.queue.len() > 0 {
            self.ask_for_queue(now);
            self.next_look_at = self.upstreams.next_ask_at(now);
        }
    }

    fn next_start(&mut self, now: Moment) -> Option<(usize, usize)> {
        if self.queue.len() == 0 {
            return None;
        }
        let mut order = self.queue.waiting().to_vec();
        if order.len() > 1 {
            order.sort_by_key(|kind_index| {
                let deadline = self.queue.first(*kind_index).map(|first| first.ticket.deadline);
                (self.shares.rank(*kind_index), deadline)
            });
            self.promote_oldest(&mut order);
        }
        order
            .into_iter()
            .find_map(|kind_index| Some((kind_index, self.find_upstream(now, kind_index)?)))
    }

    /// Moves the kind with the longest-waiting request among the lower ones to the front, on every
    /// `FLOOR_INTERVAL`th call.
    fn promote_oldest(&mut self, order: &mut Vec<usize>) {
        if !self.shares.advance_floor() {
            return;
        }
        let lower = order[1..].iter().copied();
        let oldest =
            lower.min_by_key(|kind_index| self.queue.first(*kind_index).map(|w| w.arrived));
        if let Some(oldest) = oldest {
            order.retain(|kind_index| *kind_index != oldest);
            order.insert(0, oldest);
        }
    }

    /// Finds an upstream for a kind's next request.
    fn find_upstream(&mut self, now: Moment, kind_index: usize) -> Option<usize> {
        if !self.may_start(kind_index) {
            return None;
        }
        let first = self.queue.first(kind_index)?;
        let kind = self.shares.kind(kind_index);
        let mut choice = UpstreamChoice {
            now,
            zone: &self.zone,
            avoid: &first.ticket.avoid,
            age: self.count_age(now),
            overcommit: self.overcommit.mul_add(UPSTREAM_FACTOR, UPSTREAM_BASE),
            own_overcommit: if kind.length == WorkLength::Long { 1.0 } else { OWN_OVERCOMMIT },
        };
        // The only certain fact is the slot that an answer has just freed. While every slot is in
        // demand, filling that one keeps each upstream's load even, whatever the age of the counts.
        if let Some(freed) = self.freed.take_if(|_| self.shares.is_tight())
            && self.upstreams.is_normally_loaded(&choice, freed)
        {
            return Some(freed);
        }
        let found = self.upstreams.choose(&mut self.rng, &choice);
        if found.is_some() || choice.avoid.is_empty() {
            return found;
        }
        // Where every other upstream has been tried or is full, one that was tried is better than
        // none.
        choice.avoid = &[];
        self.upstreams.choose(&mut self.rng, &choice)
    }

    /// Whether shares, reservations and the limit on long work leave this kind a slot.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(super) fn may_start(&self, kind_index: usize) -> bool {
        if self.shares.kind(kind_index).priority == FIRST_PRIORITY {
            return true;
        }
        if !self.shares.has_lease(kind_index) {
            return false;
        }
        let reserved = self.shares.reserved_for_others(kind_index);
        reserved == 0
            || self.upstreams.outstanding() + reserved as f32
                <= self.upstreams.usable_slots() * self.overcommit
    }

    /// Recalculates how many requests this entry may start until the next sum of counts arrives.
    pub(crate) fn grant_leases(&mut self, entries: u16, interval: Duration) {
        let slots = self.upstreams.usable_slots();
        let median_latency_ms = self.upstreams.median_latency_ms().max(1.0);
        let answers = interval.as_secs_f32() * 1_000.0 / median_latency_ms;
        self.overcommit = (OVERCOMMIT + OVERCOMMIT_PER_ANSWER * answers).min(MAX_OVERCOMMIT);
        let terms = LeaseTerms {
            slots: slots * self.overcommit,
            long_slots: slots * LONG_OVERCOMMIT,
            entries: f32::from(entries),
        };
        let (queue, rng) = (&self.queue, &mut self.rng);
        self.shares.lease(&terms, |kind_index| queue.len_of(kind_index));
        self.shares.round_leases(|| rng.random());
    }

    pub(super) fn start(
        &mut self,
        now: Moment,
        kind_index: usize,
        upstream: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffect {
        self.shares.record_start(kind_index);
        self.upstreams.add_outstanding(1.0);
        let warm_up = self.upstreams.warm_up();
        let state = self.upstreams.at_mut(upstream);
        state.start(now);
        state.cold.spend(now, warm_up);
        state.limit.spend(now);
        let running = RunningRequest {
            upstream,
            row: ticket.kind,
            started: now,
            cost: None,
            room: None,
            was_nearly_full: false,
        };
        self.running.insert(ticket.number, running);
        let announcement = &state.record.announcement;
        SchedulerEffect::Start {
            number: ticket.number,
            upstream: announcement.id.clone(),
            address: announcement.address,
            incarnation: announcement.incarnation,
        }
    }
}

pub(super) fn refusal(
    number: RequestNumber,
    cause: RefusalCause,
    retry_after: Duration,
) -> SchedulerEffect {
    SchedulerEffect::Refuse { number, cause, retry_after }
}
