//! Whether a request can still be answered within its target.

use std::fmt;
use std::time::Duration;

/// Whether a request can still be answered within its target, counted from its caller's first
/// attempt.
///
/// A request that cannot be proved late is urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestUrgency {
    /// It can be answered in time.
    Urgent {
        /// How long it can wait for a permit and still be answered in time.
        slack: Duration,
    },
    /// Its answer comes after its target.
    Late,
}

impl RequestUrgency {
    /// Returns the urgency of a request that is at least `least_age` old and whose work usually
    /// takes `usual`.
    #[must_use]
    pub fn new(target: Duration, least_age: Duration, usual: Duration) -> Self {
        Self::Urgent { slack: target }.after(least_age).after(usual)
    }

    /// Returns the urgency after the request has waited.
    #[must_use]
    pub const fn after(self, waited: Duration) -> Self {
        match self {
            Self::Urgent { slack } => match slack.saturating_sub(waited) {
                Duration::ZERO => Self::Late,
                slack => Self::Urgent { slack },
            },
            Self::Late => Self::Late,
        }
    }

    /// Whether the request is late.
    #[must_use]
    pub const fn is_late(self) -> bool {
        matches!(self, Self::Late)
    }

    /// Returns the word used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent { .. } => "urgent",
            Self::Late => "late",
        }
    }
}

impl fmt::Display for RequestUrgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
