//! The token bucket from which one host issues permits.

use std::time::Duration;

use super::{FastMap, HostId, Moment};

/// The time for which one answer covers an entry's fair part of the rate.
const ANSWER_SECONDS: f32 = 0.5;

/// How long an entry counts as one of those that share the rate after its last question.
const ASKER_SPAN: Duration = Duration::from_secs(4);

/// Shortest and longest time after which an entry is told to ask again.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Questions per permit for which entries are told to ask again. With fewer, permits would stay
/// unused when some of the entries no longer need them.
const ASKS_PER_PERMIT: f32 = 2.0;

/// What a bucket gives for one question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PermitGrant {
    pub(crate) permits: u16,
    /// If there are none: the time after which to ask again.
    pub(crate) retry_after: Duration,
}

/// The permits of one host for one slice of an upstream's limit, or for one organisation's quota.
#[derive(Clone, Debug)]
pub(crate) struct PermitBucket {
    tokens: f32,
    capacity: f32,
    refilled_at: Moment,
    askers: FastMap<HostId, Moment>,
    pruned_at: Moment,
}

impl PermitBucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: Moment, capacity: f32) -> Self {
        let askers = FastMap::default();
        Self { tokens: capacity, capacity, refilled_at: now, askers, pruned_at: now }
    }

    /// Returns the permits that the bucket holds.
    pub(crate) fn tokens(&self) -> f32 {
        self.tokens
    }

    /// Returns the capacity.
    pub(crate) fn capacity(&self) -> f32 {
        self.capacity
    }

    /// Sets the permits that the bucket holds, and since when more accrue.
    pub(crate) fn set_tokens(&mut self, now: Moment, tokens: f32) {
        self.tokens = tokens.min(self.capacity);
        self.refilled_at = now;
    }

    /// Sets the capacity. What the bucket holds beyond it is lost.
    pub(crate) fn set_capacity(&mut self, capacity: f32) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Puts permits back that were not used.
    pub(crate) fn put_back(&mut self, permits: u16) {
        self.tokens = (self.tokens + f32::from(permits)).min(self.capacity);
    }

    /// Takes as many of the wanted permits as the bucket holds beyond a reserve.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a bucket holds few permits; the cast saturates"
    )]
    pub(crate) fn take_up_to(&mut self, wanted: u16, reserve: f32) -> u16 {
        let permits = wanted.min((self.tokens - reserve) as u16);
        self.tokens -= f32::from(permits);
        permits
    }

    /// Returns the time until the bucket holds this many permits at a rate in permits a second.
    pub(crate) fn time_until(&self, tokens: f32, rate: f32) -> Duration {
        let seconds = (tokens - self.tokens).max(0.0) / rate;
        Duration::try_from_secs_f32(seconds).unwrap_or(Duration::MAX)
    }

    /// Discards all permits that have been saved up.
    pub(crate) fn drain(&mut self, now: Moment) {
        self.tokens = 0.0;
        self.refilled_at = now;
    }

    /// Answers an entry's question at a rate in permits a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a bucket holds few permits, and few entries ask"
    )]
    pub(crate) fn take(
        &mut self,
        now: Moment,
        rate: f32,
        from: &HostId,
        wanted: u16,
    ) -> PermitGrant {
        self.refill(now, rate);
        self.record_asker(now, from);
        let askers = self.askers.len() as f32;
        if self.tokens < 1.0 {
            let next_token = (1.0 - self.tokens) / rate;
            let retry = Duration::from_secs_f32(next_token.max(askers / (ASKS_PER_PERMIT * rate)));
            return PermitGrant { permits: 0, retry_after: retry.clamp(MIN_RETRY, MAX_RETRY) };
        }
        let fair = (rate * ANSWER_SECONDS / askers).max(1.0) as u16;
        let permits = wanted.clamp(1, fair).min(self.tokens as u16);
        self.tokens -= f32::from(permits);
        PermitGrant { permits, retry_after: Duration::ZERO }
    }

    /// Adds what has accrued since the last refill at a rate in permits a second.
    pub(crate) fn refill(&mut self, now: Moment, rate: f32) {
        let gained = now.since(self.refilled_at).as_secs_f32() * rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.refilled_at = now;
    }

    fn record_asker(&mut self, now: Moment, from: &HostId) {
        self.askers.insert(from.clone(), now);
        if now.since(self.pruned_at) > ASKER_SPAN / 4 {
            self.pruned_at = now;
            self.askers.retain(|_, asked_at| now.since(*asked_at) < ASKER_SPAN);
        }
    }
}
