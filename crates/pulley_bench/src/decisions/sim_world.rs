//! State of one simulated run: callers, upstreams, the network between them, and virtual time.

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

/// Virtual time before the measurement starts.
pub(crate) const WARM_UP: Duration = Duration::from_secs(3);

/// Header bytes of a datagram: 28 for IP and UDP, and 28 for the daemon's frame with the sender's
/// name and tag.
pub(crate) const DATAGRAM_OVERHEAD: usize = 56;

/// Delay after the measured time starts until some connections fall silent.
const SILENCE_DELAY: Duration = Duration::from_secs(2);

/// How long a connection attempt to an unreachable upstream takes to fail.
const CONNECT_FAILURE_DELAY: Duration = Duration::from_millis(20);

/// A caller's request, with all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct SimCall {
    pub(crate) pool: usize,
    pub(crate) kind: usize,
    /// The entry that schedules the call.
    pub(crate) entry: usize,
    /// Delay added to the latency after the answer has reached `entry`. For a forwarded call, this
    /// is the delay back to the entry that the caller is connected to.
    pub(crate) extra_delay: Duration,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// Service time at an upstream of nominal speed.
    pub(crate) nominal_time: Duration,
    pub(crate) upstream: usize,
    pub(crate) attempt: u8,
    pub(crate) avoid: Vec<UpstreamId>,
}

/// A timer set by a policy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PolicyTimer {
    /// Ticks a scheduler.
    SchedulerTick { entry: usize, pool: usize },
    /// Sends a scheduler's count reports.
    SendDeltas { entry: usize, pool: usize },
    /// Ticks a coordinator.
    CoordinatorTick { index: usize },
    /// Delivers the answer to a probe.
    Probed { index: usize, upstream: usize },
    /// Delivers a forwarded call to its owner.
    DeliverForwarded { call: usize, owner: usize },
}

/// A control message between two hosts.
#[derive(Clone, Debug)]
pub(crate) enum MessageBody {
    Delta(Box<CountReport>),
    Sum(Box<CountSum>),
    LeaseRequest { call: usize },
    LeaseGrant { call: usize, upstream: usize },
    LeaseReturn { upstream: usize },
}

/// A scheduled change of the simulated system, or of what its hosts know, as the scenario requires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Incident {
    /// The scenario's fault occurs.
    Begin,
    /// The hosts have detected the fault.
    Detected,
    /// The fault ends.
    End,
    /// The hosts have detected that the fault has ended.
    EndDetected,
    /// The upstreams slowed by noisy neighbours are drawn again.
    Noise,
}

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Arrive { pool: usize },
    ArriveAtUpstream { call: usize },
    FinishAtUpstream { call: usize },
    ReturnToEntry { call: usize, outcome: AttemptOutcome },
    Timer(PolicyTimer),
    Deliver { from: usize, to: usize, body: MessageBody },
    Incident(Incident),
}

/// State of one simulated run.
#[derive(Debug)]
pub(crate) struct SimWorld {
    pub(crate) deployment: DeploymentSpec,
    pub(crate) scenario: LoadScenario,
    pub(crate) now: Moment,
    pub(crate) events: EventQueue<SimEvent>,
    pub(crate) rng: SmallRng,
    /// Draws the arrivals and calls. It is separate from `rng` so that every policy gets the same
    /// calls.
    callers: SmallRng,
    pub(crate) calls: Vec<SimCall>,
    pub(crate) upstreams: Vec<UpstreamModel>,
    pub(crate) first_upstreams: Vec<usize>,
    pub(crate) alive: Vec<bool>,
    /// Whether the other hosts have detected that a host is lost.
    pub(crate) loss_detected: Vec<bool>,
    /// Whether zone 0 is partitioned from the other zones.
    pub(crate) zone_cut: bool,
    /// Whether the hosts have detected the partition.
    pub(crate) zone_cut_detected: bool,
    /// Whether the hosts know that upstream 0 of the first pool is draining.
    pub(crate) drain_detected: bool,
    retry_budgets: Vec<RetryBudget>,
    pub(crate) figures: RunFigures,
    pub(crate) measure_start: Moment,
    pub(crate) measure_end: Moment,
}

