//! Decides whether a replica with an empty disk founds a cluster or joins one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{
    DiskId, FoundingMessage, PersistBatch, PersistTicket, RecoveredState, ReplicaIdentity,
    ReplicaMachines, ReplicaMember, ReplicaMembership, SnapshotPosition,
};
use crate::process::{HostId, MemberId, Moment};

/// Interval at which a replica without a log contacts other hosts.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum age of a founder's last hello. A replica agrees to found a cluster only while the hellos
/// of all founders are this recent.
const HELLO_LIFETIME: Duration = Duration::from_secs(2);

/// A founder's last hello.
#[derive(Debug)]
struct FounderHello {
    disk: DiskId,
    promise: Option<ReplicaMembership>,
    heard: Moment,
}

/// How a replica starts as soon as its founding write is on disk.
#[derive(Debug)]
struct PendingStart {
    ticket: PersistTicket,
    member: MemberId,
    state: RecoveredState,
}

/// Effects of a founding step, which the driver carries out.
#[derive(Debug, Default)]
pub(crate) struct FoundingEffects {
    pub(crate) sends: Vec<(HostId, FoundingMessage)>,
    pub(crate) batches: Vec<PersistBatch>,
    /// The member id and state with which the replica is to start; set in the step in which its
    /// founding write completes.
    pub(crate) start: Option<(MemberId, RecoveredState)>,
}

/// Decides whether a replica with an empty disk founds a cluster or joins one.
///
/// Without this, a host whose disk was lost would restart with the settings of its first start. It
/// would vote as its former member, but without the entries that this member had acknowledged, and
/// an accepted change would be lost. An empty disk looks the same on the first day and after a
/// loss. The founders therefore found a cluster only when all of them have an empty disk and have
/// agreed, on disk, on one list of disks. A host that is not in that list joins as a learner under
/// a new id.
#[derive(Debug)]
pub(crate) struct ClusterFounding {
    identity: ReplicaIdentity,
    founders: Vec<(HostId, MemberId)>,
    disk: DiskId,
    hellos: BTreeMap<MemberId, FounderHello>,
    promise: Option<ReplicaMembership>,
    promise_write: Option<(PersistTicket, ReplicaMembership)>,
    pending_start: Option<PendingStart>,
    /// Hosts that may know of a cluster, besides the founders.
    replicas: Vec<HostId>,
    /// The host to ask for a new id, namely the leader, if it is known that the cluster exists
    /// without this disk and who leads it.
    join_host: Option<HostId>,
    next_hello: Moment,
    last_ticket: PersistTicket,
    effects: FoundingEffects,
}

impl ClusterFounding {
    pub(crate) fn new(
        mut identity: ReplicaIdentity,
        mut founders: Vec<(HostId, MemberId)>,
        recovered: &RecoveredState,
        now: Moment,
    ) -> Self {
        // The settings may name founders at the first start only. A replica that has agreed to
        // found a cluster continues with that membership after a restart.
        if let Some(promise) = recovered.promise.as_ref().filter(|_| founders.is_empty()) {
            founders = promise.members.iter().map(|m| (m.host.clone(), m.member)).collect();
            if let Some(own) = promise.find_host(&identity.host) {
                identity.member = own.member;
            }
        }
        Self {
            identity,
            founders,
            disk: recovered.disk,
            hellos: BTreeMap::new(),
            promise: recovered.promise.clone(),
            promise_write: None,
            pending_start: None,
            replicas: Vec::new(),
            join_host: None,
            next_hello: now,
            last_ticket: PersistTicket::default(),
            effects: FoundingEffects::default(),
        }
    }

    pub(crate) fn next_wakeup(&self) -> Moment {
        self.next_hello
    }

    pub(crate) fn leader(&self) -> Option<&HostId> {
        self.join_host.as_ref()
    }

    pub(crate) fn set_replicas(&mut self, replicas: &[HostId]) {
        let is_other = |host: &&HostId| {
            **host != self.identity.host && !self.founders.iter().any(|(named, _)| named == *host)
        };
        self.replicas = replicas.iter().filter(is_other).cloned().collect();
    }

    pub(crate) fn take_effects(&mut self) -> FoundingEffects {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + HELLO_INTERVAL;
        self.send_hellos();
        if let Some(leader) = self.join_host.clone() {
            let message = FoundingMessage::Join { disk: self.disk };
            self.effects.sends.push((leader, message));
        }
        self.advance(now);
    }

    pub(crate) fn receive(&mut self, now: Moment, from: &HostId, message: FoundingMessage) {
        match message {
            FoundingMessage::Hello { member, disk, promise } => {
                self.on_hello(now, from, member, disk, promise);
            }
            FoundingMessage::Founded { members, leader } => self.on_founded(&members, leader),
            FoundingMessage::Joined { member } => self.start_as_learner(member),
            FoundingMessage::Join { .. } => {}
        }
    }

