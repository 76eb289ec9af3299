//! How long an account has refused permits.

use std::time::Duration;

use super::Moment;

/// The time without a refusal after which a span of refusals has ended.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// The span in which an account has refused permits without a pause of a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalSpan {
    /// The first and the last refusal.
    refusals: Option<(Moment, Moment)>,
}

impl RefusalSpan {
    pub(super) fn record(&mut self, now: Moment) {
        let first = self.current(now).unwrap_or(now);
        self.refusals = Some((first, now));
    }

    /// Returns how long permits have been refused; zero if they aren't.
    pub(super) fn length(&self, now: Moment) -> Duration {
        self.current(now).map_or(Duration::ZERO, |first| now.since(first))
    }

    fn current(&self, now: Moment) -> Option<Moment> {
        let (first, last) = self.refusals?;
        (now.since(last) < REFUSAL_PAUSE).then_some(first)
    }
}
