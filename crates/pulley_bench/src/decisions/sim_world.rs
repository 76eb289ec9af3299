//! The stand-in world of one run: callers, upstreams, ways between them, and virtual time.

use std::time::Duration;

use eyre::Result;
use pulley_core::process::{CountReport, CountSum, UpstreamPhase, UpstreamRecord};
use pulley_core::request::{
    AttemptOutcome, RequestVerdict, RetryBudget, RetryDecision, RetryInputs,
};
use pulley_core::{Moment, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use super::deployment::DeploymentSpec;
use super::event_queue::EventQueue;
use super::run_report::RunFigures;
use super::scenario::LoadScenario;
use super::upstream_model::{UpstreamMode, UpstreamModel};

/// Virtual time before figures are taken.
pub(crate) const WARM_UP: Duration = Duration::from_secs(3);

/// Headers of a datagram: IP and UDP 28, the daemon's frame with the sender's name and tag 28.
pub(crate) const DATAGRAM_OVERHEAD: usize = 56;

/// From the start of the measured time until some ways fall silent.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// How long a caller's connection attempt to an unreachable upstream takes to fail.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(20);

/// One call of a caller.
#[derive(Clone, Debug)]
pub(crate) struct SimCall {
    pub(crate) pool: usize,
    pub(crate) kind: usize,
    /// The entry that decides for it.
    pub(crate) entry: usize,
    /// Way from that entry back to the one that the caller spoke to.
    pub(crate) extra_way: Duration,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    pub(crate) size: Duration,
    pub(crate) upstream: usize,
    pub(crate) attempt: u8,
    pub(crate) avoid: Vec<UpstreamId>,
}

/// What a policy's timers stand for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PolicyTimer {
    /// A scheduler's tick.
    Tick { entry: usize, pool: usize },
    /// A scheduler's deltas.
    Delta { entry: usize, pool: usize },
    /// A coordinator's tick.
    Coordinate { place: usize },
    /// A probe's answer.
    Probed { place: usize, upstream: usize },
    /// A call arrives at the host it was forwarded to.
    Forwarded { call: usize, owner: usize },
}

/// What one host tells another.
#[derive(Clone, Debug)]
pub(crate) enum MessageBody {
    Delta(Box<CountReport>),
    Sum(Box<CountSum>),
    Ask { call: usize },
    Grant { call: usize, upstream: usize },
    Return { upstream: usize },
}

/// What happens to the deployment itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Incident {
    /// The load's sources of trouble begin.
    Begin,
    /// The hosts know of it.
    Noticed,
    /// It ends.
    End,
    /// The hosts know that it has ended.
    EndNoticed,
    /// Each upstream's speed is drawn anew.
    Noise,
}

/// Everything that can happen.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Arrive { pool: usize },
    ReachUpstream { call: usize },
    EndAtUpstream { call: usize },
    ReachEntry { call: usize, outcome: AttemptOutcome },
    Timer(PolicyTimer),
    Deliver { from: usize, to: usize, body: MessageBody },
    Incident(Incident),
}

/// The world of one run.
#[derive(Debug)]
pub(crate) struct SimWorld {
    pub(crate) deployment: DeploymentSpec,
    pub(crate) scenario: LoadScenario,
    pub(crate) now: Moment,
    pub(crate) events: EventQueue<SimEvent>,
    pub(crate) rng: SmallRng,
    /// Draws what callers do, so that every policy gets the same calls.
    callers: SmallRng,
    pub(crate) calls: Vec<SimCall>,
    pub(crate) upstreams: Vec<UpstreamModel>,
    pub(crate) first_upstream: Vec<usize>,
    pub(crate) alive: Vec<bool>,
    /// Hosts that the others know to be lost.
    pub(crate) known_lost: Vec<bool>,
    /// Zone 0 is cut off.
    pub(crate) cut: bool,
    /// The cut is known.
    pub(crate) known_cut: bool,
    /// Upstream 0 of the first pool is known to drain.
    pub(crate) known_drain: bool,
    budgets: Vec<RetryBudget>,
    pub(crate) figures: RunFigures,
    pub(crate) begin: Moment,
    pub(crate) end: Moment,
}

