//! Settings of a replica.

use std::time::Duration;

use super::LedgerLimits;
use crate::process::{HostId, MemberId, Moment};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The replicas that found the cluster; ignored once a log exists.
    pub bootstrap: Vec<(HostId, MemberId)>,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without a heartbeat after which a follower starts an election. The actual
    /// timeout is random and at most twice as long, so that two followers seldom start at the same
    /// time.
    pub election_timeout: Duration,
    /// The ledger's limits.
    pub ledger: LedgerLimits,
    /// Minimum number of bytes of entries that are kept before a snapshot replaces them.
    pub snapshot_bytes: usize,
    /// Maximum number of questions that may wait for a quorum at the same time.
    pub waiting_limit: usize,
    /// Unix time in milliseconds at [`crate::Moment::ZERO`]; for the audit trail only.
    pub unix_origin_ms: u64,
    /// Number of disks an entry must be on before it counts as committed, in addition to being on a
    /// majority's: one more than the number of disks that may be lost at once.
    pub copies: usize,
    /// Whether every host that asks becomes a member, replacing a silent member if there is one.
    /// Otherwise operators decide who is a member.
    pub grows: bool,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            bootstrap: Vec::new(),
            heartbeat: Duration::from_millis(200),
            election_timeout: Duration::from_millis(800),
            ledger: LedgerLimits::default(),
            snapshot_bytes: 4 << 20,
            waiting_limit: 10_000,
            unix_origin_ms: 0,
            copies: 1,
            grows: false,
        }
    }
}

impl ReplicaSettings {
    /// Makes settings for a cluster founded by these replicas.
    #[must_use]
    pub fn founded_by(bootstrap: Vec<(HostId, MemberId)>) -> Self {
        Self { bootstrap, ..Self::default() }
    }

    /// Returns the Unix time in milliseconds at a moment; for the audit trail only.
    #[must_use]
    pub fn unix_ms(&self, now: Moment) -> u64 {
        let passed = u64::try_from(now.since(Moment::ZERO).as_millis()).unwrap_or(u64::MAX);
        self.unix_origin_ms.saturating_add(passed)
    }

    /// Sets the interval between a leader's heartbeats.
    #[must_use]
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets the shortest election timeout.
    #[must_use]
    pub fn with_election_timeout(mut self, timeout: Duration) -> Self {
        self.election_timeout = timeout;
        self
    }

    /// Sets the ledger's limits.
    #[must_use]
    pub fn with_ledger(mut self, ledger: LedgerLimits) -> Self {
        self.ledger = ledger;
        self
    }

    /// Sets the minimum number of bytes of entries that are kept before a snapshot replaces them.
    #[must_use]
    pub fn with_snapshot_bytes(mut self, bytes: usize) -> Self {
        self.snapshot_bytes = bytes;
        self
    }

    /// Sets the maximum number of questions that wait for a quorum at once.
    #[must_use]
    pub fn with_waiting_limit(mut self, limit: usize) -> Self {
        self.waiting_limit = limit;
        self
    }

    /// Sets the number of disks an entry must be on before it counts as committed.
    #[must_use]
    pub fn with_copies(mut self, copies: usize) -> Self {
        self.copies = copies;
        self
    }

    /// Sets whether every host that asks becomes a member.
    #[must_use]
    pub fn with_growth(mut self, grows: bool) -> Self {
        self.grows = grows;
        self
    }

    /// Sets the Unix time, in milliseconds, at the start of the process's clock.
    #[must_use]
    pub fn with_unix_origin(mut self, unix_ms: u64) -> Self {
        self.unix_origin_ms = unix_ms;
        self
    }
}
