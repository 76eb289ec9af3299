//! Properties of the scheduling decisions, checked over many random schedules with fixed seeds.

mod scheduler_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    CoordinatorOutput, CountReport, CountSum, PoolCoordinator, ProbeBudget, ProbeRate, SlotCount,
    UpstreamRecord, coordinator_for,
};
use pulley_core::request::{
    AttemptOutcome, KindDemand, PoolScheduler, RequestNumber, SchedulerEffect, divide_slots,
};
use pulley_core::version::{KindPlan, WorkLength};
use pulley_core::{HostId, IndexedPlan, Moment, PolicyPlan};
use quickcheck::{Gen, QuickCheck, Testable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use scheduler_support::ticket;

const MS: Duration = Duration::from_millis(1);
const SEED: u64 = 0x6a63_7075;

fn check(property: impl Testable) {
    let generator = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new().rng(generator).tests(60).quickcheck(property);
}

fn plan() -> Arc<IndexedPlan> {
    let row = |kind: &str, priority: u8, parts: u16, length| KindPlan {
        reserved_slots: SlotCount(1),
        deadline: Duration::from_millis(300),
        length,
        probe_budget: ProbeRate(2_000),
        ..scheduler_support::row(kind, priority, parts)
    };
    let kinds = vec![
        row("first", 0, 3_000, WorkLength::Short),
        row("usual", 3, 5_000, WorkLength::Short),
        row("long", 6, 2_000, WorkLength::Long),
    ];
    Arc::new(PolicyPlan { kinds, ..PolicyPlan::default() }.into())
}

fn records(count: u16) -> Vec<UpstreamRecord> {
    (0..count).map(|index| scheduler_support::upstream(index, 2)).collect()
}

fn host(index: usize) -> HostId {
    format!("h{index}").parse().expect("name")
}

/// Entries, their coordinator and a network that loses, duplicates and delays messages.
struct CountNetwork {
    entries: Vec<PoolScheduler>,
    coordinator: PoolCoordinator,
    coordinator_host: usize,
    in_transit: BTreeMap<(Moment, u64), (usize, usize, CountFrame)>,
    sent: u64,
    rng: StdRng,
    loss: f64,
    published: Vec<(Moment, Vec<u16>)>,
    probes: Vec<Moment>,
}

#[derive(Clone)]
enum CountFrame {
    Report(Box<CountReport>),
    Sum(Box<CountSum>),
}

impl CountNetwork {
    fn new(entries: usize, seed: u64, loss: f64) -> Self {
        let make = |entry| {
            let zone = "a".parse().expect("name");
            let pool = "cover".parse().expect("name");
            let mut scheduler =
                PoolScheduler::new(host(entry), zone, pool, seed.wrapping_add(entry as u64));
            scheduler.apply_plan(Moment::ZERO, plan());
            scheduler.apply_upstreams(Moment::ZERO, &records(5));
            scheduler
        };
        Self {
            entries: (0..entries).map(make).collect(),
            coordinator: coordinator(0, Moment::ZERO),
            coordinator_host: 0,
            in_transit: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
            loss,
            published: Vec::new(),
            probes: Vec::new(),
        }
    }

    fn send(&mut self, now: Moment, from: usize, to: usize, frame: &CountFrame) {
        let copies = if self.rng.random::<f64>() < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss {
                continue;
            }
            let late = self.rng.random::<f64>() < self.loss;
            let most = if late { 80_000 } else { 600 };
            let transit_time = Duration::from_micros(self.rng.random_range(100..most));
            self.sent += 1;
            self.in_transit.insert((now + transit_time, self.sent), (from, to, frame.clone()));
        }
    }

    /// Runs the simulation until `end`, in steps of a quarter of a millisecond.
    fn run(&mut self, begin: Moment, end: Moment) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        let mut now = begin;
        while now < end {
            now = now + MS / 4;
            while let Some(((at, _), _)) = self.in_transit.first_key_value()
                && *at <= now
            {
                let (_, (from, to, frame)) = self.in_transit.pop_first().expect("just seen");
                self.deliver(now, from, to, frame, &mut effects);
            }
            for entry in 0..self.entries.len() {
                effects.extend(self.entries[entry].tick(now));
                for (_, report) in self.entries[entry].take_reports(now) {
                    let to = report.to.as_ref().map_or(self.coordinator_host, index_of);
                    self.send(now, entry, to, &CountFrame::Report(Box::new(report)));
                }
            }
            self.coordinate(now);
        }
        effects
    }

    fn coordinate(&mut self, now: Moment) {
        let from = self.coordinator_host;
        for output in self.coordinator.tick(now) {
            match output {
                CoordinatorOutput::Publish { to, sum } => {
                    self.published.push((now, sum.rows.in_flight.clone()));
                    self.send(now, from, index_of(&to), &CountFrame::Sum(sum));
                }
                CoordinatorOutput::Probe { .. } => self.probes.push(now),
            }
        }
    }

    fn deliver(
        &mut self,
        now: Moment,
        from: usize,
        to: usize,
        frame: CountFrame,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        match frame {
            CountFrame::Report(report) => {
                if to == self.coordinator_host {
                    self.coordinator.receive(now, &host(from), &report);
                }
                if let Some(entry) = self.entries.get_mut(to) {
                    entry.receive_report(&host(from), &report);
                }
            }
            CountFrame::Sum(sum) => {
                let Some(entry) = self.entries.get_mut(to) else { return };
                effects.extend(entry.receive_sum(now, &sum));
                for (hop, relay) in self.entries[to].take_relays() {
                    self.send(now, to, index_of(&hop), &CountFrame::Sum(Box::new(relay)));
                }
            }
        }
    }
}

