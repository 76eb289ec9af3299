//! State of one upstream's slots, as one entry sees it.

use std::time::Duration;

use super::{AttemptOutcome, ColdRateLimit, LoadReport, UpstreamLimit};
use crate::process::{
    CountKey, Moment, SendBlock, UpstreamHealth, UpstreamOutcomes, UpstreamPhase, UpstreamRecord,
    UpstreamStop,
};
use crate::version::WarmUpTerms;

/// Fraction of its slots that a warming upstream starts with, and the time until all of them are
/// used.
///
/// A cold upstream answers its first requests many times slower. If all its slots were used
/// immediately, the upstream would collect a queue that outlasts the warm-up.
const INITIAL_PART: f32 = 0.25;
const WARM_UP_RAMP: Duration = Duration::from_secs(4);

/// Usable fraction of the slots below which an upstream gets only a trickle of requests.
const IMPAIRED_PART: f32 = 0.3;

/// Interval between the requests that one entry sends to an impaired upstream. Each of them may
/// fail or take long. 25 entries send six a second, which is enough to notice a recovery.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(4);

/// How long an upstream that left a probe unanswered counts as silent.
const SILENT_SPAN: Duration = Duration::from_secs(1);

/// Half-life of the latency ratio in seconds, the weight of one answer, and the largest ratio that
/// one answer may count for.
const RATIO_HALF_LIFE_S: f32 = 2.0;
const RATIO_WEIGHT: f32 = 0.3;
const MAX_RATIO: f32 = 10.0;

/// One upstream as one entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub(crate) key: CountKey,
    pub(crate) record: UpstreamRecord,
    /// False once the upstream is no longer announced. It is kept until its last request ends.
    pub(crate) listed: bool,
    /// Whether the upstream belongs to the subset of its zone that this entry probes first.
    pub(crate) in_subset: bool,
    /// This entry's own outstanding requests.
    pub(crate) own: u32,
    /// The other entries' outstanding requests, as of the newest sum.
    pub(crate) others: f32,
    /// Answers and failures since the last report.
    pub(crate) outcomes: UpstreamOutcomes,
    health: UpstreamHealth,
    /// The usable fraction of its slots according to all entries together.
    pub(crate) shared_usable: f32,
    /// The upstream's last load report and when it arrived.
    pub(crate) last_report: Option<(Moment, LoadReport)>,
    /// When the upstream last left a probe unanswered.
    unanswered_at: Option<Moment>,
    /// Ratio of its answer times to those that its load reports promise, and when it was last
    /// updated.
    latency_ratio: f32,
    ratio_updated: Moment,
    warming_since: Option<Moment>,
    /// Rate limit while the upstream is cold.
    pub(crate) cold: ColdRateLimit,
    /// The request limit that the upstream names.
    pub(crate) limit: UpstreamLimit,
    next_trickle_at: Moment,
    /// What the upstream has asked of this host.
    stop: UpstreamStop,
    /// Whether this entry counts it as resting. It does so for somewhat longer than asked.
    is_resting: bool,
    /// The requests that this entry may have outstanding there, from the end of a rest until so many
    /// have been answered that this no longer matters.
    returning: Option<u32>,
}

impl UpstreamState {
    pub(crate) fn new(now: Moment, record: &UpstreamRecord) -> Self {
        let cold = record.announcement.phase == UpstreamPhase::Warming;
        Self {
            key: CountKey::of(record.announcement.id.as_str()),
            record: record.clone(),
            listed: true,
            in_subset: false,
            own: 0,
            others: 0.0,
            outcomes: UpstreamOutcomes::default(),
            health: UpstreamHealth::new(now),
            shared_usable: 1.0,
            last_report: None,
            unanswered_at: None,
            latency_ratio: 1.0,
            ratio_updated: now,
            warming_since: cold.then_some(now),
            cold: ColdRateLimit::default(),
            limit: UpstreamLimit::default(),
            next_trickle_at: now,
            stop: UpstreamStop::default(),
            is_resting: false,
            returning: None,
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
            self.last_report = None;
            self.unanswered_at = None;
            self.latency_ratio = 1.0;
            self.cold = ColdRateLimit::default();
            self.limit = UpstreamLimit::default();
            self.stop = UpstreamStop::default();
            self.is_resting = false;
            self.returning = None;
        }
        self.record = record.clone();
        self.listed = true;
        restarted
    }

    /// Disables the assumed warm-up ramp, for pools where the rate to a cold upstream is limited in
    /// another way.
    pub(crate) fn skip_ramp(&mut self) {
        self.warming_since = None;
    }

    /// Whether the upstream takes part in the choice: it takes work and is not at rest.
    pub(crate) fn takes_work(&self) -> bool {
        !self.has_departed() && !self.is_resting
    }

    /// Returns why no request may be sent now, if that is so.
    pub(crate) fn send_block(
        &self,
        now: Moment,
        warm_up: Option<WarmUpTerms>,
    ) -> Option<SendBlock> {
        self.send_block_if(now, self.cold.is_blocked(now, warm_up))
    }

