//! Limits the combined request rate of all entries to an upstream that has just started.

use std::time::Duration;

use crate::process::Moment;
use crate::version::WarmUpTerms;

/// Number of entries that send to one cold upstream, each at an equal fraction of its rate.
pub(crate) const COLD_ENTRIES: usize = 3;

/// Maximum number of requests that an entry may save up for a cold upstream (token bucket size).
const MAX_TOKENS: f32 = 1.0;

/// Rate limit of one entry for one upstream while the upstream is cold.
///
/// A zone's upstreams may come back together, or may all have turned cold again, while hundreds of
/// entries look for free slots. A cold upstream handles a few requests a second and crashes under
/// more. If every entry sent its own small fraction of the rate, the sum could be many times what
/// the upstream handles, depending on chance. So only a few entries send to it, and they share the
/// rate set by the operators. All entries derive the same assignment from the list of live entries.
/// An entry may save up only one request, so it can send two within a second. That keeps the sum
/// bounded even while entries hold two different lists of live entries.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdRateLimit {
    /// The end of the cold period, as far as is known.
    until: Moment,
    /// Whether the upstream is only suspected to be cold. Any entry may then probe it.
    is_suspected: bool,
    /// Whether this entry is one of those that send to the upstream while it is cold.
    is_assigned: bool,
    tokens: f32,
    refilled_at: Moment,
}

impl ColdRateLimit {
    /// Whether the upstream is cold, as far as is known.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether this entry may not send to the upstream now.
    pub(crate) fn is_blocked(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        self.is_cold(now) && !self.has_permit(now, terms)
    }

    /// Whether not to probe the upstream, because this entry could not send to it anyway.
    pub(crate) fn skips_probes(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        !self.is_suspected && self.is_blocked(now, terms)
    }

    /// Whether the rate limit for cold upstreams allows this entry to send a request now. It does
    /// not check that the upstream is cold. Without warm-up terms there is no limit, because the
    /// rate that a cold upstream handles is unknown.
    pub(crate) fn has_permit(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        terms.is_none_or(|terms| self.is_assigned && self.tokens_at(now, terms) >= 1.0)
    }

    /// Records the upstream's own report that it stays cold for `left`.
    pub(crate) fn record_cold(&mut self, now: Moment, left: Duration, is_assigned: bool) {
        self.begin(now, is_assigned);
        self.is_suspected = false;
        self.until = now + left;
    }

    /// Records that the upstream may have turned cold, for `span` at most.
    pub(crate) fn record_suspected(&mut self, now: Moment, span: Duration, is_assigned: bool) {
        if !self.is_cold(now) {
            self.begin(now, is_assigned);
            self.is_suspected = true;
            self.until = now + span;
        }
    }

    /// Records the upstream's own report that it is not cold.
    pub(crate) fn record_warm(&mut self) {
        self.until = Moment::ZERO;
        self.is_suspected = false;
    }

    /// Sets whether this entry sends to the upstream while it is cold.
    pub(crate) fn assign(&mut self, is_assigned: bool) {
        self.is_assigned = is_assigned;
    }

    /// Charges one sent request to the rate limit.
    pub(crate) fn spend(&mut self, now: Moment, terms: Option<WarmUpTerms>) {
        if let Some(terms) = terms.filter(|_| self.is_cold(now)) {
            self.tokens = self.tokens_at(now, terms) - 1.0;
            self.refilled_at = now;
        }
    }

    fn begin(&mut self, now: Moment, is_assigned: bool) {
        if !self.is_cold(now) {
            self.tokens = MAX_TOKENS;
            self.refilled_at = now;
        }
        self.is_assigned = is_assigned;
    }

    #[expect(clippy::cast_precision_loss, reason = "a handful of entries")]
    fn tokens_at(&self, now: Moment, terms: WarmUpTerms) -> f32 {
        let gained = now.since(self.refilled_at).as_secs_f32() * terms.rate.per_second();
        (self.tokens + gained / COLD_ENTRIES as f32).min(MAX_TOKENS)
    }
}
