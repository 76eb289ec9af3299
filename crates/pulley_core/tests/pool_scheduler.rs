//! Behaviour of one pool's scheduler as callers see it.

mod scheduler_support;

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    CountEpoch, CountKey, CountReport, CountRound, CountRows, CountSum, KindUse,
};
use pulley_core::request::{AttemptOutcome, PoolScheduler, RequestNumber, SchedulerEffect};
use pulley_core::version::KindPlan;
use pulley_core::{Moment, PolicyPlan, RefusalCause};
use scheduler_support::{row, ticket, upstream};

const MS: Duration = Duration::from_millis(1);

fn scheduler(kinds: Vec<KindPlan>, upstreams: u16, slots: u32) -> PoolScheduler {
    let host = "h1".parse().expect("name");
    let zone = "a".parse().expect("name");
    let mut scheduler = PoolScheduler::new(host, zone, "cover".parse().expect("name"), 7);
    scheduler
        .apply_plan(Moment::ZERO, Arc::new(PolicyPlan { kinds, ..PolicyPlan::default() }.into()));
    let records: Vec<_> = (0..upstreams).map(|index| upstream(index, slots)).collect();
    scheduler.apply_upstreams(Moment::ZERO, &records);
    scheduler
}

fn started(effects: &[SchedulerEffect]) -> Vec<u64> {
    let starts = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Start { number, .. } => Some(number.0),
        SchedulerEffect::Refuse { .. } => None,
    });
    starts.collect()
}

// A burst of more requests than the upstreams have room for arrives at one entry. They must not all
// be sent at once: a more urgent request that comes last must still go before those that wait.
#[test]
fn finished_request_starts_the_most_urgent_waiting_one() {
    let mut scheduler = scheduler(vec![row("low", 5, 5_000), row("usual", 3, 5_000)], 1, 2);
    let deadline = Moment::ZERO + 500 * MS;
    let mut running = Vec::new();
    for number in 0..6 {
        running.extend(started(&scheduler.arrive(Moment::ZERO, &ticket(number, 0, deadline))));
    }
    assert_eq!(running, [0, 1, 2], "two slots and one request queued at the upstream");
    assert!(started(&scheduler.arrive(Moment::ZERO, &ticket(99, 1, deadline))).is_empty());
    let now = Moment::ZERO + 5 * MS;
    let next = scheduler.finish(now, RequestNumber(0), AttemptOutcome::Answered, None);
    assert_eq!(started(&next), [99]);
}

fn sum_for(report: &CountReport, round: u32, in_flight: Vec<u16>, kinds: Vec<KindUse>) -> CountSum {
    CountSum {
        pool: report.pool.clone(),
        coordinator: CountKey::of("h2"),
        epoch: CountEpoch(1),
        round: CountRound(round),
        counted: None,
        hosts: 2,
        interval_ms: 20,
        depth: 1,
        step: 4,
        sender: "h2".parse().expect("name"),
        route: Vec::new(),
        rows: CountRows { in_flight, kinds, outcomes: Vec::new(), ..report.rows.clone() },
    }
}

// Two entries together want far more than the pool can do. Each must keep to its part, and an
// urgent request must still start at once.
#[test]
fn tight_pool_holds_back_all_but_first_kinds() {
    let mut scheduler = scheduler(vec![row("low", 5, 5_000), row("first", 0, 5_000)], 1, 2);
    let (_, report) = scheduler.take_reports(Moment::ZERO).remove(0);
    let now = Moment::ZERO + MS;
    let others = vec![KindUse { in_flight: 5, queued: 30 }, KindUse { in_flight: 0, queued: 0 }];
    scheduler.receive_sum(now, &sum_for(&report, 1, vec![5], others));
    let deadline = Moment::ZERO + 500 * MS;
    let mut running = Vec::new();
    for number in 0..6 {
        running.extend(started(&scheduler.arrive(now, &ticket(number, 0, deadline))));
    }
    assert_eq!(running, Vec::<u64>::new(), "the other entry's requests came first");
    assert_eq!(started(&scheduler.arrive(now, &ticket(9, 1, deadline))), [9]);
    let later = now + 20 * MS;
    let others = vec![KindUse { in_flight: 0, queued: 0 }, KindUse { in_flight: 0, queued: 0 }];
    let next = scheduler.receive_sum(later, &sum_for(&report, 2, vec![0], others));
    assert!(started(&next).contains(&0), "slots without other demand are lent at once");
}

