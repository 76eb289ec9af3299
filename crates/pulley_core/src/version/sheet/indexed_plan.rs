//! A plan with indices for fast look-ups.

use std::ops::Deref;
use std::sync::Arc;

use smol_str::SmolStr;

use super::pool_summary::PoolSummary;
use super::route_index::RouteIndex;
use super::{ApiKeyDigest, KindPlan, OrganisationTerms, PolicyPlan, WarmUpTerms};
use crate::process::{FastMap, PoolName, ProbeRate};

/// A plan in force with its indices, built once per version, so that look-ups for requests and
/// views don't take longer with more rows.
#[derive(Clone, Debug, Default)]
pub struct IndexedPlan {
    plan: Arc<PolicyPlan>,
    routes: RouteIndex,
    /// The pools, in order of first mention.
    pool_names: Vec<PoolName>,
    summaries: FastMap<PoolName, PoolSummary>,
    /// The index of the organisation that holds each key.
    key_owners: FastMap<ApiKeyDigest, usize>,
}

impl IndexedPlan {
    /// Builds the indices of a plan.
    #[must_use]
    pub fn new(plan: Arc<PolicyPlan>) -> Self {
        let routes = RouteIndex::new(&plan.kinds);
        let mut pools = PoolCollector::default();
        for (row, kind) in plan.kinds.iter().enumerate() {
            pools.summary_of(&kind.pool).add(row, kind);
        }
        for terms in &plan.pools {
            pools.summary_of(&terms.pool).set_terms(terms);
        }
        let pool_names: Vec<PoolName> = pools.names.into_iter().cloned().collect();
        let summaries = pool_names.iter().cloned().zip(pools.summaries).collect();
        let organisations = plan.organisations.iter().enumerate();
        let owners = organisations
            .flat_map(|(index, terms)| terms.keys.iter().map(move |key| (*key, index)));
        let key_owners = owners.collect();
        Self { plan, routes, pool_names, summaries, key_owners }
    }

    /// Returns the plan without its indices.
    #[must_use]
    pub const fn plan(&self) -> &Arc<PolicyPlan> {
        &self.plan
    }

    /// Finds the row for a request. Rows with a host name take precedence over rows for any host,
    /// then the longest path prefix wins, then a row that names a method wins. Among equally good
    /// matches, the random number `draw` chooses by weight. `host` may have a port and upper-case
    /// letters.
    ///
    /// The choice is made once per request and holds for all its attempts. If requests moved to
    /// another pool when theirs is full, a 10 % split meant to try out a new release would grow
    /// with the load.
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

    /// Returns the pools that a row's requests are split over by weight, each once.
    #[must_use]
    pub fn split_pools(&self, row: &KindPlan) -> Vec<PoolName> {
        let is_beside = |other: &&KindPlan| {
            other.path_prefix == row.path_prefix
                && other.method == row.method
                && other.route.host == row.route.host
        };
        let mut pools: Vec<PoolName> =
            self.kinds.iter().filter(is_beside).map(|other| other.pool.clone()).collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Whether requests for a row need the key of an organisation.
    #[must_use]
    pub fn needs_key(&self, row: &KindPlan) -> bool {
        !self.organisations.is_empty() && !row.route.public
    }

    /// Finds the organisation that holds a key.
    #[must_use]
    pub fn find_key_owner(&self, key: &ApiKeyDigest) -> Option<&OrganisationTerms> {
        let owner = self.key_owners.get(key)?;
        self.organisations.get(*owner)
    }

    /// Returns the pools, each once, in order of first mention.
    #[must_use]
    pub fn pools(&self) -> &[PoolName] {
        &self.pool_names
    }

    /// Whether the plan mentions a pool.
    #[must_use]
    pub fn contains_pool(&self, pool: &PoolName) -> bool {
        self.summaries.contains_key(pool)
    }

    /// Returns the rows of a pool with their indices, in the plan's order.
    pub fn rows_of(&self, pool: &PoolName) -> impl Iterator<Item = (usize, &KindPlan)> {
        let rows = self.summaries.get(pool).map_or(&[][..], |summary| &summary.rows);
        rows.iter().map(|row| (*row, &self.kinds[*row]))
    }

    /// Returns the path under which a pool's upstreams report their load, if the plan sets one.
    #[must_use]
    pub fn probe_path(&self, pool: &PoolName) -> Option<&SmolStr> {
        self.summaries.get(pool)?.probe_path.as_ref()
    }

    /// Returns the warm-up limits of a pool's upstreams, if they have any.
    #[must_use]
    pub fn warm_up(&self, pool: &PoolName) -> Option<WarmUpTerms> {
        self.summaries.get(pool)?.warm_up
    }

    /// Returns the maximum number of connections to one upstream of a pool, if a row sets it.
    #[must_use]
    pub fn connections(&self, pool: &PoolName) -> Option<u32> {
        self.summaries.get(pool)?.connections
    }

    /// Returns the probes per second that all hosts together may send to a pool.
    #[must_use]
    pub fn probe_budget(&self, pool: &PoolName) -> ProbeRate {
        self.summaries.get(pool).map_or(ProbeRate(0), |summary| summary.probe_budget)
    }
}

/// Collects the pools of a plan and their summaries.
#[derive(Default)]
struct PoolCollector<'a> {
    indices: FastMap<&'a PoolName, usize>,
    names: Vec<&'a PoolName>,
    summaries: Vec<PoolSummary>,
}

impl<'a> PoolCollector<'a> {
    fn summary_of(&mut self, pool: &'a PoolName) -> &mut PoolSummary {
        let index = *self.indices.entry(pool).or_insert(self.names.len());
        if index == self.names.len() {
            self.names.push(pool);
            self.summaries.push(PoolSummary::default());
        }
        &mut self.summaries[index]
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
