//! Simulation of entries that share the limits of a pool's upstreams over a network.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    Announcement, EntryZones, Incarnation, LimitExchange, LimitOutput, PeerRing, SlotCount,
    UpstreamPhase, UpstreamRecord, UpstreamRegistry, UpstreamSequence,
};
use pulley_core::request::{
    AttemptOutcome, LimitReading, LimitSighting, LoadReport, PoolScheduler, ProbeQuery, ProbeReach,
    ProbeReading, RequestNumber, RequestTicket, SchedulerEffect,
};
use pulley_core::version::{
    AnswerSize, HostMatch, IndexedPlan, KindPlan, MethodMatch, PolicyPlan, PoolTerms,
    RequestPriority, RouteTerms, WorkLength,
};
use pulley_core::{HostId, Moment, RefusalCause, UpstreamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MILLISECOND: Duration = Duration::from_millis(1);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: u32 = 64;
const WORK: Duration = Duration::from_millis(80);
const TARGET: Duration = Duration::from_millis(400);
const PROBE_PAUSE: Duration = Duration::from_millis(30);
const PROBE_ROUNDS: u32 = 2;
/// How long a host that has seen the others takes to get the configuration from them.
const START_TIME: Duration = Duration::from_millis(20);
const PERMIT_WAIT: Duration = Duration::from_millis(80);

/// The span over which requests to a limited upstream are counted, and the time for which a limit
/// is not counted after it was first named or raised anew.
pub(crate) const COUNTED_SPAN: Duration = Duration::from_secs(4);
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns the seeds that a test runs with: one, or as many as `LIMIT_SEEDS` says.
pub(crate) fn seeds(first: u64) -> impl Iterator<Item = u64> {
    let count = std::env::var("LIMIT_SEEDS").ok().and_then(|count| count.parse().ok());
    (0..count.unwrap_or(1)).map(move |index| first + 100 * index)
}

/// Returns the largest number of requests that a limit allows within the counted span.
pub(crate) fn allowed(limit: f64) -> usize {
    (limit * COUNTED_SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

fn plan() -> Arc<IndexedPlan> {
    let kind = KindPlan {
        pool: "cover".parse().unwrap(),
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
        },
    };
    let pool = "cover".parse().unwrap();
    let pools = vec![PoolTerms { pool, probe_path: "/health".into(), warm_up: None }];
    Arc::new(PolicyPlan { kinds: vec![kind], pools, ..PolicyPlan::default() }.into())
}

fn host_name(index: usize) -> HostId {
    format!("host{index:03}").parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index).unwrap() + 1_000))
}

fn record(index: usize) -> UpstreamRecord {
    let announcement = Announcement {
        id: format!("u{index}").parse().unwrap(),
        address: ([10, 0, 1, 1], 8_000).into(),
        zone: ZONES[index % ZONES.len()].parse().unwrap(),
        pool: "cover".parse().unwrap(),
        slots: SlotCount(SLOTS),
        connections: 300,
        incarnation: Incarnation(1),
        sequence: UpstreamSequence(1),
        phase: UpstreamPhase::Ready,
    };
    UpstreamRecord { announcement, takes_work: true }
}

/// One entry with its scheduler and its part in sharing limits.
struct FleetHost {
    scheduler: PoolScheduler,
    exchange: LimitExchange,
    ring: PeerRing,
    is_up: bool,
    /// When it has got the configuration and the upstreams from other hosts, and takes callers.
    serves_from: Option<Duration>,
    starts: u32,
    /// Requests that wait for the answer to a question for permits.
    waiting: Vec<FleetRequest>,
}

/// An upstream as it really is.
#[derive(Default)]
pub(crate) struct FleetUpstream {
    /// The value of the limit that its answers name.
    limit: Option<String>,
    /// Whether its answers to probes name the limit too.
    names_in_probes: bool,
    running: u32,
    /// When each request arrived, and from which host.
    pub(crate) arrivals: Vec<(Duration, usize)>,
}

#[derive(Clone, Debug)]
struct FleetRequest {
    host: usize,
    first_sent: Duration,
    returns: u32,
    avoid: Vec<UpstreamId>,
    attempt: u8,
    has_paused: bool,
    /// The number of its last pause.
    pause: u64,
}

