//! What one answer of an upstream says of the upstream's request limit.

use std::fmt;

use crate::process::StartRate;

/// What one answer of an upstream says of the upstream's request limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitReading {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit that cannot be parsed. What was known before stays valid.
    Unreadable,
    /// The upstream takes this many requests a second from all hosts together.
    Named(StartRate),
}

impl LimitReading {
    /// Returns the limit, if the answer names one that can be parsed.
    #[must_use]
    pub const fn rate(self) -> Option<StartRate> {
        match self {
            Self::Named(rate) => Some(rate),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

impl fmt::Display for LimitReading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Unreadable => f.write_str("unreadable"),
            Self::Named(rate) => rate.fmt(f),
        }
    }
}
