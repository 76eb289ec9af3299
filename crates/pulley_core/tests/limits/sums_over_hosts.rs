//! Limits of many sizes over fleets of many sizes.

use std::time::Duration;

use crate::limit_fleet::{LimitFleet, SETTLE_TIME, allowed, seeds};

const RUN: Duration = Duration::from_secs(12);

// Each host keeps to the limit, and the sum over all hosts does not.
#[test]
fn the_sum_over_all_hosts_keeps_to_one_limit() {
    for seed in seeds(1) {
        for hosts in [3, 20, 60, 200] {
            for limit in ["0.2", "0.75", "4.5", "30", "240"] {
                let mut fleet = LimitFleet::new(hosts, 6, seed);
                fleet.run(Duration::from_secs(3), 600.0);
                fleet.set_limit(0, Some(limit));
                fleet.run(SETTLE_TIME, 600.0);
                fleet.reset_counts();
                fleet.run(RUN, 600.0);
                let rate: f64 = limit.parse().unwrap();
                let most = fleet.most(0);
                assert!(most <= allowed(rate), "{hosts} hosts, limit {limit}: {most} in 4 s");
                let served = fleet.outcomes.served();
                assert!(
                    served > 0.99,
                    "{hosts} hosts, limit {limit}: {served} served by the others"
                );
            }
        }
    }
}

// A limit that is kept by sending nothing gives up callers and never shows its own end.
#[test]
fn a_limited_upstream_gets_most_of_what_it_allows() {
    for seed in seeds(2) {
        for (hosts, limit) in [(3, 4.5), (20, 4.5), (20, 30.0), (200, 4.5), (200, 60.0)] {
            let mut fleet = LimitFleet::new(hosts, 6, seed);
            fleet.set_limit(0, Some(&limit.to_string()));
            fleet.run(SETTLE_TIME, 900.0);
            fleet.reset_counts();
            fleet.run(RUN, 900.0);
            let got = fleet.upstreams[0].arrivals.len() as f64 / RUN.as_secs_f64();
            assert!(got > 0.5 * limit, "{hosts} hosts, limit {limit}: {got} a second");
        }
    }
}

// Callers beyond what all upstreams allow are held until they are late, or told to come back when
// they are refused again.
#[test]
fn callers_beyond_the_limits_of_a_whole_pool_are_refused_at_once() {
    for seed in seeds(3) {
        for (hosts, limit) in [(3, 6.0), (20, 4.5), (200, 9.0)] {
            let mut fleet = LimitFleet::new(hosts, 8, seed);
            fleet.max_returns = 1;
            (0..8).for_each(|upstream| fleet.set_limit(upstream, Some(&limit.to_string())));
            fleet.run(SETTLE_TIME, 200.0);
            fleet.reset_counts();
            fleet.run(RUN, 200.0);
            for upstream in 0..8 {
                let most = fleet.most(upstream);
                assert!(most <= allowed(limit), "{hosts} hosts, limit {limit}: {most} in 4 s");
            }
            let in_time = f64::from(fleet.outcomes.in_time) / RUN.as_secs_f64();
            assert!(in_time > 0.7 * 8.0 * limit, "{hosts} hosts: {in_time} a second in time");
            let held = fleet.outcomes.longest_held;
            assert!(held < Duration::from_millis(150), "{hosts} hosts: held for {held:?}");
        }
    }
}

// Two hundred hosts with few callers each divide a small limit into parts that no host can use.
#[test]
fn few_callers_at_many_hosts_are_served_within_the_limit_of_the_only_upstream() {
    for seed in seeds(4) {
        for (hosts, limit, per_second) in [(200, 6.0, 3.0), (200, 40.0, 24.0), (20, 6.0, 3.0)] {
            let mut fleet = LimitFleet::new(hosts, 1, seed);
            fleet.max_returns = 2;
            fleet.set_limit(0, Some(&limit.to_string()));
            fleet.run(SETTLE_TIME, per_second);
            fleet.reset_counts();
            fleet.run(RUN * 4, per_second);
            let most = fleet.most(0);
            assert!(most <= allowed(limit), "{hosts} hosts, limit {limit}: {most} in 4 s");
            let served = fleet.outcomes.served();
            assert!(served > 0.9, "{hosts} hosts, limit {limit}: {served} served");
        }
    }
}

// Failed attempts are retried at other upstreams, and upstreams call the pool themselves; neither
// may come on top of a limit.
#[test]
fn second_attempts_and_calls_of_upstreams_keep_to_limits() {
    for seed in seeds(5) {
        let mut fleet = LimitFleet::new(40, 5, seed);
        (fleet.failures, fleet.calls, fleet.skew) = (0.3, 0.3, 0.5);
        (0..3).for_each(|upstream| fleet.set_limit(upstream, Some("5.5")));
        fleet.run(SETTLE_TIME, 300.0);
        fleet.reset_counts();
        fleet.run(RUN, 300.0);
        for upstream in 0..3 {
            let most = fleet.most(upstream);
            assert!(most <= allowed(5.5), "{most} in 4 s");
        }
    }
}

// Questions for permits that grow with the callers would fill the links of small hosts.
#[test]
fn questions_for_permits_are_bounded_under_any_load() {
    for seed in seeds(6) {
        for (limit, per_second) in [("4.5", 400.0), ("4.5", 2_000.0), ("300", 2_000.0)] {
            let mut fleet = LimitFleet::new(200, 4, seed);
            fleet.set_limit(0, Some(limit));
            fleet.run(SETTLE_TIME, per_second);
            let before = fleet.asked();
            fleet.run(RUN, per_second);
            let asked = (fleet.asked() - before) as f64 / RUN.as_secs_f64();
            assert!(
                asked < 500.0,
                "limit {limit}, {per_second} a second: {asked} questions a second"
            );
        }
    }
}
