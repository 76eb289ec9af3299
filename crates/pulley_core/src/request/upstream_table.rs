//! One pool's upstreams as one entry sees them, and the choice among them.

use std::sync::Arc;
use std::time::Duration;

use super::subset_ranking::{SubsetRanking, SubsetShift};
use super::{COLD_ENTRIES, UpstreamState};
use crate::process::{
    CountKey, CountLayout, EntryZones, FastMap, FastSet, HostId, Moment, SendBlock, UpstreamChange,
    UpstreamId, UpstreamPhase, UpstreamRecord, UpstreamStop, ZoneName, median_ms, stable_hash,
};
use crate::version::WarmUpTerms;

/// A zone counts as silent if at least this many of its upstreams are silent and none has reported
/// its load within `HEARD_WINDOW`. On a bad day one upstream in six may have crashed, so it is rare
/// to probe three crashed ones in a row by chance.
const MIN_SILENT_UPSTREAMS: usize = 3;
const HEARD_WINDOW: Duration = Duration::from_millis(300);

/// The smallest fraction of the pool's slots that stays usable, whatever is measured.
///
/// When all upstreams slow down at once, the cause is load or the network, and taking slots away
/// would make it worse.
const USABLE_FLOOR: f32 = 0.5;

/// Age of the pool's sums (usable slots, outstanding requests, usual answer time) from which the
/// end of a request recalculates them.
///
/// With older sums an entry with a few requests a second would use the usual answer time and the
/// usable slots of seconds ago.
const MAX_SUM_AGE: Duration = Duration::from_secs(1);

/// The upstreams of one pool.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTable {
    /// The entry that owns the table. Each entry has its own subset.
    host: HostId,
    pub(super) states: Vec<UpstreamState>,
    by_id: FastMap<UpstreamId, usize>,
    /// Indexes of upstreams that are no longer announced.
    unlisted: Vec<usize>,
    /// Indexes of upstreams that take work, in ascending order.
    pub(super) available: Vec<usize>,
    /// The same upstreams by zone, as this entry ranks them.
    zones: FastMap<ZoneName, SubsetRanking>,
    layout: CountLayout,
    /// Limits for the pool's upstreams while they are cold.
    plan_warm_up: Option<WarmUpTerms>,
    /// The part of these limits that the live entries may use.
    pub(super) warm_up: Option<WarmUpTerms>,
    /// The live entries, which share those limits.
    entries: Arc<EntryZones>,
    /// Index of the upstream at each place of the layout.
    places: Vec<usize>,
    /// When the sums over the pool were last recalculated.
    refreshed: Moment,
    announced_slots: f32,
    pub(super) usable_slots: f32,
    pub(super) others_per_slot: f32,
    pub(super) outstanding: f32,
    pub(super) part_floor: f32,
    pub(super) median_latency_ms: f32,
    /// When the first of the rests ends.
    next_rest_end: Option<Moment>,
}

/// An upstream that may be probed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeCandidate {
    /// Whether it recently left a probe unanswered, or its zone is silent.
    pub(crate) is_silent: bool,
    /// Whether it is in another zone.
    pub(crate) in_other_zone: bool,
    /// Whether it is outside the entry's subset of its zone.
    pub(crate) is_outside: bool,
    /// Whether a request may be sent to it only with a permit that this entry does not hold.
    pub(crate) needs_permit: bool,
    /// Its index in the table.
    pub(crate) index: usize,
}