// The pool has lost all of its upstreams. A caller must be refused at once, not at its deadline.
#[test]
fn lost_upstreams_refuse_waiting_and_new_requests_at_once() {
    let mut scheduler = scheduler(vec![row("low", 5, 5_000)], 1, 1);
    let deadline = Moment::ZERO + 500 * MS;
    for number in 1..10 {
        scheduler.arrive(Moment::ZERO, &ticket(number, 0, deadline));
    }
    let waiting = scheduler.waiting();
    assert!(waiting > 0);
    let effects = scheduler.apply_upstreams(Moment::ZERO + MS, &[]);
    assert_eq!(effects.len(), waiting);
    assert!(effects.iter().all(|effect| matches!(
        effect,
        SchedulerEffect::Refuse { cause: RefusalCause::NoUpstream, .. }
    )));
    let refused = scheduler.arrive(Moment::ZERO + MS, &ticket(40, 0, deadline));
    assert!(matches!(
        refused[..],
        [SchedulerEffect::Refuse { cause: RefusalCause::NoUpstream, .. }]
    ));
}

// A request waits behind slow ones until it can no longer be answered in time. Its caller must be
// refused while there is time left to act.
#[test]
fn request_that_cannot_make_its_deadline_is_refused_by_tick() {
    let mut scheduler = scheduler(vec![row("low", 5, 5_000)], 1, 1);
    for number in 0..10 {
        scheduler.arrive(Moment::ZERO, &ticket(number, 0, Moment::ZERO + 100 * MS));
    }
    let waiting = scheduler.waiting();
    assert!(waiting > 0);
    let wakeup = scheduler.next_wakeup().expect("a request waits");
    let effects = scheduler.tick(wakeup);
    assert_eq!(effects.len(), waiting);
    assert_eq!(scheduler.waiting(), 0);
}

// Datagrams are duplicated and reordered on the network. An old sum must not bring back counts of
// requests that have long ended.
#[test]
fn stale_and_duplicate_sums_change_nothing() {
    let mut scheduler = scheduler(vec![row("low", 5, 5_000)], 1, 1);
    let (_, report) = scheduler.take_reports(Moment::ZERO).remove(0);
    let waiting = |in_flight, queued| vec![KindUse { in_flight, queued }];
    let now = Moment::ZERO + MS;
    scheduler.receive_sum(now, &sum_for(&report, 2, vec![4], waiting(4, 20)));
    scheduler.receive_sum(now, &sum_for(&report, 1, vec![0], waiting(0, 0)));
    scheduler.receive_sum(now, &sum_for(&report, 2, vec![4], waiting(4, 20)));
    let deadline = Moment::ZERO + 500 * MS;
    let waits = scheduler.arrive(now, &ticket(1, 0, deadline));
    assert_eq!(waits, [], "other entries hold the slot");
    let starts = scheduler.receive_sum(now, &sum_for(&report, 3, vec![0], waiting(0, 0)));
    assert_eq!(started(&starts), [1]);
}

// The only upstream of a pool closes connections so often that a third of all requests fail. There
// is no other: callers must not be held back until their deadlines while it could answer.
#[test]
fn the_only_upstream_keeps_its_work_while_it_fails() {
    let mut scheduler = scheduler(vec![row("low", 5, 10_000)], 1, 64);
    for number in 0..200 {
        let now = Moment::ZERO + number as u32 * MS;
        let effects = scheduler.arrive(now, &ticket(number, 0, now + 100 * MS));
        assert_eq!(started(&effects), [number], "the request starts at once");
        let fails = number % 3 == 0;
        let outcome = if fails { AttemptOutcome::Broken } else { AttemptOutcome::Answered };
        scheduler.finish(now, RequestNumber(number), outcome, None);
    }
}
