//! Which kinds of request may use how much of a pool, and who is next.

use std::time::Duration;

use super::{KindDemand, divide_slots};
use crate::process::{CountKey, FastMap, Moment, PoolName, ServiceName, digest_of};
use crate::version::{IndexedPlan, KindPlan, RequestPriority, WorkLength};

/// Of so many starts from the queue, one goes to whoever has waited longest of the lower
/// priorities, so that a steady flood of first kinds delays them but never starves them.
const FLOOR_EVERY: u32 = 20;

/// What one entry knows of one kind.
#[derive(Clone, Debug)]
pub(crate) struct KindState {
    pub(crate) key: CountKey,
    pub(crate) priority: RequestPriority,
    pub(crate) reserved: u32,
    pub(crate) length: WorkLength,
    pub(crate) service: usize,
    /// This entry's own requests outstanding.
    own: u32,
    /// The other entries' requests outstanding and waiting, as of the newest sum.
    foreign: u32,
    foreign_queued: u32,
    /// Requests this entry may have outstanding while the kind is held to a part.
    pub(crate) leased: f32,
    /// Until when an answer is worth most, from its request on.
    pub(crate) target: Option<Duration>,
    /// Smoothed time of its work where nothing slows it down, in milliseconds; 0 if unknown.
    pub(crate) base_ms: f32,
    /// Smoothed time between starts from the queue, in milliseconds.
    pub(crate) start_gap_ms: f32,
    pub(crate) last_start: Option<Moment>,
    is_held: bool,
}

#[derive(Clone, Debug)]
struct ServiceState {
    share: f32,
    /// Requests of its kinds outstanding, from all entries.
    used: u32,
}

/// The kinds of one pool and their services' shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindShares {
    kinds: Vec<KindState>,
    services: Vec<ServiceState>,
    /// Each kind's row in the plan, in the plan's order.
    rows: Vec<usize>,
    digest: u16,
    /// This entry's own requests outstanding, of all kinds.
    own: u32,
    /// Slots that are reserved and not in use by their kinds.
    unused_reserves: u32,
    starts: u32,
    /// Whether more is asked for than the pool has room for.
    is_tight: bool,
    /// Requests this entry may have outstanding while the pool is not tight.
    room: f32,
}

/// What leases are worked out from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    /// Requests that may be outstanding over the pool.
    pub(crate) slots: f32,
    /// The same for kinds that do not queue at upstreams.
    pub(crate) long_slots: f32,
    /// Entries that share the pool.
    pub(crate) entries: f32,
}

/// How often room that nobody asks for is given out.
const SPARE_GIVEN: f32 = 2.0;

impl KindShares {
    /// Reads a pool's kinds from the plan; counts of kinds that stay are kept.
    pub(crate) fn new(plan: &IndexedPlan, pool: &PoolName, old: &Self) -> Self {
        let mut shares = Self::default();
        let mut services: FastMap<&ServiceName, usize> = FastMap::default();
        let used = old.kinds.iter().filter(|kind| kind.is_known());
        let known_kinds: FastMap<CountKey, &KindState> =
            used.map(|kind| (kind.key, kind)).collect();
        for (row, kind) in plan.rows_of(pool) {
            let service = *services.entry(&kind.service).or_insert(shares.services.len());
            if service == shares.services.len() {
                shares.services.push(ServiceState { share: 0.0, used: 0 });
            }
            shares.services[service].share += f32::from(kind.share.parts()) / 10_000.0;
            let mut state = KindState::new(kind, service);
            if let Some(known) = known_kinds.get(&state.key) {
                state.own = known.own;
                state.foreign = known.foreign;
                state.base_ms = known.base_ms;
            }
            shares.rows.push(row);
            shares.kinds.push(state);
        }
        shares.room = f32::INFINITY;
        let keys: Vec<CountKey> = shares.kinds.iter().map(|kind| kind.key).collect();
        shares.digest = digest_of(&keys);
        shares.add_up();
        shares
    }

    /// A kind's place among the pool's, by its row in the plan.
    pub(crate) fn local(&self, row: usize) -> Option<usize> {
        self.rows.binary_search(&row).ok()
    }

    pub(crate) fn kind(&self, local: usize) -> &KindState {
        &self.kinds[local]
    }

    pub(crate) fn kind_mut(&mut self, local: usize) -> &mut KindState {
        &mut self.kinds[local]
    }

    pub(crate) fn len(&self) -> usize {
        self.kinds.len()
    }

