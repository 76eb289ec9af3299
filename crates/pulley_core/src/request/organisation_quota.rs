//! One organisation's quota as one entry sees it.

use std::time::Duration;

use super::isolated_allowance::{IsolatedAllowance, QuotaScope};
use super::request_urgency::RequestUrgency;
use crate::process::{Moment, OrganisationName, QuotaAnswer, QuotaAsk, QuotaTerms, QuotaVerdict};

/// How long a request waits at most for the answer to an ask. The exchange gives up before that.
const WAIT_LIMIT: Duration = Duration::from_millis(700);

/// How long permits may be used.
const PERMIT_LIFE: Duration = Duration::from_millis(250);

/// How long this entry counts as isolated after the exchange has last found that no keeper answers.
const ISOLATED_SPAN: Duration = Duration::from_secs(1);

/// How long an isolated entry waits for the verdict on an ask before the next request sends another
/// one, to find out whether a keeper answers.
const ISOLATED_ASK_INTERVAL: Duration = Duration::from_millis(200);

/// The least time for which requests are refused without an ask after permits were refused. A
/// waiting request that wakes later than the next permit accrues would ask again.
const MIN_REFUSAL: Duration = Duration::from_millis(30);

/// How long permits may have been refused while a request is still held for the next one. Where they
/// have been refused for longer, the organisation presses, and each held request would ask again.
const HOLD_PRESSURE: Duration = Duration::from_millis(100);

/// How long a request may have waited to be held. One that has waited for longer, for a keeper that was
/// lost, is refused, and its caller comes back.
const HOLD_AGE: Duration = Duration::from_millis(100);

/// Divides the slack of an urgent request. It is held for the resulting part at most: its caller would
/// not return before that either.
const HOLD_SLACK_DIVISOR: u32 = 10;

/// When callers return whose request can neither be admitted nor be called over quota.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);

/// How long after an isolated admission nothing is returned. No permit was charged for a request
/// that ran in isolation, and requests take less.
const ISOLATED_RUN_LIMIT: Duration = Duration::from_secs(30);

/// A request that needs a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Whether it can still be answered in time.
    pub urgency: RequestUrgency,
    /// How long it has waited for a permit.
    pub waited: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is admitted and counted.
    Admit,
    /// It waits for the answer to an ask, at most until this moment, and decides again then.
    Wait(Moment),
    /// A permit accrues soon. The request decides again at this moment, and no ask is sent before.
    Hold(Moment),
    /// The organisation is over its quota.
    OverQuota(PermitOutlook),
    /// No replica answers as the keeper of the account, and this entry's own allowance is used up.
    /// The caller may retry after this time.
    Unconfirmed(Duration),
}

/// When an organisation that is over its quota can expect permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitOutlook {
    /// The time until a permit accrues.
    pub next: Duration,
    /// How long permits have been refused without a pause of a second.
    pub pressed: Duration,
}

/// Requests of an organisation that wait for permits, or the permits that an ask wants for them.
#[derive(Clone, Copy, Debug, Default)]
struct PermitCount {
    urgent: u16,
    late: u16,
}

impl PermitCount {
    const fn of(&mut self, urgency: RequestUrgency) -> &mut u16 {
        if urgency.is_late() { &mut self.late } else { &mut self.urgent }
    }

    const fn sum(self) -> u16 {
        self.urgent.saturating_add(self.late)
    }
}

/// An ask whose verdict is awaited.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    number: u32,
    asked_at: Moment,
    wanted: PermitCount,
}

/// A refusal of permits.
#[derive(Clone, Copy, Debug)]
struct PermitRefusal {
    refused_at: Moment,
    outlook: PermitOutlook,
}