    /// Returns why no request may be sent now, where a report says whether the rate for cold upstreams
    /// forbids it.
    pub(crate) fn send_block_if(&self, now: Moment, is_cold_blocked: bool) -> Option<SendBlock> {
        if self.has_departed() {
            Some(SendBlock::Departed)
        } else if self.is_resting {
            Some(SendBlock::Resting(self.stop.rest_until))
        } else if self.returning.is_some_and(|allowed| self.own >= allowed) {
            Some(SendBlock::Returning)
        } else if is_cold_blocked {
            Some(SendBlock::Cold)
        } else {
            self.limit.is_blocked(now).then_some(SendBlock::Limited)
        }
    }

    fn has_departed(&self) -> bool {
        !self.listed || !self.record.takes_work || self.stop.departs
    }

    /// Returns when the upstream's rest ends, if it rests and takes work after it.
    pub(crate) fn rest_ends_at(&self) -> Option<Moment> {
        (self.is_resting && !self.has_departed()).then_some(self.stop.rest_until)
    }

    /// Learns what the upstream has asked of this host.
    pub(crate) fn apply_stop(&mut self, now: Moment, stop: UpstreamStop) {
        self.is_resting = now < stop.rest_until;
        self.stop = stop;
    }

    /// Ends a rest that is over. Until they are answered, only few requests follow: other hosts come
    /// back at about the same time.
    pub(crate) fn end_rest(&mut self, now: Moment) {
        if self.is_resting && self.stop.rest_until <= now {
            self.is_resting = false;
            self.returning = Some(1);
        }
    }

    /// Returns the fraction of its slots that is considered usable.
    pub(crate) fn usable_part(&self, now: Moment) -> f32 {
        let part = self.health.usable(now).min(self.shared_usable);
        match self.warming_since {
            Some(since) if now.since(since) < WARM_UP_RAMP => {
                let warmed = now.since(since).as_secs_f32() / WARM_UP_RAMP.as_secs_f32();
                part.min(INITIAL_PART + (1.0 - INITIAL_PART) * warmed)
            }
            _ => part,
        }
    }

    /// Returns the ratio of its answer times to those that its load reports promise.
    ///
    /// Some upstreams turn slow without reporting it. A single late answer weighs little, as its
    /// work may just have been long. Several late answers keep away work that another upstream can
    /// do. The ratio decays by half every few seconds, so that a recovery is noticed.
    pub(crate) fn latency_ratio(&self, now: Moment) -> f32 {
        let passed = now.since(self.ratio_updated).as_secs_f32();
        1.0 + (self.latency_ratio - 1.0) * (-passed / RATIO_HALF_LIFE_S).exp2()
    }

    /// Learns from an answer that took `ratio` times as long as the load report promised.
    pub(crate) fn record_latency_ratio(&mut self, now: Moment, ratio: f32) {
        let latency_ratio = self.latency_ratio(now);
        self.latency_ratio =
            latency_ratio + RATIO_WEIGHT * (ratio.clamp(1.0, MAX_RATIO) - latency_ratio);
        self.ratio_updated = now;
    }

    /// Records that the upstream has left a probe unanswered.
    pub(crate) fn record_probe_timeout(&mut self, now: Moment) {
        self.unanswered_at = Some(now);
    }

    /// Whether the upstream left a probe unanswered recently and has reported nothing since.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        let Some(unanswered_at) = self.unanswered_at else { return false };
        let has_reported = self.last_report.is_some_and(|(at, _)| at >= unanswered_at);
        !has_reported && now.since(unanswered_at) < SILENT_SPAN
    }

    /// Whether the upstream should get no request for now.
    pub(crate) fn is_paused(&self, now: Moment, usable_part: f32) -> bool {
        usable_part < IMPAIRED_PART && now < self.next_trickle_at
    }

    /// Counts a request that starts.
    pub(crate) fn start(&mut self, now: Moment) {
        self.own += 1;
        if let Some((_, report)) = &mut self.last_report {
            report.in_flight = report.in_flight.map(|count| count + 1);
        }
        if self.usable_part(now) < IMPAIRED_PART {
            self.next_trickle_at = now + TRICKLE_INTERVAL;
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

    /// Lets more requests follow after a rest once one is answered, and few again after a failure.
    fn record_return(&mut self, outcome: AttemptOutcome) {
        let Some(allowed) = self.returning else { return };
        let slots = self.record.announcement.slots.0;
        self.returning = match outcome {
            AttemptOutcome::Answered => Some(2 * allowed).filter(|allowed| *allowed < slots),
            AttemptOutcome::Cancelled => Some(allowed),
            _ => Some(1),
        };
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
        self.record_return(outcome);
        let mut outcomes = UpstreamOutcomes::default();
        match outcome {
            AttemptOutcome::Answered => {
                outcomes.answers = 1;
                // At least 1, so that many answers of half a millisecond do not add up to zero.
                outcomes.total_ms = u16::try_from(took.as_millis()).unwrap_or(u16::MAX).max(1);
            }
            AttemptOutcome::Rested | AttemptOutcome::Cancelled => return,
            AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken => outcomes.failures = 1,
        }
        self.health.record(now, &outcomes, pool_ms);
        self.outcomes.add(&outcomes);
    }
}
