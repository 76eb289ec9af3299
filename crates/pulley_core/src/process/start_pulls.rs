//! The questions of a host that has just started for what the others know.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Moment, PeerRing, RingPeer};

/// Number of other hosts that are asked, and the interval between the questions.
const START_PULLS: u32 = 5;
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// The questions of a host that has just started. Until they are answered it does not know what the
/// others keep to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartPulls {
    asked: u32,
    next: Moment,
}

impl StartPulls {
    /// Creates the questions of a host that starts now.
    pub(crate) const fn new(now: Moment) -> Self {
        Self { asked: 0, next: now }
    }

    /// Returns when a host is next to be asked; `None` once enough were.
    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        (self.asked < START_PULLS).then_some(self.next)
    }

    /// Returns the address of the host to ask now, if that is due and there is one.
    pub(crate) fn take_due(&mut self, now: Moment, ring: &PeerRing) -> Option<SocketAddr> {
        if self.asked >= START_PULLS || now < self.next {
            return None;
        }
        self.next = now + PULL_INTERVAL;
        let RingPeer { address, .. } = ring.target(self.asked)?;
        self.asked += 1;
        Some(*address)
    }
}
