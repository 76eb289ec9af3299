//! The checked sheet: what each kind of request may use.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::process::{KindName, PoolName, ProbeRate, ServiceName, ShareFraction, SlotCount};

/// Priority of a kind; 0 goes first, 9 last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u8);

/// Which methods a row matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MethodMatch {
    /// Every method.
    Any,
    /// One method, in capitals.
    Only(SmolStr),
}

impl MethodMatch {
    /// Whether a request's method fits.
    #[must_use]
    pub fn fits(&self, method: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => wanted == method,
        }
    }
}

/// Whether work of a kind holds a slot for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkLength {
    /// Milliseconds.
    Short,
    /// Much longer than the pool's short work.
    Long,
}

/// One row of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindPlan {
    /// The pool whose upstreams answer.
    pub pool: PoolName,
    /// The service that the capacity is given to.
    pub service: ServiceName,
    /// The kind, unique within its service.
    pub kind: KindName,
    /// Which methods match.
    pub method: MethodMatch,
    /// Which paths match; the longest prefix wins.
    pub path_prefix: SmolStr,
    /// Who goes first.
    pub priority: RequestPriority,
    /// The part of the pool's slots that this row adds to its service's share.
    pub share: ShareFraction,
    /// Slots of the pool kept free for this kind.
    pub reserved_slots: SlotCount,
    /// How long a caller waits when it names no deadline of its own.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it holds a slot for long.
    pub length: WorkLength,
    /// What this row adds to its pool's probe budget, over all hosts together.
    pub probe_budget: ProbeRate,
}

/// A whole checked sheet; rows keep the sheet's order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyPlan {
    /// The rows.
    pub kinds: Vec<KindPlan>,
}

impl PolicyPlan {
    /// Finds the row for a request: the longest path prefix wins, then a named method.
    #[must_use]
    pub fn find(&self, method: &str, path: &str) -> Option<(usize, &KindPlan)> {
        self.kinds
            .iter()
            .enumerate()
            .filter(|(_, row)| {
                row.method.fits(method) && path.starts_with(row.path_prefix.as_str())
            })
            .max_by_key(|(_, row)| (row.path_prefix.len(), row.method != MethodMatch::Any))
    }

    /// The pools named, each once, in order of first mention.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolName> {
        let mut pools: Vec<PoolName> = Vec::new();
        for row in &self.kinds {
            if !pools.contains(&row.pool) {
                pools.push(row.pool.clone());
            }
        }
        pools
    }

    /// Probes a second that all hosts together may send to a pool.
    #[must_use]
    pub fn probe_budget(&self, pool: &PoolName) -> ProbeRate {
        let total = self
            .kinds
            .iter()
            .filter(|row| row.pool == *pool)
            .fold(0_u32, |sum, row| sum.saturating_add(row.probe_budget.0));
        ProbeRate(total)
    }
}
