//! Measures the fraction of requests answered in time around a burst in which refused callers come
//! back.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

/// Returns the fraction of a burst's requests, and of those in the seconds after it, that are
/// answered in time.
fn in_time_around_a_rush(seed: u64, respects_retry_delay: bool) -> f64 {
    let mut fleet = EntryFleet::new(60, 60, None, seed);
    fleet.max_returns = 2;
    fleet.respects_retry_delay = respects_retry_delay;
    fleet.full_slowdown = 1.7;
    fleet.run(Duration::from_secs(2), 600.0);
    fleet.reset_counts();
    fleet.run(Duration::from_secs(3), 1_800.0);
    fleet.run(Duration::from_secs(3), 600.0);
    fleet.in_time()
}

// For three seconds a pool gets more requests than it can handle, and every refused caller comes
// back twice. Callers that come back at once are already late and take the slots of requests that
// could be answered in time. Respecting the retry delay must leave more answers in time.
#[test]
fn respecting_the_retry_delay_leaves_more_answers_in_time() {
    for seed in [6, 7, 8] {
        let (told, at_once) =
            (in_time_around_a_rush(seed, true), in_time_around_a_rush(seed, false));
        assert!(told > at_once, "seed {seed}: {told} with retry delay, {at_once} without");
    }
}
