//! What callers get while a zone's upstreams are gone and nobody has said so.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

// A third of a pool's upstreams lose power at one moment, and their leases hold for seconds yet. The
// callers of that zone are to be answered in time by the other zones, which have room for them, from the
// first second on.
#[test]
fn callers_of_a_zone_that_went_dark_are_answered_in_time_by_others() {
    let mut fleet = EntryFleet::new(60, 60, None, 5);
    fleet.run(Duration::from_secs(2), 600.0);
    fleet.darken(0);
    fleet.count_anew();
    fleet.run(Duration::from_secs(3), 600.0);
    assert!(fleet.in_time() > 0.9, "in time: {}", fleet.in_time());
}
