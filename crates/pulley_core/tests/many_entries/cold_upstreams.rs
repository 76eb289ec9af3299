//! The combined load of all entries on cold upstreams.

use std::time::Duration;

use pulley_core::process::UpstreamPhase;
use pulley_core::process::UpstreamRecord;

use crate::entry_fleet::{COLD_LIMIT, COLD_SPAN, EntryFleet, record, warm_up};

// A third of a pool's upstreams come back cold at the same moment under peak load, and two hundred
// entries learn of it within 0.3 s. No upstream may get more in any second than it can handle cold,
// as it would crash. Callers must still be answered by the other two thirds and by what the cold
// upstreams can handle.
#[test]
fn a_zone_that_returns_cold_in_a_rush_is_not_overloaded() {
    let mut pool = EntryFleet::new(200, 117, Some(warm_up()), 1);
    pool.run(Duration::from_secs(2), 280.0);
    pool.make_cold(0, true);
    pool.reset_counts();
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_LIMIT, "{busiest} requests in one second");
    let cold = pool.upstreams.iter().map(|upstream| upstream.cold_arrivals.len()).sum::<usize>();
    assert!(cold >= 39 * 3, "cold upstreams stand idle: {cold} requests for 39 of them");
    assert!(pool.in_time() > 0.9, "in time: {}", pool.in_time());
}

// Upstreams turn cold again without a restart, as those of an evacuated zone may, and don't
// announce it. Entries learn it only from probe answers, nearly all at the same moment. Together
// they must keep to the limit of a cold upstream.
#[test]
fn upstreams_that_turn_cold_unannounced_are_not_overloaded() {
    let mut pool = EntryFleet::new(200, 117, Some(warm_up()), 2);
    pool.run(Duration::from_secs(2), 280.0);
    pool.make_cold(1, false);
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_LIMIT, "{busiest} requests in one second");
}

// Half of the entries have lost contact with the other half. Each half considers the other dead
// while it still reaches all upstreams. Both halves then assign cold upstreams to their own
// entries, and together must still keep to the limit of each cold upstream.
#[test]
fn two_partitioned_halves_do_not_overload_cold_upstreams() {
    let mut pool = EntryFleet::new(200, 117, Some(warm_up()), 3);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..100).collect(), (100..200).collect());
    pool.run(Duration::from_secs(2), 280.0);
    pool.set_live_entries(&left, &left);
    pool.set_live_entries(&right, &right);
    pool.make_cold(0, true);
    pool.run(COLD_SPAN, 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_LIMIT, "{busiest} requests in one second");
}

// A zone is taken back into use after its evacuation. Its upstreams may be cold without having
// announced it yet. All entries get them back at the same moment and must probe them first.
#[test]
fn a_restored_zone_is_probed_before_it_gets_work() {
    let mut pool = EntryFleet::new(200, 117, Some(warm_up()), 4);
    pool.run(Duration::from_secs(1), 280.0);
    let records = |takes_work: bool| -> Vec<UpstreamRecord> {
        let all = (0..117).map(|index| record(index, 1, UpstreamPhase::Ready));
        let closed = |record: UpstreamRecord| {
            let is_emptied = record.announcement.zone.as_str() == "c";
            UpstreamRecord { takes_work: takes_work || !is_emptied, ..record }
        };
        all.map(closed).collect()
    };
    pool.announce(&records(false), 0);
    pool.run(Duration::from_secs(4), 280.0);
    pool.make_cold(2, false);
    pool.announce(&records(true), 0);
    pool.reset_counts();
    pool.run(COLD_SPAN + Duration::from_secs(2), 2_000.0);
    let busiest = pool.busiest_second();
    assert!(busiest <= COLD_LIMIT, "{busiest} requests in one second");
    assert!(pool.in_time() > 0.9, "in time: {}", pool.in_time());
    let warm: usize =
        pool.upstreams.iter().skip(2).step_by(3).map(|upstream| upstream.running.len()).sum();
    assert!(warm > 10, "the zone gets hardly any work once it is warm: {warm}");
}
