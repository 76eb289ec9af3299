//! Limits the rate at which large answers are read over a host's own link.

use std::time::Duration;

use super::Moment;

/// The share of the link's rate that large answers may use, in percent.
///
/// On a host with a slow link, one large answer fills the link for tenths of a second, and all
/// other incoming data queues behind it. Other answers are then late, and probes of upstreams stay
/// unanswered, so that requests are refused although slots are free. With this limit a large
/// answer takes a third longer, which its callers can tolerate.
const LARGE_PERCENT: u64 = 75;

/// The first bytes of each answer, which are not paced: the size of one read.
const SMALL_BYTES: u64 = 16 * 1_024;

/// How far reading may run ahead of the pace. Timers have a resolution of a millisecond, and on a
/// fast link a wait for every few kilobytes would cost more than it saves.
const READ_AHEAD: Duration = Duration::from_millis(5);

/// Limits the total read rate of large answers to a share of a host's link.
///
/// An upstream's machine sends only as fast as the reader frees buffer space. Unread data stays
/// there and does not use the link, so pacing the reads keeps the link's queue short.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    /// The rate for large answers, in bytes a second.
    rate: u64,
    /// When the bytes read so far would have arrived at that rate.
    busy_until: Moment,
}

impl LinkPacer {
    /// Makes a pacer for a link of `kbps` kilobits a second.
    #[must_use]
    pub fn new(kbps: u32) -> Self {
        let link = u64::from(kbps) * 1_000 / 8;
        Self { rate: (link * LARGE_PERCENT / 100).max(1), busy_until: Moment::ZERO }
    }

    /// Records that `bytes` bytes of an answer were read after its first `before` bytes. Returns
    /// when more of the answer may be read, or `None` if it may be read at once.
    pub fn record_read(&mut self, now: Moment, before: u64, bytes: u64) -> Option<Moment> {
        let large = (before + bytes).saturating_sub(SMALL_BYTES.max(before));
        if large == 0 {
            return None;
        }
        let transfer_time = Duration::from_micros(large.saturating_mul(1_000_000) / self.rate);
        self.busy_until = self.busy_until.max(now) + transfer_time;
        let next = self.busy_until - READ_AHEAD;
        (next > now).then_some(next)
    }
}
