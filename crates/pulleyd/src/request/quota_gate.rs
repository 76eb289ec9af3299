//! Admits organisations' requests by their quotas.

use std::pin::pin;

use futures::future::select;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::RefusalCause;
use pulley_core::process::{OrganisationName, QuotaCounts, QuotaTerms, QuotaVerdict};
use pulley_core::request::{
    PermitOutlook, PermitRequest, QuotaDecision, QuotaScope, QuotaTable, RequestUrgency,
    return_time,
};
use pulley_core::version::RequestQuota;
use tokio::sync::Notify;

use super::SystemAnswer;
use crate::process::{ControlHandle, ControlRequest, ProcessClock, TimerService};

/// Admits organisations' requests by their quotas. Each needs a permit of the keeper of its
/// organisation's account.
#[derive(Debug)]
pub struct QuotaGate {
    table: Mutex<QuotaTable>,
    /// Notified of verdicts, for urgent requests and for late ones.
    urgent_answered: Notify,
    late_answered: Notify,
    /// The control thread's counts of asks.
    counts: Mutex<QuotaCounts>,
    control: ControlHandle,
    clock: ProcessClock,
}

impl QuotaGate {
    /// Creates a gate that asks over `control`.
    #[must_use]
    pub fn new(control: ControlHandle, clock: ProcessClock, terms: QuotaTerms) -> Self {
        Self {
            table: Mutex::new(QuotaTable::new(terms, rand::random())),
            urgent_answered: Notify::new(),
            late_answered: Notify::new(),
            counts: Mutex::default(),
            control,
            clock,
        }
    }

    /// Takes the verdict on an ask.
    pub fn receive(&self, now: Moment, verdict: &QuotaVerdict) {
        self.table.lock().receive(now, verdict);
        self.wake();
    }

    /// Learns that no keeper of an organisation's account answers.
    pub fn isolate(&self, now: Moment, organisation: &OrganisationName) {
        self.table.lock().isolate(now, organisation);
        self.wake();
    }

    /// Takes the control thread's counts of asks, for the metrics.
    pub(crate) fn record_counts(&self, counts: QuotaCounts) {
        *self.counts.lock() = counts;
    }

    /// Returns the counts of asks, and of requests admitted while no keeper answered.
    #[must_use]
    pub fn counts(&self) -> (QuotaCounts, u64) {
        (*self.counts.lock(), self.table.lock().isolated_admissions())
    }

    /// Admits a request, or returns the answer that refuses it. `scope` names the entries that share
    /// the quota.
    pub(super) async fn admit(
        &self,
        timer: &TimerService,
        organisation: &OrganisationName,
        quota: RequestQuota,
        scope: &QuotaScope,
        urgency: RequestUrgency,
    ) -> Result<(), SystemAnswer> {
        let arrived = self.clock.now();
        let mut waiting = None;
        loop {
            let now = self.clock.now();
            let urgency = urgency.after(now.since(arrived));
            // Registered before the decision, so that a verdict that arrives in between wakes it.
            let mut answered = pin!(self.answered(urgency).notified());
            answered.as_mut().enable();
            // Its place is freed together with the decision. Until then a late request that decides
            // first leaves the permit to it.
            let decision = self.update(|table| {
                WaitingRequest::end(&mut waiting, table);
                let request = PermitRequest { urgency, waited: now.since(arrived) };
                table.admit(now, organisation, quota, scope, request)
            });
            let until = match decision {
                QuotaDecision::Admit => return Ok(()),
                QuotaDecision::OverQuota(outlook) => return Err(over_quota(urgency, outlook)),
                QuotaDecision::Unconfirmed(retry_after) => {
                    let cause = RefusalCause::QuotaUnconfirmed;
                    return Err(SystemAnswer::refused(cause, Some(retry_after)));
                }
                QuotaDecision::Hold(until) => {
                    timer.at(until).await;
                    continue;
                }
                QuotaDecision::Wait(until) => until,
            };
            waiting = Some(WaitingRequest::begin(self, now, organisation, urgency));
            select(answered, pin!(timer.run_until(until, std::future::pending::<()>()))).await;
        }
    }

    /// Gives back a request that was admitted and has not run.
    pub(super) fn give_back(&self, organisation: &OrganisationName) {
        let now = self.clock.now();
        self.update(|table| table.give_back(now, organisation));
    }

    /// Wakes waiting requests to decide again, urgent ones first.
    fn wake(&self) {
        self.urgent_answered.notify_waiters();
        self.late_answered.notify_waiters();
    }

    const fn answered(&self, urgency: RequestUrgency) -> &Notify {
        if urgency.is_late() { &self.late_answered } else { &self.urgent_answered }
    }

    fn update<T>(&self, change: impl FnOnce(&mut QuotaTable) -> T) -> T {
        let mut table = self.table.lock();
        let result = change(&mut table);
        let asks = table.take_asks();
        drop(table);
        if !asks.is_empty() {
            self.control.tell(ControlRequest::AskQuotas(asks));
        }
        result
    }
}

/// A request that waits for a permit. It stops waiting when dropped, also if its caller leaves.
struct WaitingRequest<'a> {
    gate: &'a QuotaGate,
    organisation: &'a OrganisationName,
    urgency: RequestUrgency,
    has_ended: bool,
}

impl<'a> WaitingRequest<'a> {
    fn begin(
        gate: &'a QuotaGate,
        now: Moment,
        organisation: &'a OrganisationName,
        urgency: RequestUrgency,
    ) -> Self {
        gate.update(|table| table.begin_wait(now, organisation, urgency));
        Self { gate, organisation, urgency, has_ended: false }
    }

    /// Ends a wait in the table of its gate, which is locked.
    fn end(waiting: &mut Option<Self>, table: &mut QuotaTable) {
        if let Some(mut ended) = waiting.take() {
            table.end_wait(ended.organisation, ended.urgency);
            ended.has_ended = true;
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.gate.table.lock().end_wait(self.organisation, self.urgency);
        }
    }
}

/// Returns the answer to a request for which there is no permit.
fn over_quota(urgency: RequestUrgency, outlook: PermitOutlook) -> SystemAnswer {
    let retry_after = return_time(urgency, outlook, &mut rand::rng());
    SystemAnswer::refused(RefusalCause::OverQuota, Some(retry_after))
}
