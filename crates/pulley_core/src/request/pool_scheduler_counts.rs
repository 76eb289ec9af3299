//! Exchange of request counts between entries, on the scheduler's side.

use std::time::Duration;

use super::PoolScheduler;
use crate::process::{
    CountLink, CountReport, CountRound, CountRows, CountSum, CountTotals, HostId,
    LAYOUT_KEYS_PERIOD, Moment, ZoneName,
};
use crate::request::SchedulerEffects;

/// Number of rounds for which this entry keeps the counts that it reported, so that they can be
/// subtracted from the sum that contains them.
const KEPT_ROUNDS: usize = 8;

/// Requests per usable slot that all entries together may have outstanding while no counts arrive.
const UNCOUNTED_OVERCOMMIT: f32 = 4.0;

/// Least number of requests that one entry may have outstanding while no counts arrive.
const UNCOUNTED_MIN: f32 = 4.0;

/// The entry's own counts as sent in the report of one round.
#[derive(Clone, Debug)]
pub(crate) struct SentCounts {
    round: CountRound,
    in_flight: Vec<u32>,
    kinds: Vec<(u32, u32)>,
}

impl PoolScheduler {
    /// Applies the sum of all entries' counts that the coordinator has published.
    pub fn receive_sum(&mut self, now: Moment, sum: &CountSum) -> SchedulerEffects {
        let mut effects = Vec::new();
        let fits = sum.pool == self.pool;
        let host = &self.host;
        let Some(link) = self.link.as_mut().filter(|_| fits) else {
            return effects;
        };
        if !link.accept(now, host, sum) {
            return effects;
        }
        if self.apply_rows(&sum.rows, sum.counted) {
            self.counted_at = Some(now);
            self.upstreams.refresh(now);
            let interval = Duration::from_millis(u64::from(sum.interval_ms));
            self.grant_leases(sum.hosts, interval);
            self.dispatch(now, &mut effects);
        }
        effects
    }

    /// Returns the copies of sums that this entry forwards, each with its destination host.
    pub fn take_relays(&mut self) -> Vec<(HostId, CountSum)> {
        self.link.as_mut().map(CountLink::take_relays).unwrap_or_default()
    }

    /// Keeps another entry's report, to be added to this entry's own.
    pub fn receive_report(&mut self, from: &HostId, report: &CountReport) {
        if let Some(link) = self.link.as_mut().filter(|_| report.pool == self.pool) {
            link.keep_report(from, report);
        }
    }

    /// Returns the reports that are due. Each goes to the host in its `to`, or to the coordinator
    /// of the zone returned with it if there is none.
    pub fn take_reports(&mut self, now: Moment) -> Vec<(ZoneName, CountReport)> {
        let mut reports = Vec::new();
        let Some(link) = self.link.as_mut() else { return reports };
        let (zone, largest_known) = (link.zone.clone(), link.largest_known());
        let terms = link.start_report(now);
        let direct = link.start_direct_report(now);
        let (epoch, coordinator) = link.epoch();
        let base = CountReport {
            to: None,
            pool: self.pool.clone(),
            zone: Some(zone.clone()),
            epoch,
            coordinator,
            round: None,
            depth: 0,
            hosts: 1,
            largest_known,
            rows: CountRows::default(),
        };
        if let Some(terms) = terms {
            let mut totals = self.own_totals(true);
            self.remember_sent(terms.round, &totals);
            for report in &terms.reports {
                let added = totals.add(self.upstreams.layout(), self.shares.digest(), &report.rows);
                if added && report.rows.first == 0 {
                    totals.hosts += u32::from(report.hosts);
                }
            }
            let hosts = u16::try_from(totals.hosts).unwrap_or(u16::MAX);
            let round = Some(terms.round);
            let to = terms.to;
            let depth = terms.depth;
            let base = CountReport { to, zone: None, round, depth, hosts, ..base.clone() };
            let with_keys = now.since(self.layout_since) < LAYOUT_KEYS_PERIOD;
            self.push_parts(&zone, &base, &totals, with_keys, &mut reports);
        }
        if direct {
            let totals = self.own_totals(false);
            self.push_parts(&zone, &base, &totals, true, &mut reports);
        }
        reports
    }

