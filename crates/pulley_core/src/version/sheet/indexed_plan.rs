//! A plan as hosts work by it, with what its readers look up.

use std::ops::Deref;
use std::sync::Arc;

use super::route_index::RouteIndex;
use super::{KindPlan, PolicyPlan};
use crate::version::StoredPlan;

/// A plan in force, made once a version; what each request or view asks of it does not take longer
/// the more rows it has.
#[derive(Clone, Debug, Default)]
pub struct IndexedPlan {
    stored: Arc<StoredPlan>,
    routes: RouteIndex,
}

impl IndexedPlan {
    /// Works out what readers look up.
    #[must_use]
    pub fn new(stored: Arc<StoredPlan>) -> Self {
        let routes = RouteIndex::new(&stored.plan.kinds);
        Self { stored, routes }
    }

    /// The plan as it is stored.
    #[must_use]
    pub const fn stored(&self) -> &Arc<StoredPlan> {
        &self.stored
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
}

impl Deref for IndexedPlan {
    type Target = PolicyPlan;

    fn deref(&self) -> &PolicyPlan {
        &self.stored.plan
    }
}

impl From<PolicyPlan> for IndexedPlan {
    fn from(plan: PolicyPlan) -> Self {
        Self::new(Arc::new(StoredPlan { plan, ..StoredPlan::default() }))
    }
}
