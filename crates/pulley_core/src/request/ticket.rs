//! What a request asks of the scheduler, and what the scheduler answers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RefusalCause;
use crate::process::{Moment, UpstreamId};

/// Numbers the requests of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request that wants an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTicket {
    /// Its number, unique in the process.
    pub number: RequestNumber,
    /// Its row in the plan in force.
    pub kind: usize,
    /// When its answer is no longer of use.
    pub deadline: Moment,
    /// Until when its answer is worth most to its caller, if the plan says so.
    pub target: Option<Moment>,
    /// 0 for a first attempt.
    pub attempt: u8,
    /// Upstreams that earlier attempts have tried.
    pub avoid: Vec<UpstreamId>,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEffect {
    /// Send the request now; a slot is counted as used until the request is finished.
    Start {
        /// Which request.
        number: RequestNumber,
        /// Where to.
        upstream: UpstreamId,
        /// Where that upstream listens.
        address: SocketAddr,
    },
    /// Answer at once that it was not run.
    Refuse {
        /// Which request.
        number: RequestNumber,
        /// Why.
        cause: RefusalCause,
        /// When the caller may usefully come back.
        retry_after: Duration,
    },
}

/// Effects in the order they are to be carried out.
pub type SchedulerEffects = Vec<SchedulerEffect>;

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is no server error.
    Answered,
    /// A whole answer that is a server error.
    Failed,
    /// The upstream says it shed the request unrun.
    Shed,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The connection broke, or nothing came in time, after bytes were sent.
    Broken,
    /// The caller left.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether it shows that something is wrong with the upstream or the way to it.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        !matches!(self, Self::Answered | Self::Cancelled)
    }
}

/// An upstream's own report of its load, as read from a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Busy part of the upstream, from 0 to 1; it may exceed 1 when the upstream queues.
    pub utilization: f32,
    /// Requests it works on, if it says so.
    pub in_flight: Option<u32>,
    /// Requests that wait at it, if it says so.
    pub waiting: Option<u32>,
    /// How long work takes there now, against its usual time, if it says so: its neighbours on the
    /// machine may slow it down.
    pub slowdown: Option<f32>,
    /// For how long it is still cold, if it says so; zero once it has warmed up.
    pub cold_left: Option<Duration>,
}

impl LoadReport {
    /// The load once one of the requests that it counts is over: the next that waits takes its
    /// slot.
    #[must_use]
    pub fn less_one(mut self) -> Self {
        match self.waiting {
            Some(waiting) if waiting > 0 => self.waiting = Some(waiting - 1),
            _ => self.in_flight = self.in_flight.map(|count| count.saturating_sub(1)),
        }
        self
    }
}
