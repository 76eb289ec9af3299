//! Answers in time in a rush in which refused callers come back.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

/// Returns the part of a rush's requests, and of those in the seconds after it, that are answered
/// in time.
fn in_time_around_a_rush(seed: u64, are_patient: bool) -> f64 {
    let mut fleet = EntryFleet::new(60, 60, None, seed);
    fleet.caller_returns = 2;
    fleet.are_patient = are_patient;
    fleet.full_times = 1.7;
    fleet.run(Duration::from_secs(2), 600.0);
    fleet.count_anew();
    fleet.run(Duration::from_secs(3), 1_800.0);
    fleet.run(Duration::from_secs(3), 600.0);
    fleet.in_time()
}

// For three seconds a pool gets more requests than it can handle, and every refused caller comes
// back twice. Callers that come back at once are already late and take the slots of requests that
// could be answered in time. Respecting the retry delay must leave more answers in time.
#[test]
fn callers_that_come_back_when_told_leave_more_in_time() {
    for seed in [6, 7, 8] {
        let (told, at_once) =
            (in_time_around_a_rush(seed, true), in_time_around_a_rush(seed, false));
        assert!(told > at_once, "seed {seed}: {told} as told, {at_once} at once");
    }
}
