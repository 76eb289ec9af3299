//! The pool schedulers of one process, driven by its traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use pulley_core::process::{FastMap, UpstreamList, UpstreamStart};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeReading, RequestNumber, RequestTicket,
    RetryAllowance, RetryBudget, RetryDecision, RetryInputs, SchedulerEffect, SchedulerEffects,
};
use pulley_core::version::KindPlan;
use pulley_core::{HostId, IndexedPlan, Moment, PoolName, RefusalCause, ZoneName};
use tokio::sync::{Notify, oneshot};

use crate::connection::{SendGate, UpstreamTarget};
use crate::process::{ControlHandle, ProcessClock, RunningView, TimerService};

/// How long the timer task sleeps if no scheduler asks to be woken.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// `Retry-After` for a pool that is not in force.
const UNKNOWN_POOL_RETRY: Duration = Duration::from_secs(1);

/// The result of a request for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send the request to this upstream; its slot is counted until [`SchedulerSet::finish`].
    Start(UpstreamTarget),
    /// Answer at once that the request was not run.
    Refuse {
        /// The cause of the refusal.
        cause: RefusalCause,
        /// How long the caller is asked to wait before it retries.
        retry_after: Duration,
    },
}

/// One [`PoolScheduler`] per pool, each behind its own lock, and the requests queued in them.
///
/// Create it with [`SchedulerSet::new`], pass it every view with [`SchedulerSet::apply_view`], and
/// spawn [`SchedulerSet::run`] once; the task ends when it is aborted.
#[derive(Debug)]
pub struct SchedulerSet {
    host: HostId,
    zone: ZoneName,
    pub(super) clock: ProcessClock,
    seed: u64,
    /// The retry allowance that all entries share; `None` if each entry has its own budget.
    retry_allowance: Option<RetryAllowance>,
    /// Probes per upstream and second that all entries together may send for arriving requests.
    probe_rate: f32,
    /// Read by every request and changed only with the plan, so that reads write no shared memory.
    pub(super) pools: ArcSwap<FastMap<PoolName, Arc<PoolCell>>>,
    /// The channel to the control thread, which asks other hosts for permits.
    pub(super) control: Option<ControlHandle>,
    /// What upstreams have asked of this host.
    pub(super) gate: Arc<SendGate>,
    armed: AtomicU64,
    rearmed: Notify,
}

#[derive(Debug)]
pub(super) struct PoolCell {
    pub(super) state: Mutex<PoolState>,
    /// Notified when questions for permits have been answered.
    pub(super) permits_answered: Notify,
}

#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) scheduler: PoolScheduler,
    waiting: FastMap<RequestNumber, oneshot::Sender<Placement>>,
    plan: Arc<IndexedPlan>,
    upstreams: UpstreamList,
    retries: RetryBudget,
}

