//! Model of an upstream: slots, a FIFO queue, and modes in which it is slow or fails.

use std::collections::VecDeque;
use std::time::Duration;

use pulley_core::Moment;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UpstreamMode {
    /// Works at its nominal speed.
    Healthy,
    /// Takes longer by this factor.
    Slow(f64),
    /// Fails every request after a millisecond.
    FailingFast,
    /// Takes five times as long at the given time, and reaches its nominal speed linearly within
    /// three seconds.
    Cold(Moment),
}

/// A modelled upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamModel {
    pub(crate) pool: usize,
    pub(crate) index: usize,
    pub(crate) zone: usize,
    pub(crate) slots: u32,
    pub(crate) mode: UpstreamMode,
    pub(crate) busy: u32,
    pub(crate) queue: VecDeque<usize>,
}

const COLD_SLOWDOWN: f64 = 5.0;
const COLD_WARM_UP_S: f64 = 3.0;
const FAILURE_LATENCY: Duration = Duration::from_millis(1);

impl UpstreamModel {
    pub(crate) fn new(pool: usize, index: usize, zone: usize, slots: u32) -> Self {
        let queue = VecDeque::new();
        Self { pool, index, zone, slots, mode: UpstreamMode::Healthy, busy: 0, queue }
    }

    /// Returns how long a request holds its slot if it starts now. `nominal_time` is its service
    /// time at nominal speed.
    pub(crate) fn service_time(&self, now: Moment, nominal_time: Duration) -> Duration {
        match self.mode {
            UpstreamMode::Healthy => nominal_time,
            UpstreamMode::Slow(factor) => nominal_time.mul_f64(factor),
            UpstreamMode::FailingFast => FAILURE_LATENCY,
            UpstreamMode::Cold(since) => {
                let warmed = (now.since(since).as_secs_f64() / COLD_WARM_UP_S).min(1.0);
                nominal_time.mul_f64(COLD_SLOWDOWN - (COLD_SLOWDOWN - 1.0) * warmed)
            }
        }
    }

    /// Whether a request that ends now succeeds.
    pub(crate) fn succeeds(&self) -> bool {
        self.mode != UpstreamMode::FailingFast
    }
}
