//! Adds up the entries' counts for one pool's upstreams in one zone, and probes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::count_message::{KINDS_PER_MESSAGE, UPSTREAMS_PER_MESSAGE};
use super::count_table::CountTable;
use super::{
    CountDelta, CountEpoch, CountKey, CountSum, FastMap, HostId, Moment, PoolName, ProbeBudget,
    ProbeRate, UpstreamId, UpstreamRecord, UpstreamTotal, ZoneName,
};
use crate::request::LoadReport;
use crate::version::PolicyPlan;

/// Bytes a second that one coordinator may publish, unless told otherwise: a host's 17 KB/s for
/// all control, less what its own deltas, membership and replication need.
pub const PUBLISH_BYTES_PER_SECOND: u32 = 12_000;

/// The shortest time between two sums; counts fresher than this gain nothing for calls of
/// several milliseconds.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(5);

/// The longest time between two sums; two of them fit in the entries' term.
const LONGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes that carrying one sum costs besides its rows: datagram headers, frame, names.
const SUM_OVERHEAD: u32 = 100;

/// Bytes of one upstream's or kind's row.
const ROW_BYTES: u32 = 8;

/// The latest word on an upstream counts as fresh for so long; it is not probed meanwhile.
const FRESH: Duration = Duration::from_millis(500);