impl PermitRefusal {
    /// Returns the outlook at `now`, or none if a permit may be asked for again.
    fn outlook(&self, now: Moment) -> Option<PermitOutlook> {
        let elapsed = now.since(self.refused_at);
        let next = self.outlook.next.saturating_sub(elapsed);
        let span = match self.is_brief(now) {
            true => self.outlook.next,
            false => self.outlook.next.max(MIN_REFUSAL),
        };
        (elapsed < span).then(|| PermitOutlook { next, pressed: self.outlook.pressed + elapsed })
    }

    /// Returns until when a request is held for the next permit, if that is better for its caller than
    /// a refusal.
    ///
    /// The load is an account that has little yet, as after a restart of all replicas, while its
    /// organisation is far below its quota. The harm of a refusal is that the caller loses an attempt
    /// for a permit that accrues within milliseconds.
    fn hold_until(&self, now: Moment, request: PermitRequest) -> Option<Moment> {
        let RequestUrgency::Urgent { slack } = request.urgency else { return None };
        let until = self.refused_at + self.outlook.next;
        let is_short = until.since(now) <= slack / HOLD_SLACK_DIVISOR;
        let is_held = is_short && request.waited < HOLD_AGE && self.is_brief(now);
        is_held.then_some(until)
    }

    /// Whether permits have been refused for a short time only.
    fn is_brief(&self, now: Moment) -> bool {
        self.outlook.pressed + now.since(self.refused_at) < HOLD_PRESSURE
    }
}

/// One organisation's quota as one entry sees it.
///
/// The load is an organisation whose callers press beyond its quota at hundreds of entries, each of
/// which sees a few requests. The harm is that it takes capacity from all others, or that it is
/// refused below its quota because an entry's equal share is less than one request. Every admission
/// therefore requires a permit of the account's keeper.
#[derive(Clone, Debug, Default)]
pub(super) struct OrganisationQuota {
    permits: u16,
    permits_until: Moment,
    /// Permits that were not used, to be returned with the next ask.
    returned: u16,
    urgent_refusal: Option<PermitRefusal>,
    late_refusal: Option<PermitRefusal>,
    waiting: PermitCount,
    pending: Option<PendingAsk>,
    /// This entry decides on its own until then.
    isolated_until: Moment,
    allowance: IsolatedAllowance,
}

impl OrganisationQuota {
    /// Decides on a request. While isolated, `allowance` is the number of requests per window that
    /// all isolated entries may admit together.
    pub(super) fn admit(
        &mut self,
        now: Moment,
        terms: &QuotaTerms,
        allowance: f32,
        (scope, organisation): (&QuotaScope, &OrganisationName),
        request: PermitRequest,
    ) -> QuotaDecision {
        let urgency = request.urgency;
        self.expire_permits(now);
        let is_free =
            if urgency.is_late() { self.permits > self.waiting.urgent } else { self.permits > 0 };
        if is_free {
            self.permits -= 1;
            return QuotaDecision::Admit;
        }
        if now < self.isolated_until {
            let scope = (scope, organisation);
            return match self.allowance.admit(now, terms.window, allowance, scope) {
                true => QuotaDecision::Admit,
                false => QuotaDecision::Unconfirmed(UNCONFIRMED_RETRY),
            };
        }
        let refusal = if urgency.is_late() { self.late_refusal } else { self.urgent_refusal };
        let in_force = refusal.and_then(|refusal| Some((refusal, refusal.outlook(now)?)));
        let Some((refusal, outlook)) = in_force else {
            return QuotaDecision::Wait(now + WAIT_LIMIT);
        };
        match refusal.hold_until(now, request) {
            Some(until) => QuotaDecision::Hold(until),
            None => QuotaDecision::OverQuota(outlook),
        }
    }

    /// Whether this entry decides on its own because no keeper answers.
    pub(super) fn is_isolated(&self, now: Moment) -> bool {
        now < self.isolated_until
    }

    /// Counts a request that begins to wait for a permit.
    pub(super) fn begin_wait(&mut self, urgency: RequestUrgency) {
        let waiting = self.waiting.of(urgency);
        *waiting = waiting.saturating_add(1);
    }

