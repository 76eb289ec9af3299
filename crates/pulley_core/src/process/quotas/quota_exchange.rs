//! Carries reports and verdicts between this host's requests and the replicas' accounts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::account_ranking::account_keeper;
use super::quota_account::{LIMITED_SPAN, millis};
use super::quota_ledger::{QuotaLedger, REMINDER_INTERVAL};
use super::quota_message::QuotaMessage;
use super::{FastMap, HostId, Moment, OrganisationName, QuotaReport, QuotaVerdict};
use crate::version::PolicyPlan;

/// The least interval between two messages of an entry to the same replica. A busy entry's reports
/// go together.
const SEND_INTERVAL: Duration = Duration::from_millis(10);

/// An action for the caller of [`QuotaExchange`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaOutput {
    /// Send a message to a host.
    ToHost {
        /// The receiver.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Send a message to every live entry.
    ToEntries {
        /// The encoded message.
        body: Bytes,
    },
    /// Give this host's requests a verdict.
    Verdict(QuotaVerdict),
    /// Tell this host's requests which organisations need permits, and for how long.
    Limited(Vec<OrganisationName>, Duration),
}

/// One host's part in keeping to the quotas of organisations.
#[derive(Clone, Debug)]
pub struct QuotaExchange {
    host: HostId,
    replicas: Vec<HostId>,
    ledger: QuotaLedger,
    /// Reports that wait to be sent, by the replica that keeps the account.
    waiting: FastMap<HostId, Vec<QuotaReport>>,
    next_send: Moment,
    next_reminder: Moment,
    outputs: Vec<QuotaOutput>,
}

impl QuotaExchange {
    /// Creates the part of a host that has just started. `tolerance` is the number of requests
    /// beyond an organisation's burst that its account lets pass.
    #[must_use]
    pub fn new(host: HostId, tolerance: f32) -> Self {
        Self {
            host,
            replicas: Vec::new(),
            ledger: QuotaLedger::new(tolerance),
            waiting: FastMap::default(),
            next_send: Moment::ZERO,
            next_reminder: Moment::ZERO,
            outputs: Vec::new(),
        }
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if nothing is due before an
    /// input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let send_at = (!self.waiting.is_empty()).then_some(self.next_send);
        let reminder_at = (!self.ledger.is_empty()).then_some(self.next_reminder);
        send_at.into_iter().chain(reminder_at).min()
    }

    /// Sets the live replicas.
    pub fn set_replicas(&mut self, now: Moment, replicas: &[HostId]) {
        if self.replicas != replicas {
            self.replicas = replicas.to_vec();
            let is_kept = |name: &_| account_keeper(replicas, name) == Some(&self.host);
            self.ledger.reassign(now, is_kept);
        }
    }

    /// Sets the plan in force on this host.
    pub fn set_plan(&mut self, now: Moment, plan: &Arc<PolicyPlan>) {
        self.ledger.set_plan(now, plan);
    }

    /// Takes reports of this host's requests. They are lost if no replica is known.
    pub fn report(&mut self, now: Moment, reports: Vec<QuotaReport>) {
        let mut own = Vec::new();
        for report in reports {
            match account_keeper(&self.replicas, &report.organisation) {
                Some(keeper) if *keeper == self.host => own.push(report),
                Some(keeper) => match self.waiting.get_mut(keeper) {
                    Some(waiting) => waiting.push(report),
                    None => drop(self.waiting.insert(keeper.clone(), vec![report])),
                },
                None => {}
            }
        }
        if !own.is_empty() {
            let verdicts = self.answer(now, &self.host.clone(), &own);
            self.outputs.extend(verdicts.into_iter().map(QuotaOutput::Verdict));
        }
        self.send_waiting(now);
    }

    /// Handles a message of another host. A message that cannot be decoded is dropped, and so are
    /// reports on accounts that this host doesn't keep, as far as it knows.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) {
        match QuotaMessage::unpack(body) {
            Some(QuotaMessage::Reports(mut reports)) => {
                let is_own = |report: &QuotaReport| {
                    account_keeper(&self.replicas, &report.organisation) == Some(&self.host)
                };
                reports.retain(is_own);
                let verdicts = self.answer(now, from, &reports);
                for body in QuotaMessage::pack_all(&verdicts, QuotaMessage::Verdicts) {
                    self.outputs.push(QuotaOutput::ToHost { to: from.clone(), body });
                }
            }
            Some(QuotaMessage::Verdicts(verdicts)) => {
                self.outputs.extend(verdicts.into_iter().map(QuotaOutput::Verdict));
            }
            Some(QuotaMessage::Limited { organisations, limited_ms }) => {
                let span = Duration::from_millis(u64::from(limited_ms));
                self.outputs.push(QuotaOutput::Limited(organisations, span));
            }
            None => {}
        }
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: Moment) {
        self.send_waiting(now);
        if !self.ledger.is_empty() && now >= self.next_reminder {
            self.next_reminder = now + REMINDER_INTERVAL;
            let limited = self.ledger.limited(now);
            self.tell_limited(&limited);
        }
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<QuotaOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn answer(&mut self, now: Moment, from: &HostId, reports: &[QuotaReport]) -> Vec<QuotaVerdict> {
        let (verdicts, limited) = self.ledger.answer(now, from, reports);
        self.tell_limited(&limited);
        verdicts
    }

    fn tell_limited(&mut self, organisations: &[OrganisationName]) {
        let limited_ms = millis(LIMITED_SPAN);
        let message = |organisations| QuotaMessage::Limited { organisations, limited_ms };
        for body in QuotaMessage::pack_all(organisations, message) {
            self.outputs.push(QuotaOutput::ToEntries { body });
        }
        if !organisations.is_empty() {
            self.outputs.push(QuotaOutput::Limited(organisations.to_vec(), LIMITED_SPAN));
        }
    }

    fn send_waiting(&mut self, now: Moment) {
        if self.waiting.is_empty() || now < self.next_send {
            return;
        }
        self.next_send = now + SEND_INTERVAL;
        for (to, reports) in std::mem::take(&mut self.waiting) {
            for body in QuotaMessage::pack_all(&reports, QuotaMessage::Reports) {
                self.outputs.push(QuotaOutput::ToHost { to: to.clone(), body });
            }
        }
    }
}