impl SchedulerSet {
    /// Creates a set without pools; `seed` makes its random choices repeatable.
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
            control: None,
            gate: Arc::new(SendGate::new(clock)),
            armed: AtomicU64::new(u64::MAX),
            rearmed: Notify::new(),
        }
    }

    /// Limits all entries' retries of a pool's requests to an allowance.
    #[must_use]
    pub fn with_retry_allowance(mut self, allowance: Option<RetryAllowance>) -> Self {
        self.retry_allowance = allowance;
        self
    }

    /// Sends questions for permits and news of request limits to the control thread.
    #[must_use]
    pub fn with_control(mut self, control: ControlHandle) -> Self {
        self.control = Some(control);
        self
    }

    /// Lets arriving requests probe upstreams; `rate` is the number of probes per upstream and
    /// second over all entries.
    #[must_use]
    pub fn with_arrival_probes(mut self, rate: f32) -> Self {
        self.probe_rate = rate;
        self
    }

    /// Applies a view: new pools, plans and upstreams. Unchanged parts cost only a comparison.
    pub fn apply_view(&self, view: &RunningView) {
        let now = self.clock.now();
        for pool in view.plan.pools() {
            let cell = self.cell_or_new(pool, view.sharing_entries);
            if let Some(allowance) = self.retry_allowance {
                cell.state.lock().retries.share(allowance, view.sharing_entries);
            }
            let upstreams = view.upstreams.get(pool).cloned().unwrap_or_default();
            let rate = self.probe_share(upstreams.len(), view.sharing_entries);
            {
                let mut state = cell.state.lock();
                state.scheduler.set_probe_rate(rate);
                state.scheduler.set_entries(now, &view.entries);
            }
            if let Some(effects) = cell.apply(now, &view.plan, upstreams, &self.gate) {
                self.deliver(&cell, effects);
            }
        }
        self.retire_pools(&view.plan);
    }

    /// Requests an upstream and waits in the pool's queue until one is granted or the request is
    /// refused.
    ///
    /// Dropping the future removes the request from the queue and releases a slot that was granted
    /// meanwhile.
    ///
    /// `readings` holds the load reports of the upstreams probed for this request; with `None` it
    /// is placed by counts of requests in progress.
    pub async fn place(
        &self,
        pool: &PoolName,
        ticket: &RequestTicket,
        readings: Option<&[ProbeReading]>,
    ) -> Placement {
        let Some(cell) = self.cell(pool) else {
            let cause = RefusalCause::NoUpstream;
            return Placement::Refuse { cause, retry_after: UNKNOWN_POOL_RETRY };
        };
        let (receiver, effects) = {
            let mut state = cell.state.lock();
            if ticket.attempt == 0 {
                state.retries.record_request();
            }
            let now = self.clock.now();
            let mut effects = match readings {
                None => state.scheduler.arrive(now, ticket),
                Some(readings) => state.scheduler.arrive_probed(now, ticket, readings),
            };
            self.send_asks(&mut state);
            // Most requests are decided at once and need no queue.
            if let Some(placement) = take_only_decision(&mut effects, ticket.number) {
                return placement;
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ticket.number, sender);
            (receiver, effects)
        };
        let mut waiter = QueuedRequest { set: self, cell: &cell, number: ticket.number, receiver };
        self.deliver(&cell, effects);
        waiter.wait().await
    }

    /// Returns the index of a request's kind in the plan that its pool uses now, if it has one.
    ///
    /// A request is admitted under one plan and may be retried under a later one, in which its row
    /// has another index or does not exist. Under its old index it would be counted as another
    /// kind.
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

    /// Reports how a started attempt has ended.
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

    /// Decides whether a failed attempt is retried, and charges the retry to the pool's budget.
    #[must_use]
    pub fn decide_retry(&self, pool: &PoolName, inputs: &RetryInputs) -> RetryDecision {
        match self.cell(pool) {
            Some(cell) => cell.state.lock().retries.decide(inputs),
            None => RetryBudget::new().decide(inputs),
        }
    }

    /// Returns the number of requests queued in all pools.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pools.load().values().map(|cell| cell.state.lock().scheduler.waiting()).sum()
    }

    /// Returns the number of requests started and not finished, in all pools.
    #[must_use]
    pub fn running(&self) -> usize {
        self.pools.load().values().map(|cell| cell.state.lock().scheduler.running()).sum()
    }

    /// Ticks the schedulers whenever one asks to be woken; spawn it once per process.
    pub async fn run(self: Arc<Self>, timer: TimerService) {
        let mut stops = self.gate.subscribe();
        loop {
            let rearmed = self.rearmed.notified();
            let due = self.next_wakeup().unwrap_or(self.clock.now() + IDLE_TICK);
            self.armed.store(due.micros(), Ordering::SeqCst);
            tokio::select! {
                _ = timer.at(due) => self.tick(),
                () = rearmed => {}
                Ok(()) = stops.changed() => self.apply_late_stops(),
            }
        }
    }

    /// Returns this entry's share of a pool's probe rate. It is four fifths of an equal share,
    /// because other entries may not know yet how many entries there are.
    #[expect(clippy::cast_precision_loss, reason = "hosts and upstreams are few")]
    fn probe_share(&self, upstreams: usize, entries: u32) -> f32 {
        const SAFETY_FACTOR: f32 = 0.8;
        SAFETY_FACTOR * self.probe_rate * upstreams as f32 / entries.max(1) as f32
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
            retries: self
                .retry_allowance
                .map_or_else(RetryBudget::new, |allowance| RetryBudget::within(allowance, entries)),
        };
        let cell = Arc::new(PoolCell { state: Mutex::new(state), permits_answered: Notify::new() });
        self.pools.rcu(|pools| {
            let mut pools = FastMap::clone(pools);
            pools.entry(pool.clone()).or_insert_with(|| Arc::clone(&cell));
            pools
        });
        self.cell(pool).unwrap_or(cell)
    }

    /// Drops the pools that the plan no longer names. A pool in which requests still wait is kept
    /// until a later view finds its queue empty.
    fn retire_pools(&self, plan: &IndexedPlan) {
        let is_kept = |pool: &PoolName, cell: &Arc<PoolCell>| {
            plan.contains_pool(pool) || !cell.state.lock().waiting.is_empty()
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

    /// Delivers effects to the requests that wait for them.
    ///
    /// A start whose request has meanwhile gone is cancelled; otherwise its slot would stay counted
    /// permanently. Cancelling it can start another request, hence the loop.
    pub(super) fn deliver(&self, cell: &PoolCell, mut effects: SchedulerEffects) {
        while !effects.is_empty() {
            let mut next = SchedulerEffects::new();
            for effect in effects {
                let (number, placement) = split_effect(effect);
                let started = matches!(placement, Placement::Start(_));
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
        let due = {
            let mut state = cell.state.lock();
            self.send_asks(&mut state);
            state.scheduler.next_wakeup()
        };
        let Some(due) = due else { return };
        if due.micros() < self.armed.load(Ordering::SeqCst) {
            self.armed.store(due.micros(), Ordering::SeqCst);
            self.rearmed.notify_one();
        }
    }
}

impl PoolCell {
    /// Applies a plan and upstreams; returns `None` if both are unchanged.
    fn apply(
        &self,
        now: Moment,
        plan: &Arc<IndexedPlan>,
        upstreams: UpstreamList,
        gate: &SendGate,
    ) -> Option<SchedulerEffects> {
        let mut state = self.state.lock();
        let is_same_plan = Arc::ptr_eq(&state.plan, plan);
        let is_same_list = state.upstreams.ptr_eq(&upstreams);
        if is_same_plan && is_same_list {
            return None;
        }
        let mut effects = SchedulerEffects::new();
        if !is_same_plan {
            state.plan = Arc::clone(plan);
            effects.extend(state.scheduler.apply_plan(now, Arc::clone(plan)));
        }
        if !is_same_list {
            effects.extend(state.apply_upstreams(now, upstreams, gate));
        }
        Some(effects)
    }
}

impl PoolState {
    fn apply_upstreams(
        &mut self,
        now: Moment,
        upstreams: UpstreamList,
        gate: &SendGate,
    ) -> SchedulerEffects {
        let changes = upstreams.changes_since(&self.upstreams);
        self.upstreams = upstreams;
        let mut effects = self.scheduler.apply_changes(now, &changes);
        effects.extend(self.recall_stops(now, gate, &changes));
        effects
    }
}

/// Removes and returns the only effect if it decides the request itself.
fn take_only_decision(effects: &mut SchedulerEffects, wanted: RequestNumber) -> Option<Placement> {
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
        SchedulerEffect::Start { number, upstream: id, address, incarnation } => {
            let start = UpstreamStart { id, incarnation };
            (number, Placement::Start(UpstreamTarget { start, address }))
        }
        SchedulerEffect::Refuse { number, cause, retry_after } => {
            (number, Placement::Refuse { cause, retry_after })
        }
    }
}

/// A request in a pool's queue; dropping it removes it.
struct QueuedRequest<'a> {
    set: &'a SchedulerSet,
    cell: &'a PoolCell,
    number: RequestNumber,
    receiver: oneshot::Receiver<Placement>,
}

impl QueuedRequest<'_> {
    async fn wait(&mut self) -> Placement {
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
            // The slot was granted, but the caller left before it learned of it: release the slot.
            Ok(Placement::Start(_)) => {
                self.set.finish_in(self.cell, self.number, AttemptOutcome::Cancelled, None);
            }
            Ok(Placement::Refuse { .. }) => {}
            Err(_) => self.leave_queue(),
        }
    }
}
