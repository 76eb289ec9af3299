//! Single failures, each injected on purpose.

use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::process::MemberId;
use pulley_core::version::{
    ChangeAnswer, ChangeRefusal, ReplicaAnswer, ReplicaChange, ReplicaQuestion, ReplicaSettings,
};

use super::fake_cluster::{FakeCluster, change, host_name};

fn accepted(version: u64) -> ReplicaAnswer {
    ReplicaAnswer::Change(ChangeAnswer::Accepted { version: ConfigVersion(version) })
}

// Two operators change the sheet at the same time, both based on version 0. Only one of them may
// win, and the other must be told which version is in force, so that no change is overwritten.
#[test]
fn of_two_racing_operators_one_is_refused() {
    let mut cluster = FakeCluster::new(3, 1);
    cluster.wait_for_leader();
    assert_eq!(cluster.ask_leader(&change("first", 0)), accepted(1));
    let refusal = ChangeRefusal::VersionMoved { current: ConfigVersion(1) };
    let refused = ReplicaAnswer::Change(ChangeAnswer::Refused(refusal));
    assert_eq!(cluster.ask_leader(&change("second", 0)), refused);
    cluster.run(Duration::from_millis(500));
    for number in 0..3 {
        assert_eq!(cluster.version(number), ConfigVersion(1));
    }
}

// The leader's host dies during a stream of changes, and the operator resends what was not
// answered. Everything accepted must still be there, and nothing may be done twice.
#[test]
fn a_killed_leader_loses_nothing_accepted() {
    let mut cluster = FakeCluster::new(3, 2);
    for version in 0..20 {
        let id = format!("change-{version}");
        if version % 5 == 4 {
            let leader = cluster.wait_for_leader();
            cluster.ask(leader, change(&id, version));
            cluster.kill(leader);
            let answer = cluster.ask_leader(&change(&id, version));
            assert_eq!(answer, accepted(version + 1));
            cluster.start(leader);
        } else {
            assert_eq!(cluster.ask_leader(&change(&id, version)), accepted(version + 1));
        }
    }
    cluster.run(Duration::from_secs(3));
    for number in 0..3 {
        cluster.invariants.check_nothing_lost(cluster.driver(number));
    }
}

// A leader is cut off from both others while an operator still reaches it. It must not accept
// anything. It must not answer "refused" either, because the change may still be committed.
#[test]
fn a_cut_off_leader_accepts_nothing() {
    let mut cluster = FakeCluster::new(3, 3);
    let old = cluster.wait_for_leader();
    cluster.ask_leader(&change("before", 0));
    cluster.isolate(old);
    let token = cluster.ask(old, change("lost", 1));
    let read = cluster.ask(old, ReplicaQuestion::CurrentPlan);
    cluster.run(Duration::from_secs(5));
    assert!(matches!(cluster.answers[&token], ReplicaAnswer::Unknown { .. }));
    assert!(matches!(cluster.answers[&read], ReplicaAnswer::NotLeader { .. }));
    assert_eq!(cluster.ask_leader(&change("other", 1)), accepted(2));
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.version(old), ConfigVersion(2));
}

// The disk of one replica's host fills up, or fails to sync. Its content is then unknown. The
// replica must not vote or acknowledge anything again and must report why, and the others continue.
#[test]
fn a_replica_whose_disk_fails_stops_taking_part() {
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
        // The disk works again, but what the failed write left behind is unknown.
        disk.fail_appends(false);
        disk.fail_syncs(false);
        let answer = cluster.ask_leader(&change("first", 0));
        assert_eq!(answer, accepted(1));
        assert_eq!(cluster.driver(leader).status().role, "failed");
        assert_ne!(cluster.leader(), Some(leader));
        cluster.kill(leader);
        cluster.start(leader);
        cluster.run(Duration::from_secs(3));
        assert_eq!(cluster.version(leader), ConfigVersion(1));
    }
}

// A host's disk is lost while another replica is behind, and the host restarts with the settings of
// its first day. Together the two are a majority by count but do not have the last change, so
// electing a leader would lose it. They must wait for the replica that has it.
#[test]
fn an_empty_disk_never_votes() {
    let mut cluster = FakeCluster::new(3, 5);
    let leader = cluster.wait_for_leader();
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    let (wiped, behind) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.kill(behind);
    assert_eq!(cluster.ask_leader(&change("kept", 0)), accepted(1));
    cluster.kill(leader);
    cluster.wipe(wiped);
    cluster.start(wiped);
    cluster.start(behind);
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.driver(wiped).status().role, "founding");
    cluster.start(leader);
    cluster.run_until(Duration::from_secs(20), FakeCluster::all_vote);
    for number in 0..3 {
        assert_eq!(cluster.version(number), ConfigVersion(1));
    }
    assert_eq!(cluster.driver(wiped).status().member, MemberId(4));
}

