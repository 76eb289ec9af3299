//! How upstreams outlive a restart of all hosts: written down by replicas, recalled, and told to
//! entries.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    FastSet, HostId, MemberIncarnation, RecallProof, UpstreamDirectory, UpstreamStart,
};
use pulley_core::version::{LogIndex, ReplicaAnswer, ReplicaQuestion};

use super::control_answer::AnswerSlot;
use super::control_core::ControlCore;

/// The pause between two directories. A replica then spends one sync a second on them at most, and
/// what upstreams a loss of power makes it forget have announced themselves within the last second.
const DIRECTORY_PAUSE: Duration = Duration::from_secs(1);

/// For how long after its start a replica may recall what its disk holds: several elections. After
/// that the upstreams have announced themselves, and what lives is told by others.
const RECALL_SPAN: Duration = Duration::from_secs(10);

/// What became of the upstreams on a replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecallOutcome {
    /// So many of so many are offered to callers until they announce themselves.
    Recalled { taken: usize, written: usize },
    /// More upstreams have left since than are remembered.
    TooOld,
    /// No leader was found in time.
    TooLate,
}

/// What a replica does so that upstreams outlive a restart of all hosts.
#[derive(Debug, Default)]
pub(super) struct UpstreamRecovery {
    /// What its disk holds, until it may be told from what has left since.
    directory: Option<UpstreamDirectory>,
    proof: RecallProof,
    /// What became of it, until that is logged.
    outcome: Option<RecallOutcome>,
    /// Starts of entries that were told of the upstreams.
    introduced: FastSet<(HostId, MemberIncarnation)>,
    /// What the last directory was made from, and when it was.
    written: Option<(u64, Moment)>,
}

impl UpstreamRecovery {
    pub(super) fn new(directory: Option<UpstreamDirectory>) -> Self {
        Self { directory, ..Self::default() }
    }
}

impl ControlCore {
    /// Whether the leaving of an upstream's start is in this host's log.
    pub(super) fn has_left(&self, start: &UpstreamStart) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.machines().departures.has_left(start))
    }

    /// Takes in the upstreams that the disk holds, once all departures are known that were
    /// acknowledged before this host started.
    ///
    /// Which those are only a leader can tell that a quorum confirms: this replica may have been
    /// cut off when an upstream left, and its log may end before that.
    pub(super) fn recall_upstreams(&mut self, now: Moment) {
        let Some(replica) = self.replica.as_ref().filter(|_| self.recovery.directory.is_some())
        else {
            return;
        };
        let leader = replica.leader();
        if self.recovery.proof.holds_at(replica.node().taken_index().0) {
            self.recall_now(now);
        } else if self.recovery.proof.is_wanted() && leader.is_some() {
            self.recovery.proof.begin_asking();
            self.router.apply_leader(leader);
            if !self.ask(now, ReplicaQuestion::Applied, AnswerSlot::Applied) {
                self.recovery.proof.give_up_asking();
            }
        }
    }

    /// Takes the leader's word on what is applied.
    pub(super) fn note_applied(&mut self, now: Moment, answer: &ReplicaAnswer) {
        let applied = match answer {
            ReplicaAnswer::Applied(index) => Some(index.0),
            _ => None,
        };
        self.recovery.proof.take_answer(applied);
        if applied.is_some() {
            self.recall_upstreams(now);
        }
    }

    fn recall_now(&mut self, now: Moment) {
        let Some(replica) = &self.replica else { return };
        let Some(directory) = self.recovery.directory.take() else { return };
        let departures = &replica.machines().departures;
        if !departures.covers(LogIndex(directory.applied)) {
            self.recovery.outcome = Some(RecallOutcome::TooOld);
            return;
        }
        let written = directory.len();
        let taken = self.registry.recall(now, directory, |start| departures.has_left(start));
        self.recovery.outcome = Some(RecallOutcome::Recalled { taken, written });
        if taken > 0 {
            self.recovery.introduced.clear();
            self.introduce_entries(now);
        }
    }

    /// What became of the upstreams on the disk, once.
    pub(crate) fn take_recall(&mut self) -> Option<RecallOutcome> {
        self.recovery.outcome.take()
    }

    /// Tells entries of the own zone that have just started of the upstreams.
    pub(super) fn introduce_entries(&mut self, now: Moment) {
        if self.replica.is_none() {
            return;
        }
        let own = self.members.own();
        let entries: Vec<_> = self
            .members
            .live()
            .filter(|record| record.roles.entry && record.zone == own.zone)
            .filter(|record| record.host != own.host)
            .map(|record| ((record.host.clone(), record.incarnation), record.peer_address))
            .collect();
        for (start, address) in &entries {
            if !self.recovery.introduced.contains(start) {
                self.registry.introduce(now, *address);
            }
        }
        self.recovery.introduced = entries.into_iter().map(|(start, _)| start).collect();
    }

    /// The upstreams to write down, if they have changed since that was last done.
    pub(crate) fn directory_due(&mut self, now: Moment) -> Option<UpstreamDirectory> {
        if now.since(Moment::ZERO) > RECALL_SPAN && self.recovery.directory.take().is_some() {
            self.recovery.outcome = Some(RecallOutcome::TooLate);
        }
        let changes = self.registry.changes();
        let is_due = self
            .recovery
            .written
            .is_none_or(|(written, at)| written != changes && now.since(at) >= DIRECTORY_PAUSE);
        let replica =
            self.replica.as_ref().filter(|_| is_due && self.recovery.directory.is_none())?;
        let departures = &replica.machines().departures;
        let applied = replica.node().taken_index().0;
        let own = &self.members.own().host;
        let replicas = self.members.live().filter(|record| record.roles.replica);
        let peers = replicas.filter(|record| record.host != *own).map(|record| record.peer_address);
        let mut directory = self.registry.directory(now, |start| departures.has_left(start));
        directory.applied = applied;
        directory.peers = peers.collect();
        self.recovery.written = Some((changes, now));
        Some(directory)
    }
}
