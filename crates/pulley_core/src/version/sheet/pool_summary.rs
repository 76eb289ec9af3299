//! What a plan says of one pool.

use smol_str::SmolStr;

use super::{KindPlan, PoolTerms, WarmUpTerms};
use crate::process::ProbeRate;

/// What the rows and terms of one pool come to.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolSummary {
    /// Its rows, in the plan's order.
    pub(super) rows: Vec<usize>,
    pub(super) connections: Option<u32>,
    pub(super) probe_budget: ProbeRate,
    pub(super) probe_path: Option<SmolStr>,
    pub(super) warm_up: Option<WarmUpTerms>,
}

impl PoolSummary {
    /// Takes in one of the pool's rows.
    pub(super) fn add(&mut self, row: usize, kind: &KindPlan) {
        self.rows.push(row);
        let connections = self.connections.into_iter().chain(kind.route.connections);
        self.connections = connections.min();
        self.probe_budget.0 = self.probe_budget.0.saturating_add(kind.probe_budget.0);
    }

    /// Takes in what holds for the pool as a whole; what is said first holds.
    pub(super) fn set_terms(&mut self, terms: &PoolTerms) {
        if self.probe_path.is_none() {
            self.probe_path = Some(terms.probe_path.clone());
            self.warm_up = terms.warm_up;
        }
    }
}
