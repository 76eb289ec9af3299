//! The account of one organisation at the replica that keeps it.

use std::time::Duration;

use super::permit_order::PermitOrder;
use super::refusal_span::RefusalSpan;
use super::{
    AccountTenure, FastMap, HostId, Moment, PermitBucket, QuotaAnswer, QuotaAsk, QuotaTerms,
};
use crate::version::RequestQuota;

/// How long the last answer to an entry is kept. A permit request isn't repeated for longer.
const ANSWER_RETENTION: Duration = Duration::from_secs(5);

/// A number that is lower than the last one by at most this much belongs to a permit request that
/// was delayed on its way. Any other number is new: entries that restart begin at a random number.
const DELAYED_NUMBERS: u32 = 64;

/// The last answer to an entry.
#[derive(Clone, Copy, Debug)]
struct GivenAnswer {
    number: u32,
    answer: QuotaAnswer,
    at: Moment,
    /// Permits that the entry was given and has not returned.
    returnable: u16,
}

/// The account of one organisation. Every request that is admitted has been charged to it first.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccount {
    quota: RequestQuota,
    bucket: PermitBucket,
    order: PermitOrder,
    refusals: RefusalSpan,
    given: FastMap<HostId, GivenAnswer>,
    pruned_at: Moment,
    /// Since when this replica has kept the account without interruption, and when it last knew that
    /// it did.
    kept_since: Moment,
    kept_at: Moment,
}

impl QuotaAccount {
    /// Opens an account that this replica doesn't know. After a whole window in which nothing was
    /// charged it is full. Before, another replica may have used it up.
    pub(super) fn open(
        now: Moment,
        quota: RequestQuota,
        terms: &QuotaTerms,
        tenure: AccountTenure,
    ) -> Self {
        let mut account = Self {
            quota,
            bucket: PermitBucket::new(tenure.since, terms.capacity(quota)),
            order: PermitOrder::default(),
            refusals: RefusalSpan::default(),
            given: FastMap::default(),
            pruned_at: now,
            kept_since: tenure.since,
            kept_at: now,
        };
        let tokens = account.level_of(now, terms, tenure);
        account.bucket.set_tokens(tenure.since, tokens);
        account
    }

    /// Learns since when this replica has served the account. If that is later than it last served
    /// it, another replica may have served it meanwhile. Nothing accrued here in that time, so that
    /// what both issue stays within the limit.
    pub(super) fn keep(&mut self, now: Moment, terms: &QuotaTerms, tenure: AccountTenure) {
        if tenure.since > self.kept_at {
            let level = self.level_of(now, terms, tenure);
            let is_recent = tenure.since.since(self.kept_at) < terms.window
                && now.since(tenure.since) < terms.window;
            let tokens = if is_recent { level.min(self.bucket.tokens()) } else { level };
            self.bucket.set_tokens(tenure.since, tokens);
            self.kept_since = tenure.since;
        }
        self.kept_at = now;
    }

    /// Returns what an account held at the start of a tenure in which nothing was charged until now.
    /// It holds only what accrued while nobody served it if more than two other replicas may have
    /// started at the takeover level within a window, or an earlier process of this one.
    fn level_of(&self, now: Moment, terms: &QuotaTerms, tenure: AccountTenure) -> f32 {
        if now.since(tenure.since) >= terms.window {
            return terms.capacity(self.quota);
        }
        let is_calm = tenure.since.since(tenure.calm_since) >= terms.window;
        if is_calm {
            return terms.takeover_level(self.quota);
        }
        let accrued = tenure.unserved.as_secs_f32() * self.quota.rate.per_second();
        accrued.min(terms.capacity(self.quota))
    }

    /// Sets the quota if it has changed. Permits above the new capacity are discarded.
    pub(super) fn set_quota(&mut self, now: Moment, quota: RequestQuota, terms: &QuotaTerms) {
        if self.quota != quota {
            self.refill(now);
            self.quota = quota;
            self.bucket.set_capacity(terms.capacity(quota));
        }
    }

    /// Answers a permit request of an entry. One that was answered before gets the same answer and
    /// isn't charged again; one that arrives after a later one gets none.
    pub(super) fn answer(
        &mut self,
        now: Moment,
        from: &HostId,
        ask: &QuotaAsk,
    ) -> Option<QuotaAnswer> {
        self.prune(now);
        let given = self.given.get(from).copied();
        if let Some(given) = given.filter(|given| given.number == ask.number) {
            return Some(given.answer);
        }
        if given.is_some_and(|given| given.number.wrapping_sub(ask.number) <= DELAYED_NUMBERS) {
            return None;
        }
        self.refill(now);
        let held = given.map_or(0, |given| given.returnable);
        let returned = ask.returned.min(held);
        self.bucket.put_back(returned);
        let answer = self.grant(now, ask);
        let granted = match answer {
            QuotaAnswer::Permits { urgent, late, .. } => urgent.saturating_add(late),
            QuotaAnswer::NotKeeper => 0,
        };
        let returnable = (held - returned).saturating_add(granted);
        let given = GivenAnswer { number: ask.number, answer, at: now, returnable };
        self.given.insert(from.clone(), given);
        Some(answer)
    }

    /// Returns since when this replica has kept the account, if it did so within the last window.
    pub(super) fn kept_since(&self, now: Moment, terms: &QuotaTerms) -> Option<Moment> {
        (now.since(self.kept_at) < terms.window).then_some(self.kept_since)
    }

    /// Whether nothing would be lost if the account were forgotten: it would be full when opened.
    pub(super) fn is_forgettable(&self, now: Moment, terms: &QuotaTerms) -> bool {
        let idle = now.since(self.kept_at);
        let accrued = idle.as_secs_f32() * self.quota.rate.per_second();
        idle >= terms.window.max(ANSWER_RETENTION)
            && self.bucket.tokens() + accrued >= self.bucket.capacity()
    }

    fn grant(&mut self, now: Moment, ask: &QuotaAsk) -> QuotaAnswer {
        self.order.record(now, ask.urgent);
        let urgent = self.bucket.take_up_to(ask.urgent, 0.0);
        let reserve = self.order.reserve(now, self.bucket.capacity());
        let late = self.bucket.take_up_to(ask.late, reserve);
        let mut next = Duration::ZERO;
        if urgent < ask.urgent || late < ask.late {
            self.refusals.record(now);
            let kept_back = if urgent < ask.urgent { 0.0 } else { reserve };
            next = self.bucket.time_until(kept_back + 1.0, self.quota.rate.per_second());
        }
        let pressed_ms = millis(self.refusals.length(now));
        QuotaAnswer::Permits { urgent, late, retry_ms: millis(next), pressed_ms }
    }

    fn refill(&mut self, now: Moment) {
        self.bucket.refill(now, self.quota.rate.per_second());
    }

    fn prune(&mut self, now: Moment) {
        if now.since(self.pruned_at) >= ANSWER_RETENTION {
            self.pruned_at = now;
            self.given.retain(|_, given| now.since(given.at) < ANSWER_RETENTION);
        }
    }
}

fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u16::MAX)
}
