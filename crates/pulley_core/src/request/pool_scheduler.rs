//! Decides, for one pool at one entry, who starts, who waits and who is refused.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    AttemptOutcome, KindShares, LoadReport, RefusalCause, RequestNumber, RequestTicket,
    SchedulerEffect, SchedulerEffects, UpstreamChoice, UpstreamTable, WaitQueue, WaitingRequest,
};
use crate::process::{
    CountDelta, CountLink, CountSum, FastMap, HostId, Moment, PoolName, UpstreamRecord, ZoneName,
};
use crate::version::{PolicyPlan, WorkLength};

/// Requests that one entry lets wait for one pool. The expected wait refuses long before this on
/// any ordinary day; the bound keeps memory finite when deadlines are hours.
const QUEUE_LIMIT: usize = 4_096;

/// Requests outstanding for each usable slot while counts are fresh: what waits at an upstream
/// can no longer be overtaken by an urgent request, and what is not there leaves the slot idle
/// for a turnaround.
const SLACK: f32 = 1.5;

/// Long work may hold this part of a pool's slots, so that a short urgent read always finds one.
const LONG_PART: f32 = 0.4;

/// How soon a refused caller may come back, at least.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// How long a refused caller is asked to stay away, at most.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// When to come back where no upstream takes work.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Upstream rows added to each delta though unchanged, in turn, to mend lost datagrams.
const REFRESHED_ROWS: usize = 2;

/// Upstream rows in one delta at most.
const ROWS_PER_DELTA: usize = 64;

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    upstream: usize,
    row: usize,
    started: Moment,
}

/// One pool's scheduler at one entry.
///
/// It holds no socket and no clock: each call says what time it is, and the returned effects say
/// what to do.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: PoolName,
    zone: ZoneName,
    plan: Arc<PolicyPlan>,
    shares: KindShares,
    upstreams: UpstreamTable,
    links: Vec<CountLink>,
    queue: WaitQueue,
    running: FastMap<RequestNumber, RunningRequest>,
    rng: SmallRng,
    generation: u32,
    refreshed: usize,
    /// Smoothed time between starts from the queue, in milliseconds.
    start_gap_ms: f32,
    last_start: Option<Moment>,
}

