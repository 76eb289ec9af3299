//! Simulation of hosts that share what they know of contents, over a network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    ContentDigest, ContentHead, ContentKey, ContentReport, ContentStanding, EntryZones, FastMap,
    Incarnation, PeerRing, QuarantineExchange, QuarantineOutput, RunResult, SharedTime,
    StartEvidence, SuspectRecord, TrialAsk, TrialNumber, UnansweredRun, UpstreamRegistry,
    UpstreamStart,
};
use pulley_core::request::{ContentDecision, ContentTable, SuspectState, SuspectStates};
use pulley_core::{HostId, Moment, PoolName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);

/// The attempts that a host makes, the times that a caller repeats, and its pause before that.
const HOST_ATTEMPTS: u32 = 3;
const CALLER_REPEATS: u32 = 2;
const REPEAT_PAUSE: Duration = Duration::from_millis(30);

/// How long a request waits for its turn.
const TURN_WAIT: Duration = Duration::from_millis(500);

pub(crate) fn key(number: u8) -> ContentKey {
    key_in("cover", number)
}

pub(crate) fn key_in(pool: &str, number: u8) -> ContentKey {
    ContentKey { pool: pool.parse().unwrap(), digest: digest(&[number; 32]) }
}

pub(crate) fn digest(tag: &[u8; 32]) -> ContentDigest {
    ContentDigest::new(ContentHead::from_tag(tag), tag)
}

/// How a host finds out that an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndSign {
    /// Its machine refuses connections.
    Refusal,
    /// Its connection breaks, and a later start is announced a while after.
    Restart(Duration),
    /// It says nothing until the deadline, and a later start is announced a while after it ended.
    Silence(Duration),
    /// The caller leaves before it ends, and its connection is seen to break.
    CallerLeft,
}

/// The deadline of requests that end their upstreams silently.
const DEADLINE: Duration = Duration::from_millis(400);

/// How long a caller waits that leaves before its upstream ends.
const CALLER_PATIENCE: Duration = Duration::from_millis(60);
const WORK_AFTER_LEAVING: Duration = Duration::from_millis(60);

pub(crate) fn host_name(index: usize) -> HostId {
    format!("host{index:04}").parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index).unwrap() + 1_000))
}

/// What a request with a content does to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Ends,
    Works,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) key: ContentKey,
    host: usize,
    attempts: u32,
    repeats: u32,
    waits_until: Option<Duration>,
}

#[derive(Clone, Debug)]
enum Event {
    Message {
        to: usize,
        from: usize,
        body: Bytes,
    },
    Look(Request),
    RunEnd {
        request: Request,
        trial: Option<TrialNumber>,
        result: RunResult,
    },
    /// A run whose caller has left ends its upstream.
    LateEnd {
        request: Request,
        trial: Option<TrialNumber>,
        result: RunResult,
    },
}

pub(crate) struct FleetHost {
    pub(crate) exchange: QuarantineExchange,
    pub(crate) table: ContentTable,
    ring: PeerRing,
    pub(crate) is_up: bool,
    pub(crate) sent_bytes: usize,
}

/// Hosts that share one pool.
pub(crate) struct ContentFleet {
    pub(crate) hosts: Vec<FleetHost>,
    clock: UpstreamRegistry,
    random: StdRng,
    pub(crate) now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    /// Pairs of hosts whose messages are lost, from the first to the second.
    cuts: BTreeSet<(usize, usize)>,
    /// The fraction of messages that are lost.
    pub(crate) loss: f64,
    pub(crate) effect: Effect,
    pub(crate) work: Duration,
    pub(crate) sign: EndSign,
    /// A pool whose upstreams answer every content.
    pub(crate) sound_pool: Option<PoolName>,
    /// The pools that rows are split over; none if they are not.
    pub(crate) row_pools: Vec<PoolName>,
    /// The time that messages take, at least and at most.
    pub(crate) delay: (Duration, Duration),
    /// The time for which hosts don't run in every 200 ms.
    pub(crate) stopped: Duration,
    /// When later starts are announced, and where.
    restarts: FastMap<UpstreamStart, Duration>,
    /// When each run began.
    pub(crate) runs: Vec<Duration>,
    /// When each upstream ended under a request.
    pub(crate) ends: Vec<Duration>,
    pub(crate) served: usize,
    pub(crate) refused: usize,
}

