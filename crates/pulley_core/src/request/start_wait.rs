//! How long requests wait at a host that has just started.

use std::time::Duration;

/// How long after its start a host is expected to learn the configuration and the upstreams.
///
/// That takes an election, where all hosts have restarted, and the first announcements of upstreams. A
/// host that knows nothing after this has lost touch, and its callers had better go elsewhere.
const START_SPAN: Duration = Duration::from_millis(800);

/// The part of its remaining time that a request waits at most; the rest is for the work.
const WAIT_PART: u32 = 2;

/// When to come back to a host that has just started, and to one that is not ready otherwise.
const SOON: Duration = Duration::from_millis(200);
const LATER: Duration = Duration::from_secs(1);

/// How long a request waits for its host to get ready, if it does at all.
///
/// Load it is for: all hosts restart together, and every caller comes back to them in the third of
/// a second in which none is ready. Harm: refused at once, a caller that has one retry spends it
/// there, and most are refused for good. Reason for the limit: the wait is short against the work where it helps, and none at all later, so that a host
/// that is cut off refuses at once.
#[must_use]
pub fn start_wait(uptime: Duration, left: Option<Duration>) -> Option<Duration> {
    let until_ready = START_SPAN.checked_sub(uptime).filter(|wait| !wait.is_zero())?;
    Some(left.map_or(until_ready, |left| until_ready.min(left / WAIT_PART)))
}

/// When a caller may come back to a host that is not ready.
#[must_use]
pub fn not_ready_retry(uptime: Duration) -> Duration {
    if uptime < START_SPAN { SOON } else { LATER }
}
