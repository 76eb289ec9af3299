//! What hundreds of entries together send to upstreams that are cold, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    Announcement, EntryZones, FastMap, Incarnation, SlotCount, StartRate, UpstreamPhase,
    UpstreamRecord, UpstreamSequence,
};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeQuestion, ProbeReach, ProbeReading,
    RequestNumber, RequestTicket, SchedulerEffect,
};
use pulley_core::version::{
    AnswerSize, HostMatch, KindPlan, MethodMatch, PolicyPlan, PoolTerms, RequestPriority,
    RouteTerms, WarmUpTerms, WorkLength,
};
use pulley_core::{Moment, UpstreamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MILLISECOND: Duration = Duration::from_millis(1);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 4;
const QUEUE: usize = 8;
const WORK_MS: f64 = 120.0;
const TARGET: Duration = Duration::from_millis(300);
/// How much longer a cold upstream works.
const COLD_TIMES: f64 = 2.0;
const COLD_SPAN: Duration = Duration::from_secs(3);
/// Requests a second that a cold upstream bears, by the sheet.
const COLD_RATE: u32 = 4_300;
/// More than this in one second breaks what was agreed with the upstreams' owners: half as much
/// again as the rate, and eight.
const COLD_MOST: usize = 14;

fn warm_up() -> WarmUpTerms {
    WarmUpTerms { span: COLD_SPAN, rate: StartRate(COLD_RATE) }
}

fn plan(warm_up: Option<WarmUpTerms>) -> Arc<PolicyPlan> {
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
        },
    };
    let pools =
        vec![PoolTerms { pool: "cover".parse().unwrap(), probe_path: "/health".into(), warm_up }];
    Arc::new(PolicyPlan { kinds: vec![kind], pools, ..PolicyPlan::default() })
}

