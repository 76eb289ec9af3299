//! Handles the requests of this host's traffic side and operators, and returns their answers.

use pulley_core::process::{Announcement, FastSet, Incarnation, RelayHost, UpstreamStart};
use pulley_core::version::{
    AuditRecord, ChangeAnswer, ChangeRefusal, ClaimAnswer, ClaimantId, DriverInput, EvacuatedZones,
    ReplicaAnswer, ReplicaQuestion, ReplicaRefusal, SheetView, SizeFault, ZoneAnswer,
};
use pulley_core::{Moment, UpstreamId};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::control_core::ControlCore;
use super::control_handle::{ControlFault, ControlRequest, Result};
use super::{ContentFilter, ContentStatus};

/// The maximum number of confirmed departures remembered. A day has a few thousand at the planned
/// size.
const MAX_CONFIRMED_DEPARTURES: usize = 4_096;

/// The receiver of the answer to a question that was put to the leader.
#[derive(Debug)]
pub(crate) enum PendingAnswer {
    Change(oneshot::Sender<ChangeAnswer>),
    Sheet(oneshot::Sender<Result<SheetView>>),
    Audit(oneshot::Sender<Result<Vec<AuditRecord>>>),
    Replica(oneshot::Sender<Result<serde_json::Value>>),
    Zone(oneshot::Sender<Result<ZoneAnswer>>),
    Zones(oneshot::Sender<Result<EvacuatedZones>>),
    Claim(oneshot::Sender<ClaimAnswer>),
    Done(oneshot::Sender<Result<()>>),
    /// The departure of an upstream, with the incarnation that leaves.
    Departure(UpstreamStart, oneshot::Sender<Result<()>>),
    /// The control core itself. See [`ControlCore::handle_applied_answer`].
    Applied,
    /// Nobody.
    Unawaited,
}

impl PendingAnswer {
    /// Converts the answer to the requested form and sends it. A receiver that no longer waits is
    /// ignored.
    pub(crate) fn answer(self, answer: ReplicaAnswer) {
        match self {
            Self::Change(reply) => drop(reply.send(change_answer(answer))),
            Self::Sheet(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Sheet(sheet) => Ok(sheet),
                other => Err(fault_from_answer(other)),
            })),
            Self::Audit(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Audit(records) => Ok(records),
                other => Err(fault_from_answer(other)),
            })),
            Self::Replica(reply) => drop(
                reply.send(match answer {
                    ReplicaAnswer::Members(members) => serde_json::to_value(members)
                        .map_err(|fault| ControlFault::Refused(fault.to_string())),
                    other => Err(fault_from_answer(other)),
                }),
            ),
            Self::Zone(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Zone(answer) => Ok(answer),
                // The leader may still accept the order.
                ReplicaAnswer::Unknown { .. } => Err(ControlFault::NoAnswer),
                other => Err(fault_from_answer(other)),
            })),
            Self::Zones(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Zones(zones) => Ok(zones),
                other => Err(fault_from_answer(other)),
            })),
            Self::Claim(reply) => drop(reply.send(match answer {
                ReplicaAnswer::Claim(claim) => claim,
                _ => ClaimAnswer::Unavailable,
            })),
            Self::Applied | Self::Unawaited => {}
            Self::Done(reply) | Self::Departure(_, reply) => drop(reply.send(match answer {
                ReplicaAnswer::Done => Ok(()),
                other => Err(fault_from_answer(other)),
            })),
        }
    }
}

fn change_answer(answer: ReplicaAnswer) -> ChangeAnswer {
    match answer {
        ReplicaAnswer::Change(answer) => answer,
        ReplicaAnswer::Unknown { why } => ChangeAnswer::Unknown { why },
        other => ChangeAnswer::Unknown { why: SmolStr::new(fault_from_answer(other).to_string()) },
    }
}

