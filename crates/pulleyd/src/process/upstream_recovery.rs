//! Keeps upstreams known across a restart of all hosts. Replicas write them to disk, read them back
//! after a restart, and send them to entries.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    FastSet, HostId, MemberIncarnation, RecallProof, UpstreamDirectory, UpstreamStart,
};
use pulley_core::version::{LogIndex, ReplicaAnswer, ReplicaQuestion};

use super::control_answer::PendingAnswer;
use super::control_core::ControlCore;

/// The interval between two writes of the directory. It limits the cost to one sync per second.
/// After a loss of power, the directory lacks only upstreams that have announced themselves within
/// the last second.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);

/// How long after its start a replica may restore upstreams from the directory on its disk. It
/// covers several elections. Later, the live upstreams have announced themselves, and other hosts
/// pass them on.
const RECALL_WINDOW: Duration = Duration::from_secs(10);

/// The outcome of restoring upstreams from the directory on a replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecallOutcome {
    /// `taken` of the `written` upstreams are used until they announce themselves.
    Recalled { taken: usize, written: usize },
    /// The directory is too old: the departures since it was written are no longer all remembered.
    TooOld,
    /// No leader confirmed the departures in time.
    TooLate,
}

/// A replica's state for keeping upstreams known across a restart of all hosts.
#[derive(Debug, Default)]
pub(super) struct UpstreamRecovery {
    /// The directory on the disk, until it is known which of its upstreams have left since.
    directory: Option<UpstreamDirectory>,
    proof: RecallProof,
    /// The outcome of restoring the upstreams, until it is logged.
    outcome: Option<RecallOutcome>,
    /// Entries that were sent the upstreams, each with its incarnation.
    informed_entries: FastSet<(HostId, MemberIncarnation)>,
    /// The registry's change count at the last write of the directory, and the time of that write.
    written: Option<(u64, Moment)>,
}

impl UpstreamRecovery {
    pub(super) fn new(directory: Option<UpstreamDirectory>) -> Self {
        Self { directory, ..Self::default() }
    }
}

impl ControlCore {
    /// Returns whether this host's log holds the departure of an upstream's incarnation.
    pub(super) fn has_left(&self, start: &UpstreamStart) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.machines().departures.has_left(start))
    }

    /// Adds the upstreams on the disk to the registry if this host knows all departures that were
    /// acknowledged before it started. Otherwise asks the leader how far the log is applied.
    ///
    /// Only a leader confirmed by a quorum knows them all. This replica may have been cut off when
    /// an upstream left, and its log may end before that departure.
    pub(super) fn recall_upstreams(&mut self, now: Moment) {
        let Some(replica) = self.replica.as_ref().filter(|_| self.recovery.directory.is_some())
        else {
            return;
        };
        let leader = replica.leader();
        if self.recovery.proof.is_complete_at(replica.node().applied_index().0) {
            self.recall_directory(now);
        } else if self.recovery.proof.needs_request() && leader.is_some() {
            self.recovery.proof.mark_requested();
            self.router.set_leader(leader);
            if !self.ask(now, ReplicaQuestion::Applied, PendingAnswer::Applied) {
                self.recovery.proof.mark_rejected();
            }
        }
    }

    /// Handles the leader's answer about the last applied index.
    pub(super) fn handle_applied_answer(&mut self, now: Moment, answer: &ReplicaAnswer) {
        let applied = match answer {
            ReplicaAnswer::Applied(index) => Some(index.0),
            _ => None,
        };
        self.recovery.proof.apply_answer(applied);
        if applied.is_some() {
            self.recall_upstreams(now);
        }
    }

    fn recall_directory(&mut self, now: Moment) {
        let Some(replica) = &self.replica else { return };
        let Some(directory) = self.recovery.directory.take() else { return };
        let departures = &replica.machines().departures;
        if !departures.remembers_all_since(LogIndex(directory.applied)) {
            self.recovery.outcome = Some(RecallOutcome::TooOld);
            return;
        }
        let written = directory.len();
        let taken = self.registry.recall(now, directory, |start| departures.has_left(start));
        self.recovery.outcome = Some(RecallOutcome::Recalled { taken, written });
        if taken > 0 {
            self.recovery.informed_entries.clear();
            self.transfer_state_to_entries(now);
        }
    }

    /// Returns the outcome of restoring the upstreams. It is `None` before the outcome is known and
    /// after a call has returned it.
    pub(crate) fn take_recall_outcome(&mut self) -> Option<RecallOutcome> {
        self.recovery.outcome.take()
    }

    /// Sends the upstreams to entries of this zone that have just started.
    pub(super) fn transfer_state_to_entries(&mut self, now: Moment) {
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
            if !self.recovery.informed_entries.contains(start) {
                self.registry.transfer_state(now, *address);
            }
        }
        self.recovery.informed_entries = entries.into_iter().map(|(start, _)| start).collect();
    }

    /// Returns the directory to write, if the upstreams have changed since the last write and the
    /// interval has passed.
    pub(crate) fn take_due_directory(&mut self, now: Moment) -> Option<UpstreamDirectory> {
        if now.since(Moment::ZERO) > RECALL_WINDOW && self.recovery.directory.take().is_some() {
            self.recovery.outcome = Some(RecallOutcome::TooLate);
        }
        let changes = self.registry.changes();
        let is_due = self
            .recovery
            .written
            .is_none_or(|(written, at)| written != changes && now.since(at) >= DIRECTORY_INTERVAL);
        let replica =
            self.replica.as_ref().filter(|_| is_due && self.recovery.directory.is_none())?;
        let departures = &replica.machines().departures;
        let applied = replica.node().applied_index().0;
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