    /// A digest of the kinds, by which hosts know that they count the same ones.
    pub(crate) fn digest(&self) -> u16 {
        self.digest
    }

    /// What this entry has running and waiting of each kind.
    pub(crate) fn own_uses(
        &self,
        queued: impl Fn(usize) -> usize,
    ) -> impl Iterator<Item = (u32, u32)> {
        let waiting = move |local| u32::try_from(queued(local)).unwrap_or(u32::MAX);
        self.kinds.iter().enumerate().map(move |(local, kind)| (kind.own, waiting(local)))
    }

    /// Takes in what all entries have running and waiting, less what this one told of its own.
    pub(crate) fn receive(&mut self, totals: &[(u32, u32)], told: &[(u32, u32)]) {
        for (local, kind) in self.kinds.iter_mut().enumerate() {
            let total = totals.get(local).copied().unwrap_or_default();
            let own = told.get(local).copied().unwrap_or_default();
            kind.foreign = total.0.saturating_sub(own.0);
            kind.foreign_queued = total.1.saturating_sub(own.1);
        }
        self.add_up();
    }

    /// Divides room for `slots` requests among the kinds, and of each kind's part gives this
    /// entry what is due to it by its own demand; none while there is room for everyone.
    ///
    /// While the pool has room for all, nobody is held back, whatever its share. When it has not,
    /// each entry keeps to its part of each service's share, worked out from the same sum that
    /// all the others use; so a share is held over all entries together and a lent one comes back
    /// with the next sum. First kinds are not held back: an urgent read must not wait because
    /// counts are old. What they use is taken off the room of the others.
    ///
    /// Room that nobody asks for is split evenly and given out twice over: until the next sum only
    /// some entries will need theirs. Without any bound, calls that arrive between two sums would
    /// all be sent at once when a pool has just stopped being tight.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn lease(&mut self, terms: &LeaseTerms, queued: impl Fn(usize) -> usize) {
        // Most rows of a large sheet have no request at any one time, and divide nothing.
        let asking: Vec<usize> = (0..self.kinds.len())
            .filter(|local| self.kinds[*local].is_used() || queued(*local) > 0)
            .collect();
        let own: Vec<f32> = asking
            .iter()
            .map(|local| (self.kinds[*local].own as usize + queued(*local)) as f32)
            .collect();
        let demands: Vec<KindDemand> =
            asking.iter().zip(&own).map(|(local, own)| self.demand(*local, *own)).collect();
        let all: f32 = demands.iter().map(|demand| demand.wanted).sum();
        self.is_tight = all > terms.slots;
        let spare = (terms.slots - all).max(0.0) / terms.entries.max(1.0) * SPARE_GIVEN;
        self.room = own.iter().sum::<f32>() + spare + 1.0;
        let given = divide_slots(terms.slots, &demands);
        // Long work does not queue at upstreams: a short request that comes to wait behind a long
        // one waits ten times its own time. So it gets its part of the slots themselves.
        let given_long = divide_slots(terms.long_slots, &demands);
        for kind in &mut self.kinds {
            kind.leased = 0.0;
            kind.is_held = self.is_tight;
        }
        for (place, local) in asking.into_iter().enumerate() {
            let kind = &mut self.kinds[local];
            let is_long = kind.length == WorkLength::Long;
            let given = if is_long { given_long[place] } else { given[place] };
            kind.leased = given * own[place] / demands[place].wanted.max(1.0);
            kind.is_held = self.is_tight || given < demands[place].wanted;
        }
    }

    /// Without sums, keeps this entry to its even part of the pool.
    pub(crate) fn lease_alone(&mut self, room: f32) {
        self.is_tight = false;
        self.room = room;
        for kind in &mut self.kinds {
            kind.is_held = false;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn demand(&self, local: usize, own: f32) -> KindDemand {
        let kind = &self.kinds[local];
        let wanted = own + (kind.foreign + kind.foreign_queued) as f32;
        let share = self.services[kind.service].share;
        KindDemand { service: kind.service, share, priority: kind.priority.0, wanted }
    }

    /// Rounds each kind's lease at random, so that parts of a request are not lost.
    pub(crate) fn round_leases(&mut self, mut draw: impl FnMut() -> f32) {
        for kind in &mut self.kinds {
            kind.leased = (kind.leased + draw()).floor();
        }
    }

    /// Whether more is asked for than the pool has room for.
    pub(crate) fn is_tight(&self) -> bool {
        self.is_tight
    }

    /// Whether a kind's lease has room for one more request.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn has_lease(&self, local: usize) -> bool {
        let kind = &self.kinds[local];
        if kind.priority == FIRST_PRIORITY {
            return true;
        }
        if kind.is_held {
            return (kind.own as f32) < kind.leased;
        }
        (self.own as f32) < self.room
    }

    /// Forgets what other entries have running and waiting.
    pub(crate) fn forget_foreign(&mut self) {
        for kind in &mut self.kinds {
            kind.foreign = 0;
            kind.foreign_queued = 0;
        }
        self.add_up();
        self.is_tight = false;
    }

    /// Slots that others than this kind must leave free: reserved and not in use by their kind.
    pub(crate) fn reserved_from(&self, local: usize) -> u32 {
        self.unused_reserves - self.kinds[local].unused_reserve()
    }

    /// Orders waiting kinds; the least goes first: by priority, then by who has used less of its
    /// share.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn rank(&self, local: usize) -> (RequestPriority, u32) {
        let kind = &self.kinds[local];
        let service = &self.services[kind.service];
        let ratio = service.used as f32 / service.share.max(f32::MIN_POSITIVE);
        (kind.priority, ratio.to_bits())
    }

    /// Counts a start from the queue; true if this one belongs to the floor.
    pub(crate) fn floor_turn(&mut self) -> bool {
        self.starts = (self.starts + 1) % FLOOR_EVERY;
        self.starts == 0
    }

    /// Counts a request of a kind as outstanding.
    pub(crate) fn note_start(&mut self, local: usize) {
        self.change_own(local, |own| own + 1);
    }

    /// Counts a request of a kind as outstanding no more.
    pub(crate) fn note_finish(&mut self, local: usize) {
        self.change_own(local, |own| own.saturating_sub(1));
    }

    /// Changes one kind's count and, by as much, the sums that it is part of.
    fn change_own(&mut self, local: usize, change: impl FnOnce(u32) -> u32) {
        let kind = &mut self.kinds[local];
        let service = &mut self.services[kind.service];
        self.own -= kind.own;
        service.used -= kind.used();
        self.unused_reserves -= kind.unused_reserve();
        kind.own = change(kind.own);
        self.own += kind.own;
        service.used += kind.used();
        self.unused_reserves += kind.unused_reserve();
    }

    /// Works out the sums anew, after the counts of many kinds have changed.
    fn add_up(&mut self) {
        self.services.iter_mut().for_each(|service| service.used = 0);
        for kind in &self.kinds {
            self.services[kind.service].used += kind.used();
        }
        self.own = self.kinds.iter().map(|kind| kind.own).sum();
        self.unused_reserves = self.kinds.iter().map(KindState::unused_reserve).sum();
    }
}

