//! Which configuration is in force on which host.

use std::time::Duration;

use pulley_core::process::PeerRing;
use pulley_core::version::{LogIndex, PlanFollower, PlanStanding, ReplicaSet, StoredPlan};
use pulley_core::{ConfigVersion, HostId, Moment};

use crate::network::{Network, host_name};
use crate::route_rows::RouteRows;

const SECOND: Duration = Duration::from_secs(1);

fn with_leader(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.replicas = ReplicaSet { index: 1, hosts: (0..5).map(host_name).collect() };
    network.leader = Some((0, 1));
    network.run_for(5 * SECOND);
    network
}

fn at_version(network: &Network, version: u64) -> usize {
    let wanted = PlanStanding::InForce(ConfigVersion(version));
    network.hosts.iter().filter(|host| host.plans.standing(network.now) == wanted).count()
}

#[test]
fn a_new_version_is_in_force_everywhere_within_a_second() {
    let mut network = with_leader(30, 21);
    assert_eq!(at_version(&network, 0), 30);
    for version in 1..=3 {
        network.publish(version, 1_500);
        network.run_for(SECOND);
        assert_eq!(at_version(&network, version), 30, "version {version}");
    }
    assert_eq!(network.hosts[0].plans.holders().len(), 29);
}

/// The leader and two replicas are cut off from the rest without any connection error. Changes may
/// be accepted on their side. An entry that kept serving the old version would break the guarantee
/// of accepted changes.
#[test]
fn hosts_cut_off_from_a_leader_that_may_have_moved_on_are_not_ready() {
    let mut network = with_leader(12, 22);
    network.publish(1, 10);
    network.run_for(SECOND);
    let near: Vec<usize> = (0..3).collect();
    let far: Vec<usize> = (3..12).collect();
    for replica in 0..5 {
        let replicas = network.replicas.clone();
        network.hosts[replica].plans.set_log_report(
            replicas,
            ConfigVersion(1),
            LogIndex::default(),
        );
    }
    network.set_partition(&near, &far, true);
    network.run_for(4 * SECOND);
    network.publish(2, 10);
    network.run_for(SECOND);
    for index in far.clone() {
        let standing = network.hosts[index].plans.standing(network.now);
        assert_eq!(standing, PlanStanding::Expired(ConfigVersion(1)), "host {index}");
    }
    network.set_partition(&near, &far, false);
    network.run_for(10 * SECOND);
    assert_eq!(at_version(&network, 2), 12);
}

/// No replica is the leader, as when the election after a leader's loss ends in a split vote.
/// Unlike then, all five replicas are reachable here. At first no log holds a newer version, so
/// none can have been accepted, and refusing every call would be of no use.
#[test]
fn without_a_leader_a_majority_with_nothing_newer_keeps_entries_serving() {
    let mut network = with_leader(12, 23);
    network.publish(1, 10);
    network.run_for(SECOND);
    for replica in 0..5 {
        let replicas = network.replicas.clone();
        network.hosts[replica].plans.set_log_report(
            replicas,
            ConfigVersion(1),
            LogIndex::default(),
        );
    }
    network.leader = None;
    network.run_for(6 * SECOND);
    for host in &network.hosts {
        assert_eq!(host.plans.standing(network.now), PlanStanding::Static(ConfigVersion(1)));
    }
    // One replica holds a log entry past the version, which may or may not have been accepted.
    let replicas = network.replicas.clone();
    network.hosts[2].plans.set_log_report(replicas, ConfigVersion(2), LogIndex::default());
    network.run_for(2 * SECOND);
    let entry = &network.hosts[9].plans;
    assert_eq!(entry.standing(network.now), PlanStanding::Expired(ConfigVersion(1)));
    assert_eq!(entry.version(), ConfigVersion(1));
}

/// A process restarts after many changes. If it served before it knows the current version, it
/// would serve an old one.
#[test]
fn a_host_that_starts_serves_the_current_version_or_nothing() {
    let mut network = with_leader(12, 24);
    network.publish(7, 100);
    network.run_for(SECOND);
    network.restart(9);
    assert_eq!(network.hosts[9].plans.standing(network.now), PlanStanding::Starting);
    for _ in 0..300 {
        network.run_for(Duration::from_millis(10));
        let standing = network.hosts[9].plans.standing(network.now);
        let current = PlanStanding::InForce(ConfigVersion(7));
        assert!(!standing.is_ready() || standing == current, "{standing:?}");
    }
    assert_eq!(at_version(&network, 7), 12);
}

/// Changes arrive faster than a slow host can fetch one of them. When each change discarded the
/// fetch in progress, the host stayed at the version before the storm for as long as it lasted:
/// callers got answers by a configuration that an operator had changed two seconds before.
#[test]
fn a_slow_host_follows_a_storm_of_changes() {
    let mut network = with_leader(34, 31);
    network.conditions.delay = (20_000, 45_000);
    network.publish(1, 40);
    network.run_for(3 * SECOND);
    for version in 2..=52 {
        network.publish(version, 40);
        network.run_for(Duration::from_millis(60));
        if version > 24 {
            let slowest = network.hosts.iter().map(|host| host.plans.version().0).min();
            let behind = version - slowest.unwrap_or(0);
            assert!(behind <= 22, "version {version}: the slowest host is {behind} behind");
        }
    }
    network.run_for(SECOND);
    assert!(network.hosts.iter().all(|host| host.plans.version().0 == 52));
}

