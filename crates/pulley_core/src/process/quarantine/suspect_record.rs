//! What hosts tell each other of a content under which upstreams have ended or may have.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    ContentDigest, ContentKey, Incarnation, PoolName, SharedTime, UpstreamId, UpstreamStart,
};

/// The weight of ends at which a content is quarantined.
const QUARANTINE_WEIGHT: u32 = 3;

/// The largest weight of runs that no trial permitted and that went on beside each other. All of them
/// may have one other cause, such as the loss of a rack on which popular content runs everywhere.
const MAX_UNPERMITTED_WEIGHT: u32 = 2;

/// Maximum number of runs that a record holds; the newest are kept.
const MAX_RUNS: usize = 8;

/// Maximum number of pools that a record holds; those that changed last are kept.
const MAX_POOLS: usize = 4;

/// How long a content is quarantined after the end that led to it. Each further end doubles the
/// time, up to the maximum.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(3_600);

/// How long a record without a new run is kept, by its standing. A cleared one is kept so that an
/// older record of another host doesn't bring its runs back.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Whether an upstream ended under a run.
///
/// Of two findings on the same run the greater holds: an upstream that seemed to live on may turn out
/// to have started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunFinding {
    /// It is not known yet. The host that made the run decides by then, and after that time the run
    /// counts no more.
    Pending {
        /// When the run counts no more if nobody has decided.
        until: SharedTime,
    },
    /// The upstream lives on, or left in an orderly way.
    Refuted,
    /// The upstream ended.
    Ended,
}

/// A run of a request that got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectRun {
    /// When its host gave it up.
    pub at: SharedTime,
    /// When it began.
    pub began: SharedTime,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Which of the upstream's starts.
    pub incarnation: Incarnation,
    /// Whether the run was a trial, the only one with its content over all hosts.
    pub was_trial: bool,
    /// Whether the upstream ended.
    pub finding: RunFinding,
}

impl SuspectRun {
    fn is_same_start(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.upstream == other.upstream
    }

    /// Whether the run was made at a start of an upstream that has ended.
    pub(super) fn is_end_of(&self, start: &UpstreamStart) -> bool {
        self.finding == RunFinding::Ended
            && self.incarnation == start.incarnation
            && self.upstream == start.id
    }

    /// Takes in what another record says of a run at the same start. The order does not matter: an
    /// end overrides everything else, and otherwise the later run counts.
    fn merge(&mut self, other: &Self) {
        let rank = |run: &Self| (run.finding == RunFinding::Ended, run.at, run.finding);
        let are_ends = [&*self, other].iter().all(|run| run.finding == RunFinding::Ended);
        if are_ends {
            self.at = self.at.max(other.at);
            self.began = self.began.min(other.began);
            self.was_trial |= other.was_trial;
        } else if (rank(other), other.was_trial) > (rank(self), self.was_trial) {
            self.clone_from(other);
        }
    }

    const fn is_live(&self) -> bool {
        !matches!(self.finding, RunFinding::Refuted)
    }
}

/// How requests with a content to one pool are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStanding {
    /// They run one at a time over all hosts.
    Suspect,
    /// None runs until it is known whether upstreams have ended under those before.
    Held {
        /// When that is decided at the latest.
        until: SharedTime,
    },
    /// They are refused until then. After it one of them is tried.
    Quarantined {
        /// When a request may be tried.
        until: SharedTime,
    },
}

/// The runs of a content in one pool that got no whole answer, since one got one there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// The pool.
    pub pool: PoolName,
    /// When the pool answered a request with the content last, or an operator cleared it; zero if
    /// neither is known.
    cleared_at: SharedTime,
    /// In order.
    runs: Vec<SuspectRun>,
}

impl PoolRecord {
    const fn new(pool: PoolName) -> Self {
        Self { pool, cleared_at: SharedTime(0), runs: Vec::new() }
    }

    /// Returns the runs, oldest first.
    #[must_use]
    pub fn runs(&self) -> &[SuspectRun] {
        &self.runs
    }

    /// Whether nothing is known of the content there.
    fn is_untried(&self) -> bool {
        self.runs.is_empty() && !self.was_cleared()
    }