/// What became of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// It answered.
    Answered {
        /// After how long.
        latency: Duration,
        /// With which report of its load, if any.
        report: Option<LoadReport>,
    },
    /// It did not answer in time, or said that it is not well.
    Failed,
}

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorOutput {
    /// Send a sum to an entry.
    Publish {
        /// Which entry.
        to: HostId,
        /// The sum.
        sum: CountSum,
    },
    /// Probe an upstream and report with [`PoolCoordinator::probed`].
    Probe {
        /// Which upstream.
        upstream: UpstreamId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// One pool's coordinator for the upstreams of one zone.
///
/// Its state is soft: a successor starts empty and knows all that matters once each entry has
/// sent one round of deltas. It publishes only to entries it has heard of.
#[derive(Debug)]
pub struct PoolCoordinator {
    pool: PoolName,
    zone: ZoneName,
    host: HostId,
    key: CountKey,
    plan: Arc<PolicyPlan>,
    upstreams: Vec<CoordinatedUpstream>,
    table: CountTable,
    epoch: CountEpoch,
    sequence: u32,
    publish_at: Moment,
    bytes_per_second: u32,
    budget: ProbeBudget,
    budget_parts: (u32, u32),
}

#[derive(Clone, Debug)]
struct CoordinatedUpstream {
    key: CountKey,
    id: UpstreamId,
    address: SocketAddr,
    slots: u32,
    takes_work: bool,
    /// When it was last probed, or heard of by way of a caller's answer.
    known: Moment,
    probe: Option<(Moment, ProbeOutcome)>,
}

impl PoolCoordinator {
    /// Makes a coordinator that knows nothing yet.
    #[must_use]
    pub fn new(pool: PoolName, zone: ZoneName, host: HostId, now: Moment) -> Self {
        Self {
            pool,
            zone,
            key: CountKey::of(host.as_str()),
            host,
            plan: Arc::default(),
            upstreams: Vec::new(),
            table: CountTable::default(),
            epoch: CountEpoch(1),
            sequence: 0,
            publish_at: now + SHORTEST_INTERVAL,
            bytes_per_second: PUBLISH_BYTES_PER_SECOND,
            budget: ProbeBudget::new(now, ProbeRate(0)),
            budget_parts: (1, 1),
        }
    }

    /// Bounds the bytes a second that it publishes; a host with several coordinators splits its
    /// own bound among them.
    #[must_use]
    pub fn with_bytes_per_second(mut self, bytes_per_second: u32) -> Self {
        self.bytes_per_second = bytes_per_second.max(1);
        self
    }

    /// Changes the bound on bytes a second, as other coordinators come and go on this host.
    pub fn set_bytes_per_second(&mut self, bytes_per_second: u32) {
        self.bytes_per_second = bytes_per_second.max(1);
    }

    /// Puts a newer plan in force.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<PolicyPlan>) {
        self.plan = plan;
        self.apply_budget(now);
    }

    /// Replaces what is known of the pool's upstreams; it keeps to its own zone's.
    ///
    /// The pool's probe budget is split by the zones' upstreams, so the zones' coordinators
    /// together stay within it without a word to each other.
    pub fn apply_upstreams(&mut self, now: Moment, upstreams: &[UpstreamRecord]) {
        let known: FastMap<CountKey, CoordinatedUpstream> =
            self.upstreams.drain(..).map(|upstream| (upstream.key, upstream)).collect();
        for record in upstreams.iter().filter(|record| record.announcement.zone == self.zone) {
            let fresh = CoordinatedUpstream::new(now, record);
            let merged = match known.get(&fresh.key) {
                Some(old) => CoordinatedUpstream { known: old.known, probe: old.probe, ..fresh },
                None => fresh,
            };
            self.upstreams.push(merged);
        }
        self.upstreams.sort_by_key(|upstream| upstream.key);
        let whole = u32::try_from(upstreams.len()).unwrap_or(u32::MAX).max(1);
        self.budget_parts = (u32::try_from(self.upstreams.len()).unwrap_or(0), whole);
        self.apply_budget(now);
    }

    /// Takes in an entry's delta.
    pub fn receive(&mut self, now: Moment, from: &HostId, delta: &CountDelta) {
        if delta.pool != self.pool || delta.zone != self.zone {
            return;
        }
        self.table.receive(now, from, delta);
        // An entry that has seen another coordinator's epoch, the same or a higher one, ignores
        // ours: that host coordinated before, or coordinates for those who cannot see this one.
        if delta.coordinator != self.key && delta.epoch >= self.epoch {
            self.epoch = CountEpoch(delta.epoch.0.saturating_add(1));
            self.sequence = 0;
        }
        for usage in delta.upstreams.iter().filter(|usage| usage.latency > 0) {
            if let Some(upstream) = self.upstreams.iter_mut().find(|u| u.key == usage.upstream) {
                upstream.known = now;
            }
        }
    }

    /// Takes in what became of a probe.
    pub fn probed(&mut self, now: Moment, upstream: &UpstreamId, outcome: ProbeOutcome) {
        let found = self.upstreams.iter_mut().find(|known| known.id == *upstream);
        if let Some(known) = found {
            known.known = now;
            known.probe = Some((now, outcome));
        }
    }

    /// Publishes sums and asks for probes as they come due.
    pub fn tick(&mut self, now: Moment) -> Vec<CoordinatorOutput> {
        let mut outputs = Vec::new();
        self.table.expire(now);
        if now >= self.publish_at {
            self.publish(now, &mut outputs);
        }
        if let Some(index) = self.probe_target(now)
            && self.budget.take(now)
        {
            let upstream = &mut self.upstreams[index];
            upstream.known = now;
            let (id, address) = (upstream.id.clone(), upstream.address);
            outputs.push(CoordinatorOutput::Probe { upstream: id, address });
        }
        outputs
    }

    /// When [`Self::tick`] is next of use.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let oldest = self.upstreams.iter().filter(|u| u.takes_work).map(|u| u.known + FRESH).min();
        match (self.budget.next_at(), oldest) {
            (Some(allowed), Some(oldest)) => self.publish_at.min(allowed.max(oldest)),
            _ => self.publish_at,
        }
    }

    /// The pool and zone it coordinates.
    #[must_use]
    pub fn scope(&self) -> (&PoolName, &ZoneName) {
        (&self.pool, &self.zone)
    }

    /// How long until the next sum: as short as the byte budget allows while the pool is hot,
    /// longer the more slots are idle, since then any choice finds a free slot.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let rows = u32::try_from(self.upstreams.len() + KINDS_PER_MESSAGE.min(4)).unwrap_or(0);
        let entries = u32::try_from(self.table.len()).unwrap_or(u32::MAX);
        let round = u64::from(entries) * u64::from(SUM_OVERHEAD + rows * ROW_BYTES);
        let paced = Duration::from_micros(round * 1_000_000 / u64::from(self.bytes_per_second));
        let heat = self.heat().clamp(0.25, 1.0);
        paced.div_f64(heat * heat).clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
    }

    fn heat(&self) -> f64 {
        let slots: u32 = self.upstreams.iter().map(|upstream| upstream.slots).sum();
        let busy: u32 = self
            .upstreams
            .iter()
            .map(|upstream| u32::from(self.table.total(upstream.key).in_flight))
            .sum();
        f64::from(busy) / f64::from(slots.max(1))
    }

    fn publish(&mut self, now: Moment, outputs: &mut Vec<CoordinatorOutput>) {
        let interval = self.interval();
        self.publish_at = now + interval;
        self.sequence += 1;
        let totals: Vec<UpstreamTotal> =
            self.upstreams.iter().map(|upstream| self.total(now, upstream)).collect();
        let mut kinds = self.table.kinds();
        kinds.truncate(KINDS_PER_MESSAGE);
        let mut entries: Vec<_> = self.table.entries().collect();
        entries.sort();
        for (host, generation, echo) in entries {
            for rows in totals.chunks(UPSTREAMS_PER_MESSAGE) {
                let sum = CountSum {
                    pool: self.pool.clone(),
                    zone: self.zone.clone(),
                    coordinator: self.host.clone(),
                    epoch: self.epoch,
                    sequence: self.sequence,
                    generation,
                    echo,
                    entries: u16::try_from(self.table.len()).unwrap_or(u16::MAX),
                    interval_ms: u16::try_from(interval.as_millis()).unwrap_or(u16::MAX),
                    upstreams: rows.to_vec(),
                    kinds: kinds.clone(),
                };
                outputs.push(CoordinatorOutput::Publish { to: host.clone(), sum });
            }
        }
    }

    /// What callers see outweighs what a probe saw; a probe speaks only where no caller's
    /// answer did. A health endpoint that says "well" while calls fail would otherwise draw
    /// load to a broken upstream.
    fn total(&self, now: Moment, upstream: &CoordinatedUpstream) -> UpstreamTotal {
        let mut total = self.table.total(upstream.key);
        let Some((at, outcome)) = upstream.probe else { return total };
        if total.latency == 0 && now.since(at) < LONGEST_INTERVAL * 10 {
            match outcome {
                ProbeOutcome::Answered { .. } => {}
                ProbeOutcome::Failed => total.health = total.health.min(FAILED_PROBE_HEALTH),
            }
        }
        total
    }

    /// The upstream whose state has been unknown for longest, if that is no longer fresh.
    fn probe_target(&self, now: Moment) -> Option<usize> {
        let candidates = self.upstreams.iter().enumerate();
        candidates
            .filter(|(_, upstream)| upstream.takes_work && now.since(upstream.known) >= FRESH)
            .min_by_key(|(_, upstream)| upstream.known)
            .map(|(index, _)| index)
    }

    fn apply_budget(&mut self, now: Moment) {
        let whole = self.plan.probe_budget(&self.pool).0;
        let (part, parts) = self.budget_parts;
        let rate = u64::from(whole) * u64::from(part) / u64::from(parts);
        self.budget.set_rate(now, ProbeRate(u32::try_from(rate).unwrap_or(u32::MAX)));
    }
}

/// Usable part of an upstream, in 255ths, that failed its probe and that no caller knows of.
const FAILED_PROBE_HEALTH: u8 = 64;

impl CoordinatedUpstream {
    fn new(now: Moment, record: &UpstreamRecord) -> Self {
        let announcement = &record.announcement;
        Self {
            key: CountKey::of(announcement.id.as_str()),
            id: announcement.id.clone(),
            address: announcement.address,
            slots: announcement.slots.0,
            takes_work: record.takes_work,
            known: now,
            probe: None,
        }
    }
}
