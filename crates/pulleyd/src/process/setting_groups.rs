//! Groups of related settings.

use std::fmt;
use std::time::Duration;

use pulley_core::process::QuotaTerms;

/// Settings for entries and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficSettings {
    /// The longest time for which an upstream gets requests after its last announcement.
    pub upstream_lease: Duration,
    /// Whether an entry that reaches no quorum keeps serving by the last configuration it knows.
    pub serves_without_quorum: bool,
    /// Retries for one pool that all entries together may make in a short time, in addition to
    /// [`Self::retry_percent`] of the requests.
    pub retry_allowance: Option<u32>,
    /// Retries per hundred requests of a pool. Used only if an allowance is set.
    pub retry_percent: u32,
    /// The number of upstreams probed for their load when a request arrives; 0 for none.
    pub arrival_probes: usize,
    /// Probes per second of one upstream for arriving requests, summed over all entries.
    pub arrival_probe_rate: usize,
    /// The bandwidth of the host's link in kilobits per second. If `None`, it is unknown and
    /// answers are not paced.
    pub link_kbps: Option<u32>,
    /// How long the keys of organisations work on a host that learns nothing of newer
    /// configurations; `None` without a limit.
    pub key_lease: Option<Duration>,
    /// Requests beyond an organisation's burst that pass, so that small quotas refuse nobody for two
    /// requests that coincide.
    pub quota_tolerance: u16,
    /// The window over which an organisation's requests are compared with its quota.
    pub quota_window: Duration,
    /// By how many percent of a window's quota its requests may exceed it.
    pub quota_overage: u8,
}

impl TrafficSettings {
    /// Returns the bounds that quotas are kept to.
    #[must_use]
    pub fn quota_terms(&self) -> QuotaTerms {
        QuotaTerms {
            window: self.quota_window,
            overage: f32::from(self.quota_overage) / 100.0,
            tolerance: f32::from(self.quota_tolerance),
        }
    }
}

/// Settings for the replication of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationSettings {
    /// Whether hosts that ask become replicas, and replace replicas that have fallen silent.
    pub growth: bool,
    /// The number of disks that must hold a change before it is acknowledged, in addition to the
    /// majority that every change needs.
    pub copies: usize,
}

impl fmt::Display for TrafficSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let allowance = self.retry_allowance.map(|retries| retries.to_string());
        writeln!(f, "upstream-lease={}ms", self.upstream_lease.as_millis())?;
        writeln!(
            f,
            "without-quorum={}",
            if self.serves_without_quorum { "serve" } else { "refuse" }
        )?;
        writeln!(f, "retry-allowance={}", allowance.unwrap_or_default())?;
        writeln!(f, "retry-percent={}", self.retry_percent)?;
        writeln!(f, "arrival-probes={}", self.arrival_probes)?;
        writeln!(f, "arrival-probe-rate={}", self.arrival_probe_rate)?;
        let link = self.link_kbps.map(|rate| rate.to_string());
        writeln!(f, "link-kbps={}", link.unwrap_or_default())?;
        let lease = self.key_lease.map(|lease| format!("{}ms", lease.as_millis()));
        writeln!(f, "key-lease={}", lease.unwrap_or_default())?;
        writeln!(f, "quota-tolerance={}", self.quota_tolerance)?;
        writeln!(f, "quota-window={}", self.quota_window.as_secs_f64())?;
        writeln!(f, "quota-overage={}", self.quota_overage)
    }
}

impl fmt::Display for ReplicationSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "replica-growth={}", if self.growth { "yes" } else { "no" })?;
        writeln!(f, "replica-copies={}", self.copies)
    }
}
