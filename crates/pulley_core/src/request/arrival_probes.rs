//! Which upstreams are asked how loaded they are when a request arrives, and whom that favours.

use std::time::Duration;

use super::LoadReport;
use crate::process::{Moment, UpstreamId};

/// Probes that may be saved up, as a part of a second's: a burst of requests within a tenth of a
/// second may probe at the rate of a whole second, and no more.
const SAVED_PART: f32 = 0.5;

/// Least probes that may be saved up; with fewer, no request could ever ask two upstreams.
const LEAST_SAVED: f32 = 4.0;

/// How much longer work takes at an upstream whose slots are all busy. Some upstreams slow down
/// when they are nearly full; the others are preferred empty as well, since whoever else chooses at
/// the same moment has seen the same figures.
const FULL_COST: f32 = 0.6;

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
        let gained = now.since(self.filled).as_secs_f32() * self.rate;
        self.saved = (self.saved + gained).min(self.most());
        self.filled = now;
        let taken = (self.saved as usize).min(wanted);
        self.saved -= taken as f32;
        taken
    }
}

/// How long a request would take at an upstream by its own word, in usual times of an answer.
///
/// Load it is for: noisy neighbours, which slow an upstream's machine down by a factor for a tenth
/// of a second, and other entries' requests, of which this one knows nothing. A request sent to a
/// slowed upstream holds its slot for the whole factor. Figures older than a spell are worth
/// nothing, hence the asking at arrival.
#[expect(clippy::cast_precision_loss, reason = "slots and requests are few")]
pub(crate) fn expected_cost(slots: f32, report: &LoadReport) -> f32 {
    let running = report.in_flight.map_or(report.utilization * slots, |count| count as f32);
    let waiting = report.waiting.unwrap_or(0) as f32;
    let slowdown = report.slowdown.unwrap_or(1.0).max(0.1);
    let slots = slots.max(1.0);
    let after = (running + 1.0) / slots;
    let fullness = ((after - NEARLY_FULL) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0);
    let ahead = (running + waiting + 1.0 - slots).max(0.0) / slots;
    slowdown * (1.0 + FULL_COST * fullness + ahead)
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