    pub(crate) fn persisted(&mut self, now: Moment, ticket: PersistTicket) {
        if let Some((expected, promise)) = self.promise_write.take() {
            if expected == ticket {
                self.promise = Some(promise);
                self.send_hellos();
                self.advance(now);
            } else {
                self.promise_write = Some((expected, promise));
            }
        }
        if self.pending_start.as_ref().is_some_and(|pending_start| pending_start.ticket == ticket)
            && let Some(pending_start) = self.pending_start.take()
        {
            self.effects.start = Some((pending_start.member, pending_start.state));
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn on_hello(
        &mut self,
        now: Moment,
        from: &HostId,
        member: MemberId,
        disk: DiskId,
        promise: Option<ReplicaMembership>,
    ) {
        let is_founder = self.founders.iter().any(|(host, id)| host == from && *id == member);
        if !is_founder || member == self.identity.member {
            return;
        }
        let hello = FounderHello { disk, promise, heard: now };
        if self.hellos.insert(member, hello).is_none() {
            self.send_hellos();
        }
        self.advance(now);
    }

    fn on_founded(&mut self, members: &ReplicaMembership, leader: Option<HostId>) {
        let own = members.find_host(&self.identity.host);
        let Some(own) = own.filter(|own| own.disk == Some(self.disk)) else {
            self.join_host = leader.or(self.join_host.take());
            return;
        };
        match self.promise.clone() {
            Some(promise) if own.member == self.identity.member => self.start_as_founder(&promise),
            _ => self.start_as_learner(own.member),
        }
    }

    /// Takes the next step of founding, if this replica is a founder and the others are ready.
    fn advance(&mut self, now: Moment) {
        let is_founder = self
            .founders
            .iter()
            .any(|(host, member)| *host == self.identity.host && *member == self.identity.member);
        if !is_founder || self.join_host.is_some() {
            return;
        }
        match self.promise.clone() {
            None => self.make_promise(now),
            Some(promise) if self.all_promised(&promise) => self.start_as_founder(&promise),
            Some(_) => {}
        }
    }

    fn make_promise(&mut self, now: Moment) {
        if self.promise_write.is_some() {
            return;
        }
        let mut members = ReplicaMembership::of_voters(&self.founders);
        for member in &mut members.members {
            let Some(disk) = self.disk_of(member, now) else { return };
            member.disk = Some(disk);
        }
        let batch = PersistBatch { promise: Some(members.clone()), ..PersistBatch::default() };
        let ticket = self.write(batch);
        self.promise_write = Some((ticket, members));
    }

    fn disk_of(&self, member: &ReplicaMember, now: Moment) -> Option<DiskId> {
        if member.member == self.identity.member {
            return Some(self.disk);
        }
        let hello = self.hellos.get(&member.member)?;
        (now.since(hello.heard) <= HELLO_LIFETIME).then_some(hello.disk)
    }

    fn all_promised(&self, promise: &ReplicaMembership) -> bool {
        self.founders.iter().all(|(_, member)| {
            *member == self.identity.member
                || self
                    .hellos
                    .get(member)
                    .is_some_and(|hello| hello.promise.as_ref() == Some(promise))
        })
    }

    fn start_as_founder(&mut self, founders: &ReplicaMembership) {
        let position =
            SnapshotPosition { members: founders.clone(), ..SnapshotPosition::default() };
        let Ok(snapshot) = ReplicaMachines::default().snapshot(position) else { return };
        // Its id is written too, because the settings may no longer name it at the next start.
        let batch = PersistBatch {
            snapshot: Some(Arc::clone(&snapshot)),
            member: Some(self.identity.member),
            ..PersistBatch::default()
        };
        let state = RecoveredState { snapshot: Some(snapshot), ..RecoveredState::default() };
        self.prepare_start(self.identity.member, batch, state);
    }

    fn start_as_learner(&mut self, member: MemberId) {
        let batch = PersistBatch { member: Some(member), ..PersistBatch::default() };
        self.prepare_start(member, batch, RecoveredState::default());
    }

    fn prepare_start(&mut self, member: MemberId, batch: PersistBatch, state: RecoveredState) {
        if self.pending_start.is_some() {
            return;
        }
        let ticket = self.write(batch);
        self.pending_start = Some(PendingStart { ticket, member, state });
    }

    fn write(&mut self, mut batch: PersistBatch) -> PersistTicket {
        self.last_ticket = self.last_ticket.next();
        batch.ticket = self.last_ticket;
        self.effects.batches.push(batch);
        self.last_ticket
    }

    fn send_hellos(&mut self) {
        let hello = FoundingMessage::Hello {
            member: self.identity.member,
            disk: self.disk,
            promise: self.promise.clone(),
        };
        let founders = self.founders.iter().map(|(host, _)| host);
        for host in founders.filter(|host| **host != self.identity.host).chain(&self.replicas) {
            self.effects.sends.push((host.clone(), hello.clone()));
        }
    }
}
