//! How upstreams are restored from a replica's disk after all hosts have lost power.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    Announcement, Incarnation, RecallProof, UpstreamDirectory, UpstreamPhase, UpstreamRegistry,
    UpstreamStart,
};

use crate::network::{Network, announcement};

const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns the directory that a registry with upstreams `0..count` stores.
fn saved_directory(count: usize) -> UpstreamDirectory {
    let mut registry = UpstreamRegistry::new();
    let now = Moment::ZERO;
    for upstream in 0..count {
        registry.announce(now, announcement(upstream, 1, 1)).unwrap();
    }
    registry.directory(now, |_| false)
}

fn start_of(announcement: &Announcement) -> UpstreamStart {
    UpstreamStart { id: announcement.id.clone(), incarnation: announcement.incarnation }
}

/// All hosts lose power and are back within a second, while upstreams keep announcing themselves
/// every second and a half. Until the last upstream has done so, callers would be refused although
/// upstreams are idle. The upstreams that one replica of a zone has stored must be known to its
/// entries within 50 ms.
#[test]
fn entries_know_all_upstreams_at_once_after_a_restart_of_all() {
    let mut network = Network::new(40, 21);
    network.run_for(Duration::from_secs(2));
    let now = network.now;
    let directory = saved_directory(200);
    for replica in 0..5 {
        network.hosts[replica].registry.recall(now, directory.clone(), |_| false);
        for entry in (5..40).filter(|entry| entry % 5 == replica) {
            network.transfer_state(replica, entry);
        }
    }
    network.run_for(50 * MILLISECOND);
    for host in &network.hosts {
        let known = (0..200).filter(|upstream| {
            host.registry.takes_work(network.now, &announcement(*upstream, 1, 1).id)
        });
        assert_eq!(known.count(), 200);
    }
}

/// An upstream announces its departure, which is acknowledged; then all hosts lose power. The
/// replica that comes back stored the upstream before that. If it restored the upstream, callers
/// would be sent to a process that is about to end.
#[test]
fn departed_upstreams_are_not_recalled() {
    let left = start_of(&announcement(1, 1, 1));
    let mut registry = UpstreamRegistry::new();
    let recalled = registry.recall(Moment::ZERO, saved_directory(3), |start| *start == left);
    assert_eq!(recalled, 2);
    assert!(!registry.takes_work(Moment::ZERO, &left.id));
    let kept = registry.directory(Moment::ZERO, |start| start.id == announcement(0, 1, 1).id);
    assert_eq!(kept.len(), 1);
}

/// An upstream restarts at another address while all hosts are down, and announces itself to a
/// replica before that has read its disk. The stored record of its earlier incarnation must change
/// nothing: callers would be sent to the old address, which another service may use.
#[test]
fn an_announcement_takes_precedence_over_a_recalled_record() {
    let mut registry = UpstreamRegistry::new();
    let moved = Announcement { address: "10.9.9.9:8000".parse().unwrap(), ..announcement(0, 2, 1) };
    registry.announce(Moment::ZERO, moved.clone()).unwrap();
    assert_eq!(registry.recall(Moment::ZERO, saved_directory(1), |_| false), 0);
    // The reverse order: a restored record is replaced by the upstream's first announcement.
    let mut other = UpstreamRegistry::new();
    assert_eq!(other.recall(Moment::ZERO, saved_directory(1), |_| false), 1);
    let late = Moment::ZERO + Duration::from_secs(2);
    other.announce(late, moved.clone()).unwrap();
    for registry in [&registry, &other] {
        let pools = registry.rebuild_pools(late);
        assert_eq!(pools[&moved.pool][0].announcement, moved);
    }
}

/// An upstream ends while all hosts are down and never announces itself again. Requests may be sent
/// to it for half a lease at most. An upstream that is alive renews its lease by announcing itself.
#[test]
fn a_recalled_lease_is_short() {
    let mut registry = UpstreamRegistry::with_lease(Duration::from_secs(6));
    registry.recall(Moment::ZERO, saved_directory(2), |_| false);
    let (silent, alive) = (announcement(0, 1, 1), announcement(1, 1, 2));
    registry.announce(Moment::ZERO + Duration::from_secs(1), alive.clone()).unwrap();
    let early = Moment::ZERO + Duration::from_millis(1_500);
    assert!(registry.takes_work(early, &silent.id));
    let late = Moment::ZERO + Duration::from_secs(3);
    assert!(!registry.takes_work(late, &silent.id));
    assert!(registry.takes_work(late, &alive.id));
}

/// A restored upstream announces that it drains, and a copy of its stored record arrives from
/// another host. The upstream must stay out of use.
#[test]
fn a_drain_after_a_recall_holds_everywhere() {
    let mut registry = UpstreamRegistry::new();
    registry.recall(Moment::ZERO, saved_directory(1), |_| false);
    let draining = Announcement { phase: UpstreamPhase::Draining, ..announcement(0, 1, 2) };
    registry.announce(Moment::ZERO, draining.clone()).unwrap();
    assert_eq!(registry.recall(Moment::ZERO, saved_directory(1), |_| false), 0);
    assert!(!registry.takes_work(Moment::ZERO, &draining.id));
    let (start, _) = registry.departure(&draining.id).unwrap();
    assert_eq!(start.incarnation, Incarnation(1));
}

/// A replica starts while so many questions wait for a leader that its own is rejected. If the
/// question counted as asked, the replica would restore no upstreams, and callers would be refused
/// until all upstreams have announced themselves again.
#[test]
fn a_recall_question_that_was_not_accepted_is_asked_again() {
    let mut proof = RecallProof::default();
    assert!(proof.needs_request());
    proof.mark_requested();
    assert!(!proof.needs_request());
    proof.mark_rejected();
    assert!(proof.needs_request());
    // An answer that arrives while the question is being sent takes precedence over the notice that
    // the question was rejected.
    proof.mark_requested();
    proof.apply_answer(Some(7));
    proof.mark_rejected();
    assert!(!proof.is_complete_at(6));
    assert!(proof.is_complete_at(7));
    proof.apply_answer(None);
    assert!(proof.needs_request());
}
