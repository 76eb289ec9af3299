//! Upstreams that rest or leave because they have asked for it, as one or many schedulers see them.

mod scheduler_support;

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    Incarnation, UpstreamId, UpstreamRecord, UpstreamStart, UpstreamStop, UpstreamStops,
};
use pulley_core::request::{
    AttemptOutcome, LoadReport, PoolScheduler, ProbeQuery, ProbeReach, ProbeReading, RequestNumber,
    SchedulerEffect, SchedulerEffects,
};
use pulley_core::{Moment, PolicyPlan, RefusalCause};
use scheduler_support::{row, ticket};

const MS: Duration = Duration::from_millis(1);

/// The rest that upstreams ask for, and when.
const REST: Duration = Duration::from_secs(3);
const ASKED_AT: Moment = Moment::from_micros(1_000_000);

/// The time of an answer.
const WORK: Duration = Duration::from_millis(20);

/// An upstream of four slots.
fn upstream(index: u16, incarnation: u64) -> UpstreamRecord {
    let mut record = scheduler_support::upstream(index, 4);
    record.announcement.incarnation = Incarnation(incarnation);
    record
}

fn scheduler(seed: u64, upstreams: u16) -> PoolScheduler {
    let (host, zone) = (format!("h{seed}").parse(), "a".parse());
    let pool = "cover".parse().expect("name");
    let mut scheduler = PoolScheduler::new(host.expect("name"), zone.expect("name"), pool, seed);
    let kinds = vec![row("low", 5, 5_000), row("first", 0, 5_000)];
    scheduler
        .apply_plan(Moment::ZERO, Arc::new(PolicyPlan { kinds, ..PolicyPlan::default() }.into()));
    let records: Vec<_> = (0..upstreams).map(|index| upstream(index, 1)).collect();
    scheduler.apply_upstreams(Moment::ZERO, &records);
    scheduler
}

/// Lets an upstream ask for rest from `now` on.
fn rest(scheduler: &mut PoolScheduler, now: Moment, index: u16) -> SchedulerEffects {
    let stop = UpstreamStop { rest_until: now + REST, departs: false };
    scheduler.apply_stop(now, &upstream(index, 1).announcement.start(), stop)
}

/// Returns the upstreams at which requests start.
fn starts(effects: &[SchedulerEffect]) -> Vec<(RequestNumber, UpstreamId)> {
    let started = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Start { number, upstream, .. } => Some((*number, upstream.clone())),
        SchedulerEffect::Refuse { .. } => None,
    });
    started.collect()
}

fn refusals(effects: &[SchedulerEffect]) -> Vec<(RefusalCause, Duration)> {
    let refused = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Refuse { cause, retry_after, .. } => Some((*cause, *retry_after)),
        SchedulerEffect::Start { .. } => None,
    });
    refused.collect()
}

fn idle(index: u16) -> ProbeReading {
    let report = LoadReport { in_flight: Some(0), waiting: Some(0), ..LoadReport::default() };
    ProbeReading { upstream: upstream(index, 1).announcement.id, report }
}

// An upstream that turns everything away reports free slots, so that every way to choose one would
// choose it.
#[test]
fn no_way_to_place_a_request_chooses_a_resting_upstream() {
    let mut scheduler = scheduler(1, 2);
    rest(&mut scheduler, ASKED_AT, 0);
    let (now, deadline) = (ASKED_AT + 10 * MS, ASKED_AT + Duration::from_secs(2));
    let wanted = "u1".parse().expect("name");
    let query = ProbeQuery { probed: &[], wanted: 2, reach: ProbeReach::EveryZone };
    scheduler.set_probe_rate(1_000.0);
    let targets = scheduler.probe_targets(now, &ticket(1, 0, deadline), &query);
    assert!(targets.iter().all(|target| target.upstream == wanted), "{targets:?}");
    let readings = [idle(0), idle(1)];
    let placed = scheduler.arrive_probed(now, &ticket(2, 0, deadline), &readings);
    assert_eq!(starts(&placed), [(RequestNumber(2), wanted.clone())]);
    let mut retried = ticket(3, 0, deadline);
    retried.avoid = vec![wanted.clone()];
    assert_eq!(starts(&scheduler.arrive(now, &retried)), [(RequestNumber(3), wanted)]);
}

