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
use pulley_core::request::PoolScheduler;
use pulley_core::version::{
    AnswerSize, HostMatch, IndexedPlan, KindPlan, MethodMatch, PolicyPlan, PoolTerms,
    RequestPriority, RouteTerms, WorkLength,
};
use pulley_core::{HostId, Moment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet_requests::{CallerOutcomes, FleetRequest};

pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: u32 = 64;
const WORK: Duration = Duration::from_millis(80);
pub(crate) const TARGET: Duration = Duration::from_millis(400);
/// How long a host that has seen the others takes to get the configuration from them.
const START_TIME: Duration = Duration::from_millis(20);

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

pub(crate) fn plan() -> Arc<IndexedPlan> {
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
            public: false,
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

pub(crate) fn record(index: usize) -> UpstreamRecord {
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
pub(crate) struct FleetHost {
    pub(crate) scheduler: PoolScheduler,
    pub(crate) exchange: LimitExchange,
    pub(crate) ring: PeerRing,
    pub(crate) is_up: bool,
    /// When it has got the configuration and the upstreams from other hosts, and takes callers.
    pub(crate) serves_from: Option<Duration>,
    pub(crate) starts: u32,
    /// Requests that wait for the answer to a question for permits.
    pub(crate) waiting: Vec<FleetRequest>,
}

/// An upstream as it really is.
#[derive(Default)]
pub(crate) struct FleetUpstream {
    /// The value of the limit that its answers name.
    pub(crate) limit: Option<String>,
    /// Whether its answers to probes name the limit too.
    pub(crate) names_in_probes: bool,
    pub(crate) running: u32,
    /// When each request arrived, and from which host.
    pub(crate) arrivals: Vec<(Duration, usize)>,
}

pub(crate) enum FleetEvent {
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

/// Entries that share one pool.
pub(crate) struct LimitFleet {
    pub(crate) hosts: Vec<FleetHost>,
    pub(crate) upstreams: Vec<FleetUpstream>,
    /// Supplies the time that hosts share.
    pub(crate) clock: UpstreamRegistry,
    pub(crate) random: StdRng,
    pub(crate) seed: u64,
    pub(crate) now: Duration,
    pub(crate) number: u64,
    pub(crate) pauses: u64,
    pub(crate) events: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(crate) pending: std::collections::BTreeMap<u64, FleetEvent>,
    /// Pairs of hosts whose messages are lost, from the first to the second.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
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

    pub(crate) fn moment(&self) -> Moment {
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

    pub(crate) fn schedule(&mut self, after: Duration, event: FleetEvent) {
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
    pub(crate) fn flush(&mut self, index: usize) {
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
}