impl SimWorld {
    pub(crate) fn new(deployment: DeploymentSpec, scenario: LoadScenario, seed: u64) -> Self {
        let figures = RunFigures::new(&deployment);
        let (mut upstreams, mut first_upstreams) = (Vec::new(), Vec::new());
        for (pool, spec) in deployment.pools.iter().enumerate() {
            first_upstreams.push(upstreams.len());
            for index in 0..spec.upstreams {
                let zone = deployment.zone_of(index);
                upstreams.push(UpstreamModel::new(pool, index, zone, spec.slots));
            }
        }
        let measure_start = Moment::ZERO + WARM_UP;
        let measure_end = measure_start + deployment.measured_time;
        let entries = deployment.entries;
        let retry_budgets = vec![RetryBudget::new(); entries * deployment.pools.len()];
        Self {
            scenario,
            now: Moment::ZERO,
            events: EventQueue::new(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            callers: SmallRng::seed_from_u64(seed),
            calls: Vec::new(),
            upstreams,
            first_upstreams,
            alive: vec![true; entries],
            loss_detected: vec![false; entries],
            zone_cut: false,
            zone_cut_detected: false,
            drain_detected: false,
            retry_budgets,
            figures,
            measure_start,
            measure_end,
            deployment,
        }
    }

    // -----------------------------------------------------------------------------------------
    // Queries and actions of the policies

    /// Sends a call from its entry to an upstream.
    pub(crate) fn send_call(&mut self, call: usize, upstream: usize) {
        let entry_zone = self.deployment.zone_of(self.calls[call].entry);
        let zone = self.upstreams[upstream].zone;
        self.calls[call].upstream = upstream;
        if self.is_cut(entry_zone, zone) {
            let at = self.now + CONNECT_FAILURE_DELAY;
            let outcome = AttemptOutcome::Unreachable;
            self.events.schedule(at, SimEvent::ReturnToEntry { call, outcome });
            return;
        }
        let at = self.now + self.deployment.one_way_delay(entry_zone, zone);
        self.events.schedule(at, SimEvent::ArriveAtUpstream { call });
    }

    /// Records the refusal of a call that was not run.
    pub(crate) fn refuse(&mut self, call: usize) {
        let call = &self.calls[call];
        if self.is_measured(call.arrived) {
            let figures = &mut self.figures.pools[call.pool];
            figures.refused += 1;
            figures.first_refused += u64::from(call.kind == 0);
        }
    }

    /// Sends a control message. It is lost if the path is partitioned or silent.
    pub(crate) fn send_message(&mut self, from: usize, to: usize, body: MessageBody) {
        let bytes = body.encoded_len() + DATAGRAM_OVERHEAD;
        if self.now >= self.measure_start && self.now < self.measure_end && from != to {
            self.figures.sent[from] += bytes as u64;
            self.figures.received[to] += bytes as u64;
        }
        let (a, b) = (self.deployment.zone_of(from), self.deployment.zone_of(to));
        if self.is_cut(a, b) || self.is_path_silent(from, to) {
            return;
        }
        let delay = if from == to { Duration::ZERO } else { self.deployment.one_way_delay(a, b) };
        // A datagram waits for a varying time until the receiver's control thread handles it.
        let jitter = Duration::from_micros(self.rng.random_range(20..200));
        self.events.schedule(self.now + delay + jitter, SimEvent::Deliver { from, to, body });
    }

    /// Returns a pool's upstreams that take work, as known in a zone.
    pub(crate) fn available_upstreams(&self, pool: usize, from_zone: usize) -> Vec<usize> {
        let first = self.first_upstreams[pool];
        let all = first..first + self.deployment.pools[pool].upstreams;
        all.filter(|upstream| self.takes_work(*upstream, from_zone)).collect()
    }

    /// Returns the records of a pool's upstreams, as known in a zone.
    pub(crate) fn upstream_records(
        &self,
        pool: usize,
        from_zone: usize,
    ) -> Result<Vec<UpstreamRecord>> {
        let mut records = Vec::new();
        for index in 0..self.deployment.pools[pool].upstreams {
            let mut record = self.deployment.upstream_record(pool, index)?;
            let upstream = self.first_upstreams[pool] + index;
            record.takes_work = self.takes_work(upstream, from_zone);
            if let UpstreamMode::Cold(_) = self.upstreams[upstream].mode {
                record.announcement.phase = UpstreamPhase::Warming;
                record.announcement.incarnation.0 = 2;
            }
            records.push(record);
        }
        Ok(records)
    }

    /// Whether `viewer` considers `other` alive.
    pub(crate) fn sees_alive(&self, viewer: usize, other: usize) -> bool {
        let (a, b) = (self.deployment.zone_of(viewer), self.deployment.zone_of(other));
        let zone_cut = self.zone_cut_detected && a != b && (a == 0 || b == 0);
        !self.loss_detected[other] && !zone_cut
    }

    /// Returns the index of the upstream that listens on this port.
    pub(crate) fn upstream_by_port(&self, port: u16) -> usize {
        let port = usize::from(port) - 1_000;
        self.first_upstreams[port / 1_000] + port % 1_000
    }

    fn takes_work(&self, upstream: usize, from_zone: usize) -> bool {
        let zone = self.upstreams[upstream].zone;
        let zone_cut = self.zone_cut_detected && zone != from_zone && (zone == 0 || from_zone == 0);
        let drains = self.drain_detected && upstream == 0;
        !zone_cut && !drains
    }

    /// Whether the network silently drops everything sent from one host to another, as a middlebox
    /// does that has lost its connection state. This hits one direction in twenty, permanently from
    /// `SILENCE_DELAY` on.
    fn is_path_silent(&self, from: usize, to: usize) -> bool {
        let started = self.now >= self.measure_start + SILENCE_DELAY;
        self.scenario == LoadScenario::SilentConnections
            && started
            && (from * 7 + to * 13).is_multiple_of(20)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.zone_cut && a != b && (a == 0 || b == 0)
    }

    fn is_measured(&self, arrived: Moment) -> bool {
        arrived >= self.measure_start && arrived < self.measure_end
    }

    // -----------------------------------------------------------------------------------------
    // Events of callers and upstreams

    /// Draws the calls that arrive now, and schedules the next arrival.
    pub(crate) fn draw_arrivals(&mut self, pool: usize) -> Vec<usize> {
        let spec = &self.deployment.pools[pool];
        let burst = self.scenario.burst();
        let rate = self.scenario.load() * spec.total_slots() / spec.mean_service_s();
        #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
        let gap = Exp::new(rate / burst as f64).expect("rates are positive");
        let wait = Duration::from_secs_f64(gap.sample(&mut self.callers));
        if self.now + wait < self.measure_end {
            self.events.schedule(self.now + wait, SimEvent::Arrive { pool });
        }
        (0..burst).map(|_| self.draw_call(pool)).collect()
    }

    fn draw_call(&mut self, pool: usize) -> usize {
        let entry = self.draw_entry();
        let mut pick: f64 = self.callers.random();
        let kinds = &self.deployment.pools[pool].kinds;
        let mut kind = 0;
        while kind + 1 < kinds.len() && pick >= kinds[kind].call_fraction {
            pick -= kinds[kind].call_fraction;
            kind += 1;
        }
        // Log-normal with a coefficient of variation of 1, as the design assumes.
        let sigma = std::f64::consts::LN_2.sqrt();
        let mu = (kinds[kind].mean_ms / 1_000.0).ln() - sigma * sigma / 2.0;
        let distribution = LogNormal::new(mu, sigma).expect("sigma is finite");
        let nominal_time =
            Duration::from_secs_f64(distribution.sample(&mut self.callers).min(30.0));
        let deadline = self.now + Duration::from_millis(kinds[kind].deadline_ms);
        if self.is_measured(self.now) {
            self.figures.pools[pool].offered[kind] += nominal_time.as_secs_f64();
        }
        self.calls.push(SimCall {
            pool,
            kind,
            entry,
            extra_delay: Duration::ZERO,
            arrived: self.now,
            deadline,
            nominal_time,
            upstream: usize::MAX,
            attempt: 0,
            avoid: Vec::new(),
        });
        let index = entry * self.deployment.pools.len() + pool;
        self.retry_budgets[index].record_request();
        self.calls.len() - 1
    }

    fn draw_entry(&mut self) -> usize {
        let entries = self.deployment.entries;
        loop {
            let skewed = self.scenario.is_skewed() && self.callers.random::<f64>() < 0.8;
            let candidate_count = if skewed { entries / 5 } else { entries };
            let entry = self.callers.random_range(0..candidate_count);
            // The platform's load balancer skips a lost host as soon as connections to it fail.
            if self.alive[entry] {
                return entry;
            }
        }
    }

    pub(crate) fn arrive_at_upstream(&mut self, call: usize) {
        let upstream = self.calls[call].upstream;
        if self.upstreams[upstream].busy >= self.upstreams[upstream].slots {
            self.upstreams[upstream].queue.push_back(call);
        } else {
            self.start_work(call);
        }
    }

    /// Starts a call in a free slot of its upstream.
    pub(crate) fn start_work(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.calls[call].upstream];
        upstream.busy += 1;
        let at = self.now + upstream.service_time(self.now, self.calls[call].nominal_time);
        self.events.schedule(at, SimEvent::FinishAtUpstream { call });
    }