// A refused caller was told to come back while all upstreams still rested, and all callers of all
// hosts were told the same moment.
#[test]
fn callers_are_refused_at_once_until_the_first_rest_ends_and_come_back_spread() {
    let mut told = Vec::new();
    for seed in 0..20 {
        let mut scheduler = scheduler(seed, 3);
        for index in 0..3 {
            rest(&mut scheduler, ASKED_AT + u32::from(index) * 100 * MS, index);
        }
        let now = ASKED_AT + 300 * MS;
        let refused = refusals(&scheduler.arrive(now, &ticket(1, 0, now + Duration::from_secs(1))));
        let [(RefusalCause::UpstreamsResting, retry_after)] = refused[..] else {
            panic!("{refused:?}")
        };
        assert!(now + retry_after >= ASKED_AT + REST, "{retry_after:?}");
        assert!(now + retry_after < ASKED_AT + REST + Duration::from_millis(1_500));
        told.push(retry_after);
    }
    told.sort_unstable();
    assert!(told[19] - told[0] > 300 * MS, "{told:?}");
    assert!(told.windows(2).all(|pair| pair[0] != pair[1]), "{told:?}");
}

// A request with a long deadline was refused although the rest ended long before.
#[test]
fn a_request_whose_deadline_is_far_after_the_rest_waits_for_its_end() {
    let mut scheduler = scheduler(1, 1);
    rest(&mut scheduler, ASKED_AT, 0);
    let effects = scheduler.arrive(ASKED_AT, &ticket(1, 0, ASKED_AT + Duration::from_secs(60)));
    assert!(effects.is_empty(), "{effects:?}");
    let due = scheduler.next_wakeup().expect("it waits");
    assert!(due >= ASKED_AT + REST, "{due}");
    assert_eq!(starts(&scheduler.tick(ASKED_AT + REST - MS)), []);
    assert_eq!(starts(&scheduler.tick(due)).len(), 1);
}

// Requests that wait when the last upstream asks for rest were to be refused at their deadline.
#[test]
fn waiting_requests_are_refused_as_soon_as_the_last_upstream_rests() {
    let mut scheduler = scheduler(1, 1);
    let deadline = ASKED_AT + Duration::from_secs(1);
    let mut waiting = 0;
    for number in 0..12 {
        let effects = scheduler.arrive(ASKED_AT, &ticket(number, 0, deadline));
        waiting += usize::from(effects.is_empty());
    }
    assert!(waiting > 0);
    let refused = refusals(&rest(&mut scheduler, ASKED_AT, 0));
    assert_eq!(refused.len(), waiting);
    assert!(refused.iter().all(|(cause, _)| *cause == RefusalCause::UpstreamsResting));
}

// The upstream came back from its rest to the queue that had built up meanwhile.
#[test]
fn first_sends_after_a_rest_are_few_and_more_follow_answers() {
    let mut scheduler = scheduler(1, 1);
    rest(&mut scheduler, ASKED_AT, 0);
    let now = ASKED_AT + REST + Duration::from_millis(500);
    let deadline = now + Duration::from_secs(5);
    let mut running = Vec::new();
    for number in 0..8 {
        running.extend(starts(&scheduler.arrive(now, &ticket(number, 1, deadline))));
    }
    assert_eq!(running.len(), 1, "one at first");
    let next = scheduler.finish(now + WORK, running[0].0, AttemptOutcome::Answered, None);
    assert_eq!(starts(&next).len(), 2, "two after the first answer");
}

