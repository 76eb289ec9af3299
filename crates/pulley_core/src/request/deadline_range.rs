//! The deadlines of callers' first attempts at one row, as one entry sees them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::Moment;

/// The number of deadlines that the estimate is based on. At one request per second it follows
/// longer deadlines within about a minute.
const MAX_SAMPLES: usize = 64;

/// The number of deadlines below which nothing is estimated.
const MIN_SAMPLES: usize = 8;

/// One in this many deadlines of a calm period may be that of a retry after a refusal by another
/// entry.
const SAMPLES_PER_STRAY: usize = 20;

/// Age at which a sample no longer counts.
const SAMPLE_LIFE: Duration = Duration::from_secs(300);

/// Number of successive deadlines below the estimate that disprove it. A caller makes at most three
/// attempts, so at least a third of all deadlines are those of first attempts.
const DISPROOF_COUNT: u32 = 32;

/// The deadlines of callers' first attempts at one row, as one entry sees them.
///
/// A retry carries what remains of the caller's first deadline. First deadlines vary, so only a
/// deadline below the lowest of them proves a retry, and the difference is the least age of the
/// request. If the highest were taken instead, first attempts would count as late.
#[derive(Clone, Debug, Default)]
pub struct DeadlineRange {
    /// Deadlines seen in calm periods, oldest first.
    samples: VecDeque<(Moment, Duration)>,
    /// The estimate of the lowest deadline of first attempts.
    lowest: Option<Duration>,
    /// The number of successive deadlines below the estimate.
    below: u32,
}

impl DeadlineRange {
    /// Records the deadline of an arriving request. In a calm period few requests are retries.
    pub fn record(&mut self, now: Moment, deadline: Duration, is_calm: bool) {
        if self.is_disproved_by(deadline) {
            *self = Self::default();
        }
        if !is_calm {
            return;
        }
        let is_old = |(at, _): &(Moment, Duration)| now.since(*at) > SAMPLE_LIFE;
        while self.samples.len() == MAX_SAMPLES || self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, deadline));
        self.lowest = self.estimate_lowest();
    }

    /// Returns the age that a request with this deadline has at least; zero if nothing is known.
    #[must_use]
    pub fn least_age(&self, deadline: Duration) -> Duration {
        self.lowest.map_or(Duration::ZERO, |lowest| lowest.saturating_sub(deadline))
    }

    /// Whether too many successive deadlines lie below the estimate. This happens when callers
    /// shorten their deadlines while requests are being refused.
    fn is_disproved_by(&mut self, deadline: Duration) -> bool {
        let is_below = self.lowest.is_some_and(|lowest| deadline < lowest);
        self.below = if is_below { self.below + 1 } else { 0 };
        self.below >= DISPROOF_COUNT
    }

    /// Estimates the lowest deadline of first attempts, or returns `None` if too few are known.
    ///
    /// A few retries are left out at the lower end. The estimate lies below the lowest remaining
    /// deadline by the mean distance of the deadlines: once for each one left out, once because the
    /// lowest of a few samples lies above the lowest of all, and once as a margin.
    fn estimate_lowest(&self) -> Option<Duration> {
        let count = self.samples.len();
        if count < MIN_SAMPLES {
            return None;
        }
        let mut deadlines: Vec<Duration> = self.samples.iter().map(|(_, each)| *each).collect();
        deadlines.sort_unstable();
        let strays = count / SAMPLES_PER_STRAY;
        let (lowest, highest) = (deadlines[strays], deadlines[count - 1]);
        let places = u32::try_from(count - 1 - strays).expect("few samples");
        let distances = u32::try_from(strays + 2).expect("few samples");
        let distance = (highest - lowest) / places;
        Some(lowest.saturating_sub(distance * distances))
    }
}
