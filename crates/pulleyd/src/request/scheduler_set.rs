//! The pool schedulers of one process, driven from its traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use pulley_core::process::{FastMap, Incarnation, UpstreamChange, UpstreamList, UpstreamRecord};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeReading, RequestNumber, RequestTicket,
    RetryAllowance, RetryBudget, RetryDecision, RetryQuestion, SchedulerEffect, SchedulerEffects,
};
use pulley_core::version::KindPlan;
use pulley_core::{HostId, IndexedPlan, Moment, PoolName, RefusalCause, UpstreamId, ZoneName};
use tokio::sync::{Notify, oneshot};

use crate::process::{ProcessClock, RunningView, TimerService};

/// How long the ticking task sleeps when no scheduler asks to be woken.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// How soon a caller may come back when its pool is not in force.
const UNKNOWN_POOL_RETRY: Duration = Duration::from_secs(1);

/// What became of a request that asked for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this upstream; its slot is counted until [`SchedulerSet::finish`].
    Start {
        /// Which upstream.
        upstream: UpstreamId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Answer at once that it was not run.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When the caller may usefully come back.
        retry_after: Duration,
    },
}

/// One [`PoolScheduler`] a pool, each behind its own lock, and the requests that wait in them.
///
/// Start it with [`SchedulerSet::new`], feed it every view with [`SchedulerSet::apply_view`], and
/// spawn [`SchedulerSet::run`] once; the task ends when it is aborted.
#[derive(Debug)]
pub struct SchedulerSet {
    host: HostId,
    zone: ZoneName,
    pub(super) clock: ProcessClock,
    seed: u64,
    /// What all entries together may spend on retries; none: each entry saves up its own.
    retry_allowance: Option<RetryAllowance>,
    /// Probes of one upstream a second that all entries together may make for arriving requests.
    probe_rate: f32,
    /// Read by every request and changed with the plan only, so reading writes nothing shared.
    pub(super) pools: ArcSwap<FastMap<PoolName, Arc<PoolCell>>>,
    armed: AtomicU64,
    rearmed: Notify,
}

#[derive(Debug)]
pub(super) struct PoolCell {
    pub(super) state: Mutex<PoolState>,
}

#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) scheduler: PoolScheduler,
    waiting: FastMap<RequestNumber, oneshot::Sender<Placement>>,
    plan: Arc<IndexedPlan>,
    upstreams: UpstreamList,
    /// Upstreams that said in an answer that they drain, with the start that said so.
    drained: FastMap<UpstreamId, Incarnation>,
    retries: RetryBudget,
}

