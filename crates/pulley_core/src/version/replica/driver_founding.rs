//! Founds or joins a cluster at the driver, and answers hosts that want to join.

use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    DiskId, DriverOutput, FoundingMessage, LogCommand, PeerMessage, PersistTicket, RecoveredState,
    ReplicaDriver, ReplicaMember, ReplicaMembership, ReplicaNode,
};
use crate::process::{HostId, MemberId, Moment};

/// Interval at which a removed replica asks to rejoin.
const REJOIN_INTERVAL: Duration = Duration::from_millis(300);

/// An attempt of a removed replica to get a new id.
#[derive(Clone, Debug)]
pub(crate) struct RejoinAttempt {
    pub(crate) leader: Option<HostId>,
    pub(crate) next_request_at: Moment,
}

/// Maximum number of members of a cluster that grows automatically. Each further member costs the
/// leader a copy of every entry; beyond nine, a commit waits for more disks than may be lost in any
/// deployment.
const MEMBER_LIMIT: usize = 9;

impl ReplicaDriver {
    /// Runs the founding steps that are due while this replica has no log yet.
    pub(crate) fn tick_founding(&mut self, now: Moment) {
        if let Some(founding) = &mut self.founding {
            founding.tick(now);
        }
        self.process_founding_effects(now);
    }

    pub(crate) fn persisted_founding(&mut self, now: Moment, ticket: PersistTicket, ok: bool) {
        if !ok {
            self.founding = None;
            self.node.fail(SmolStr::new_static("the storage failed to write"));
            return;
        }
        if let Some(founding) = &mut self.founding {
            founding.persisted(now, ticket);
        }
        self.process_founding_effects(now);
    }

    pub(crate) fn receive_founding(
        &mut self,
        now: Moment,
        from: &HostId,
        message: FoundingMessage,
    ) {
        if let Some(founding) = &mut self.founding {
            founding.receive(now, from, message);
            self.process_founding_effects(now);
            return;
        }
        match message {
            FoundingMessage::Hello { .. } => self.send_founded(from),
            FoundingMessage::Join { disk } => self.admit_host(now, from, disk),
            FoundingMessage::Founded { members, leader } => {
                self.on_removed(now, &members, leader);
            }
            FoundingMessage::Joined { member } => self.rejoin_as(member),
        }
    }

    /// Records that this replica is no longer a member, if a committed membership says so.
    ///
    /// A replica may have been replaced while it was cut off. Without this check it would keep
    /// asking for votes that nobody grants, and its host would lack a replica for good. After
    /// further losses there would be one usable disk fewer than intact disks. Ids are never reused.
    /// A membership that has assigned later ids and lacks this one has therefore removed it, and
    /// cannot just be an older membership.
    fn on_removed(&mut self, now: Moment, members: &ReplicaMembership, leader: Option<HostId>) {
        let me = self.identity.member;
        if !self.settings.grows || members.next_member <= me {
            return;
        }
        if members.find(me).is_some() {
            self.rejoin = None;
            return;
        }
        let own = members.find_host(&self.identity.host);
        if let Some(own) = own.filter(|own| own.disk == Some(self.disk)) {
            self.rejoin_as(own.member);
            return;
        }
        let known = self.rejoin.take().and_then(|rejoin| rejoin.leader);
        self.rejoin = Some(RejoinAttempt { leader: leader.or(known), next_request_at: now });
    }

    /// Asks the leader for a new id while this replica is not a member.
    pub(crate) fn request_rejoin(&mut self, now: Moment) {
        let Some(rejoin) = self.rejoin.as_mut().filter(|rejoin| rejoin.next_request_at <= now)
        else {
            return;
        };
        rejoin.next_request_at = now + REJOIN_INTERVAL;
        let Some(leader) = rejoin.leader.clone() else { return };
        self.send_founding(leader, FoundingMessage::Join { disk: self.disk });
    }

    fn rejoin_as(&mut self, member: MemberId) {
        if self.rejoin.take().is_some() && member > self.identity.member {
            self.identity.member = member;
            self.node.set_member_id(member);
        }
    }