impl SimWorld {
    pub(crate) fn new(deployment: DeploymentSpec, scenario: LoadScenario, seed: u64) -> Self {
        let figures = RunFigures::new(&deployment);
        let (mut upstreams, mut first_upstream) = (Vec::new(), Vec::new());
        for (pool, spec) in deployment.pools.iter().enumerate() {
            first_upstream.push(upstreams.len());
            for index in 0..spec.upstreams {
                let zone = deployment.zone_of(index);
                upstreams.push(UpstreamModel::new(pool, index, zone, spec.slots));
            }
        }
        let begin = Moment::ZERO + WARM_UP;
        let end = begin + deployment.measured;
        let entries = deployment.entries;
        let budgets = vec![RetryBudget::new(); entries * deployment.pools.len()];
        Self {
            scenario,
            now: Moment::ZERO,
            events: EventQueue::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            callers: SmallRng::seed_from_u64(seed),
            calls: Vec::new(),
            upstreams,
            first_upstream,
            alive: vec![true; entries],
            known_lost: vec![false; entries],
            cut: false,
            known_cut: false,
            known_drain: false,
            budgets,
            figures,
            begin,
            end,
            deployment,
        }
    }

    // -----------------------------------------------------------------------------------------
    // What policies ask and do

    /// Sends a call from its entry to an upstream.
    pub(crate) fn send(&mut self, call: usize, upstream: usize) {
        let entry_zone = self.deployment.zone_of(self.calls[call].entry);
        let zone = self.upstreams[upstream].zone;
        self.calls[call].upstream = upstream;
        if self.is_cut(entry_zone, zone) {
            let at = self.now + UNREACHABLE_AFTER;
            let outcome = AttemptOutcome::Unreachable;
            self.events.add(at, SimEvent::ReachEntry { call, outcome });
            return;
        }
        let at = self.now + self.deployment.delay(entry_zone, zone);
        self.events.add(at, SimEvent::ReachUpstream { call });
    }

    /// Answers a call that it was not run.
    pub(crate) fn refuse(&mut self, call: usize) {
        let call = &self.calls[call];
        if self.counts(call.arrived) {
            let figures = &mut self.figures.pools[call.pool];
            figures.refused += 1;
            figures.first_refused += u64::from(call.kind == 0);
        }
    }

    /// Sends a control message, unless the way is cut.
    pub(crate) fn tell(&mut self, from: usize, to: usize, body: MessageBody) {
        let bytes = body.bytes() + DATAGRAM_OVERHEAD;
        if self.now >= self.begin && self.now < self.end && from != to {
            self.figures.sent[from] += bytes as u64;
            self.figures.received[to] += bytes as u64;
        }
        let (a, b) = (self.deployment.zone_of(from), self.deployment.zone_of(to));
        if self.is_cut(a, b) || self.is_silent(from, to) {
            return;
        }
        let way = if from == to { Duration::ZERO } else { self.deployment.delay(a, b) };
        // Datagrams wait at the receiver's control thread for a moment that varies.
        let jitter = Duration::from_micros(self.rng.random_range(20..200));
        self.events.add(self.now + way + jitter, SimEvent::Deliver { from, to, body });
    }

    /// A pool's upstreams that are known to take work, as seen from a zone.
    pub(crate) fn open(&self, pool: usize, from_zone: usize) -> Vec<usize> {
        let first = self.first_upstream[pool];
        let all = first..first + self.deployment.pools[pool].upstreams;
        all.filter(|upstream| self.takes_work(*upstream, from_zone)).collect()
    }

