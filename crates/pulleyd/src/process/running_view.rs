//! What the traffic side may know of control state: one immutable snapshot at a time.

use std::sync::Arc;

use arc_swap::ArcSwap;
use pulley_core::process::{FastMap, UpstreamRecord};
use pulley_core::{ConfigVersion, PolicyPlan, PoolName};
use smol_str::SmolStr;

/// Whether this host may take work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostReadiness {
    /// It serves.
    Ready,
    /// It refuses new work as not run, and tells the platform's balancer so.
    NotReady {
        /// Why, for `/healthz` and logs.
        why: SmolStr,
    },
    /// It finishes what it has.
    ShuttingDown,
}

/// A snapshot of control state; a newer one replaces it as a whole.
#[derive(Clone, Debug)]
pub struct RunningView {
    /// The configuration in force.
    pub version: ConfigVersion,
    /// Its checked sheet.
    pub plan: Arc<PolicyPlan>,
    /// The upstreams of each pool.
    pub upstreams: FastMap<PoolName, Arc<[UpstreamRecord]>>,
    /// Whether this host serves.
    pub readiness: HostReadiness,
    /// How many entries are alive, this one included; connection limits are shared by it.
    pub live_entries: u32,
}

impl Default for RunningView {
    fn default() -> Self {
        Self {
            version: ConfigVersion::default(),
            plan: Arc::default(),
            upstreams: FastMap::default(),
            readiness: HostReadiness::NotReady { why: SmolStr::new_static("starting") },
            live_entries: 1,
        }
    }
}

/// The cell that holds the current view; cheap to read from every traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ViewCell(Arc<ArcSwap<RunningView>>);

impl ViewCell {
    /// The current view.
    #[must_use]
    pub fn load(&self) -> Arc<RunningView> {
        self.0.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: RunningView) {
        self.0.store(Arc::new(view));
    }
}
