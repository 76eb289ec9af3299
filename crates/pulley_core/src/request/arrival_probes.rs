//! Probe budget and cost estimates for choosing an upstream when a request arrives.

use std::time::Duration;

use super::LoadReport;
use crate::process::{Moment, UpstreamId};

/// Maximum number of probes that may be saved up, in seconds of the probe rate. A burst within a
/// tenth of a second may use up to that many probes, and no more.
const SAVED_SECONDS: f32 = 0.5;

/// Least number of probes that may be saved up. With fewer, no request could ever probe two
/// upstreams.
const MIN_CAPACITY: f32 = 4.0;

/// Assumed slowdown of work that takes the last slot of an upstream, before answers have shown the
/// real one. The unit is the usual answer time.
const INITIAL_COST: f32 = 0.6;

/// Lower bound of that slowdown. It keeps a preference for upstreams with more room, because other
/// entries that choose at the same moment have seen the same load reports.
const MIN_COST: f32 = 0.05;

/// Threshold below which the learned slowdown counts as clearly less than the initial estimate.
const CLEARLY_LOW: f32 = 0.35;

/// Weight of the initial estimate, in answers, and the least weight of one answer. The size of the
/// work alone spreads answer times by a third, so about thirty answers have to be averaged.
const INITIAL_WEIGHT: f32 = 3.0;
const ANSWER_WEIGHT: f32 = 0.03;

/// Assumed spread of answer times, in usual answer times. The size of the work accounts for a
/// third, and a slowdown that begins after the probe for more.
const ANSWER_SPREAD: f32 = 0.5;

/// Least number of slots from which filling the last one is assumed to lower an upstream's
/// throughput, until answers have shown otherwise. With fewer slots the last one is too large a
/// fraction of the capacity to be left free on a guess.
const MIN_HARMED_SLOTS: f32 = 4.0;

/// Fraction of its slots in use from which an upstream counts as nearly full.
const NEARLY_FULL: f32 = 0.75;

/// An upstream that was probed when a request arrived, and its load report.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeReading {
    /// The probed upstream.
    pub upstream: UpstreamId,
    /// Its load report.
    pub report: LoadReport,
}

/// Limits the rate of this entry's arrival probes to one pool.
///
/// In a burst every request would probe several upstreams just when these have the least time to
/// answer. Probes use up slot time, and more slots cannot be bought. Operators set the limit for
/// each upstream. Every entry takes its part of that limit, so all entries together keep to it
/// without coordination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalBudget {
    /// Probes per second.
    rate: f32,
    tokens: f32,
    refilled_at: Moment,
}

impl ArrivalBudget {
    pub(crate) const fn new() -> Self {
        Self { rate: 0.0, tokens: 0.0, refilled_at: Moment::ZERO }
    }

    /// Sets the rate, in probes per second.
    pub(crate) fn set_rate(&mut self, rate: f32) {
        self.rate = rate;
    }

    /// Whether more than half of the probes that may be saved up are available.
    pub(crate) fn is_ample(&self) -> bool {
        self.tokens > self.capacity() / 2.0
    }

    /// Returns how many upstreams a request probes at a time, at most `wanted`.
    ///
    /// Where many entries share a pool of few upstreams, an entry may send two and a half probes for
    /// each of its requests. When requests probed two or three at a time down to the last probe, the
    /// requests after them found none and were refused beside free slots. So a request takes all it
    /// wants only while the budget is ample and a probe is left after it. Below that it takes fewer,
    /// down to one, and probes again if the answer is bad.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a handful of probes"
    )]
    pub(crate) fn affordable(&self, wanted: usize) -> usize {
        if self.is_ample() && self.tokens >= wanted as f32 + 1.0 {
            return wanted;
        }
        let part = (2.0 * self.tokens / self.capacity().max(1.0)).min(1.0);
        let affordable = (wanted as f32 * part).min(self.tokens / 2.0);
        (affordable as usize).max(1).min(wanted)
    }

    /// Whether no probe is available at the moment.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.tokens < 1.0
    }

    /// Adds the probes gained until `now`.
    pub(crate) fn refill(&mut self, now: Moment) {
        let gained = now.since(self.refilled_at).as_secs_f32() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity());
        self.refilled_at = now;
    }

    fn capacity(&self) -> f32 {
        if self.rate > 0.0 { (self.rate * SAVED_SECONDS).max(MIN_CAPACITY) } else { 0.0 }
    }

    /// Takes up to `wanted` probes and returns how many were taken.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a handful of probes"
    )]
    pub(crate) fn take(&mut self, now: Moment, wanted: usize) -> usize {
        self.refill(now);
        let taken = (self.tokens as usize).min(wanted);
        self.tokens -= taken as f32;
        taken
    }
}

/// Learned slowdown of work that takes the last slot of one of a pool's upstreams, in usual answer
/// times.
///
/// Under peak load most free slots are last ones. Some upstreams slow down when they are full and
/// others don't. When all were assumed to slow down, upstreams of three slots that did not were
/// passed over as if they had a queue. Requests that would have been answered in time after
/// queueing for one busy slot were then refused. The weight averages some thirty answers, as the
/// size of the work varies by a third.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastSlotCost {
    cost: f32,
    /// Number of answers behind the estimate.
    answers: f32,
}

