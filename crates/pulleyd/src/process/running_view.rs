//! The immutable snapshot of control state that the traffic threads read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use pulley_core::process::{EntryZones, FastMap, UpstreamList};
use pulley_core::request::QuotaScope;
use pulley_core::version::EvacuatedZones;
use pulley_core::{ConfigVersion, IndexedPlan, Moment, PoolName};
use smol_str::SmolStr;

use super::ProcessClock;

/// Whether this host accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostReadiness {
    /// The host serves requests.
    Ready,
    /// The host refuses new requests with the verdict not-run, and its health check fails, so that
    /// the platform's balancer sends no more.
    NotReady {
        /// The reason, for `/healthz` and logs.
        why: SmolStr,
    },
    /// The host still serves the requests that arrive, but its health check fails, so that the
    /// platform's balancer sends no more.
    ShuttingDown,
}

/// A snapshot of control state. A newer snapshot replaces it as a whole.
#[derive(Clone, Debug)]
pub struct RunningView {
    /// The configuration in force.
    pub version: ConfigVersion,
    /// The newest accepted version known of that is not yet in force on this host.
    pub awaited_version: Option<ConfigVersion>,
    /// The checked sheet of the configuration in force.
    pub plan: Arc<IndexedPlan>,
    /// The upstreams of each pool.
    pub upstreams: FastMap<PoolName, UpstreamList>,
    /// Whether this host accepts requests.
    pub readiness: HostReadiness,
    /// The zones that operators have evacuated. Their upstreams get no requests.
    pub evacuated: Arc<EvacuatedZones>,
    /// The live entries of each zone.
    pub entries: Arc<EntryZones>,
    /// The number of entries that share what holds for all hosts together: probes, connections and
    /// retries. It includes this one, and entries that may be at work beyond a partition.
    pub sharing_entries: u32,
    /// The same entries by name, which share the quotas of organisations.
    pub quota_scope: Arc<QuotaScope>,
}

impl Default for RunningView {
    fn default() -> Self {
        Self {
            version: ConfigVersion::default(),
            awaited_version: None,
            plan: Arc::default(),
            upstreams: FastMap::default(),
            readiness: HostReadiness::NotReady { why: SmolStr::new_static("starting") },
            evacuated: Arc::default(),
            entries: Arc::default(),
            sharing_entries: 1,
            quota_scope: Arc::default(),
        }
    }
}

impl RunningView {
    /// Returns how many upstreams get no requests because their zone is evacuated.
    #[must_use]
    pub fn evacuated_upstreams(&self) -> usize {
        if self.evacuated.zones.is_empty() {
            return 0;
        }
        let records = self.upstreams.values().flat_map(|list| list.iter());
        records.filter(|record| self.evacuated.contains(&record.announcement.zone)).count()
    }
}

/// How long a view stays valid after the control thread last confirmed it.
///
/// A process that was starved of CPU by other processes wakes up with its old view, while a newer
/// configuration may be in force elsewhere. Traffic threads would use the stale view until the
/// control thread runs again. Together with the lease of 3 s this stays below the 4 s within which
/// a configuration is in force everywhere. The control thread confirms the view at least every
/// 250 ms.
const VIEW_LIFETIME: Duration = Duration::from_millis(900);

/// Holds the current view. Reading it is cheap from every traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ViewCell(Arc<ViewState>);

#[derive(Debug)]
struct ViewState {
    clock: ProcessClock,
    view: ArcSwap<RunningView>,
    /// In microseconds. `u64::MAX` until the first confirmation, as in tests of the traffic side,
    /// where nobody confirms views.
    valid_until: AtomicU64,
    /// Until when requests may go by the keys of the view, in microseconds. `u64::MAX` until it is
    /// first set, as in tests of the traffic side.
    keys_valid_until: AtomicU64,
}

impl ViewState {
    fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            view: ArcSwap::default(),
            valid_until: AtomicU64::new(u64::MAX),
            keys_valid_until: AtomicU64::new(u64::MAX),
        }
    }
}

impl Default for ViewState {
    fn default() -> Self {
        Self::new(ProcessClock::start())
    }
}

impl ViewCell {
    /// Creates a cell that checks the age of its view by the process's clock.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self(Arc::new(ViewState::new(clock)))
    }

    /// Returns the current view.
    #[must_use]
    pub fn load(&self) -> Arc<RunningView> {
        self.0.view.load_full()
    }

    /// Returns whether the host accepts requests now. It does not if the view was not confirmed
    /// recently.
    #[must_use]
    pub fn readiness(&self) -> HostReadiness {
        if self.0.clock.now().micros() > self.0.valid_until.load(Ordering::Acquire) {
            return HostReadiness::NotReady { why: SmolStr::new_static("control has paused") };
        }
        self.0.view.load().readiness.clone()
    }

    /// Returns whether requests may go by the keys of the current view.
    #[must_use]
    pub fn keys_valid(&self) -> bool {
        self.0.clock.now().micros() < self.0.keys_valid_until.load(Ordering::Acquire)
    }

    /// Sets until when requests may go by the keys of the current view; `None` if they may not.
    pub fn confirm_keys(&self, until: Option<Moment>) {
        let until = until.map_or(0, Moment::micros);
        self.0.keys_valid_until.store(until, Ordering::Release);
    }

    /// Replaces the view.
    pub fn store(&self, view: RunningView) {
        self.0.view.store(Arc::new(view));
    }

    /// Confirms that the view is current, which keeps it valid for 900 ms.
    pub fn confirm(&self, now: Moment) {
        self.0.valid_until.store((now + VIEW_LIFETIME).micros(), Ordering::Release);
    }
}
