//! Requests to the scheduler and the effects that it returns.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RefusalCause;
use crate::process::{Incarnation, Moment, UpstreamId};

/// Number of a request within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request that needs an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTicket {
    /// Its number, unique in the process.
    pub number: RequestNumber,
    /// Its row in the plan in force.
    pub kind: usize,
    /// When its answer is no longer of use.
    pub deadline: Moment,
    /// The time by which the caller wants the answer, if the plan sets one.
    pub target: Option<Moment>,
    /// Number of earlier attempts: 0 for the first attempt.
    pub attempt: u8,
    /// Upstreams that earlier attempts have tried.
    pub avoid: Vec<UpstreamId>,
}

/// An action that the scheduler requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEffect {
    /// Send the request now. A slot is counted as used until the request is finished.
    Start {
        /// The number of the request.
        number: RequestNumber,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// The upstream's address.
        address: SocketAddr,
        /// The upstream's incarnation.
        incarnation: Incarnation,
    },
    /// Refuse the request at once, as not run.
    Refuse {
        /// The number of the request.
        number: RequestNumber,
        /// The cause of the refusal.
        cause: RefusalCause,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Effects in the order in which they must be carried out.
pub type SchedulerEffects = Vec<SchedulerEffect>;

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is no server error.
    Answered,
    /// A whole answer that is a server error.
    Failed,
    /// The upstream reports that it shed the request without running it.
    Shed,
    /// The upstream turned the request away and asked for rest, which says nothing of its health.
    Rested,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The connection broke, or the attempt timed out, after bytes were sent.
    Broken,
    /// The caller left.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the outcome points to a fault of the upstream or of the network path to it.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        !matches!(self, Self::Answered | Self::Rested | Self::Cancelled)
    }
}

/// An upstream's own load report, as read from a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Busy fraction of the upstream's slots, from 0 to 1. It may exceed 1 when the upstream queues
    /// requests.
    pub utilization: f32,
    /// Requests running at the upstream, if reported.
    pub in_flight: Option<u32>,
    /// Requests queued at the upstream, if reported.
    pub waiting: Option<u32>,
    /// Current duration of work relative to its usual duration, if reported. Neighbours on the same
    /// machine may slow an upstream down.
    pub slowdown: Option<f32>,
    /// Remaining time for which the upstream is cold, if reported; zero once it has warmed up.
    pub cold_left: Option<Duration>,
}

impl LoadReport {
    /// Returns the load after one of the counted requests has ended. The next queued request takes
    /// its slot.
    #[must_use]
    pub fn without_answered_request(mut self) -> Self {
        match self.waiting {
            Some(waiting) if waiting > 0 => self.waiting = Some(waiting - 1),
            _ => self.in_flight = self.in_flight.map(|count| count.saturating_sub(1)),
        }
        self
    }
}