fn record(index: usize, incarnation: u64, phase: UpstreamPhase) -> UpstreamRecord {
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

/// An upstream as it is, whatever entries know of it.
#[derive(Default)]
struct RealUpstream {
    cold_until: Duration,
    running: Vec<(Duration, usize, u64)>,
    queue: VecDeque<(usize, u64)>,
    /// When requests came while it was cold.
    cold_arrivals: Vec<Duration>,
}

impl RealUpstream {
    fn report(&self, at: Duration) -> LoadReport {
        LoadReport {
            utilization: 0.0,
            in_flight: Some(u32::try_from(self.running.len()).unwrap()),
            waiting: Some(u32::try_from(self.queue.len()).unwrap()),
            slowdown: Some(1.0),
            cold_left: Some(self.cold_until.saturating_sub(at)),
        }
    }

    /// The most requests that came within one second while it was cold.
    fn busiest_second(&self) -> usize {
        let second = Duration::from_secs(1);
        let within = |from: &Duration| {
            self.cold_arrivals.iter().filter(|at| *at >= from && **at < *from + second).count()
        };
        self.cold_arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Hundreds of entries before one pool.
struct ColdPool {
    entries: Vec<PoolScheduler>,
    upstreams: Vec<RealUpstream>,
    random: StdRng,
    now: Duration,
    number: u64,
    asked_at: FastMap<u64, Duration>,
    /// What entries are still to hear, and when.
    news: BTreeMap<(Duration, u64), (usize, Vec<UpstreamRecord>)>,
    in_time: u64,
    asked: u64,
}

impl ColdPool {
    fn new(entries: usize, upstreams: usize, terms: Option<WarmUpTerms>, seed: u64) -> Self {
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
            upstreams: (0..upstreams).map(|_| RealUpstream::default()).collect(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            number: 0,
            asked_at: FastMap::default(),
            news: BTreeMap::new(),
            in_time: 0,
            asked: 0,
        };
        let all: Vec<usize> = (0..pool.entries.len()).collect();
        pool.believe(&all, &all);
        pool
    }

    /// Has some entries take others for those alive.
    fn believe(&mut self, who: &[usize], alive: &[usize]) {
        let named = alive.iter().map(|index| {
            (ZONES[index % 3].parse().unwrap(), format!("host{index}").parse().unwrap())
        });
        let alive: Arc<EntryZones> = Arc::new(named.collect());
        let now = Moment::ZERO + self.now;
        for index in who {
            self.entries[*index].set_entries(now, &alive);
        }
    }

    /// Tells every entry of records, each within a while of its own.
    fn tell(&mut self, records: &[UpstreamRecord], slowest_ms: u64) {
        for index in 0..self.entries.len() {
            self.number += 1;
            let delay =
                MILLISECOND * u32::try_from(self.random.random_range(0..=slowest_ms)).unwrap();
            self.news.insert((self.now + delay, self.number), (index, records.to_vec()));
        }
    }

    /// A zone's upstreams turn cold; with a new start, entries hear of that.
    fn chill(&mut self, zone: usize, is_new_start: bool) {
        let members = (0..self.upstreams.len()).filter(|index| index % 3 == zone);
        let members: Vec<usize> = members.collect();
        for index in &members {
            self.upstreams[*index] =
                RealUpstream { cold_until: self.now + COLD_SPAN, ..RealUpstream::default() };
        }
        if is_new_start {
            let all = 0..self.upstreams.len();
            let records: Vec<_> = all
                .map(|index| match members.contains(&index) {
                    true => record(index, 2, UpstreamPhase::Warming),
                    false => record(index, 1, UpstreamPhase::Ready),
                })
                .collect();
            self.tell(&records, 300);
        }
    }

    fn run(&mut self, time: Duration, a_second: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += MILLISECOND;
            self.hear();
            self.finish_work();
            let mut due = a_second / 1_000.0;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    let entry = self.random.random_range(0..self.entries.len());
                    self.arrive(entry);
                }
                due -= 1.0;
            }
        }
    }

    fn hear(&mut self) {
        while let Some(((at, number), _)) = self.news.first_key_value().map(|(k, v)| (*k, v)) {
            if at > self.now {
                return;
            }
            let (entry, records) = self.news.remove(&(at, number)).unwrap();
            let now = Moment::ZERO + self.now;
            let effects = self.entries[entry].apply_upstreams(now, &records);
            self.carry_out(entry, effects);
        }
    }

    fn finish_work(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let done: Vec<_> =
                self.upstreams[index].running.extract_if(.., |(end, _, _)| *end <= now).collect();
            for (_, entry, number) in done {
                self.end(entry, number, AttemptOutcome::Answered);
                if let Some((entry, number)) = self.upstreams[index].queue.pop_front() {
                    self.work(index, entry, number);
                }
            }
        }
    }

    fn work(&mut self, index: usize, entry: usize, number: u64) {
        let times = if self.upstreams[index].cold_until > self.now { COLD_TIMES } else { 1.0 };
        let spread = self.random.random_range(0.7..1.3);
        let end = self.now + Duration::from_secs_f64(WORK_MS * spread * times / 1_000.0);
        self.upstreams[index].running.push((end, entry, number));
    }

    fn end(&mut self, entry: usize, number: u64, outcome: AttemptOutcome) {
        let now = Moment::ZERO + self.now;
        let asked_at = self.asked_at.remove(&number);
        let is_in_time = asked_at.is_some_and(|at| self.now - at <= TARGET);
        self.in_time += u64::from(is_in_time && outcome == AttemptOutcome::Answered);
        let effects = self.entries[entry].finish(now, RequestNumber(number), outcome, None);
        self.carry_out(entry, effects);
    }

    fn arrive(&mut self, entry: usize) {
        self.number += 1;
        self.asked += 1;
        let number = self.number;
        self.asked_at.insert(number, self.now);
        let now = Moment::ZERO + self.now;
        let ticket = RequestTicket {
            number: RequestNumber(number),
            kind: 0,
            deadline: now + Duration::from_secs(4),
            target: Some(now + TARGET),
            attempt: 0,
            avoid: Vec::new(),
        };
        let mut asked = Vec::new();
        let mut readings = Vec::new();
        for reach in [ProbeReach::OwnZone, ProbeReach::EveryZone] {
            let question = ProbeQuestion { asked: &asked, wanted: 3, reach };
            let targets = self.entries[entry].probe_targets(now, &ticket, &question);
            for target in targets {
                let index: usize = target.upstream.as_str()[1..].parse().unwrap();
                let report = self.upstreams[index].report(self.now);
                readings.push(ProbeReading { upstream: target.upstream.clone(), report });
                asked.push(target.upstream);
            }
            if self.entries[entry].best_cost(now, &readings).is_some_and(|cost| cost < 1.9) {
                break;
            }
        }
        let effects = self.entries[entry].arrive_probed(now, &ticket, &readings);
        self.carry_out(entry, effects);
    }

    fn carry_out(&mut self, entry: usize, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, upstream, .. } => {
                    self.start(entry, number.0, &upstream);
                }
                SchedulerEffect::Refuse { number, .. } => {
                    self.asked_at.remove(&number.0);
                }
            }
        }
    }

    fn start(&mut self, entry: usize, number: u64, upstream: &UpstreamId) {
        let index: usize = upstream.as_str()[1..].parse().unwrap();
        let now = self.now;
        let real = &mut self.upstreams[index];
        if real.cold_until > now {
            real.cold_arrivals.push(now);
        }
        if real.running.len() < SLOTS as usize {
            self.work(index, entry, number);
        } else if real.queue.len() < QUEUE {
            real.queue.push_back((entry, number));
        } else {
            self.end(entry, number, AttemptOutcome::Shed);
        }
    }

    fn busiest_second(&self) -> usize {
        self.upstreams.iter().map(RealUpstream::busiest_second).max().unwrap_or(0)
    }

    fn in_time(&self) -> f64 {
        self.in_time as f64 / self.asked as f64
    }
}