    /// Counts a request that no longer waits.
    pub(super) fn end_wait(&mut self, urgency: RequestUrgency) {
        let waiting = self.waiting.of(urgency);
        *waiting = waiting.saturating_sub(1);
    }

    /// Gives back a request that was admitted and has not run.
    pub(super) fn give_back(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.since(at) < ISOLATED_RUN_LIMIT;
        if !self.allowance.last().is_some_and(is_recent) {
            self.returned = self.returned.saturating_add(1);
        }
    }

    /// Returns the ask to send, unless the verdict on an earlier one is awaited. In isolation, it
    /// wants no permits and only finds out whether a keeper answers.
    pub(super) fn take_ask(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
        number: u32,
    ) -> Option<QuotaAsk> {
        let limit = if self.is_isolated(now) { ISOLATED_ASK_INTERVAL } else { WAIT_LIMIT };
        let is_pending = |ask: &PendingAsk| now.since(ask.asked_at) < limit;
        if self.pending.as_ref().is_some_and(is_pending) {
            return None;
        }
        let wanted = if self.is_isolated(now) { PermitCount::default() } else { self.unserved() };
        self.pending = Some(PendingAsk { number, asked_at: now, wanted });
        Some(QuotaAsk {
            organisation: organisation.clone(),
            number,
            urgent: wanted.urgent,
            late: wanted.late,
            returned: std::mem::take(&mut self.returned),
        })
    }

    /// Takes the verdict on an ask. It counts only once, because a message may be delivered twice.
    pub(super) fn receive(&mut self, now: Moment, verdict: &QuotaVerdict) {
        let QuotaAnswer::Permits { urgent, late, retry_ms, pressed_ms } = verdict.answer else {
            return;
        };
        let Some(ask) = self.pending.take_if(|ask| ask.number == verdict.number) else { return };
        self.isolated_until = Moment::ZERO;
        self.expire_permits(now);
        let granted = PermitCount { urgent, late }.sum().min(ask.wanted.sum());
        if granted > 0 {
            self.permits = self.permits.saturating_add(granted);
            self.permits_until = now + PERMIT_LIFE;
        }
        let outlook = PermitOutlook {
            next: Duration::from_millis(u64::from(retry_ms)),
            pressed: Duration::from_millis(u64::from(pressed_ms)),
        };
        let refusal = Some(PermitRefusal { refused_at: now, outlook });
        let is_short = urgent < ask.wanted.urgent;
        self.urgent_refusal = if is_short { refusal } else { None };
        self.late_refusal = if is_short || late < ask.wanted.late { refusal } else { None };
    }

    /// Learns that no keeper answers.
    pub(super) fn isolate(&mut self, now: Moment) {
        self.isolated_until = now + ISOLATED_SPAN;
    }

    /// Whether this entry has no use for what it knows.
    pub(super) fn is_idle(&self, now: Moment, window: Duration) -> bool {
        let is_asking = self.pending.is_some_and(|ask| now.since(ask.asked_at) < WAIT_LIMIT);
        let is_recent = self.allowance.last().is_some_and(|at| now.since(at) <= window);
        let is_used = is_asking || is_recent || now < self.permits_until;
        !is_used && self.waiting.sum() == 0 && !self.is_isolated(now)
    }

    /// Returns the waiting requests for which no permit is held.
    fn unserved(&self) -> PermitCount {
        let PermitCount { urgent, late } = self.waiting;
        let left = self.permits.saturating_sub(urgent);
        PermitCount { urgent: urgent.saturating_sub(self.permits), late: late.saturating_sub(left) }
    }

    /// Returns what was granted and not used in time.
    fn expire_permits(&mut self, now: Moment) {
        if self.permits > 0 && now >= self.permits_until {
            let unused = std::mem::take(&mut self.permits);
            self.returned = self.returned.saturating_add(unused);
        }
    }
}
