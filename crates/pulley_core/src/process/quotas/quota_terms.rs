//! How the permitted excess over a quota is divided.

use std::time::Duration;

use crate::version::RequestQuota;

/// The part of the excess that isolated entries hold, and the part that an account which was taken
/// over starts with. Two takeovers fit in a window. The rest covers permits that are used later than
/// issued.
const ISOLATED_PART: f32 = 0.4;
const TAKEOVER_PART: f32 = 0.2;

/// Upper bound of the takeover level: this part of the capacity and of the tolerance.
const TAKEOVER_CAPACITY_PART: f32 = 0.2;
const TAKEOVER_TOLERANCE_PART: f32 = 0.5;

/// The window over which quotas hold, and by how much they may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// The window.
    pub window: Duration,
    /// The permitted excess as a part of the requests of a window.
    pub overage: f32,
    /// The permitted excess in requests. It is part of an account's capacity, too.
    pub tolerance: f32,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.0, tolerance: 0.0 }
    }
}

impl QuotaTerms {
    /// Returns the permits that an account can hold.
    #[must_use]
    pub fn capacity(&self, quota: RequestQuota) -> f32 {
        (burst(quota) + self.tolerance).max(1.0)
    }

    /// Returns the requests by which those of a window may exceed the account's limit.
    #[must_use]
    pub fn excess(&self, quota: RequestQuota) -> f32 {
        let in_window = quota.rate.per_second() * self.window.as_secs_f32() + burst(quota);
        self.overage * in_window + self.tolerance
    }

    /// Returns the requests of a window that all entries together may admit without a keeper.
    #[must_use]
    pub fn isolated_sum(&self, quota: RequestQuota) -> f32 {
        ISOLATED_PART * self.excess(quota)
    }

    /// Returns the permits that an account holds which another replica has kept until now.
    #[must_use]
    pub fn takeover_level(&self, quota: RequestQuota) -> f32 {
        let bound = TAKEOVER_CAPACITY_PART * self.capacity(quota)
            + TAKEOVER_TOLERANCE_PART * self.tolerance;
        (TAKEOVER_PART * self.excess(quota)).min(bound)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a burst is far below 2^24")]
const fn burst(quota: RequestQuota) -> f32 {
    quota.burst as f32
}
