//! The counters of the traffic side, for metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Counters of the traffic side. They only grow, except those of requests in progress and open
/// connections.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Requests received.
    pub requests: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Requests that ended without a response although they may have run.
    pub may_have_run: AtomicU64,
    /// Attempts after the first.
    pub retries: AtomicU64,
    /// Retries that were denied.
    pub retries_denied: AtomicU64,
    /// Responses cut short by their upstream.
    pub cut_short: AtomicU64,
    /// Load reports that could not be parsed.
    pub malformed_reports: AtomicU64,
    /// Responses in which an upstream named a request limit.
    pub limits_named: AtomicU64,
    /// Request limits that could not be parsed.
    pub malformed_limits: AtomicU64,
    /// Outcomes of claimed requests that the ledger did not record.
    pub unrecorded: AtomicU64,
    /// Caller connections refused because the process is full.
    pub callers_refused: AtomicU64,
    /// Requests in progress, including responses being streamed.
    pub in_progress: AtomicUsize,
    /// Open caller connections.
    pub caller_connections: AtomicUsize,
}

impl TrafficCounters {
    /// Increments a counter.
    #[inline]
    pub(crate) fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request and returns a permit if fewer than `limit` are in progress.
    pub(super) fn acquire_permit(self: &Arc<Self>, limit: usize) -> Option<RequestPermit> {
        Self::add(&self.requests);
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let permit = RequestPermit { counters: Arc::clone(self) };
        (before < limit).then_some(permit)
    }
}

/// A permit for a request in progress, held until the response has been streamed.
#[derive(Debug)]
pub(super) struct RequestPermit {
    counters: Arc<TrafficCounters>,
}

impl RequestPermit {
    pub(super) fn counters(&self) -> &TrafficCounters {
        &self.counters
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.counters.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
