//! The account of one organisation at the replica that keeps it.

use std::time::Duration;

use super::{HostId, Moment, PermitBucket, QuotaReport, QuotaVerdict};
use crate::version::RequestQuota;

/// The part of its capacity below which an account demands permits, and the part above which it no
/// longer does. What is left at the lower one covers requests that entries admit until they have
/// been told.
const LIMITED_BELOW: f32 = 0.5;
const OPEN_ABOVE: f32 = 0.7;

/// What an account holds that was taken over, as a part of its capacity or of the tolerance, and the
/// part of the rate that it issues during its first second. Its predecessor may still be at work for other entries;
/// both together stay within the tolerance of a quota.
const TAKEOVER_LEVEL: f32 = 0.2;
const TAKEOVER_TOLERANCE: f32 = 0.5;
const TAKEOVER_RATE: f32 = 0.4;
const TAKEOVER_SPAN: Duration = Duration::from_secs(1);

/// Seconds of its rate that an account may owe beside its capacity.
const DEBT_SECONDS: f32 = 5.0;

/// How long entries demand permits after they were last told to.
pub(super) const LIMITED_SPAN: Duration = Duration::from_secs(2);

/// The account of one organisation.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccount {
    quota: RequestQuota,
    bucket: PermitBucket,
    taken_over_at: Option<Moment>,
    is_limited: bool,
    pub(super) used_at: Moment,
}

impl QuotaAccount {
    /// Opens a full account. `tolerance` is the number of requests beyond the burst that it lets
    /// pass.
    pub(super) fn open(now: Moment, quota: RequestQuota, tolerance: f32) -> Self {
        let bucket = PermitBucket::new(now, capacity(quota, tolerance));
        Self { quota, bucket, taken_over_at: None, is_limited: false, used_at: now }
    }

    /// Opens an account that another replica may have kept until now.
    pub(super) fn take_over(now: Moment, quota: RequestQuota, tolerance: f32) -> Self {
        let mut account = Self::open(now, quota, tolerance);
        let by_tolerance = TAKEOVER_TOLERANCE * tolerance / capacity(quota, tolerance);
        account.bucket.set_level(TAKEOVER_LEVEL.max(by_tolerance));
        account.taken_over_at = Some(now);
        account.is_limited = true;
        account
    }

    /// Sets the quota if it has changed.
    pub(super) fn set_quota(&mut self, now: Moment, quota: RequestQuota, tolerance: f32) {
        if self.quota != quota {
            self.bucket.refill(now, self.rate(now));
            self.quota = quota;
            self.bucket.set_capacity(capacity(quota, tolerance));
        }
    }

    /// Whether requests need permits.
    pub(super) const fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// Takes in a report. Returns the verdict, and whether the organisation's requests need permits
    /// from now on that needed none before.
    pub(super) fn answer(
        &mut self,
        now: Moment,
        from: &HostId,
        report: &QuotaReport,
    ) -> (QuotaVerdict, bool) {
        let rate = self.rate(now);
        self.used_at = now;
        self.bucket.refill(now, rate);
        #[expect(clippy::cast_precision_loss, reason = "reports hold few requests")]
        self.bucket.charge(report.used as f32, self.debt_limit());
        let (mut permits, mut retry_after) = (0, Duration::ZERO);
        if report.wanted > 0 {
            let grant = self.bucket.take(now, rate, from, report.wanted);
            (permits, retry_after) = (grant.permits, grant.retry_after);
        }
        let was_limited = self.is_limited;
        self.update_limited();
        let verdict = QuotaVerdict {
            organisation: report.organisation.clone(),
            number: report.number,
            permits,
            retry_ms: millis(retry_after),
            limited_ms: if self.is_limited { millis(LIMITED_SPAN) } else { 0 },
        };
        (verdict, self.is_limited && !was_limited)
    }

    /// Adds what has accrued.
    pub(super) fn refill(&mut self, now: Moment) {
        self.bucket.refill(now, self.rate(now));
        self.update_limited();
    }

    fn update_limited(&mut self) {
        let level = self.bucket.level();
        self.is_limited = level < if self.is_limited { OPEN_ABOVE } else { LIMITED_BELOW };
    }

    /// Returns how much the account may owe. Less than what a rush uses before all entries have been
    /// told would let it use as much again.
    fn debt_limit(&self) -> f32 {
        self.quota.rate.per_second() * DEBT_SECONDS + self.bucket.capacity()
    }

    fn rate(&self, now: Moment) -> f32 {
        let rate = self.quota.rate.per_second();
        let is_recent = self.taken_over_at.is_some_and(|at| now.since(at) < TAKEOVER_SPAN);
        if is_recent { rate * TAKEOVER_RATE } else { rate }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a burst is far below 2^24")]
fn capacity(quota: RequestQuota, tolerance: f32) -> f32 {
    (quota.burst as f32 + tolerance).max(1.0)
}

pub(super) fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}
