//! The process's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use pulley_core::Moment;

/// Converts the operating system's clock since boot to moments since the process started.
///
/// This clock also counts the time for which the machine was suspended. With one that does not, a
/// host would wake up with leases that look fresh, although they ended while it slept.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Moment {
        let micros = since_boot().saturating_sub(self.origin).as_micros();
        Moment::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a moment to the operating system's `Instant`, for timers.
    #[must_use]
    pub fn instant_at(&self, moment: Moment) -> Instant {
        Instant::now() + moment.since(self.now())
    }

    /// Returns Unix time in milliseconds. It is for display only; no decision may depend on it.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the time since boot, or since an arbitrary point if the system has no such clock.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let read = read.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map(Duration::from).unwrap_or_default()
}
