//! The hosts that one ask has been sent to since it last began from the start.

use std::cmp::Reverse;

use super::account_ranking::account_rank;
use super::peer_paths::PeerPaths;
use super::replica_paths::ReplicaPaths;
use super::{HostId, Moment, OrganisationName};

/// Replicas that an ask is sent to, at most.
const REPLICA_LIMIT: usize = 64;

/// Other entries that an ask is sent to in a round.
const PEERS_PER_ROUND: u8 = 2;

/// The hosts that one ask has been sent to since it last began from the start: the replicas and, if
/// none of them answers this entry, two other entries. Once no replica has answered, the other
/// entries come first.
#[derive(Clone, Debug)]
pub(super) struct AskRound {
    started_at: Moment,
    /// The replicas tried, one bit for each by its position.
    tried: u64,
    peers_tried: u8,
    last_peer: Option<HostId>,
    /// Whether a replica, or a peer, has answered that the keeper can't be reached.
    has_replica_answered: bool,
    has_peer_answered: bool,
}

impl AskRound {
    pub(super) const fn new(now: Moment) -> Self {
        Self {
            started_at: now,
            tried: 0,
            peers_tried: 0,
            last_peer: None,
            has_replica_answered: false,
            has_peer_answered: false,
        }
    }

    /// Records that a replica was tried. Other hosts are ignored.
    pub(super) fn record_tried(&mut self, host: &HostId, replicas: &[HostId]) {
        if let Some(position) = replicas.iter().position(|replica| replica == host) {
            self.tried |= 1 << (position % REPLICA_LIMIT);
        }
    }

    /// Records that a host has answered that it can't reach the keeper.
    pub(super) fn record_answer(&mut self, host: &HostId, replicas: &[HostId]) {
        if replicas.contains(host) {
            self.has_replica_answered = true;
        } else {
            self.has_peer_answered = true;
        }
    }

    /// Returns the host to try next; `None` at the end of the round.
    pub(super) fn next_target(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
        replicas: &[HostId],
        peers: &mut PeerPaths,
        paths: &ReplicaPaths,
    ) -> Option<HostId> {
        if !peers.is_cut() {
            let replica = self.next_replica(now, organisation, replicas, paths);
            if replica.is_some() || self.has_replica_answered {
                return replica;
            }
            peers.record_silence(self.started_at);
        }
        if !peers.is_cut() {
            return None;
        }
        match self.next_peer(peers) {
            None if !self.has_peer_answered => {
                self.next_replica(now, organisation, replicas, paths)
            }
            peer => peer,
        }
    }

    fn next_replica(
        &self,
        now: Moment,
        organisation: &OrganisationName,
        replicas: &[HostId],
        paths: &ReplicaPaths,
    ) -> Option<HostId> {
        let untried = replicas.iter().take(REPLICA_LIMIT).enumerate();
        let untried = untried.filter(|(position, _)| self.tried & (1 << position) == 0);
        let rank = |(_, host): &(usize, &HostId)| {
            (paths.is_tried_last(now, host), Reverse(account_rank(organisation, host)))
        };
        untried.min_by_key(rank).map(|(_, host)| host.clone())
    }

    fn next_peer(&mut self, peers: &PeerPaths) -> Option<HostId> {
        if self.peers_tried >= PEERS_PER_ROUND {
            return None;
        }
        let next = peers.next(self.last_peer.as_ref())?;
        self.peers_tried += 1;
        self.last_peer = Some(next.clone());
        Some(next.clone())
    }
}
