//! Counts of the work that spreading configurations has caused on one host.

use serde::Serialize;

/// Counts of what a host has done to spread configurations since its process started.
///
/// A requested chunk that is no longer of use counts as unwanted. A host whose chunks are lost on a
/// full link shows overdue windows (late answers to its requests), and the host that overloads the
/// link shows many chunks served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadCounts {
    /// Fetches of a plan that were started.
    pub fetches: u64,
    /// Differences that arrived complete but did not lead to the expected plan.
    pub dropped_paths: u64,
    /// Requests for chunks that this host sent.
    pub windows_asked: u64,
    /// Of the requests sent, those sent because the answer to an earlier one was late.
    pub windows_overdue: u64,
    /// Chunks received of the plan that was being fetched.
    pub chunks_taken: u64,
    /// Chunks received that were of no use.
    pub chunks_unwanted: u64,
    /// Requests of other hosts that were answered with chunks.
    pub windows_served: u64,
    /// Requests of other hosts that were refused because this host had used up its budget for
    /// sending plans.
    pub windows_unserved: u64,
    /// Chunks sent to other hosts.
    pub chunks_served: u64,
}
