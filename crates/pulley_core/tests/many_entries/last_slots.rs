//! Measures the fraction of requests answered in time during a burst, with upstreams that slow down
//! when they are full and with upstreams that don't.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

/// Runs some seconds at the rate `before`, then a burst, and returns the fraction of the burst's
/// requests that are answered in time.
fn in_time_in_a_rush(full_slowdown: f64, before: f64, per_second: f64) -> f64 {
    let mut fleet = EntryFleet::new(60, 60, None, 9);
    fleet.full_slowdown = full_slowdown;
    fleet.run(Duration::from_secs(5), before);
    fleet.reset_counts();
    fleet.run(Duration::from_secs(3), per_second);
    fleet.in_time()
}

// Upstreams of four slots take 1.7 times as long for everything while all four are taken, so their
// throughput is higher with three. A burst that three slots of each upstream can handle must be
// handled. Filling the fourth must not turn it into one that makes most callers late.
#[test]
fn a_rush_is_handled_by_leaving_last_slots_free() {
    let in_time = in_time_in_a_rush(1.7, 600.0, 1_200.0);
    assert!(in_time > 0.9, "in time: {in_time}");
}

// The same upstreams are as fast with all four slots taken. Entries must learn from answers that
// the fourth slot costs nothing, and use it, because the burst needs it.
#[test]
fn a_rush_gets_every_slot_where_last_slots_cost_nothing() {
    let in_time = in_time_in_a_rush(1.0, 1_500.0, 1_850.0);
    assert!(in_time > 0.9, "in time: {in_time}");
}
