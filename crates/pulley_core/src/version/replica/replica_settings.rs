//! What may be set of a replica.

use std::time::Duration;

use super::LedgerLimits;
use crate::process::{HostId, MemberId, Moment};

/// What may be set of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The replicas that found the cluster; without meaning once a log exists.
    pub bootstrap: Vec<(HostId, MemberId)>,
    /// How often a leader tells its followers that it lives.
    pub heartbeat: Duration,
    /// How long a follower hears nothing before it stands for election, at least; at most twice
    /// that, by chance, so that two seldom stand at once.
    pub election_timeout: Duration,
    /// The ledger's limits.
    pub ledger: LedgerLimits,
    /// How many bytes of entries are kept before a snapshot replaces them, at least.
    pub snapshot_weight: usize,
    /// How many questions may wait for a quorum at once.
    pub waiting_limit: usize,
    /// Unix time in milliseconds at [`crate::Moment::ZERO`]; for the audit trail only.
    pub unix_origin_ms: u64,
    /// How many disks an entry must be on before it counts as committed, besides being on a
    /// majority's: one more than disks may be lost at once.
    pub copies: usize,
    /// Whether every host that asks becomes a member, in place of one that has fallen silent if
    /// there is one. Otherwise operators say who is a member.
    pub grows: bool,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            bootstrap: Vec::new(),
            heartbeat: Duration::from_millis(200),
            election_timeout: Duration::from_millis(800),
            ledger: LedgerLimits::default(),
            snapshot_weight: 4 << 20,
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

    /// Unix time in milliseconds at a moment; for the audit trail only.
    #[must_use]
    pub fn unix_ms(&self, now: Moment) -> u64 {
        let passed = u64::try_from(now.since(Moment::ZERO).as_millis()).unwrap_or(u64::MAX);
        self.unix_origin_ms.saturating_add(passed)
    }

    /// Sets how often a leader tells its followers that it lives.
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

    /// Sets how many bytes of entries are kept before a snapshot replaces them.
    #[must_use]
    pub fn with_snapshot_weight(mut self, weight: usize) -> Self {
        self.snapshot_weight = weight;
        self
    }

    /// Sets how many questions may wait for a quorum at once.
    #[must_use]
    pub fn with_waiting_limit(mut self, limit: usize) -> Self {
        self.waiting_limit = limit;
        self
    }

    /// Sets how many disks an entry must be on before it counts as committed.
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

    /// Sets the Unix time, in milliseconds, at the beginning of the process's clock.
    #[must_use]
    pub fn with_unix_origin(mut self, unix_ms: u64) -> Self {
        self.unix_origin_ms = unix_ms;
        self
    }
}