/// Kinds of this priority go first, whatever their service has used.
pub(crate) const FIRST_PRIORITY: RequestPriority = RequestPriority(0);

impl KindState {
    fn new(kind: &KindPlan, service: usize) -> Self {
        Self {
            key: key_of(kind),
            priority: kind.priority,
            reserved: kind.reserved_slots.0,
            length: kind.length,
            service,
            own: 0,
            foreign: 0,
            foreign_queued: 0,
            leased: 0.0,
            target: kind.route.target,
            base_ms: 0.0,
            start_gap_ms: 0.0,
            last_start: None,
            is_held: false,
        }
    }

    /// Requests outstanding, from all entries.
    fn used(&self) -> u32 {
        self.own + self.foreign
    }

    /// Whether any entry has a request of it.
    fn is_used(&self) -> bool {
        self.used() + self.foreign_queued > 0
    }

    /// Slots reserved for it that it does not use.
    fn unused_reserve(&self) -> u32 {
        self.reserved.saturating_sub(self.used())
    }

    /// Whether it holds anything that outlasts a plan.
    fn is_known(&self) -> bool {
        self.own > 0 || self.foreign > 0 || self.base_ms > 0.0
    }
}

/// A digest of a pool's kinds in the order of the plan, and how many there are.
#[must_use]
pub(crate) fn kind_digest(plan: &IndexedPlan, pool: &PoolName) -> (u16, usize) {
    let keys: Vec<CountKey> = plan.rows_of(pool).map(|(_, kind)| key_of(kind)).collect();
    (digest_of(&keys), keys.len())
}

fn key_of(kind: &KindPlan) -> CountKey {
    CountKey::of(&[kind.service.as_str(), "/", kind.kind.as_str()].concat())
}
