//! Model of an upstream: slots, a FIFO queue, and modes in which it is slow or fails.

use std::collections::VecDeque;
use std::time::Duration;

use pulley_core::Moment;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum UpstreamMode {
    /// Works at its nominal speed.
    Well,
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

const COLD_FACTOR: f64 = 5.0;
const COLD_SECONDS: f64 = 3.0;
const FAIL_TIME: Duration = Duration::from_millis(1);

impl UpstreamModel {
    pub(crate) fn new(pool: usize, index: usize, zone: usize, slots: u32) -> Self {
        let queue = VecDeque::new();
        Self { pool, index, zone, slots, mode: UpstreamMode::Well, busy: 0, queue }
    }

    /// Returns how long a request holds its slot if it starts now. `size` is its service time at
    /// nominal speed.
    pub(crate) fn service_time(&self, now: Moment, size: Duration) -> Duration {
        match self.mode {
            UpstreamMode::Well => size,
            UpstreamMode::Slow(factor) => size.mul_f64(factor),
            UpstreamMode::FailingFast => FAIL_TIME,
            UpstreamMode::Cold(since) => {
                let warmed = (now.since(since).as_secs_f64() / COLD_SECONDS).min(1.0);
                size.mul_f64(COLD_FACTOR - (COLD_FACTOR - 1.0) * warmed)
            }
        }
    }

    /// Whether a request that ends now succeeds.
    pub(crate) fn answers(&self) -> bool {
        self.mode != UpstreamMode::FailingFast
    }
}
