//! The ways in which a content can end upstreams, and conditions under which hosts find out.

use std::time::Duration;

use crate::content_fleet::{ContentFleet, Effect, EndSign, MILLISECOND, key, key_in};

const SIZES: [usize; 4] = [3, 30, 150, 1_000];

const WAYS: [EndSign; 5] = [
    EndSign::Refusal,
    EndSign::Restart(Duration::from_millis(100)),
    EndSign::Restart(Duration::from_millis(1_500)),
    EndSign::Silence(Duration::from_millis(1_500)),
    EndSign::CallerLeft,
];

/// Hosts whose upstreams end in a way.
fn fleet(size: usize, sign: EndSign) -> ContentFleet {
    let mut fleet = ContentFleet::new(size, Effect::Ends);
    fleet.sign = sign;
    fleet
}

/// The runs of twenty callers that may begin after the third upstream has ended.
fn allowed_late(sign: EndSign) -> usize {
    if matches!(sign, EndSign::Silence(_)) { 4 } else { 2 }
}

fn send_twenty(fleet: &mut ContentFleet) {
    for caller in 0..20 {
        fleet.call(&key(1), caller * 7);
        fleet.run(Duration::from_millis(400));
    }
    fleet.run(Duration::from_secs(3));
}

// An end that shows late, or not at all, must count before the caller repeats its request.
#[test]
fn one_caller_ends_three_upstreams_in_any_way() {
    for (size, way) in SIZES.into_iter().flat_map(|size| WAYS.map(|way| (size, way))) {
        let mut fleet = fleet(size, way);
        fleet.call(&key(1), 0);
        fleet.run(Duration::from_secs(5));
        assert_eq!(fleet.late_runs(), 0, "{size} hosts, {way:?}");
        assert!(fleet.ends.len() <= 3, "{size} hosts, {way:?}: {} ends", fleet.ends.len());
    }
}

// Each caller passes through other hosts, which have seen none of the ends.
#[test]
fn twenty_callers_end_few_upstreams_after_the_third_in_any_way() {
    for (size, way) in SIZES.into_iter().flat_map(|size| WAYS.map(|way| (size, way))) {
        let mut fleet = fleet(size, way);
        send_twenty(&mut fleet);
        let late = fleet.late_runs();
        assert!(late <= allowed_late(way), "{size} hosts, {way:?}: {late} late runs");
        assert!(fleet.is_quarantined_everywhere(&key(1)), "{size} hosts, {way:?}");
    }
}

// A host that decides on its own before its keeper's answer arrives lets one more upstream end.
#[test]
fn late_messages_let_few_more_upstreams_end() {
    for (size, way) in [3, 24, 150, 1_000].into_iter().flat_map(|size| WAYS.map(|way| (size, way)))
    {
        let mut fleet = fleet(size, way);
        fleet.delay = (60 * MILLISECOND, 90 * MILLISECOND);
        send_twenty(&mut fleet);
        let late = fleet.late_runs();
        assert!(late <= allowed_late(way), "{size} hosts, {way:?}: {late} late runs");
    }
}

// Hosts that ask their keeper at the same moment must all wait for its late answer.
#[test]
fn hosts_that_get_late_answers_do_not_decide_on_their_own() {
    for size in [10, 150] {
        let mut fleet = fleet(size, EndSign::Refusal);
        fleet.delay = (70 * MILLISECOND, 95 * MILLISECOND);
        fleet.crash_under(&key(1), 3, 900);
        fleet.run(Duration::from_secs(3));
        assert!(fleet.standings(&key(1)).iter().all(Option::is_some), "all hosts know of it");
        for host in 0..10 {
            fleet.call(&key(1), host);
        }
        fleet.run(Duration::from_secs(3));
        // One upstream was lost before, by another cause.
        assert!(fleet.ends.len() <= 2, "{size} hosts: {} ends", fleet.ends.len());
    }
}

// Hosts that get no processor time for half of the time answer each other late.
#[test]
fn hosts_short_of_processor_time_let_few_more_upstreams_end() {
    for (size, way) in [3, 24, 150, 1_000].into_iter().flat_map(|size| WAYS.map(|way| (size, way)))
    {
        let mut fleet = fleet(size, way);
        fleet.stopped = 100 * MILLISECOND;
        send_twenty(&mut fleet);
        let late = fleet.late_runs();
        assert!(late <= allowed_late(way), "{size} hosts, {way:?}: {late} late runs");
    }
}

