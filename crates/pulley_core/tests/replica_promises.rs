//! Messages that a replica must not send too early, tested step by step on a single replica.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{HostId, MemberId};
use pulley_core::version::{
    AppendOutcome, AppendReply, AppendRequest, LogCommand, LogEntry, LogIndex, LogTime,
    PersistTicket, RecoveredState, ReplicaEnvelope, ReplicaMessage, ReplicaNode, ReplicaSettings,
    Term, VoteRecord, VoteReply, VoteRequest,
};

const ME: MemberId = MemberId(1);
const SECOND: MemberId = MemberId(2);
const THIRD: MemberId = MemberId(3);

fn founders() -> Vec<(HostId, MemberId)> {
    [("a", ME), ("b", SECOND), ("c", THIRD)]
        .into_iter()
        .map(|(host, member)| (host.parse().expect("a valid name"), member))
        .collect()
}

fn node(recovered: &RecoveredState) -> ReplicaNode {
    let settings = ReplicaSettings::founded_by(founders());
    ReplicaNode::new(ME, recovered, settings, Moment::ZERO, 1)
}

fn entry(index: u64, term: u64) -> Arc<LogEntry> {
    let command = LogCommand::Blank;
    Arc::new(LogEntry { index: LogIndex(index), term: Term(term), time: LogTime(0), command })
}

fn deliver(node: &mut ReplicaNode, from: MemberId, message: ReplicaMessage) {
    node.receive(Moment::from_micros(1), ReplicaEnvelope { from, to: ME, message });
}

fn vote_request(term: u64) -> ReplicaMessage {
    ReplicaMessage::VoteRequest(VoteRequest {
        term: Term(term),
        last_index: LogIndex(9),
        last_term: Term(term),
        transfer: false,
    })
}

fn has_grant(sends: &[ReplicaEnvelope]) -> bool {
    sends.iter().any(|sent| {
        matches!(sent.message, ReplicaMessage::VoteReply(VoteReply { granted: true, .. }))
    })
}

fn has_ack(sends: &[ReplicaEnvelope]) -> bool {
    sends.iter().any(|sent| match &sent.message {
        ReplicaMessage::AppendReply(reply) => {
            matches!(reply.outcome, AppendOutcome::Stored { upto } if upto > LogIndex(0))
        }
        _ => false,
    })
}

/// Makes the node leader of the term after its recovered one, with a vote of the second member.
fn elect(node: &mut ReplicaNode) -> Moment {
    let later = node.next_wakeup();
    node.tick(later);
    let term = node.term().next();
    let grant = VoteReply { term, granted: true };
    deliver(node, SECOND, ReplicaMessage::PreVoteReply(grant));
    let batch = node.take_effects().batch.expect("its own vote is written");
    node.persisted(later, batch.ticket, true);
    deliver(node, SECOND, ReplicaMessage::VoteReply(grant));
    assert!(node.is_leader());
    later
}

fn stored(node: &ReplicaNode, upto: u64) -> ReplicaMessage {
    let outcome = AppendOutcome::Stored { upto: LogIndex(upto) };
    ReplicaMessage::AppendReply(AppendReply { term: node.term(), round: 0, outcome })
}

// A host loses power right after it granted a vote, forgets it, and grants another one in the same
// term. Two leaders would then accept different sheets under one version. The grant must therefore
// not be sent before the vote is on disk, and the vote must still count after a restart.
#[test]
fn a_vote_is_sent_only_once_it_is_on_disk() {
    let mut node = node(&RecoveredState::default());
    deliver(&mut node, SECOND, vote_request(1));
    let effects = node.take_effects();
    assert!(!has_grant(&effects.sends));
    let batch = effects.batch.expect("the vote is written");
    let vote = batch.vote.expect("the batch holds the vote");
    assert_eq!(vote, VoteRecord { term: Term(1), voted_for: Some(SECOND) });
    node.persisted(Moment::from_micros(2), batch.ticket, true);
    assert!(has_grant(&node.take_effects().sends));

    let recovered = RecoveredState { vote, ..RecoveredState::default() };
    let mut restarted = self::node(&recovered);
    deliver(&mut restarted, THIRD, vote_request(1));
    assert!(!has_grant(&restarted.take_effects().sends));
}

