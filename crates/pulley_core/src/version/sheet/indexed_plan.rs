//! A plan as hosts work by it, with what its readers look up.

use std::ops::Deref;
use std::sync::Arc;

use smol_str::SmolStr;

use super::pool_summary::PoolSummary;
use super::route_index::RouteIndex;
use super::{KindPlan, PolicyPlan, WarmUpTerms};
use crate::process::{FastMap, PoolName, ProbeRate};

/// A plan in force, made once a version; what each request or view asks of it does not take longer
/// the more rows it has.
#[derive(Clone, Debug, Default)]
pub struct IndexedPlan {
    plan: Arc<PolicyPlan>,
    routes: RouteIndex,
    /// The pools in order of first mention.
    pool_names: Vec<PoolName>,
    summaries: FastMap<PoolName, PoolSummary>,
}

impl IndexedPlan {
    /// Works out what readers look up.
    #[must_use]
    pub fn new(plan: Arc<PolicyPlan>) -> Self {
        let routes = RouteIndex::new(&plan.kinds);
        let mut pools = PoolGathering::default();
        for (row, kind) in plan.kinds.iter().enumerate() {
            pools.summary_of(&kind.pool).add(row, kind);
        }
        for terms in &plan.pools {
            pools.summary_of(&terms.pool).set_terms(terms);
        }
        let pool_names: Vec<PoolName> = pools.names.into_iter().cloned().collect();
        let summaries = pool_names.iter().cloned().zip(pools.summaries).collect();
        Self { plan, routes, pool_names, summaries }
    }

    /// The plan without what is looked up.
    #[must_use]
    pub const fn shared(&self) -> &Arc<PolicyPlan> {
        &self.plan
    }

    /// Finds the row for a request: a named host goes before any, then the longest path prefix
    /// wins, then a named method. Among rows that match alike `draw`, a random number, chooses by
    /// their weights. The host may have a port, and capitals.
    ///
    /// The choice falls once a request and holds for all its attempts: moved to another pool when
    /// its own is full, a tenth meant to try out a new release would grow with the load.
    #[must_use]
    pub fn find(
        &self,
        host: &str,
        method: &str,
        path: &str,
        draw: u32,
    ) -> Option<(usize, &KindPlan)> {
        let row = self.routes.find(&self.kinds, host, method, path, draw)?;
        Some((row, &self.kinds[row]))
    }

    /// The pools named, each once, in order of first mention.
    #[must_use]
    pub fn pools(&self) -> &[PoolName] {
        &self.pool_names
    }

    /// Whether a pool is named.
    #[must_use]
    pub fn names_pool(&self, pool: &PoolName) -> bool {
        self.summaries.contains_key(pool)
    }

    /// The rows of a pool with their places, in the plan's order.
    pub fn rows_of(&self, pool: &PoolName) -> impl Iterator<Item = (usize, &KindPlan)> {
        let rows = self.summaries.get(pool).map_or(&[][..], |summary| &summary.rows);
        rows.iter().map(|row| (*row, &self.kinds[*row]))
    }

    /// Where a pool's upstreams answer how loaded they are, if the plan says so.
    #[must_use]
    pub fn probe_path(&self, pool: &PoolName) -> Option<&SmolStr> {
        self.summaries.get(pool)?.probe_path.as_ref()
    }

    /// What the upstreams of a pool bear after a start, if that is less than later.
    #[must_use]
    pub fn warm_up(&self, pool: &PoolName) -> Option<WarmUpTerms> {
        self.summaries.get(pool)?.warm_up
    }

    /// Most connections that one upstream of a pool takes, if a row says so.
    #[must_use]
    pub fn connections(&self, pool: &PoolName) -> Option<u32> {
        self.summaries.get(pool)?.connections
    }

    /// Probes a second that all hosts together may send to a pool.
    #[must_use]
    pub fn probe_budget(&self, pool: &PoolName) -> ProbeRate {
        self.summaries.get(pool).map_or(ProbeRate(0), |summary| summary.probe_budget)
    }
}

/// The pools of a plan while its rows are gone through.
#[derive(Default)]
struct PoolGathering<'a> {
    places: FastMap<&'a PoolName, usize>,
    names: Vec<&'a PoolName>,
    summaries: Vec<PoolSummary>,
}

impl<'a> PoolGathering<'a> {
    fn summary_of(&mut self, pool: &'a PoolName) -> &mut PoolSummary {
        let place = *self.places.entry(pool).or_insert(self.names.len());
        if place == self.names.len() {
            self.names.push(pool);
            self.summaries.push(PoolSummary::default());
        }
        &mut self.summaries[place]
    }
}

impl Deref for IndexedPlan {
    type Target = PolicyPlan;

    fn deref(&self) -> &PolicyPlan {
        &self.plan
    }
}

impl From<PolicyPlan> for IndexedPlan {
    fn from(plan: PolicyPlan) -> Self {
        Self::new(Arc::new(plan))
    }
}
