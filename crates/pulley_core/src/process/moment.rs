//! Monotonic time as used by the state machines.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in monotonic time, in microseconds since the process (or the test) began.
///
/// ```
/// # use pulley_core::Moment;
/// # use std::time::Duration;
/// let start = Moment::ZERO;
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later.since(start), Duration::from_millis(5));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process (or the test).
    pub const ZERO: Self = Self(0);

    /// Makes a moment from microseconds since the start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the time passed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
