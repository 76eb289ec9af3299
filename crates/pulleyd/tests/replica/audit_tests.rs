//! The audit trail when it is longer than what is kept in memory.

use std::time::Duration;

use pulley_core::process::MemberId;
use pulley_core::version::{
    AUDIT_CHUNK, AUDIT_KEPT, AuditFilter, AuditRecord, ReplicaAnswer, ReplicaChange,
    ReplicaQuestion, ReplicaRefusal, ReplicaSettings,
};

use super::fake_cluster::{FakeCluster, change, host_name};

/// Enough changes for two chunks.
const CHANGES: u64 = (AUDIT_KEPT + 2 * AUDIT_CHUNK) as u64;

/// The actor of every tenth change.
const TENTH_ACTOR: &str = "night-planner";

fn long_trail() -> FakeCluster {
    let settings = ReplicaSettings::default().with_snapshot_bytes(40_000);
    let mut cluster = FakeCluster::with_settings(3, 11, settings);
    cluster.run_until(Duration::from_secs(10), FakeCluster::all_vote);
    for version in 0..CHANGES {
        let mut question = change(&format!("change-{version}"), version);
        if let ReplicaQuestion::Apply(request) = &mut question
            && version % 10 == 0
        {
            request.actor = TENTH_ACTOR.parse().expect("a valid name");
        }
        cluster.ask_leader_quickly(&question);
    }
    cluster
}

fn first_change() -> ReplicaQuestion {
    let change_id = Some("change-0".parse().expect("a valid name"));
    ReplicaQuestion::Audit(AuditFilter { change_id, ..AuditFilter::default() })
}

fn records(answer: ReplicaAnswer) -> Vec<AuditRecord> {
    match answer {
        ReplicaAnswer::Audit(records) => records,
        other => panic!("{other:?}"),
    }
}

// Months after a change somebody asks who made it. The record is no longer in memory. It must still
// be found, also after restarts of all replicas.
#[test]
fn an_old_record_is_found_after_restarts() {
    let mut cluster = long_trail();
    for number in 0..3 {
        cluster.kill(number);
    }
    for number in 0..3 {
        cluster.start(number);
    }
    let found = records(cluster.ask_leader(&first_change()));
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].actor.as_str(), TENTH_ACTOR);
    let status = cluster.driver(0).machines().configuration.audit_trail().sealed_chunks();
    assert!(status >= 2, "{status} chunks");
}

// All changes of one operator are requested. Some are in memory, most of the rest are on disk. No
// record may be missing or duplicated where memory and chunks meet.
#[test]
fn memory_and_chunks_make_one_trail() {
    let mut cluster = long_trail();
    let actor = Some(TENTH_ACTOR.parse().expect("a valid name"));
    let filter = AuditFilter { actor, ..AuditFilter::default() };
    let all = records(cluster.ask_leader(&ReplicaQuestion::Audit(filter.clone())));
    let versions: Vec<u64> = all.iter().map(|record| record.base.0).collect();
    let newest_first: Vec<u64> = (0..CHANGES).rev().filter(|version| version % 10 == 0).collect();
    assert_eq!(versions, newest_first);
    let limited = AuditFilter { limit: 230, ..filter };
    let some = records(cluster.ask_leader(&ReplicaQuestion::Audit(limited)));
    assert_eq!(some, all[..230]);
}

// A replica with a new disk becomes leader. Until it has copied the old records it must report that
// some are missing, so that the trail does not look shorter than it is.
#[test]
fn a_new_replica_copies_old_records_and_says_so_until_then() {
    let mut cluster = long_trail();
    cluster.ask_leader(&ReplicaQuestion::Change(ReplicaChange::Add(host_name(3))));
    cluster.add_host(host_name(3), MemberId(0));
    cluster.run_until(Duration::from_secs(60), FakeCluster::all_vote);
    cluster.transfer_to(3);
    let refused = ReplicaAnswer::Refused(ReplicaRefusal::AuditIncomplete);
    let token = cluster.ask(3, first_change());
    cluster.run(Duration::from_millis(200));
    assert_eq!(cluster.answers[&token], refused);
    cluster.run(Duration::from_secs(60));
    let token = cluster.ask(3, first_change());
    cluster.run(Duration::from_millis(200));
    assert_eq!(records(cluster.answers[&token].clone()).len(), 1);
}