fn index_of(host: &HostId) -> usize {
    host.as_str()[1..].parse().expect("hosts are numbered")
}

fn coordinator(at: usize, now: Moment) -> PoolCoordinator {
    let pool = "cover".parse().expect("name");
    let zone = "a".parse().expect("name");
    let mut coordinator = PoolCoordinator::new(pool, zone, host(at), now);
    coordinator.apply_plan(now, plan());
    coordinator.apply_upstreams(now, &records(5));
    coordinator
}

// The configuration is applied again with each change of an upstream, many times between two
// rounds. That must not discard the reports received since the last round.
#[test]
fn reapplying_the_same_plan_loses_no_report() {
    let (now, plan) = (Moment::ZERO, plan());
    let (pool, zone) = ("cover".parse().expect("name"), "a".parse().expect("name"));
    let mut coordinator = PoolCoordinator::new(pool, zone, host(9), now);
    coordinator.apply_plan(now, Arc::clone(&plan));
    coordinator.apply_upstreams(now, &records(5));
    let (pool, zone) = ("cover".parse().expect("name"), "a".parse().expect("name"));
    let mut scheduler = PoolScheduler::new(host(0), zone, pool, 5);
    scheduler.apply_plan(now, Arc::clone(&plan));
    scheduler.apply_upstreams(now, &records(5));
    for number in 0..3 {
        scheduler.arrive(now, &ticket(number, 1, now + Duration::from_secs(1)));
    }
    for (_, report) in scheduler.take_reports(now) {
        coordinator.receive(now, &host(0), &report);
    }
    coordinator.apply_plan(now, plan);
    coordinator.apply_upstreams(now, &records(5));
    let published = coordinator.tick(now + Duration::from_secs(1)).into_iter();
    let counted = published.filter_map(|output| match output {
        CoordinatorOutput::Publish { sum, .. } => Some(sum.rows.in_flight.iter().sum::<u16>()),
        CoordinatorOutput::Probe { .. } => None,
    });
    assert_eq!(counted.collect::<Vec<_>>(), [3]);
}

