//! Counts of the work that spreading configurations has caused on one host.

use serde::Serialize;

/// Counts of a host's part in spreading configurations since its process started.
///
/// A requested chunk that is no longer of use counts as unwanted. A host whose chunks are lost on a
/// full link shows overdue windows, and the host that overloads the link shows many chunks served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpreadCounts {
    /// Fetches of a plan that were started.
    pub fetches: u64,
    /// Paths to a later plan that arrived complete and did not lead to it.
    pub dropped_paths: u64,
    /// Requests for chunks sent.
    pub windows_asked: u64,
    /// Of these, those sent because the answer to an earlier one was late.
    pub windows_overdue: u64,
    /// Chunks received of the plan that was being fetched.
    pub chunks_taken: u64,
    /// Chunks received that were of no use.
    pub chunks_unwanted: u64,
    /// Requests for chunks answered.
    pub windows_served: u64,
    /// Requests for chunks refused because too many came.
    pub windows_unserved: u64,
    /// Chunks sent.
    pub chunks_served: u64,
}
