//! Which upstreams are asked how loaded they are when a request arrives, and whom that favours.

use std::time::Duration;

use super::LoadReport;
use crate::process::{Moment, UpstreamId};

/// Probes that may be saved up, as a part of a second's: a burst of requests within a tenth of a
/// second may probe at the rate of a whole second, and no more.
const SAVED_PART: f32 = 0.5;

/// Least probes that may be saved up; with fewer, no request could ever ask two upstreams.
const LEAST_SAVED: f32 = 4.0;

/// How much longer work is taken to need in the last slot of an upstream, in usual times, before
/// answers have shown it.
const FIRST_FILLING: f32 = 0.6;

/// The least it is taken to need: an upstream with more room is preferred, since whoever else
/// chooses at the same moment has seen the same figures.
const LEAST_FILLING: f32 = 0.05;

/// Below which it counts as less than the first figure.
const CLEARLY_LESS: f32 = 0.35;

/// How many answers the first figure weighs as much as, and the least weight of one answer: the size
/// of the work alone spreads answers by a third, so that some thirty have to be averaged.
const FIRST_WEIGHS: f32 = 3.0;
const FILLING_WEIGHT: f32 = 0.03;

/// How far apart answers are taken to be, in usual times: a third by the size of the work, and more
/// where a spell has begun after the probe.
const ANSWER_SPREAD: f32 = 0.5;

/// From how many slots on an upstream is taken to do less with the last one filled, until answers have
/// shown otherwise. With fewer slots the last is too large a part to be left free on a guess.
const HARMED_SLOTS: f32 = 4.0;

/// From which part of its slots on an upstream counts as nearly full.
const NEARLY_FULL: f32 = 0.75;

/// An upstream that was asked when a request arrived, and what it said.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeReading {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// What it said of its load.
    pub report: LoadReport,
}

/// Bounds the probes that this entry makes of one pool.
///
/// Load it is for: bursts, when every request would ask several upstreams just as they have the
/// least time for it. Harm: probing takes the time of slots that cannot be bought. Reason for the
/// limit: it is the operators' own figure for each upstream, of which every entry takes its part,
/// so that all entries together keep to it without agreeing on anything.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalBudget {
    /// Probes a second.
    rate: f32,
    saved: f32,
    filled: Moment,
}

impl ArrivalBudget {
    pub(crate) const fn new() -> Self {
        Self { rate: 0.0, saved: 0.0, filled: Moment::ZERO }
    }

    /// Sets the rate, in probes a second.
    pub(crate) fn set_rate(&mut self, rate: f32) {
        self.rate = rate;
    }

    /// Whether there are probes to spare: more than half of those that may be saved up.
    pub(crate) fn is_ample(&self) -> bool {
        self.saved > self.most() / 2.0
    }

    /// Whether nobody can be asked any more for the moment.
    pub(crate) fn is_spent(&self) -> bool {
        self.saved < 1.0
    }

    /// Adds what has been gained until a moment.
    pub(crate) fn fill(&mut self, now: Moment) {
        let gained = now.since(self.filled).as_secs_f32() * self.rate;
        self.saved = (self.saved + gained).min(self.most());
        self.filled = now;
    }

    fn most(&self) -> f32 {
        if self.rate > 0.0 { (self.rate * SAVED_PART).max(LEAST_SAVED) } else { 0.0 }
    }

    /// Takes up to `wanted` probes; returns how many.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a handful of probes"
    )]
    pub(crate) fn take(&mut self, now: Moment, wanted: usize) -> usize {
        self.fill(now);
        let taken = (self.saved as usize).min(wanted);
        self.saved -= taken as f32;
        taken
    }
}

/// How much longer work takes at a pool's upstreams when it takes their last slot, in usual times.
///
/// Load it is for: rushes, in which most free slots are last ones. Harm: some upstreams slow down
/// when they are full and others don't. Taken to slow down, upstreams of three slots that did not
/// were passed over and waited for as if they had a queue, and requests were refused that one place
/// behind a busy slot would have answered in time. Reason for the limits: the weight averages some
/// thirty answers, as the size of work varies by a third.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillingCost {
    cost: f32,
    /// How many answers it rests on.
    answers: f32,
}

impl Default for FillingCost {
    fn default() -> Self {
        Self { cost: FIRST_FILLING, answers: FIRST_WEIGHS }
    }
}

