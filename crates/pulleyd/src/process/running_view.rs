//! What the traffic side may know of control state: one immutable snapshot at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use pulley_core::process::{EntryZones, FastMap, UpstreamList};
use pulley_core::version::EvacuatedZones;
use pulley_core::{ConfigVersion, IndexedPlan, Moment, PoolName};
use smol_str::SmolStr;

use super::ProcessClock;

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
    /// It serves what still comes, but the platform's balancer is told to send no more.
    ShuttingDown,
}

/// A snapshot of control state; a newer one replaces it as a whole.
#[derive(Clone, Debug)]
pub struct RunningView {
    /// The configuration in force.
    pub version: ConfigVersion,
    /// The newest accepted version heard of, while it isn't in force here.
    pub awaited: Option<ConfigVersion>,
    /// Its checked sheet.
    pub plan: Arc<IndexedPlan>,
    /// The upstreams of each pool.
    pub upstreams: FastMap<PoolName, UpstreamList>,
    /// Whether this host serves.
    pub readiness: HostReadiness,
    /// The zones that operators have emptied; their upstreams take no work.
    pub evacuated: Arc<EvacuatedZones>,
    /// The live entries of each zone.
    pub entries: Arc<EntryZones>,
    /// How many entries are alive, this one included; connection limits are shared by it.
    pub live_entries: u32,
}

impl Default for RunningView {
    fn default() -> Self {
        Self {
            version: ConfigVersion::default(),
            awaited: None,
            plan: Arc::default(),
            upstreams: FastMap::default(),
            readiness: HostReadiness::NotReady { why: SmolStr::new_static("starting") },
            evacuated: Arc::default(),
            entries: Arc::default(),
            live_entries: 1,
        }
    }
}

impl RunningView {
    /// How many upstreams get no work because their zone is evacuated.
    #[must_use]
    pub fn evacuated_upstreams(&self) -> usize {
        if self.evacuated.zones.is_empty() {
            return 0;
        }
        let records = self.upstreams.values().flat_map(|list| list.iter());
        records.filter(|record| self.evacuated.contains(&record.announcement.zone)).count()
    }
}

/// How long a view may be used without the control thread's word that it still holds.
///
/// A process frozen by its neighbours wakes up with the view it had, while a newer configuration
/// may be in force elsewhere; traffic threads would serve by it until the control thread runs
/// again. With the lease's 3 s this stays under the 4 s in which a configuration is in force
/// everywhere; the control thread speaks at least every 250 ms.
const VIEW_TERM: Duration = Duration::from_millis(900);

/// The cell that holds the current view; cheap to read from every traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ViewCell(Arc<ViewState>);

#[derive(Debug)]
struct ViewState {
    clock: ProcessClock,
    view: ArcSwap<RunningView>,
    /// In microseconds; without end where nobody confirms views, as in tests of the traffic side.
    holds_until: AtomicU64,
}

impl ViewState {
    fn new(clock: ProcessClock) -> Self {
        Self { clock, view: ArcSwap::default(), holds_until: AtomicU64::new(u64::MAX) }
    }
}

impl Default for ViewState {
    fn default() -> Self {
        Self::new(ProcessClock::start())
    }
}

impl ViewCell {
    /// Makes a cell that goes by the process's clock.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self(Arc::new(ViewState::new(clock)))
    }

    /// The current view.
    #[must_use]
    pub fn load(&self) -> Arc<RunningView> {
        self.0.view.load_full()
    }

    /// Whether the host serves now; a view that nobody has confirmed lately does not count.
    #[must_use]
    pub fn readiness(&self) -> HostReadiness {
        if self.0.clock.now().micros() > self.0.holds_until.load(Ordering::Acquire) {
            return HostReadiness::NotReady { why: SmolStr::new_static("control has paused") };
        }
        self.0.view.load().readiness.clone()
    }

    /// Replaces the view.
    pub fn store(&self, view: RunningView) {
        self.0.view.store(Arc::new(view));
    }

    /// Says that the view holds now; it then does for a moment.
    pub fn confirm(&self, now: Moment) {
        self.0.holds_until.store((now + VIEW_TERM).micros(), Ordering::Release);
    }
}
