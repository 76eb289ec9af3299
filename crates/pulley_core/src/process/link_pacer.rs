//! How fast large answers may come in over a host's own link.

use std::time::Duration;

use super::Moment;

/// The part of the link's rate that large answers may take, in percent.
///
/// Load it is for: hosts whose link is slow, so that one large answer fills it for tenths of a
/// second. Harm: whatever else comes in waits behind its bytes: answers beside a large one come late,
/// and questions to upstreams go unanswered, so that requests are refused beside free slots. Reason
/// for the limit: a large answer takes a third longer by it, which its callers can spare.
const LARGE_PERCENT: u64 = 75;

/// Bytes of one answer that are not counted as large: what one read takes in.
const SMALL_BYTES: u64 = 16 * 1_024;

/// How far ahead of the pace bytes may be read. Timers are a millisecond coarse, and on a fast link
/// a wait for every few kilobytes would cost more than it saves.
const READ_AHEAD: Duration = Duration::from_millis(5);

/// Paces what is read of large answers, all together, to a part of a host's link.
///
/// An upstream's machine sends as fast as the reader makes room. What is not read stays there and
/// fills no link, so pacing the reading keeps the link's queue short.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    /// Bytes a second for large answers.
    rate: u64,
    /// When what was read so far will have come in at that rate.
    busy_until: Moment,
}

impl LinkPacer {
    /// Makes a pacer for a link of so many kilobits a second.
    #[must_use]
    pub fn new(kbps: u32) -> Self {
        let link = u64::from(kbps) * 1_000 / 8;
        Self { rate: (link * LARGE_PERCENT / 100).max(1), busy_until: Moment::ZERO }
    }

    /// Notes bytes that were read of an answer of which `before` bytes had come already; returns
    /// when more of it may be read, none if at once.
    pub fn note(&mut self, now: Moment, before: u64, bytes: u64) -> Option<Moment> {
        let large = (before + bytes).saturating_sub(SMALL_BYTES.max(before));
        if large == 0 {
            return None;
        }
        let takes = Duration::from_micros(large.saturating_mul(1_000_000) / self.rate);
        self.busy_until = self.busy_until.max(now) + takes;
        let next = self.busy_until - READ_AHEAD;
        (next > now).then_some(next)
    }
}