impl FillingCost {
    /// What the last slot costs: the first figure unless answers leave no doubt that it is less.
    /// Where it costs much, a request that is sent to a queue for a few quick answers comes late
    /// and makes others late.
    pub(crate) fn or_first(self) -> f32 {
        let doubt = ANSWER_SPREAD / self.answers.sqrt();
        let is_less = self.cost + 2.0 * doubt < CLEARLY_LESS;
        if is_less { (self.cost + doubt).max(LEAST_FILLING) } else { FIRST_FILLING }
    }

    /// Whether an upstream does more in the same time with its last slot left free.
    ///
    /// Whatever takes it slows down all that runs there: where work takes longer by more than one part
    /// in the other slots, fewer requests end.
    fn harms(self, slots: f32) -> bool {
        slots >= HARMED_SLOTS && self.cost * (slots - 1.0) > 1.0
    }

    /// Learns from an answer that took a last slot and so many usual times.
    pub(crate) fn note(&mut self, times: f32) {
        self.answers = (self.answers + 1.0).min(1.0 / FILLING_WEIGHT);
        let sample = (times - 1.0).clamp(-1.0, 2.0);
        self.cost += (sample - self.cost) / self.answers;
    }
}

/// How long a request would take at an upstream by its own word, in usual times of an answer.
///
/// Load it is for: noisy neighbours, which slow an upstream's machine down by a factor for a tenth
/// of a second, and other entries' requests, of which this one knows nothing. A request sent to a
/// slowed upstream holds its slot for the whole factor. Figures older than a spell are worth
/// nothing, hence the asking at arrival.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_cost(slots: f32, report: &LoadReport, filling: FillingCost) -> f32 {
    let running = report.in_flight.map_or(report.utilization * slots, |count| count as f32);
    let waiting = report.waiting.unwrap_or(0) as f32;
    let slowdown = report.slowdown.unwrap_or(1.0).max(0.1);
    let slots = slots.max(1.0);
    let after = (running + 1.0) / slots;
    let fullness = ((after - NEARLY_FULL) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0);
    let ahead = (running + waiting + 1.0 - slots).max(0.0) / slots;
    slowdown * (1.0 + filling.or_first() * fullness + ahead)
}

/// By how much a request that takes an upstream's last slot, or waits for one, delays those that run there, in usual
/// times of an answer; none where the upstream does more with it filled.
///
/// Load it is for: rushes, in which most free slots are last ones. Harm: upstreams of four slots that
/// slow down by two thirds when they are full do a quarter less with four requests than with three,
/// so that filling them turns a rush that a pool could bear into one that it cannot. Reason for the
/// limit: what one request gains is set against what the others lose.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_harm(slots: f32, report: &LoadReport, filling: FillingCost) -> f32 {
    let is_filled = SlotRoom::of(slots, report) != SlotRoom::Free;
    let running = report.in_flight.map_or(0.0, |count| count as f32);
    if is_filled && filling.harms(slots) { filling.or_first() * running } else { 0.0 }
}

/// What room a request finds at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRoom {
    /// A slot beside others that are free; the only one, where there is but one.
    Free,
    /// The last free slot.
    Last,
    /// None: it waits there.
    Full,
}

/// Whether an upstream has one slot free at most besides the one that a request takes.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn is_nearly_full(slots: f32, report: &LoadReport) -> bool {
    report.in_flight.map_or(0.0, |count| count as f32) + 2.0 >= slots
}

impl SlotRoom {
    /// The room at an upstream, by its own word.
    pub(crate) fn of(slots: f32, report: &LoadReport) -> Self {
        let after = report.in_flight.map_or(0.0, |count| count as f32) + 1.0;
        match after {
            _ if report.waiting.unwrap_or(0) > 0 || after > slots => Self::Full,
            _ if after < slots || slots <= 1.0 => Self::Free,
            _ => Self::Last,
        }
    }
}

/// How long a request would wait at an upstream for a slot, given the usual time of an answer.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_queueing(slots: f32, report: &LoadReport, usual: Duration) -> Duration {
    let running = report.in_flight.unwrap_or(0) as f32;
    let waiting = report.waiting.unwrap_or(0) as f32;
    let slots = slots.max(1.0);
    let ahead = (running + waiting + 1.0 - slots).max(0.0) / slots;
    usual.mul_f32(ahead * report.slowdown.unwrap_or(1.0).max(0.1))
}
