//! Summary of a plan's settings for one pool.

use smol_str::SmolStr;

use super::{KindPlan, PoolTerms, WarmUpTerms};
use crate::process::ProbeRate;

/// The combined settings from the rows and terms of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolSummary {
    /// Indices of the pool's rows, in the plan's order.
    pub(super) rows: Vec<usize>,
    pub(super) connections: Option<u32>,
    pub(super) probe_budget: ProbeRate,
    pub(super) probe_path: Option<SmolStr>,
    pub(super) warm_up: Option<WarmUpTerms>,
}

impl PoolSummary {
    /// Adds one of the pool's rows.
    pub(super) fn add(&mut self, row: usize, kind: &KindPlan) {
        self.rows.push(row);
        let connections = self.connections.into_iter().chain(kind.route.connections);
        self.connections = connections.min();
        self.probe_budget.0 = self.probe_budget.0.saturating_add(kind.probe_budget.0);
    }

    /// Sets the settings of the whole pool; if the plan has several for one pool, the first apply.
    pub(super) fn set_terms(&mut self, terms: &PoolTerms) {
        if self.probe_path.is_none() {
            self.probe_path = Some(terms.probe_path.clone());
            self.warm_up = terms.warm_up;
        }
    }
}
