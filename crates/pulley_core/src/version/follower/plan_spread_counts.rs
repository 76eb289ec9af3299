//! What spreading the configuration has cost one host so far.

use serde::Serialize;

/// Counts of a host's part in spreading configurations, since its process began.
///
/// A chunk that was asked for and is of no use any more shows as unwanted; a host whose chunks are
/// lost on a full link shows overdue windows, and the one that overfills it many chunks served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadCounts {
    /// Fetches of a plan that were begun.
    pub fetches: u64,
    /// Ways to a later plan that came whole and did not lead to it.
    pub dropped_paths: u64,
    /// Requests for chunks sent.
    pub windows_asked: u64,
    /// Of these, sent as the answer to an earlier one had not come in time.
    pub windows_overdue: u64,
    /// Chunks received of the plan that was being fetched.
    pub chunks_taken: u64,
    /// Chunks received that were of no use.
    pub chunks_unwanted: u64,
    /// Requests for chunks answered.
    pub windows_served: u64,
    /// Requests for chunks left without an answer, as too many came.
    pub windows_unserved: u64,
    /// Chunks sent.
    pub chunks_served: u64,
}
