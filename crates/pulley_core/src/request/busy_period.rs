//! Retry delays for refused callers, by how long a pool has been full.

use std::time::Duration;

use rand::Rng;

use crate::process::Moment;

/// Time without a refusal after which a busy period is over.
const QUIET_SPAN: Duration = Duration::from_secs(1);

/// Longest retry delay because of a busy period. A longer period may be a lasting lack of capacity
/// instead of a burst, and some of these callers must be served nevertheless.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// How long a pool has been full.
///
/// In a burst of seconds a refused request is already late. If its caller is asked to come back
/// soon, it returns while the burst goes on. It then takes the slot of a request that could still
/// be answered in time, and both are late. A burst that has lasted for some time is as likely as
/// not to last as long again, so the retry delay follows the time it has lasted. The delays are
/// spread over half of that time, because callers that come back together would cause the next
/// burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BusyPeriod {
    /// When the period began, and the last refusal in it.
    period: Option<(Moment, Moment)>,
}

impl BusyPeriod {
    /// Records that a request found no room. Returns its retry delay, which is at least `soonest`.
    pub(crate) fn record_refusal(
        &mut self,
        now: Moment,
        soonest: Duration,
        random: &mut impl Rng,
    ) -> Duration {
        let began = match self.period {
            Some((began, last)) if now.since(last) < QUIET_SPAN => began,
            _ => now,
        };
        self.period = Some((began, now));
        let lasted = now.since(began).min(MAX_DELAY);
        soonest.max(lasted.mul_f32(random.random_range(0.75..1.25)))
    }
}