// Refusals of an upstream that rests lowered its usable slots, for longer than it had asked for.
#[test]
fn a_rest_says_nothing_of_health() {
    let mut scheduler = scheduler(1, 2);
    let mut now = ASKED_AT;
    for number in 0..200 {
        let started = starts(&scheduler.arrive(now, &ticket(number, 1, now + 500 * MS)));
        let [(number, upstream)] = &started[..] else { panic!("{started:?}") };
        let outcome = match upstream.as_str() {
            "u0" => AttemptOutcome::Rested,
            _ => AttemptOutcome::Answered,
        };
        now = now + WORK;
        scheduler.finish(now, *number, outcome, None);
    }
    let mut chosen = 0;
    for number in 200..400 {
        let started = starts(&scheduler.arrive(now, &ticket(number, 1, now + 500 * MS)));
        chosen += usize::from(started[0].1.as_str() == "u0");
        now = now + WORK;
        scheduler.finish(now, started[0].0, AttemptOutcome::Answered, None);
    }
    assert!((60..140).contains(&chosen), "{chosen} of 200");
}

// The rest of a former start kept work from an upstream that had restarted, or from another one at
// its address. A new configuration must not end a rest.
#[test]
fn a_rest_ends_with_the_incarnation_and_outlasts_a_new_plan() {
    let mut scheduler = scheduler(1, 1);
    rest(&mut scheduler, ASKED_AT, 0);
    let (now, deadline) = (ASKED_AT + 100 * MS, ASKED_AT + Duration::from_secs(1));
    let kinds = vec![row("low", 4, 5_000), row("first", 0, 5_000)];
    let plan = Arc::new(PolicyPlan { kinds, ..PolicyPlan::default() }.into());
    scheduler.apply_plan(now, plan);
    assert_eq!(starts(&scheduler.arrive(now, &ticket(1, 1, deadline))), []);
    let stop = UpstreamStop { rest_until: now + REST, departs: true };
    scheduler.apply_upstreams(now, &[upstream(0, 2)]);
    scheduler.apply_stop(now, &upstream(0, 1).announcement.start(), stop);
    assert_eq!(starts(&scheduler.arrive(now, &ticket(2, 1, deadline))).len(), 1);
    let mut other = upstream(7, 1);
    other.announcement.address = upstream(0, 1).announcement.address;
    rest(&mut scheduler, now, 0);
    scheduler.apply_upstreams(now, &[other]);
    assert_eq!(starts(&scheduler.arrive(now, &ticket(3, 1, deadline))).len(), 1);
}

#[test]
fn stops_hold_for_the_incarnation_that_asked() {
    let mut stops = UpstreamStops::default();
    let start = |incarnation| UpstreamStart {
        id: "u0".parse().expect("name"),
        incarnation: Incarnation(incarnation),
    };
    assert!(stops.record_rest(&start(2), ASKED_AT + REST));
    assert!(!stops.record_rest(&start(2), ASKED_AT), "a shorter one ends no longer one");
    assert!(!stops.record_rest(&start(1), ASKED_AT + 2 * REST), "late answer");
    assert!(stops.record_departure(&start(2)));
    assert!(!stops.record_departure(&start(2)), "doubled answer");
    assert_eq!(stops.find(&start(1)), UpstreamStop::default());
    assert_eq!(stops.find(&start(3)), UpstreamStop::default());
    assert!(stops.find(&start(2)).departs);
    assert!(stops.record_rest(&start(3), ASKED_AT + REST), "the next start begins anew");
    assert!(!stops.find(&start(3)).departs);
    stops.forget_ended(ASKED_AT, |_| true);
    assert!(!stops.is_empty());
    stops.forget_ended(ASKED_AT + REST, |_| true);
    assert!(stops.is_empty());
}

