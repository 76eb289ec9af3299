//! Answers questions at the leader's driver.

use smol_str::SmolStr;

use super::{
    ChangeAnswer, ChangeRefusal, ChangeRequest, ClaimAnswer, DriverOutput, KeyDigest,
    LedgerCommand, LedgerOutcome, LogCommand, MachineOutcome, RecordedAnswer, ReplicaAnswer,
    ReplicaChange, ReplicaDriver, ReplicaQuestion, ReplicaRefusal, RequestDigest, SizeFault,
    StoredChange, Term,
};
use crate::process::{HostId, MemberId, Moment};

/// A question whose entry is not committed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingQuestion {
    pub(crate) token: u64,
    pub(crate) term: Term,
}

/// A question that waits for a quorum to confirm the leader.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRead {
    token: u64,
    question: ReplicaQuestion,
}

impl ReplicaDriver {
    pub(crate) fn ask_leader(&mut self, now: Moment, token: u64, question: ReplicaQuestion) {
        // Load: questions arrive faster than a quorum syncs them, or no quorum responds. Beyond the
        // limit they would only wait past their deadlines and fill the memory. A refusal tells the
        // asker that nothing was done. The limit is about a second of group commits.
        if self.waiting.len() + self.reads.len() >= self.settings.waiting_limit {
            self.push_answer(token, busy_answer(&question));
            return;
        }
        match question {
            ReplicaQuestion::CurrentPlan
            | ReplicaQuestion::Applied
            | ReplicaQuestion::EvacuatedZones
            | ReplicaQuestion::Audit(_) => {
                self.begin_read(now, token, question);
            }
            // Upstreams repeat their departure until they are gone, and one log entry is enough.
            ReplicaQuestion::Departure { ref start, .. }
                if self.machines.departures.has_left(start) =>
            {
                self.begin_read(now, token, question);
            }
            ReplicaQuestion::Departure { start, .. } => {
                self.append(now, token, LogCommand::Departure(start));
            }
            ReplicaQuestion::OrderZone(order) => {
                self.append(now, token, LogCommand::Zone(Box::new(order)));
            }
            ReplicaQuestion::Apply(request) => self.append_change(now, token, request),
            ReplicaQuestion::Claim { key, digest, claimant } => {
                let limits = self.settings.ledger;
                let key = KeyDigest::of(&key);
                let request = RequestDigest::of(&digest);
                let claim = LedgerCommand::Claim { key, request, claimant, limits };
                self.append_ledger(now, token, claim);
            }
            ReplicaQuestion::Record { key, token: claim, answer } => {
                let key = KeyDigest::of(&key);
                let answer = answer.map(|answer| self.without_large_body(answer));
                let budget = self.settings.ledger.answer_budget;
                let command = LedgerCommand::Record { key, token: claim, answer, budget };
                self.append_ledger(now, token, command);
            }
            ReplicaQuestion::Release { key, token: claim } => {
                let key = KeyDigest::of(&key);
                self.append_ledger(now, token, LedgerCommand::Release { key, token: claim });
            }
            ReplicaQuestion::Change(change) => self.change_members(now, token, &change),
        }
    }

    pub(crate) fn finish_read(&mut self, read: u64) {
        let Some(waiting) = self.reads.remove(&read) else { return };
        let answer = match &waiting.question {
            ReplicaQuestion::Audit(filter) => {
                self.answer_audit(waiting.token, filter);
                return;
            }
            ReplicaQuestion::Departure { .. } => ReplicaAnswer::Done,
            ReplicaQuestion::Applied => ReplicaAnswer::Applied(self.node.applied_index()),
            ReplicaQuestion::EvacuatedZones => {
                ReplicaAnswer::Zones((**self.machines.evacuations.evacuated()).clone())
            }
            _ => ReplicaAnswer::Sheet(self.machines.configuration.sheet()),
        };
        self.push_answer(waiting.token, answer);
    }

    pub(crate) fn fail_read(&mut self, read: u64) {
        let Some(waiting) = self.reads.remove(&read) else { return };
        let leader = self.leader();
        self.push_answer(waiting.token, ReplicaAnswer::NotLeader { leader });
    }

