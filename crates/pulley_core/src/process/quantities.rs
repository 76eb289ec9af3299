//! Sizes, rates and numbers with units.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a text is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct QuantityFault {
    /// The text as given.
    pub text: String,
    /// A description of the allowed values.
    pub expected: &'static str,
}

fn fault(text: &str, expected: &'static str) -> QuantityFault {
    QuantityFault { text: text.to_owned(), expected }
}

/// The number of requests that an upstream processes at once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotCount(pub u32);

/// A part of a whole, in ten-thousandths: 2,500 is a quarter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ShareFraction(u16);

impl ShareFraction {
    /// The whole, in ten-thousandths.
    pub const WHOLE: Self = Self(10_000);

    /// Makes a share from ten-thousandths; `None` if it exceeds the whole.
    #[must_use]
    pub const fn from_basis_points(basis_points: u16) -> Option<Self> {
        if basis_points <= Self::WHOLE.0 { Some(Self(basis_points)) } else { None }
    }

    /// Returns the share in ten-thousandths.
    #[must_use]
    pub const fn basis_points(self) -> u16 {
        self.0
    }

    /// Returns the share as a number from 0 to 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

/// Probes a second, in thousandths, so that low rates stay exact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProbeRate(pub u32);

impl ProbeRate {
    /// Returns the rate in probes a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// Requests a second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StartRate(pub u32);

impl StartRate {
    /// Returns the rate in requests a second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "the error is about one request in millions")]
    pub fn per_second(self) -> f32 {
        self.0 as f32 / 1_000.0
    }

    /// Returns a part of the rate, given as a number from 0 to 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "not above the rate itself"
    )]
    pub fn scaled(self, part: f32) -> Self {
        Self((self.0 as f32 * part.clamp(0.0, 1.0)) as u32)
    }
}

/// The id of a voter or learner of the replicated log; never reused after removal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SlotCount {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        text.parse().map(Self).map_err(|_| fault(text, "a count of slots"))
    }
}

impl fmt::Display for ShareFraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}%", self.0 / 100, self.0 % 100)
    }
}

impl FromStr for ShareFraction {
    type Err = QuantityFault;

    /// Parses `25%`, `0.25` or `0,25`.
    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        const WANTED: &str = "a share such as 25%, 0.25 or 0,25, at most the whole";
        let trimmed = text.trim();
        let (digits, scale) = match trimmed.strip_suffix('%') {
            Some(percent) => (percent.trim_end(), 100.0),
            None => (trimmed, 10_000.0),
        };
        let plain = digits.replacen(',', ".", 1);
        if !plain.chars().all(|c| c.is_ascii_digit() || c == '.') {
            return Err(fault(text, WANTED));
        }
        let value: f64 = plain.parse().map_err(|_| fault(text, WANTED))?;
        let parts = (value * scale).round();
        if !(0.0..=10_000.0).contains(&parts) {
            return Err(fault(text, WANTED));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "range checked above"
        )]
        Ok(Self(parts as u16))
    }
}

/// Parses a rate of at most `limit` a second and returns it in thousandths.
fn parse_thousandths(text: &str, limit: f64, expected: &'static str) -> Result<u32, QuantityFault> {
    let plain = text.trim().replacen(',', ".", 1);
    if plain.is_empty() || !plain.chars().all(|c| c.is_ascii_digit() || c == '.') {
        return Err(fault(text, expected));
    }
    let value: f64 = plain.parse().map_err(|_| fault(text, expected))?;
    if !(0.0..=limit).contains(&value) {
        return Err(fault(text, expected));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "range checked above"
    )]
    Ok((value * 1_000.0).round() as u32)
}

impl fmt::Display for ProbeRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for ProbeRate {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        parse_thousandths(text, 100_000.0, "a number of probes a second, from 0 to 100000")
            .map(Self)
    }
}

impl fmt::Display for StartRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for StartRate {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        parse_thousandths(text, 1_000_000.0, "a number of requests a second, from 0 to 1000000")
            .map(Self)
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "m{}", self.0)
    }
}

impl FromStr for MemberId {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        let digits = text.strip_prefix('m').unwrap_or(text);
        digits.parse().map(Self).map_err(|_| fault(text, "a member id such as m3"))
    }
}