    fn process_founding_effects(&mut self, now: Moment) {
        let Some(founding) = &mut self.founding else { return };
        let effects = founding.take_effects();
        for (to, message) in effects.sends {
            self.send_founding(to, message);
        }
        for batch in effects.batches {
            self.outputs.push(DriverOutput::Persist { ticket: batch.ticket, batch });
        }
        if let Some((member, state)) = effects.start {
            self.start_node(now, member, &state);
        }
    }

    fn start_node(&mut self, now: Moment, member: MemberId, state: &RecoveredState) {
        self.founding = None;
        self.identity.member = member;
        let settings = self.node_settings();
        self.node = ReplicaNode::new(member, state, settings, now, self.seed);
    }

    /// Tells a host with an empty disk that the cluster already exists.
    ///
    /// The host takes its id from this message, so only committed members may be sent. An
    /// uncommitted entry that assigned an id could still be replaced, and the id be given to
    /// another disk.
    pub(crate) fn send_founded(&mut self, to: &HostId) {
        let members = self.node.committed_members().clone();
        if members.members.is_empty() || self.node.failure().is_some() {
            return;
        }
        let leader = self.leader();
        self.send_founding(to.clone(), FoundingMessage::Founded { members, leader });
    }

    /// Gives a host with an empty disk a new member id, if it may hold the log.
    fn admit_host(&mut self, now: Moment, from: &HostId, disk: DiskId) {
        if !self.node.may_change_members() {
            return;
        }
        let Some(known) = self.node.members().find_host(from).cloned() else {
            self.admit_new_host(now, from, disk);
            return;
        };
        if known.disk == Some(disk) {
            let message = FoundingMessage::Joined { member: known.member };
            self.send_founding(from.clone(), message);
            return;
        }
        if let Some(command) = self.join_command(now, &known, disk) {
            let _ = self.node.propose_members(now, command);
        }
    }

    /// Adds a host that no operator has named as a learner, if the cluster grows automatically.
    ///
    /// Only one at a time: with several learners a leader could lose its majority between two
    /// changes, and a learner that has failed would keep all others out.
    fn admit_new_host(&mut self, now: Moment, from: &HostId, disk: DiskId) {
        if !self.settings.grows || self.has_pending_learner() {
            return;
        }
        let members = self.node.members();
        if members.members.len() >= MEMBER_LIMIT {
            return;
        }
        let (next, member) = members.with_learner(from, Some(disk));
        let description = format!("learner {member} {from} joins by itself");
        if let Some(command) = self.members_command(now, next, description) {
            let _ = self.node.propose_members(now, command);
        }
    }

    /// Whether a learner is catching up to become a voter. Silent learners do not count.
    fn has_pending_learner(&self) -> bool {
        let mut members = self.node.members().members.iter();
        members.any(|member| !member.voter && !self.node.is_silent(member.member))
    }

    fn join_command(&self, now: Moment, known: &ReplicaMember, disk: DiskId) -> Option<LogCommand> {
        let members = self.node.members();
        if known.disk.is_none() {
            let description = format!("disk {disk} of {} {}", known.member, known.host);
            return self.members_command(now, members.with_disk(known.member, disk), description);
        }
        // Two processes that claim to be the same host must not keep replacing each other, so only
        // a silent member is replaced.
        let last_voter = known.voter && members.voters().count() == 1;
        if last_voter || !self.node.is_silent(known.member) {
            return None;
        }
        // A cluster that grows replaces one lost disk at a time. Replacing two of five voters at
        // the same time would leave three voters, of which two could decide. If the two are
        // replaced one after the other, a majority stays three.
        if self.settings.grows && self.has_pending_learner() {
            return None;
        }
        let (next, member) = members.without(known.member).with_learner(&known.host, Some(disk));
        let description =
            format!("learner {member} {} replaces {} (lost disk)", known.host, known.member);
        self.members_command(now, next, description)
    }

    fn send_founding(&mut self, to: HostId, message: FoundingMessage) {
        let Ok(body) = postcard::to_allocvec(&PeerMessage::Founding(message)) else { return };
        self.outputs.push(DriverOutput::Send { to, body: Bytes::from(body) });
    }
}
