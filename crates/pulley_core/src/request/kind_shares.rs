//! Shares of a pool for each kind of request, and the order in which waiting kinds start.

use std::time::Duration;

use super::{KindDemand, divide_slots};
use crate::process::{CountKey, FastMap, Moment, PoolName, ServiceName, digest_of};
use crate::version::{IndexedPlan, KindPlan, RequestPriority, WorkLength};

/// One in this many starts from the queue goes to the longest-waiting request of the lower
/// priorities. A steady flood of first-priority kinds delays them but never starves them.
const FLOOR_INTERVAL: u32 = 20;

/// State of one kind at one entry.
#[derive(Clone, Debug)]
pub(crate) struct KindState {
    pub(crate) key: CountKey,
    pub(crate) priority: RequestPriority,
    pub(crate) reserved: u32,
    pub(crate) length: WorkLength,
    pub(crate) service: usize,
    /// This entry's own outstanding requests.
    own: u32,
    /// The other entries' outstanding and waiting requests, as of the newest sum.
    others: u32,
    others_queued: u32,
    /// Requests this entry may have outstanding while the kind is limited to its lease.
    pub(crate) leased: f32,
    /// Target time of an answer, counted from its request.
    pub(crate) target: Option<Duration>,
    /// Smoothed time of its work where nothing slows it down, in milliseconds; 0 if unknown.
    pub(crate) base_ms: f32,
    /// Smoothed time between starts from the queue, in milliseconds.
    pub(crate) start_gap_ms: f32,
    pub(crate) last_start: Option<Moment>,
    is_limited: bool,
}

#[derive(Clone, Debug)]
struct ServiceState {
    share: f32,
    /// Outstanding requests of its kinds, from all entries.
    used: u32,
}

/// The kinds of one pool and their services' shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindShares {
    kinds: Vec<KindState>,
    services: Vec<ServiceState>,
    /// Each kind's row in the plan, in ascending order.
    rows: Vec<usize>,
    digest: u16,
    /// This entry's own outstanding requests, of all kinds.
    own: u32,
    /// Reserved slots that their kinds do not use.
    unused_reserves: u32,
    starts: u32,
    /// Whether the demand exceeds the room of the pool.
    is_tight: bool,
    /// Requests this entry may have outstanding while the pool is not tight.
    room: f32,
}

/// The inputs of the lease calculation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    /// Requests that may be outstanding over the pool.
    pub(crate) slots: f32,
    /// The same limit for kinds that do not queue at upstreams.
    pub(crate) long_slots: f32,
    /// Number of entries that share the pool.
    pub(crate) entries: f32,
}

/// Factor by which room without demand is given out in excess.
const SPARE_FACTOR: f32 = 2.0;

impl KindShares {
    /// Reads a pool's kinds from the plan. Counts of kinds that stay are kept.
    pub(crate) fn new(plan: &IndexedPlan, pool: &PoolName, old: &Self) -> Self {
        let mut shares = Self::default();
        let mut services: FastMap<&ServiceName, usize> = FastMap::default();
        let used = old.kinds.iter().filter(|kind| kind.has_state());
        let known_kinds: FastMap<CountKey, &KindState> =
            used.map(|kind| (kind.key, kind)).collect();
        for (row, kind) in plan.rows_of(pool) {
            let service = *services.entry(&kind.service).or_insert(shares.services.len());
            if service == shares.services.len() {
                shares.services.push(ServiceState { share: 0.0, used: 0 });
            }
            shares.services[service].share += f32::from(kind.share.basis_points()) / 10_000.0;
            let mut state = KindState::new(kind, service);
            if let Some(known) = known_kinds.get(&state.key) {
                state.own = known.own;
                state.others = known.others;
                state.base_ms = known.base_ms;
            }
            shares.rows.push(row);
            shares.kinds.push(state);
        }
        shares.room = f32::INFINITY;
        let keys: Vec<CountKey> = shares.kinds.iter().map(|kind| kind.key).collect();
        shares.digest = digest_of(&keys);
        shares.recalculate_sums();
        shares
    }

    /// Returns a kind's index among the pool's kinds, by its row in the plan.
    pub(crate) fn index_of(&self, row: usize) -> Option<usize> {
        self.rows.binary_search(&row).ok()
    }

    pub(crate) fn kind(&self, kind_index: usize) -> &KindState {
        &self.kinds[kind_index]
    }

    pub(crate) fn kind_mut(&mut self, kind_index: usize) -> &mut KindState {
        &mut self.kinds[kind_index]
    }

