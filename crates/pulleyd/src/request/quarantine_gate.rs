//! Admits requests whose contents are suspected to end upstreams.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::select;
use parking_lot::Mutex;
use pulley_core::process::{
    ContentDigest, ContentHead, ContentKey, ContentReport, ContentStanding, SharedTime,
    SuspectRecord, TrialAsk, TrialNumber, TrialVerdict,
};
use pulley_core::request::{ContentDecision, ContentTable, SuspectState, SuspectStates};
use pulley_core::{Moment, RefusalCause};
use tokio::sync::Notify;

use super::SystemAnswer;
use crate::process::{ControlHandle, ControlRequest, ProcessClock, TimerService};

/// The result of admitting a request.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// `Retry-After` for a request that has waited in vain for its turn among those with its content.
const SUSPECT_RETRY: Duration = Duration::from_millis(200);

/// How long the next attempt at a request waits until the control thread has counted an end. The
/// thread may be busy for longer, and the caller's time runs.
const REPORT_WAIT: Duration = Duration::from_millis(50);

/// Admits requests whose contents are suspected to end upstreams.
#[derive(Debug)]
pub struct QuarantineGate {
    table: Mutex<ContentTable>,
    /// Whether any content is suspected. While none is, a request costs one read of this.
    has_suspects: AtomicBool,
    /// Notified whenever the table has changed.
    changed: Notify,
    control: ControlHandle,
    clock: ProcessClock,
}

impl QuarantineGate {
    /// Creates a gate that asks over `control`.
    #[must_use]
    pub fn new(control: ControlHandle, clock: ProcessClock) -> Self {
        Self {
            table: Mutex::default(),
            has_suspects: AtomicBool::new(false),
            changed: Notify::new(),
            control,
            clock,
        }
    }

    /// Takes what has become known of a content at the shared time `time`.
    pub fn apply(&self, time: SharedTime, digest: ContentDigest, record: Option<&SuspectRecord>) {
        let states = record.map_or_else(SuspectStates::default, |record| {
            let state = |standing| suspect_state((self.clock.now(), time), standing);
            let pools = record.pools().iter().map(|known| {
                let standing = record.standing(&known.pool);
                (known.pool.clone(), standing.map(state))
            });
            SuspectStates {
                pools: pools.collect(),
                elsewhere: record.standing_elsewhere().map(state),
            }
        });
        self.update(|table| {
            table.apply(digest, states);
            self.has_suspects.store(table.counts().0 > 0, Ordering::Release);
        });
    }

    /// Takes the answer to a question for a trial.
    pub fn receive(&self, number: TrialNumber, verdict: TrialVerdict) {
        self.update(|table| table.receive(self.clock.now(), number, verdict));
    }

