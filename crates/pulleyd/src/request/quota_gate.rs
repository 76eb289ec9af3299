//! Admits organisations' requests by their quotas.

use std::pin::pin;
use std::time::Duration;

use futures::future::select;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::RefusalCause;
use pulley_core::process::{OrganisationName, QuotaVerdict};
use pulley_core::request::{QuotaDecision, QuotaTable};
use pulley_core::version::RequestQuota;
use tokio::sync::Notify;

use super::SystemAnswer;
use crate::process::{ControlHandle, ControlRequest, ProcessClock, TimerService};

/// Admits organisations' requests by their quotas.
///
/// Requests of an organisation that is well below its quota pass without waiting.
#[derive(Debug)]
pub struct QuotaGate {
    table: Mutex<QuotaTable>,
    /// Notified when verdicts have arrived.
    answered: Notify,
    control: ControlHandle,
    clock: ProcessClock,
}

impl QuotaGate {
    /// Creates a gate that reports over `control`.
    #[must_use]
    pub fn new(control: ControlHandle, clock: ProcessClock) -> Self {
        Self { table: Mutex::default(), answered: Notify::new(), control, clock }
    }

    /// Takes the answer to a report.
    pub fn receive(&self, now: Moment, verdict: &QuotaVerdict) {
        self.table.lock().receive(now, verdict);
        self.answered.notify_waiters();
    }

    /// Learns that organisations' requests need permits for a time.
    pub fn limit(&self, now: Moment, organisations: &[OrganisationName], span: Duration) {
        self.table.lock().limit(now, organisations, span);
    }

    /// Admits a request, or returns the answer that refuses it. `entries` is the number of entries
    /// that share the quota.
    pub(super) async fn admit(
        &self,
        timer: &TimerService,
        organisation: &OrganisationName,
        quota: RequestQuota,
        entries: u32,
    ) -> Result<(), SystemAnswer> {
        loop {
            // Registered before the decision, so that a verdict that arrives in between wakes it.
            let mut answered = pin!(self.answered.notified());
            answered.as_mut().enable();
            let now = self.clock.now();
            let decision = self.update(|table| table.admit(now, organisation, quota, entries));
            let until = match decision {
                QuotaDecision::Admit => return Ok(()),
                QuotaDecision::OverQuota(retry_after) => {
                    return Err(SystemAnswer::refused(RefusalCause::OverQuota, Some(retry_after)));
                }
                QuotaDecision::Unconfirmed(retry_after) => {
                    let cause = RefusalCause::QuotaUnconfirmed;
                    return Err(SystemAnswer::refused(cause, Some(retry_after)));
                }
                QuotaDecision::Wait(until) => until,
            };
            let waiting = WaitingRequest::begin(self, now, organisation);
            select(answered, pin!(timer.run_until(until, std::future::pending::<()>()))).await;
            drop(waiting);
        }
    }

    /// Gives back a request that was admitted and has not run.
    pub(super) fn give_back(&self, organisation: &OrganisationName) {
        let now = self.clock.now();
        self.update(|table| table.give_back(now, organisation));
    }

    fn update<T>(&self, change: impl FnOnce(&mut QuotaTable) -> T) -> T {
        let mut table = self.table.lock();
        let result = change(&mut table);
        let reports = table.take_reports();
        drop(table);
        if !reports.is_empty() {
            self.control.tell(ControlRequest::ReportQuotas(reports));
        }
        result
    }
}

/// A request that waits for a permit. It stops waiting when dropped, also if its caller leaves.
struct WaitingRequest<'a> {
    gate: &'a QuotaGate,
    organisation: &'a OrganisationName,
}

impl<'a> WaitingRequest<'a> {
    fn begin(gate: &'a QuotaGate, now: Moment, organisation: &'a OrganisationName) -> Self {
        gate.update(|table| table.begin_wait(now, organisation));
        Self { gate, organisation }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.gate.table.lock().end_wait(self.organisation);
    }
}