impl Default for LastSlotCost {
    fn default() -> Self {
        Self { cost: INITIAL_COST, answers: INITIAL_WEIGHT }
    }
}

impl LastSlotCost {
    /// Returns the cost of the last slot: the initial estimate, unless answers show clearly that it
    /// is less. Where the cost is high, a request that is queued because of a few quick answers
    /// comes late and makes others late.
    pub(crate) fn estimate(self) -> f32 {
        let doubt = ANSWER_SPREAD / self.answers.sqrt();
        let is_low = self.cost + 2.0 * doubt < CLEARLY_LOW;
        if is_low { (self.cost + doubt).max(MIN_COST) } else { INITIAL_COST }
    }

    /// Whether an upstream has a higher throughput with its last slot left free.
    ///
    /// A request in the last slot slows down everything that runs there. If the slowdown times the
    /// number of the other slots exceeds 1, fewer requests finish in the same time.
    fn lowers_throughput(self, slots: f32) -> bool {
        slots >= MIN_HARMED_SLOTS && self.cost * (slots - 1.0) > 1.0
    }

    /// Learns from the answer to a request that took a last slot, after `times` usual answer times.
    pub(crate) fn record(&mut self, times: f32) {
        self.answers = (self.answers + 1.0).min(1.0 / ANSWER_WEIGHT);
        let sample = (times - 1.0).clamp(-1.0, 2.0);
        self.cost += (sample - self.cost) / self.answers;
    }
}

/// Returns how long a request would take at an upstream according to its load report, in usual
/// answer times.
///
/// Noisy neighbours slow an upstream's machine down several times for a tenth of a second, and
/// other entries send requests of which this entry knows nothing. A request that is sent to a
/// slowed upstream holds its slot that many times as long. Reports older than such a slow period
/// are worthless, so upstreams are probed when a request arrives.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_cost(slots: f32, report: &LoadReport, last_slot_cost: LastSlotCost) -> f32 {
    let running = report.in_flight.map_or(report.utilization * slots, |count| count as f32);
    let waiting = report.waiting.unwrap_or(0) as f32;
    let slowdown = report.slowdown.unwrap_or(1.0).max(0.1);
    let slots = slots.max(1.0);
    let after = (running + 1.0) / slots;
    let fullness = ((after - NEARLY_FULL) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0);
    let ahead = (running + waiting + 1.0 - slots).max(0.0) / slots;
    slowdown * (1.0 + last_slot_cost.estimate() * fullness + ahead)
}

/// Returns how much a request that takes an upstream's last slot, or queues for one, delays the
/// requests running there, in usual answer times. It is zero where the upstream's throughput is
/// higher with that slot filled.
///
/// Under peak load most free slots are last ones. Upstreams of four slots that slow down by two
/// thirds when they are full have a quarter less throughput with four requests than with three.
/// Filling them turns a burst that a pool could handle into one that it cannot. The gain of one
/// request is therefore weighed against the loss of the others.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_delay_to_others(
    slots: f32,
    report: &LoadReport,
    last_slot_cost: LastSlotCost,
) -> f32 {
    let is_filled = SlotRoom::of(slots, report) != SlotRoom::Free;
    let running = report.in_flight.map_or(0.0, |count| count as f32);
    if is_filled && last_slot_cost.lowers_throughput(slots) {
        last_slot_cost.estimate() * running
    } else {
        0.0
    }
}

/// The room that a request finds at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRoom {
    /// A free slot that is not the last one, or the only slot of the upstream.
    Free,
    /// The last free slot.
    Last,
    /// No free slot: the request queues there.
    Full,
}

/// Whether an upstream has at most one slot free besides the one that a request takes.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn is_nearly_full(slots: f32, report: &LoadReport) -> bool {
    report.in_flight.map_or(0.0, |count| count as f32) + 2.0 >= slots
}

impl SlotRoom {
    /// Returns the room at an upstream according to its load report.
    pub(crate) fn of(slots: f32, report: &LoadReport) -> Self {
        let after = report.in_flight.map_or(0.0, |count| count as f32) + 1.0;
        match after {
            _ if report.waiting.unwrap_or(0) > 0 || after > slots => Self::Full,
            _ if after < slots || slots <= 1.0 => Self::Free,
            _ => Self::Last,
        }
    }
}

/// Returns how long a request would queue at an upstream for a slot, given the usual answer time.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_queueing(slots: f32, report: &LoadReport, usual: Duration) -> Duration {
    let running = report.in_flight.unwrap_or(0) as f32;
    let waiting = report.waiting.unwrap_or(0) as f32;
    let slots = slots.max(1.0);
    let ahead = (running + waiting + 1.0 - slots).max(0.0) / slots;
    usual.mul_f32(ahead * report.slowdown.unwrap_or(1.0).max(0.1))
}