impl SchedulerSet {
    /// Makes a set that knows no pool yet; `seed` makes its random choices repeatable.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneName, clock: ProcessClock, seed: u64) -> Self {
        Self {
            host,
            zone,
            clock,
            seed,
            retry_allowance: None,
            probe_rate: 0.0,
            pools: ArcSwap::default(),
            armed: AtomicU64::new(u64::MAX),
            rearmed: Notify::new(),
        }
    }

    /// Keeps all entries' retries of a pool's requests within an allowance.
    #[must_use]
    pub fn with_retry_allowance(mut self, allowance: Option<RetryAllowance>) -> Self {
        self.retry_allowance = allowance;
        self
    }

    /// Lets arriving requests ask upstreams how loaded they are, so often an upstream and second
    /// over all entries.
    #[must_use]
    pub fn with_arrival_probes(mut self, rate: f32) -> Self {
        self.probe_rate = rate;
        self
    }

    /// Takes over a view: new pools, plans and upstreams. Unchanged parts cost a comparison.
    pub fn apply_view(&self, view: &RunningView) {
        let now = self.clock.now();
        for pool in view.plan.pools() {
            let cell = self.cell_or_new(pool, view.live_entries);
            if let Some(allowance) = self.retry_allowance {
                cell.state.lock().retries.share(allowance, view.live_entries);
            }
            let upstreams = view.upstreams.get(pool).cloned().unwrap_or_default();
            let rate = self.part_of_probes(upstreams.len(), view.live_entries);
            {
                let mut state = cell.state.lock();
                state.scheduler.set_probe_rate(rate);
                state.scheduler.set_entries(now, &view.entries);
            }
            if let Some(effects) = cell.apply(now, &view.plan, upstreams) {
                self.deliver(&cell, effects);
            }
        }
        self.retire_pools(&view.plan);
    }

    /// Asks for an upstream and waits in the pool's queue until there is one or none can be had.
    ///
    /// Dropping the future takes the request out of the queue and gives back a slot that was
    /// granted meanwhile.
    ///
    /// `asked` is what upstreams have said that were asked for it; none if nobody asks.
    pub async fn place(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        asked: Option<&[ProbeReading]>,
    ) -> Placement {
        let Some(cell) = self.cell(pool) else {
            let cause = RefusalCause::NoUpstream;
            return Placement::Refuse { cause, retry_after: UNKNOWN_POOL_RETRY };
        };
        let (receiver, effects) = {
            let mut state = cell.state.lock();
            if ticket.attempt == 0 {
                state.retries.note_request();
            }
            let now = self.clock.now();
            let mut effects = match asked {
                None => state.scheduler.arrive(now, ticket),
                Some(readings) => state.scheduler.arrive_probed(now, ticket, readings),
            };
            // Most requests are decided at once and need no place to wait in.
            if let Some(placement) = take_sole(&mut effects, ticket.number) {
                return placement;
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ticket.number, sender);
            (receiver, effects)
        };
        let mut waiter = QueuedRequest { set: self, cell: &cell, number: ticket.number, receiver };
        self.deliver(&cell, effects);
        waiter.settle().await
    }

    /// The row of a request's kind in the plan that its pool goes by now, if it has one.
    ///
    /// A request is admitted under one plan and tried again under a later one, in which its row has
    /// another place or none. Taken by its old place, it would be counted as another kind.
    #[must_use]
    pub fn current_row(&self, plan: &Arc<IndexedPlan>, index: usize) -> Option<usize> {
        let row = &plan.kinds[index];
        let cell = self.cell(&row.pool)?;
        let current = Arc::clone(&cell.state.lock().plan);
        if Arc::ptr_eq(&current, plan) {
            return Some(index);
        }
        let is_same = |other: &KindPlan| other.service == row.service && other.kind == row.kind;
        let mut rows = current.rows_of(&row.pool);
        rows.find(|(_, other)| is_same(other)).map(|(place, _)| place)
    }

    /// Reports how an attempt that was started has ended.
    pub fn finish(
        &self,
        pool: &PoolName,
        number: RequestNumber,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(cell) = self.cell(pool) else { return };
        self.finish_in(&cell, number, outcome, report);
    }

    /// Gives an upstream no more new work, because it said in an answer that it drains.
    ///
    /// The announcement that says the same may take a heartbeat to come round; until then each
    /// request sent there could be cut off. A later start of the upstream takes work again.
    /// Returns whether this is news.
    pub fn observe_drain(&self, pool: &PoolName, upstream: &UpstreamId) -> bool {
        let Some(cell) = self.cell(pool) else { return false };
        let Some(effects) = cell.observe_drain(self.clock.now(), upstream) else { return false };
        self.deliver(&cell, effects);
        true
    }

    /// Decides whether a failed attempt is tried again, and pays for it from the pool's budget.
    #[must_use]
    pub fn decide_retry(&self, pool: &PoolName, question: &RetryQuestion) -> RetryDecision {
        match self.cell(pool) {
            Some(cell) => cell.state.lock().retries.decide(question),
            None => RetryBudget::new().decide(question),
        }
    }

    /// Requests that wait in all pools' queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pools.load().values().map(|cell| cell.state.lock().scheduler.waiting()).sum()
    }

    /// Requests that are started and not finished, in all pools.
    #[must_use]
    pub fn running(&self) -> usize {
        self.pools.load().values().map(|cell| cell.state.lock().scheduler.running()).sum()
    }

    /// Ticks the schedulers whenever one asks to be woken; spawn it once a process.
    pub async fn run(self: Arc<Self>, timer: TimerService) {
        loop {
            let rearmed = self.rearmed.notified();
            let due = self.next_wakeup().unwrap_or(self.clock.now() + IDLE_TICK);
            self.armed.store(due.micros(), Ordering::SeqCst);
            tokio::select! {
                _ = timer.at(due) => self.tick(),
                () = rearmed => {}
            }
        }
    }

    /// This entry's part of the probes that a pool's upstreams are to bear: four fifths of what is
    /// due to it, since others may not know yet how many they are.
    #[expect(clippy::cast_precision_loss, reason = "hosts and upstreams are few")]
    fn part_of_probes(&self, upstreams: usize, entries: u32) -> f32 {
        const KNOWN_PART: f32 = 0.8;
        KNOWN_PART * self.probe_rate * upstreams as f32 / entries.max(1) as f32
    }

    fn tick(&self) {
        let cells: Vec<_> = self.pools.load().values().cloned().collect();
        for cell in cells {
            let effects = cell.state.lock().scheduler.tick(self.clock.now());
            self.deliver(&cell, effects);
        }
    }

    fn next_wakeup(&self) -> Option<Moment> {
        let cells: Vec<_> = self.pools.load().values().cloned().collect();
        cells.iter().filter_map(|cell| cell.state.lock().scheduler.next_wakeup()).min()
    }

    pub(super) fn cell(&self, pool: &PoolName) -> Option<Arc<PoolCell>> {
        self.pools.load().get(pool).cloned()
    }

    fn cell_or_new(&self, pool: &PoolName, entries: u32) -> Arc<PoolCell> {
        if let Some(cell) = self.cell(pool) {
            return cell;
        }
        let (host, zone) = (self.host.clone(), self.zone.clone());
        let scheduler = PoolScheduler::new(host, zone, pool.clone(), self.seed);
        let state = PoolState {
            scheduler,
            waiting: FastMap::default(),
            plan: Arc::default(),
            upstreams: UpstreamList::default(),
            drained: FastMap::default(),
            retries: self
                .retry_allowance
                .map_or_else(RetryBudget::new, |allowance| RetryBudget::within(allowance, entries)),
        };
        let cell = Arc::new(PoolCell { state: Mutex::new(state) });
        self.pools.rcu(|pools| {
            let mut pools = FastMap::clone(pools);
            pools.entry(pool.clone()).or_insert_with(|| Arc::clone(&cell));
            pools
        });
        self.cell(pool).unwrap_or(cell)
    }

    /// Drops pools that the plan no longer names, once nothing waits in them.
    fn retire_pools(&self, plan: &IndexedPlan) {
        let is_kept = |pool: &PoolName, cell: &Arc<PoolCell>| {
            plan.names_pool(pool) || !cell.state.lock().waiting.is_empty()
        };
        if self.pools.load().iter().all(|(pool, cell)| is_kept(pool, cell)) {
            return;
        }
        self.pools.rcu(|pools| {
            let mut pools = FastMap::clone(pools);
            pools.retain(|pool, cell| is_kept(pool, cell));
            pools
        });
    }

    fn finish_in(
        &self,
        cell: &PoolCell,
        number: RequestNumber,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let effects = cell.state.lock().scheduler.finish(self.clock.now(), number, outcome, report);
        self.deliver(cell, effects);
    }

    /// Hands effects to those who wait for them.
    ///
    /// A start whose request has meanwhile gone is given back, as its slot would otherwise stay
    /// counted for good; giving it back can start another request, hence the loop.
    pub(super) fn deliver(&self, cell: &PoolCell, mut effects: SchedulerEffects) {
        while !effects.is_empty() {
            let mut next = SchedulerEffects::new();
            for effect in effects {
                let (number, placement) = split_effect(effect);
                let started = matches!(placement, Placement::Start { .. });
                let mut state = cell.state.lock();
                let waiter = state.waiting.remove(&number);
                let taken = waiter.is_some_and(|waiter| waiter.send(placement).is_ok());
                if started && !taken {
                    let now = self.clock.now();
                    let outcome = AttemptOutcome::Cancelled;
                    next.extend(state.scheduler.finish(now, number, outcome, None));
                }
            }
            effects = next;
        }
        self.rearm(cell);
    }

    fn rearm(&self, cell: &PoolCell) {
        let Some(due) = cell.state.lock().scheduler.next_wakeup() else { return };
        if due.micros() < self.armed.load(Ordering::SeqCst) {
            self.armed.store(due.micros(), Ordering::SeqCst);
            self.rearmed.notify_one();
        }
    }
}

