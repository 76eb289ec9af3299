//! The choice of an upstream by counts of outstanding requests.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::UpstreamTable;
use crate::process::{Moment, UpstreamId, ZoneName};

/// Maximum number of upstreams compared in one choice, however fresh the counts are. Comparing more
/// costs more than it gains.
const MAX_CANDIDATES: usize = 3;

/// Upstreams compared when the counts are too old to be useful.
const MIN_CANDIDATES: usize = 2;

/// Ranking penalty of an upstream that has left a probe unanswered, in outstanding requests at one
/// slot. It causes no refusals: where this host's own link is full, all upstreams are silent.
const SILENT_PENALTY: f32 = 4.0;

/// Ranking penalty of another zone, in outstanding requests at one slot.
const ZONE_PENALTY: f32 = 0.05;

/// Assumed usual answer time in milliseconds, before any is known.
const DEFAULT_ANSWER_MS: f32 = 20.0;

/// A freed slot is not refilled at once if its upstream's load per slot exceeds the pool's by this
/// factor.
const OVERLOAD_FACTOR: f32 = 1.5;

/// The inputs of a choice besides the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamChoice<'a> {
    pub(crate) now: Moment,
    /// The entry's own zone.
    pub(crate) zone: &'a ZoneName,
    /// Upstreams that were tried before.
    pub(crate) avoid: &'a [UpstreamId],
    /// Age of the counts; `None` without a coordinator.
    pub(crate) age: Option<Duration>,
    /// Maximum number of outstanding requests of all entries per usable slot of an upstream.
    pub(crate) overcommit: f32,
    /// Maximum number of outstanding requests of this entry per usable slot of an upstream.
    pub(crate) own_overcommit: f32,
}

impl UpstreamTable {
    /// Chooses the least loaded upstream for its size among a few candidates, if any is below its
    /// limit.
    ///
    /// With fresh counts, comparing more upstreams finds a better one. With old counts every entry
    /// would choose the same few upstreams that were idle when the sum was made, and overload them.
    /// So the older the counts, the fewer upstreams are compared, and the less the counts weigh
    /// against the pool's mean. If all candidates are full, the remaining upstreams are examined as
    /// well, because a request that waits beside a free slot is pure loss.
    pub(crate) fn choose(&self, rng: &mut SmallRng, choice: &UpstreamChoice<'_>) -> Option<usize> {
        if self.available.is_empty() {
            return None;
        }
        let freshness = self.freshness(choice.age);
        let wanted = candidates(freshness);
        if wanted < self.available.len() {
            let sampled =
                (0..wanted).map(|_| self.available[rng.random_range(0..self.available.len())]);
            let best = self.best(choice, freshness, sampled);
            if best.is_some() {
                return best;
            }
        }
        let first = rng.random_range(0..self.available.len());
        let (head, tail) = self.available.split_at(first);
        self.best(choice, freshness, tail.iter().chain(head).copied())
    }

    /// Whether an upstream may get the next request and is not loaded far above the others.
    pub(crate) fn is_normally_loaded(&self, choice: &UpstreamChoice<'_>, index: usize) -> bool {
        if !self.states[index].takes_work() {
            return false;
        }
        let usual = (self.outstanding / self.usable_slots.max(1.0)).max(1.0);
        let score = self.score(choice, self.freshness(choice.age), index);
        score.is_some_and(|score| score <= usual * OVERLOAD_FACTOR)
    }

    /// Returns the weight of the counts, from 1 to 0. Requests end and others start, and after one
    /// usual answer time two thirds of what was counted is gone.
    fn freshness(&self, age: Option<Duration>) -> f32 {
        let Some(age) = age else { return 0.0 };
        let median_latency_ms =
            if self.median_latency_ms > 0.0 { self.median_latency_ms } else { DEFAULT_ANSWER_MS };
        (-age.as_secs_f32() * 1_000.0 / median_latency_ms).exp()
    }

    fn best(
        &self,
        choice: &UpstreamChoice<'_>,
        freshness: f32,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        for index in candidates {
            let Some(score) = self.score(choice, freshness, index) else { continue };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the load per usable slot after one more request, or `None` if that is above the
    /// limit.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn score(&self, choice: &UpstreamChoice<'_>, freshness: f32, index: usize) -> Option<f32> {
        let state = &self.states[index];
        let part = state.usable_part(choice.now).max(self.part_floor);
        let usable = state.slots() * part;
        let usual = self.others_per_slot * usable;
        let load = state.own as f32 + usual + (state.others - usual) * freshness;
        // The entry's own outstanding requests are known exactly, whatever the age of the counts.
        if state.own as f32 >= (usable * choice.own_overcommit).max(1.0)
            || load >= (usable * choice.overcommit).max(1.0)
            || state.is_paused(choice.now, part)
            || state.send_block(choice.now, self.warm_up).is_some()
            || choice.avoid.contains(&state.record.announcement.id)
        {
            return None;
        }
        let away = if state.record.announcement.zone == *choice.zone { 0.0 } else { ZONE_PENALTY };
        let silent = if state.is_silent(choice.now) { SILENT_PENALTY } else { 0.0 };
        Some((load + 1.0) / usable + away + silent)
    }
}

fn candidates(freshness: f32) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a small range"
    )]
    let count = (MAX_CANDIDATES as f32 * freshness).round() as usize;
    count.clamp(MIN_CANDIDATES, MAX_CANDIDATES)
}