    /// Ends a call at its upstream and sends the answer to the call's entry.
    pub(crate) fn finish_at_upstream(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.calls[call].upstream];
        upstream.busy -= 1;
        let succeeds = upstream.succeeds();
        let zone = upstream.zone;
        if let Some(next) = upstream.queue.pop_front() {
            self.start_work(next);
        }
        let entry_zone = self.deployment.zone_of(self.calls[call].entry);
        let outcome = match (succeeds, self.is_cut(entry_zone, zone)) {
            (_, true) => AttemptOutcome::Broken,
            (true, _) => AttemptOutcome::Answered,
            (false, _) => AttemptOutcome::Failed,
        };
        let at = self.now + self.deployment.one_way_delay(entry_zone, zone);
        self.events.schedule(at, SimEvent::ReturnToEntry { call, outcome });
    }

    /// Records the outcome of an attempt at the call's entry. Returns whether the call is retried.
    pub(crate) fn record_outcome(&mut self, number: usize, outcome: AttemptOutcome) -> bool {
        if outcome == AttemptOutcome::Answered {
            self.record_answer(number);
            return false;
        }
        let call = &self.calls[number];
        let index = call.entry * self.deployment.pools.len() + call.pool;
        let inputs = RetryInputs {
            most_attempts: 3,
            outcome,
            verdict: RequestVerdict::MayHaveRun,
            idempotent: true,
            attempt: call.attempt,
            retried_downstream: false,
            time_left: call.deadline.since(self.now),
            min_time: Duration::from_millis(20),
        };
        let retry = self.retry_budgets[index].decide(&inputs) == RetryDecision::Retry;
        if retry {
            let upstream = call.upstream - self.first_upstreams[call.pool];
            let record = self.deployment.upstream_record(call.pool, upstream);
            let call = &mut self.calls[number];
            call.attempt += 1;
            call.avoid.extend(record.map(|record| record.announcement.id));
        } else if self.is_measured(call.arrived) {
            self.figures.pools[call.pool].failed += 1;
        }
        retry
    }

    fn record_answer(&mut self, number: usize) {
        let call = &self.calls[number];
        let at = self.now + call.extra_delay;
        let whole = at.since(call.arrived);
        if !self.is_measured(call.arrived) {
            return;
        }
        let added = whole.saturating_sub(call.nominal_time + self.deployment.same_zone_delay * 2);
        let in_time = at <= call.deadline;
        let figures = &mut self.figures.pools[call.pool];
        figures.record(whole, added, call.kind == 0);
        if in_time {
            figures.served[call.kind] += call.nominal_time.as_secs_f64();
        } else {
            figures.deadline_missed += 1;
        }
    }
}

impl MessageBody {
    fn encoded_len(&self) -> usize {
        match self {
            Self::Delta(report) => report.encode().map_or(0, |bytes| bytes.len()),
            Self::Sum(sum) => sum.encode().map_or(0, |bytes| bytes.len()),
            Self::LeaseRequest { .. } => 24,
            Self::LeaseGrant { .. } => 20,
            Self::LeaseReturn { .. } => 12,
        }
    }
}