// A follower acknowledges an entry and loses power before writing it. By then the leader has
// counted it and told the operator "accepted". The acknowledgement must therefore wait for the
// disk, as must the replies to a duplicated message and to a heartbeat.
#[test]
fn an_entry_is_acknowledged_only_once_it_is_on_disk() {
    let mut node = node(&RecoveredState::default());
    let request = AppendRequest {
        term: Term(1),
        prev_index: LogIndex(0),
        prev_term: Term(0),
        commit: LogIndex(0),
        round: 1,
        entries: vec![entry(1, 1)],
    };
    deliver(&mut node, SECOND, ReplicaMessage::AppendRequest(request.clone()));
    let first = node.take_effects();
    assert!(!has_ack(&first.sends));
    deliver(&mut node, SECOND, ReplicaMessage::AppendRequest(request.clone()));
    let beat = AppendRequest {
        prev_index: LogIndex(1),
        prev_term: Term(1),
        entries: Vec::new(),
        ..request
    };
    deliver(&mut node, SECOND, ReplicaMessage::AppendRequest(beat));
    assert!(!has_ack(&node.take_effects().sends));
    let ticket = first.batch.expect("the entry is written").ticket;
    node.persisted(Moment::from_micros(2), ticket, true);
    assert!(has_ack(&node.take_effects().sends));
}

// The leader's own disk is slow while one follower has the entry. One disk of three is no quorum:
// if that host were lost, nobody would have the change that the operator was told is accepted.
#[test]
fn a_leader_counts_itself_only_once_its_disk_has_the_entry() {
    let mut node = node(&RecoveredState::default());
    let later = elect(&mut node);
    let ticket = node.take_effects().batch.expect("the first entry is written").ticket;
    let answer = stored(&node, 1);
    deliver(&mut node, SECOND, answer);
    assert_eq!(node.commit_index(), LogIndex(0));
    node.persisted(later, ticket, true);
    assert_eq!(node.commit_index(), LogIndex(1));
}

// A leader finds an entry of an earlier term on a majority of disks. A replica with a later last
// term could still win an election and replace the entry. An operator must therefore not be told
// "accepted" until an entry of the leader's own term is on a majority too.
#[test]
fn entries_of_earlier_terms_do_not_commit_by_count() {
    let recovered = RecoveredState {
        vote: VoteRecord { term: Term(4), voted_for: None },
        entries: vec![entry(1, 1), entry(2, 2)],
        ..RecoveredState::default()
    };
    let mut node = node(&recovered);
    let later = elect(&mut node);
    let ticket = node.take_effects().batch.expect("the first entry is written").ticket;
    node.persisted(later, ticket, true);
    let answer = stored(&node, 2);
    deliver(&mut node, SECOND, answer);
    assert_eq!(node.commit_index(), LogIndex(0));
    let answer = stored(&node, 3);
    deliver(&mut node, SECOND, answer);
    assert_eq!(node.commit_index(), LogIndex(3));
}

// A replica learns that an entry is committed before the entry is on its own disk, puts the sheet
// in force and loses power. After its restart it would serve an older sheet than before.
#[test]
fn what_is_committed_applies_only_once_it_is_on_the_own_disk() {
    let mut node = node(&RecoveredState::default());
    let request = AppendRequest {
        term: Term(1),
        prev_index: LogIndex(0),
        prev_term: Term(0),
        commit: LogIndex(1),
        round: 1,
        entries: vec![entry(1, 1)],
    };
    deliver(&mut node, SECOND, ReplicaMessage::AppendRequest(request));
    assert_eq!(node.commit_index(), LogIndex(1));
    assert!(node.take_committed().is_none());
    node.persisted(Moment::from_micros(2), PersistTicket(1), true);
    assert!(node.take_committed().is_some());
}

// A replica returns from a long partition. It must not raise the term and depose a leader that
// everyone else hears, otherwise each such return would cost the callers an election.
#[test]
fn a_replica_that_hears_its_leader_grants_no_vote() {
    let mut node = node(&RecoveredState::default());
    let beat = AppendRequest {
        term: Term(1),
        prev_index: LogIndex(0),
        prev_term: Term(0),
        commit: LogIndex(0),
        round: 1,
        entries: Vec::new(),
    };
    deliver(&mut node, SECOND, ReplicaMessage::AppendRequest(beat));
    node.take_effects();
    deliver(&mut node, THIRD, vote_request(7));
    assert_eq!(node.term(), Term(1));
    assert!(!has_grant(&node.take_effects().sends));
    let settings = ReplicaSettings::default();
    node.tick(Moment::ZERO + settings.election_timeout + Duration::from_micros(2));
    deliver_late(&mut node, settings.election_timeout * 3);
    assert_eq!(node.term(), Term(7));
}

/// Delivers a vote request long after the leader was last heard.
fn deliver_late(node: &mut ReplicaNode, after: Duration) {
    let message = vote_request(7);
    node.receive(Moment::ZERO + after, ReplicaEnvelope { from: THIRD, to: ME, message });
}
