//! How long requests wait at a host that has just started.

use std::time::Duration;

/// Time after its start within which a host is expected to learn the configuration and the
/// upstreams.
///
/// This takes an election, if all hosts have restarted, and the first announcements of upstreams. A
/// host that knows nothing after this time has lost contact, and its callers should go elsewhere.
const START_TIMEOUT: Duration = Duration::from_millis(800);

/// A request waits at most its remaining time divided by this. The rest is for the work.
const WAIT_DIVISOR: u32 = 2;

/// Retry delay for callers of a host that has just started, and of one that is not ready for other
/// reasons.
const STARTING_RETRY_DELAY: Duration = Duration::from_millis(200);
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns how long a request waits for its host to get ready, or `None` if it does not wait.
///
/// When all hosts restart together, every caller comes back to them within the third of a second in
/// which none is ready. If they were refused at once, callers with one retry would spend it there,
/// and most would be refused for good. The wait is short compared with the work. After
/// `START_TIMEOUT` no request waits, so a host that is cut off refuses at once.
#[must_use]
pub fn start_wait(uptime: Duration, left: Option<Duration>) -> Option<Duration> {
    let until_ready = START_TIMEOUT.checked_sub(uptime).filter(|wait| !wait.is_zero())?;
    Some(left.map_or(until_ready, |left| until_ready.min(left / WAIT_DIVISOR)))
}

/// Returns when a caller may come back to a host that is not ready.
#[must_use]
pub fn not_ready_retry(uptime: Duration) -> Duration {
    if uptime < START_TIMEOUT { STARTING_RETRY_DELAY } else { NOT_READY_RETRY_DELAY }
}