/// All hosts restart at the same time, as after a power loss, and refuse callers until they know
/// the configuration. Every 250 ms a host used to ask two others picked at random, most of which
/// did not know it either. Hosts with a replica announce that when they join, and are asked first.
#[test]
fn a_host_that_starts_asks_hosts_that_announce_a_replica() {
    let ring = with_leader(30, 25).hosts[29].members.ring().clone();
    let mut follower = PlanFollower::new(host_name(29), 1);
    let replicas: Vec<_> = (0..5).map(host_name).collect();
    follower.set_announced_replicas(&replicas);
    for round in 0..5 {
        let now = Moment::from_micros(1_000_000 + round * 100_000);
        let asked = follower.tick(now, &ring);
        let asks = |host: &HostId| asked.iter().any(|send| send.to == *host);
        assert!(replicas.iter().any(asks), "round {round}");
        assert!(follower.next_wakeup() <= now + Duration::from_millis(100), "round {round}");
    }
}

/// All hosts restart together. An entry asks a replica before any replica leads, and that replica
/// becomes leader a moment later. If the replica answered only the next question, the entry would
/// refuse its callers for a tenth of a second with the configuration a millisecond away.
#[test]
fn a_host_that_asked_before_the_election_is_answered_right_after_it() {
    let mut replica = PlanFollower::new(host_name(0), 1);
    let mut entry = PlanFollower::new(host_name(1), 2);
    let at = |millis| Moment::ZERO + Duration::from_millis(millis);
    let ring = PeerRing::default();
    entry.set_announced_replicas(&[host_name(0)]);
    let asked = entry.tick(at(10), &ring);
    let told: Vec<_> =
        asked.iter().flat_map(|send| replica.receive(at(11), &host_name(1), &send.body)).collect();
    assert_eq!(told.len(), 1, "the replica answers that it knows nothing yet");
    entry.receive(at(12), &host_name(0), &told[0].body);
    assert_eq!(entry.standing(at(12)), PlanStanding::Starting);
    assert!(replica.tick(at(13), &ring).is_empty());
    replica.issue_lease(1, ReplicaSet { index: 1, hosts: vec![host_name(0)] }, at(14));
    assert!(replica.next_wakeup() <= at(14));
    for send in replica.tick(at(15), &ring) {
        assert_eq!(send.to, host_name(1));
        entry.receive(at(16), &host_name(0), &send.body);
    }
    assert_eq!(entry.standing(at(16)), PlanStanding::InForce(ConfigVersion(0)));
    assert!(replica.tick(at(17), &ring).is_empty(), "the entry is answered only once");
}

/// Changes follow each other and links are slow. When a host began to fetch a version again without
/// knowing a host that holds it, and chunks requested earlier arrived, its follower panicked.
#[test]
fn chunks_that_arrive_before_a_source_is_known_do_not_panic() {
    let [mut leader, mut first, mut second] =
        [0, 1, 2].map(|index| PlanFollower::new(host_name(index), index as u64));
    let at = |millis| Moment::ZERO + Duration::from_millis(millis);
    let ring = PeerRing::default();
    let mut rows = RouteRows::new(52);
    rows.add(1_400);
    leader.apply_committed_plan(&rows.version(1));
    leader.issue_lease(1, ReplicaSet { index: 1, hosts: vec![host_name(0)] }, at(1));
    first.set_announced_replicas(&[host_name(0)]);
    for send in first.tick(at(10), &ring) {
        for answer in leader.receive(at(11), &host_name(1), &send.body) {
            first.receive(at(12), &host_name(0), &answer.body);
        }
    }
    second.set_announced_replicas(&[host_name(1)]);
    for send in second.tick(at(20), &ring) {
        for answer in first.receive(at(21), &host_name(2), &send.body) {
            second.receive(at(22), &host_name(1), &answer.body);
        }
    }
    // The second host has learned of the version from a host that does not hold it.
    let asked = first.tick(at(220), &ring);
    let chunks: Vec<_> = asked
        .iter()
        .flat_map(|send| leader.receive(at(221), &host_name(1), &send.body))
        .filter(|send| send.body.len() > 1_000)
        .collect();
    assert!(!chunks.is_empty());
    for chunk in chunks {
        second.receive(at(222), &host_name(0), &chunk.body);
    }
    assert_eq!(second.version(), ConfigVersion(0));
}

