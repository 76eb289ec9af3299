//! The counts of requests in progress that the schedulers share with other entries.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{CountReport, CountSum, FastMap};
use pulley_core::{HostId, Moment, PoolName, ZoneName};

use super::SchedulerSet;
use super::scheduler_set::PoolCell;

impl SchedulerSet {
    /// Takes the count reports that are due, each with its pool and the zone of the upstreams it
    /// counts.
    pub fn take_reports(&self, now: Moment) -> Vec<(PoolName, ZoneName, CountReport)> {
        let cells: Vec<_> = FastMap::clone(&self.pools.load()).into_iter().collect();
        let due = |(pool, cell): (PoolName, Arc<PoolCell>)| {
            let reports = cell.state.lock().scheduler.take_reports(now);
            reports.into_iter().map(move |(zone, report)| (pool.clone(), zone, report))
        };
        cells.into_iter().flat_map(due).collect()
    }

    /// Returns when [`Self::take_reports`] next returns something, if ever.
    #[must_use]
    pub fn next_report_at(&self) -> Option<Moment> {
        let pools = self.pools.load();
        pools.values().filter_map(|cell| cell.state.lock().scheduler.next_report_at()).min()
    }

    /// Applies the sum of the entries' counts, as received from a coordinator.
    pub fn receive_sum(&self, now: Moment, sum: &CountSum) {
        let Some(cell) = self.cell(&sum.pool) else { return };
        let effects = cell.state.lock().scheduler.receive_sum(now, sum);
        self.deliver(&cell, effects);
    }

    /// Takes the copies of sums that this host relays, each with its destination host.
    pub fn take_relays(&self) -> Vec<(HostId, CountSum)> {
        let cells: Vec<_> = self.pools.load().values().cloned().collect();
        cells.iter().flat_map(|cell| cell.state.lock().scheduler.take_relays()).collect()
    }

    /// Keeps another entry's count report, to be added to this host's own.
    pub fn receive_report(&self, from: &HostId, report: &CountReport) {
        if let Some(cell) = self.cell(&report.pool) {
            cell.state.lock().scheduler.receive_report(from, report);
        }
    }

    /// Returns the age of the other entries' counts in each pool; `None` for a pool without any.
    #[must_use]
    pub fn count_ages(&self, now: Moment) -> Vec<(PoolName, Option<Duration>)> {
        let pools = self.pools.load();
        let age = |cell: &PoolCell| cell.state.lock().scheduler.count_age(now);
        let mut ages: Vec<_> = pools.iter().map(|(pool, cell)| (pool.clone(), age(cell))).collect();
        ages.sort();
        ages
    }
}
