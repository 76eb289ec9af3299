//! Which hosts count as alive.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{MEMBER_BODY_LIMIT, MemberSettings, MemberState, MemberTable};

use crate::network::{Network, address, host_name, record};

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

/// A host loses power. Until the others notice, its share of every limit is not used.
#[test]
fn a_dead_host_is_noticed_by_all() {
    let mut network = Network::new(30, 2);
    network.run_for(Duration::from_secs(5));
    network.hosts[7].up = false;
    network.run_for(Duration::from_secs(15));
    assert_eq!(live_counts(&network), vec![29; 29]);
    assert_eq!(network.hosts[0].members.state(&host_name(7)), Some(MemberState::Dead));
}

/// The path between two hosts fails silently in both directions, while each still reaches all
/// others. If either declared the other dead, the share and the counts for its callers would be
/// dropped without need.
#[test]
fn one_silent_path_declares_nobody_dead() {
    let mut network = Network::new(10, 3);
    network.run_for(Duration::from_secs(5));
    network.set_partition(&[3], &[6], true);
    for _ in 0..120 {
        network.run_for(Duration::from_millis(500));
        assert_eq!(live_counts(&network), vec![10; 10], "at {}", network.now);
    }
}

/// A faulty host restarts again and again. If each start were remembered as a separate host, tables
/// and messages would grow beyond their limits.
#[test]
fn a_hundred_restarts_leave_no_extra_members() {
    let mut network = Network::new(6, 4);
    network.run_for(Duration::from_secs(5));
    for _ in 0..100 {
        network.restart(5);
        network.run_for(Duration::from_millis(700));
    }
    network.run_for(Duration::from_secs(10));
    assert_eq!(live_counts(&network), vec![6; 6]);
    for host in &network.hosts {
        assert_eq!(host.members.remembered(), 6);
    }
}

/// Hosts are replaced under new names for weeks, or far too many are started. Each host's memory
/// and messages must stay bounded.
#[test]
fn the_table_is_bounded() {
    let settings = MemberSettings::default().with_host_limit(100);
    let mut table = MemberTable::new(record(0, 0), settings, 5);
    for index in 1..3_000 {
        let mut other = MemberTable::new(record(index, 0), MemberSettings::default(), 6);
        other.add_seed(address(0));
        for send in other.tick(Moment::ZERO) {
            table.receive(Moment::ZERO, address(index), &send.body);
        }
    }
    assert_eq!(table.remembered(), 100);
    let sends = (0..100).flat_map(|second| table.tick(Moment::from_micros(second * 1_000_000)));
    assert!(sends.map(|send| send.body.len()).all(|length| length <= MEMBER_BODY_LIMIT));
}

/// A host's clock is set back before it restarts, so that its new incarnation is lower than the one
/// the others know. Its messages would be taken for old ones, and it would never be a member again.
#[test]
fn a_start_with_an_earlier_clock_is_a_member_again() {
    let mut network = Network::new(6, 7);
    network.run_for(Duration::from_secs(60));
    network.restart(4);
    network.run_for(Duration::from_secs(5));
    let earlier = MemberTable::new(record(4, 0), MemberSettings::default(), 8);
    network.hosts[4].members = earlier;
    network.hosts[4].members.add_seed(address(0));
    network.run_for(Duration::from_secs(30));
    assert_eq!(live_counts(&network), vec![6; 6]);
}

/// All hosts lose power, and one of a host's five seeds is back long before the others. When seeds
/// were contacted one after another, two replicas that were up took a fifth of a second to find
/// each other, and no replica could be elected meanwhile.
#[test]
fn a_host_without_peers_contacts_all_its_seeds() {
    let mut table = MemberTable::new(record(0, 1), MemberSettings::default(), 3);
    let seeds: Vec<_> = (1..6).map(address).collect();
    seeds.iter().for_each(|seed| table.add_seed(*seed));
    let mut called: Vec<_> = table.tick(Moment::ZERO).into_iter().map(|send| send.to).collect();
    called.sort();
    called.dedup();
    assert_eq!(called, seeds);
}

/// Half of the hosts cannot see the other half, and both go on serving. Each half takes the whole
/// of every limit that holds over all hosts, such as the probe budget.
#[test]
fn the_shares_of_two_halves_add_up_to_one_whole() {
    let mut network = Network::new(20, 9);
    network.run_for(Duration::from_secs(5));
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..10).collect(), (10..20).collect());
    network.set_partition(&left, &right, true);
    for _ in 0..120 {
        network.run_for(Duration::from_millis(500));
        let shares = network.hosts.iter().map(|host| 1.0 / host.members.sharing_entries() as f64);
        let sum: f64 = shares.sum();
        assert!(sum <= 1.01, "the shares are {sum} of the whole at {}", network.now);
    }
    assert_eq!(live_counts(&network), vec![10; 20]);
}
