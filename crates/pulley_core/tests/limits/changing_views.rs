//! Limits while hosts join, restart, are lost or are cut off, and see different hosts.

use std::time::Duration;

use crate::limit_fleet::{LimitFleet, SETTLE_TIME, allowed, seeds};

const LOAD: f64 = 400.0;
const LIMITS: [(&str, f64); 4] = [("0.5", 0.5), ("4.5", 4.5), ("30", 30.0), ("150", 150.0)];

fn limited_fleet(hosts: usize, limit: &str, seed: u64) -> LimitFleet {
    let mut fleet = LimitFleet::new(hosts, 4, seed);
    fleet.loss = 0.02;
    fleet.set_limit(0, Some(limit));
    fleet.run(SETTLE_TIME, LOAD);
    fleet.reset_counts();
    fleet
}

// Hosts that have just joined know nobody and take the whole limit, or the issuer changes and two
// hosts issue the same permits.
#[test]
fn hosts_that_join_in_series_do_not_add_to_a_limit() {
    for seed in seeds(21) {
        for (limit, rate) in LIMITS {
            let mut fleet = limited_fleet(12, limit, seed);
            for _ in 0..12 {
                let known: Vec<usize> = (0..fleet.size()).collect();
                let new = fleet.join();
                fleet.run(Duration::from_millis(300), LOAD);
                let all: Vec<usize> = known.iter().copied().chain([new]).collect();
                fleet.set_view(&[new], &all, 0);
                for host in known {
                    fleet.run(Duration::from_millis(40), LOAD);
                    fleet.set_view(&[host], &all, 0);
                }
            }
            let most = fleet.most(0);
            assert!(most <= allowed(rate), "limit {limit}: {most} in 4 s");
            assert!(fleet.outcomes.served() > 0.99, "{:?}", fleet.outcomes);
        }
    }
}

// Every host restarts in turn and forgets what it has issued.
#[test]
fn hosts_that_restart_in_turn_do_not_add_to_a_limit() {
    for seed in seeds(22) {
        for (limit, rate) in LIMITS {
            let mut fleet = limited_fleet(12, limit, seed);
            let all: Vec<usize> = (0..12).collect();
            for host in 0..12 {
                fleet.restart(host);
                fleet.run(Duration::from_millis(200), LOAD);
                fleet.set_view(&[host], &all, 0);
                fleet.run(Duration::from_millis(800), LOAD);
            }
            let most = fleet.most(0);
            assert!(most <= allowed(rate), "limit {limit}: {most} in 4 s");
            assert!(fleet.outcomes.served() > 0.98, "{:?}", fleet.outcomes);
        }
    }
}

// The issuer is lost without notice, and the only upstream of the pool stays idle until all hosts
// have noticed.
#[test]
fn a_lost_issuer_does_not_leave_the_only_upstream_idle() {
    for seed in seeds(23) {
        for lost in 0..6 {
            let mut fleet = LimitFleet::new(6, 1, seed);
            fleet.set_limit(0, Some("20"));
            fleet.run(SETTLE_TIME, 60.0);
            fleet.kill(lost);
            fleet.run(Duration::from_secs(1), 60.0);
            fleet.reset_counts();
            fleet.run(Duration::from_secs(5), 60.0);
            let got = fleet.upstreams[0].arrivals.len();
            assert!(got >= 15, "host {lost} lost: {got} requests in 5 s");
            assert!(fleet.most(0) <= allowed(20.0), "{} in 4 s", fleet.most(0));
        }
    }
}

// Each half of the hosts believes the other dead, and each uses the whole limit.
#[test]
fn two_halves_that_cannot_see_each_other_share_a_limit() {
    for seed in seeds(24) {
        for (limit, rate) in LIMITS {
            let mut fleet = limited_fleet(24, limit, seed);
            let (left, right): (Vec<usize>, Vec<usize>) = ((0..12).collect(), (12..24).collect());
            fleet.cut(&left, &right);
            fleet.cut(&right, &left);
            fleet.run(Duration::from_secs(4), LOAD);
            fleet.set_view(&left, &left, 12);
            fleet.run(Duration::from_secs(1), LOAD);
            fleet.set_view(&right, &right, 12);
            fleet.run(Duration::from_secs(8), LOAD);
            let all: Vec<usize> = (0..24).collect();
            fleet.heal();
            fleet.set_view(&all, &all, 0);
            fleet.run(Duration::from_secs(5), LOAD);
            let most = fleet.most(0);
            assert!(most <= allowed(rate), "limit {limit}: {most} in 4 s");
            assert!(fleet.outcomes.served() > 0.99, "{:?}", fleet.outcomes);
        }
    }
}

// A host that hears the others but is not heard by them goes on as the issuer, beside the one that
// has taken over.
#[test]
fn a_one_way_cut_leaves_the_hosts_that_are_not_cut_within_a_limit() {
    for seed in seeds(25) {
        for (limit, rate) in LIMITS {
            for hears in [true, false] {
                for host in 0..4 {
                    let mut fleet = limited_fleet(8, limit, seed);
                    let others: Vec<usize> = (0..8).filter(|other| *other != host).collect();
                    if hears {
                        fleet.cut(&[host], &others);
                    } else {
                        fleet.cut(&others, &[host]);
                    }
                    fleet.run(Duration::from_secs(4), LOAD);
                    fleet.set_view(&others, &others, 1);
                    if !hears {
                        fleet.set_view(&[host], &[host], 7);
                    }
                    fleet.run(Duration::from_secs(8), LOAD);
                    let most = fleet.most_from(0, |sender| sender != host);
                    assert!(most <= allowed(rate), "limit {limit}, host {host} cut: {most} in 4 s");
                    assert!(fleet.outcomes.served() > 0.98, "{:?}", fleet.outcomes);
                }
            }
        }
    }
}

// Hosts hold different lists for long: some see a host that others have never heard of.
#[test]
fn views_that_differ_by_a_few_hosts_do_not_multiply_a_limit() {
    for seed in seeds(26) {
        for (limit, rate) in LIMITS {
            let mut fleet = limited_fleet(40, limit, seed);
            for index in 0..40_usize {
                let seen: Vec<usize> =
                    (0..40).filter(|other| *other == index || (other + index) % 13 != 0).collect();
                fleet.set_view(&[index], &seen, 0);
            }
            fleet.run(Duration::from_secs(10), LOAD);
            let most = fleet.most(0);
            assert!(most <= allowed(rate), "limit {limit}: {most} in 4 s");
            assert!(fleet.outcomes.served() > 0.99, "{:?}", fleet.outcomes);
        }
    }
}