// Hosts of each part of a cut know of the ends in their part only.
#[test]
fn each_part_of_a_cut_ends_three_upstreams_in_any_way() {
    for (size, way) in [30, 150, 1_000].into_iter().flat_map(|size| WAYS.map(|way| (size, way))) {
        let mut fleet = fleet(size, way);
        let (part, others): (Vec<usize>, Vec<usize>) =
            (0..size).partition(|index| *index < size / 6);
        fleet.cut_off(&part);
        fleet.set_view(&part, &part);
        fleet.set_view(&others, &others);
        send_twenty(&mut fleet);
        let allowed = 6 + 2 * allowed_late(way);
        let ends = fleet.ends.len();
        assert!(ends <= allowed, "{size} hosts, {way:?}: {ends} ends");
    }
}

// A row is split over two pools, or its service is changed while the content still comes.
#[test]
fn pools_that_have_not_answered_a_content_end_three_upstreams_together() {
    for (size, way) in [3, 30].into_iter().flat_map(|size| WAYS.map(|way| (size, way))) {
        let mut fleet = fleet(size, way);
        fleet.row_pools = ["canary", "cover"].map(|pool| pool.parse().unwrap()).to_vec();
        for caller in 0..20 {
            let pool = ["cover", "canary"][caller % 2];
            fleet.call(&key_in(pool, 1), caller * 7);
            fleet.run(Duration::from_millis(400));
        }
        let late = fleet.late_runs();
        assert!(late <= allowed_late(way), "{size} hosts, {way:?}: {late} late runs");
    }
}

// The new version of a canary ends under content that the old one answers.
#[test]
fn a_broken_canary_takes_its_content_from_no_other_pool() {
    for (size, way) in [3, 30, 150].into_iter().flat_map(|size| WAYS.map(|way| (size, way))) {
        let mut fleet = fleet(size, way);
        fleet.sound_pool = Some("cover".parse().unwrap());
        fleet.row_pools = ["canary", "cover"].map(|pool| pool.parse().unwrap()).to_vec();
        let mut calls = 0;
        for caller in 0..60 {
            let is_canary = caller % 10 == 0;
            fleet.call(&key_in(if is_canary { "canary" } else { "cover" }, 1), caller * 7);
            calls += usize::from(!is_canary);
            fleet.run(Duration::from_millis(100));
        }
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.served, calls, "{size} hosts, {way:?}");
        assert!(fleet.ends.len() <= 3 + allowed_late(way), "{way:?}: {}", fleet.ends.len());
    }
}

// A rack without power answers none of the requests that ran there, and popular content ran at all.
#[test]
fn popular_content_is_served_while_many_of_its_runs_are_undecided() {
    for size in SIZES {
        let mut fleet = ContentFleet::new(size, Effect::Works);
        for upstream in 0..12 {
            fleet.silence_under(&key(1), upstream % size, upstream);
        }
        fleet.serve_thirty(&key(1));
    }
}

// The host that follows a run is lost before it has decided, and nobody else would.
#[test]
fn a_run_that_nobody_decides_counts_no_more_after_a_while() {
    let mut fleet = ContentFleet::new(5, Effect::Works);
    fleet.silence_under(&key(1), 2, 7);
    fleet.run(100 * MILLISECOND);
    assert!(fleet.standings(&key(1)).iter().all(Option::is_some), "all hosts know of it");
    fleet.restart(2);
    fleet.run(Duration::from_secs(15));
    assert!(fleet.is_cleared_everywhere(&key(1)));
}

// A connection was reset, or an upstream was slow, and nothing has ended.
#[test]
fn runs_whose_upstreams_live_on_count_no_more_once_these_are_heard_from() {
    let mut fleet = ContentFleet::new(30, Effect::Works);
    for upstream in 0..3 {
        fleet.silence_under(&key(1), upstream, upstream);
    }
    fleet.run(Duration::from_secs(4));
    assert!(fleet.is_cleared_everywhere(&key(1)));
}