// A second host is lost for good right after the first was replaced, before its successor has
// caught up. Nothing accepted may be lost, and both successors must become voters under new ids.
#[test]
fn two_losses_in_a_row_lose_nothing() {
    let mut cluster = FakeCluster::new(5, 6);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    for version in 0..30 {
        assert_eq!(
            cluster.ask_leader(&change(&format!("change-{version}"), version)),
            accepted(version + 1)
        );
    }
    let leader = cluster.wait_for_leader();
    let (first, second) = ((leader + 1) % 5, leader);
    cluster.wipe(first);
    cluster.start(first);
    cluster.run(Duration::from_secs(2));
    cluster.wipe(second);
    cluster.start(second);
    assert_eq!(cluster.ask_leader(&change("after", 30)), accepted(31));
    cluster.run_until(Duration::from_secs(60), FakeCluster::all_vote);
    cluster.run(Duration::from_secs(1));
    for number in 0..5 {
        cluster.invariants.check_nothing_lost(cluster.driver(number));
    }
    let members: Vec<u64> =
        cluster.driver(first).node().members().voters().map(|member| member.0).collect();
    assert_eq!(members.len(), 5);
    assert!(members.contains(&6) && members.contains(&7), "{members:?}");
}

// The log has been compacted into a snapshot when a new host joins. It must receive the snapshot in
// chunks, and only then get a vote.
#[test]
fn a_new_host_joins_by_snapshot() {
    let settings = ReplicaSettings::default().with_snapshot_bytes(2_000);
    let mut cluster = FakeCluster::with_settings(3, 7, settings);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    for version in 0..400 {
        cluster.ask_leader_quickly(&change(&format!("change-{version}"), version));
    }
    let host = host_name(3);
    let added = cluster.ask_leader(&ReplicaQuestion::Change(ReplicaChange::Add(host.clone())));
    let ReplicaAnswer::Members(members) = added else { panic!("{added:?}") };
    let member = members.find_host(&host).expect("was added").clone();
    assert!(!member.voter);
    cluster.add_host(host, MemberId(0));
    cluster.run_until(Duration::from_secs(60), FakeCluster::all_vote);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.version(3), ConfigVersion(400));
    let removed = cluster.ask_leader(&ReplicaQuestion::Change(ReplicaChange::Remove(MemberId(1))));
    assert!(matches!(removed, ReplicaAnswer::Members(_)), "{removed:?}");
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.ask_leader(&change("last", 400)), accepted(401));
    assert_eq!(cluster.driver(0).status().role, "outsider");
}

// After hundreds of changes and several restarts, an operator's tool that never saw the answer
// resends its change. It must get the first answer again, and nothing may change.
#[test]
fn a_resend_gets_its_first_answer_after_hundreds_of_changes_and_restarts() {
    let settings = ReplicaSettings::default().with_snapshot_bytes(4_000);
    let mut cluster = FakeCluster::with_settings(3, 8, settings);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    for version in 0..500 {
        cluster.ask_leader_quickly(&change(&format!("change-{version}"), version));
        if version % 100 == 99 {
            for number in 0..3 {
                cluster.kill(number);
            }
            for number in 0..3 {
                cluster.start(number);
            }
        }
    }
    assert_eq!(cluster.ask_leader(&change("change-7", 7)), accepted(8));
    let refusal = ChangeAnswer::Refused(ChangeRefusal::ChangeIdReused);
    assert_eq!(cluster.ask_leader(&change("change-7", 500)), ReplicaAnswer::Change(refusal));
    assert_eq!(cluster.ask_leader(&change("next", 500)), accepted(501));
}

// The disk of the leader's host hangs without an error while its network works. The other hosts
// would keep hearing the leader and wait for it, and no change or claim would be answered.
#[test]
fn a_leader_whose_disk_hangs_steps_down() {
    let mut cluster = FakeCluster::new(3, 9);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    let old = cluster.wait_for_leader();
    cluster.hosts[old].disk_hangs = true;
    let token = cluster.ask(old, change("first", 0));
    cluster.run(Duration::from_secs(2));
    assert!(matches!(cluster.answers[&token], ReplicaAnswer::Unknown { .. }));
    let new = cluster.wait_for_leader();
    assert_ne!(new, old);
    assert_eq!(cluster.ask_leader(&change("first", 0)), accepted(1));
    cluster.run(Duration::from_secs(10));
    assert_ne!(cluster.leader(), Some(old));
    cluster.hosts[old].disk_hangs = false;
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.version(old), ConfigVersion(1));
}

