//! Limits that change, end, come again or cannot be read.

use std::time::Duration;

use crate::limit_fleet::{LimitFleet, SETTLE_TIME, allowed, seeds};

const SPAN: Duration = Duration::from_secs(8);
const LOAD: f64 = 400.0;

/// Runs a fleet until a new limit binds, then measures its requests within 4 s.
fn most_under(fleet: &mut LimitFleet, limit: &str) -> usize {
    fleet.set_limit(0, Some(limit));
    fleet.run(SETTLE_TIME, LOAD);
    fleet.reset_counts();
    fleet.run(SPAN, LOAD);
    fleet.most(0)
}

// Hosts that did not send to the upstream lately go by the limit that it had before.
#[test]
fn a_limit_that_falls_and_rises_is_kept_everywhere() {
    for seed in seeds(11) {
        for hosts in [5, 40, 200] {
            let mut fleet = LimitFleet::new(hosts, 4, seed);
            for limit in ["120", "3", "0.3", "45.5", "2"] {
                let most = most_under(&mut fleet, limit);
                let allowed = allowed(limit.parse().unwrap());
                assert!(most <= allowed, "{hosts} hosts, limit {limit}: {most} of {allowed}");
            }
            assert!(fleet.outcomes.served() > 0.99);
        }
    }
}

// An upstream that has recovered stays idle because few hosts learn of it.
#[test]
fn an_upstream_whose_limit_has_ended_gets_its_share_again() {
    for seed in seeds(12) {
        for hosts in [5, 40, 200] {
            for limit in ["0", "0.4", "6"] {
                let mut fleet = LimitFleet::new(hosts, 4, seed);
                most_under(&mut fleet, limit);
                fleet.set_limit(0, None);
                fleet.run(Duration::from_secs(15), LOAD);
                fleet.reset_counts();
                fleet.run(SPAN, LOAD);
                let got = fleet.upstreams[0].arrivals.len() as f64 / SPAN.as_secs_f64();
                assert!(
                    got > LOAD / 4.0 / 2.0,
                    "{hosts} hosts after limit {limit}: {got} a second"
                );
            }
        }
    }
}

// A limit that comes again is taken for the old one that has ended.
#[test]
fn a_limit_that_ends_and_comes_again_is_kept() {
    for seed in seeds(13) {
        for hosts in [5, 40, 200] {
            let mut fleet = LimitFleet::new(hosts, 4, seed);
            for round in 0..3 {
                let most = most_under(&mut fleet, "4.5");
                assert!(most <= allowed(4.5), "{hosts} hosts, round {round}: {most} in 4 s");
                fleet.set_limit(0, None);
                fleet.run(Duration::from_millis(2_500), LOAD);
            }
        }
    }
}

// A value that cannot be read lifts the limit, or is taken for a limit of nothing.
#[test]
fn unreadable_values_change_nothing() {
    for seed in seeds(14) {
        let mut fleet = LimitFleet::new(40, 4, seed);
        for unreadable in ["", "-3", "NaN", "many"] {
            fleet.set_limit(0, Some(unreadable));
            fleet.run(Duration::from_secs(2), LOAD);
        }
        fleet.reset_counts();
        fleet.run(SPAN, LOAD);
        let got = fleet.upstreams[0].arrivals.len() as f64 / SPAN.as_secs_f64();
        assert!(got > LOAD / 4.0 / 2.0, "{got} a second without a limit that can be read");

        most_under(&mut fleet, "4.5");
        fleet.set_limit(0, Some("4.5.6"));
        fleet.run(SETTLE_TIME, LOAD);
        fleet.reset_counts();
        fleet.run(SPAN, LOAD);
        let most = fleet.most(0);
        assert!(most <= allowed(4.5), "{most} in 4 s after the value became unreadable");
    }
}

// Probes of upstreams that name their limit in answers to requests alone seem to say that it has
// ended.
#[test]
fn answers_to_probes_that_name_no_limit_do_not_end_it() {
    for seed in seeds(15) {
        for names_in_probes in [false, true] {
            let mut fleet = LimitFleet::new(40, 4, seed);
            if names_in_probes {
                fleet.name_in_probes(0);
            }
            let most = most_under(&mut fleet, "4.5");
            assert!(most <= allowed(4.5), "named in probes: {names_in_probes}; {most} in 4 s");
        }
    }
}