// A third of a pool's upstreams come back cold at the same moment in a rush, and two hundred entries
// hear of it within 0.3 s. However they choose, no upstream may get more in any second than it
// bears, as it would crash, and callers are still to be answered by the other two thirds and by
// what the cold ones bear.
#[test]
fn a_zone_that_comes_back_cold_in_a_rush_gets_no_more_than_it_bears() {
    let mut pool = ColdPool::new(200, 117, Some(warm_up()), 1);
    pool.run(Duration::from_secs(2), 280.0);
    pool.chill(0, true);
    (pool.in_time, pool.asked) = (0, 0);
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_MOST, "{busiest} requests in one second");
    let cold = pool.upstreams.iter().map(|upstream| upstream.cold_arrivals.len()).sum::<usize>();
    assert!(cold >= 39 * 3, "cold upstreams stand idle: {cold} requests for 39 of them");
    assert!(pool.in_time() > 0.9, "in time: {}", pool.in_time());
}

// Upstreams turn cold again without a new start, as those of a zone that was emptied may, and nobody
// announces it. Only their answers to questions tell, and all entries hear that within moments.
#[test]
fn upstreams_that_turn_cold_unannounced_get_no_more_than_they_bear() {
    let mut pool = ColdPool::new(200, 117, Some(warm_up()), 2);
    pool.run(Duration::from_secs(2), 280.0);
    pool.chill(1, false);
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_MOST, "{busiest} requests in one second");
}

// Half of the entries have lost touch with the other half, and each half takes the other for dead
// while it still reaches all upstreams. Both halves then assign cold upstreams to their own.
#[test]
fn two_halves_that_do_not_know_of_each_other_keep_to_what_upstreams_bear() {
    let mut pool = ColdPool::new(200, 117, Some(warm_up()), 3);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..100).collect(), (100..200).collect());
    pool.run(Duration::from_secs(2), 280.0);
    pool.believe(&left, &left);
    pool.believe(&right, &right);
    pool.chill(0, true);
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_MOST, "{busiest} requests in one second");
}

// A zone is taken back after it was emptied. Its upstreams may be cold, which they have not
// announced yet: all entries get them back at one moment and must find out first.
#[test]
fn a_zone_that_is_taken_back_is_asked_before_it_gets_work() {
    let mut pool = ColdPool::new(200, 117, Some(warm_up()), 4);
    pool.run(Duration::from_secs(1), 280.0);
    let records = |takes_work: bool| -> Vec<UpstreamRecord> {
        let all = (0..117).map(|index| record(index, 1, UpstreamPhase::Ready));
        let closed = |record: UpstreamRecord| {
            let is_emptied = record.announcement.zone.as_str() == "c";
            UpstreamRecord { takes_work: takes_work || !is_emptied, ..record }
        };
        all.map(closed).collect()
    };
    pool.tell(&records(false), 0);
    pool.run(Duration::from_secs(4), 280.0);
    pool.chill(2, false);
    pool.tell(&records(true), 0);
    (pool.in_time, pool.asked) = (0, 0);
    pool.run(COLD_SPAN + Duration::from_secs(2), 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_MOST, "{busiest} requests in one second");
    assert!(pool.in_time() > 0.9, "in time: {}", pool.in_time());
    let warm: usize =
        pool.upstreams.iter().skip(2).step_by(3).map(|upstream| upstream.running.len()).sum();
    assert!(warm > 10, "the zone gets hardly any work once it is warm: {warm}");
}
