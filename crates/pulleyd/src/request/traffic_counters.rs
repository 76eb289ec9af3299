//! What the traffic side counts for metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Counts of the traffic side; they only ever grow, but for those in progress.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Requests taken up.
    pub requests: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Requests that ended without an answer though they may have run.
    pub may_have_run: AtomicU64,
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: AtomicU64,
    /// Answers cut short by their upstream.
    pub cut_short: AtomicU64,
    /// Load reports that could not be read.
    pub malformed_reports: AtomicU64,
    /// Claimed outcomes that the ledger did not take.
    pub unrecorded: AtomicU64,
    /// Callers' connections refused because the process is full.
    pub callers_refused: AtomicU64,
    /// Requests in progress, answers being streamed included.
    pub in_progress: AtomicUsize,
    /// Callers' connections open.
    pub caller_connections: AtomicUsize,
}

impl TrafficCounters {
    /// Adds one to a count.
    #[inline]
    pub(crate) fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a place among the requests in progress, if there are fewer than `limit`.
    pub(super) fn enter(self: &Arc<Self>, limit: usize) -> Option<RequestSeat> {
        Self::add(&self.requests);
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let seat = RequestSeat { counters: Arc::clone(self) };
        (before < limit).then_some(seat)
    }
}

/// A place among the requests in progress, held until the answer has been streamed.
#[derive(Debug)]
pub(super) struct RequestSeat {
    counters: Arc<TrafficCounters>,
}

impl RequestSeat {
    pub(super) fn counters(&self) -> &TrafficCounters {
        &self.counters
    }
}

impl Drop for RequestSeat {
    fn drop(&mut self) {
        self.counters.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
