//! One pool's upstreams as one entry sees them, and the choice among them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::UpstreamSlots;
use crate::process::{FastMap, UpstreamId, UpstreamRecord, ZoneName};

/// Counts this fresh are compared over every upstream.
const FRESH_AGE: Duration = Duration::from_millis(25);

/// Upstreams looked at, at most, however fresh the counts are: beyond that the choice costs
/// more than it gains.
const MOST_CANDIDATES: usize = 16;

/// What going to another zone costs, in requests outstanding at one slot.
const ZONE_COST: f32 = 0.1;

/// The upstreams of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamTable {
    slots: Vec<UpstreamSlots>,
    by_id: FastMap<UpstreamId, usize>,
    open: Vec<usize>,
}

impl UpstreamTable {
    /// Replaces the announced upstreams. One that is no longer announced stays until its last
    /// request ends, so that its counts stay true.
    pub(crate) fn apply(
        &mut self,
        records: &[UpstreamRecord],
        mut link: impl FnMut(&ZoneName) -> usize,
    ) {
        for slots in &mut self.slots {
            slots.listed = false;
        }
        for record in records {
            let id = &record.announcement.id;
            match self.by_id.get(id) {
                Some(index) => self.slots[*index].update(record),
                None => self.insert(UpstreamSlots::new(record, link(&record.announcement.zone))),
            }
        }
        self.open = (0..self.slots.len()).filter(|i| self.slots[*i].takes_work()).collect();
    }

    pub(crate) fn at_mut(&mut self, index: usize) -> &mut UpstreamSlots {
        &mut self.slots[index]
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut UpstreamSlots> {
        self.slots.iter_mut()
    }

    /// Upstreams that take work.
    pub(crate) fn open(&self) -> impl Iterator<Item = &UpstreamSlots> {
        self.open.iter().map(|index| &self.slots[*index])
    }

    /// Whether no upstream takes work.
    pub(crate) fn is_closed(&self) -> bool {
        self.open.is_empty()
    }

    /// The mean of the upstreams' times of answers, in milliseconds; 0 if nothing is known.
    pub(crate) fn latency_ms(&self) -> f32 {
        let known: Vec<f32> = self.open().filter_map(UpstreamSlots::latency_ms).collect();
        if known.is_empty() {
            return 0.0;
        }
        let mut sorted = known;
        sorted.sort_by(f32::total_cmp);
        sorted[sorted.len() / 2]
    }

    /// Chooses the upstream with the least load for its size among a few, if any is below its
    /// bound.
    ///
    /// With fresh counts the best of many is the best. With old ones every entry would choose the
    /// same few that were idle when the sum was made, and pile up there; so the older the counts,
    /// the fewer are compared. If all that were looked at are full, the rest is looked through,
    /// because a request that waits beside a free slot is pure loss.
    pub(crate) fn choose(&self, rng: &mut SmallRng, choice: &UpstreamChoice<'_>) -> Option<usize> {
        if self.open.is_empty() {
            return None;
        }
        let wanted = candidates(choice.age);
        if wanted < self.open.len() {
            let sampled = (0..wanted).map(|_| self.open[rng.random_range(0..self.open.len())]);
            let best = self.best(choice, sampled);
            if best.is_some() {
                return best;
            }
        }
        let first = rng.random_range(0..self.open.len());
        let (head, tail) = self.open.split_at(first);
        self.best(choice, tail.iter().chain(head).copied())
    }

    fn best(
        &self,
        choice: &UpstreamChoice<'_>,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        for index in candidates {
            let Some(score) = self.score(choice, index) else { continue };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Load after one more request, by usable slot; none if that is above the bound.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn score(&self, choice: &UpstreamChoice<'_>, index: usize) -> Option<f32> {
        let slots = &self.slots[index];
        let usable = slots.usable();
        let load = slots.load() as f32;
        if load >= (usable * choice.slack).max(1.0)
            || choice.avoid.contains(&slots.record.announcement.id)
        {
            return None;
        }
        let away = if slots.record.announcement.zone == *choice.zone { 0.0 } else { ZONE_COST };
        Some((load + 1.0) / usable + away)
    }

    fn insert(&mut self, slots: UpstreamSlots) {
        let id = slots.record.announcement.id.clone();
        let unused = self.slots.iter().position(|old| !old.listed && old.own == 0);
        let index = unused.unwrap_or(self.slots.len());
        if let Some(index) = unused {
            self.by_id.remove(&self.slots[index].record.announcement.id);
            self.slots[index] = slots;
        } else {
            self.slots.push(slots);
        }
        self.by_id.insert(id, index);
    }
}

/// What a choice depends on besides the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamChoice<'a> {
    /// The entry's own zone.
    pub(crate) zone: &'a ZoneName,
    /// Upstreams that were tried before.
    pub(crate) avoid: &'a [UpstreamId],
    /// How old the counts are; none without a coordinator.
    pub(crate) age: Option<Duration>,
    /// Requests allowed outstanding for each usable slot.
    pub(crate) slack: f32,
}

fn candidates(age: Option<Duration>) -> usize {
    let Some(age) = age else { return 2 };
    let ratio = FRESH_AGE.as_secs_f32() / age.as_secs_f32().max(0.001);
    let many = ratio * 8.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a small range"
    )]
    let many = many as usize;
    many.clamp(2, MOST_CANDIDATES)
}