impl UpstreamTable {
    /// Creates an empty table for an entry.
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            states: Vec::new(),
            by_id: FastMap::default(),
            unlisted: Vec::new(),
            available: Vec::new(),
            zones: FastMap::default(),
            layout: CountLayout::default(),
            plan_warm_up: None,
            warm_up: None,
            entries: Arc::default(),
            places: Vec::new(),
            refreshed: Moment::ZERO,
            announced_slots: 0.0,
            usable_slots: 0.0,
            others_per_slot: 0.0,
            outstanding: 0.0,
            part_floor: 0.0,
            median_latency_ms: 0.0,
            next_rest_end: None,
        }
    }

    /// Returns the changes from the currently announced upstreams to `records`.
    pub(crate) fn changes_to(&self, records: &[UpstreamRecord]) -> Vec<UpstreamChange> {
        let put = records.iter().map(|record| UpstreamChange::Put(Arc::new(record.clone())));
        let named: FastSet<&UpstreamId> =
            records.iter().map(|record| &record.announcement.id).collect();
        let listed = self.states.iter().filter(|state| state.listed);
        let ids = listed.map(|state| &state.record.announcement.id);
        let removed = ids.filter(|id| !named.contains(id)).cloned().map(UpstreamChange::Removed);
        removed.chain(put).collect()
    }

    /// Applies changes of the announced upstreams. Returns true if an upstream was added to the
    /// announced ones or removed. A removed upstream is kept until its last request ends, so that
    /// the end can be recorded.
    ///
    /// A host receives several changes a second among hundreds of upstreams. So a call handles only
    /// the changed ones, apart from two passes over the pool.
    pub(crate) fn apply(&mut self, now: Moment, changes: &[UpstreamChange]) -> bool {
        let mut layout_changed = false;
        for change in changes {
            layout_changed |= match change {
                UpstreamChange::Put(record) => self.put(now, record),
                UpstreamChange::Removed(id) => self.remove(id),
            };
        }
        if layout_changed {
            self.rebuild_layout();
        }
        self.refresh(now);
        layout_changed
    }

    /// Returns the first zone, by name, that has announced upstreams.
    pub(crate) fn first_zone(&self) -> Option<&ZoneName> {
        let listed = self.states.iter().filter(|state| state.listed);
        listed.map(|state| &state.record.announcement.zone).min()
    }

    /// Applies one upstream's record. Returns true if the upstream was not announced before, or in
    /// another zone.
    fn put(&mut self, now: Moment, record: &UpstreamRecord) -> bool {
        let known = self.by_id.get(&record.announcement.id).copied();
        let was_listed = known.is_some_and(|index| {
            let state = &self.states[index];
            state.listed && state.record.announcement.zone == record.announcement.zone
        });
        let index = if let Some(index) = known {
            self.mark_unavailable(index);
            self.unlisted.retain(|other| *other != index);
            let before = self.states[index].takes_work();
            let restarted = self.states[index].update(now, record);
            self.resume_rest(now, index);
            self.record_phase(now, index, before || restarted);
            index
        } else {
            let index = self.insert(UpstreamState::new(now, record));
            self.record_phase(now, index, true);
            index
        };
        self.mark_available(index);
        !was_listed
    }

    /// Updates from an upstream's record whether it is cold. An upstream that gets work again
    /// without a restart, because its zone is back in use, may have turned cold in the meantime. It
    /// is suspected to be cold until its own report decides or the warm-up time has passed.
    fn record_phase(&mut self, now: Moment, index: usize, is_known: bool) {
        let Some(terms) = self.plan_warm_up else { return };
        let state = &mut self.states[index];
        state.skip_ramp();
        let (phase, is_cold) = (state.record.announcement.phase, state.cold.is_cold(now));
        let is_suspected = phase == UpstreamPhase::Ready && !is_known && state.takes_work();
        if phase == UpstreamPhase::Warming && !is_cold {
            let is_assigned = self.is_assigned(index);
            self.states[index].cold.record_cold(now, terms.span, is_assigned);
        } else if is_suspected {
            let is_assigned = self.is_assigned(index);
            self.states[index].cold.record_suspected(now, terms.span, is_assigned);
        }
    }

    /// Records an upstream's own report of how long it stays cold.
    pub(crate) fn record_cold(&mut self, now: Moment, index: usize, left: Duration) {
        if left.is_zero() {
            self.states[index].cold.record_warm();
        } else if self.plan_warm_up.is_some() {
            let is_assigned = self.is_assigned(index);
            self.states[index].cold.record_cold(now, left, is_assigned);
        }
    }

    /// Whether this entry is one of those that send to an upstream while it is cold.
    fn is_assigned(&self, index: usize) -> bool {
        let announcement = &self.states[index].record.announcement;
        let upstream = (&announcement.zone, &announcement.id);
        self.entries.is_assigned(&self.host, upstream, COLD_ENTRIES)
    }

    /// Sets the limits for the pool's upstreams while they are cold.
    pub(crate) fn set_warm_up(&mut self, terms: Option<WarmUpTerms>) {
        self.plan_warm_up = terms;
        self.update_warm_up();
    }

    /// Returns the limits for the pool's upstreams while they are cold, as far as the live entries may
    /// use them.
    pub(crate) fn warm_up(&self) -> Option<WarmUpTerms> {
        self.warm_up
    }

    /// Sets the live entries, from which this entry derives the cold upstreams that it sends to.
    pub(crate) fn set_entries(&mut self, now: Moment, entries: &Arc<EntryZones>) {
        if Arc::ptr_eq(&self.entries, entries) {
            return;
        }
        self.entries = Arc::clone(entries);
        self.update_warm_up();
        for index in 0..self.states.len() {
            if self.states[index].cold.is_cold(now) {
                let is_assigned = self.is_assigned(index);
                self.states[index].cold.assign(is_assigned);
            }
        }
    }

    fn update_warm_up(&mut self) {
        let part = self.entries.usable_part();
        let usable = |terms: WarmUpTerms| WarmUpTerms { rate: terms.rate.scaled(part), ..terms };
        self.warm_up = self.plan_warm_up.map(usable);
    }

    /// Applies what an upstream has asked of this host.
    pub(crate) fn apply_stop(&mut self, now: Moment, index: usize, stop: UpstreamStop) {
        self.mark_unavailable(index);
        self.states[index].apply_stop(now, stop);
        self.mark_available(index);
        self.next_rest_end = self.rest_ends_at();
        self.refresh(now);
    }

    /// Ends the rest of an upstream that may have been away at its end, or has it noticed later.
    fn resume_rest(&mut self, now: Moment, index: usize) {
        self.states[index].end_rest(now);
        if let Some(end) = self.states[index].rest_ends_at() {
            self.next_rest_end = Some(self.next_rest_end.map_or(end, |next| next.min(end)));
        }
    }

    /// Lets the upstreams take work again whose rest has ended.
    pub(crate) fn end_rests(&mut self, now: Moment) {
        if self.next_rest_end.is_none_or(|end| now < end) {
            return;
        }
        for index in 0..self.states.len() {
            if self.states[index].rest_ends_at().is_some_and(|end| end <= now) {
                self.states[index].end_rest(now);
                self.mark_available(index);
            }
        }
        self.next_rest_end = self.rest_ends_at();
        self.refresh(now);
    }

    /// Returns when the first of the rests ends; `None` if no upstream rests that takes work after it.
    pub(crate) fn rest_ends_at(&self) -> Option<Moment> {
        self.states.iter().filter_map(UpstreamState::rest_ends_at).min()
    }

    /// Returns the slots of the upstreams that rest.
    pub(crate) fn resting_slots(&self) -> f32 {
        let resting = self.states.iter().filter(|state| state.rest_ends_at().is_some());
        resting.map(UpstreamState::slots).sum()
    }

    /// Marks an upstream as no longer announced. Returns true if it was announced.
    fn remove(&mut self, id: &UpstreamId) -> bool {
        let Some(index) = self.by_id.get(id).copied().filter(|index| self.states[*index].listed)
        else {
            return false;
        };
        self.mark_unavailable(index);
        self.states[index].listed = false;
        self.unlisted.push(index);
        true
    }

    /// Adds an upstream to those that take work, if it does.
    fn mark_available(&mut self, index: usize) {
        let state = &self.states[index];
        if !state.takes_work() {
            return;
        }
        if let Err(place) = self.available.binary_search(&index) {
            self.available.insert(place, index);
        }
        let announcement = &state.record.announcement;
        let rank = self.rank(&announcement.id);
        let ranking = self.zones.entry(announcement.zone.clone()).or_default();
        let shift = ranking.insert(rank, index);
        self.shift_subset(shift);
    }

    /// Removes an upstream from those that take work.
    fn mark_unavailable(&mut self, index: usize) {
        let Ok(place) = self.available.binary_search(&index) else { return };
        self.available.remove(place);
        let announcement = &self.states[index].record.announcement;
        let rank = self.rank(&announcement.id);
        let Some(ranking) = self.zones.get_mut(&announcement.zone) else { return };
        let shift = ranking.remove(rank, index);
        if ranking.is_empty() {
            self.zones.remove(&announcement.zone);
        }
        self.shift_subset(shift);
    }

    fn rank(&self, id: &UpstreamId) -> u64 {
        stable_hash([self.host.as_str(), id.as_str()])
    }

    fn shift_subset(&mut self, shift: SubsetShift) {
        if let Some(left) = shift.left {
            self.states[left].in_subset = false;
        }
        if let Some(joined) = shift.joined {
            self.states[joined].in_subset = true;
        }
    }

    /// Rebuilds the layout: the order of the announced upstreams in messages.
    fn rebuild_layout(&mut self) {
        let listed = self.states.iter().enumerate().filter(|(_, state)| state.listed);
        let mut places: Vec<(CountKey, usize)> = listed.map(|(i, state)| (state.key, i)).collect();
        places.sort_unstable();
        self.layout = CountLayout::new(places.iter().map(|(key, _)| *key).collect());
        self.places = places.into_iter().map(|(_, index)| index).collect();
    }

    /// Whether the sums over the pool have reached their maximum age.
    pub(crate) fn is_stale(&self, now: Moment) -> bool {
        now.since(self.refreshed) >= MAX_SUM_AGE
    }

    /// Recalculates the sums over the pool.
    pub(crate) fn refresh(&mut self, now: Moment) {
        self.refreshed = now;
        let available = self.available.iter().map(|index| &self.states[*index]);
        let (mut announced, mut usable, mut others) = (0.0, 0.0, 0.0);
        for state in available {
            announced += state.slots();
            usable += state.slots() * state.usable_part(now);
            others += state.others;
        }
        self.announced_slots = announced;
        self.part_floor = if usable < announced * USABLE_FLOOR { USABLE_FLOOR } else { 0.0 };
        self.usable_slots = usable.max(announced * USABLE_FLOOR);
        self.others_per_slot = others / f32::max(announced, 1.0);
        self.outstanding = self.available().map(Self::load).sum();
        self.median_latency_ms = median_ms(self.available().filter_map(UpstreamState::latency_ms));
    }

    pub(crate) fn at(&self, index: usize) -> &UpstreamState {
        &self.states[index]
    }

    pub(crate) fn index_of(&self, id: &UpstreamId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the silent zones: several of their upstreams recently left probes unanswered, and
    /// none has reported its load within `HEARD_WINDOW`.
    pub(crate) fn silent_zones(&self, now: Moment) -> Vec<&ZoneName> {
        let mut zones: FastMap<&ZoneName, (usize, bool)> = FastMap::default();
        for state in self.available() {
            let (silent, heard) = zones.entry(&state.record.announcement.zone).or_default();
            *silent += usize::from(state.is_silent(now));
            *heard |= state.last_report.is_some_and(|(at, _)| now.since(at) < HEARD_WINDOW);
        }
        let is_silent = |(silent, heard): (usize, bool)| silent >= MIN_SILENT_UPSTREAMS && !heard;
        zones.into_iter().filter(|(_, counts)| is_silent(*counts)).map(|(zone, _)| zone).collect()
    }

    /// Returns the upstreams that may be probed, without those that `passed` selects.
    pub(crate) fn probe_candidates(
        &self,
        now: Moment,
        zone: &ZoneName,
        passed: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<ProbeCandidate> {
        let available = self.available.iter().copied().filter(|index| {
            let state = &self.states[*index];
            let part = state.usable_part(now).max(self.part_floor);
            let block = state.send_block_if(now, state.cold.skips_probes(now, self.warm_up));
            !state.is_paused(now, part)
                && block.is_none_or(|block| block == SendBlock::Limited)
                && !passed(&state.record.announcement.id)
        });
        let silent_zones = self.silent_zones(now);
        let probe_candidates = available.map(|index| {
            let state = &self.states[index];
            let is_silent =
                state.is_silent(now) || silent_zones.contains(&&state.record.announcement.zone);
            let in_other_zone = state.record.announcement.zone != *zone;
            // A cold upstream that is assigned to this entry is probed as if it were in its subset.
            let is_outside = !state.in_subset && !state.cold.is_cold(now);
            let needs_permit = state.send_block_if(now, false) == Some(SendBlock::Limited);
            ProbeCandidate { is_silent, in_other_zone, is_outside, needs_permit, index }
        });
        probe_candidates.collect()
    }

    /// Returns when a permit for one of the upstreams may be had at the earliest, if a request can be
    /// sent to none of them without one. `None` if one may arrive at any moment.
    pub(crate) fn limited_until(&self, now: Moment) -> Option<Moment> {
        let mut earliest: Option<Moment> = None;
        for state in self.available() {
            let until = state.limit.blocked_until(now)?;
            earliest = Some(earliest.map_or(until, |known| known.min(until)));
        }
        earliest
    }

    /// Whether requests can be sent to none of the upstreams without a permit.
    pub(crate) fn all_blocked(&self, now: Moment) -> bool {
        self.available().all(|state| state.send_block_if(now, false) == Some(SendBlock::Limited))
    }

    /// Returns up to `count` upstreams for which permits may be asked now.
    pub(crate) fn askable(&self, now: Moment, count: usize) -> Vec<usize> {
        let is_due = |index: &usize| {
            self.states[*index].limit.next_ask_at(now).is_some_and(|next| next <= now)
        };
        self.available.iter().copied().filter(is_due).take(count).collect()
    }

    /// Returns when permits are next to be asked for; `None` if no upstream needs any.
    pub(crate) fn next_ask_at(&self, now: Moment) -> Option<Moment> {
        self.available().filter_map(|state| state.limit.next_ask_at(now)).min()
    }

    pub(crate) fn at_mut(&mut self, index: usize) -> &mut UpstreamState {
        &mut self.states[index]
    }

    /// Returns the order of the upstreams in messages.
    pub(crate) fn layout(&self) -> &CountLayout {
        &self.layout
    }

    /// Returns the upstream at a place of the layout.
    pub(crate) fn at_place(&mut self, place: usize) -> &mut UpstreamState {
        &mut self.states[self.places[place]]
    }

    /// Changes the pool's outstanding requests: by 1 when a request starts, by -1 when one ends.
    pub(crate) fn add_outstanding(&mut self, change: f32) {
        self.outstanding = (self.outstanding + change).max(0.0);
    }

    /// Returns the upstreams that take work.
    pub(crate) fn available(&self) -> impl Iterator<Item = &UpstreamState> {
        self.available.iter().map(|index| &self.states[*index])
    }

    /// Whether no upstream takes work.
    pub(crate) fn none_available(&self) -> bool {
        self.available.is_empty()
    }

    /// Returns the fraction of announced slots that is usable over the pool. An upstream's own
    /// fraction is divided by it for ranking. When all upstreams fail or are slow, the cause is
    /// load or the network, and no upstream ranks lower because of it.
    pub(crate) fn usual_part(&self) -> f32 {
        if self.announced_slots > 0.0 { self.usable_slots / self.announced_slots } else { 1.0 }
    }

    /// Returns the usable slots over the pool.
    pub(crate) fn usable_slots(&self) -> f32 {
        self.usable_slots
    }

    /// Returns the outstanding requests over the pool.
    pub(crate) fn outstanding(&self) -> f32 {
        self.outstanding
    }

    /// Returns the usual answer time in milliseconds; 0 if it is unknown.
    pub(crate) fn median_latency_ms(&self) -> f32 {
        self.median_latency_ms
    }

    /// Discards what the newest sum reported: the other entries' outstanding requests, and the
    /// usable fraction of each upstream's slots.
    pub(crate) fn discard_others(&mut self) {
        for state in &mut self.states {
            state.others = 0.0;
            state.shared_usable = 1.0;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn load(state: &UpstreamState) -> f32 {
        state.own as f32 + state.others
    }

    /// Adds a new upstream, in place of an unannounced one whose last request has ended if there is
    /// one.
    fn insert(&mut self, state: UpstreamState) -> usize {
        let id = state.record.announcement.id.clone();
        let unused = self.unlisted.iter().position(|index| self.states[*index].own == 0);
        let index = if let Some(place) = unused {
            let index = self.unlisted.swap_remove(place);
            self.by_id.remove(&self.states[index].record.announcement.id);
            self.states[index] = state;
            index
        } else {
            self.states.push(state);
            self.states.len() - 1
        };
        self.by_id.insert(id, index);
        index
    }
}
