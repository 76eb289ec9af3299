//! Collects the reports of one round at the coordinator.

use super::count_link::direct_report_interval;
use super::{
    CountEpoch, CountKey, CountLayout, CountReport, CountRound, CountTotals, FastMap, FastSet,
    HostId, Moment,
};
/// How many direct reports an entry may miss before it is dropped from the list.
const MAX_MISSED_REPORTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct ListedEntry {
    last_report_at: Moment,
    largest_known: u16,
}

/// The listed entries and what has been reported in the current round.
#[derive(Clone, Debug)]
pub(crate) struct ReportCollector {
    entries: FastMap<HostId, ListedEntry>,
    reached: FastSet<HostId>,
    received_parts: FastSet<(HostId, u16)>,
    totals: CountTotals,
    kinds: usize,
}

impl ReportCollector {
    pub(crate) fn new() -> Self {
        Self {
            entries: FastMap::default(),
            reached: FastSet::default(),
            received_parts: FastSet::default(),
            totals: CountTotals::default(),
            kinds: 0,
        }
    }

    /// Takes in a report if it belongs to the current round.
    ///
    /// Duplicates are detected by sender and part. A direct report counts only if the round's tree
    /// does not reach its sender. Otherwise the sender's counts are already in a relay's report.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        from: &HostId,
        report: &CountReport,
        current: &CollectorRound<'_>,
    ) {
        if report.round.is_none() {
            let entry = ListedEntry { last_report_at: now, largest_known: report.largest_known };
            self.entries.insert(from.clone(), entry);
        }
        let belongs = match report.round {
            Some(round) => {
                (report.epoch, report.coordinator, round, report.depth)
                    == (current.epoch, current.coordinator, current.round, 1)
            }
            None => !self.reached.contains(from),
        };
        if !belongs || !self.received_parts.insert((from.clone(), report.rows.first)) {
            return;
        }
        let added = self.totals.add(current.layout, current.kinds_digest, &report.rows);
        if added && report.rows.first == 0 {
            self.totals.hosts += u32::from(report.hosts);
        }
    }

    /// Ends the round: returns its totals and starts the next one with empty totals.
    pub(crate) fn end_round(&mut self, upstreams: usize, kinds: usize) -> CountTotals {
        self.kinds = kinds;
        self.received_parts.clear();
        std::mem::replace(&mut self.totals, CountTotals::new(upstreams, kinds))
    }

    /// Drops the collected counts when the list of upstreams or kinds has changed.
    pub(crate) fn reset(&mut self, upstreams: usize, kinds: usize) {
        self.received_parts.clear();
        self.totals = CountTotals::new(upstreams, kinds);
    }

    /// Drops silent entries from the list and returns the others, ordered by name.
    pub(crate) fn listed(&mut self, now: Moment) -> Vec<HostId> {
        let listed = u16::try_from(self.entries.len()).unwrap_or(u16::MAX);
        let term = direct_report_interval(listed) * MAX_MISSED_REPORTS;
        self.entries.retain(|_, entry| now.since(entry.last_report_at) < term);
        let mut hosts: Vec<HostId> = self.entries.keys().cloned().collect();
        hosts.sort();
        hosts
    }

    /// Sets the entries that the round's tree reaches.
    pub(crate) fn set_route(&mut self, route: &[HostId]) {
        self.reached = route.iter().cloned().collect();
    }

    /// Returns the number of listed entries and the largest number of entries that any of them
    /// knows of.
    pub(crate) fn entry_counts(&self) -> (u32, u32) {
        let listed = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let largest = self.entries.values().map(|entry| u32::from(entry.largest_known)).max();
        (listed, largest.unwrap_or(0).max(listed))
    }
}

/// The current round, which a report must match.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CollectorRound<'a> {
    pub(crate) epoch: CountEpoch,
    pub(crate) coordinator: CountKey,
    pub(crate) round: CountRound,
    pub(crate) layout: &'a CountLayout,
    pub(crate) kinds_digest: u16,
}