// A message holds a bounded number of kinds, however many the configuration has. A large plan must
// not make the rounds rarer.
#[test]
fn rounds_are_no_rarer_for_a_large_plan() {
    let interval_of = |rows: usize| {
        let (pool, zone) = ("cover".parse().expect("name"), "a".parse().expect("name"));
        let mut coordinator =
            PoolCoordinator::new(pool, zone, host(9), Moment::ZERO).with_bytes_per_second(3_000);
        let row = |place: usize| {
            let kind = format!("kind-{place}").parse().expect("name");
            KindPlan { kind, probe_budget: ProbeRate(0), ..plan().kinds[1].clone() }
        };
        let kinds = (0..rows).map(row).collect();
        let plan = PolicyPlan { kinds, ..PolicyPlan::default() };
        coordinator.apply_plan(Moment::ZERO, Arc::new(plan.into()));
        coordinator.apply_upstreams(Moment::ZERO, &records(5));
        coordinator.tick(Moment::ZERO + Duration::from_secs(1));
        coordinator.next_wakeup()
    };
    assert_eq!(interval_of(1_400), interval_of(100));
}

// Every service wants more slots than there are. If the parts added up to more than the pool,
// requests would queue at the upstreams, where they can no longer be overtaken. If they added up to
// less, slots would stand idle.
#[test]
fn leased_parts_add_up_to_the_room_and_no_more() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over values")]
    fn property(slots: u16, wanted: Vec<(u8, u16, u16)>) -> bool {
        let demands: Vec<KindDemand> = wanted
            .iter()
            .enumerate()
            .map(|(service, (priority, share, wanted))| KindDemand {
                service,
                share: f32::from(*share) / 65_535.0,
                priority: *priority,
                wanted: f32::from(*wanted % 500),
            })
            .collect();
        let slots = f32::from(slots % 1_000);
        let given = divide_slots(slots, &demands);
        let all: f32 = given.iter().sum();
        let asked: f32 = demands.iter().map(|demand| demand.wanted).sum();
        let each = given
            .iter()
            .zip(&demands)
            .all(|(given, demand)| (0.0..=demand.wanted + 0.01).contains(given));
        each && all <= slots + 0.1 && all >= slots.min(asked) * 0.99 - 0.1
    }
    check(property as fn(u16, Vec<(u8, u16, u16)>) -> bool);
}

// Datagrams are lost, duplicated and reordered while requests come and go. After the network has
// recovered, the published counts must equal the requests that are really outstanding.
#[test]
fn counts_converge_to_the_outstanding_requests() {
    fn property(seed: u64, entries: u8) -> bool {
        let entries = usize::from(entries % 12) + 2;
        let mut network = CountNetwork::new(entries, seed, 0.2);
        let mut outstanding: BTreeMap<String, u16> = BTreeMap::new();
        let mut effects = Vec::new();
        network.run(Moment::ZERO, Moment::ZERO + 400 * MS);
        let now = Moment::ZERO + 400 * MS;
        for number in 0..entries as u64 * 2 {
            let entry = number as usize % entries;
            let late = now + Duration::from_secs(60);
            effects.extend(network.entries[entry].arrive(now, &ticket(number, 0, late)));
        }
        effects.extend(network.run(now, now + 300 * MS));
        network.loss = 0.0;
        effects.extend(network.run(now + 300 * MS, now + 1_500 * MS));
        for effect in effects {
            if let SchedulerEffect::Start { upstream, .. } = effect {
                *outstanding.entry(upstream.to_string()).or_default() += 1;
            }
        }
        let (_, last) = network.published.last().expect("rounds went on");
        let mut published = last.clone();
        let mut real: Vec<u16> = outstanding.into_values().collect();
        real.resize(published.len(), 0);
        published.sort_unstable();
        real.sort_unstable();
        published == real
    }
    check(property as fn(u64, u8) -> bool);
}

