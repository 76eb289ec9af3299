//! Connects the control thread to the replicated log: drives this host's replica, if it has one,
//! and routes questions to the replica that leads.

use std::time::Duration;

use pulley_core::version::{
    DriverInput, DriverOutput, LogCommand, LogIndex, QuestionNumber, ReplicaAnswer, ReplicaDriver,
    ReplicaQuestion, ReplicaSet, RouterOutput,
};
use pulley_core::{ConfigVersion, Moment};

use super::control_answer::AnswerSlot;
use super::control_core::{ControlCore, ControlOutput};
use crate::connection::FrameClass;

/// The interval at which a leader confirms its leadership with a quorum and renews the
/// configuration lease. The shortest lease covers several intervals, so that two lost rounds do no
/// harm.
const LEASE_ROUND: Duration = Duration::from_millis(500);

/// The first token of the core's own questions. Lower tokens are the router's question numbers.
pub(super) const LEASE_TOKENS: u64 = 1 << 63;

impl ControlCore {
    pub(super) fn drive(&mut self, now: Moment, input: DriverInput) {
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
                DriverOutput::Answer { token, answer } => self.driver_answered(now, token, answer),
                DriverOutput::InForce(plan) => self.follower.committed(&plan),
                DriverOutput::ZonesInForce(zones) => self.follower.committed_zones(&zones),
            }
        }
        self.recall_upstreams(now);
    }

    fn driver_answered(&mut self, now: Moment, token: u64, answer: ReplicaAnswer) {
        if token >= LEASE_TOKENS {
            self.lease_confirmed(token, &answer);
            return;
        }
        let routed = self.router.local_answer(now, QuestionNumber(token), answer);
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
                    let Some(slot) = self.answers.remove(&number) else { continue };
                    match (&slot, &answer) {
                        (AnswerSlot::Departure(start, _), ReplicaAnswer::Done) => {
                            self.note_departed(start.clone());
                        }
                        (AnswerSlot::Applied, answer) => self.note_applied(now, answer),
                        _ => {}
                    }
                    slot.answer(answer);
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
            self.drive(now, DriverInput::Ask { token: number.0, question });
            return;
        }
        let answer = ReplicaAnswer::NotLeader { leader: None };
        let routed = self.router.local_answer(now, number, answer);
        self.route(now, routed);
    }

    /// Starts a round that renews the configuration lease, if this host leads and a round is due.
    ///
    /// A quorum read proves that this host leads and that its version is the latest. The lease
    /// starts when the read began, because the read proves nothing about later times.
    pub(super) fn renew_lease(&mut self, now: Moment) {
        // After a restart of all hosts, every host waits for the first lease of the new leader.
        let leads = self.replica.as_ref().is_some_and(|replica| replica.node().is_leader());
        let led = std::mem::replace(&mut self.led, leads);
        let has_won = leads && !led;
        if now < self.next_lease_round && !has_won {
            return;
        }
        self.next_lease_round = now + LEASE_ROUND;
        self.report_log();
        let Some(replica) = &self.replica else { return };
        if !replica.node().is_leader() {
            self.lease_round = None;
            return;
        }
        self.next_lease_token += 1;
        self.lease_round = Some((self.next_lease_token, now));
        let question = ReplicaQuestion::Applied;
        self.drive(now, DriverInput::Ask { token: self.next_lease_token, question });
    }

    fn lease_confirmed(&mut self, token: u64, answer: &ReplicaAnswer) {
        let Some((expected, began)) = self.lease_round else { return };
        if token != expected || !matches!(answer, ReplicaAnswer::Applied(_)) {
            return;
        }
        self.lease_round = None;
        let Some(replica) = &self.replica else { return };
        let term = replica.node().term().0;
        let machines = replica.machines();
        self.follower.committed(machines.configuration.current());
        self.follower.committed_zones(machines.evacuations.evacuated());
        let set = replica_set(replica);
        self.follower.lead(term, set, began);
    }

    /// Reports this host's uncommitted log entries to the follower. Hosts without a lease must know
    /// of them, because they may or may not have been accepted.
    fn report_log(&mut self) {
        let Some(replica) = &self.replica else { return };
        let (last_version, last_order) = last_entries(replica);
        self.follower.set_replica(replica_set(replica), last_version, last_order);
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
fn last_entries(replica: &ReplicaDriver) -> (ConfigVersion, LogIndex) {
    let (node, machines) = (replica.node(), replica.machines());
    let mut version = machines.configuration.version();
    let mut order = machines.evacuations.evacuated().revision;
    let mut index = node.taken_index().next();
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
