//! One pool's upstreams as one entry sees them, and the choice among them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::subset_ranking::{SubsetRanking, SubsetShift};
use super::{COLD_ENTRIES, UpstreamSlots};
use crate::process::{
    CountKey, CountLayout, EntryZones, FastMap, FastSet, HostId, Moment, UpstreamChange,
    UpstreamId, UpstreamPhase, UpstreamRecord, ZoneName, median_ms, stable_hash,
};
use crate::version::WarmUpTerms;

/// Most upstreams compared, however fresh the counts are. Beyond that a choice costs more than it
/// gains.
const MOST_CANDIDATES: usize = 3;

/// Upstreams compared when the counts are too old to be useful.
const FEWEST_CANDIDATES: usize = 2;

/// Least number of silent upstreams for a zone to count as silent, if none of its upstreams has
/// reported within the given time. One in six may have crashed on a bad day, so three in a row by
/// chance are rare.
const SILENT_LEAST: usize = 3;
const HEARD_SPAN: Duration = Duration::from_millis(300);

/// Ranking penalty of an upstream that has left a probe unanswered, in outstanding requests at one
/// slot. It causes no refusals: where this host's own link is full, all upstreams are silent.
const SILENT_COST: f32 = 4.0;

/// Ranking penalty of another zone, in outstanding requests at one slot.
const ZONE_COST: f32 = 0.05;

/// The least part of the pool's slots that stays usable, whatever is measured.
///
/// When all upstreams slow down at once, the cause is load or the network, and taking slots away
/// would make it worse.
const USABLE_FLOOR: f32 = 0.5;

/// Maximum age of the sums over the pool while requests end.
///
/// Otherwise an entry with a few requests a second would use the usual answer time and the usable
/// slots of seconds ago.
const REFRESH_AFTER: Duration = Duration::from_secs(1);

/// The upstreams of one pool.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTable {
    /// The entry that owns the table. Each entry has its own subset.
    host: HostId,
    slots: Vec<UpstreamSlots>,
    by_id: FastMap<UpstreamId, usize>,
    /// Indexes of upstreams that are no longer announced.
    unlisted: Vec<usize>,
    /// Indexes of upstreams that take work, in ascending order.
    open: Vec<usize>,
    /// The same upstreams by zone, as this entry ranks them.
    zones: FastMap<ZoneName, SubsetRanking>,
    layout: CountLayout,
    /// Limits for the pool's upstreams while they are cold.
    warm_up: Option<WarmUpTerms>,
    /// The live entries, which share those limits.
    entries: Arc<EntryZones>,
    /// Index of the upstream at each place of the layout.
    places: Vec<usize>,
    /// When the sums over the pool were last recalculated.
    refreshed: Moment,
    announced_slots: f32,
    usable_slots: f32,
    foreign_a_slot: f32,
    busy: f32,
    lift: f32,
    usual_ms: f32,
}

/// An upstream that may be probed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AskableUpstream {
    /// Whether it recently left a probe unanswered, or its zone is silent.
    pub(crate) is_silent: bool,
    /// Whether it is in another zone.
    pub(crate) is_away: bool,
    /// Whether it is outside the entry's subset of its zone.
    pub(crate) is_outside: bool,
    /// Its index in the table.
    pub(crate) index: usize,
}

