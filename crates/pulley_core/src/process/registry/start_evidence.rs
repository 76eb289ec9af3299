//! What announcements tell of whether a start of an upstream has ended.

use std::net::SocketAddr;
use std::time::Duration;

use super::lease_bucket::LeaseEntry;
use super::shared_clock::LeaseEpoch;
use super::{Moment, SharedTime, UpstreamRegistry, UpstreamStart};

/// How long after a moment an upstream must be heard from to show that it outlived it. An announcement
/// may be on its way for a while, and hosts that have not heard of a later start count its answers
/// for the earlier one.
const OUTLIVED_MARGIN: Duration = Duration::from_secs(2);

/// The fraction of leases that must be valid for a lapsed one to tell of its upstream's end. On a host
/// that is cut off from the others, all lapse.
const MIN_VALID_DIVISOR: usize = 2;

/// What announcements tell of one start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartEvidence {
    /// A later start has been announced under its id or at its address, so that it has ended.
    LaterStart,
    /// Its lease has lapsed while most others hold, so that it has ended.
    LapsedLease,
    /// It leaves, or has left, in an orderly way.
    Leaving,
    /// It was heard from long enough after the moment in question.
    Alive,
    /// Nothing is certain.
    None,
}

impl StartEvidence {
    /// Whether the start has ended without a notice.
    #[must_use]
    pub const fn is_end(self) -> bool {
        matches!(self, Self::LaterStart | Self::LapsedLease)
    }

    /// Returns the evidence as written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LaterStart => "later-start",
            Self::LapsedLease => "lapsed-lease",
            Self::Leaving => "leaving",
            Self::Alive => "alive",
            Self::None => "none",
        }
    }
}

impl UpstreamRegistry {
    /// Returns what announcements tell of a start of an upstream at an address, with which something
    /// happened at the shared time `at`.
    #[must_use]
    pub fn start_evidence(
        &self,
        now: Moment,
        start: &UpstreamStart,
        address: SocketAddr,
        at: SharedTime,
    ) -> StartEvidence {
        let Some(entry) = self.table.find(&start.id) else { return StartEvidence::None };
        let announcement = &entry.record.announcement;
        if announcement.incarnation > start.incarnation {
            return StartEvidence::LaterStart;
        }
        if !entry.record.takes_work() {
            return StartEvidence::Leaving;
        }
        if self.has_later_start_at(address, start) {
            return StartEvidence::LaterStart;
        }
        let outlived = self.clock.epoch_of(at.after(OUTLIVED_MARGIN));
        if entry.renewed > outlived {
            return StartEvidence::Alive;
        }
        let epoch = self.clock.epoch(now);
        let has_lapsed = !entry.renewed.is_valid_at(epoch) && self.hears_of_most(epoch);
        if has_lapsed { StartEvidence::LapsedLease } else { StartEvidence::None }
    }

    /// Whether another upstream listens at the address of a start and began later.
    fn has_later_start_at(&self, address: SocketAddr, start: &UpstreamStart) -> bool {
        let is_later = |entry: &LeaseEntry| {
            let other = &entry.record.announcement;
            other.address == address
                && other.id != start.id
                && other.incarnation > start.incarnation
        };
        self.table.entries().any(is_later)
    }

    /// Whether most upstreams that take work have valid leases.
    fn hears_of_most(&self, epoch: LeaseEpoch) -> bool {
        let working = self.table.entries().filter(|entry| entry.record.takes_work());
        let (valid, lapsed): (Vec<_>, Vec<_>) =
            working.map(|entry| entry.renewed.is_valid_at(epoch)).partition(|valid| *valid);
        valid.len() >= (valid.len() + lapsed.len()).div_ceil(MIN_VALID_DIVISOR)
    }
}