    pub(crate) fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns a digest of the kinds, by which hosts check that they count the same ones.
    pub(crate) fn digest(&self) -> u16 {
        self.digest
    }

    /// Returns this entry's running and waiting requests of each kind.
    pub(crate) fn own_uses(
        &self,
        queued: impl Fn(usize) -> usize,
    ) -> impl Iterator<Item = (u32, u32)> {
        let waiting = move |kind_index| u32::try_from(queued(kind_index)).unwrap_or(u32::MAX);
        self.kinds.iter().enumerate().map(move |(kind_index, kind)| (kind.own, waiting(kind_index)))
    }

    /// Applies the running and waiting requests of all entries, less those that this entry reported
    /// itself.
    pub(crate) fn receive(&mut self, totals: &[(u32, u32)], sent: &[(u32, u32)]) {
        for (kind_index, kind) in self.kinds.iter_mut().enumerate() {
            let total = totals.get(kind_index).copied().unwrap_or_default();
            let own = sent.get(kind_index).copied().unwrap_or_default();
            kind.others = total.0.saturating_sub(own.0);
            kind.others_queued = total.1.saturating_sub(own.1);
        }
        self.recalculate_sums();
    }

    /// Divides room for `slots` requests among the kinds, and gives this entry a fraction of each
    /// kind's lease in proportion to its own demand. Leases are not enforced while there is room
    /// for every request.
    ///
    /// While the pool has room for all requests, none is held back, whatever its share. When it has
    /// not, each entry keeps to its fraction of each service's share. All entries derive their
    /// fractions from the same published sum of counts, so a share holds over all entries together,
    /// and a lent share returns with the next sum. Kinds of the first priority are not held back:
    /// an urgent read must not wait because counts are old. What they use is subtracted from the
    /// room of the others.
    ///
    /// Room without demand is split evenly among the entries and given out twice over, because only
    /// some entries will need their portion before the next sum. Without any bound, requests that
    /// arrive between two sums would all be sent at once when a pool has just stopped being tight.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn lease(&mut self, terms: &LeaseTerms, queued: impl Fn(usize) -> usize) {
        // Most rows of a large sheet have no request at any one time and take no part in the
        // division.
        let asking: Vec<usize> = (0..self.kinds.len())
            .filter(|kind_index| self.kinds[*kind_index].is_used() || queued(*kind_index) > 0)
            .collect();
        let own: Vec<f32> = asking
            .iter()
            .map(|kind_index| (self.kinds[*kind_index].own as usize + queued(*kind_index)) as f32)
            .collect();
        let demands: Vec<KindDemand> = asking
            .iter()
            .zip(&own)
            .map(|(kind_index, own)| self.demand(*kind_index, *own))
            .collect();
        let all: f32 = demands.iter().map(|demand| demand.wanted).sum();
        self.is_tight = all > terms.slots;
        let spare = (terms.slots - all).max(0.0) / terms.entries.max(1.0) * SPARE_FACTOR;
        self.room = own.iter().sum::<f32>() + spare + 1.0;
        let given = divide_slots(terms.slots, &demands);
        // Long work does not queue at upstreams: a short request that queues behind a long one
        // waits ten times its own duration. So a long kind gets a fraction of the slots themselves.
        let given_long = divide_slots(terms.long_slots, &demands);
        for kind in &mut self.kinds {
            kind.leased = 0.0;
            kind.is_limited = self.is_tight;
        }
        for (place, kind_index) in asking.into_iter().enumerate() {
            let kind = &mut self.kinds[kind_index];
            let is_long = kind.length == WorkLength::Long;
            let given = if is_long { given_long[place] } else { given[place] };
            kind.leased = given * own[place] / demands[place].wanted.max(1.0);
            kind.is_limited = self.is_tight || given < demands[place].wanted;
        }
    }

    /// Limits this entry to `room` outstanding requests over all kinds, while no sums of counts
    /// arrive.
    pub(crate) fn lease_without_counts(&mut self, room: f32) {
        self.is_tight = false;
        self.room = room;
        for kind in &mut self.kinds {
            kind.is_limited = false;
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn demand(&self, kind_index: usize, own: f32) -> KindDemand {
        let kind = &self.kinds[kind_index];
        let wanted = own + (kind.others + kind.others_queued) as f32;
        let share = self.services[kind.service].share;
        KindDemand { service: kind.service, share, priority: kind.priority.0, wanted }
    }

    /// Rounds each kind's lease at random, so that fractions of a request are not lost.
    pub(crate) fn round_leases(&mut self, mut draw: impl FnMut() -> f32) {
        for kind in &mut self.kinds {
            kind.leased = (kind.leased + draw()).floor();
        }
    }

    /// Whether the demand exceeds the room of the pool.
    pub(crate) fn is_tight(&self) -> bool {
        self.is_tight
    }

    /// Whether a kind's lease has room for one more request.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn has_lease(&self, kind_index: usize) -> bool {
        let kind = &self.kinds[kind_index];
        if kind.priority == FIRST_PRIORITY {
            return true;
        }
        if kind.is_limited {
            return (kind.own as f32) < kind.leased;
        }
        (self.own as f32) < self.room
    }

    /// Discards the counts of the other entries' running and waiting requests.
    pub(crate) fn discard_others(&mut self) {
        for kind in &mut self.kinds {
            kind.others = 0;
            kind.others_queued = 0;
        }
        self.recalculate_sums();
        self.is_tight = false;
    }

    /// Returns how many slots this kind must leave free: reserved for other kinds and not used by
    /// them.
    pub(crate) fn reserved_for_others(&self, kind_index: usize) -> u32 {
        self.unused_reserves - self.kinds[kind_index].unused_reserve()
    }

    /// Returns the sort key of a waiting kind; the lowest goes first. It orders by priority, then
    /// by how much of its share the service has used.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    pub(crate) fn rank(&self, kind_index: usize) -> (RequestPriority, u32) {
        let kind = &self.kinds[kind_index];
        let service = &self.services[kind.service];
        let ratio = service.used as f32 / service.share.max(f32::MIN_POSITIVE);
        (kind.priority, ratio.to_bits())
    }

    /// Counts a start from the queue. Returns true if it is the turn of the lower priorities.
    pub(crate) fn advance_floor(&mut self) -> bool {
        self.starts = (self.starts + 1) % FLOOR_INTERVAL;
        self.starts == 0
    }

    /// Counts a new outstanding request of a kind.
    pub(crate) fn record_start(&mut self, kind_index: usize) {
        self.change_own(kind_index, |own| own + 1);
    }

    /// Counts the end of an outstanding request of a kind.
    pub(crate) fn record_finish(&mut self, kind_index: usize) {
        self.change_own(kind_index, |own| own.saturating_sub(1));
    }

    /// Changes one kind's outstanding requests, and the totals that depend on them: of this entry,
    /// of the kind's service and of unused reserved slots.
    fn change_own(&mut self, kind_index: usize, change: impl FnOnce(u32) -> u32) {
        let kind = &mut self.kinds[kind_index];
        let service = &mut self.services[kind.service];
        self.own -= kind.own;
        service.used -= kind.used();
        self.unused_reserves -= kind.unused_reserve();
        kind.own = change(kind.own);
        self.own += kind.own;
        service.used += kind.used();
        self.unused_reserves += kind.unused_reserve();
    }

    /// Recalculates the totals of [`Self::change_own`], after the counts of many kinds have
    /// changed.
    fn recalculate_sums(&mut self) {
        self.services.iter_mut().for_each(|service| service.used = 0);
        for kind in &self.kinds {
            self.services[kind.service].used += kind.used();
        }
        self.own = self.kinds.iter().map(|kind| kind.own).sum();
        self.unused_reserves = self.kinds.iter().map(KindState::unused_reserve).sum();
    }
}

