//! Takes this host's own questions, and brings their answers back to who asked.

use pulley_core::Moment;
use pulley_core::version::{
    AuditRecord, ChangeAnswer, ClaimAnswer, ClaimantId, DriverInput, ReplicaAnswer,
    ReplicaQuestion, ReplicaRefusal, StoredPlan,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::control_core::ControlCore;
use super::control_handle::{ControlFault, ControlRequest, Result};

/// Who waits for the answer to a question.
#[derive(Debug)]
pub(crate) enum AnswerSlot {
    Change(oneshot::Sender<ChangeAnswer>),
    Plan(oneshot::Sender<Result<StoredPlan>>),
    Audit(oneshot::Sender<Result<Vec<AuditRecord>>>),
    Replica(oneshot::Sender<Result<serde_json::Value>>),
    Claim(oneshot::Sender<ClaimAnswer>),
    Done(oneshot::Sender<Result<()>>),
}

impl AnswerSlot {
    /// Gives the answer in the form that was asked for; who no longer waits is passed over.
    pub(crate) fn answer(self, answer: ReplicaAnswer) {
        match self {
            Self::Change(reply) => drop(reply.send(change_answer(answer))),
            Self::Plan(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Plan(plan) => Ok(plan),
                other => Err(fault_of(other)),
            })),
            Self::Audit(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Audit(records) => Ok(records),
                other => Err(fault_of(other)),
            })),
            Self::Replica(reply) => drop(
                reply.send(match answer {
                    ReplicaAnswer::Members(members) => serde_json::to_value(members)
                        .map_err(|fault| ControlFault::Refused(fault.to_string())),
                    other => Err(fault_of(other)),
                }),
            ),
            Self::Claim(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Claim(claim) => claim,
                _ => ClaimAnswer::Unavailable,
            })),
            Self::Done(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Done => Ok(()),
                other => Err(fault_of(other)),
            })),
        }
    }
}

fn change_answer(answer: ReplicaAnswer) -> ChangeAnswer {
    match answer {
        ReplicaAnswer::Change(answer) => answer,
        ReplicaAnswer::Unknown { why } => ChangeAnswer::Unknown { why },
        other => ChangeAnswer::Unknown { why: SmolStr::new(fault_of(other).to_string()) },
    }
}

fn fault_of(answer: ReplicaAnswer) -> ControlFault {
    match answer {
        ReplicaAnswer::Refused(refusal) => ControlFault::Refused(refusal.to_string()),
        ReplicaAnswer::NotLeader { .. } => ControlFault::NoQuorum("no leader is known".to_owned()),
        ReplicaAnswer::Unknown { why } => ControlFault::NoQuorum(why.to_string()),
        _ => ControlFault::NoAnswer,
    }
}

impl ControlCore {
    pub(super) fn answer_request(&mut self, now: Moment, request: ControlRequest) {
        match request {
            ControlRequest::Announce(announcement, reply) => {
                let outcome = self.registry.announce(now, announcement);
                let outcome = outcome.map(|_| ());
                let _ =
                    reply.send(outcome.map_err(|fault| ControlFault::Refused(fault.to_string())));
            }
            ControlRequest::ObservedDrain(id) => self.registry.observe_drain(now, &id),
            ControlRequest::Drain(id, reply) => {
                let outcome = self.registry.operator_drain(now, &id);
                let _ =
                    reply.send(outcome.map_err(|fault| ControlFault::Refused(fault.to_string())));
            }
            ControlRequest::Status(reply) => drop(reply.send(Ok(self.status(now)))),
            ControlRequest::ShutDown(reply) => {
                self.shutting_down = true;
                self.drive(now, DriverInput::TransferLeadership);
                let _ = reply.send(());
            }
            replicated => self.ask_leader(now, replicated),
        }
    }

    fn ask_leader(&mut self, now: Moment, request: ControlRequest) {
        let (question, slot) = match request {
            ControlRequest::Apply(change, reply) => {
                (ReplicaQuestion::Apply(*change), AnswerSlot::Change(reply))
            }
            ControlRequest::CurrentPlan(reply) => {
                (ReplicaQuestion::CurrentPlan, AnswerSlot::Plan(reply))
            }
            ControlRequest::Audit(filter, reply) => {
                (ReplicaQuestion::Audit(filter), AnswerSlot::Audit(reply))
            }
            ControlRequest::Replica(change, reply) => {
                (ReplicaQuestion::Change(change), AnswerSlot::Replica(reply))
            }
            ControlRequest::Claim(claim, reply) => {
                let key = SmolStr::new(claim.key);
                let claimant = ClaimantId(rand::random());
                let question = ReplicaQuestion::Claim { key, digest: claim.digest, claimant };
                (question, AnswerSlot::Claim(reply))
            }
            ControlRequest::Record(claim, token, answer, reply) => {
                let key = SmolStr::new(claim.key);
                (ReplicaQuestion::Record { key, token, answer }, AnswerSlot::Done(reply))
            }
            ControlRequest::Release(claim, token, reply) => {
                let key = SmolStr::new(claim.key);
                (ReplicaQuestion::Release { key, token }, AnswerSlot::Done(reply))
            }
            // Answered without the leader, before this is called.
            _ => return,
        };
        let Some((number, routed)) = self.router.ask(now, question) else {
            slot.answer(ReplicaAnswer::Refused(ReplicaRefusal::Busy));
            return;
        };
        self.answers.insert(number, slot);
        self.route(now, routed);
    }
}
