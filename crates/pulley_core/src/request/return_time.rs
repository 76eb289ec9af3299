//! Retry times of requests that are refused because their organisation is over its quota.

use std::time::Duration;

use rand::Rng;

use super::{PermitOutlook, RequestUrgency};

/// Parts of an urgent request's slack between which its retry time lies. Two more attempts at the
/// upper bound still fall within the target.
const MIN_SLACK_PART: f32 = 0.1;
const MAX_SLACK_PART: f32 = 0.3;

/// Shortest retry time.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Upper bound of retry times relative to the lower one where the slack leaves less room. It keeps
/// callers from returning together.
const MIN_SPREAD: f32 = 1.5;

/// Durations of an overload that the retry times of late requests follow. The retry times lie
/// between three quarters of the lower and five quarters of the upper bound, 300 ms and 2.5 s.
const MIN_PRESSED: Duration = Duration::from_millis(400);
const MAX_PRESSED: Duration = Duration::from_secs(2);

/// Returns when the caller of a request that was refused for its organisation's quota may retry.
///
/// An urgent request retries while it can still be answered in time. A late one would compete with
/// urgent ones if it returned during the overload. An overload is as likely as not to last as long
/// again as it has lasted, so the retry time of a late request follows its duration. Random times
/// spread the retries.
pub fn return_time(
    urgency: RequestUrgency,
    outlook: PermitOutlook,
    random: &mut impl Rng,
) -> Duration {
    let soonest = outlook.next.max(MIN_RETRY);
    match urgency {
        RequestUrgency::Urgent { slack } => {
            let low = slack.mul_f32(MIN_SLACK_PART).max(soonest);
            let high = slack.mul_f32(MAX_SLACK_PART).max(low.mul_f32(MIN_SPREAD));
            random.random_range(low..=high)
        }
        RequestUrgency::Late => {
            let pressed = outlook.pressed.clamp(MIN_PRESSED, MAX_PRESSED);
            soonest.max(pressed.mul_f32(random.random_range(0.75..1.25)))
        }
    }
}