    /// The records of a pool's upstreams, as known in a zone.
    pub(crate) fn records(&self, pool: usize, from_zone: usize) -> Result<Vec<UpstreamRecord>> {
        let mut records = Vec::new();
        for index in 0..self.deployment.pools[pool].upstreams {
            let mut record = self.deployment.record(pool, index)?;
            let upstream = self.first_upstream[pool] + index;
            record.takes_work = self.takes_work(upstream, from_zone);
            if let UpstreamMode::Cold(_) = self.upstreams[upstream].mode {
                record.announcement.phase = UpstreamPhase::Warming;
                record.announcement.incarnation.0 = 2;
            }
            records.push(record);
        }
        Ok(records)
    }

    /// Whether a host is live in the view of another.
    pub(crate) fn sees(&self, viewer: usize, other: usize) -> bool {
        let (a, b) = (self.deployment.zone_of(viewer), self.deployment.zone_of(other));
        let cut = self.known_cut && a != b && (a == 0 || b == 0);
        !self.known_lost[other] && !cut
    }

    /// The number of an upstream in the whole deployment.
    pub(crate) fn upstream_at(&self, port: u16) -> usize {
        let port = usize::from(port) - 1_000;
        self.first_upstream[port / 1_000] + port % 1_000
    }

    fn takes_work(&self, upstream: usize, from_zone: usize) -> bool {
        let zone = self.upstreams[upstream].zone;
        let cut = self.known_cut && zone != from_zone && (zone == 0 || from_zone == 0);
        let drains = self.known_drain && upstream == 0;
        !cut && !drains
    }

    /// Whether something between two hosts has lost track of their connection: one way in twenty,
    /// from a moment on and for good.
    fn is_silent(&self, from: usize, to: usize) -> bool {
        let begun = self.now >= self.begin + SILENT_AFTER;
        self.scenario == LoadScenario::SilentConnections
            && begun
            && (from * 7 + to * 13).is_multiple_of(20)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut && a != b && (a == 0 || b == 0)
    }

    fn counts(&self, arrived: Moment) -> bool {
        arrived >= self.begin && arrived < self.end
    }

    // -----------------------------------------------------------------------------------------
    // What happens by itself

    /// Draws the calls of one arrival and when the next comes.
    pub(crate) fn arrivals(&mut self, pool: usize) -> Vec<usize> {
        let spec = &self.deployment.pools[pool];
        let burst = self.scenario.burst();
        let rate = self.scenario.load() * spec.slots_in_all() / spec.mean_s();
        #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
        let gap = Exp::new(rate / burst as f64).expect("rates are positive");
        let wait = Duration::from_secs_f64(gap.sample(&mut self.callers));
        if self.now + wait < self.end {
            self.events.add(self.now + wait, SimEvent::Arrive { pool });
        }
        (0..burst).map(|_| self.draw_call(pool)).collect()
    }

    fn draw_call(&mut self, pool: usize) -> usize {
        let entry = self.draw_entry();
        let mut pick: f64 = self.callers.random();
        let kinds = &self.deployment.pools[pool].kinds;
        let mut kind = 0;
        while kind + 1 < kinds.len() && pick >= kinds[kind].part {
            pick -= kinds[kind].part;
            kind += 1;
        }
        // Log-normal with a coefficient of variation of 1, as the sketch in the design has it.
        let sigma = std::f64::consts::LN_2.sqrt();
        let mu = (kinds[kind].mean_ms / 1_000.0).ln() - sigma * sigma / 2.0;
        let sizes = LogNormal::new(mu, sigma).expect("sigma is finite");
        let size = Duration::from_secs_f64(sizes.sample(&mut self.callers).min(30.0));
        let deadline = self.now + Duration::from_millis(kinds[kind].deadline_ms);
        if self.counts(self.now) {
            self.figures.pools[pool].offered[kind] += size.as_secs_f64();
        }
        self.calls.push(SimCall {
            pool,
            kind,
            entry,
            extra_way: Duration::ZERO,
            arrived: self.now,
            deadline,
            size,
            upstream: usize::MAX,
            attempt: 0,
            avoid: Vec::new(),
        });
        let place = entry * self.deployment.pools.len() + pool;
        self.budgets[place].record_request();
        self.calls.len() - 1
    }