    /// Returns when [`Self::take_reports`] next has a report, or `None` if this entry has joined no
    /// exchange of counts.
    #[must_use]
    pub fn next_report_at(&self) -> Option<Moment> {
        self.link.as_ref().map(CountLink::next_at)
    }

    /// Returns the age of the other entries' counts, or `None` if there are none.
    #[must_use]
    pub fn count_age(&self, now: Moment) -> Option<Duration> {
        self.link.as_ref()?.age(now)?;
        Some(now.since(self.counted_at?))
    }

    /// Discards the other entries' counts if the coordinator is lost. If they were kept, slots that
    /// were freed long ago would still count as occupied.
    pub(crate) fn expire_counts(&mut self, now: Moment) {
        let Some(link) = self.link.as_mut() else { return };
        link.expire(now);
        if link.age(now).is_none() && self.counted_at.take().is_some() {
            self.upstreams.discard_others();
            self.shares.discard_others();
            // Without counts, all entries share `UNCOUNTED_OVERCOMMIT` requests per usable slot
            // evenly. The upstreams' queues take what exceeds the slots.
            let largest_known = f32::from(link.largest_known().max(1));
            let room = self.upstreams.usable_slots() * UNCOUNTED_OVERCOMMIT / largest_known;
            self.shares.lease_without_counts(room.max(UNCOUNTED_MIN));
            self.upstreams.refresh(now);
        }
    }

    /// Discards counts that were reported for another list of upstreams.
    pub(crate) fn reset_layout(&mut self, now: Moment) {
        self.layout_since = now;
        self.sent.clear();
    }

    fn apply_rows(&mut self, rows: &CountRows, counted: Option<CountRound>) -> bool {
        let Some(indices) = self.upstreams.layout().indices(rows) else { return false };
        let sent = self.sent.iter().find(|sent| Some(sent.round) == counted);
        for (row, index) in indices.iter().enumerate() {
            let Some(index) = *index else { continue };
            let own = sent.map_or(0, |sent| sent.in_flight[index]);
            let state = self.upstreams.at_place(index);
            let others = u32::from(rows.in_flight[row]).saturating_sub(own);
            state.others = f32::from(u16::try_from(others).unwrap_or(u16::MAX));
            state.shared_usable = 1.0;
        }
        for (index, usable) in &rows.health {
            let row = usize::from(*index).checked_sub(usize::from(rows.first));
            let index = row.and_then(|row| indices.get(row).copied().flatten());
            if let Some(index) = index {
                self.upstreams.at_place(index).shared_usable = f32::from(*usable) / 255.0;
            }
        }
        if rows.first == 0 && rows.kinds_digest == self.shares.digest() {
            let uses = rows.kinds.iter();
            let totals: Vec<_> =
                uses.map(|kind| (u32::from(kind.in_flight), u32::from(kind.queued))).collect();
            let own = sent.map_or(&[][..], |sent| &sent.kinds);
            self.shares.receive(&totals, own);
        }
        true
    }

    /// Returns the entry's own counts, with the answers since the last report if `with_outcomes` is
    /// set.
    fn own_totals(&mut self, with_outcomes: bool) -> CountTotals {
        let upstreams = self.upstreams.layout().len();
        let mut totals = CountTotals::new(upstreams, self.shares.len());
        for index in 0..upstreams {
            let state = self.upstreams.at_place(index);
            totals.in_flight[index] = state.own;
            if with_outcomes {
                totals.outcomes[index] = std::mem::take(&mut state.outcomes);
            }
        }
        let queue = &self.queue;
        let uses = self.shares.own_uses(|kind_index| queue.len_of(kind_index));
        totals.kinds.iter_mut().zip(uses).for_each(|(sent, used)| *sent = used);
        totals.hosts = 1;
        totals
    }

    fn remember_sent(&mut self, round: CountRound, totals: &CountTotals) {
        if self.sent.len() == KEPT_ROUNDS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentCounts {
            round,
            in_flight: totals.in_flight.clone(),
            kinds: totals.kinds.clone(),
        });
    }

    fn push_parts(
        &self,
        zone: &ZoneName,
        base: &CountReport,
        totals: &CountTotals,
        with_keys: bool,
        reports: &mut Vec<(ZoneName, CountReport)>,
    ) {
        for rows in totals.rows(self.upstreams.layout(), self.shares.digest(), with_keys) {
            reports.push((zone.clone(), CountReport { rows, ..base.clone() }));
        }
    }
}