impl ContentFleet {
    pub(crate) fn new(hosts: usize, effect: Effect) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            clock: UpstreamRegistry::new(),
            random: StdRng::seed_from_u64(hosts as u64),
            now: Duration::from_secs(1),
            events: BTreeMap::new(),
            number: 0,
            cuts: BTreeSet::new(),
            loss: 0.0,
            effect,
            work: Duration::from_millis(5),
            sign: EndSign::Refusal,
            sound_pool: None,
            row_pools: Vec::new(),
            delay: (Duration::from_micros(300), Duration::from_micros(1_500)),
            stopped: Duration::ZERO,
            restarts: FastMap::default(),
            runs: Vec::new(),
            ends: Vec::new(),
            served: 0,
            refused: 0,
        };
        fleet.hosts = (0..hosts).map(|index| fleet.new_host(index)).collect();
        let all: Vec<usize> = (0..hosts).collect();
        fleet.set_view(&all, &all);
        fleet.run(Duration::from_secs(1));
        fleet
    }

    fn new_host(&self, index: usize) -> FleetHost {
        FleetHost {
            exchange: QuarantineExchange::new(self.moment(), host_name(index)),
            table: ContentTable::default(),
            ring: PeerRing::default(),
            is_up: true,
            sent_bytes: 0,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Faults

    /// Sets the live hosts that some hosts see.
    pub(crate) fn set_view(&mut self, who: &[usize], live: &[usize]) {
        let zone = |index: &usize| format!("z{}", index % 4).parse().unwrap();
        let entries = live.iter().map(|index| (zone(index), host_name(*index)));
        let entries = Arc::new(entries.collect::<EntryZones>());
        for index in who {
            let others = live.iter().filter(|other| *other != index);
            let others = others.map(|other| (host_name(*other), address(*other))).collect();
            let host = &mut self.hosts[*index];
            host.ring = PeerRing::new(&host_name(*index), others);
            host.exchange.set_entries(&entries);
        }
    }

    /// Cuts all messages between a part of the hosts and the others.
    pub(crate) fn cut_off(&mut self, part: &[usize]) {
        let others: Vec<usize> = (0..self.hosts.len()).filter(|at| !part.contains(at)).collect();
        for (a, b) in part.iter().flat_map(|a| others.iter().map(move |b| (*a, *b))) {
            self.cuts.extend([(a, b), (b, a)]);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Kills a host and starts it again, with the others in view.
    pub(crate) fn restart(&mut self, index: usize) {
        self.hosts[index] = self.new_host(index);
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.set_view(&[index], &all);
    }

    // ---------------------------------------------------------------------------------------------
    // Requests

    /// Sends a caller's request through a host.
    pub(crate) fn call(&mut self, key: &ContentKey, host: usize) {
        let (key, host) = (key.clone(), host % self.hosts.len());
        let request = Request { key, host, attempts: 0, repeats: 0, waits_until: None };
        self.push(Duration::ZERO, Event::Look(request));
    }

    /// Reports the end of an upstream with a run of a content at a host, from another cause.
    pub(crate) fn crash_under(&mut self, key: &ContentKey, host: usize, upstream: usize) {
        let result = RunResult::Ended(start(upstream));
        let report = ContentReport {
            key: key.clone(),
            row_pools: Vec::new(),
            began: self.moment() - self.work,
            ended: self.moment(),
            result,
            trial: None,
        };
        self.report(host, report);
    }

    /// Reports a run of a content that got no answer although its upstream lives on.
    pub(crate) fn silence_under(&mut self, key: &ContentKey, host: usize, upstream: usize) {
        let result = unanswered(start(upstream), true);
        self.report(
            host,
            ContentReport {
                key: key.clone(),
                row_pools: Vec::new(),
                began: self.moment() - self.work,
                ended: self.moment(),
                result,
                trial: None,
            },
        );
    }

    /// Sends a content from thirty callers, and checks that all are served and that it is cleared.
    pub(crate) fn serve_thirty(&mut self, key: &ContentKey) {
        self.run(2 * MILLISECOND);
        for caller in 0..30 {
            self.call(key, caller * 11);
        }
        self.run(Duration::from_millis(500));
        assert_eq!((self.served, self.refused), (30, 0), "{} hosts", self.hosts.len());
        assert!(self.is_cleared_everywhere(key), "{} hosts", self.hosts.len());
    }

    /// Returns the number of runs that began after the third upstream had ended.
    pub(crate) fn late_runs(&self) -> usize {
        let mut ends = self.ends.clone();
        ends.sort();
        let Some(third) = ends.get(2) else { return 0 };
        self.runs.iter().filter(|run| *run > third).count()
    }

    /// Returns the standings of a content in its pool at all hosts that run.
    pub(crate) fn standings(&self, key: &ContentKey) -> Vec<Option<ContentStanding>> {
        let hosts = self.hosts.iter().filter(|host| host.is_up);
        let find = |host: &FleetHost| {
            let mut suspects = host.exchange.suspects();
            let record = suspects.find(|record| record.digest == key.digest);
            record.and_then(|record| record.standing(&key.pool))
        };
        hosts.map(find).collect()
    }

    pub(crate) fn is_quarantined_everywhere(&self, key: &ContentKey) -> bool {
        let is_quarantined = |standing: &Option<ContentStanding>| {
            matches!(standing, Some(ContentStanding::Quarantined { .. }))
        };
        self.standings(key).iter().all(is_quarantined)
    }

    pub(crate) fn is_cleared_everywhere(&self, key: &ContentKey) -> bool {
        self.standings(key).iter().all(Option::is_none)
    }

    // ---------------------------------------------------------------------------------------------
    // Running

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MILLISECOND;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.are_stopped() {
                continue;
            }
            for index in 0..self.hosts.len() {
                self.decide_runs(index);
                let (now, time) = (self.moment(), self.clock.shared_time(self.moment()));
                let host = &mut self.hosts[index];
                if host.is_up && host.exchange.next_wakeup().is_some_and(|due| due <= now) {
                    host.exchange.tick(now, time, &host.ring);
                    self.flush(index);
                }
            }
        }
    }

    /// Whether the hosts don't run now.
    fn are_stopped(&self) -> bool {
        self.now.as_millis() % 200 < self.stopped.as_millis()
    }

    /// Has a host compare its runs with what upstreams have announced.
    fn decide_runs(&mut self, index: usize) {
        let (now, time) = (self.moment(), self.clock.shared_time(self.moment()));
        let (restarts, elapsed) = (&self.restarts, self.now);
        let host = &mut self.hosts[index];
        if !host.is_up {
            return;
        }
        host.exchange.decide_runs(now, time, |start, _, at| match restarts.get(start) {
            Some(announced) if *announced <= elapsed => StartEvidence::LaterStart,
            None if outlived(time, at) => StartEvidence::Alive,
            Some(_) | None => StartEvidence::None,
        });
        self.flush(index);
    }

    fn moment(&self) -> Moment {
        Moment::ZERO + self.now
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn handle(&mut self, event: Event) {
        let (now, time) = (self.moment(), self.clock.shared_time(self.moment()));
        if self.are_stopped() {
            return self.push(MILLISECOND, event);
        }
        match event {
            Event::LateEnd { request, trial, result } => {
                let began = now - (CALLER_PATIENCE + WORK_AFTER_LEAVING);
                self.ends.push(self.now);
                if let Some(number) = trial {
                    self.hosts[request.host].table.end_trial(request.key.digest, number);
                }
                let row_pools = self.row_pools.clone();
                self.report(
                    request.host,
                    ContentReport { key: request.key, row_pools, began, ended: now, result, trial },
                );
            }
            Event::Message { to, from, body } => {
                if self.hosts[to].is_up && !self.cuts.contains(&(from, to)) {
                    self.hosts[to].exchange.receive(now, time, &host_name(from), &body);
                    self.flush(to);
                }
            }
            Event::Look(request) => self.look(request),
            Event::RunEnd { request, trial, result } => {
                let host = request.host;
                if let Some(number) = trial {
                    self.hosts[host].table.end_trial(request.key.digest, number);
                }
                let is_silent = matches!(self.sign, EndSign::Silence(_));
                let began = now - if is_silent { DEADLINE } else { self.work };
                let survived = result == RunResult::Survived;
                let (key, row_pools) = (request.key.clone(), self.row_pools.clone());
                let report = ContentReport { key, row_pools, began, ended: now, result, trial };
                self.report(host, report);
                if survived {
                    self.served += 1;
                } else if is_silent {
                    self.refuse(request);
                } else {
                    self.ends.push(self.now);
                    self.attempt_again(request);
                }
            }
        }
    }

    /// Has a host decide on a request.
    fn look(&mut self, mut request: Request) {
        if request.attempts == u32::MAX {
            return self.refuse(request);
        }
        let (now, host) = (self.moment(), request.host);
        let ask = TrialAsk {
            key: request.key.clone(),
            number: TrialNumber(self.random.random()),
            lease: Duration::from_secs(3),
        };
        let table = &mut self.hosts[host].table;
        let decision = table.decide(now, &ask);
        let trial = match decision {
            ContentDecision::Run => None,
            ContentDecision::Try(number) => Some(number),
            ContentDecision::Refuse(_) | ContentDecision::Hold(_) => return self.refuse(request),
            ContentDecision::Wait(_) => {
                if request.waits_until.is_none() {
                    table.begin_wait(request.key.digest);
                }
                let until = *request.waits_until.get_or_insert(self.now + TURN_WAIT);
                self.flush(host);
                if self.now >= until {
                    return self.refuse(request);
                }
                return self.push(MILLISECOND, Event::Look(request));
            }
        };
        self.end_wait(&mut request);
        self.runs.push(self.now);
        let is_sound = self.sound_pool.as_ref() == Some(&request.key.pool);
        if is_sound || self.effect == Effect::Works {
            return self
                .push(self.work, Event::RunEnd { request, trial, result: RunResult::Survived });
        }
        self.end_upstream(request, trial);
    }

    /// Has a run end its upstream.
    fn end_upstream(&mut self, request: Request, trial: Option<TrialNumber>) {
        let start = start(self.runs.len());
        match self.sign {
            EndSign::Refusal => {
                let result = RunResult::Ended(start);
                self.push(self.work, Event::RunEnd { request, trial, result });
            }
            EndSign::Restart(after) => {
                self.restarts.insert(start.clone(), self.now + self.work + after);
                let result = unanswered(start, true);
                self.push(self.work, Event::RunEnd { request, trial, result });
            }
            EndSign::Silence(after) => {
                self.ends.push(self.now + self.work);
                self.restarts.insert(start.clone(), self.now + self.work + after);
                let result = unanswered(start, true);
                self.push(DEADLINE, Event::RunEnd { request, trial, result });
            }
            EndSign::CallerLeft => {
                let ended = CALLER_PATIENCE + WORK_AFTER_LEAVING;
                let (left, result) = (request.clone(), RunResult::Ended(start));
                self.push(ended, Event::LateEnd { request: left, trial, result });
                self.push(CALLER_PATIENCE, Event::Look(Request { attempts: u32::MAX, ..request }));
            }
        }
    }

    fn end_wait(&mut self, request: &mut Request) {
        if request.waits_until.take().is_some() {
            self.hosts[request.host].table.end_wait(request.key.digest);
            self.flush(request.host);
        }
    }

    fn attempt_again(&mut self, mut request: Request) {
        request.attempts += 1;
        if request.attempts < HOST_ATTEMPTS {
            return self.push(Duration::ZERO, Event::Look(request));
        }
        self.refuse(request);
    }

    fn refuse(&mut self, mut request: Request) {
        self.end_wait(&mut request);
        if request.repeats == CALLER_REPEATS {
            self.refused += 1;
            return;
        }
        request.repeats += 1;
        request.attempts = 0;
        request.host = (request.host + 1) % self.hosts.len();
        self.push(REPEAT_PAUSE, Event::Look(request));
    }

    fn report(&mut self, host: usize, report: ContentReport) {
        let time = self.clock.shared_time(self.moment());
        let now = self.moment();
        self.hosts[host].exchange.report(now, time, report);
        self.flush(host);
    }

    /// Carries out what a host asks for.
    fn flush(&mut self, index: usize) {
        loop {
            let (now, time) = (self.moment(), self.clock.shared_time(self.moment()));
            let host = &mut self.hosts[index];
            for ask in host.table.take_asks() {
                host.exchange.ask(now, time, ask);
            }
            for (digest, number) in host.table.take_unused() {
                host.exchange.end_trial(digest, number);
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

    fn carry_out(&mut self, index: usize, output: QuarantineOutput) {
        let (now, time) = (self.moment(), self.clock.shared_time(self.moment()));
        let (to, body) = match output {
            QuarantineOutput::ToHost { to, body } => (to.as_str()[4..].parse().unwrap(), body),
            QuarantineOutput::ToAddress { to, body } => (usize::from(to.port()) - 1_000, body),
            QuarantineOutput::Verdict { number, verdict } => {
                return self.hosts[index].table.receive(now, number, verdict);
            }
            QuarantineOutput::Decided { .. } => return,
            QuarantineOutput::Changed(digest, record) => {
                let states = record.map(|record| states((now, time), &record));
                let table = &mut self.hosts[index].table;
                return table.apply(digest, states.unwrap_or_default());
            }
        };
        self.hosts[index].sent_bytes += body.len();
        if !self.random.random_bool(self.loss) {
            let delay = self.random.random_range(self.delay.0..self.delay.1);
            self.push(delay, Event::Message { to, from: index, body });
        }
    }
}

fn states((now, time): (Moment, SharedTime), record: &SuspectRecord) -> SuspectStates {
    let state = |standing| match standing {
        ContentStanding::Suspect => SuspectState::Suspect,
        ContentStanding::Held { until } => SuspectState::Held { until: now + until.since(time) },
        ContentStanding::Quarantined { until } => {
            SuspectState::Quarantined { until: now + until.since(time) }
        }
    };
    let pools = record.pools().iter();
    let pools = pools.map(|known| (known.pool.clone(), record.standing(&known.pool).map(state)));
    SuspectStates { pools: pools.collect(), elsewhere: record.standing_elsewhere().map(state) }
}

/// Whether an upstream that lives on has been heard from again since a run.
fn outlived(time: SharedTime, at: SharedTime) -> bool {
    time.since(at) > Duration::from_millis(2_500)
}

fn unanswered(start: UpstreamStart, is_suspicious: bool) -> RunResult {
    let address = SocketAddr::from(([10, 0, 1, 1], 80));
    RunResult::Unanswered(UnansweredRun { start, address, is_suspicious, was_proven: true })
}

fn start(upstream: usize) -> UpstreamStart {
    UpstreamStart { id: format!("u{upstream}").parse().unwrap(), incarnation: Incarnation(1) }
}
