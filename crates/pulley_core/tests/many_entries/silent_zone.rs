//! Measures the fraction of requests answered in time after a zone's upstreams have vanished
//! without notice.

use std::time::Duration;

use crate::entry_fleet::EntryFleet;

// A third of a pool's upstreams lose power at the same moment, and their leases are still valid for
// seconds. From the first second on, the callers of that zone must be answered in time by the other
// zones, which have room for them.
#[test]
fn callers_of_an_unreachable_zone_are_answered_in_time_by_others() {
    let mut fleet = EntryFleet::new(60, 60, None, 5);
    fleet.run(Duration::from_secs(2), 600.0);
    fleet.make_unreachable(0);
    fleet.reset_counts();
    fleet.run(Duration::from_secs(3), 600.0);
    assert!(fleet.in_time() > 0.9, "in time: {}", fleet.in_time());
}