impl PoolCell {
    /// Takes over a plan and upstreams; nothing if both are those it has.
    fn apply(
        &self,
        now: Moment,
        plan: &Arc<IndexedPlan>,
        upstreams: UpstreamList,
    ) -> Option<SchedulerEffects> {
        let mut state = self.state.lock();
        let is_same_plan = Arc::ptr_eq(&state.plan, plan);
        let is_same_list = state.upstreams.is_same(&upstreams);
        if is_same_plan && is_same_list {
            return None;
        }
        let mut effects = SchedulerEffects::new();
        if !is_same_plan {
            state.plan = Arc::clone(plan);
            effects.extend(state.scheduler.apply_plan(now, Arc::clone(plan)));
        }
        if !is_same_list {
            effects.extend(state.apply_upstreams(now, upstreams));
        }
        Some(effects)
    }

    fn observe_drain(&self, now: Moment, upstream: &UpstreamId) -> Option<SchedulerEffects> {
        let mut state = self.state.lock();
        let record = Arc::clone(state.upstreams.find(upstream)?);
        let incarnation = record.announcement.incarnation;
        let before = state.drained.insert(upstream.clone(), incarnation);
        if before == Some(incarnation) {
            return None;
        }
        let change = state.as_drained(UpstreamChange::Put(record));
        Some(state.scheduler.apply_changes(now, &[change]))
    }
}

