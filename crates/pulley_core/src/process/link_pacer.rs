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

/// The first bytes of an answer of unknown length, which are not paced: the size of one read.
const SMALL_BYTES: u64 = 16 * 1_024;

/// How long the link may be busy with one piece of a large answer on its way to the caller. Probes of
/// upstreams that wait behind it still come back within their timeout.
const PIECE_TIME: Duration = Duration::from_millis(10);

/// The smallest piece in which a large answer is passed on: one full packet.
const MIN_PIECE_BYTES: u64 = 1_460;

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
    /// The largest piece in which they are passed on, in bytes.
    piece: u64,
    /// When the bytes read so far would have arrived at that rate.
    busy_until: Moment,
    /// Whether nothing is held back any more.
    is_released: bool,
}

impl LinkPacer {
    /// Makes a pacer for a link of `kbps` kilobits a second.
    #[must_use]
    pub fn new(kbps: u32) -> Self {
        let link = u64::from(kbps) * 1_000 / 8;
        let piece = link.saturating_mul(PIECE_TIME.as_millis() as u64) / 1_000;
        Self {
            rate: (link * LARGE_PERCENT / 100).max(1),
            piece: piece.max(MIN_PIECE_BYTES),
            busy_until: Moment::ZERO,
            is_released: false,
        }
    }

    /// Returns how many bytes of an answer are not paced, given its length if that is known. None of
    /// an answer are that is known to be large.
    #[must_use]
    pub fn unpaced_bytes(length: Option<u64>) -> u64 {
        match length {
            Some(length) if length > SMALL_BYTES => 0,
            _ => SMALL_BYTES,
        }
    }

    /// Returns the largest piece in which the paced part of an answer is passed on, in bytes.
    ///
    /// What has arrived in one read would otherwise fill the link to the caller for several times
    /// as long as a probe may take.
    #[must_use]
    pub fn piece_bytes(&self) -> usize {
        usize::try_from(self.piece).unwrap_or(usize::MAX)
    }

    /// Holds back nothing from now on. A host that shuts down could otherwise cut answers that its link
    /// would have passed on in time.
    pub fn release(&mut self) {
        self.is_released = true;
    }

    /// Records that `bytes` bytes of the paced part of an answer were passed on. Returns when more of
    /// it may be passed on, or `None` if that may be done at once.
    pub fn record_passed(&mut self, now: Moment, bytes: u64) -> Option<Moment> {
        if bytes == 0 || self.is_released {
            return None;
        }
        let transfer_time = Duration::from_micros(bytes.saturating_mul(1_000_000) / self.rate);
        self.busy_until = self.busy_until.max(now) + transfer_time;
        let next = self.busy_until - READ_AHEAD;
        (next > now).then_some(next)
    }
}
