//! How much of its link a host gives to passing on plans.

use std::time::Duration;

use crate::process::Moment;

/// The part of a host's link that plans may take; the rest is for callers and upstreams.
const LINK_PART: f64 = 0.25;
/// The rate of a link that nobody has told of, in bytes a second.
const USUAL_LINK: f64 = 12_500_000.0;
/// What may go out at once, as time of the link: so long callers' bytes may wait behind it.
const BURST_TIME: Duration = Duration::from_millis(50);
/// What may go out at once on any link, in bytes: one window of chunks.
const BURST_FLOOR: f64 = 20_000.0;

/// Bytes of plans that a host may send.
#[derive(Clone, Debug)]
pub(crate) struct ServeBudget {
    link: f64,
    left: f64,
    refilled: Moment,
}

impl ServeBudget {
    /// Makes the budget of a host whose link bears so many bytes a second, if that is known.
    pub(crate) fn new(link: Option<f64>) -> Self {
        let link = link.unwrap_or(USUAL_LINK);
        let mut budget = Self { link, left: 0.0, refilled: Moment::ZERO };
        budget.left = budget.burst();
        budget
    }

    fn burst(&self) -> f64 {
        (self.link * BURST_TIME.as_secs_f64()).max(BURST_FLOOR)
    }

    /// Whether any bytes are left now.
    pub(crate) fn has_room(&mut self, now: Moment) -> bool {
        let refill = now.since(self.refilled).as_secs_f64() * self.link * LINK_PART;
        self.refilled = now;
        self.left = (self.left + refill).min(self.burst());
        self.left > 0.0
    }

    /// Takes out bytes that go out now, even if there are fewer left: half an answer would cost its
    /// asker another question.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
