//! Intervals, timeouts and limits of membership.

use std::time::Duration;

/// Settings of a [`super::MemberTable`]; the defaults suit 3 to 1,000 hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    pub(crate) probe_interval: Duration,
    pub(crate) ack_timeout: Duration,
    pub(crate) relays: usize,
    pub(crate) sync_interval: Duration,
    pub(crate) dead_retention: Duration,
    pub(crate) host_limit: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            relays: 3,
            sync_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(600),
            host_limit: 1_024,
        }
    }
}

impl MemberSettings {
    /// Sets the interval at which one other host is probed.
    #[must_use]
    pub fn with_probe_interval(mut self, interval: Duration) -> Self {
        self.probe_interval = interval;
        self
    }

    /// Sets how long an answer may take before other hosts are asked to probe the host too.
    #[must_use]
    pub fn with_ack_timeout(mut self, timeout: Duration) -> Self {
        self.ack_timeout = timeout;
        self
    }

    /// Sets how many other hosts are asked to probe a host that has not answered in time.
    #[must_use]
    pub fn with_relays(mut self, relays: usize) -> Self {
        self.relays = relays;
        self
    }

    /// Sets the interval at which the whole table is compared with another host's.
    #[must_use]
    pub fn with_sync_interval(mut self, interval: Duration) -> Self {
        self.sync_interval = interval;
        self
    }

    /// Sets how long a dead host is remembered and contacted again.
    #[must_use]
    pub fn with_dead_retention(mut self, retention: Duration) -> Self {
        self.dead_retention = retention;
        self
    }

    /// Sets the largest number of remembered hosts, including dead ones.
    #[must_use]
    pub fn with_host_limit(mut self, limit: usize) -> Self {
        self.host_limit = limit;
        self
    }

    /// Returns how long a suspect has to refute its suspicion in a cluster of `hosts` hosts.
    ///
    /// The suspicion must reach the suspect, and the refutation must reach all hosts. Both take a
    /// time that grows with the logarithm of the number of hosts.
    pub(crate) fn suspect_timeout(&self, hosts: usize) -> Duration {
        self.probe_interval * (usize::BITS - hosts.leading_zeros()).clamp(3, 10)
    }
}