    fn was_cleared(&self) -> bool {
        self.cleared_at > SharedTime::default()
    }

    fn changed_at(&self) -> SharedTime {
        self.runs.last().map_or(self.cleared_at, |run| run.at.max(self.cleared_at))
    }

    fn merge(&mut self, other: &Self) {
        self.cleared_at = self.cleared_at.max(other.cleared_at);
        for run in &other.runs {
            match self.runs.iter_mut().find(|known| known.is_same_start(run)) {
                Some(known) => known.merge(run),
                None => self.runs.push(run.clone()),
            }
        }
        let cleared_at = self.cleared_at;
        self.runs.retain(|run| run.at > cleared_at);
        self.runs.sort();
    }
}

/// What is known of the runs of one content over all pools.
///
/// Records of several hosts merge into the same record in any order. A pool that has answered the
/// content since counts its own runs only. Every other pool counts those of all pools, as it may run
/// the software that ends, such as a route's next service after a change. A pool that has had runs
/// leaves one for each pool of a split row that has had none: that one may answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The content.
    pub digest: ContentDigest,
    /// In the order of their names.
    pools: Vec<PoolRecord>,
}

impl SuspectRecord {
    /// Creates a record of nothing.
    pub(super) const fn empty(digest: ContentDigest) -> Self {
        Self { digest, pools: Vec::new() }
    }

    /// Creates a record of one run, whose row is split over these pools.
    pub(super) fn of_run(key: &ContentKey, row_pools: &[PoolName], run: SuspectRun) -> Self {
        let others = row_pools.iter().filter(|other| **other != key.pool);
        let mut pools: Vec<PoolRecord> = others.cloned().map(PoolRecord::new).collect();
        pools.push(PoolRecord { runs: vec![run], ..PoolRecord::new(key.pool.clone()) });
        pools.sort_by(|a, b| a.pool.cmp(&b.pool));
        Self { digest: key.digest, pools }
    }

    /// Creates a record of a pool where the content is no longer suspected.
    pub(super) fn cleared(digest: ContentDigest, pool: PoolName, cleared_at: SharedTime) -> Self {
        Self { digest, pools: vec![PoolRecord { cleared_at, ..PoolRecord::new(pool) }] }
    }

    /// Returns what is known of each pool.
    #[must_use]
    pub fn pools(&self) -> &[PoolRecord] {
        &self.pools
    }

    /// Returns all runs that got no whole answer.
    pub fn runs(&self) -> impl Iterator<Item = &SuspectRun> {
        self.pools.iter().flat_map(|pool| &pool.runs)
    }

    /// Returns how requests with the content to a pool are treated; `None` if it is not suspected.
    #[must_use]
    pub fn standing(&self, pool: &PoolName) -> Option<ContentStanding> {
        match self.pools.iter().find(|known| known.pool == *pool) {
            Some(known) if known.was_cleared() => standing_of(known.runs.iter(), QUARANTINE_WEIGHT),
            Some(known) if known.is_untried() => {
                self.is_suspected().then_some(ContentStanding::Suspect)
            }
            Some(_) => standing_of(self.runs(), QUARANTINE_WEIGHT - self.untried_weight()),
            None => self.standing_elsewhere(),
        }
    }

    /// Returns the weight that is left to pools that have had no run, so that one run remains.
    fn untried_weight(&self) -> u32 {
        let untried = self.pools.iter().filter(|known| known.is_untried()).count();
        u32::try_from(untried).unwrap_or(u32::MAX).min(QUARANTINE_WEIGHT - 1)
    }

    /// Returns how requests with the content to pools that never answered it are treated.
    #[must_use]
    pub fn standing_elsewhere(&self) -> Option<ContentStanding> {
        standing_of(self.runs(), QUARANTINE_WEIGHT)
    }

