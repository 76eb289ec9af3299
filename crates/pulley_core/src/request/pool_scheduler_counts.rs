//! The scheduler's part in sharing counts between entries.

use std::time::Duration;

use super::PoolScheduler;
use crate::process::{
    CountDelta, CountLink, CountRound, CountRows, CountSum, CountTotals, HostId, KEYS_FOR, Moment,
    ZoneName,
};
use crate::request::SchedulerEffects;

/// Rounds whose own counts are remembered, so that they can be taken off the sum that holds them.
const REMEMBERED: usize = 8;

/// Requests for each usable slot that all entries together may have outstanding without counts.
const ALONE_SLACK: f32 = 4.0;

/// Requests that one entry may have outstanding without counts, at least.
const ALONE_LEAST: f32 = 4.0;

/// Own counts as they went into one round's report.
#[derive(Clone, Debug)]
pub(crate) struct ToldCounts {
    round: CountRound,
    in_flight: Vec<u32>,
    kinds: Vec<(u32, u32)>,
}

impl PoolScheduler {
    /// Takes in the entries' counts as the coordinator has added them up.
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

    /// The copies of sums that this entry passes on, each with the host it goes to.
    pub fn take_relays(&mut self) -> Vec<(HostId, CountSum)> {
        self.link.as_mut().map(CountLink::take_relays).unwrap_or_default()
    }

    /// Takes in another entry's report, to be added to this entry's own.
    pub fn receive_report(&mut self, from: &HostId, delta: &CountDelta) {
        if let Some(link) = self.link.as_mut().filter(|_| delta.pool == self.pool) {
            link.keep_report(from, delta);
        }
    }

    /// The reports that are due, each for the host in its `to`, or else for the coordinator of
    /// the zone named with it.
    pub fn take_deltas(&mut self, now: Moment) -> Vec<(ZoneName, CountDelta)> {
        let mut deltas = Vec::new();
        let Some(link) = self.link.as_mut() else { return deltas };
        let (zone, known) = (link.zone.clone(), link.known());
        let terms = link.start_report(now);
        let straight = link.start_straight(now);
        let (epoch, coordinator) = link.epoch();
        let base = CountDelta {
            to: None,
            pool: self.pool.clone(),
            zone: Some(zone.clone()),
            epoch,
            coordinator,
            round: None,
            depth: 0,
            hosts: 1,
            known,
            rows: CountRows::default(),
        };
        if let Some(terms) = terms {
            let mut totals = self.own_totals(true);
            self.remember(terms.round, &totals);
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
            let base = CountDelta { to, zone: None, round, depth, hosts, ..base.clone() };
            let with_keys = now.since(self.layout_since) < KEYS_FOR;
            self.push_parts(&zone, &base, &totals, with_keys, &mut deltas);
        }
        if straight {
            let totals = self.own_totals(false);
            self.push_parts(&zone, &base, &totals, true, &mut deltas);
        }
        deltas
    }

    /// When [`Self::take_deltas`] next has something, if ever.
    #[must_use]
    pub fn next_delta_at(&self) -> Option<Moment> {
        self.link.as_ref().map(CountLink::next_at)
    }

    /// How old the counts of the other entries are; none without any.
    #[must_use]
    pub fn count_age(&self, now: Moment) -> Option<Duration> {
        self.link.as_ref()?.age(now)?;
        Some(now.since(self.counted_at?))
    }

    /// Without a coordinator the other entries' counts mean nothing any more; kept, they would
    /// hold slots occupied that were freed long ago.
    pub(crate) fn expire_counts(&mut self, now: Moment) {
        let Some(link) = self.link.as_mut() else { return };
        link.expire(now);
        if link.age(now).is_none() && self.counted_at.take().is_some() {
            self.upstreams.forget_foreign();
            self.shares.forget_foreign();
            // Its part of the pool and as much again: nobody counts, so others may do the same,
            // and the upstreams' queues take what is too much.
            let known = f32::from(link.known().max(1));
            let room = self.upstreams.usable_slots() * ALONE_SLACK / known;
            self.shares.lease_alone(room.max(ALONE_LEAST));
            self.upstreams.refresh(now);
        }
    }

    /// Forgets counts that were told for another list of upstreams.
    pub(crate) fn relist(&mut self, now: Moment) {
        self.layout_since = now;
        self.told.clear();
    }

    fn apply_rows(&mut self, rows: &CountRows, counted: Option<CountRound>) -> bool {
        let Some(places) = self.upstreams.layout().places(rows) else { return false };
        let told = self.told.iter().find(|told| Some(told.round) == counted);
        for (row, place) in places.iter().enumerate() {
            let Some(place) = *place else { continue };
            let own = told.map_or(0, |told| told.in_flight[place]);
            let slots = self.upstreams.at_place(place);
            let foreign = u32::from(rows.in_flight[row]).saturating_sub(own);
            slots.foreign = f32::from(u16::try_from(foreign).unwrap_or(u16::MAX));
            slots.shared_usable = 1.0;
        }
        for (place, usable) in &rows.health {
            let row = usize::from(*place).checked_sub(usize::from(rows.first));
            let place = row.and_then(|row| places.get(row).copied().flatten());
            if let Some(place) = place {
                self.upstreams.at_place(place).shared_usable = f32::from(*usable) / 255.0;
            }
        }
        if rows.first == 0 && rows.plan == self.shares.digest() {
            let uses = rows.kinds.iter();
            let totals: Vec<_> =
                uses.map(|kind| (u32::from(kind.in_flight), u32::from(kind.queued))).collect();
            let own = told.map_or(&[][..], |told| &told.kinds);
            self.shares.receive(&totals, own);
        }
        true
    }

    /// Own counts, with the news since the last report if it is to travel.
    fn own_totals(&mut self, with_news: bool) -> CountTotals {
        let upstreams = self.upstreams.layout().len();
        let mut totals = CountTotals::new(upstreams, self.shares.len());
        for place in 0..upstreams {
            let slots = self.upstreams.at_place(place);
            totals.in_flight[place] = slots.own;
            if with_news {
                totals.news[place] = std::mem::take(&mut slots.news);
            }
        }
        let queue = &self.queue;
        let uses = self.shares.own_uses(|local| queue.len_of(local));
        totals.kinds.iter_mut().zip(uses).for_each(|(told, used)| *told = used);
        totals.hosts = 1;
        totals
    }

    fn remember(&mut self, round: CountRound, totals: &CountTotals) {
        if self.told.len() == REMEMBERED {
            self.told.pop_front();
        }
        self.told.push_back(ToldCounts {
            round,
            in_flight: totals.in_flight.clone(),
            kinds: totals.kinds.clone(),
        });
    }

    fn push_parts(
        &self,
        zone: &ZoneName,
        base: &CountDelta,
        totals: &CountTotals,
        with_keys: bool,
        deltas: &mut Vec<(ZoneName, CountDelta)>,
    ) {
        for rows in totals.rows(self.upstreams.layout(), self.shares.digest(), with_keys) {
            deltas.push((zone.clone(), CountDelta { rows, ..base.clone() }));
        }
    }
}
