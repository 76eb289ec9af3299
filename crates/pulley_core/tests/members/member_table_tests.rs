//! Who counts as alive.

use std::time::Duration;

use pulley_core::process::MemberState;

use crate::network::{Network, host_name};

fn live_counts(network: &Network) -> Vec<usize> {
    let up = network.hosts.iter().filter(|host| host.up);
    up.map(|host| host.members.live().count()).collect()
}

#[test]
fn hosts_find_each_other_by_seeds() {
    let mut network = Network::new(30, 1);
    network.run_for(Duration::from_secs(5));
    assert_eq!(live_counts(&network), vec![30; 30]);
}

/// A host loses power. Until the others know, its share of everything stays out of use.
#[test]
fn a_dead_host_is_noticed_by_all() {
    let mut network = Network::new(30, 2);
    network.run_for(Duration::from_secs(5));
    network.hosts[7].up = false;
    network.run_for(Duration::from_secs(15));
    assert_eq!(live_counts(&network), vec![29; 29]);
    assert_eq!(network.hosts[0].members.state(&host_name(7)), Some(MemberState::Dead));
}

/// The path between two hosts goes silent both ways, while each reaches everybody else. If either
/// declared the other dead, its callers' share and counts would be dropped for nothing.
#[test]
fn one_silent_path_declares_nobody_dead() {
    let mut network = Network::new(10, 3);
    network.run_for(Duration::from_secs(5));
    network.split(&[3], &[6], true);
    for _ in 0..120 {
        network.run_for(Duration::from_millis(500));
        assert_eq!(live_counts(&network), vec![10; 10], "at {}", network.now);
    }
}