impl UpstreamTable {
    /// Creates an empty table for an entry.
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            slots: Vec::new(),
            by_id: FastMap::default(),
            unlisted: Vec::new(),
            open: Vec::new(),
            zones: FastMap::default(),
            layout: CountLayout::default(),
            warm_up: None,
            entries: Arc::default(),
            places: Vec::new(),
            refreshed: Moment::ZERO,
            announced_slots: 0.0,
            usable_slots: 0.0,
            foreign_a_slot: 0.0,
            busy: 0.0,
            lift: 0.0,
            usual_ms: 0.0,
        }
    }

    /// Returns the changes from the currently announced upstreams to `records`.
    pub(crate) fn changes_to(&self, records: &[UpstreamRecord]) -> Vec<UpstreamChange> {
        let put = records.iter().map(|record| UpstreamChange::Put(Arc::new(record.clone())));
        let named: FastSet<&UpstreamId> =
            records.iter().map(|record| &record.announcement.id).collect();
        let listed = self.slots.iter().filter(|slots| slots.listed);
        let ids = listed.map(|slots| &slots.record.announcement.id);
        let removed = ids.filter(|id| !named.contains(id)).cloned().map(UpstreamChange::Removed);
        removed.chain(put).collect()
    }

    /// Applies changes of the announced upstreams. Returns true if an upstream was added to the
    /// announced ones or removed. A removed upstream is kept until its last request ends, so that
    /// the end can be recorded.
    ///
    /// The cost is that of the changes and of two sums over the pool, because a host receives
    /// several changes a second among hundreds of upstreams.
    pub(crate) fn apply(&mut self, now: Moment, changes: &[UpstreamChange]) -> bool {
        let mut relisted = false;
        for change in changes {
            relisted |= match change {
                UpstreamChange::Put(record) => self.put(now, record),
                UpstreamChange::Removed(id) => self.remove(id),
            };
        }
        if relisted {
            self.lay_out();
        }
        self.refresh(now);
        relisted
    }

    /// Returns the first zone, by name, that has announced upstreams.
    pub(crate) fn first_zone(&self) -> Option<&ZoneName> {
        let listed = self.slots.iter().filter(|slots| slots.listed);
        listed.map(|slots| &slots.record.announcement.zone).min()
    }

    /// Applies one upstream's record. Returns true if the upstream was not announced before, or in
    /// another zone.
    fn put(&mut self, now: Moment, record: &UpstreamRecord) -> bool {
        let known = self.by_id.get(&record.announcement.id).copied();
        let was_listed = known.is_some_and(|index| {
            let slots = &self.slots[index];
            slots.listed && slots.record.announcement.zone == record.announcement.zone
        });
        let index = if let Some(index) = known {
            self.close(index);
            self.unlisted.retain(|other| *other != index);
            let before = self.slots[index].takes_work();
            let restarted = self.slots[index].update(now, record);
            self.note_phase(now, index, before || restarted);
            index
        } else {
            let index = self.insert(UpstreamSlots::new(now, record));
            self.note_phase(now, index, true);
            index
        };
        self.open_up(index);
        !was_listed
    }

    /// Updates from an upstream's record whether it is cold. An upstream that gets work again
    /// without a restart, because its zone is back in use, may have turned cold in the meantime.
    /// Its own report decides.
    fn note_phase(&mut self, now: Moment, index: usize, is_known: bool) {
        let Some(terms) = self.warm_up else { return };
        let slots = &mut self.slots[index];
        slots.skip_warming();
        let (phase, is_cold) = (slots.record.announcement.phase, slots.cold.is_cold(now));
        let is_doubtful = phase == UpstreamPhase::Ready && !is_known && slots.takes_work();
        if phase == UpstreamPhase::Warming && !is_cold {
            let is_assigned = self.is_assigned(index);
            self.slots[index].cold.note_cold(now, terms.span, is_assigned);
        } else if is_doubtful {
            let is_assigned = self.is_assigned(index);
            self.slots[index].cold.note_doubt(now, terms.span, is_assigned);
        }
    }

    /// Records an upstream's own report of how long it stays cold.
    pub(crate) fn note_cold(&mut self, now: Moment, index: usize, left: Duration) {
        if left.is_zero() {
            self.slots[index].cold.note_warm();
        } else if self.warm_up.is_some() {
            let is_assigned = self.is_assigned(index);
            self.slots[index].cold.note_cold(now, left, is_assigned);
        }
    }

    /// Whether this entry is one of those that send to an upstream while it is cold.
    fn is_assigned(&self, index: usize) -> bool {
        let announcement = &self.slots[index].record.announcement;
        let upstream = (&announcement.zone, &announcement.id);
        self.entries.is_assigned(&self.host, upstream, COLD_ENTRIES)
    }

    /// Sets the limits for the pool's upstreams while they are cold.
    pub(crate) fn set_warm_up(&mut self, terms: Option<WarmUpTerms>) {
        self.warm_up = terms;
    }

    /// Returns the limits for the pool's upstreams while they are cold.
    pub(crate) fn warm_up(&self) -> Option<WarmUpTerms> {
        self.warm_up
    }

    /// Sets the live entries.
    pub(crate) fn set_entries(&mut self, now: Moment, entries: &Arc<EntryZones>) {
        if Arc::ptr_eq(&self.entries, entries) {
            return;
        }
        self.entries = Arc::clone(entries);
        for index in 0..self.slots.len() {
            if self.slots[index].cold.is_cold(now) {
                let is_assigned = self.is_assigned(index);
                self.slots[index].cold.assign(is_assigned);
            }
        }
    }

    /// Marks an upstream as no longer announced. Returns true if it was announced.
    fn remove(&mut self, id: &UpstreamId) -> bool {
        let Some(index) = self.by_id.get(id).copied().filter(|index| self.slots[*index].listed)
        else {
            return false;
        };
        self.close(index);
        self.slots[index].listed = false;
        self.unlisted.push(index);
        true
    }

    /// Adds an upstream to those that take work, if it does.
    fn open_up(&mut self, index: usize) {
        let slots = &self.slots[index];
        if !slots.takes_work() {
            return;
        }
        if let Err(place) = self.open.binary_search(&index) {
            self.open.insert(place, index);
        }
        let announcement = &slots.record.announcement;
        let rank = self.rank(&announcement.id);
        let ranking = self.zones.entry(announcement.zone.clone()).or_default();
        let shift = ranking.insert(rank, index);
        self.shift_subset(shift);
    }

    /// Removes an upstream from those that take work.
    fn close(&mut self, index: usize) {
        let Ok(place) = self.open.binary_search(&index) else { return };
        self.open.remove(place);
        let announcement = &self.slots[index].record.announcement;
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
            self.slots[left].in_subset = false;
        }
        if let Some(joined) = shift.joined {
            self.slots[joined].in_subset = true;
        }
    }

    /// Rebuilds the layout: the order of the announced upstreams in messages.
    fn lay_out(&mut self) {
        let listed = self.slots.iter().enumerate().filter(|(_, slots)| slots.listed);
        let mut places: Vec<(CountKey, usize)> = listed.map(|(i, slots)| (slots.key, i)).collect();
        places.sort_unstable();
        self.layout = CountLayout::new(places.iter().map(|(key, _)| *key).collect());
        self.places = places.into_iter().map(|(_, index)| index).collect();
    }

    /// Whether the sums over the pool have reached their maximum age.
    pub(crate) fn is_stale(&self, now: Moment) -> bool {
        now.since(self.refreshed) >= REFRESH_AFTER
    }

    /// Recalculates the sums over the pool.
    pub(crate) fn refresh(&mut self, now: Moment) {
        self.refreshed = now;
        let open = self.open.iter().map(|index| &self.slots[*index]);
        let (mut announced, mut usable, mut foreign) = (0.0, 0.0, 0.0);
        for slots in open {
            announced += slots.slots();
            usable += slots.slots() * slots.usable_part(now);
            foreign += slots.foreign;
        }
        self.announced_slots = announced;
        self.lift = if usable < announced * USABLE_FLOOR { USABLE_FLOOR } else { 0.0 };
        self.usable_slots = usable.max(announced * USABLE_FLOOR);
        self.foreign_a_slot = foreign / f32::max(announced, 1.0);
        self.busy = self.open().map(Self::load).sum();
        self.usual_ms = median_ms(self.open().filter_map(UpstreamSlots::latency_ms));
    }

    pub(crate) fn at(&self, index: usize) -> &UpstreamSlots {
        &self.slots[index]
    }

    pub(crate) fn index_of(&self, id: &UpstreamId) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the silent zones: several of their upstreams recently left probes unanswered, and
    /// none has reported anything since.
    pub(crate) fn silent_zones(&self, now: Moment) -> Vec<&ZoneName> {
        let mut zones: FastMap<&ZoneName, (usize, bool)> = FastMap::default();
        for slots in self.open() {
            let (silent, heard) = zones.entry(&slots.record.announcement.zone).or_default();
            *silent += usize::from(slots.is_silent(now));
            *heard |= slots.reading.is_some_and(|(at, _)| now.since(at) < HEARD_SPAN);
        }
        let is_silent = |(silent, heard): (usize, bool)| silent >= SILENT_LEAST && !heard;
        zones.into_iter().filter(|(_, counts)| is_silent(*counts)).map(|(zone, _)| zone).collect()
    }

    /// Returns the upstreams that may be probed.
    pub(crate) fn askable(
        &self,
        now: Moment,
        zone: &ZoneName,
        passed: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<AskableUpstream> {
        let open = self.open.iter().copied().filter(|index| {
            let slots = &self.slots[*index];
            let part = slots.usable_part(now).max(self.lift);
            !slots.rests(now, part)
                && !slots.cold.is_unasked(now, self.warm_up)
                && !passed(&slots.record.announcement.id)
        });
        let silent_zones = self.silent_zones(now);
        let askable = open.map(|index| {
            let slots = &self.slots[index];
            let is_silent =
                slots.is_silent(now) || silent_zones.contains(&&slots.record.announcement.zone);
            let is_away = slots.record.announcement.zone != *zone;
            // A cold upstream that is assigned to this entry is probed as if it were in its subset.
            let is_outside = !slots.in_subset && !slots.cold.is_cold(now);
            AskableUpstream { is_silent, is_away, is_outside, index }
        });
        askable.collect()
    }

    pub(crate) fn at_mut(&mut self, index: usize) -> &mut UpstreamSlots {
        &mut self.slots[index]
    }

    /// Returns the order of the upstreams in messages.
    pub(crate) fn layout(&self) -> &CountLayout {
        &self.layout
    }

    /// Returns the upstream at a place of the layout.
    pub(crate) fn at_place(&mut self, place: usize) -> &mut UpstreamSlots {
        &mut self.slots[self.places[place]]
    }

    /// Adds a request that starts or ends to the sums over the pool.
    pub(crate) fn count(&mut self, change: f32) {
        self.busy = (self.busy + change).max(0.0);
    }

    /// Returns the upstreams that take work.
    pub(crate) fn open(&self) -> impl Iterator<Item = &UpstreamSlots> {
        self.open.iter().map(|index| &self.slots[*index])
    }

    /// Whether no upstream takes work.
    pub(crate) fn is_closed(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the usable part of a typical upstream. Where all upstreams fail or are slow, the
    /// cause is load or the network, and none is worse than another because of it.
    pub(crate) fn usual_part(&self) -> f32 {
        if self.announced_slots > 0.0 { self.usable_slots / self.announced_slots } else { 1.0 }
    }

    /// Returns the usable slots over the pool.
    pub(crate) fn usable_slots(&self) -> f32 {
        self.usable_slots
    }

    /// Returns the outstanding requests over the pool.
    pub(crate) fn busy(&self) -> f32 {
        self.busy
    }

    /// Returns the usual answer time in milliseconds; 0 if it is unknown.
    pub(crate) fn usual_ms(&self) -> f32 {
        self.usual_ms
    }

    /// Discards the other entries' outstanding requests.
    pub(crate) fn forget_foreign(&mut self) {
        for slots in &mut self.slots {
            slots.foreign = 0.0;
            slots.shared_usable = 1.0;
        }
    }

    /// Chooses the least loaded upstream for its size among a few candidates, if any is below its
    /// limit.
    ///
    /// With fresh counts the best of many is the best. With old ones every entry would choose the
    /// same few upstreams that were idle when the sum was made, and overload them. So the older the
    /// counts, the fewer upstreams are compared, and the less the counts weigh against the pool's
    /// mean. If all candidates are full, the remaining upstreams are examined as well, because a
    /// request that waits beside a free slot is pure loss.
    pub(crate) fn choose(&self, rng: &mut SmallRng, choice: &UpstreamChoice<'_>) -> Option<usize> {
        if self.open.is_empty() {
            return None;
        }
        let freshness = self.freshness(choice.age);
        let wanted = candidates(freshness);
        if wanted < self.open.len() {
            let sampled = (0..wanted).map(|_| self.open[rng.random_range(0..self.open.len())]);
            let best = self.best(choice, freshness, sampled);
            if best.is_some() {
                return best;
            }
        }
        let first = rng.random_range(0..self.open.len());
        let (head, tail) = self.open.split_at(first);
        self.best(choice, freshness, tail.iter().chain(head).copied())
    }

    /// Whether an upstream may get the next request and is not loaded far above the others.
    pub(crate) fn is_usual(&self, choice: &UpstreamChoice<'_>, index: usize) -> bool {
        if !self.slots[index].takes_work() {
            return false;
        }
        let usual = (self.busy / self.usable_slots.max(1.0)).max(1.0);
        let score = self.score(choice, self.freshness(choice.age), index);
        score.is_some_and(|score| score <= usual * UNUSUAL)
    }

    /// Returns the weight of the counts, from 1 to 0. Requests end and others start, and after one
    /// usual answer time two thirds of what was counted is gone.
    fn freshness(&self, age: Option<Duration>) -> f32 {
        let Some(age) = age else { return 0.0 };
        let usual_ms = if self.usual_ms > 0.0 { self.usual_ms } else { UNKNOWN_MS };
        (-age.as_secs_f32() * 1_000.0 / usual_ms).exp()
    }

    fn best(
        &self,
        choice: &UpstreamChoice<'_>,
        freshness: f32,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        for index in candidates {
            let Some(score) = self.score(choice, freshness, index) else { continue };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns the load per usable slot after one more request, or `None` if that is above the
    /// limit.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn score(&self, choice: &UpstreamChoice<'_>, freshness: f32, index: usize) -> Option<f32> {
        let slots = &self.slots[index];
        let part = slots.usable_part(choice.now).max(self.lift);
        let usable = slots.slots() * part;
        let usual = self.foreign_a_slot * usable;
        let load = slots.own as f32 + usual + (slots.foreign - usual) * freshness;
        // The entry's own outstanding requests are known exactly, whatever the age of the counts.
        if slots.own as f32 >= (usable * choice.own_slack).max(1.0)
            || load >= (usable * choice.slack).max(1.0)
            || slots.rests(choice.now, part)
            || slots.cold.is_closed(choice.now, self.warm_up)
            || choice.avoid.contains(&slots.record.announcement.id)
        {
            return None;
        }
        let away = if slots.record.announcement.zone == *choice.zone { 0.0 } else { ZONE_COST };
        let silent = if slots.is_silent(choice.now) { SILENT_COST } else { 0.0 };
        Some((load + 1.0) / usable + away + silent)
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn load(slots: &UpstreamSlots) -> f32 {
        slots.own as f32 + slots.foreign
    }

    /// Adds a new upstream, in place of an unannounced one whose last request has ended if there is
    /// one.
    fn insert(&mut self, slots: UpstreamSlots) -> usize {
        let id = slots.record.announcement.id.clone();
        let unused = self.unlisted.iter().position(|index| self.slots[*index].own == 0);
        let index = if let Some(place) = unused {
            let index = self.unlisted.swap_remove(place);
            self.by_id.remove(&self.slots[index].record.announcement.id);
            self.slots[index] = slots;
            index
        } else {
            self.slots.push(slots);
            self.slots.len() - 1
        };
        self.by_id.insert(id, index);
        index
    }
}

/// Assumed usual answer time in milliseconds, before any is known.
const UNKNOWN_MS: f32 = 20.0;

/// An upstream whose load per slot exceeds the pool's by this factor is not refilled.
const UNUSUAL: f32 = 1.5;

/// The inputs of a choice besides the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamChoice<'a> {
    pub(crate) now: Moment,
    /// The entry's own zone.
    pub(crate) zone: &'a ZoneName,
    /// Upstreams that were tried before.
    pub(crate) avoid: &'a [UpstreamId],
    /// Age of the counts; `None` without a coordinator.
    pub(crate) age: Option<Duration>,
    /// All entries' outstanding requests allowed per usable slot of an upstream.
    pub(crate) slack: f32,
    /// This entry's own outstanding requests allowed per usable slot of an upstream.
    pub(crate) own_slack: f32,
}

fn candidates(freshness: f32) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a small range"
    )]
    let many = (MOST_CANDIDATES as f32 * freshness).round() as usize;
    many.clamp(FEWEST_CANDIDATES, MOST_CANDIDATES)
}