enum FleetEvent {
    Message {
        to: usize,
        from: usize,
        body: Bytes,
    },
    Look(FleetRequest),
    /// The end of a request's pause.
    Resume {
        host: usize,
        pause: u64,
    },
    Arrival {
        number: u64,
        upstream: usize,
        request: FleetRequest,
    },
    Answer {
        number: u64,
        upstream: usize,
        request: FleetRequest,
        sent_at: Duration,
    },
}

/// What became of the callers' requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallerOutcomes {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    /// Refusals of callers that came back when they were told to.
    pub(crate) refused_again: u32,
    pub(crate) returned: u32,
    /// The longest time for which a request was held before it was refused.
    pub(crate) longest_held: Duration,
    pub(crate) shortest_retry: Option<Duration>,
}

impl CallerOutcomes {
    /// Returns the fraction of requests that were answered in time.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

/// Entries that share one pool.
pub(crate) struct LimitFleet {
    hosts: Vec<FleetHost>,
    pub(crate) upstreams: Vec<FleetUpstream>,
    /// Supplies the time that hosts share.
    clock: UpstreamRegistry,
    random: StdRng,
    seed: u64,
    now: Duration,
    number: u64,
    pauses: u64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: std::collections::BTreeMap<u64, FleetEvent>,
    /// Pairs of hosts whose messages are lost, from the first to the second.
    cuts: BTreeSet<(usize, usize)>,
    /// The fraction of messages that are lost, and of answers that are failures.
    pub(crate) loss: f64,
    pub(crate) failures: f64,
    /// The fraction of upstreams' runs that make a call of their own to the pool.
    pub(crate) calls: f64,
    /// How often refused callers come back, at another host.
    pub(crate) max_returns: u32,
    /// The fraction of callers that connect to the first tenth of the hosts.
    pub(crate) skew: f64,
    pub(crate) outcomes: CallerOutcomes,
}

impl LimitFleet {
    pub(crate) fn new(hosts: usize, upstreams: usize, seed: u64) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            upstreams: (0..upstreams).map(|_| FleetUpstream::default()).collect(),
            clock: UpstreamRegistry::new(),
            random: StdRng::seed_from_u64(seed),
            seed,
            now: Duration::ZERO,
            number: 0,
            pauses: 0,
            events: BinaryHeap::new(),
            pending: std::collections::BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            failures: 0.0,
            calls: 0.0,
            max_returns: 0,
            skew: 0.0,
            outcomes: CallerOutcomes::default(),
        };
        fleet.hosts = (0..hosts).map(|index| fleet.start_host(index, 0)).collect();
        let all: Vec<usize> = (0..hosts).collect();
        fleet.set_view(&all, &all, 0);
        fleet
    }

    // ---------------------------------------------------------------------------------------------
    // Faults

    /// Sets the value of the limit that an upstream's answers name.
    pub(crate) fn set_limit(&mut self, upstream: usize, limit: Option<&str>) {
        self.upstreams[upstream].limit = limit.map(str::to_owned);
    }

    /// Lets an upstream's answers to probes name its limit too.
    pub(crate) fn name_in_probes(&mut self, upstream: usize) {
        self.upstreams[upstream].names_in_probes = true;
    }

    /// Sets the live hosts that some hosts see, and how many hosts they have lost.
    pub(crate) fn set_view(&mut self, who: &[usize], live: &[usize], lost: usize) {
        let named = live
            .iter()
            .map(|index| (ZONES[index % ZONES.len()].parse().unwrap(), host_name(*index)));
        let entries: Arc<EntryZones> = Arc::new(named.collect::<EntryZones>().with_lost(lost));
        let now = self.moment();
        for index in who {
            let others = live.iter().filter(|other| *other != index);
            let others = others.map(|other| (host_name(*other), address(*other))).collect();
            let host = &mut self.hosts[*index];
            if live.len() > 1 {
                host.serves_from = host.serves_from.or(Some(self.now + START_TIME));
            }
            host.ring = PeerRing::new(&host_name(*index), others);
            host.exchange.set_entries(now, &entries);
            host.scheduler.set_entries(now, &entries);
        }
    }

    /// Cuts all messages from some hosts to others.
    pub(crate) fn cut(&mut self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to)));
        self.cuts.extend(pairs);
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Kills a host and starts it again. It knows no other host until its view is set.
    pub(crate) fn restart(&mut self, index: usize) {
        let starts = self.hosts[index].starts + 1;
        self.hosts[index] = self.start_host(index, starts);
        self.set_view(&[index], &[index], 0);
    }

    /// Kills a host for good.
    pub(crate) fn kill(&mut self, index: usize) {
        self.hosts[index].is_up = false;
    }

    /// Adds a host. The others do not see it until their view is set.
    pub(crate) fn join(&mut self) -> usize {
        let index = self.hosts.len();
        let host = self.start_host(index, 0);
        self.hosts.push(host);
        self.set_view(&[index], &[index], 0);
        index
    }

    // ---------------------------------------------------------------------------------------------
    // Running

    /// Forgets what callers got and what upstreams received so far.
    pub(crate) fn reset_counts(&mut self) {
        self.outcomes = CallerOutcomes::default();
        self.upstreams.iter_mut().for_each(|upstream| upstream.arrivals.clear());
    }

    /// Lets time pass, with `per_second` callers' requests.
    pub(crate) fn run(&mut self, time: Duration, per_second: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += MILLISECOND;
            self.run_events();
            self.tick_hosts();
            let mut due = per_second / 1_000.0;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.outcomes.sent += 1;
                    let request = self.new_request();
                    self.look(&request);
                }
                due -= 1.0;
            }
        }
    }

    /// Returns the largest number of requests that an upstream got within the counted span.
    pub(crate) fn most(&self, upstream: usize) -> usize {
        self.most_from(upstream, |_| true)
    }

    /// Returns the same for the requests of some hosts.
    pub(crate) fn most_from(&self, upstream: usize, counts: impl Fn(usize) -> bool) -> usize {
        let arrivals = self.upstreams[upstream].arrivals.iter();
        let times: Vec<Duration> =
            arrivals.filter(|(_, host)| counts(*host)).map(|(at, _)| *at).collect();
        let within = |(first, start): (usize, &Duration)| {
            times[first..].iter().take_while(|at| **at < *start + COUNTED_SPAN).count()
        };
        times.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// Returns the number of questions that hosts have asked each other or themselves.
    pub(crate) fn asked(&self) -> u64 {
        self.hosts.iter().map(|host| host.exchange.counts().asked).sum()
    }

    /// Returns the number of hosts, including those that were killed.
    pub(crate) fn size(&self) -> usize {
        self.hosts.len()
    }

    fn moment(&self) -> Moment {
        Moment::ZERO + self.now
    }

    fn start_host(&self, index: usize, starts: u32) -> FleetHost {
        let zone = ZONES[index % ZONES.len()].parse().unwrap();
        let seed = self.seed + 1_000 * u64::from(starts) + index as u64;
        let mut scheduler =
            PoolScheduler::new(host_name(index), zone, "cover".parse().unwrap(), seed);
        let records: Vec<UpstreamRecord> = (0..self.upstreams.len()).map(record).collect();
        scheduler.apply_plan(self.moment(), plan());
        scheduler.apply_upstreams(self.moment(), &records);
        scheduler.set_probe_rate(1_000.0);
        FleetHost {
            scheduler,
            exchange: LimitExchange::new(self.moment(), host_name(index)),
            ring: PeerRing::default(),
            is_up: true,
            serves_from: (self.now == Duration::ZERO).then_some(Duration::ZERO),
            starts,
            waiting: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.number += 1;
        self.events.push(Reverse((self.now + after, self.number)));
        self.pending.insert(self.number, event);
    }

    fn run_events(&mut self) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            let event = self.pending.remove(&number).unwrap();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        let now = self.moment();
        match event {
            FleetEvent::Message { to, from, body } => {
                if self.hosts[to].is_up {
                    self.hosts[to].exchange.receive(now, &host_name(from), &body);
                    self.flush(to);
                }
            }
            FleetEvent::Look(request) => self.look(&request),
            FleetEvent::Resume { host, pause } => {
                let waiting = &mut self.hosts[host].waiting;
                let ended: Vec<_> = waiting.extract_if(.., |known| known.pause == pause).collect();
                for request in ended {
                    self.look(&FleetRequest { has_paused: true, ..request });
                }
            }
            FleetEvent::Arrival { number, upstream, request } => {
                let real = &mut self.upstreams[upstream];
                real.arrivals.push((self.now, request.host));
                real.running += 1;
                let sent_at = self.now.saturating_sub(MILLISECOND);
                let work = WORK.mul_f64(self.random.random_range(0.7..1.3));
                self.schedule(work, FleetEvent::Answer { number, upstream, request, sent_at });
            }
            FleetEvent::Answer { number, upstream, request, sent_at } => {
                self.upstreams[upstream].running -= 1;
                self.answer(number, upstream, request, sent_at);
            }
        }
    }

    fn tick_hosts(&mut self) {
        let now = self.moment();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.is_up && host.exchange.next_wakeup().is_some_and(|due| due <= now) {
                let ring = host.ring.clone();
                host.exchange.tick(now, &ring);
                self.flush(index);
            }
        }
    }

    /// Passes on what a host's scheduler and its exchange of limits ask for.
    fn flush(&mut self, index: usize) {
        let now = self.moment();
        loop {
            let host = &mut self.hosts[index];
            for ask in host.scheduler.take_permit_asks() {
                host.exchange.ask(now, &ask);
            }
            let outputs = host.exchange.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out(index, output);
            }
        }
    }

    fn carry_out(&mut self, index: usize, output: LimitOutput) {
        let now = self.moment();
        match output {
            LimitOutput::ToHost { to, body } => {
                let to = (0..self.hosts.len()).find(|other| host_name(*other) == to).unwrap();
                self.send(index, to, body);
            }
            LimitOutput::ToAddress { to, body } => {
                let to = (0..self.hosts.len()).find(|other| address(*other) == to).unwrap();
                self.send(index, to, body);
            }
            LimitOutput::Permits(answer) => {
                let _ = self.hosts[index].scheduler.receive_permits(now, &answer);
                for mut request in std::mem::take(&mut self.hosts[index].waiting) {
                    request.has_paused = true;
                    self.schedule(Duration::ZERO, FleetEvent::Look(request));
                }
            }
            LimitOutput::Limit { record, .. } => {
                let _ = self.hosts[index].scheduler.apply_limit(now, &record);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Bytes) {
        let is_lost = self.cuts.contains(&(from, to)) || self.random.random_bool(self.loss);
        if !is_lost {
            let delay = Duration::from_micros(self.random.random_range(300..3_000));
            self.schedule(delay, FleetEvent::Message { to, from, body });
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Requests

    fn new_request(&mut self) -> FleetRequest {
        let host = self.random_host();
        let (first_sent, avoid) = (self.now, Vec::new());
        FleetRequest {
            host,
            first_sent,
            returns: 0,
            avoid,
            attempt: 0,
            has_paused: false,
            pause: 0,
        }
    }

    fn random_host(&mut self) -> usize {
        let is_skewed = self.skew > 0.0 && self.random.random_bool(self.skew);
        let count = if is_skewed { self.hosts.len().div_ceil(10) } else { self.hosts.len() };
        loop {
            let index = self.random.random_range(0..count);
            let host = &self.hosts[index];
            let serves = host.serves_from.is_some_and(|from| from <= self.now);
            if host.is_up && serves {
                return index;
            }
        }
    }

    /// Looks for an upstream as requests do: in rounds of probes, and again after a pause.
    fn look(&mut self, request: &FleetRequest) {
        let now = self.moment();
        self.number += 1;
        let ticket = RequestTicket {
            number: RequestNumber(self.number),
            kind: 0,
            deadline: Moment::ZERO + request.first_sent + Duration::from_secs(4),
            target: Some(Moment::ZERO + request.first_sent + TARGET),
            attempt: request.attempt,
            avoid: request.avoid.clone(),
        };
        let host = request.host;
        if !self.hosts[host].is_up {
            return;
        }
        let reach = if request.has_paused { ProbeReach::EveryZone } else { ProbeReach::OwnZone };
        let (mut readings, mut probed) = (Vec::new(), Vec::new());
        for _ in 0..PROBE_ROUNDS {
            if self.hosts[host].scheduler.best_cost(now, &readings).is_some_and(|cost| cost < 1.9) {
                break;
            }
            let query = ProbeQuery { probed: &probed, wanted: 3, reach };
            for target in self.hosts[host].scheduler.probe_targets(now, &ticket, &query) {
                readings.push(self.probe(host, &target.upstream));
                probed.push(target.upstream);
            }
        }
        let latest = self.hosts[host].scheduler.placement_deadline(now, &ticket);
        let effects = self.hosts[host].scheduler.arrive_probed(now, &ticket, &readings);
        self.flush(host);
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, upstream, .. } => {
                    let upstream = place_of(&upstream);
                    let request = request.clone();
                    let event = FleetEvent::Arrival { number: number.0, upstream, request };
                    self.schedule(MILLISECOND, event);
                }
                SchedulerEffect::Refuse { cause, retry_after, .. } => {
                    let latest = match cause {
                        RefusalCause::PoolBusy => Some(latest),
                        RefusalCause::UpstreamsLimited => {
                            let limit = latest.min(Moment::ZERO + request.first_sent + PERMIT_WAIT);
                            let due = self.hosts[host].scheduler.permit_due(now);
                            due.filter(|due| *due < limit).map(|_| limit)
                        }
                        _ => None,
                    };
                    let may_wait = latest.is_some_and(|latest| now + PROBE_PAUSE < latest);
                    self.refuse(request, may_wait, retry_after);
                }
            }
        }
    }

    fn refuse(&mut self, request: &FleetRequest, may_wait: bool, retry_after: Duration) {
        if may_wait {
            // Whatever comes first: the answer to a question for permits, or the end of a pause.
            self.pauses += 1;
            let request = FleetRequest { pause: self.pauses, ..request.clone() };
            self.schedule(
                PROBE_PAUSE,
                FleetEvent::Resume { host: request.host, pause: request.pause },
            );
            self.hosts[request.host].waiting.push(request);
            return;
        }
        self.outcomes.refused += 1;
        self.outcomes.refused_again += u32::from(request.returns > 0);
        let held = self.now - request.first_sent;
        self.outcomes.longest_held = self.outcomes.longest_held.max(held);
        let shortest = self.outcomes.shortest_retry.unwrap_or(Duration::MAX).min(retry_after);
        self.outcomes.shortest_retry = Some(shortest);
        if request.returns < self.max_returns {
            self.outcomes.returned += 1;
            let host = self.random_host();
            let first_sent = self.now + retry_after;
            let returns = request.returns + 1;
            let back =
                FleetRequest { host, first_sent, returns, has_paused: false, ..request.clone() };
            self.schedule(retry_after, FleetEvent::Look(back));
        }
    }

    fn probe(&mut self, host: usize, upstream: &UpstreamId) -> ProbeReading {
        let now = self.moment();
        let real = &self.upstreams[place_of(upstream)];
        let report = LoadReport {
            utilization: 0.0,
            in_flight: Some(real.running),
            waiting: Some(0),
            slowdown: Some(1.0),
            cold_left: None,
        };
        let limit = real.limit.as_deref().filter(|_| real.names_in_probes);
        let sighting = LimitSighting { reading: reading_of(limit), sent_at: now, is_probe: true };
        self.see(host, upstream, sighting);
        ProbeReading { upstream: upstream.clone(), report }
    }

    fn answer(&mut self, number: u64, upstream: usize, request: FleetRequest, sent_at: Duration) {
        let (now, host) = (self.moment(), request.host);
        if !self.hosts[host].is_up {
            return;
        }
        let id: UpstreamId = format!("u{upstream}").parse().unwrap();
        let reading = reading_of(self.upstreams[upstream].limit.as_deref());
        let sent_at = Moment::ZERO + sent_at;
        self.see(host, &id, LimitSighting { reading, sent_at, is_probe: false });
        let has_failed = self.random.random_bool(self.failures);
        let outcome = if has_failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let _ = self.hosts[host].scheduler.finish(now, RequestNumber(number), outcome, None);
        if self.random.random_bool(self.calls) {
            let call = self.new_request();
            self.outcomes.sent += 1;
            self.schedule(MILLISECOND, FleetEvent::Look(call));
        }
        if has_failed && request.attempt == 0 {
            let mut again = FleetRequest { attempt: 1, ..request };
            again.avoid.push(id);
            self.schedule(Duration::ZERO, FleetEvent::Look(again));
        } else if !has_failed && self.now - request.first_sent <= TARGET {
            self.outcomes.in_time += 1;
        }
    }

    fn see(&mut self, host: usize, upstream: &UpstreamId, sighting: LimitSighting) {
        let now = self.moment();
        let time = self.clock.shared_time(now);
        let host_state = &mut self.hosts[host];
        if let Some(observed) = host_state.scheduler.observe_limit(now, upstream, sighting) {
            host_state.exchange.observe(now, time, observed);
            self.flush(host);
        }
    }
}

fn reading_of(limit: Option<&str>) -> LimitReading {
    match limit.map(str::parse) {
        None => LimitReading::Absent,
        Some(Ok(rate)) => LimitReading::Named(rate),
        Some(Err(_)) => LimitReading::Unreadable,
    }
}

fn place_of(upstream: &UpstreamId) -> usize {
    upstream.as_str()[1..].parse().unwrap()
}