    /// Answers all waiting questions as unknown, because the next leader decides their outcome.
    pub(crate) fn abandon_waiting(&mut self) {
        let why = SmolStr::new_static("this replica no longer leads");
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            self.push_answer(waiting.token, ReplicaAnswer::Unknown { why: why.clone() });
        }
    }

    fn begin_read(&mut self, now: Moment, token: u64, question: ReplicaQuestion) {
        self.next_read += 1;
        self.reads.insert(self.next_read, WaitingRead { token, question });
        self.node.read(now, self.next_read);
    }

    fn append_change(&mut self, now: Moment, token: u64, request: ChangeRequest) {
        if let Err(fault) = SizeFault::check(&request) {
            let refusal = ChangeRefusal::TooLarge { fault: fault.to_string() };
            self.push_answer(token, ReplicaAnswer::Change(ChangeAnswer::Refused(refusal)));
            return;
        }
        let current = self.machines.configuration.current();
        let change = match self.node.holds_unapplied_change() {
            false => StoredChange::new(request, current),
            true => StoredChange::new_after_pending(request, current),
        };
        self.append(now, token, LogCommand::Change(Box::new(change)));
    }

    fn append_ledger(&mut self, now: Moment, token: u64, command: LedgerCommand) {
        self.append(now, token, LogCommand::Ledger(command));
    }

    fn append(&mut self, now: Moment, token: u64, command: LogCommand) {
        let term = self.node.term();
        match self.node.propose(now, vec![command]) {
            Some(index) => {
                self.waiting.insert(index, WaitingQuestion { token, term });
            }
            None => self.push_answer(token, ReplicaAnswer::NotLeader { leader: None }),
        }
    }

    fn change_members(&mut self, now: Moment, token: u64, change: &ReplicaChange) {
        let planned = match change {
            ReplicaChange::Add(host) => self.plan_addition(now, host),
            ReplicaChange::Remove(member) => self.plan_removal(now, *member),
        };
        let term = self.node.term();
        let proposed = planned.and_then(|command| self.node.propose_members(now, command));
        match proposed {
            Ok(Some(index)) => {
                self.waiting.insert(index, WaitingQuestion { token, term });
            }
            Ok(None) => self.push_answer(token, ReplicaAnswer::NotLeader { leader: None }),
            Err(refusal) => self.push_answer(token, ReplicaAnswer::Refused(refusal)),
        }
    }

    fn plan_addition(&self, now: Moment, host: &HostId) -> Result<LogCommand, ReplicaRefusal> {
        let members = self.node.members();
        if members.find_host(host).is_some() {
            return Err(ReplicaRefusal::AlreadyMember(host.clone()));
        }
        let (next, member) = members.with_learner(host, None);
        self.members_command(now, next, format!("learner {member} {host}"))
            .ok_or(ReplicaRefusal::ChangeUnderWay)
    }

    fn plan_removal(&self, now: Moment, member: MemberId) -> Result<LogCommand, ReplicaRefusal> {
        let members = self.node.members();
        let Some(leaving) = members.find(member) else {
            return Err(ReplicaRefusal::NoSuchMember(member));
        };
        if leaving.voter && members.voters().count() == 1 {
            return Err(ReplicaRefusal::LastVoter);
        }
        let description = format!("removed {member} {}", leaving.host);
        self.members_command(now, members.without(member), description)
            .ok_or(ReplicaRefusal::ChangeUnderWay)
    }

    fn without_large_body(&self, mut answer: RecordedAnswer) -> RecordedAnswer {
        let limit = self.settings.ledger.answer_limit as usize;
        if answer.body.as_ref().is_some_and(|body| body.len() > limit) {
            answer.body = None;
        }
        answer
    }

    pub(crate) fn push_answer(&mut self, token: u64, answer: ReplicaAnswer) {
        self.outputs.push(DriverOutput::Answer { token, answer });
    }
}

fn busy_answer(question: &ReplicaQuestion) -> ReplicaAnswer {
    match question {
        ReplicaQuestion::Claim { .. } => ReplicaAnswer::Claim(ClaimAnswer::Unavailable),
        _ => ReplicaAnswer::Refused(ReplicaRefusal::Busy),
    }
}

/// Converts the outcome of an applied entry into the answer to its question.
pub(crate) fn answer_for(outcome: MachineOutcome) -> ReplicaAnswer {
    match outcome {
        MachineOutcome::Nothing | MachineOutcome::Ledger(LedgerOutcome::Done) => {
            ReplicaAnswer::Done
        }
        MachineOutcome::Change(answer) => ReplicaAnswer::Change(answer),
        MachineOutcome::Ledger(LedgerOutcome::Claim(answer)) => ReplicaAnswer::Claim(answer),
        MachineOutcome::Ledger(LedgerOutcome::StaleToken) => {
            ReplicaAnswer::Refused(ReplicaRefusal::StaleToken)
        }
        MachineOutcome::Members(members) => ReplicaAnswer::Members(members),
        MachineOutcome::Zone(answer) => ReplicaAnswer::Zone(answer),
    }
}