// Guards against hosts that report their version as the newest while they fetch a newer one.
#[test]
fn a_host_awaits_a_version_that_it_has_heard_of_until_that_is_in_force() {
    let mut network = with_leader(12, 41);
    network.publish(1, 10);
    network.run_for(SECOND);
    network.conditions.delay = (20_000, 45_000);
    network.publish(2, 3_000);
    let mut waited = vec![false; 12];
    for _ in 0..400 {
        network.run_for(Duration::from_millis(5));
        for (index, host) in network.hosts.iter().enumerate() {
            let awaited = host.plans.awaited_version();
            assert!(awaited.is_none_or(|awaited| awaited > host.plans.version()), "host {index}");
            waited[index] |= awaited == Some(ConfigVersion(2));
        }
    }
    assert!(waited[1..].iter().all(|waited| *waited), "{waited:?}");
    assert!(!waited[0], "the leader has it");
    assert_eq!(at_version(&network, 2), 12);
    assert!(network.hosts.iter().all(|host| host.plans.awaited_version().is_none()));
}

// Guards against a host that considers only leases: without a leader, versions that others hold may
// be newer, too.
#[test]
fn a_host_awaits_what_another_holds_without_a_lease() {
    let mut holder = PlanFollower::new(host_name(0), 1);
    let mut entry = PlanFollower::new(host_name(1), 2);
    let at = |millis| Moment::ZERO + Duration::from_millis(millis);
    let plan = StoredPlan { version: ConfigVersion(6), ..StoredPlan::default() };
    holder.apply_committed_plan(&plan);
    entry.set_announced_replicas(&[host_name(0)]);
    assert_eq!(entry.awaited_version(), None);
    for send in entry.tick(at(10), &PeerRing::default()) {
        for told in holder.receive(at(11), &host_name(1), &send.body) {
            entry.receive(at(12), &host_name(0), &told.body);
        }
    }
    assert_eq!(entry.awaited_version(), Some(ConfigVersion(6)));
    assert_eq!(holder.awaited_version(), None);
}

const KEY_LEASE: Duration = Duration::from_millis(4_500);

fn keys_valid(network: &Network, host: usize) -> bool {
    let until = network.hosts[host].plans.keys_valid_until(network.now, KEY_LEASE);
    until.is_some_and(|until| until > network.now)
}

// Guards against a key that works on, after it was taken away, at hosts that have not heard of it.
#[test]
fn keys_stop_working_at_hosts_that_are_cut_off_and_work_again_once_they_are_back() {
    let mut network = with_leader(30, 71);
    network.publish(1, 10);
    network.run_for(SECOND);
    let (near, far): (Vec<usize>, Vec<usize>) = ((0..15).collect(), (15..30).collect());
    network.set_partition(&near, &far, true);
    let cut_at = network.now;
    network.run_for(3 * SECOND);
    assert!(far.iter().all(|host| keys_valid(&network, *host)), "they serve for three seconds");
    for host in &far {
        let until = network.hosts[*host].plans.keys_valid_until(network.now, KEY_LEASE).unwrap();
        assert!(until.since(cut_at) <= KEY_LEASE + Duration::from_millis(10), "host {host}");
    }
    network.run_until(cut_at + KEY_LEASE + Duration::from_millis(20));
    assert!(far.iter().all(|host| !keys_valid(&network, *host)));
    assert!(near.iter().all(|host| keys_valid(&network, *host)));
    network.set_partition(&near, &far, false);
    network.run_for(2 * SECOND);
    assert!((0..30).all(|host| keys_valid(&network, host)));
}

// Guards against a frozen process that wakes up with keys that look valid.
#[test]
fn keys_of_a_host_that_was_stopped_have_expired_when_it_wakes_up() {
    let mut network = with_leader(12, 72);
    network.hosts[7].paused_until = network.now + 6 * SECOND;
    network.run_for(6 * SECOND - Duration::from_millis(1));
    assert!(!keys_valid(&network, 7));
    network.run_for(2 * SECOND);
    assert!(keys_valid(&network, 7));
}

// Guards against a restarted process that goes by keys before it knows the configuration.
#[test]
fn a_host_that_starts_knows_no_valid_keys() {
    let mut network = with_leader(12, 73);
    network.publish(1, 10);
    network.run_for(SECOND);
    network.restart(9);
    assert!(!keys_valid(&network, 9));
    network.run_for(2 * SECOND);
    assert!(keys_valid(&network, 9));
}

// Guards against refusing all keys while the replicas elect a leader.
#[test]
fn keys_stay_valid_without_a_leader_while_a_majority_has_nothing_newer() {
    let mut network = with_leader(12, 74);
    network.publish(1, 10);
    network.run_for(SECOND);
    for replica in 0..5 {
        let (replicas, version) = (network.replicas.clone(), ConfigVersion(1));
        network.hosts[replica].plans.set_log_report(replicas, version, LogIndex::default());
    }
    network.leader = None;
    for _ in 0..10 {
        network.run_for(SECOND);
        assert!((0..12).all(|host| keys_valid(&network, host)));
    }
    // A replica holds an entry that may have taken a key away and been acknowledged.
    let replicas = network.replicas.clone();
    network.hosts[2].plans.set_log_report(replicas, ConfigVersion(2), LogIndex::default());
    network.run_for(5 * SECOND);
    assert!((0..12).all(|host| !keys_valid(&network, host)));
}
