//! A time that hosts share without a common clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Moment;

/// How long an epoch is unless set otherwise.
pub(crate) const EPOCH: Duration = Duration::from_millis(500);
/// How many epochs a lease lasts, the one of its renewal included: 2.5 to 3 s.
pub(crate) const LEASE_EPOCHS: u32 = 6;

/// A number of epochs since the installation's longest-running clock began.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct LeaseEpoch(pub(crate) u32);

impl LeaseEpoch {
    /// How many epochs ago this was, seen from a later one.
    pub(crate) const fn age(self, at: Self) -> u32 {
        at.0.saturating_sub(self.0)
    }

    /// Whether a lease renewed in this epoch still holds in a later one.
    pub(crate) const fn holds(self, at: Self) -> bool {
        self.age(at) < LEASE_EPOCHS
    }

    pub(crate) const fn minus(self, epochs: u32) -> Self {
        Self(self.0.saturating_sub(epochs))
    }
}

/// A reading of the shared time, in milliseconds, as messages carry it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct SharedTime(pub(crate) u64);

/// Time shared by taking the highest reading heard of: every host follows the earliest clock, late
/// by the message's way at most. Between readings each host's own monotonic clock counts on, so
/// that leases run out in a host that hears nobody.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedClock {
    offset_ms: u64,
    adopted: bool,
    epoch_ms: u64,
}

impl Default for SharedClock {
    fn default() -> Self {
        Self::with_lease(EPOCH * LEASE_EPOCHS)
    }
}

impl SharedClock {
    /// Makes a clock by which leases last so long at most, and an epoch less at least.
    pub(crate) fn with_lease(lease: Duration) -> Self {
        let epoch_ms = (lease / LEASE_EPOCHS).as_millis().max(1);
        let epoch_ms = u64::try_from(epoch_ms).unwrap_or(u64::MAX);
        // It begins a lease after zero, so that a lease of which a part is over can be told from a
        // whole one from the start.
        let offset_ms = epoch_ms.saturating_mul(u64::from(LEASE_EPOCHS));
        Self { offset_ms, adopted: false, epoch_ms }
    }

    /// How long a lease lasts at most.
    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.epoch_ms) * LEASE_EPOCHS
    }

    /// The epoch of a reading.
    pub(crate) fn epoch_of(&self, time: SharedTime) -> LeaseEpoch {
        LeaseEpoch(u32::try_from(time.0 / self.epoch_ms).unwrap_or(u32::MAX))
    }

    pub(crate) fn read(&self, now: Moment) -> SharedTime {
        SharedTime((now.micros() / 1_000).saturating_add(self.offset_ms))
    }

    pub(crate) fn epoch(&self, now: Moment) -> LeaseEpoch {
        self.epoch_of(self.read(now))
    }

    /// Whether another host's reading was ever taken in.
    pub(crate) fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// Takes in another host's reading; returns by how many epochs the own time has jumped.
    pub(crate) fn adopt(&mut self, now: Moment, theirs: SharedTime) -> u32 {
        let before = self.epoch(now);
        let offset = theirs.0.saturating_sub(now.micros() / 1_000);
        self.offset_ms = self.offset_ms.max(offset);
        self.adopted = true;
        before.age(self.epoch(now))
    }

    /// When the next epoch begins.
    pub(crate) fn next_epoch(&self, now: Moment) -> Moment {
        let remaining = self.epoch_ms - self.read(now).0 % self.epoch_ms;
        // Readings are whole milliseconds, of which a part is over.
        let partial = Duration::from_micros(now.micros() % 1_000);
        now + (Duration::from_millis(remaining) - partial)
    }
}
