//! Connects the control thread to the replicated log: drives this host's replica, if it has one,
//! and routes questions to the replica that leads.

use std::time::Duration;

use pulley_core::version::{
    DriverInput, DriverOutput, LogCommand, LogIndex, QuestionNumber, ReplicaAnswer, ReplicaDriver,
    ReplicaQuestion, ReplicaSet, RouterOutput,
};
use pulley_core::{ConfigVersion, Moment};

use super::control_answer::PendingAnswer;
use super::control_core::{ControlCore, ControlOutput};
use crate::connection::FrameClass;

/// The interval at which a leader confirms its leadership with a quorum and renews the
/// configuration lease. The shortest lease covers several intervals, so that two lost rounds do no
/// harm.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The first token of the core's own questions. Lower tokens are the router's question numbers.
pub(super) const FIRST_LEASE_TOKEN: u64 = 1 << 63;

impl ControlCore {
    pub(super) fn drive_replica(&mut self, now: Moment, input: DriverInput) {
        let Some(replica) = &mut self.replica else { return };
        let outputs = replica.handle(now, input);
        for output in outputs {
            match output {
                DriverOutput::Send { to, body } => {
                    self.outputs.push(ControlOutput::Link {
                        to,
                        class: FrameClass::Replication,
                        body,
                    });
                }
                DriverOutput::Persist { batch, .. } => {
                    self.outputs.push(ControlOutput::Persist(batch));
                }
                DriverOutput::ReadAudit(read) => self.outputs.push(ControlOutput::ReadAudit(read)),
                DriverOutput::Answer { token, answer } => self.handle_answer(now, token, answer),
                DriverOutput::InForce(plan) => self.follower.apply_committed_plan(&plan),
                DriverOutput::ZonesInForce(zones) => self.follower.apply_committed_zones(&zones),
            }
        }
        self.recall_upstreams(now);
    }

    fn handle_answer(&mut self, now: Moment, token: u64, answer: ReplicaAnswer) {
        if token >= FIRST_LEASE_TOKEN {
            self.handle_lease_answer(token, &answer);
            return;
        }
        let routed = self.router.handle_local_answer(now, QuestionNumber(token), answer);
        self.route(now, routed);
    }

    pub(super) fn route(&mut self, now: Moment, routed: Vec<RouterOutput>) {
        for output in routed {
            match output {
                RouterOutput::AskLocal { number, question } => {
                    self.ask_local(now, number, question);
                }
                RouterOutput::Send { to, body } => {
                    self.outputs.push(ControlOutput::Link {
                        to,
                        class: FrameClass::Operator,
                        body,
                    });
                }
                RouterOutput::Answer { number, answer } => {
                    let Some(pending) = self.pending_answers.remove(&number) else { continue };
                    match (&pending, &answer) {
                        (PendingAnswer::Departure(start, _), ReplicaAnswer::Done) => {
                            self.record_departure(start.clone());
                        }
                        (PendingAnswer::Applied, answer) => self.handle_applied_answer(now, answer),
                        _ => {}
                    }
                    pending.answer(answer);
                }
            }
        }
    }

    fn ask_local(&mut self, now: Moment, number: QuestionNumber, question: ReplicaQuestion) {
        if let ReplicaQuestion::Departure { record, .. } = &question {
            // Every host that is asked announces the departure to all hosts, so that its spread
            // does not depend on one host staying alive.
            self.registry.take_departure(now, record);
        }
        if self.replica.is_some() {
            self.drive_replica(now, DriverInput::Ask { token: number.0, question });
            return;
        }
        let answer = ReplicaAnswer::NotLeader { leader: None };
        let routed = self.router.handle_local_answer(now, number, answer);
        self.route(now, routed);
    }

    /// Starts a round that renews the configuration lease, if this host leads and a round is due.
    ///
    /// A quorum read proves that this host leads and that its version is the latest. The lease
    /// starts when the read began, because the read proves nothing about later times.
    pub(super) fn renew_lease(&mut self, now: Moment) {
        // After a restart of all hosts, every host waits for the first lease of the new leader.
        let is_leader = self.replica.as_ref().is_some_and(|replica| replica.node().is_leader());
        let was_leader = std::mem::replace(&mut self.was_leader, is_leader);
        let became_leader = is_leader && !was_leader;
        if now < self.next_lease_round && !became_leader {
            return;
        }
        self.next_lease_round = now + LEASE_RENEWAL_INTERVAL;
        self.report_uncommitted();
        let Some(replica) = &self.replica else { return };
        if !replica.node().is_leader() {
            self.lease_round = None;
            return;
        }
        self.next_lease_token += 1;
        self.lease_round = Some((self.next_lease_token, now));
        let question = ReplicaQuestion::Applied;
        self.drive_replica(now, DriverInput::Ask { token: self.next_lease_token, question });
    }

    fn handle_lease_answer(&mut self, token: u64, answer: &ReplicaAnswer) {
        let Some((expected, began)) = self.lease_round else { return };
        if token != expected || !matches!(answer, ReplicaAnswer::Applied(_)) {
            return;
        }
        self.lease_round = None;
        let Some(replica) = &self.replica else { return };
        let term = replica.node().term().0;
        let machines = replica.machines();
        self.follower.apply_committed_plan(machines.configuration.current());
        self.follower.apply_committed_zones(machines.evacuations.evacuated());
        let set = replica_set(replica);
        self.follower.issue_lease(term, set, began);
    }

    /// Reports this host's uncommitted log entries to its plan follower. Hosts without a lease must
    /// know of them, because they may or may not have been accepted.
    fn report_uncommitted(&mut self) {
        let Some(replica) = &self.replica else { return };
        let (last_version, last_order) = latest_in_log(replica);
        self.follower.set_log_report(replica_set(replica), last_version, last_order);
    }
}

fn replica_set(replica: &ReplicaDriver) -> ReplicaSet {
    let members = replica.node().members();
    ReplicaSet {
        index: replica.node().members_index().0,
        hosts: members.members.iter().filter(|m| m.voter).map(|m| m.host.clone()).collect(),
    }
}

/// Returns the latest version and the latest zone order in this log, committed or not.
fn latest_in_log(replica: &ReplicaDriver) -> (ConfigVersion, LogIndex) {
    let (node, machines) = (replica.node(), replica.machines());
    let mut version = machines.configuration.version();
    let mut order = machines.evacuations.evacuated().revision;
    let mut index = node.applied_index().next();
    while let Some(entry) = node.entry(index) {
        match &entry.command {
            LogCommand::Change(change) => version = version.max(change.version()),
            LogCommand::Zone(_) => order = index,
            _ => {}
        }
        index = index.next();
    }
    (version, order)
}
