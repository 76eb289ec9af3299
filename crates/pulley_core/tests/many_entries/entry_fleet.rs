//! Simulation of hundreds of entries with one pool whose upstreams turn cold or fall silent.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    Announcement, EntryZones, FastMap, Incarnation, SlotCount, StartRate, UpstreamPhase,
    UpstreamRecord, UpstreamSequence,
};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeQuery, ProbeReach, ProbeReading, RequestNumber,
    RequestTicket, SchedulerEffect,
};
use pulley_core::version::{
    AnswerSize, HostMatch, IndexedPlan, KindPlan, MethodMatch, PolicyPlan, PoolTerms,
    RequestPriority, RouteTerms, WarmUpTerms, WorkLength,
};
use pulley_core::{Moment, UpstreamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 4;
const QUEUE: usize = 8;
const WORK_MS: f64 = 120.0;
pub(crate) const TARGET: Duration = Duration::from_millis(300);
/// Slowdown of work at a cold upstream.
const COLD_SLOWDOWN: f64 = 2.0;
pub(crate) const COLD_SPAN: Duration = Duration::from_secs(3);
/// Rate of requests that a cold upstream can handle according to the sheet, in thousandths of a
/// request per second.
const COLD_RATE: u32 = 4_300;
/// The limit agreed with the upstreams' owners for one second: one and a half times that rate, plus
/// eight requests.
pub(crate) const COLD_LIMIT: usize = 14;

pub(crate) fn warm_up() -> WarmUpTerms {
    WarmUpTerms { span: COLD_SPAN, rate: StartRate(COLD_RATE) }
}

pub(crate) fn plan(warm_up: Option<WarmUpTerms>) -> Arc<IndexedPlan> {
    let pool = "cover".parse().unwrap();
    let kind = KindPlan {
        pool,
        service: "desk".parse().unwrap(),
        kind: "check".parse().unwrap(),
        method: MethodMatch::Any,
        path_prefix: "/".into(),
        priority: RequestPriority(1),
        share: "100%".parse().unwrap(),
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(4),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: "0".parse().unwrap(),
        route: RouteTerms {
            host: HostMatch::Any,
            weight: 100,
            attempts: 2,
            answers: AnswerSize::Small,
            target: Some(TARGET),
            connections: None,
            public: false,
        },
    };
    let pools =
        vec![PoolTerms { pool: "cover".parse().unwrap(), probe_path: "/health".into(), warm_up }];
    Arc::new(PolicyPlan { kinds: vec![kind], pools, ..PolicyPlan::default() }.into())
}

pub(crate) fn record(index: usize, incarnation: u64, phase: UpstreamPhase) -> UpstreamRecord {
    let announcement = Announcement {
        id: format!("u{index}").parse().unwrap(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: ZONES[index % 3].parse().unwrap(),
        pool: "cover".parse().unwrap(),
        slots: SlotCount(SLOTS),
        connections: 300,
        incarnation: Incarnation(incarnation),
        sequence: UpstreamSequence(1),
        phase,
    };
    UpstreamRecord { announcement, takes_work: phase.takes_work() }
}

/// The actual state of an upstream, whatever entries know of it.
#[derive(Default)]
pub(crate) struct SimulatedUpstream {
    cold_until: Duration,
    /// The upstream answers no requests, and what is sent to it is lost.
    is_down: bool,
    /// Remaining work of each request, in milliseconds when it runs alone, with its entry and
    /// number.
    pub(crate) running: Vec<(f64, usize, u64)>,
    queue: VecDeque<(usize, u64)>,
    /// Arrival times of requests while it was cold.
    pub(crate) cold_arrivals: Vec<Duration>,
}

impl SimulatedUpstream {
    fn report(&self, at: Duration) -> LoadReport {
        LoadReport {
            utilization: 0.0,
            in_flight: Some(u32::try_from(self.running.len()).unwrap()),
            waiting: Some(u32::try_from(self.queue.len()).unwrap()),
            slowdown: Some(1.0),
            cold_left: Some(self.cold_until.saturating_sub(at)),
        }
    }

    /// Returns the maximum number of requests that arrived within one second while the upstream was
    /// cold.
    fn busiest_second(&self) -> usize {
        let second = Duration::from_secs(1);
        let within = |from: &Duration| {
            self.cold_arrivals.iter().filter(|at| *at >= from && **at < *from + second).count()
        };
        self.cold_arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Probe timeout, pause before a request probes again, and number of probe rounds without a pause.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);
const PROBE_PAUSE: Duration = Duration::from_millis(30);
const PROBE_ROUNDS: u32 = 2;

/// A request that looks for an upstream.
struct ProbingRequest {
    entry: usize,
    first_sent: Duration,
    /// How often its caller has come back.
    returns: u32,
    round: u32,
    is_first: bool,
    probed: Vec<UpstreamId>,
    readings: Vec<ProbeReading>,
}

/// Hundreds of entries with one pool.
pub(crate) struct EntryFleet {
    entries: Vec<PoolScheduler>,
    pub(crate) upstreams: Vec<SimulatedUpstream>,
    random: StdRng,
    now: Duration,
    number: u64,
    sent_at: FastMap<u64, Duration>,
    /// Requests that probe upstreams, by the time at which they continue.
    probing: BTreeMap<(Duration, u64), ProbingRequest>,
    /// Upstream records on their way to entries, by arrival time.
    announcements: BTreeMap<(Duration, u64), (usize, Vec<UpstreamRecord>)>,
    /// Slowdown of work while an upstream is full.
    pub(crate) full_slowdown: f64,
    /// How often refused callers come back, and whether they respect the retry delay.
    pub(crate) max_returns: u32,
    pub(crate) respects_retry_delay: bool,
    /// The time from which requests are counted.
    counted_from: Duration,
    in_time: u64,
    sent: u64,
}

impl EntryFleet {
    pub(crate) fn new(
        entries: usize,
        upstreams: usize,
        terms: Option<WarmUpTerms>,
        seed: u64,
    ) -> Self {
        let plan = plan(terms);
        let records: Vec<_> =
            (0..upstreams).map(|index| record(index, 1, UpstreamPhase::Ready)).collect();
        let entries = (0..entries).map(|index| {
            let host = format!("host{index}").parse().unwrap();
            let zone = ZONES[index % 3].parse().unwrap();
            let pool = "cover".parse().unwrap();
            let mut scheduler = PoolScheduler::new(host, zone, pool, seed + index as u64);
            scheduler.apply_plan(Moment::ZERO, Arc::clone(&plan));
            scheduler.apply_upstreams(Moment::ZERO, &records);
            scheduler.set_probe_rate(30.0);
            scheduler
        });
        let mut pool = Self {
            entries: entries.collect(),
            upstreams: (0..upstreams).map(|_| SimulatedUpstream::default()).collect(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            number: 0,
            sent_at: FastMap::default(),
            probing: BTreeMap::new(),
            announcements: BTreeMap::new(),
            full_slowdown: 1.0,
            max_returns: 0,
            respects_retry_delay: true,
            counted_from: Duration::ZERO,
            in_time: 0,
            sent: 0,
        };
        let all: Vec<usize> = (0..pool.entries.len()).collect();
        pool.set_live_entries(&all, &all);
        pool
    }

    /// Sets the list of live entries that some entries hold.
    pub(crate) fn set_live_entries(&mut self, who: &[usize], alive: &[usize]) {
        let named = alive.iter().map(|index| {
            (ZONES[index % 3].parse().unwrap(), format!("host{index}").parse().unwrap())
        });
        let alive: Arc<EntryZones> = Arc::new(named.collect());
        let now = Moment::ZERO + self.now;
        for index in who {
            self.entries[*index].set_entries(now, &alive);
        }
    }

    /// Sends records to every entry, each with its own random delay.
    pub(crate) fn announce(&mut self, records: &[UpstreamRecord], slowest_ms: u64) {
        for index in 0..self.entries.len() {
            self.number += 1;
            let delay =
                MILLISECOND * u32::try_from(self.random.random_range(0..=slowest_ms)).unwrap();
            self.announcements.insert((self.now + delay, self.number), (index, records.to_vec()));
        }
    }

    /// Turns a zone's upstreams cold. Entries learn of it only if `is_restart` is set.
    pub(crate) fn make_cold(&mut self, zone: usize, is_restart: bool) {
        let members = (0..self.upstreams.len()).filter(|index| index % 3 == zone);
        let members: Vec<usize> = members.collect();
        for index in &members {
            self.upstreams[*index] = SimulatedUpstream {
                cold_until: self.now + COLD_SPAN,
                ..SimulatedUpstream::default()
            };
        }
        if is_restart {
            let all = 0..self.upstreams.len();
            let records: Vec<_> = all
                .map(|index| match members.contains(&index) {
                    true => record(index, 2, UpstreamPhase::Warming),
                    false => record(index, 1, UpstreamPhase::Ready),
                })
                .collect();
            self.announce(&records, 300);
        }
    }

    /// Restarts the counting of requests.
    pub(crate) fn reset_counts(&mut self) {
        (self.counted_from, self.in_time, self.sent) = (self.now, 0, 0);
    }

    /// Makes a zone's upstreams vanish without notice. What they work on is lost.
    pub(crate) fn make_unreachable(&mut self, zone: usize) {
        for index in (0..self.upstreams.len()).filter(|index| index % 3 == zone) {
            self.upstreams[index] =
                SimulatedUpstream { is_down: true, ..SimulatedUpstream::default() };
        }
    }

    pub(crate) fn run(&mut self, time: Duration, per_second: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += MILLISECOND;
            self.deliver_announcements();
            self.finish_work();
            self.resume_requests();
            let mut due = per_second / 1_000.0;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    let entry = self.random.random_range(0..self.entries.len());
                    self.arrive(entry);
                }
                due -= 1.0;
            }
        }
    }

    fn deliver_announcements(&mut self) {
        while let Some(((at, number), _)) =
            self.announcements.first_key_value().map(|(k, v)| (*k, v))
        {
            if at > self.now {
                return;
            }
            let (entry, records) = self.announcements.remove(&(at, number)).unwrap();
            let now = Moment::ZERO + self.now;
            let effects = self.entries[entry].apply_upstreams(now, &records);
            self.apply_effects(entry, effects);
        }
    }

    fn finish_work(&mut self) {
        for index in 0..self.upstreams.len() {
            let is_cold = self.upstreams[index].cold_until > self.now;
            let is_full = self.upstreams[index].running.len() >= SLOTS as usize;
            let cold = if is_cold { COLD_SLOWDOWN } else { 1.0 };
            let full = if is_full { self.full_slowdown } else { 1.0 };
            let running = &mut self.upstreams[index].running;
            running.iter_mut().for_each(|(left, _, _)| *left -= 1.0 / (cold * full));
            let done: Vec<_> = running.extract_if(.., |(left, _, _)| *left <= 0.0).collect();
            for (_, entry, number) in done {
                if let Some((entry, number)) = self.upstreams[index].queue.pop_front() {
                    self.start_work(index, entry, number);
                }
                let report = self.upstreams[index].report(self.now);
                self.end(entry, number, AttemptOutcome::Answered, Some(report));
            }
        }
    }

    fn start_work(&mut self, index: usize, entry: usize, number: u64) {
        let left = WORK_MS * self.random.random_range(0.7..1.3);
        self.upstreams[index].running.push((left, entry, number));
    }

    fn end(
        &mut self,
        entry: usize,
        number: u64,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let now = Moment::ZERO + self.now;
        let sent_at = self.sent_at.remove(&number);
        let is_in_time =
            sent_at.is_some_and(|at| at >= self.counted_from && self.now - at <= TARGET);
        self.in_time += u64::from(is_in_time && outcome == AttemptOutcome::Answered);
        let effects = self.entries[entry].finish(now, RequestNumber(number), outcome, report);
        self.apply_effects(entry, effects);
    }

    fn arrive(&mut self, entry: usize) {
        self.sent += 1;
        let request = ProbingRequest {
            entry,
            first_sent: self.now,
            returns: 0,
            round: 0,
            is_first: true,
            probed: Vec::new(),
            readings: Vec::new(),
        };
        self.ask(request);
    }

    fn resume_requests(&mut self) {
        while let Some(((at, number), _)) = self.probing.first_key_value().map(|(k, _)| (*k, ())) {
            if at > self.now {
                return;
            }
            let request = self.probing.remove(&(at, number)).unwrap();
            self.ask(request);
        }
    }

    fn resume_after(&mut self, wait: Duration, request: ProbingRequest) {
        self.number += 1;
        self.probing.insert((self.now + wait, self.number), request);
    }

    fn ticket(&mut self, first_sent: Duration) -> RequestTicket {
        self.number += 1;
        RequestTicket {
            number: RequestNumber(self.number),
            kind: 0,
            deadline: Moment::ZERO + first_sent + Duration::from_secs(4),
            target: Some(Moment::ZERO + first_sent + TARGET),
            attempt: 0,
            avoid: Vec::new(),
        }
    }

    /// Probes as requests do: in rounds, each of which waits for upstreams that don't answer.
    fn ask(&mut self, mut request: ProbingRequest) {
        let now = Moment::ZERO + self.now;
        let ticket = self.ticket(request.first_sent);
        let entry = request.entry;
        let best = self.entries[entry].best_cost(now, &request.readings);
        if request.round < PROBE_ROUNDS && best.is_none_or(|cost| cost >= 1.9) {
            request.round += 1;
            let reach = if request.is_first { ProbeReach::OwnZone } else { ProbeReach::EveryZone };
            let query = ProbeQuery { probed: &request.probed, wanted: 3, reach };
            let targets = self.entries[entry].probe_targets(now, &ticket, &query);
            let mut silent = Vec::new();
            for target in targets {
                let real = &self.upstreams[place_of(&target.upstream)];
                if real.is_down {
                    silent.push(target.upstream.clone());
                } else {
                    let report = real.report(self.now);
                    request
                        .readings
                        .push(ProbeReading { upstream: target.upstream.clone(), report });
                }
                request.probed.push(target.upstream);
            }
            let has_good_reading = |fleet: &Self, request: &ProbingRequest| {
                let best = fleet.entries[entry].best_cost(now, &request.readings);
                best.is_some_and(|cost| cost < 1.9)
            };
            if !silent.is_empty() && !has_good_reading(self, &request) {
                for upstream in &silent {
                    self.entries[entry].record_probe_timeout(now + PROBE_TIMEOUT, upstream);
                }
                self.resume_after(PROBE_TIMEOUT, request);
                return;
            }
            self.ask(request);
            return;
        }
        self.place(&ticket, &request);
    }

    fn place(&mut self, ticket: &RequestTicket, request: &ProbingRequest) {
        let now = Moment::ZERO + self.now;
        let ProbingRequest { entry, first_sent, returns, .. } = *request;
        let placement_deadline = self.entries[entry].placement_deadline(now, ticket);
        let effects = self.entries[entry].arrive_probed(now, ticket, &request.readings);
        self.sent_at.insert(ticket.number.0, first_sent);
        let refused = match effects.as_slice() {
            [SchedulerEffect::Refuse { retry_after, .. }] => Some(*retry_after),
            _ => None,
        };
        self.apply_effects(entry, effects);
        let Some(retry_after) = refused else { return };
        let probe_again = |returns, is_first| {
            let (probed, readings) = (Vec::new(), Vec::new());
            ProbingRequest { entry, first_sent, returns, round: 0, is_first, probed, readings }
        };
        if now + PROBE_PAUSE < placement_deadline {
            self.resume_after(PROBE_PAUSE, probe_again(returns, false));
        } else if returns < self.max_returns {
            let wait = if self.respects_retry_delay { retry_after } else { PROBE_PAUSE };
            self.resume_after(wait, probe_again(returns + 1, true));
        }
    }

    fn apply_effects(&mut self, entry: usize, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, upstream, .. } => {
                    self.start(entry, number.0, &upstream);
                }
                SchedulerEffect::Refuse { number, .. } => {
                    self.sent_at.remove(&number.0);
                }
            }
        }
    }

    fn start(&mut self, entry: usize, number: u64, upstream: &UpstreamId) {
        let index = place_of(upstream);
        let now = self.now;
        let real = &mut self.upstreams[index];
        if real.is_down {
            return;
        }
        if real.cold_until > now {
            real.cold_arrivals.push(now);
        }
        if real.running.len() < SLOTS as usize {
            self.start_work(index, entry, number);
        } else if real.queue.len() < QUEUE {
            real.queue.push_back((entry, number));
        } else {
            self.end(entry, number, AttemptOutcome::Shed, None);
        }
    }

    pub(crate) fn busiest_second(&self) -> usize {
        self.upstreams.iter().map(SimulatedUpstream::busiest_second).max().unwrap_or(0)
    }

    pub(crate) fn in_time(&self) -> f64 {
        self.in_time as f64 / self.sent as f64
    }
}

fn place_of(upstream: &UpstreamId) -> usize {
    upstream.as_str()[1..].parse().unwrap()
}