fn fault_from_answer(answer: ReplicaAnswer) -> ControlFault {
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
                self.handle_announcement(now, announcement, reply);
            }
            ControlRequest::UpstreamLeft(id, incarnation, reply) => {
                if self.registry.announce_departure(now, &id, incarnation) {
                    self.confirm_departure(now, &id, incarnation, reply);
                } else {
                    let fault = format!("no upstream {id} is known here");
                    let _ = reply.send(Err(ControlFault::NoQuorum(fault)));
                }
            }
            ControlRequest::Seeds(seeds) => {
                seeds.into_iter().for_each(|seed| self.members.add_seed(seed));
            }
            ControlRequest::ObservedDrain(start) => self.handle_observed_drain(now, &start),
            ControlRequest::ObservedLimit(observed) => {
                self.limits.observe(now, self.registry.shared_time(now), observed);
                self.flush_limits(now);
            }
            ControlRequest::AskPermits(asks) => {
                asks.iter().for_each(|ask| self.limits.ask(now, ask));
                self.flush_limits(now);
            }
            ControlRequest::AskQuotas(asks) => {
                self.quotas.ask(now, asks);
                self.flush_quotas(now);
            }
            request @ (ControlRequest::ReportContent(..)
            | ControlRequest::EndTrial(..)
            | ControlRequest::AskTrial(_)
            | ControlRequest::Contents(_)
            | ControlRequest::ClearContents(..)) => self.answer_content_request(now, request),
            ControlRequest::RelayHosts(round, reply) => {
                let hosts = RelayHost::list(self.members.own(), self.members.live(), round);
                let _ = reply.send(hosts);
            }
            ControlRequest::Drain(id, reply) => {
                let outcome = self.registry.operator_drain(now, &id);
                let _ =
                    reply.send(outcome.map_err(|fault| ControlFault::Refused(fault.to_string())));
            }
            ControlRequest::Status(reply) => drop(reply.send(Ok(self.status(now)))),
            ControlRequest::ShutDown(reply) => {
                self.shutting_down = true;
                self.drive_replica(now, DriverInput::TransferLeadership);
                let _ = reply.send(());
            }
            replicated => self.ask_leader(now, replicated),
        }
    }

    /// Handles a request about contents that end upstreams.
    fn answer_content_request(&mut self, now: Moment, request: ControlRequest) {
        match request {
            ControlRequest::ReportContent(report, reply) => {
                self.quarantine.report(now, self.registry.shared_time(now), report);
                self.flush_quarantine(now);
                let _ = reply.map(|reply| reply.send(()));
            }
            ControlRequest::EndTrial(digest, number) => {
                self.quarantine.end_trial(digest, number);
                self.flush_quarantine(now);
            }
            ControlRequest::AskTrial(ask) => {
                self.quarantine.ask(now, self.registry.shared_time(now), ask);
                self.flush_quarantine(now);
            }
            ControlRequest::Contents(reply) => {
                let _ = reply.send(self.contents(now));
            }
            ControlRequest::ClearContents(filter, reply) => {
                let _ = reply.send(self.clear_contents(now, &filter));
            }
            _ => {}
        }
    }

    fn contents(&self, now: Moment) -> Vec<ContentStatus> {
        let time = self.registry.shared_time(now);
        let suspects = self.quarantine.suspects();
        suspects.flat_map(|record| ContentStatus::describe(time, record)).collect()
    }

    /// Ends the suspicion of contents on all hosts. Returns their number.
    fn clear_contents(&mut self, now: Moment, filter: &ContentFilter) -> usize {
        let time = self.registry.shared_time(now);
        let keys = self.quarantine.suspects().flat_map(|record| filter.select(record));
        let cleared: Vec<_> = keys.collect();
        cleared.iter().for_each(|key| self.quarantine.clear(time, key));
        self.flush_quarantine(now);
        cleared.iter().map(|key| key.digest).collect::<FastSet<_>>().len()
    }

    fn handle_announcement(
        &mut self,
        now: Moment,
        announcement: Announcement,
        reply: oneshot::Sender<Result<()>>,
    ) {
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let is_leaving = !announcement.phase.takes_work();
        let start = UpstreamStart { id, incarnation };
        if !is_leaving && self.has_left(&start) {
            // The announcement was delayed. A host that has restarted since, and does not know this
            // incarnation, would accept it and send requests to an upstream that is gone.
            let _ = reply.send(Ok(()));
            return;
        }
        match self.registry.announce(now, announcement) {
            Err(fault) => drop(reply.send(Err(ControlFault::Refused(fault.to_string())))),
            Ok(_) if is_leaving => self.confirm_departure(now, &start.id, Some(incarnation), reply),
            Ok(_) => drop(reply.send(Ok(()))),
        }
    }

    /// Handles the departure that an upstream has told in an answer as one that it announces, except
    /// that nobody waits for the acknowledgement.
    fn handle_observed_drain(&mut self, now: Moment, start: &UpstreamStart) {
        if !self.registry.observe_drain(now, start) {
            return;
        }
        if let Some((start, record)) = self.registry.departure(&start.id) {
            let question = ReplicaQuestion::Departure { start, record };
            self.ask(now, question, PendingAnswer::Unawaited);
        }
    }

    /// Acknowledges a departure only once a quorum knows of it.
    ///
    /// An upstream stops soon after its departure is acknowledged. If a host that is cut off from
    /// the others acknowledged it, no other host would know, and they would keep sending requests
    /// to an upstream that is gone. Such a host gives no answer, and the upstream tries another
    /// host.
    fn confirm_departure(
        &mut self,
        now: Moment,
        id: &UpstreamId,
        incarnation: Option<Incarnation>,
        reply: oneshot::Sender<Result<()>>,
    ) {
        let leaving_start =
            incarnation.map(|incarnation| UpstreamStart { id: id.clone(), incarnation });
        if leaving_start.as_ref().is_some_and(|start| self.confirmed_departures.contains(start)) {
            let _ = reply.send(Ok(()));
            return;
        }
        let Some((start, record)) = self.registry.departure(id) else {
            // The message is a delayed one, from an earlier incarnation or from one that has
            // resumed since.
            let _ = reply.send(Err(ControlFault::Refused(format!("{id} is not leaving"))));
            return;
        };
        let question = ReplicaQuestion::Departure { start: start.clone(), record };
        self.ask(now, question, PendingAnswer::Departure(start, reply));
    }

    /// Remembers a confirmed departure, because upstreams keep announcing it until they stop.
    pub(super) fn record_departure(&mut self, start: UpstreamStart) {
        if self.confirmed_departures.len() >= MAX_CONFIRMED_DEPARTURES {
            self.confirmed_departures.clear();
        }
        self.confirmed_departures.insert(start);
    }

    fn ask_leader(&mut self, now: Moment, request: ControlRequest) {
        let (question, pending) = match request {
            ControlRequest::Apply(change, reply) => {
                if let Err(fault) = SizeFault::check(&change) {
                    let refusal = ChangeRefusal::TooLarge { fault: fault.to_string() };
                    let _ = reply.send(ChangeAnswer::Refused(refusal));
                    return;
                }
                (ReplicaQuestion::Apply(*change), PendingAnswer::Change(reply))
            }
            ControlRequest::CurrentPlan(reply) => {
                (ReplicaQuestion::CurrentPlan, PendingAnswer::Sheet(reply))
            }
            ControlRequest::Audit(filter, reply) => {
                (ReplicaQuestion::Audit(filter), PendingAnswer::Audit(reply))
            }
            ControlRequest::Replica(change, reply) => {
                (ReplicaQuestion::Change(change), PendingAnswer::Replica(reply))
            }
            ControlRequest::OrderZone(mut order, reply) => {
                order.based_on = self.follower.evacuated().revision;
                (ReplicaQuestion::OrderZone(*order), PendingAnswer::Zone(reply))
            }
            ControlRequest::EvacuatedZones(reply) => {
                (ReplicaQuestion::EvacuatedZones, PendingAnswer::Zones(reply))
            }
            ControlRequest::Claim(claim, reply) => {
                let key = SmolStr::new(claim.key);
                let claimant = ClaimantId(rand::random());
                let question = ReplicaQuestion::Claim { key, digest: claim.digest, claimant };
                (question, PendingAnswer::Claim(reply))
            }
            ControlRequest::Record(claim, token, answer, reply) => {
                let key = SmolStr::new(claim.key);
                (ReplicaQuestion::Record { key, token, answer }, PendingAnswer::Done(reply))
            }
            ControlRequest::Release(claim, token, reply) => {
                let key = SmolStr::new(claim.key);
                (ReplicaQuestion::Release { key, token }, PendingAnswer::Done(reply))
            }
            // `answer_request` handles the other requests without the leader.
            _ => return,
        };
        self.ask(now, question, pending);
    }

    /// Sends a question to the leader. Returns whether it was sent; if not, it was answered as
    /// refused.
    pub(super) fn ask(
        &mut self,
        now: Moment,
        question: ReplicaQuestion,
        pending: PendingAnswer,
    ) -> bool {
        let Some((number, routed)) = self.router.ask(now, question) else {
            pending.answer(ReplicaAnswer::Refused(ReplicaRefusal::Busy));
            return false;
        };
        self.pending_answers.insert(number, pending);
        self.route(now, routed);
        true
    }
}
