//! Answers in time in a rush where upstreams slow down when they are full, and where they don't.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

/// Returns the part of a rush's requests that are answered in time, after some seconds at a lower
/// rate.
fn in_time_in_a_rush(full_times: f64, before: f64, a_second: f64) -> f64 {
    let mut fleet = EntryFleet::new(60, 60, None, 9);
    fleet.full_times = full_times;
    fleet.run(Duration::from_secs(5), before);
    fleet.count_anew();
    fleet.run(Duration::from_secs(3), a_second);
    fleet.in_time()
}

// Upstreams of four slots take 1.7 times as long for everything while all four are taken, so their
// throughput is higher with three. A rush that three slots of each can handle must be handled.
// Filling the fourth must not turn it into one that makes most callers late.
#[test]
fn a_rush_that_upstreams_bear_with_a_slot_free_is_borne() {
    let in_time = in_time_in_a_rush(1.7, 600.0, 1_200.0);
    assert!(in_time > 0.9, "in time: {in_time}");
}

// The same upstreams are as fast with all four slots taken. That cost must be learned from answers,
// and the fourth slot used, which the rush needs.
#[test]
fn a_rush_that_needs_every_slot_gets_it_where_that_does_no_harm() {
    let in_time = in_time_in_a_rush(1.0, 1_500.0, 1_850.0);
    assert!(in_time > 0.9, "in time: {in_time}");
}
