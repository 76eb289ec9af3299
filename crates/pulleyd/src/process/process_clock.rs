//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pulley_core::Moment;

/// Converts the operating system's monotonic clock to moments since the process started.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Moment {
        let micros = self.origin.elapsed().as_micros();
        Moment::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a moment to the operating system's `Instant`, for timers.
    #[must_use]
    pub fn instant_at(&self, moment: Moment) -> Instant {
        self.origin + moment.since(Moment::ZERO)
    }

    /// Returns Unix time in milliseconds. It is for display only; no decision may depend on it.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
