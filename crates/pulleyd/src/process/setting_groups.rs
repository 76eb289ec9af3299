//! Settings that belong together.

use std::fmt;
use std::time::Duration;

/// What entries and upstreams go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficSettings {
    /// How long an upstream takes work after its last announcement, at most.
    pub upstream_lease: Duration,
    /// Whether an entry serves on by the last configuration it knew when it reaches no quorum.
    pub serves_on: bool,
    /// Retries of one pool's requests in a short while that all entries together may make beside
    /// their part of the requests.
    pub retry_allowance: Option<u32>,
    /// Retries for each hundred requests of a pool, where an allowance is set.
    pub retry_percent: u32,
    /// Upstreams that are asked how loaded they are when a request arrives; 0: none.
    pub arrival_probes: usize,
    /// Probes of one upstream a second for arriving requests, over all entries.
    pub arrival_probe_rate: usize,
    /// Kilobits a second that the host's link carries; none: not known, and nothing is paced.
    pub link_kbps: Option<u32>,
}

/// Who holds the log, and on how many disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// Whether hosts that ask become replicas, in place of ones that have fallen silent.
    pub growth: bool,
    /// How many disks a change must be on before it is acknowledged, besides a majority's.
    pub copies: usize,
}

impl fmt::Display for TrafficSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let allowance = self.retry_allowance.map(|retries| retries.to_string());
        writeln!(f, "upstream-lease={}ms", self.upstream_lease.as_millis())?;
        writeln!(f, "without-quorum={}", if self.serves_on { "serve" } else { "refuse" })?;
        writeln!(f, "retry-allowance={}", allowance.unwrap_or_default())?;
        writeln!(f, "retry-percent={}", self.retry_percent)?;
        writeln!(f, "arrival-probes={}", self.arrival_probes)?;
        writeln!(f, "arrival-probe-rate={}", self.arrival_probe_rate)?;
        let link = self.link_kbps.map(|rate| rate.to_string());
        writeln!(f, "link-kbps={}", link.unwrap_or_default())
    }
}

impl fmt::Display for ReplicationSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "replica-growth={}", if self.growth { "yes" } else { "no" })?;
        writeln!(f, "replica-copies={}", self.copies)
    }
}
