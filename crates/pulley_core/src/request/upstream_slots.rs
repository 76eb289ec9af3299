//! State of one upstream's slots, as one entry sees it.

use std::time::Duration;

use super::{AttemptOutcome, ColdGuard, LoadReport};
use crate::process::{
    CountKey, Moment, UpstreamHealth, UpstreamNews, UpstreamPhase, UpstreamRecord,
};

/// Part of its slots that a warming upstream starts with, and the time until all of them are used.
///
/// A cold upstream answers its first requests many times slower. If all its slots were used at
/// once, it would collect a queue that outlasts the warm-up.
const COLD_PART: f32 = 0.25;
const WARMING: Duration = Duration::from_secs(4);

/// Usable part of the slots below which an upstream gets only a trickle of requests.
const IMPAIRED: f32 = 0.3;

/// Interval between the requests that one entry sends to an impaired upstream. Each of them may
/// fail or take long. 25 entries send six a second, which is enough to notice a recovery.
const TRICKLE_EVERY: Duration = Duration::from_secs(4);

/// How long an upstream that left a probe unanswered counts as silent.
const SILENT_SPAN: Duration = Duration::from_secs(1);

/// Half-life in seconds of the pace (measured against promised answer time), the weight of one
/// answer, and the largest ratio that one answer may count for.
const PACE_MEMORY_S: f32 = 2.0;
const PACE_WEIGHT: f32 = 0.3;
const PACE_LIMIT: f32 = 10.0;

/// One upstream as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSlots {
    pub(crate) key: CountKey,
    pub(crate) record: UpstreamRecord,
    /// False once the upstream is no longer announced. It is kept until its last request ends.
    pub(crate) listed: bool,
    /// Whether the upstream belongs to the subset of its zone that this entry probes first.
    pub(crate) in_subset: bool,
    /// This entry's own outstanding requests.
    pub(crate) own: u32,
    /// The other entries' outstanding requests, as of the newest sum.
    pub(crate) foreign: f32,
    /// Answers and failures since the last report.
    pub(crate) news: UpstreamNews,
    health: UpstreamHealth,
    /// The usable part according to all entries together.
    pub(crate) shared_usable: f32,
    /// The upstream's last load report and when it arrived.
    pub(crate) reading: Option<(Moment, LoadReport)>,
    /// When the upstream last left a probe unanswered.
    unanswered: Option<Moment>,
    /// Ratio of its answer times to those that its load reports promise, and when it was last
    /// updated.
    pace: f32,
    paced_at: Moment,
    warming_since: Option<Moment>,
    /// Rate limit while the upstream is cold.
    pub(crate) cold: ColdGuard,
    trickle_at: Moment,
}

impl UpstreamSlots {
    pub(crate) fn new(now: Moment, record: &UpstreamRecord) -> Self {
        let cold = record.announcement.phase == UpstreamPhase::Warming;
        Self {
            key: CountKey::of(record.announcement.id.as_str()),
            record: record.clone(),
            listed: true,
            in_subset: false,
            own: 0,
            foreign: 0.0,
            news: UpstreamNews::default(),
            health: UpstreamHealth::new(now),
            shared_usable: 1.0,
            reading: None,
            unanswered: None,
            pace: 1.0,
            paced_at: now,
            warming_since: cold.then_some(now),
            cold: ColdGuard::default(),
            trickle_at: now,
        }
    }

    /// Applies a newer announcement. Returns true if the upstream has restarted.
    pub(crate) fn update(&mut self, now: Moment, record: &UpstreamRecord) -> bool {
        let restarted = record.announcement.incarnation > self.record.announcement.incarnation;
        if restarted {
            let cold = record.announcement.phase == UpstreamPhase::Warming;
            self.warming_since = cold.then_some(now);
            self.health = UpstreamHealth::new(now);
            self.shared_usable = 1.0;
            self.reading = None;
            self.unanswered = None;
            self.pace = 1.0;
            self.cold = ColdGuard::default();
        }
        self.record = record.clone();
        self.listed = true;
        restarted
    }

