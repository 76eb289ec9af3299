//! Keeps the probes of one pool's zone within the sheet's budget.

use std::time::Duration;

use super::{Moment, ProbeRate};

/// A bucket of at most one probe, in millionths; it starts empty.
///
/// Probing takes upstream time that callers could use, and the sheet bounds it for all hosts
/// together. Without this a takeover would grant the successor a fresh burst on top of what the
/// predecessor spent; an empty bucket of depth one makes any window of length `t` see at most
/// `1 + rate * t` probes of one coordinator, and none in the first `1 / rate` after takeover.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    rate: ProbeRate,
    tokens: u64,
    filled: Moment,
}

/// One probe, in the bucket's unit.
const PROBE: u64 = 1_000_000_000;

impl ProbeBudget {
    /// Makes an empty bucket.
    #[must_use]
    pub fn new(now: Moment, rate: ProbeRate) -> Self {
        Self { rate, tokens: 0, filled: now }
    }

    /// Changes the rate; what was saved stays.
    pub fn set_rate(&mut self, now: Moment, rate: ProbeRate) {
        self.fill(now);
        self.rate = rate;
    }

    /// Takes one probe if the budget allows it now.
    #[must_use]
    pub fn take(&mut self, now: Moment) -> bool {
        self.fill(now);
        if self.tokens < PROBE {
            return false;
        }
        self.tokens -= PROBE;
        true
    }

    /// When the next probe will be allowed, if ever.
    #[must_use]
    pub fn next_at(&self) -> Option<Moment> {
        let rate = u64::from(self.rate.0);
        if rate == 0 {
            return None;
        }
        // Thousandths of a probe a second are exactly billionths of a probe a microsecond.
        let micros = PROBE.saturating_sub(self.tokens).div_ceil(rate);
        Some(self.filled + Duration::from_micros(micros))
    }

    fn fill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(self.rate.0));
        self.tokens = self.tokens.saturating_add(gained).min(PROBE);
        self.filled = self.filled.max(now);
    }
}