    fn draw_entry(&mut self) -> usize {
        let entries = self.deployment.entries;
        loop {
            let few = self.scenario.is_skewed() && self.callers.random::<f64>() < 0.8;
            let among = if few { entries / 5 } else { entries };
            let entry = self.callers.random_range(0..among);
            // The platform's balancer skips a lost host as soon as connections to it fail.
            if self.alive[entry] {
                return entry;
            }
        }
    }

    pub(crate) fn reach_upstream(&mut self, call: usize) {
        let upstream = self.calls[call].upstream;
        if self.upstreams[upstream].busy >= self.upstreams[upstream].slots {
            self.upstreams[upstream].queue.push_back(call);
        } else {
            self.occupy(call);
        }
    }

    /// Starts a call's work in a free slot of its upstream.
    pub(crate) fn occupy(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.calls[call].upstream];
        upstream.busy += 1;
        let at = self.now + upstream.service_time(self.now, self.calls[call].size);
        self.events.add(at, SimEvent::EndAtUpstream { call });
    }

    /// Ends a call's work and sends the answer on its way.
    pub(crate) fn end_at_upstream(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.calls[call].upstream];
        upstream.busy -= 1;
        let answers = upstream.answers();
        let zone = upstream.zone;
        if let Some(next) = upstream.queue.pop_front() {
            self.occupy(next);
        }
        let entry_zone = self.deployment.zone_of(self.calls[call].entry);
        let outcome = match (answers, self.is_cut(entry_zone, zone)) {
            (_, true) => AttemptOutcome::Broken,
            (true, _) => AttemptOutcome::Answered,
            (false, _) => AttemptOutcome::Failed,
        };
        let at = self.now + self.deployment.delay(entry_zone, zone);
        self.events.add(at, SimEvent::ReachEntry { call, outcome });
    }

    /// Notes a call's outcome at its entry; true if it is to be tried again.
    pub(crate) fn conclude(&mut self, number: usize, outcome: AttemptOutcome) -> bool {
        if outcome == AttemptOutcome::Answered {
            self.note_answer(number);
            return false;
        }
        let call = &self.calls[number];
        let place = call.entry * self.deployment.pools.len() + call.pool;
        let question = RetryInputs {
            most_attempts: 3,
            outcome,
            verdict: RequestVerdict::MayHaveRun,
            idempotent: true,
            attempt: call.attempt,
            retried_downstream: false,
            time_left: call.deadline.since(self.now),
            min_time: Duration::from_millis(20),
        };
        let again = self.budgets[place].decide(&question) == RetryDecision::Retry;
        if again {
            let upstream = call.upstream - self.first_upstream[call.pool];
            let record = self.deployment.record(call.pool, upstream);
            let call = &mut self.calls[number];
            call.attempt += 1;
            call.avoid.extend(record.map(|record| record.announcement.id));
        } else if self.counts(call.arrived) {
            self.figures.pools[call.pool].failed += 1;
        }
        again
    }

    fn note_answer(&mut self, number: usize) {
        let call = &self.calls[number];
        let at = self.now + call.extra_way;
        let whole = at.since(call.arrived);
        if !self.counts(call.arrived) {
            return;
        }
        let added = whole.saturating_sub(call.size + self.deployment.near * 2);
        let in_time = at <= call.deadline;
        let figures = &mut self.figures.pools[call.pool];
        figures.note(whole, added, call.kind == 0);
        if in_time {
            figures.served[call.kind] += call.size.as_secs_f64();
        } else {
            figures.missed += 1;
        }
    }
}

impl MessageBody {
    fn bytes(&self) -> usize {
        match self {
            Self::Delta(delta) => delta.encode().map_or(0, |bytes| bytes.len()),
            Self::Sum(sum) => sum.encode().map_or(0, |bytes| bytes.len()),
            Self::Ask { .. } => 24,
            Self::Grant { .. } => 20,
            Self::Return { .. } => 12,
        }
    }
}
