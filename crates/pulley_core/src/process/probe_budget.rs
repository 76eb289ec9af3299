//! Limits the probe rate of one pool's zone to the sheet's budget.

use std::time::Duration;

use super::{Moment, ProbeRate};

/// A token bucket that holds at most one probe, counted in billionths, and starts empty.
///
/// Probes use upstream time that callers could use, and the sheet limits them for all hosts
/// together. If the bucket started full, a takeover would grant the successor a new burst on top of
/// the probes that its predecessor sent. With an empty bucket of depth one, a coordinator sends at
/// most `1 + rate * t` probes in any window of length `t`, and none in the first `1 / rate` after a
/// takeover.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    rate: ProbeRate,
    tokens: u64,
    refilled_at: Moment,
}

/// The tokens of one probe.
const PROBE_TOKENS: u64 = 1_000_000_000;

impl ProbeBudget {
    /// Makes an empty bucket.
    #[must_use]
    pub fn new(now: Moment, rate: ProbeRate) -> Self {
        Self { rate, tokens: 0, refilled_at: now }
    }

    /// Changes the rate; accumulated tokens are kept.
    pub fn set_rate(&mut self, now: Moment, rate: ProbeRate) {
        self.refill(now);
        self.rate = rate;
    }

    /// Takes one probe if the budget allows it now.
    #[must_use]
    pub fn take(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.tokens < PROBE_TOKENS {
            return false;
        }
        self.tokens -= PROBE_TOKENS;
        true
    }

    /// Returns when the next probe is allowed, if ever.
    #[must_use]
    pub fn next_at(&self) -> Option<Moment> {
        let rate = u64::from(self.rate.0);
        if rate == 0 {
            return None;
        }
        // Thousandths of a probe a second are exactly billionths of a probe a microsecond.
        let micros = PROBE_TOKENS.saturating_sub(self.tokens).div_ceil(rate);
        Some(self.refilled_at + Duration::from_micros(micros))
    }

    fn refill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(self.rate.0));
        self.tokens = self.tokens.saturating_add(gained).min(PROBE_TOKENS);
        self.refilled_at = self.refilled_at.max(now);
    }
}
