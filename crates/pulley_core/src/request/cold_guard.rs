//! Bounds what all entries together send to an upstream that has just started.

use std::time::Duration;

use crate::process::Moment;
use crate::version::WarmUpTerms;

/// How many entries send to a cold upstream, each at an equal part of its rate.
pub(crate) const COLD_ENTRIES: usize = 3;

/// How many requests an entry may save up for a cold upstream.
const SAVED_LIMIT: f32 = 1.0;

/// Bounds what one entry sends to one upstream while that is cold.
///
/// Load it is for: a zone's upstreams come back together, or have all become cold again, while
/// hundreds of entries look for free slots. Harm: a cold upstream bears a few requests a second and
/// crashes under more. Entries that each take a small part of that by themselves come to many times
/// as much, and it is a matter of luck whether they do. Reason for the limits: a few entries, which
/// all work out alike from the list of those alive, share the rate that the operators give. With
/// one request saved up each may send two within a second, so that the sum stays bounded though
/// two lists of entries are believed at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdGuard {
    /// Until when it is cold, as far as is known.
    until: Moment,
    /// Whether that is only feared: it may be asked by anybody.
    is_doubtful: bool,
    /// Whether this entry is one of those that send to it meanwhile.
    is_assigned: bool,
    saved: f32,
    filled: Moment,
}

impl ColdGuard {
    /// Whether it is cold, as far as is known.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether nothing may be sent to it by this entry now.
    pub(crate) fn is_closed(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        self.is_cold(now) && !self.has_permit(now, terms)
    }

    /// Whether it is not worth asking how loaded it is.
    pub(crate) fn is_unasked(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        !self.is_doubtful && self.is_closed(now, terms)
    }

    /// Whether this entry might send a request if the upstream is cold; without terms nothing is
    /// known of what a cold upstream bears.
    pub(crate) fn has_permit(&self, now: Moment, terms: Option<WarmUpTerms>) -> bool {
        terms.is_none_or(|terms| self.is_assigned && self.saved_by(now, terms) >= 1.0)
    }

    /// Notes that the upstream has said that it is cold for so long.
    pub(crate) fn note_cold(&mut self, now: Moment, left: Duration, is_assigned: bool) {
        self.begin(now, is_assigned);
        self.is_doubtful = false;
        self.until = now + left;
    }

    /// Notes that the upstream may have become cold, for so long at most.
    pub(crate) fn note_doubt(&mut self, now: Moment, span: Duration, is_assigned: bool) {
        if !self.is_cold(now) {
            self.begin(now, is_assigned);
            self.is_doubtful = true;
            self.until = now + span;
        }
    }

    /// Notes that the upstream has said that it is not cold.
    pub(crate) fn note_warm(&mut self) {
        self.until = Moment::ZERO;
        self.is_doubtful = false;
    }

    /// Takes over whether this entry sends to it while it is cold.
    pub(crate) fn assign(&mut self, is_assigned: bool) {
        self.is_assigned = is_assigned;
    }

    /// Counts a request that is sent.
    pub(crate) fn spend(&mut self, now: Moment, terms: Option<WarmUpTerms>) {
        if let Some(terms) = terms.filter(|_| self.is_cold(now)) {
            self.saved = self.saved_by(now, terms) - 1.0;
            self.filled = now;
        }
    }

    fn begin(&mut self, now: Moment, is_assigned: bool) {
        if !self.is_cold(now) {
            self.saved = SAVED_LIMIT;
            self.filled = now;
        }
        self.is_assigned = is_assigned;
    }

    #[expect(clippy::cast_precision_loss, reason = "a handful of entries")]
    fn saved_by(&self, now: Moment, terms: WarmUpTerms) -> f32 {
        let gained = now.since(self.filled).as_secs_f32() * terms.rate.per_second();
        (self.saved + gained / COLD_ENTRIES as f32).min(SAVED_LIMIT)
    }
}