    /// Returns the numbers of contents that are suspected and of those that are quarantined.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.table.lock().counts()
    }

    /// Whether any content is suspected.
    pub(super) fn has_any_suspects(&self) -> bool {
        self.has_suspects.load(Ordering::Acquire)
    }

    /// Whether any content with a head is suspected.
    pub(super) fn has_suspects(&self, head: ContentHead) -> bool {
        self.table.lock().has_suspects(head)
    }

    /// Whether a content is suspected.
    pub(super) fn is_suspect(&self, key: &ContentKey) -> bool {
        self.table.lock().is_suspect(key)
    }

    /// Returns the answer that refuses a request if its content is held or quarantined.
    pub(super) fn refusal(&self, key: &ContentKey) -> Option<SystemAnswer> {
        refusal(&self.table.lock().refusal(self.clock.now(), key)?)
    }

    /// Admits a request. Returns its trial if its content is suspected, or the answer that refuses it.
    ///
    /// It waits for its turn until `deadline`, and a trial may last for `lease`.
    pub(super) async fn admit(
        &self,
        timer: &TimerService,
        key: &ContentKey,
        deadline: Moment,
        lease: Duration,
    ) -> Result<Option<TrialNumber>> {
        let mut waiting = None;
        loop {
            // Registered before the decision, so that a change in between wakes the request.
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            let now = self.clock.now();
            let number = TrialNumber(rand::random());
            let ask = TrialAsk { key: key.clone(), number, lease };
            let decision = self.update_asking(|table| {
                let decision = table.decide(now, &ask);
                if waiting.is_none() && matches!(decision, ContentDecision::Wait(_)) {
                    table.begin_wait(key.digest);
                    waiting = Some(WaitingTurn { gate: self, digest: key.digest });
                }
                decision
            });
            if let Some(refusal) = refusal(&decision) {
                return Err(refusal);
            }
            let again = match decision {
                ContentDecision::Try(number) => return Ok(Some(number)),
                ContentDecision::Wait(again) => again,
                ContentDecision::Run | ContentDecision::Refuse(_) | ContentDecision::Hold(_) => {
                    return Ok(None);
                }
            };
            if now >= deadline {
                let cause = RefusalCause::ContentSuspected;
                return Err(SystemAnswer::refused(cause, Some(SUSPECT_RETRY)));
            }
            let until = again.map_or(deadline, |again| again.min(deadline));
            let pause = pin!(timer.run_until(until, std::future::pending::<()>()));
            select(changed, pause).await;
        }
    }

    /// Reports the end of a request, and waits for a moment until this host counts it. Returns whether
    /// it does.
    pub(super) async fn report(&self, timer: &TimerService, report: ContentReport) -> bool {
        self.end_reported_trial(&report);
        let counted = self.control.ask(|reply| ControlRequest::ReportContent(report, Some(reply)));
        let counted = timer.run_until(self.clock.now() + REPORT_WAIT, pin!(counted)).await;
        matches!(counted, Some(Ok(())))
    }

    /// Reports the end of a request.
    pub(super) fn tell(&self, report: ContentReport) {
        self.end_reported_trial(&report);
        self.control.tell(ControlRequest::ReportContent(report, None));
    }

    fn end_reported_trial(&self, report: &ContentReport) {
        if let Some(number) = report.trial {
            self.update(|table| table.end_trial(report.key.digest, number));
        }
    }

    /// Gives a trial back that tells nothing.
    pub(super) fn end_trial(&self, digest: ContentDigest, number: TrialNumber) {
        self.update(|table| table.end_trial(digest, number));
        self.control.tell(ControlRequest::EndTrial(digest, number));
    }

    /// Changes the table, and wakes the requests that wait.
    fn update<T>(&self, change: impl FnOnce(&mut ContentTable) -> T) -> T {
        let changed = self.update_asking(change);
        self.changed.notify_waiters();
        changed
    }

    /// Changes the table, and passes on what it asks of the control thread.
    fn update_asking<T>(&self, change: impl FnOnce(&mut ContentTable) -> T) -> T {
        let mut table = self.table.lock();
        let changed = change(&mut table);
        let (asks, unused) = (table.take_asks(), table.take_unused());
        drop(table);
        for ask in asks {
            self.control.tell(ControlRequest::AskTrial(ask));
        }
        for (digest, number) in unused {
            self.control.tell(ControlRequest::EndTrial(digest, number));
        }
        changed
    }
}

/// A request that waits for its turn. It stops waiting when dropped, also if its caller leaves.
struct WaitingTurn<'a> {
    gate: &'a QuarantineGate,
    digest: ContentDigest,
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        self.gate.update_asking(|table| table.end_wait(self.digest));
    }
}

/// Returns how a content is treated by this host's clock, which reads `now` at the shared time `time`.
fn suspect_state((now, time): (Moment, SharedTime), standing: ContentStanding) -> SuspectState {
    match standing {
        ContentStanding::Suspect => SuspectState::Suspect,
        ContentStanding::Held { until } => SuspectState::Held { until: now + until.since(time) },
        ContentStanding::Quarantined { until } => {
            SuspectState::Quarantined { until: now + until.since(time) }
        }
    }
}

/// Returns the answer of a decision that refuses a request.
fn refusal(decision: &ContentDecision) -> Option<SystemAnswer> {
    let (cause, retry_after) = match decision {
        ContentDecision::Refuse(left) => (RefusalCause::ContentQuarantined, *left),
        ContentDecision::Hold(left) => (RefusalCause::ContentSuspected, *left),
        ContentDecision::Run | ContentDecision::Try(_) | ContentDecision::Wait(_) => return None,
    };
    Some(SystemAnswer::refused(cause, Some(retry_after)))
}