impl PoolScheduler {
    /// Makes a scheduler that knows no upstream yet. The seed must differ from one start of the
    /// process to the next: it also tells the coordinators a new start from the old one.
    #[must_use]
    pub fn new(_host: HostId, zone: ZoneName, pool: PoolName, seed: u64) -> Self {
        let [a, b, c, d, ..] =
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).to_le_bytes();
        Self {
            pool,
            zone,
            plan: Arc::default(),
            shares: KindShares::default(),
            upstreams: UpstreamTable::default(),
            links: Vec::new(),
            queue: WaitQueue::default(),
            running: FastMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            generation: u32::from_le_bytes([a, b, c, d]),
            refreshed: 0,
            start_gap_ms: 0.0,
            last_start: None,
        }
    }

    /// Puts a newer plan in force. Requests that wait move to their rows in it; one whose kind is
    /// gone is refused.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<PolicyPlan>) -> SchedulerEffects {
        let mut effects = Vec::new();
        let old_plan = std::mem::replace(&mut self.plan, plan);
        let old_shares = std::mem::take(&mut self.shares);
        self.shares = KindShares::new(&self.plan, &self.pool, &old_shares);
        let waiting = self.queue.drain();
        self.queue = WaitQueue::new(self.shares.len());
        for mut request in waiting {
            let row = old_plan.kinds.get(request.ticket.kind);
            let moved = row.and_then(|old| {
                let same = |new: &crate::version::KindPlan| {
                    new.service == old.service && new.kind == old.kind && new.pool == old.pool
                };
                self.plan.kinds.iter().position(same)
            });
            let local = moved.and_then(|row| self.shares.local(row));
            match (moved, local) {
                (Some(row), Some(local)) => {
                    request.ticket.kind = row;
                    self.queue.push(local, request);
                }
                _ => effects.push(refusal(
                    request.ticket.number,
                    RefusalCause::NoSuchKind,
                    SHORTEST_RETRY,
                )),
            }
        }
        let rows: FastMap<usize, usize> = old_plan
            .kinds
            .iter()
            .enumerate()
            .filter_map(|(row, old)| {
                let same = |new: &crate::version::KindPlan| {
                    new.service == old.service && new.kind == old.kind && new.pool == old.pool
                };
                Some((row, self.plan.kinds.iter().position(same)?))
            })
            .collect();
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
        let links = &mut self.links;
        self.upstreams.apply(upstreams, |zone| {
            let known = links.iter().position(|link| link.zone == *zone);
            known.unwrap_or_else(|| {
                links.push(CountLink::new(zone.clone(), now));
                links.len() - 1
            })
        });
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
            return vec![refusal(number, RefusalCause::NoSuchKind, SHORTEST_RETRY)];
        };
        if self.upstreams.is_closed() {
            return vec![refusal(number, RefusalCause::NoUpstream, NO_UPSTREAM_RETRY)];
        }
        if let Some(cause) = self.refusal_cause(now, local, ticket) {
            return vec![refusal(number, cause, self.retry_after())];
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
        let pool_latency = self.upstreams.latency_ms();
        let slots = self.upstreams.at_mut(running.upstream);
        slots.own = slots.own.saturating_sub(1);
        slots.learn(outcome, now.since(running.started), pool_latency, report);
        if let Some(local) = self.shares.local(running.row) {
            let kind = self.shares.kind_mut(local);
            kind.own = kind.own.saturating_sub(1);
        }
        let mut effects = Vec::new();
        self.dispatch(now, &mut effects);
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
        let refuse_at = self.queue.earliest()? - self.typical();
        let expiries = self.links.iter().filter_map(CountLink::expires_at);
        Some(expiries.fold(refuse_at, Moment::min))
    }

    /// Takes in the entries' counts as a coordinator has added them up.
    pub fn receive_sum(&mut self, now: Moment, sum: &CountSum) -> SchedulerEffects {
        let mut effects = Vec::new();
        if sum.pool != self.pool || sum.generation != self.generation {
            return effects;
        }
        let Some(index) = self.links.iter().position(|link| link.zone == sum.zone) else {
            return effects;
        };
        if !self.links[index].accept(now, sum) {
            return effects;
        }
        let totals: FastMap<_, _> = sum.upstreams.iter().map(|row| (row.upstream, row)).collect();
        for slots in self.upstreams.iter_mut().filter(|slots| slots.link == index) {
            if let Some(total) = totals.get(&slots.key) {
                slots.receive(total, sum.echo);
            }
        }
        self.shares.receive(&sum.kinds);
        self.dispatch(now, &mut effects);
        effects
    }

    /// The deltas that are due, each for the coordinator of the zone named with it.
    pub fn take_deltas(&mut self, now: Moment) -> Vec<(ZoneName, CountDelta)> {
        let mut deltas = Vec::new();
        for index in 0..self.links.len() {
            if self.links[index].start_delta(now) {
                self.build_deltas(index, &mut deltas);
            }
        }
        deltas
    }

    /// When [`Self::take_deltas`] next has something, if ever.
    #[must_use]
    pub fn next_delta_at(&self) -> Option<Moment> {
        self.links.iter().map(CountLink::delta_at).min()
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
        (wait > Duration::ZERO && wait + self.typical() > left)
            .then_some(RefusalCause::DeadlineTooClose)
    }

    /// How long a request would wait, by how many go before it and how fast they have lately
    /// started.
    fn expected_wait(&self, local: usize, deadline: Moment) -> Duration {
        let slots = self.pool_slots();
        let rank = self.shares.rank(local, slots);
        let mut ahead = self.queue.ahead_of(local, deadline);
        for other in (0..self.shares.len()).filter(|other| *other != local) {
            let waiting = self.queue.len_of(other);
            if waiting > 0 && self.shares.rank(other, slots) <= rank {
                ahead += waiting;
            }
        }
        if ahead == 0 {
            return Duration::ZERO;
        }
        #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
        let wait_ms = self.start_gap_ms * ahead as f32;
        Duration::from_secs_f32(wait_ms / 1_000.0)
    }

    fn retry_after(&self) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
        let wait_ms = self.start_gap_ms * self.queue.len() as f32;
        Duration::from_secs_f32(wait_ms / 1_000.0).clamp(SHORTEST_RETRY, LONGEST_RETRY)
    }

    /// Starts what may start, best first.
    fn dispatch(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        while let Some((local, upstream)) = self.next_start(now) {
            let Some(waiting) = self.queue.pop(local) else { return };
            if waiting.ticket.deadline <= now {
                let number = waiting.ticket.number;
                effects.push(refusal(number, RefusalCause::DeadlineTooClose, self.retry_after()));
                continue;
            }
            self.note_gap(now, waiting.arrived);
            effects.push(self.start(now, local, upstream, &waiting.ticket));
        }
    }

    fn next_start(&mut self, now: Moment) -> Option<(usize, usize)> {
        if self.queue.len() == 0 {
            return None;
        }
        let slots = self.pool_slots();
        let mut order: Vec<usize> =
            (0..self.shares.len()).filter(|local| self.queue.len_of(*local) > 0).collect();
        order.sort_by_key(|local| {
            let deadline = self.queue.first(*local).map(|first| first.ticket.deadline);
            (self.shares.rank(*local, slots), deadline)
        });
        if order.len() > 1 && self.shares.floor_turn() {
            let oldest = order[1..].iter().copied();
            let lowest = oldest.min_by_key(|local| self.queue.first(*local).map(|w| w.arrived));
            if let Some(lowest) = lowest {
                order.retain(|local| *local != lowest);
                order.insert(0, lowest);
            }
        }
        order.into_iter().find_map(|local| Some((local, self.place(now, local)?)))
    }

    /// Finds an upstream for a kind's next request.
    fn place(&mut self, now: Moment, local: usize) -> Option<usize> {
        let first = self.queue.first(local)?;
        if !self.may_use_slot(local) {
            return None;
        }
        let ages = self.links.iter().map(|link| link.age(now));
        let age = ages.collect::<Option<Vec<_>>>().and_then(|ages| ages.into_iter().max());
        let mut choice =
            UpstreamChoice { zone: &self.zone, avoid: &first.ticket.avoid, age, slack: SLACK };
        let found = self.upstreams.choose(&mut self.rng, &choice);
        if found.is_some() || choice.avoid.is_empty() {
            return found;
        }
        // Where every other upstream is tried or full, a tried one beats none.
        choice.avoid = &[];
        self.upstreams.choose(&mut self.rng, &choice)
    }

    /// Whether reservations and the bound on long work leave this kind a slot.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn may_use_slot(&self, local: usize) -> bool {
        let slots = self.pool_slots();
        let kind = self.shares.kind(local);
        if kind.length == WorkLength::Long && self.shares.long_running() as f32 >= slots * LONG_PART
        {
            return false;
        }
        let reserved = self.shares.reserved_from(local);
        if reserved == 0 {
            return true;
        }
        let busy: u32 = self.upstreams.open().map(super::UpstreamSlots::load).sum();
        (busy + reserved) as f32 <= slots * SLACK
    }

    fn start(
        &mut self,
        now: Moment,
        local: usize,
        upstream: usize,
        ticket: &RequestTicket,
    ) -> SchedulerEffect {
        self.shares.kind_mut(local).own += 1;
        let slots = self.upstreams.at_mut(upstream);
        slots.own += 1;
        let running = RunningRequest { upstream, row: ticket.kind, started: now };
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
        let typical = self.typical();
        for local in 0..self.shares.len() {
            while let Some(first) = self.queue.first(local) {
                if first.ticket.deadline - typical > now {
                    break;
                }
                let number = first.ticket.number;
                self.queue.remove(number);
                effects.push(refusal(number, RefusalCause::DeadlineTooClose, self.retry_after()));
            }
        }
    }

    /// Without a coordinator the other entries' counts mean nothing any more; kept, they would
    /// hold slots occupied that were freed long ago.
    fn expire_counts(&mut self, now: Moment) {
        let mut any = false;
        for link in &mut self.links {
            link.expire(now);
        }
        for slots in self.upstreams.iter_mut() {
            if self.links[slots.link].age(now).is_none() {
                slots.forget_foreign();
            } else {
                any = true;
            }
        }
        if !any {
            self.shares.forget_foreign();
        }
    }

    fn note_gap(&mut self, now: Moment, arrived: Moment) {
        let since = self.last_start.map_or(arrived, |last| last.max(arrived));
        self.last_start = Some(now);
        let gap_ms = now.since(since).as_secs_f32() * 1_000.0;
        self.start_gap_ms += GAP_WEIGHT * (gap_ms - self.start_gap_ms);
    }

    /// The usual time of one answer.
    fn typical(&self) -> Duration {
        Duration::from_secs_f32(self.upstreams.latency_ms() / 1_000.0)
    }

    fn pool_slots(&self) -> f32 {
        self.upstreams.open().map(super::UpstreamSlots::usable).sum()
    }

    fn build_deltas(&mut self, index: usize, deltas: &mut Vec<(ZoneName, CountDelta)>) {
        let link = &self.links[index];
        let sequence = link.sequence;
        let (epoch, coordinator) = link.epoch();
        let zone = link.zone.clone();
        let members = self.upstreams.iter_mut().filter(|slots| slots.link == index).count();
        let turn = self.refreshed % members.max(1);
        self.refreshed = self.refreshed.wrapping_add(REFRESHED_ROWS);
        let mut rows = Vec::new();
        let zone_slots = self.upstreams.iter_mut().filter(|slots| slots.link == index);
        for (place, slots) in zone_slots.enumerate() {
            let refresh = (place + members - turn) % members < REFRESHED_ROWS;
            rows.extend(slots.tell(sequence, refresh));
        }
        let queue = &self.queue;
        let kinds = self.shares.tell(|local| queue.len_of(local));
        let delta = CountDelta {
            pool: self.pool.clone(),
            zone: zone.clone(),
            generation: self.generation,
            sequence,
            epoch,
            coordinator,
            upstreams: Vec::new(),
            kinds,
        };
        if rows.len() <= ROWS_PER_DELTA {
            deltas.push((zone, CountDelta { upstreams: rows, ..delta }));
            return;
        }
        for part in rows.chunks(ROWS_PER_DELTA) {
            deltas.push((zone.clone(), CountDelta { upstreams: part.to_vec(), ..delta.clone() }));
        }
    }
}

/// The weight of one start in the smoothed time between starts.
const GAP_WEIGHT: f32 = 0.1;

fn refusal(number: RequestNumber, cause: RefusalCause, retry_after: Duration) -> SchedulerEffect {
    SchedulerEffect::Refuse { number, cause, retry_after }
}
