//! Limits how much of its link a host uses to serve plans to other hosts.

use std::time::Duration;

use crate::process::Moment;

/// The share of a host's link that plans may use; the rest is for callers and upstreams.
const LINK_SHARE: f64 = 0.25;
/// The assumed rate of a link if none is set, in bytes per second.
const DEFAULT_LINK_RATE: f64 = 12_500_000.0;
/// The maximum burst, as transmission time: callers' bytes may have to wait behind it for this
/// long.
const BURST_TIME: Duration = Duration::from_millis(50);
/// The burst allowed on any link, in bytes: one window of chunks.
const MIN_BURST: f64 = 20_000.0;

/// The bytes of plans that a host may send.
#[derive(Clone, Debug)]
pub(crate) struct ServeBudget {
    link_rate: f64,
    available: f64,
    refilled: Moment,
}

impl ServeBudget {
    /// Creates the budget of a host whose link has the given rate in bytes per second, if known.
    pub(crate) fn new(link_rate: Option<f64>) -> Self {
        let link_rate = link_rate.unwrap_or(DEFAULT_LINK_RATE);
        let mut budget = Self { link_rate, available: 0.0, refilled: Moment::ZERO };
        budget.available = budget.burst();
        budget
    }

    fn burst(&self) -> f64 {
        (self.link_rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }

    /// Refills the budget and returns whether any bytes are left.
    pub(crate) fn has_bytes(&mut self, now: Moment) -> bool {
        let refill = now.since(self.refilled).as_secs_f64() * self.link_rate * LINK_SHARE;
        self.refilled = now;
        self.available = (self.available + refill).min(self.burst());
        self.available > 0.0
    }

    /// Spends bytes that are sent now, even if fewer are left: an incomplete answer would cost the
    /// requester another request.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
