//! How many upstreams a content ends over all hosts.

use std::time::Duration;

use crate::content_fleet::{ContentFleet, Effect, digest, key};

const SIZES: [usize; 4] = [3, 30, 150, 1_000];

// Each host counts three attempts of its own, and the caller repeats through the next host 30 ms later.
#[test]
fn one_caller_ends_three_upstreams_over_all_hosts() {
    for size in SIZES {
        let mut fleet = ContentFleet::new(size, Effect::Ends);
        fleet.call(&key(1), 0);
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.ends.len(), 3, "{size} hosts");
        assert!(fleet.is_quarantined_everywhere(&key(1)), "{size} hosts");
    }
}

// Callers with the same content pass from host to host, one after the other.
#[test]
fn twenty_callers_one_after_the_other_end_three_upstreams() {
    for size in SIZES {
        let mut fleet = ContentFleet::new(size, Effect::Ends);
        for caller in 0..20 {
            fleet.call(&key(1), caller * 7);
            fleet.run(Duration::from_millis(400));
        }
        assert_eq!(fleet.ends.len(), 3, "{size} hosts");
    }
}

// Twenty hosts begin the same content before any of them can know of the first end.
#[test]
fn callers_of_one_moment_end_one_upstream_more_than_begin_before_the_first_end() {
    for size in [30, 150, 1_000] {
        let mut fleet = ContentFleet::new(size, Effect::Ends);
        for caller in 0..20 {
            fleet.call(&key(1), caller);
        }
        fleet.run(Duration::from_secs(2));
        let first = fleet.ends[0];
        let begun = fleet.runs.iter().filter(|run| **run <= first).count();
        assert_eq!(begun, 20, "{size} hosts");
        assert!(fleet.ends.len() <= begun + 1, "{size} hosts: {} ends", fleet.ends.len());
    }
}

// A host that has not heard of the first end runs the content once more.
#[test]
fn lost_messages_let_few_more_upstreams_end() {
    for size in [30, 150] {
        let mut fleet = ContentFleet::new(size, Effect::Ends);
        fleet.loss = 0.05;
        for caller in 0..20 {
            fleet.call(&key(1), caller * 7);
            fleet.run(Duration::from_millis(100));
        }
        assert!(fleet.ends.len() <= 6, "{size} hosts: {} ends", fleet.ends.len());
    }
}

// Popular content runs at every upstream of a rack that is lost.
#[test]
fn content_that_met_a_crash_of_many_upstreams_is_cleared_by_one_answer() {
    for size in SIZES {
        let mut fleet = ContentFleet::new(size, Effect::Works);
        for upstream in 0..12 {
            fleet.crash_under(&key(1), upstream % size, upstream);
        }
        fleet.serve_thirty(&key(1));
    }
}

// A new version of the upstreams' software mends the fault, and callers still send the content.
#[test]
fn mended_content_is_allowed_again_after_its_quarantine() {
    let mut fleet = ContentFleet::new(30, Effect::Ends);
    fleet.call(&key(1), 0);
    fleet.run(Duration::from_secs(1));
    assert!(fleet.is_quarantined_everywhere(&key(1)));
    fleet.effect = Effect::Works;
    fleet.call(&key(1), 3);
    fleet.run(Duration::from_secs(30));
    assert_eq!((fleet.served, fleet.refused), (0, 2), "still quarantined");
    fleet.run(Duration::from_secs(32));
    for caller in 0..10 {
        fleet.call(&key(1), caller);
    }
    fleet.run(Duration::from_secs(1));
    assert_eq!((fleet.served, fleet.refused), (10, 2));
    assert!(fleet.is_cleared_everywhere(&key(1)));
}

// Callers go on sending a content that is never mended.
#[test]
fn content_that_still_ends_upstreams_is_tried_ever_more_rarely() {
    let mut fleet = ContentFleet::new(3, Effect::Ends);
    for caller in 0..1_200 {
        fleet.call(&key(1), caller);
        fleet.run(Duration::from_secs(1));
    }
    // Trials after 60, 120, 240 and 480 s of quarantine.
    assert!(fleet.ends.len() <= 7, "{} ends in 20 minutes", fleet.ends.len());
}

// Every request of an attacker has another content, and each ends an upstream.
#[test]
fn memory_and_messages_are_bounded_where_every_content_ends_an_upstream() {
    let mut fleet = ContentFleet::new(30, Effect::Ends);
    let before: usize = fleet.hosts.iter().map(|host| host.sent_bytes).sum();
    for second in 0..5_u32 {
        for number in 0..1_000_u32 {
            let mut tag = [0; 32];
            tag[..4].copy_from_slice(&(second * 1_000 + number).to_be_bytes());
            let content = pulley_core::process::ContentKey { digest: digest(&tag), ..key(0) };
            fleet.crash_under(&content, number as usize % 30, number as usize);
        }
        fleet.run(Duration::from_secs(1));
    }
    let known = fleet.hosts.iter().map(|host| host.exchange.suspects().count()).max();
    assert!(known.is_some_and(|known| known <= 4_096), "{known:?} records");
    let sent: usize = fleet.hosts.iter().map(|host| host.sent_bytes).sum::<usize>() - before;
    let rate = sent / 30 / 5;
    assert!(rate <= 17_000, "{rate} bytes a second at each host");
}
