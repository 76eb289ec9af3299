//! Elections: pre-votes, votes, and replies to other replicas' requests.

use super::replica_node::{ReplicaNode, ReplicaRole};
use super::{LogIndex, ReplicaMessage};
use super::{Term, VoteRecord, VoteReply, VoteRequest};
use crate::process::MemberId;

impl ReplicaNode {
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_at {
            return;
        }
        self.renew_election_timer();
        if !self.log.members().is_voter(self.me) {
            return;
        }
        self.leader = None;
        self.deferrals = 0;
        self.ask_pre_votes();
    }

    pub(crate) fn on_pre_vote_request(&mut self, from: MemberId, request: VoteRequest) {
        let granted = request.term > self.vote.term
            && self.is_up_to_date(&request)
            && !self.has_recent_leader();
        if granted {
            self.defer_election(from);
        }
        let term = if granted { request.term } else { self.vote.term };
        self.send(from, ReplicaMessage::PreVoteReply(VoteReply { term, granted }));
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: MemberId, reply: VoteReply) {
        if !reply.granted {
            if reply.term > self.vote.term {
                self.become_follower(reply.term, None);
            }
            return;
        }
        if reply.term != self.vote.term.next() {
            return;
        }
        let ReplicaRole::PreCandidate { votes } = &mut self.role else { return };
        if !votes.contains(&from) {
            votes.push(from);
        }
        if self.has_majority() {
            self.campaign(false);
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: MemberId, request: VoteRequest) {
        // A replica that was removed or cut off must not depose a leader that a majority hears. The
        // exception is an election that the leader itself requested to hand over.
        if request.term > self.vote.term && self.has_recent_leader() && !request.transfer {
            return;
        }
        if request.term > self.vote.term {
            self.become_follower(request.term, None);
        }
        let can_vote = self.vote.voted_for.is_none_or(|voted| voted == from);
        let granted = request.term == self.vote.term && can_vote && self.is_up_to_date(&request);
        if granted && self.vote.voted_for.is_none() {
            self.vote.voted_for = Some(from);
            self.gate.queue_vote(self.vote);
        }
        if granted {
            self.reset_election_timer();
        }
        let reply = VoteReply { term: self.vote.term, granted };
        self.send_durable(from, ReplicaMessage::VoteReply(reply));
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, reply: VoteReply) {
        if reply.term > self.vote.term {
            self.become_follower(reply.term, None);
            return;
        }
        if reply.term < self.vote.term || !reply.granted {
            return;
        }
        let ReplicaRole::Candidate { votes } = &mut self.role else { return };
        if !votes.contains(&from) {
            votes.push(from);
        }
        if self.has_majority() {
            self.become_leader();
        }
    }

    pub(crate) fn on_campaign_now(&mut self, from: MemberId, term: Term) {
        let by_leader = term == self.vote.term && self.leader == Some(from);
        if by_leader && self.log.members().is_voter(self.me) {
            self.campaign(true);
        }
    }

    fn ask_pre_votes(&mut self) {
        self.role = ReplicaRole::PreCandidate { votes: vec![self.me] };
        if self.has_majority() {
            self.campaign(false);
            return;
        }
        let request = self.vote_request(self.vote.term.next(), false);
        for member in self.other_voters() {
            self.send(member, ReplicaMessage::PreVoteRequest(request));
        }
    }

    fn campaign(&mut self, transfer: bool) {
        self.vote = VoteRecord { term: self.vote.term.next(), voted_for: Some(self.me) };
        self.gate.queue_vote(self.vote);
        self.role = ReplicaRole::Candidate { votes: Vec::new() };
        self.leader = None;
        self.set_vote_timer();
        let request = self.vote_request(self.vote.term, transfer);
        for member in self.other_voters() {
            self.send_durable(member, ReplicaMessage::VoteRequest(request));
        }
        // Its own vote counts only after it is on disk, like any other.
        let own = VoteReply { term: self.vote.term, granted: true };
        self.send_durable(self.me, ReplicaMessage::VoteReply(own));
    }

    fn has_majority(&self) -> bool {
        match &self.role {
            ReplicaRole::PreCandidate { votes } | ReplicaRole::Candidate { votes } => {
                self.log.members().is_majority(|member| votes.contains(&member))
            }
            ReplicaRole::Follower | ReplicaRole::Leader(_) => false,
        }
    }

    /// Whether it leads, or has heard a leader within the shortest election timeout.
    fn has_recent_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let heard = |at| self.now.since(at) < self.settings.election_timeout;
        self.leader.is_some() && self.leader_heard.is_some_and(heard)
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own: (Term, LogIndex) = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    fn vote_request(&self, term: Term, transfer: bool) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        }
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.log.members().voters().filter(|member| *member != self.me).collect()
    }
}