    /// Disables the assumed warm-up ramp, for pools where the rate to a cold upstream is limited in
    /// another way.
    pub(crate) fn skip_warming(&mut self) {
        self.warming_since = None;
    }

    /// Whether new requests may go to the upstream.
    pub(crate) fn takes_work(&self) -> bool {
        self.listed && self.record.takes_work
    }

    /// Returns the part of its slots that is considered usable.
    pub(crate) fn usable_part(&self, now: Moment) -> f32 {
        let part = self.health.usable(now).min(self.shared_usable);
        match self.warming_since {
            Some(since) if now.since(since) < WARMING => {
                let warmed = now.since(since).as_secs_f32() / WARMING.as_secs_f32();
                part.min(COLD_PART + (1.0 - COLD_PART) * warmed)
            }
            _ => part,
        }
    }

    /// Returns the ratio of its answer times to those that its load reports promise.
    ///
    /// Some upstreams turn slow without reporting it. A single late answer weighs little, as its
    /// work may just have been long. Several late answers keep away work that another upstream can
    /// do. The ratio decays by half every few seconds, so that a recovery is noticed.
    pub(crate) fn pace(&self, now: Moment) -> f32 {
        let passed = now.since(self.paced_at).as_secs_f32();
        1.0 + (self.pace - 1.0) * (-passed / PACE_MEMORY_S).exp2()
    }

    /// Learns from an answer that took `ratio` times as long as the load report promised.
    pub(crate) fn note_pace(&mut self, now: Moment, ratio: f32) {
        let pace = self.pace(now);
        self.pace = pace + PACE_WEIGHT * (ratio.clamp(1.0, PACE_LIMIT) - pace);
        self.paced_at = now;
    }

    /// Records that the upstream has left a probe unanswered.
    pub(crate) fn note_unanswered(&mut self, now: Moment) {
        self.unanswered = Some(now);
    }

    /// Whether the upstream left a probe unanswered recently and has reported nothing since.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        let Some(unanswered) = self.unanswered else { return false };
        let has_spoken = self.reading.is_some_and(|(at, _)| at >= unanswered);
        !has_spoken && now.since(unanswered) < SILENT_SPAN
    }

    /// Whether the upstream should get no request for now.
    pub(crate) fn rests(&self, now: Moment, usable_part: f32) -> bool {
        usable_part < IMPAIRED && now < self.trickle_at
    }

    /// Counts a request that starts.
    pub(crate) fn start(&mut self, now: Moment) {
        self.own += 1;
        if let Some((_, report)) = &mut self.reading {
            report.in_flight = report.in_flight.map(|count| count + 1);
        }
        if self.usable_part(now) < IMPAIRED {
            self.trickle_at = now + TRICKLE_EVERY;
        }
    }

    /// Returns the number of announced slots.
    #[expect(clippy::cast_precision_loss, reason = "slots are few")]
    pub(crate) fn slots(&self) -> f32 {
        self.record.announcement.slots.0 as f32
    }

    /// Returns the smoothed answer time in milliseconds, once there are enough answers.
    pub(crate) fn latency_ms(&self) -> Option<f32> {
        self.health.latency_ms()
    }

    /// Records the end of an attempt. `pool_ms` is the usual answer time in the pool.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        outcome: AttemptOutcome,
        took: Duration,
        pool_ms: f32,
    ) {
        self.own = self.own.saturating_sub(1);
        let mut news = UpstreamNews::default();
        match outcome {
            AttemptOutcome::Answered => {
                news.answers = 1;
                // At least 1, so that many answers of half a millisecond do not add up to zero.
                news.total_ms = u16::try_from(took.as_millis()).unwrap_or(u16::MAX).max(1);
            }
            AttemptOutcome::Cancelled => return,
            AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken => news.failures = 1,
        }
        self.health.note(now, &news, pool_ms);
        self.news.add(&news);
    }
}