// Requests arrive in bursts, upstreams fail, messages between hosts get lost, callers leave.
// Whatever happens, each request must get exactly one outcome, and none may be forgotten.
#[test]
fn every_request_ends_in_exactly_one_outcome() {
    fn property(seed: u64) -> bool {
        let mut network = CountNetwork::new(4, seed, 0.1);
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let mut outcomes: BTreeMap<u64, u32> = BTreeMap::new();
        let mut running: Vec<(u64, usize)> = Vec::new();
        let mut now = Moment::ZERO;
        let mut number = 0;
        for step in 0..300 {
            for _ in 0..if step < 200 { rng.random_range(0..6) } else { 0 } {
                let entry = rng.random_range(0..4);
                let deadline = now + rng.random_range(1..200) * MS;
                let ticket = ticket(number * 4 + entry as u64, rng.random_range(0..3), deadline);
                outcomes.insert(ticket.number.0, 0);
                let effects = network.entries[entry].arrive(now, &ticket);
                record_effects(&effects, &mut outcomes, &mut running);
                number += 1;
            }
            if !running.is_empty() && rng.random_bool(0.9) {
                let (number, entry) = running.swap_remove(rng.random_range(0..running.len()));
                let outcome = if rng.random_bool(0.2) {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered
                };
                let ended =
                    network.entries[entry].finish(now, RequestNumber(number), outcome, None);
                record_effects(&ended, &mut outcomes, &mut running);
            }
            let effects = network.run(now, now + 2 * MS);
            record_effects(&effects, &mut outcomes, &mut running);
            now = now + 2 * MS;
        }
        outcomes.values().all(|count| *count == 1)
    }
    fn record_effects(
        effects: &[SchedulerEffect],
        outcomes: &mut BTreeMap<u64, u32>,
        running: &mut Vec<(u64, usize)>,
    ) {
        for effect in effects {
            let number = match effect {
                SchedulerEffect::Start { number, .. } => {
                    running.push((number.0, number.0 as usize % 4));
                    number
                }
                SchedulerEffect::Refuse { number, .. } => number,
            };
            *outcomes.get_mut(&number.0).expect("it arrived") += 1;
        }
    }
    check(property as fn(u64) -> bool);
}

// A coordinator is lost and its successor begins to probe. Both together must stay within the probe
// budget of the sheet, because upstreams have no slots to spare for more.
#[test]
fn probes_stay_within_the_budget_over_a_takeover() {
    let mut network = CountNetwork::new(6, 3, 0.0);
    let lost_at = Moment::ZERO + 4_300 * MS;
    network.run(Moment::ZERO, lost_at);
    network.coordinator = coordinator(1, lost_at);
    network.coordinator_host = 1;
    network.run(lost_at, lost_at + 8_000 * MS);
    // Three kinds with two probes a second each make six.
    assert!(network.probes.len() > 10, "idle upstreams are only found by probes");
    for (first, begin) in network.probes.iter().enumerate() {
        for (extra, end) in network.probes[first..].iter().enumerate() {
            let allowed = 6.0 * end.since(*begin).as_secs_f64() + 1.01;
            assert!(extra as f64 <= allowed, "{extra} more probes from {begin} to {end}");
        }
    }
}

#[test]
fn probe_bucket_never_gives_more_than_its_rate() {
    fn property(rate: u16, steps: Vec<u16>) -> bool {
        let mut budget = ProbeBudget::new(Moment::ZERO, ProbeRate(u32::from(rate)));
        let mut now = Moment::ZERO;
        let mut taken = 0_u64;
        for step in steps {
            now = now + Duration::from_millis(u64::from(step));
            taken += u64::from(budget.take(now));
            if taken * 1_000_000_000 > now.micros() * u64::from(rate) {
                return false;
            }
        }
        true
    }
    check(property as fn(u16, Vec<u16>) -> bool);
}