/// Kinds of this priority go first, however much their service has used.
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
            others: 0,
            others_queued: 0,
            leased: 0.0,
            target: kind.route.target,
            base_ms: 0.0,
            start_gap_ms: 0.0,
            last_start: None,
            is_limited: false,
        }
    }

    /// Returns the outstanding requests, from all entries.
    fn used(&self) -> u32 {
        self.own + self.others
    }

    /// Whether any entry has a request of this kind.
    fn is_used(&self) -> bool {
        self.used() + self.others_queued > 0
    }

    /// Returns how many of its reserved slots are not in use.
    fn unused_reserve(&self) -> u32 {
        self.reserved.saturating_sub(self.used())
    }

    /// Whether its state must be kept when the plan changes.
    fn has_state(&self) -> bool {
        self.own > 0 || self.others > 0 || self.base_ms > 0.0
    }
}

/// Returns a digest of a pool's kinds in the order of the plan, and their number.
#[must_use]
pub(crate) fn kind_digest(plan: &IndexedPlan, pool: &PoolName) -> (u16, usize) {
    let keys: Vec<CountKey> = plan.rows_of(pool).map(|(_, kind)| key_of(kind)).collect();
    (digest_of(&keys), keys.len())
}

fn key_of(kind: &KindPlan) -> CountKey {
    CountKey::of(&[kind.service.as_str(), "/", kind.kind.as_str()].concat())
}
