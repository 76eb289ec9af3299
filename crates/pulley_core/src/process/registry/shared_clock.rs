//! A time that hosts agree on without a common clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Moment;

/// The length of an epoch for the default lease of 3 s.
pub(crate) const EPOCH_LENGTH: Duration = Duration::from_millis(500);
/// How many epochs a lease lasts, including the one of its renewal: 2.5 to 3 s.
pub(crate) const LEASE_EPOCHS: u32 = 6;

/// The number of epochs since the start of the installation's longest-running clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct LeaseEpoch(pub(crate) u32);

impl LeaseEpoch {
    /// Returns how many epochs before `at` this one was.
    pub(crate) const fn age(self, at: Self) -> u32 {
        at.0.saturating_sub(self.0)
    }

    /// Whether a lease renewed in this epoch is still valid at the later epoch `at`.
    pub(crate) const fn is_valid_at(self, at: Self) -> bool {
        self.age(at) < LEASE_EPOCHS
    }

    pub(crate) const fn minus(self, epochs: u32) -> Self {
        Self(self.0.saturating_sub(epochs))
    }
}

/// A time in milliseconds that all hosts agree on to within a message's delay.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SharedTime(pub(crate) u64);

impl SharedTime {
    /// Returns the time one millisecond later.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the time that much later.
    pub(crate) fn after(self, span: Duration) -> Self {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the time that much earlier.
    pub(crate) fn before(self, span: Duration) -> Self {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(span_ms))
    }

    /// Returns how long after an earlier time this is; zero if it is not.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A shared time: the highest reading received so far. Every host follows the earliest-started
/// clock and lags it by at most the message's delay. Between readings each host's own monotonic
/// clock advances the time, so that leases expire even on a host that receives nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedClock {
    offset_ms: u64,
    has_merged: bool,
    epoch_ms: u64,
}

impl Default for SharedClock {
    fn default() -> Self {
        Self::with_lease(EPOCH_LENGTH * LEASE_EPOCHS)
    }
}

impl SharedClock {
    /// Makes a clock for leases that last at most `lease` and at least `lease` minus one epoch.
    pub(crate) fn with_lease(lease: Duration) -> Self {
        let epoch_ms = (lease / LEASE_EPOCHS).as_millis().max(1);
        let epoch_ms = u64::try_from(epoch_ms).unwrap_or(u64::MAX);
        // Starts one lease after zero, so that a partly elapsed lease differs from a fresh one from
        // the beginning.
        let offset_ms = epoch_ms.saturating_mul(u64::from(LEASE_EPOCHS));
        Self { offset_ms, has_merged: false, epoch_ms }
    }

    /// The longest time that a lease lasts.
    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.epoch_ms) * LEASE_EPOCHS
    }

    /// Returns the epoch of a reading.
    pub(crate) fn epoch_of(&self, time: SharedTime) -> LeaseEpoch {
        LeaseEpoch(u32::try_from(time.0 / self.epoch_ms).unwrap_or(u32::MAX))
    }

    pub(crate) fn read(&self, now: Moment) -> SharedTime {
        SharedTime((now.micros() / 1_000).saturating_add(self.offset_ms))
    }

    pub(crate) fn epoch(&self, now: Moment) -> LeaseEpoch {
        self.epoch_of(self.read(now))
    }

    /// Returns how long ago a reading was.
    pub(crate) fn age(&self, now: Moment, time: SharedTime) -> Duration {
        Duration::from_millis(self.read(now).0.saturating_sub(time.0))
    }

    /// Whether a reading of another host was ever merged.
    pub(crate) fn has_merged_reading(&self) -> bool {
        self.has_merged
    }

    /// Merges another host's reading. Returns by how many epochs this host's time jumped ahead.
    pub(crate) fn merge_reading(&mut self, now: Moment, theirs: SharedTime) -> u32 {
        let before = self.epoch(now);
        let offset = theirs.0.saturating_sub(now.micros() / 1_000);
        self.offset_ms = self.offset_ms.max(offset);
        self.has_merged = true;
        before.age(self.epoch(now))
    }

    /// When the next epoch begins.
    pub(crate) fn next_epoch(&self, now: Moment) -> Moment {
        let remaining = self.epoch_ms - self.read(now).0 % self.epoch_ms;
        // Readings are whole milliseconds; some of the current millisecond has already passed.
        let partial = Duration::from_micros(now.micros() % 1_000);
        now + (Duration::from_millis(remaining) - partial)
    }
}