/// Sends requests of both kinds at the rate that half of a pool bears to three quarters. Returns the
/// requests started at each upstream, and the refused ones by kind.
fn press_half(upstreams: u16) -> (Vec<u64>, [u64; 2]) {
    let mut scheduler = scheduler(1, upstreams);
    for index in 0..upstreams / 2 {
        rest(&mut scheduler, ASKED_AT, index);
    }
    let capacity = f64::from(upstreams.div_ceil(2)) * 4.0;
    let pause = WORK.div_f64(0.75 * capacity);
    let (mut counts, mut refused) = (vec![0; usize::from(upstreams)], [0; 2]);
    let mut running: std::collections::VecDeque<(Moment, RequestNumber)> = Default::default();
    let (mut now, mut number) = (ASKED_AT, 0);
    while now < ASKED_AT + REST.mul_f32(0.9) {
        while let Some((end, ended)) = running.front().copied().filter(|(end, _)| *end <= now) {
            running.pop_front();
            let effects = scheduler.finish(end, ended, AttemptOutcome::Answered, None);
            for (started, upstream) in starts(&effects) {
                counts[upstream.as_str()[1..].parse::<usize>().expect("index")] += 1;
                running.push_back((now + WORK, started));
            }
        }
        let kind = usize::from(number % 2 == 0);
        let effects = scheduler.arrive(now, &ticket(number, kind, now + 500 * MS));
        refused[kind] += refusals(&effects).len() as u64;
        for (started, upstream) in starts(&effects) {
            counts[upstream.as_str()[1..].parse::<usize>().expect("index")] += 1;
            running.push_back((now + WORK, started));
        }
        number += 1;
        now = now + pause;
    }
    assert!(scheduler.waiting() <= 2, "{} wait", scheduler.waiting());
    (counts, refused)
}

// Half of a pool rests and the other half bears the load: nobody is refused or waits, and none of the
// others gets far more than its part.
#[test]
fn half_of_a_small_and_of_a_large_pool_rests_without_queue_or_herd() {
    for upstreams in [3, 1_000] {
        let (counts, refused) = press_half(upstreams);
        assert_eq!(refused, [0, 0], "{upstreams}");
        let (resting, working) = counts.split_at(usize::from(upstreams / 2));
        assert!(resting.iter().all(|count| *count == 0), "{upstreams}");
        let mean = working.iter().sum::<u64>() / working.len() as u64;
        let most = working.iter().max().expect("some work");
        assert!(*most <= 2 * mean + 8, "{upstreams}: {most} of {mean}");
    }
}

// An upstream whose lease had ended, or whose zone was emptied, when its rest ended never got work again.
#[test]
fn an_upstream_that_was_away_when_its_rest_ended_takes_work_again() {
    let emptied = UpstreamRecord { takes_work: false, ..upstream(0, 1) };
    for away in [vec![], vec![emptied]] {
        let mut scheduler = scheduler(1, 1);
        rest(&mut scheduler, ASKED_AT, 0);
        scheduler.apply_upstreams(ASKED_AT + 100 * MS, &away);
        let now = ASKED_AT + 2 * REST;
        scheduler.tick(now);
        scheduler.apply_upstreams(now, &[upstream(0, 1)]);
        let effects = scheduler.arrive(now, &ticket(1, 1, now + Duration::from_secs(1)));
        assert_eq!(starts(&effects).len(), 1, "{effects:?}");
    }
}

// The same, where it is back before the end of its rest, which then has to be noticed.
#[test]
fn an_upstream_that_is_back_within_its_rest_takes_work_after_it() {
    let mut scheduler = scheduler(1, 1);
    rest(&mut scheduler, ASKED_AT, 0);
    scheduler.apply_upstreams(ASKED_AT + 100 * MS, &[]);
    scheduler.tick(ASKED_AT + 150 * MS);
    scheduler.apply_upstreams(ASKED_AT + 200 * MS, &[upstream(0, 1)]);
    let deadline = ASKED_AT + 3 * REST;
    let early = scheduler.arrive(ASKED_AT + 300 * MS, &ticket(1, 1, ASKED_AT + REST));
    assert_eq!(refusals(&early).len(), 1, "{early:?}");
    let later = scheduler.arrive(ASKED_AT + 2 * REST, &ticket(2, 1, deadline));
    assert_eq!(starts(&later).len(), 1, "{later:?}");
}
