//! Estimates the usable fraction of an upstream's slots from the answers that callers get.

use super::{Moment, UpstreamOutcomes};

/// The smallest usable fraction. It keeps enough requests flowing to notice a recovery.
pub(crate) const MIN_USABLE: f32 = 0.05;

/// The factor applied to the usable fraction on each failure. An upstream that fails fast always
/// has free slots, so by counts alone it would attract the whole pool's load and fail it.
const FAILURE_FACTOR: f32 = 0.6;

/// The fraction recovered with each successful answer. It is small so that a flapping upstream does
/// not cause load swings in the pool.
const RECOVERY_PER_ANSWER: f32 = 0.02;

/// The fraction recovered each second in any case, because an upstream that gets no calls gives no
/// answers by which it could recover.
const RECOVERY_PER_SECOND: f32 = 0.1;

/// An upstream whose latency is more than this many times the pool's median loses usable slots. In
/// busy periods, queueing at a few upstreams regularly doubles their latency for a while. With a
/// factor of 2, healthy upstreams lost slots several times a minute, and the others had to carry
/// their load.
const SLOW_FACTOR: f32 = 4.0;

/// The number of answers needed before an upstream's latency affects its usable fraction.
const MIN_ANSWERS: f32 = 16.0;

/// The number of answers that the smoothed latency covers.
const SMOOTHING_ANSWERS: f32 = 60.0;

/// How far each answer moves the usable fraction towards the one derived from latency.
const SLOW_WEIGHT: f32 = 0.1;

/// The health of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    usable: f32,
    latency_ms: f32,
    answers: f32,
    slow: bool,
    updated_at: Moment,
}

impl UpstreamHealth {
    pub(crate) fn new(now: Moment) -> Self {
        Self { usable: 1.0, latency_ms: 0.0, answers: 0.0, slow: false, updated_at: now }
    }

    /// Updates the health from answers. `pool_ms` is the pool's median latency, 0 if unknown.
    pub(crate) fn record(&mut self, now: Moment, outcomes: &UpstreamOutcomes, pool_ms: f32) {
        self.recover(now);
        for _ in 0..outcomes.failures.min(20) {
            self.usable = (self.usable * FAILURE_FACTOR).max(MIN_USABLE);
        }
        if outcomes.answers == 0 {
            return;
        }
        let answers = f32::from(outcomes.answers);
        let mean_ms = f32::from(outcomes.total_ms) / answers;
        self.answers = (self.answers + answers).min(SMOOTHING_ANSWERS);
        let weight = (answers / self.answers).min(1.0);
        self.latency_ms += weight * (mean_ms - self.latency_ms);
        let ratio = if pool_ms > 0.0 { self.latency_ms / pool_ms } else { 1.0 };
        self.slow = ratio > SLOW_FACTOR;
        if self.slow && self.answers >= MIN_ANSWERS {
            // An upstream at a third of its speed could use a third of its slots. The square takes
            // away more, because each call sent there also takes three times as long.
            let target = (1.0 / (ratio * ratio)).max(MIN_USABLE);
            let step = (SLOW_WEIGHT * answers).min(1.0);
            self.usable += step * (target - self.usable).min(0.0);
        } else {
            self.usable = (self.usable + RECOVERY_PER_ANSWER * answers).min(1.0);
        }
    }

    /// Returns the usable fraction at `now`.
    pub(crate) fn usable(&self, now: Moment) -> f32 {
        let passed = now.since(self.updated_at).as_secs_f32();
        // A slow upstream recovers more slowly, as it must not return to full use between two slow
        // answers.
        let slow = self.slow && self.answers >= MIN_ANSWERS;
        let rate = if slow { RECOVERY_PER_SECOND / 10.0 } else { RECOVERY_PER_SECOND };
        (self.usable + passed * rate).min(1.0)
    }

    /// Returns the smoothed latency in milliseconds, once there are enough answers.
    pub(crate) fn latency_ms(&self) -> Option<f32> {
        (self.answers >= 4.0).then_some(self.latency_ms)
    }

    fn recover(&mut self, now: Moment) {
        self.usable = self.usable(now);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Returns the median of the known latencies; 0 if none is known. A single slow upstream shifts the
/// median less than it would shift the mean.
pub(crate) fn median_ms(known: impl Iterator<Item = f32>) -> f32 {
    let mut sorted: Vec<f32> = known.collect();
    if sorted.is_empty() {
        return 0.0;
    }
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