// The leader's machine pauses for seconds, as under a noisy neighbour, and then continues. It still
// believes that it leads. What it then sends must not count, and a read through it must not show an
// older sheet than the one accepted meanwhile.
#[test]
fn a_paused_leader_serves_nothing_stale() {
    let mut cluster = FakeCluster::new(3, 12);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    let old = cluster.wait_for_leader();
    assert_eq!(cluster.ask_leader(&change("before", 0)), accepted(1));
    cluster.pause(old, Duration::from_secs(6));
    cluster.run_until(Duration::from_secs(5), |cluster| cluster.leader() != Some(old));
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.ask_leader(&change("meanwhile", 1)), accepted(2));
    // The first input that the old leader handles after the pause is this question.
    cluster.hosts[old].paused_until = cluster.now;
    let read = cluster.ask(old, ReplicaQuestion::CurrentPlan);
    let write = cluster.ask(old, change("late", 1));
    cluster.run(Duration::from_secs(3));
    assert!(!matches!(&cluster.answers[&read], ReplicaAnswer::Sheet(plan) if plan.version.0 < 2));
    assert!(matches!(cluster.answers[&write], ReplicaAnswer::Unknown { .. }));
    assert_eq!(cluster.version(old), ConfigVersion(2));
}

// A host with an empty disk and a leader are cut off together. That leader assigns an id that is
// never committed, and the others may later assign the same id to another disk. The host must wait
// for a committed id, and vote again once the partition has healed.
#[test]
fn a_member_id_is_valid_only_once_it_is_committed() {
    let mut cluster = FakeCluster::new(5, 13);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    let leader = cluster.wait_for_leader();
    let wiped = (leader + 1) % 5;
    cluster.wipe(wiped);
    cluster.run(Duration::from_secs(2));
    for other in (0..5).filter(|other| *other != leader && *other != wiped) {
        for cut_off in [leader, wiped] {
            cluster.cut(cut_off, other);
            cluster.cut(other, cut_off);
        }
    }
    cluster.start(wiped);
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.driver(wiped).status().role, "founding");
    cluster.heal();
    cluster.run_until(Duration::from_secs(30), FakeCluster::all_vote);
}

// All hosts lose power, and two of five replicas are back long before the others. Every host and
// its callers wait for a leader. A leader must be elected as soon as the third replica can be
// asked, whatever the first two attempted before.
#[test]
fn a_leader_is_elected_once_three_of_five_replicas_are_up() {
    let mut waits = Vec::new();
    for seed in 0..100 {
        let mut cluster = FakeCluster::new(5, 4_000 + seed);
        cluster.ask_leader(&change("first", 0));
        (0..5).for_each(|number| cluster.kill(number));
        let pause = Duration::from_millis(300 + seed * 3);
        cluster.start(seed as usize % 5);
        cluster.run(Duration::from_millis(40));
        cluster.start((seed as usize + 1) % 5);
        cluster.run(pause);
        cluster.start((seed as usize + 2) % 5);
        let began = cluster.now;
        cluster.wait_for_leader();
        waits.push(cluster.now.since(began));
    }
    waits.sort();
    // One round of pre-vote requests within 50 ms, and votes; a split round costs two heartbeats.
    assert!(waits[50] < Duration::from_millis(60), "the median: {:?}", waits[50]);
    assert!(waits[95] < Duration::from_millis(500), "the fifth slowest: {:?}", waits[95]);
}

// As above, but the last three replicas are back within a few milliseconds of each other and all
// ask at once. If each votes for itself, nobody is elected and callers wait for another round. A
// replica that has just deferred to another one must not become a candidate as well.
#[test]
fn replicas_that_start_together_do_not_split_their_votes() {
    let mut waits = Vec::new();
    for seed in 0..200 {
        let mut cluster = FakeCluster::new(5, 9_000 + seed);
        cluster.ask_leader(&change("first", 0));
        (0..5).for_each(|number| cluster.kill(number));
        let order = |place: usize| (seed as usize + place * (1 + seed as usize % 4)) % 5;
        cluster.start(order(0));
        cluster.run(Duration::from_millis(150));
        cluster.start(order(1));
        cluster.run(Duration::from_millis(200 + seed % 50));
        cluster.start(order(2));
        let began = cluster.now;
        cluster.run(Duration::from_millis(1 + seed % 7));
        cluster.start(order(3));
        cluster.run(Duration::from_millis(seed % 60));
        if cluster.leader().is_none() {
            cluster.start(order(4));
            cluster.wait_for_leader();
        }
        waits.push(cluster.now.since(began));
    }
    waits.sort();
    // A split round costs at least one heartbeat of 200 ms.
    assert!(waits[199] < Duration::from_millis(200), "the slowest: {:?}", waits[199]);
}