// First-priority kinds keep coming as fast as they are answered. A caller of a low kind must still
// get its answer: one start in twenty from the queue goes to the longest-waiting request.
#[test]
fn low_kinds_do_not_starve_below_the_floor() {
    let zone = "a".parse().expect("name");
    let mut scheduler = PoolScheduler::new(host(0), zone, "cover".parse().expect("name"), 5);
    scheduler.apply_plan(Moment::ZERO, plan());
    scheduler.apply_upstreams(Moment::ZERO, &records(1));
    let late = Moment::ZERO + Duration::from_secs(3_600);
    let mut running: Vec<u64> = Vec::new();
    let mut low_starts = 0;
    let start = |effects: Vec<SchedulerEffect>, running: &mut Vec<u64>| {
        for effect in effects {
            if let SchedulerEffect::Start { number, .. } = effect {
                running.push(number.0);
            }
        }
    };
    let mut now = Moment::ZERO;
    start(scheduler.arrive(now, &ticket(1_000_000, 1, late)), &mut running);
    for number in 0..400_u64 {
        now = now + MS;
        start(scheduler.arrive(now, &ticket(number * 2, 0, late)), &mut running);
        start(scheduler.arrive(now, &ticket(2_000_000 + number, 1, late)), &mut running);
        let done = running.remove(0);
        low_starts += u32::from(done >= 1_000_000);
        start(
            scheduler.finish(now, RequestNumber(done), AttemptOutcome::Answered, None),
            &mut running,
        );
    }
    assert!(low_starts >= 400 / 20 - 3, "only {low_starts} low requests were started");
}

// One upstream answers ten times slower than the rest. To limit the effect on callers, it may get
// only a trickle as soon as that is known.
#[test]
fn slow_upstream_gets_less_work() {
    let zone = "a".parse().expect("name");
    let mut scheduler = PoolScheduler::new(host(0), zone, "cover".parse().expect("name"), 5);
    scheduler.apply_plan(Moment::ZERO, plan());
    scheduler.apply_upstreams(Moment::ZERO, &records(5));
    let mut ends: BTreeMap<(Moment, u64), ()> = BTreeMap::new();
    let mut slow = [0_u32; 2];
    for number in 0..4_000_u64 {
        let now = Moment::ZERO + number as u32 * 5 * MS;
        while let Some(((at, done), ())) = ends.first_key_value()
            && *at <= now
        {
            let (at, done) = (*at, *done);
            ends.pop_first();
            scheduler.finish(at, RequestNumber(done), AttemptOutcome::Answered, None);
        }
        for effect in scheduler.arrive(now, &ticket(number, 0, now + Duration::from_secs(9))) {
            let SchedulerEffect::Start { number, upstream, .. } = effect else { continue };
            let is_slow = upstream.as_str() == "u0";
            slow[usize::from(number.0 >= 2_000)] += u32::from(is_slow);
            let took = if is_slow { 200 * MS } else { 20 * MS };
            ends.insert((now + took, number.0), ());
        }
    }
    assert!(slow[1] <= 20, "the slow upstream still got {} of the last 2,000 requests", slow[1]);
}

// A host dies. The pools that other hosts coordinate must stay where they are, or every pool would
// lose its counts at the same moment.
#[test]
fn lost_host_moves_only_what_it_coordinated() {
    let hosts: Vec<HostId> = (0..25).map(host).collect();
    let zone = "a".parse().expect("name");
    let mut moved = 0;
    for pool in 0..200 {
        let pool = format!("p{pool}").parse().expect("name");
        let before = coordinator_for(&pool, &zone, &hosts).expect("hosts live");
        let after = coordinator_for(&pool, &zone, &hosts[1..]).expect("hosts live");
        moved += u32::from(before != after);
        assert!(before == after || *before == hosts[0]);
    }
    assert!((1..30).contains(&moved), "the lost host coordinated {moved} of 200 pools");
}
