//! What one entry knows of one upstream's slots.

use std::collections::VecDeque;
use std::time::Duration;

use super::{AttemptOutcome, LoadReport};
use crate::process::{CountKey, UpstreamPhase, UpstreamRecord, UpstreamTotal, UpstreamUse};

/// Own counts as told in past deltas, so that a sum's echo can be matched.
const HISTORY: usize = 64;

/// The least usable part of an upstream: the trickle that shows when it has recovered.
const TRICKLE: f32 = 0.1;

/// Part of its slots that a warming upstream starts with.
const COLD_PART: f32 = 0.25;

/// How much of its slots an upstream regains with each good answer.
const REGAIN: f32 = 0.02;

/// What remains usable after an answer that shows trouble.
const FAILED_KEEPS: f32 = 0.7;

/// What remains usable after the upstream shed a request: it says itself that it is full, so
/// it loses slots, but fewer than one that fails.
const SHED_KEEPS: f32 = 0.85;

/// The weight of one answer in the smoothed time of answers.
const LATENCY_WEIGHT: f32 = 0.1;

/// One upstream as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSlots {
    pub(crate) key: CountKey,
    pub(crate) record: UpstreamRecord,
    /// Which count link its zone has.
    pub(crate) link: usize,
    /// False once it is no longer announced; it stays until its last request ends.
    pub(crate) listed: bool,
    /// This entry's own requests outstanding.
    pub(crate) own: u32,
    /// The other entries' requests outstanding, as of the newest sum.
    foreign: u32,
    health: f32,
    /// What all entries together find usable.
    shared_health: f32,
    /// Smoothed time of answers, in milliseconds; 0 before the first.
    latency_ms: f32,
    answers: u32,
    told: VecDeque<(u32, u32)>,
}

impl UpstreamSlots {
    pub(crate) fn new(record: &UpstreamRecord, link: usize) -> Self {
        let cold = record.announcement.phase == UpstreamPhase::Warming;
        Self {
            key: CountKey::of(record.announcement.id.as_str()),
            record: record.clone(),
            link,
            listed: true,
            own: 0,
            foreign: 0,
            // A cold upstream answers its first requests many times slower. With its full slots
            // at once it would collect a queue that outlasts its warming.
            health: if cold { COLD_PART } else { 1.0 },
            shared_health: 1.0,
            latency_ms: 0.0,
            answers: 0,
            told: VecDeque::new(),
        }
    }

    /// Takes over a newer announcement.
    pub(crate) fn update(&mut self, record: &UpstreamRecord) {
        let restarted = record.announcement.incarnation > self.record.announcement.incarnation;
        if restarted && record.announcement.phase == UpstreamPhase::Warming {
            self.health = COLD_PART;
            self.latency_ms = 0.0;
        }
        self.record = record.clone();
        self.listed = true;
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self) -> bool {
        self.listed && self.record.takes_work
    }

    /// Slots it is believed to have for use, a part of one at least.
    pub(crate) fn usable(&self) -> f32 {
        let slots = self.slots();
        let health = self.health.min(self.shared_health).max(TRICKLE);
        slots * health
    }

    /// Slots it announced.
    #[expect(clippy::cast_precision_loss, reason = "slots are few")]
    pub(crate) fn slots(&self) -> f32 {
        self.record.announcement.slots.0 as f32
    }

    /// Requests believed outstanding at it, from all entries.
    pub(crate) fn load(&self) -> u32 {
        self.own + self.foreign
    }

    /// Smoothed time of its answers in milliseconds, if any came.
    pub(crate) fn latency_ms(&self) -> Option<f32> {
        (self.latency_ms > 0.0).then_some(self.latency_ms)
    }

    /// Forgets what other entries have outstanding.
    pub(crate) fn forget_foreign(&mut self) {
        self.foreign = 0;
        self.shared_health = 1.0;
    }

    /// Takes in the total of all entries.
    ///
    /// The total holds this entry's own count as the coordinator last heard it, which is not its
    /// count now; taking off the count that was told with the echoed delta keeps own requests
    /// from being counted twice or not at all.
    pub(crate) fn receive(&mut self, total: &UpstreamTotal, echo: u32) {
        while self.told.get(1).is_some_and(|(sequence, _)| *sequence <= echo) {
            self.told.pop_front();
        }
        let told = match self.told.front() {
            Some((sequence, count)) if *sequence <= echo => *count,
            _ => 0,
        };
        self.foreign = u32::from(total.in_flight).saturating_sub(told);
        self.shared_health = f32::from(total.health) / 255.0;
    }

    /// Its row for a delta, if it has changed since it was last told or `refresh` is set.
    pub(crate) fn tell(&mut self, sequence: u32, refresh: bool) -> Option<UpstreamUse> {
        let last = self.told.back().map_or(0, |(_, count)| *count);
        if last == self.own && !refresh {
            return None;
        }
        if self.told.len() == HISTORY {
            self.told.pop_front();
        }
        self.told.push_back((sequence, self.own));
        let latency = if self.answers > 0 { self.latency_ms * 10.0 } else { 0.0 };
        self.answers = 0;
        Some(UpstreamUse {
            upstream: self.key,
            in_flight: u16::try_from(self.own).unwrap_or(u16::MAX),
            latency: whole(latency),
            health: u8::try_from(whole(self.health * 255.0)).unwrap_or(u8::MAX),
        })
    }

    /// Learns from the end of an attempt.
    ///
    /// An upstream that fails fast has free slots all the time, and by counts alone it would draw
    /// the whole pool's load and fail it. Its slots shrink with each failure instead, and come
    /// back step by step, so that a flapping upstream does not swing the pool.
    pub(crate) fn learn(
        &mut self,
        outcome: AttemptOutcome,
        took: Duration,
        pool_latency_ms: f32,
        _report: Option<LoadReport>,
    ) {
        match outcome {
            AttemptOutcome::Answered => self.learn_answer(took, pool_latency_ms),
            AttemptOutcome::Shed => self.shrink(SHED_KEEPS),
            AttemptOutcome::Failed | AttemptOutcome::Unreachable | AttemptOutcome::Broken => {
                self.shrink(FAILED_KEEPS);
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    fn learn_answer(&mut self, took: Duration, pool_latency_ms: f32) {
        let took_ms = took.as_secs_f32() * 1_000.0;
        self.answers += 1;
        self.latency_ms = if self.latency_ms > 0.0 {
            self.latency_ms + LATENCY_WEIGHT * (took_ms - self.latency_ms)
        } else {
            took_ms
        };
        let slow = pool_latency_ms > 0.0 && self.latency_ms > SLOW_FACTOR * pool_latency_ms;
        if slow {
            self.shrink(SLOW_KEEPS);
        } else {
            self.health = (self.health + REGAIN).min(1.0);
        }
    }

    fn shrink(&mut self, keeps: f32) {
        self.health = (self.health * keeps).max(TRICKLE);
    }
}

/// An upstream this many times slower than its pool loses slots.
const SLOW_FACTOR: f32 = 2.5;

/// What remains usable after an answer while the upstream is slow.
const SLOW_KEEPS: f32 = 0.8;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, and that is meant"
)]
fn whole(value: f32) -> u16 {
    value.round() as u16
}
