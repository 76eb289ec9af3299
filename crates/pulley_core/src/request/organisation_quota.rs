//! One organisation's quota as one entry sees it.

use std::time::Duration;

use crate::process::{Moment, OrganisationName, QuotaReport, QuotaVerdict};
use crate::version::RequestQuota;

/// How long the answer to a report may take before requests that wait for it ask again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long reports may go unanswered before this entry goes by its own part of the quota.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// The part of an entry's equal share of a quota that it uses on its own. Entries that are cut off
/// use theirs beside all others.
const OWN_PART: f32 = 0.5;

/// How long permits may be used.
const PERMIT_LIFE: Duration = Duration::from_millis(750);

/// When callers return whose request can neither be admitted nor be called over quota.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is admitted and counted.
    Admit,
    /// It waits for the answer to a report, at most until this moment, and asks again then.
    Wait(Moment),
    /// The organisation is over its quota; there is room after this time.
    OverQuota(Duration),
    /// The replica that keeps the account does not answer, and this entry's own part is used up.
    Unconfirmed(Duration),
}

/// One organisation's quota as one entry sees it.
///
/// The load is an organisation whose callers press beyond its quota at hundreds of entries, each of
/// which sees a few requests. The harm is that it takes capacity from all others, or that it is
/// refused below its quota because an entry's equal share is less than one request. The reason for
/// the limit: requests are admitted without asking while the account is well filled, and with
/// permits when it is not, so that all entries together keep to the quota.
#[derive(Clone, Debug)]
pub(super) struct OrganisationQuota {
    /// Requests need permits until then.
    limited_until: Moment,
    permits: u16,
    permits_until: Moment,
    /// There is no room until then.
    refused_until: Moment,
    /// Admitted without a permit and not reported yet, less those that never ran.
    unreported: i32,
    /// Requests that wait for a permit.
    waiting: u16,
    number: u32,
    /// The report whose permits requests wait for: its number, and when it was sent.
    asked: Option<(u32, Moment)>,
    /// When the oldest report was sent that was not answered.
    unanswered_since: Option<Moment>,
    /// Requests that this entry may admit on its own.
    own_tokens: f32,
    own_refilled_at: Moment,
    is_reporting: bool,
}

impl OrganisationQuota {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            limited_until: Moment::ZERO,
            permits: 0,
            permits_until: Moment::ZERO,
            refused_until: Moment::ZERO,
            unreported: 0,
            waiting: 0,
            number: 0,
            asked: None,
            unanswered_since: None,
            own_tokens: 1.0,
            own_refilled_at: now,
            is_reporting: false,
        }
    }

    /// Decides on a request. `entries` is the number of entries that share the quota.
    pub(super) fn admit(
        &mut self,
        now: Moment,
        quota: RequestQuota,
        entries: u32,
    ) -> QuotaDecision {
        if self.is_silent(now) {
            return self.admit_alone(now, quota, entries);
        }
        if now >= self.limited_until {
            self.unreported += 1;
            self.is_reporting = true;
            return QuotaDecision::Admit;
        }
        if self.permits > 0 && now < self.permits_until {
            self.permits -= 1;
            return QuotaDecision::Admit;
        }
        if now < self.refused_until {
            return QuotaDecision::OverQuota(self.refused_until.since(now));
        }
        QuotaDecision::Wait(now + ANSWER_TIMEOUT)
    }

    /// Counts a request that begins to wait for a permit.
    pub(super) fn begin_wait(&mut self, now: Moment) {
        self.waiting = self.waiting.saturating_add(1);
        self.is_reporting |= !self.is_asking(now);
    }

    /// Counts a request that no longer waits.
    pub(super) fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Gives back a request that was admitted and has not run.
    pub(super) fn give_back(&mut self) {
        self.unreported -= 1;
        self.is_reporting = true;
    }

    /// Returns the report that is due, if any, and records that it is sent.
    pub(super) fn take_report(
        &mut self,
        now: Moment,
        organisation: &OrganisationName,
    ) -> Option<QuotaReport> {
        if !std::mem::take(&mut self.is_reporting) {
            return None;
        }
        self.number = self.number.wrapping_add(1);
        self.unanswered_since.get_or_insert(now);
        let wanted = if self.is_asking(now) { 0 } else { self.waiting };
        if wanted > 0 {
            self.asked = Some((self.number, now));
        }
        let used = std::mem::take(&mut self.unreported);
        let organisation = organisation.clone();
        Some(QuotaReport { organisation, used, wanted, number: self.number })
    }

    /// Takes the answer to a report. Permits count only once, because a message may be delivered
    /// twice.
    pub(super) fn receive(&mut self, now: Moment, verdict: &QuotaVerdict) {
        self.unanswered_since = None;
        if verdict.limited_ms == 0 {
            self.limited_until = Moment::ZERO;
            self.refused_until = Moment::ZERO;
        } else {
            self.limited_until = now + verdict.limited_for();
        }
        if self.asked.is_none_or(|(number, _)| number != verdict.number) {
            return;
        }
        self.asked = None;
        if verdict.permits > 0 {
            let held = if now < self.permits_until { self.permits } else { 0 };
            self.permits = held.saturating_add(verdict.permits);
            self.permits_until = now + PERMIT_LIFE;
        } else if verdict.limited_ms > 0 {
            self.refused_until = now + verdict.retry_after();
        }
    }

    /// Learns that requests need permits for a time.
    pub(super) fn limit(&mut self, now: Moment, span: Duration) {
        self.limited_until = self.limited_until.max(now + span);
    }

    /// Whether this entry has no use for what it knows.
    pub(super) fn is_idle(&self, now: Moment) -> bool {
        now >= self.limited_until && self.waiting == 0 && self.unanswered_since.is_none()
    }

    fn is_asking(&self, now: Moment) -> bool {
        self.asked.is_some_and(|(_, asked_at)| now.since(asked_at) < ANSWER_TIMEOUT)
    }

    fn is_silent(&self, now: Moment) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= SILENCE_LIMIT)
    }

    /// Admits requests by this entry's own part of the quota, and keeps reporting so that it learns
    /// when the account can be reached again.
    #[expect(clippy::cast_precision_loss, reason = "entries and bursts are few")]
    fn admit_alone(&mut self, now: Moment, quota: RequestQuota, entries: u32) -> QuotaDecision {
        self.is_reporting = true;
        let share = OWN_PART / entries.max(1) as f32;
        let gained = now.since(self.own_refilled_at).as_secs_f32() * quota.rate.per_second();
        let capacity = (quota.burst as f32 * share).max(1.0);
        self.own_tokens = (self.own_tokens + gained * share).min(capacity);
        self.own_refilled_at = now;
        if self.own_tokens < 1.0 {
            return QuotaDecision::Unconfirmed(UNCONFIRMED_RETRY);
        }
        self.own_tokens -= 1.0;
        self.unreported += 1;
        QuotaDecision::Admit
    }
}
