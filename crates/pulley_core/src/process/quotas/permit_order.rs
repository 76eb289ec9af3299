//! The order in which an account gives permits to urgent and late requests.

use std::collections::VecDeque;
use std::time::Duration;

use super::Moment;

/// How long an urgent request counts towards the reserve after its permit was requested.
const RESERVE_SPAN: Duration = Duration::from_millis(100);

/// The least reserve, in permits.
const MIN_RESERVE: f32 = 1.0;

/// How many permits an account withholds from late requests.
///
/// The load is an organisation whose callers send several times its quota and retry when refused.
/// The harm is that retries which can no longer be answered in time take the permits of new requests.
/// The reserve is the number of permits that urgent requests asked for in the last 100 ms. Where
/// urgent requests alone exhaust the quota, late ones get nothing; otherwise they get the rest.
#[derive(Clone, Debug, Default)]
pub(super) struct PermitOrder {
    urgent: VecDeque<(Moment, u16)>,
    sum: u32,
}

impl PermitOrder {
    /// Records urgent requests that a permit request states.
    pub(super) fn record(&mut self, now: Moment, urgent: u16) {
        self.discard_old(now);
        if urgent > 0 {
            self.urgent.push_back((now, urgent));
            self.sum += u32::from(urgent);
        }
    }

    /// Returns the permits that late requests leave. A full account has one for them.
    #[expect(clippy::cast_precision_loss, reason = "few requests arrive in 100 ms")]
    pub(super) fn reserve(&mut self, now: Moment, capacity: f32) -> f32 {
        self.discard_old(now);
        (self.sum as f32).max(MIN_RESERVE).min(capacity - 1.0)
    }

    fn discard_old(&mut self, now: Moment) {
        while let Some((at, urgent)) = self.urgent.front().copied() {
            if now.since(at) <= RESERVE_SPAN {
                return;
            }
            self.sum -= u32::from(urgent);
            self.urgent.pop_front();
        }
    }
}
