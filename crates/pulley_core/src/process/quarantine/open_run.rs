//! The runs of this host of which it is not known whether their upstreams ended under them.

use std::net::SocketAddr;
use std::time::Duration;

use super::{ContentKey, Moment, PoolName, SharedTime, StartEvidence, SuspectRun, UpstreamStart};

/// Maximum number of runs that one host follows. The oldest ones are dropped first.
const MAX_OPEN_RUNS: usize = 512;

/// How often the runs are compared with what upstreams have announced.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a run is followed. Within this time an upstream that has ended misses its lease, or a
/// later start of it has been announced.
pub(super) const FOLLOW_TIME: Duration = Duration::from_secs(12);

/// A run that got no whole answer and is not decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenRun {
    pub(super) key: ContentKey,
    /// All pools that the request's row is split over.
    pub(super) row_pools: Vec<PoolName>,
    pub(super) start: UpstreamStart,
    pub(super) address: SocketAddr,
    /// When this host gave it up.
    pub(super) at: SharedTime,
    pub(super) began: SharedTime,
    pub(super) was_trial: bool,
    /// Whether the other hosts know that the run is not decided.
    pub(super) is_shared: bool,
}

impl OpenRun {
    /// Returns the run with a finding, for the content's record.
    pub(super) fn with_finding(&self, finding: super::RunFinding) -> SuspectRun {
        SuspectRun {
            at: self.at,
            began: self.began,
            upstream: self.start.id.clone(),
            incarnation: self.start.incarnation,
            was_trial: self.was_trial,
            finding,
        }
    }

    /// Returns the content, and all pools that the request's row is split over.
    pub(super) fn row(&self) -> (&ContentKey, &[PoolName]) {
        (&self.key, &self.row_pools)
    }

    /// Returns when the run is decided at the latest.
    pub(super) fn decided_by(&self) -> SharedTime {
        self.at.after(FOLLOW_TIME)
    }
}

/// The runs that one host follows until it is known what became of their upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRuns {
    runs: Vec<OpenRun>,
    next_check: Moment,
}

impl OpenRuns {
    /// Adds a run. One that is already followed at the same start of an upstream is replaced.
    pub(super) fn push(&mut self, run: OpenRun) {
        self.runs.retain(|open| open.key != run.key || open.start != run.start);
        if self.runs.len() >= MAX_OPEN_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// Marks a run as one that only this host follows. Returns it if the other hosts know of it.
    pub(super) fn withdraw(&mut self, key: &ContentKey, start: &UpstreamStart) -> Option<OpenRun> {
        let is_it = |run: &&mut OpenRun| run.is_shared && run.key == *key && run.start == *start;
        let run = self.runs.iter_mut().find(is_it)?;
        run.is_shared = false;
        Some(run.clone())
    }

    /// Removes the runs at a start of an upstream that is known to have ended.
    pub(super) fn take_ended(&mut self, start: &UpstreamStart) -> Vec<OpenRun> {
        self.runs.extract_if(.., |run| run.start == *start).collect()
    }

    /// Compares the runs with the evidence on their upstreams, if that is due. Returns those that are
    /// decided, each with its evidence; none if nothing was found in time.
    pub(super) fn decide(
        &mut self,
        (now, time): (Moment, SharedTime),
        evidence: impl Fn(&OpenRun) -> StartEvidence,
    ) -> Vec<(OpenRun, StartEvidence)> {
        if self.runs.is_empty() || now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let mut decided = Vec::new();
        self.runs.retain(|run| {
            let found = evidence(run);
            let is_open = found == StartEvidence::None && time <= run.decided_by();
            if !is_open {
                decided.push((run.clone(), found));
            }
            is_open
        });
        decided
    }

    /// Returns when [`Self::decide`] is next due; `None` if no run is open.
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        (!self.runs.is_empty()).then_some(self.next_check)
    }
}
