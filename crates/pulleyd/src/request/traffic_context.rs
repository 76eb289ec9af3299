//! What every request on the traffic side shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pulley_core::request::RequestNumber;
use slog::Logger;

use super::SchedulerSet;
use crate::connection::UpstreamConnections;
use crate::process::{ControlHandle, ProcessClock, TimerService, ViewCell};

/// Limits of the traffic side, each against one way of being overwhelmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Requests in this process at once; beyond it new ones are refused as not run, because a
    /// process short of memory would slow down or lose all of them.
    pub requests: usize,
    /// Callers' connections at once.
    pub caller_connections: usize,
    /// Bytes of a request's or answer's headers.
    pub header_bytes: usize,
    /// How long a caller may take to send a request's headers.
    pub header_timeout: Duration,
    /// Bytes of an idempotent request's body kept for a retry.
    pub replay_bytes: usize,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            requests: 20_000,
            caller_connections: 20_000,
            header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(10),
            replay_bytes: 64 * 1024,
        }
    }
}

/// What every request on the traffic side shares.
#[derive(Debug)]
pub struct TrafficContext {
    /// The snapshot of control state.
    pub view: ViewCell,
    /// Who decides which upstream a request goes to.
    pub schedulers: Arc<SchedulerSet>,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// The connections to upstreams.
    pub connections: Arc<UpstreamConnections>,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The process's timer service.
    pub timer: TimerService,
    /// Where events go.
    pub logger: Logger,
    /// What the process refuses beyond.
    pub limits: TrafficLimits,
    next_number: AtomicU64,
}

impl TrafficContext {
    /// Makes a context with default limits.
    #[must_use]
    pub fn new(
        view: ViewCell,
        schedulers: Arc<SchedulerSet>,
        control: ControlHandle,
        clock: ProcessClock,
        timer: TimerService,
        logger: Logger,
    ) -> Self {
        Self {
            view,
            schedulers,
            control,
            connections: Arc::new(UpstreamConnections::new(clock)),
            clock,
            timer,
            logger,
            limits: TrafficLimits::default(),
            next_number: AtomicU64::new(0),
        }
    }

    /// Replaces the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: TrafficLimits) -> Self {
        self.limits = limits;
        self
    }

    /// A number that no other request of this process has.
    pub(super) fn next_number(&self) -> RequestNumber {
        RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed))
    }
}