impl PoolState {
    fn apply_upstreams(&mut self, now: Moment, upstreams: UpstreamList) -> SchedulerEffects {
        let changes = upstreams.changes_since(&self.upstreams);
        self.upstreams = upstreams;
        let known = &self.upstreams;
        self.drained.retain(|id, _| known.find(id).is_some());
        let changes: Vec<UpstreamChange> =
            changes.into_iter().map(|change| self.as_drained(change)).collect();
        self.scheduler.apply_changes(now, &changes)
    }

    /// What the scheduler is to know of a change, if the upstream said itself that it drains.
    fn as_drained(&self, change: UpstreamChange) -> UpstreamChange {
        let UpstreamChange::Put(record) = &change else { return change };
        let drained = self.drained.get(&record.announcement.id);
        if drained.is_none_or(|start| record.announcement.incarnation > *start) {
            return change;
        }
        let record = UpstreamRecord { takes_work: false, ..UpstreamRecord::clone(record) };
        UpstreamChange::Put(Arc::new(record))
    }
}

/// Takes the only effect out if it decides the request itself.
fn take_sole(effects: &mut SchedulerEffects, wanted: RequestNumber) -> Option<Placement> {
    let [SchedulerEffect::Start { number, .. } | SchedulerEffect::Refuse { number, .. }] =
        effects.as_slice()
    else {
        return None;
    };
    if *number != wanted {
        return None;
    }
    effects.pop().map(|effect| split_effect(effect).1)
}

fn split_effect(effect: SchedulerEffect) -> (RequestNumber, Placement) {
    match effect {
        SchedulerEffect::Start { number, upstream, address } => {
            (number, Placement::Start { upstream, address })
        }
        SchedulerEffect::Refuse { number, cause, retry_after } => {
            (number, Placement::Refuse { cause, retry_after })
        }
    }
}

/// A request in a pool's queue; dropping it takes it out again.
struct QueuedRequest<'a> {
    set: &'a SchedulerSet,
    cell: &'a PoolCell,
    number: RequestNumber,
    receiver: oneshot::Receiver<Placement>,
}

impl QueuedRequest<'_> {
    async fn settle(&mut self) -> Placement {
        let lost = Placement::Refuse { cause: RefusalCause::NotReady, retry_after: IDLE_TICK };
        (&mut self.receiver).await.unwrap_or(lost)
    }

    fn leave_queue(&self) {
        let effects = {
            let mut state = self.cell.state.lock();
            if state.waiting.remove(&self.number).is_none() {
                return;
            }
            state.scheduler.cancel(self.set.clock.now(), self.number)
        };
        self.set.deliver(self.cell, effects);
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        match self.receiver.try_recv() {
            // Granted, but the caller left before it heard: the slot must go back.
            Ok(Placement::Start { .. }) => {
                self.set.finish_in(self.cell, self.number, AttemptOutcome::Cancelled, None);
            }
            Ok(Placement::Refuse { .. }) => {}
            Err(_) => self.leave_queue(),
        }
    }
}
