//! What one entry knows of one upstream's slots.

use std::time::Duration;

use super::{AttemptOutcome, ColdGuard, LoadReport};
use crate::process::{
    CountKey, Moment, UpstreamHealth, UpstreamNews, UpstreamPhase, UpstreamRecord,
};

/// Part of its slots that a warming upstream starts with, and how long it takes to the whole.
///
/// A cold upstream answers its first requests many times slower. With its full slots at once it
/// would collect a queue that outlasts its warming.
const COLD_PART: f32 = 0.25;
const WARMING: Duration = Duration::from_secs(4);

/// Below this usable part an upstream gets no more than a trickle.
const IMPAIRED: f32 = 0.3;

/// Time between requests that one entry sends to an impaired upstream. Each of them may fail or
/// take long; 25 entries send six a second, which is enough to see that it has recovered.
const TRICKLE_EVERY: Duration = Duration::from_secs(4);

/// For how long an upstream is taken to be gone that has not answered a question.
const SILENT_SPAN: Duration = Duration::from_secs(1);

/// In which time half of a slow pace is forgotten, in seconds; the weight of one answer in it, and
/// the most that one answer may count for.
const PACE_MEMORY_S: f32 = 2.0;
const PACE_WEIGHT: f32 = 0.3;
const PACE_LIMIT: f32 = 10.0;

/// One upstream as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSlots {
    pub(crate) key: CountKey,
    pub(crate) record: UpstreamRecord,
    /// False once it is no longer announced; it stays until its last request ends.
    pub(crate) listed: bool,
    /// Whether it is one of those of its zone that this entry asks first.
    pub(crate) in_subset: bool,
    /// This entry's own requests outstanding.
    pub(crate) own: u32,
    /// The other entries' requests outstanding, as of the newest sum.
    pub(crate) foreign: f32,
    /// Answers since the last report.
    pub(crate) news: UpstreamNews,
    health: UpstreamHealth,
    /// What all entries together find usable.
    pub(crate) shared_usable: f32,
    /// What it said of its load last, and when.
    pub(crate) reading: Option<(Moment, LoadReport)>,
    /// When it last left a question unanswered.
    unanswered: Option<Moment>,
    /// How much longer its answers take than its own word promised, and since when.
    pace: f32,
    paced_at: Moment,
    warming_since: Option<Moment>,
    /// Bounds what is sent to it while it is cold.
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

    /// Takes over a newer announcement; true if the upstream has started anew.
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

    /// Takes its own word for how slow it is at first, as what it gets is bounded otherwise.
    pub(crate) fn skip_warming(&mut self) {
        self.warming_since = None;
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self) -> bool {
        self.listed && self.record.takes_work
    }

    /// Part of its slots that is believed usable.
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

    /// How much longer its answers take than its own word promises.
    ///
    /// Some upstreams turn slow without saying so. One late answer in a row weighs little, as its
    /// work may just have been long; several keep the upstream from getting work that another can
    /// do. It is forgotten by half every few seconds, so that a recovered one is found out.
    pub(crate) fn pace(&self, now: Moment) -> f32 {
        let passed = now.since(self.paced_at).as_secs_f32();
        1.0 + (self.pace - 1.0) * (-passed / PACE_MEMORY_S).exp2()
    }

    /// Learns from an answer that took so many times what its own word promised.
    pub(crate) fn note_pace(&mut self, now: Moment, ratio: f32) {
        let pace = self.pace(now);
        self.pace = pace + PACE_WEIGHT * (ratio.clamp(1.0, PACE_LIMIT) - pace);
        self.paced_at = now;
    }

    /// Notes that it has left a question unanswered.
    pub(crate) fn note_unanswered(&mut self, now: Moment) {
        self.unanswered = Some(now);
    }

    /// Whether it has left a question unanswered lately and said nothing since.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        let Some(unanswered) = self.unanswered else { return false };
        let has_spoken = self.reading.is_some_and(|(at, _)| at >= unanswered);
        !has_spoken && now.since(unanswered) < SILENT_SPAN
    }

    /// Whether it is to be left alone for now.
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

    /// Slots it announced.
    #[expect(clippy::cast_precision_loss, reason = "slots are few")]
    pub(crate) fn slots(&self) -> f32 {
        self.record.announcement.slots.0 as f32
    }

    /// Smoothed time of its answers in milliseconds, if there were enough.
    pub(crate) fn latency_ms(&self) -> Option<f32> {
        self.health.latency_ms()
    }

    /// Learns from the end of an attempt; `pool_ms` is the usual time in the pool.
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
                // At least 1, so that many answers of half a millisecond do not add up to none.
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
