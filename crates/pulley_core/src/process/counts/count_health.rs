//! How much of an upstream's slots is usable, by what callers see of it.

use super::{Moment, UpstreamNews};

/// The least usable part: the trickle that shows when an upstream has recovered.
pub(crate) const TRICKLE: f32 = 0.05;

/// What remains usable after each failure. An upstream that fails fast has free slots all the
/// time, and by counts alone it would draw the whole pool's load and fail it.
const FAILED_KEEPS: f32 = 0.6;

/// Regained with each good answer, so that a flapping upstream does not swing the pool.
const REGAIN_PER_ANSWER: f32 = 0.02;

/// Regained each second whatever happens; without calls there are no answers to regain by.
const REGAIN_PER_SECOND: f32 = 0.1;

/// An upstream this many times slower than its pool begins to lose slots. Queueing at a few
/// upstreams doubles their times for a while on any busy day; with a factor of 2 healthy upstreams
/// lost slots several times a minute, and the rest had to carry their load.
const SLOW_FACTOR: f32 = 4.0;

/// Answers before an upstream is judged by its time.
const ENOUGH_ANSWERS: f32 = 16.0;

/// Answers that the smoothed time stretches over.
const SMOOTHED_OVER: f32 = 60.0;

/// How far each answer moves the usable part towards what the time of answers suggests.
const SLOW_STEP: f32 = 0.1;

/// One upstream's usable part.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    usable: f32,
    latency_ms: f32,
    answers: f32,
    slow: bool,
    noted: Moment,
}

impl UpstreamHealth {
    pub(crate) fn new(now: Moment) -> Self {
        Self { usable: 1.0, latency_ms: 0.0, answers: 0.0, slow: false, noted: now }
    }

    /// Learns from answers; `pool_ms` is the usual time in its pool, 0 if unknown.
    pub(crate) fn note(&mut self, now: Moment, news: &UpstreamNews, pool_ms: f32) {
        self.regain(now);
        for _ in 0..news.failures.min(20) {
            self.usable = (self.usable * FAILED_KEEPS).max(TRICKLE);
        }
        if news.answers == 0 {
            return;
        }
        let answers = f32::from(news.answers);
        let mean_ms = f32::from(news.total_ms) / answers;
        self.answers = (self.answers + answers).min(SMOOTHED_OVER);
        let weight = (answers / self.answers).min(1.0);
        self.latency_ms += weight * (mean_ms - self.latency_ms);
        let ratio = if pool_ms > 0.0 { self.latency_ms / pool_ms } else { 1.0 };
        self.slow = ratio > SLOW_FACTOR;
        if self.slow && self.answers >= ENOUGH_ANSWERS {
            // Slots are worth the work they do: at a third of the speed, a third is usable. The
            // square gives up more, as each call that is sent there waits that much longer.
            let target = (1.0 / (ratio * ratio)).max(TRICKLE);
            let step = (SLOW_STEP * answers).min(1.0);
            self.usable += step * (target - self.usable).min(0.0);
        } else {
            self.usable = (self.usable + REGAIN_PER_ANSWER * answers).min(1.0);
        }
    }

    /// The usable part now.
    pub(crate) fn usable(&self, now: Moment) -> f32 {
        let passed = now.since(self.noted).as_secs_f32();
        // A slow upstream regains less: it must not come back in full between two slow answers.
        let slow = self.slow && self.answers >= ENOUGH_ANSWERS;
        let rate = if slow { REGAIN_PER_SECOND / 10.0 } else { REGAIN_PER_SECOND };
        (self.usable + passed * rate).min(1.0)
    }

    /// The smoothed time of answers in milliseconds, once there are enough.
    pub(crate) fn latency_ms(&self) -> Option<f32> {
        (self.answers >= 4.0).then_some(self.latency_ms)
    }

    fn regain(&mut self, now: Moment) {
        self.usable = self.usable(now);
        self.noted = self.noted.max(now);
    }
}

/// The middle of the known times; one slow upstream does not move it as it would the mean.
pub(crate) fn median_ms(known: impl Iterator<Item = f32>) -> f32 {
    let mut sorted: Vec<f32> = known.collect();
    if sorted.is_empty() {
        return 0.0;
    }
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
