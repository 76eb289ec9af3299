//! Which kinds of request may use how much of a pool, and who is next.

use crate::process::{CountKey, FastMap, KindUse, PoolName};
use crate::version::{KindPlan, PolicyPlan, RequestPriority, WorkLength};

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
    pub(crate) own: u32,
    /// The other entries' requests outstanding and waiting, as of the newest sum.
    pub(crate) foreign: u32,
    pub(crate) foreign_queued: u32,
    told: (u32, u32),
}

#[derive(Clone, Debug)]
struct ServiceState {
    share: f32,
}

/// The kinds of one pool and their services' shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindShares {
    kinds: Vec<KindState>,
    services: Vec<ServiceState>,
    by_row: FastMap<usize, usize>,
    starts: u32,
}

impl KindShares {
    /// Reads a pool's kinds from the plan; counts of kinds that stay are kept.
    pub(crate) fn new(plan: &PolicyPlan, pool: &PoolName, old: &Self) -> Self {
        let mut shares = Self::default();
        let mut names: Vec<&str> = Vec::new();
        for (row, kind) in plan.kinds.iter().enumerate().filter(|(_, kind)| kind.pool == *pool) {
            let name = kind.service.as_str();
            let service = names.iter().position(|known| *known == name).unwrap_or(names.len());
            if service == names.len() {
                names.push(name);
                shares.services.push(ServiceState { share: 0.0 });
            }
            shares.services[service].share += f32::from(kind.share.parts()) / 10_000.0;
            let mut state = KindState::new(kind, service);
            if let Some(known) = old.kinds.iter().find(|known| known.key == state.key) {
                state.own = known.own;
                state.foreign = known.foreign;
            }
            shares.by_row.insert(row, shares.kinds.len());
            shares.kinds.push(state);
        }
        shares
    }

    /// A kind's place among the pool's, by its row in the plan.
    pub(crate) fn local(&self, row: usize) -> Option<usize> {
        self.by_row.get(&row).copied()
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

    /// Takes in what all entries have running and waiting.
    pub(crate) fn receive(&mut self, totals: &[KindUse]) {
        for kind in &mut self.kinds {
            let total = totals.iter().find(|total| total.kind == kind.key);
            let (running, queued) = total.map_or((0, 0), |t| (t.in_flight, t.queued));
            kind.foreign = u32::from(running).saturating_sub(kind.told.0);
            kind.foreign_queued = u32::from(queued).saturating_sub(kind.told.1);
        }
    }

    /// Forgets what other entries have running and waiting.
    pub(crate) fn forget_foreign(&mut self) {
        for kind in &mut self.kinds {
            kind.foreign = 0;
            kind.foreign_queued = 0;
        }
    }

    /// The rows for a delta.
    pub(crate) fn tell(&mut self, queued: impl Fn(usize) -> usize) -> Vec<KindUse> {
        let mut uses = Vec::new();
        for (local, kind) in self.kinds.iter_mut().enumerate() {
            let waiting = u32::try_from(queued(local)).unwrap_or(u32::MAX);
            kind.told = (kind.own, waiting);
            if kind.own > 0 || waiting > 0 {
                uses.push(KindUse {
                    kind: kind.key,
                    in_flight: u16::try_from(kind.own).unwrap_or(u16::MAX),
                    queued: u16::try_from(waiting).unwrap_or(u16::MAX),
                });
            }
        }
        uses
    }

    /// Slots that others than this kind must leave free: reserved and not in use by their kind.
    pub(crate) fn reserved_from(&self, local: usize) -> u32 {
        let others = self.kinds.iter().enumerate().filter(|(other, _)| *other != local);
        others.map(|(_, kind)| kind.reserved.saturating_sub(kind.own + kind.foreign)).sum()
    }

    /// Long work outstanding, from all entries.
    pub(crate) fn long_running(&self) -> u32 {
        let long = self.kinds.iter().filter(|kind| kind.length == WorkLength::Long);
        long.map(|kind| kind.own + kind.foreign).sum()
    }

    /// Orders waiting kinds; the least goes first.
    ///
    /// A service within its share goes before one above it: shares are promises, and what one
    /// service leaves is only lent. Among equals the priority decides, then who has used less of
    /// its share. First kinds are never put back by share: an urgent read must not wait because
    /// its service was busy a moment ago.
    pub(crate) fn rank(&self, local: usize, slots: f32) -> (bool, RequestPriority, u32) {
        let kind = &self.kinds[local];
        let used = self.used(kind.service);
        let allowed = (self.services[kind.service].share * slots).max(f32::MIN_POSITIVE);
        let ratio = used / allowed;
        let over = ratio >= 1.0 && kind.priority > FIRST_PRIORITY;
        (over, kind.priority, ratio.to_bits())
    }

    /// Counts a start from the queue; true if this one belongs to the floor.
    pub(crate) fn floor_turn(&mut self) -> bool {
        self.starts = (self.starts + 1) % FLOOR_EVERY;
        self.starts == 0
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
    fn used(&self, service: usize) -> f32 {
        let kinds = self.kinds.iter().filter(|kind| kind.service == service);
        kinds.map(|kind| kind.own + kind.foreign).sum::<u32>() as f32
    }
}

/// Kinds of this priority go first, whatever their service has used.
pub(crate) const FIRST_PRIORITY: RequestPriority = RequestPriority(0);

impl KindState {
    fn new(kind: &KindPlan, service: usize) -> Self {
        Self {
            key: CountKey::of(&format!("{}/{}", kind.service, kind.kind)),
            priority: kind.priority,
            reserved: kind.reserved_slots.0,
            length: kind.length,
            service,
            own: 0,
            foreign: 0,
            foreign_queued: 0,
            told: (0, 0),
        }
    }
}
