//! Single failures, each brought about on purpose.

use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::version::{ChangeAnswer, ChangeRefusal, ReplicaAnswer, ReplicaQuestion};

use super::fake_cluster::{FakeCluster, change};

fn accepted(version: u64) -> ReplicaAnswer {
    ReplicaAnswer::Change(ChangeAnswer::Accepted { version: ConfigVersion(version) })
}

// Two operators change the sheet at the same time, both looking at version 0. Only one of them may
// win, and the other must be told which version is in force, so that no change is overwritten.
#[test]
fn of_two_racing_operators_one_is_refused() {
    let mut cluster = FakeCluster::new(3, 1);
    cluster.wait_for_leader();
    assert_eq!(cluster.settle(&change("first", 0)), accepted(1));
    let refusal = ChangeRefusal::VersionMoved { current: ConfigVersion(1) };
    let refused = ReplicaAnswer::Change(ChangeAnswer::Refused(refusal));
    assert_eq!(cluster.settle(&change("second", 0)), refused);
    cluster.run(Duration::from_millis(500));
    for number in 0..3 {
        assert_eq!(cluster.version(number), ConfigVersion(1));
    }
}

// The leader's host dies under a stream of changes, and the operator sends again what was not
// answered. Whatever was accepted is still there, and nothing is done twice.
#[test]
fn a_killed_leader_loses_nothing_accepted() {
    let mut cluster = FakeCluster::new(3, 2);
    for version in 0..20 {
        let id = format!("change-{version}");
        if version % 5 == 4 {
            let leader = cluster.wait_for_leader();
            cluster.ask(leader, change(&id, version));
            cluster.kill(leader);
            let answer = cluster.settle(&change(&id, version));
            assert_eq!(answer, accepted(version + 1));
            cluster.start(leader);
        } else {
            assert_eq!(cluster.settle(&change(&id, version)), accepted(version + 1));
        }
    }
    cluster.run(Duration::from_secs(3));
    for number in 0..3 {
        cluster.invariants.check_nothing_lost(cluster.driver(number));
    }
}

// A leader is cut off from both others while an operator still reaches it. It must not accept
// anything, and the operator must not be told "refused" either, since it may come to pass.
#[test]
fn a_cut_off_leader_accepts_nothing() {
    let mut cluster = FakeCluster::new(3, 3);
    let old = cluster.wait_for_leader();
    cluster.settle(&change("before", 0));
    cluster.isolate(old);
    let token = cluster.ask(old, change("lost", 1));
    let read = cluster.ask(old, ReplicaQuestion::CurrentPlan);
    cluster.run(Duration::from_secs(5));
    assert!(matches!(cluster.answers[&token], ReplicaAnswer::Unknown { .. }));
    assert!(matches!(cluster.answers[&read], ReplicaAnswer::NotLeader { .. }));
    assert_eq!(cluster.settle(&change("other", 1)), accepted(2));
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.version(old), ConfigVersion(2));
}

// The disk of one replica's host fills up, or stops answering a sync. What it holds is then unknown:
// the replica must not vote or acknowledge anything again, must say why, and the others go on.
#[test]
fn a_replica_whose_disk_fails_falls_silent() {
    for full in [true, false] {
        let mut cluster = FakeCluster::new(3, 4);
        let leader = cluster.wait_for_leader();
        let disk = cluster.hosts[leader].disk.clone();
        if full {
            disk.fail_appends(true);
        } else {
            disk.fail_syncs(true);
        }
        let token = cluster.ask(leader, change("first", 0));
        cluster.run(Duration::from_secs(1));
        let status = cluster.driver(leader).status();
        assert_eq!(status.role, "failed");
        assert!(status.failure.is_some());
        assert!(matches!(cluster.answers[&token], ReplicaAnswer::Unknown { .. }));
        // The disk works again, but nobody knows what the failed write left behind.
        disk.fail_appends(false);
        disk.fail_syncs(false);
        let answer = cluster.settle(&change("first", 0));
        assert_eq!(answer, accepted(1));
        assert_eq!(cluster.driver(leader).status().role, "failed");
        assert_ne!(cluster.leader(), Some(leader));
        cluster.kill(leader);
        cluster.start(leader);
        cluster.run(Duration::from_secs(3));
        assert_eq!(cluster.version(leader), ConfigVersion(1));
    }
}
