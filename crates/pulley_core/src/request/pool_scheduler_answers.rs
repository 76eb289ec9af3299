//! Learning from answers: how long a kind's work takes, and what a last slot costs.

use std::time::Duration;

use super::arrival_probes::SlotRoom;
use super::pool_scheduler::RunningRequest;
use super::{LoadReport, PoolScheduler};
use crate::process::Moment;

/// Assumed fraction of a request's time during which its upstream was full, if the upstream had
/// more than its last slot free at the start and was full at the end.
const FULL_TIME_PART: f32 = 0.5;

/// The fraction of a kind's target that its work is assumed to need before answers have shown it.
const TARGET_PART: f32 = 0.35;

/// Weight of one answer in a kind's smoothed time, and the largest multiple of that time that one
/// answer may count for. A slowdown that began after the probe says nothing about the work itself.
const BASE_WEIGHT: f32 = 0.1;
const MAX_BASE_RATIO: f32 = 2.0;

impl PoolScheduler {
    /// Returns how long a kind's work takes at an upstream that nothing slows down.
    pub(super) fn base_time(&self, kind_index: usize) -> Duration {
        let kind = self.shares.kind(kind_index);
        if kind.base_ms > 0.0 {
            return Duration::from_secs_f32(kind.base_ms / 1_000.0);
        }
        kind.target.map_or_else(|| self.usual(), |target| target.mul_f32(TARGET_PART))
    }

    /// Learns from an answer how long a kind's work takes where nothing slows it down.
    fn record_base(&mut self, kind_index: usize, cost: f32, took: Duration) {
        let kind = self.shares.kind_mut(kind_index);
        let sample = took.as_secs_f32() * 1_000.0 / cost;
        if kind.base_ms <= 0.0 {
            kind.base_ms =
                kind.target.map_or(sample, |target| target.as_secs_f32() * 1_000.0 * TARGET_PART);
        }
        kind.base_ms += BASE_WEIGHT * (sample.min(kind.base_ms * MAX_BASE_RATIO) - kind.base_ms);
    }

    /// Whether an upstream was full until a request ended, by a report that no longer counts that
    /// request.
    fn was_filled(&self, index: usize, report: Option<LoadReport>) -> bool {
        let slots = self.upstreams.at(index).slots();
        report.is_some_and(|report| SlotRoom::of(slots, &report) != SlotRoom::Free)
    }

    /// Learns from an answer how long the kind's work takes, and how accurate the upstream's load
    /// report was.
    pub(super) fn record_answer(
        &mut self,
        now: Moment,
        kind_index: usize,
        running: &RunningRequest,
        report: Option<LoadReport>,
    ) {
        let Some(cost) = running.cost else { return };
        let took = now.since(running.started);
        let expected = self.base_time(kind_index).as_secs_f32() * cost;
        let state = self.upstreams.at_mut(running.upstream);
        state.record_latency_ratio(now, took.as_secs_f32() / expected);
        // The base time and the cost of the last slot are learned from different answers. If both
        // were learned from the same ones, either estimate would compensate for the error of the
        // other.
        match running.room {
            // The cost of a last slot can be learned without taking one: another request has taken
            // the last slot while this one was running.
            Some(SlotRoom::Free)
                if running.was_nearly_full && self.was_filled(running.upstream, report) =>
            {
                let longer = (took.as_secs_f32() / expected - 1.0) / FULL_TIME_PART;
                self.last_slot_cost.record(1.0 + longer);
            }
            Some(SlotRoom::Free) => self.record_base(kind_index, cost, took),
            Some(SlotRoom::Last) => {
                let usual = expected / (1.0 + self.last_slot_cost.estimate());
                self.last_slot_cost.record(took.as_secs_f32() / usual);
            }
            Some(SlotRoom::Full) | None => {}
        }
    }
}
