//! The reports of one round as they come in at the coordinator.

use super::count_link::kept_pace;
use super::{
    CountDelta, CountEpoch, CountKey, CountLayout, CountRound, CountTotals, FastMap, FastSet,
    HostId, Moment,
};
/// Straight reports that an entry may miss before it is dropped from the list.
const MISSED_REPORTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct ListedEntry {
    heard: Moment,
    known: u16,
}

/// Who is listed, and what they have reported in this round.
#[derive(Clone, Debug)]
pub(crate) struct CountGathering {
    entries: FastMap<HostId, ListedEntry>,
    routed: FastSet<HostId>,
    taken: FastSet<(HostId, u16)>,
    totals: CountTotals,
    kinds: usize,
}

impl CountGathering {
    pub(crate) fn new() -> Self {
        Self {
            entries: FastMap::default(),
            routed: FastSet::default(),
            taken: FastSet::default(),
            totals: CountTotals::default(),
            kinds: 0,
        }
    }

    /// Takes in a report, if it belongs to this round.
    ///
    /// A doubled report is known by its sender and part. A straight one counts only for an entry
    /// that the round's tree does not reach, as any other is in somebody's report already.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        from: &HostId,
        delta: &CountDelta,
        terms: &GatheringTerms<'_>,
    ) {
        if delta.round.is_none() {
            let entry = ListedEntry { heard: now, known: delta.known };
            self.entries.insert(from.clone(), entry);
        }
        let belongs = match delta.round {
            Some(round) => {
                (delta.epoch, delta.coordinator, round, delta.depth)
                    == (terms.epoch, terms.coordinator, terms.round, 1)
            }
            None => !self.routed.contains(from),
        };
        if !belongs || !self.taken.insert((from.clone(), delta.rows.first)) {
            return;
        }
        let added = self.totals.add(terms.layout, terms.plan, &delta.rows);
        if added && delta.rows.first == 0 {
            self.totals.hosts += u32::from(delta.hosts);
        }
    }

    /// Ends the round: gives its totals and starts the next, empty.
    pub(crate) fn end_round(&mut self, upstreams: usize, kinds: usize) -> CountTotals {
        self.kinds = kinds;
        self.taken.clear();
        std::mem::replace(&mut self.totals, CountTotals::new(upstreams, kinds))
    }

    /// Drops what was gathered for another list of upstreams or kinds.
    pub(crate) fn reset(&mut self, upstreams: usize, kinds: usize) {
        self.taken.clear();
        self.totals = CountTotals::new(upstreams, kinds);
    }

    /// The listed entries in order of name.
    pub(crate) fn listed(&mut self, now: Moment) -> Vec<HostId> {
        let listed = u16::try_from(self.entries.len()).unwrap_or(u16::MAX);
        let term = kept_pace(listed) * MISSED_REPORTS;
        self.entries.retain(|_, entry| now.since(entry.heard) < term);
        let mut hosts: Vec<HostId> = self.entries.keys().cloned().collect();
        hosts.sort();
        hosts
    }

    /// Notes whom the round's tree reaches.
    pub(crate) fn set_route(&mut self, route: &[HostId]) {
        self.routed = route.iter().cloned().collect();
    }

    /// Entries listed, and the most that any of them has lately known.
    pub(crate) fn sizes(&self) -> (u32, u32) {
        let listed = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let known = self.entries.values().map(|entry| u32::from(entry.known)).max();
        (listed, known.unwrap_or(0).max(listed))
    }
}

/// What a report must fit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatheringTerms<'a> {
    pub(crate) epoch: CountEpoch,
    pub(crate) coordinator: CountKey,
    pub(crate) round: CountRound,
    pub(crate) layout: &'a CountLayout,
    pub(crate) plan: u16,
}