    /// Whether requests with the content are suspected in any pool.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.runs().any(SuspectRun::is_live)
    }

    /// Takes in what another record of the same content holds. Returns whether anything is new.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for theirs in &other.pools {
            let position = match self.pools.binary_search_by(|ours| ours.pool.cmp(&theirs.pool)) {
                Ok(position) => position,
                Err(position) => {
                    self.pools.insert(position, PoolRecord::new(theirs.pool.clone()));
                    position
                }
            };
            self.pools[position].merge(theirs);
        }
        self.drop_surplus();
        *self != before
    }

    /// Makes every run that waits for a decision beyond its time count no more. Returns whether there
    /// was one.
    pub(super) fn lapse(&mut self, time: SharedTime) -> bool {
        let mut has_lapsed = false;
        for run in self.pools.iter_mut().flat_map(|pool| &mut pool.runs) {
            if matches!(run.finding, RunFinding::Pending { until } if until < time) {
                run.finding = RunFinding::Refuted;
                has_lapsed = true;
            }
        }
        has_lapsed
    }

    /// Returns when the record changed last.
    pub(super) fn changed_at(&self) -> SharedTime {
        self.pools.iter().map(PoolRecord::changed_at).max().unwrap_or_default()
    }

    /// Whether the record has been kept for long enough. Every host decides alike.
    pub(super) fn is_expired(&self, time: SharedTime) -> bool {
        let retention = match self.standing_elsewhere() {
            None => CLEARED_RETENTION,
            Some(ContentStanding::Suspect | ContentStanding::Held { .. }) => SUSPECT_RETENTION,
            Some(ContentStanding::Quarantined { .. }) => QUARANTINE_RETENTION,
        };
        time > self.changed_at().after(retention)
    }

    /// Keeps the record within the size of a message.
    fn drop_surplus(&mut self) {
        while self.pools.len() > MAX_POOLS {
            let oldest = self.pools.iter().enumerate().min_by_key(|(_, pool)| pool.changed_at());
            let Some((index, _)) = oldest else { return };
            self.pools.remove(index);
        }
        let mut surplus = self.runs().count().saturating_sub(MAX_RUNS);
        while surplus > 0 {
            let order = |run: &SuspectRun| (run.is_live(), run.clone());
            let Some(oldest) = self.runs().map(order).min() else { return };
            for pool in &mut self.pools {
                pool.runs.retain(|run| *run != oldest.1);
            }
            surplus -= 1;
        }
    }
}

/// Weighs runs that got no whole answer, of which `limit` are allowed.
fn standing_of<'a>(
    runs: impl Iterator<Item = &'a SuspectRun>,
    limit: u32,
) -> Option<ContentStanding> {
    let live: Vec<&SuspectRun> = runs.filter(|run| run.is_live()).collect();
    if live.is_empty() {
        return None;
    }
    let ended = || live.iter().copied().filter(|run| run.finding == RunFinding::Ended);
    if let Some(further) = weight(ended()).checked_sub(limit) {
        let last = ended().map(|run| run.at).max().unwrap_or_default();
        let doubled = QUARANTINE_TIME.saturating_mul(1 << further.min(16));
        return Some(ContentStanding::Quarantined {
            until: last.after(doubled.min(MAX_QUARANTINE_TIME)),
        });
    }
    if weight(live.iter().copied()) < limit {
        return Some(ContentStanding::Suspect);
    }
    let deadlines = live.iter().filter_map(|run| match run.finding {
        RunFinding::Pending { until } => Some(until),
        RunFinding::Refuted | RunFinding::Ended => None,
    });
    Some(ContentStanding::Held { until: deadlines.min().unwrap_or_default() })
}

/// Returns the weight of runs: each trial counts one, and so does each other run that began after the
/// ones before it were over, but runs that went on beside each other count two at most.
fn weight<'a>(runs: impl Iterator<Item = &'a SuspectRun>) -> u32 {
    let (trials, mut others): (Vec<_>, Vec<_>) = runs.partition(|run| run.was_trial);
    others.sort_by_key(|run| run.began);
    let mut weight = u32::try_from(trials.len()).unwrap_or(u32::MAX);
    let (mut group_weight, mut group_end) = (0, SharedTime::default());
    for run in others {
        if group_weight == 0 || run.began >= group_end {
            (group_weight, group_end) = (1, run.at);
            weight = weight.saturating_add(1);
        } else if group_weight < MAX_UNPERMITTED_WEIGHT {
            group_weight += 1;
            weight = weight.saturating_add(1);
        }
    }
    weight
}
