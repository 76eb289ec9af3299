//! How long requests wait, and the refusal of those that would wait too long.

use std::time::Duration;

use super::pool_scheduler::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, refusal};
use super::{PoolScheduler, RefusalCause, SchedulerEffects};
use crate::process::Moment;

/// Time that must be left when a request starts, in usual answer times. One answer in 30 takes
/// longer.
const MIN_TIMES_LEFT: f32 = 3.0;

/// Weight of one start in the smoothed time between starts.
const GAP_WEIGHT: f32 = 0.1;

impl PoolScheduler {
    /// Returns how long a request would wait, from the number of its kind ahead of it and the
    /// recent start rate of the kind. That rate already reflects what priorities and shares leave
    /// to the kind.
    pub(super) fn expected_wait(&self, kind_index: usize, deadline: Moment) -> Duration {
        self.wait_behind(kind_index, self.queue.ahead_of(kind_index, deadline))
    }

    /// Returns the time until a refused caller may come back: the expected time until the requests
    /// that wait now have started.
    pub(super) fn retry_after(&self, kind_index: usize) -> Duration {
        self.wait_behind(kind_index, self.queue.len_of(kind_index))
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
    fn wait_behind(&self, kind_index: usize, ahead: usize) -> Duration {
        let wait_ms = self.shares.kind(kind_index).start_gap_ms * ahead as f32;
        Duration::from_secs_f32(wait_ms / 1_000.0)
    }

    /// Refuses waiting requests that can no longer be answered in time. Their callers are refused
    /// while there is still time to act, and no slot is spent on an answer that no caller waits
    /// for.
    pub(super) fn refuse_late(&mut self, now: Moment, effects: &mut SchedulerEffects) {
        let usual = self.usual();
        for kind_index in self.queue.waiting().to_vec() {
            while let Some(first) = self.queue.first(kind_index) {
                if first.ticket.deadline - usual > now {
                    break;
                }
                let number = first.ticket.number;
                self.queue.remove(number);
                effects.push(refusal(
                    number,
                    RefusalCause::DeadlineTooClose,
                    self.retry_after(kind_index),
                ));
            }
        }
    }

    pub(super) fn record_start_gap(&mut self, now: Moment, kind_index: usize, arrived: Moment) {
        let kind = self.shares.kind_mut(kind_index);
        let since = kind.last_start.map_or(arrived, |last| last.max(arrived));
        kind.last_start = Some(now);
        // A request that starts on arrival says nothing about how fast a queue moves.
        if now == arrived {
            return;
        }
        let gap_ms = now.since(since).as_secs_f32() * 1_000.0;
        kind.start_gap_ms += GAP_WEIGHT * (gap_ms - kind.start_gap_ms);
    }

    /// Returns the usual answer time: the median over the pool's upstreams, or zero if unknown.
    pub(super) fn usual(&self) -> Duration {
        Duration::from_secs_f32(self.upstreams.median_latency_ms() / 1_000.0)
    }

    /// Returns the time that must be left when a request starts.
    pub(super) fn min_time_left(&self) -> Duration {
        self.usual().mul_f32(MIN_TIMES_LEFT)
    }
}
