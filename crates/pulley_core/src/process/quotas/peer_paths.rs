//! The other entries through which this one gets permits while no replica answers it.

use std::time::Duration;

use super::{HostId, Moment};

/// The interval at which an entry that no replica answers sends an ask to one of them as well.
const REPLICA_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The other entries through which this one gets permits while no replica answers it.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerPaths {
    peers: Vec<HostId>,
    /// The position of the peer that is asked first: the one that has answered last, or the one
    /// after a peer that has not answered.
    first: usize,
    /// Whether no replica has answered this entry in its last round.
    is_cut: bool,
    replica_answered_at: Option<Moment>,
    next_replica_try: Moment,
    /// The replicas are tried in turn, because one of them may be down.
    replica_turn: usize,
}

impl PeerPaths {
    /// Sets the other entries, in the order in which they are asked.
    pub(super) fn set_peers(&mut self, peers: &[HostId]) {
        let first = self.peers.get(self.first);
        let first = first.and_then(|first| peers.iter().position(|peer| peer == first));
        self.first = first.unwrap_or(0);
        self.peers = peers.to_vec();
    }

    pub(super) fn peers(&self) -> &[HostId] {
        &self.peers
    }

    /// Whether asks go to other entries first.
    pub(super) const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns the peer that an ask goes to next, after the one that it went to before. They are
    /// different.
    pub(super) fn next(&self, previous: Option<&HostId>) -> Option<&HostId> {
        let in_order = self.peers.iter().cycle().skip(self.first).take(self.peers.len());
        in_order.into_iter().find(|peer| Some(*peer) != previous)
    }

    /// Records that no replica has answered a round of an ask that began at `started_at`. This
    /// entry counts as cut unless one has answered another ask since.
    pub(super) fn record_silence(&mut self, started_at: Moment) {
        self.is_cut = self.replica_answered_at.is_none_or(|at| at < started_at);
    }

    /// Records that a replica has answered this entry.
    pub(super) const fn record_replica_answer(&mut self, now: Moment) {
        self.is_cut = false;
        self.replica_answered_at = Some(now);
    }

    /// Records that a peer has answered. Other hosts are ignored.
    pub(super) fn record_answer(&mut self, host: &HostId) {
        if let Some(position) = self.peers.iter().position(|peer| peer == host) {
            self.first = position;
        }
    }

    /// Records that a peer has not answered in time. Other hosts are ignored.
    pub(super) fn record_timeout(&mut self, host: &HostId) {
        if self.peers.get(self.first) == Some(host) {
            self.first = (self.first + 1) % self.peers.len();
        }
    }

    /// Returns the replica that an ask to a peer is sent to as well, if a try is due.
    pub(super) fn replica_to_try(&mut self, now: Moment, replicas: &[HostId]) -> Option<HostId> {
        if !self.is_cut || now < self.next_replica_try || replicas.is_empty() {
            return None;
        }
        self.next_replica_try = now + REPLICA_RETRY_INTERVAL;
        self.replica_turn = (self.replica_turn + 1) % replicas.len();
        Some(replicas[self.replica_turn].clone())
    }
}
