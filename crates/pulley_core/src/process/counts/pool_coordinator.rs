//! Sums the entries' counts for one pool in rounds and probes the pool's upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::count_key::stable_hash;
use super::count_link::STEP_UNIT;
use super::count_message::{split_route, tree_depth};
use super::count_rows::{KINDS_PER_MESSAGE, saturate};
use super::report_collector::{CollectorRound, ReportCollector};
use super::upstream_health::{UpstreamHealth, median_ms};
use super::{
    CountEpoch, CountKey, CountLayout, CountReport, CountRound, CountRows, CountSum, CountTotals,
    FastMap, HostId, Moment, PoolName, ProbeBudget, ProbeRate, UpstreamId, UpstreamRecord,
    ZoneName,
};
use crate::request::{LoadReport, kind_digest};
use crate::version::IndexedPlan;

/// The bandwidth that counts may use on one host, for all its pools together, in bytes a second. It
/// is the host's 17 KB/s for all control traffic minus the needs of membership and replication.
pub const COUNT_BYTES_PER_SECOND: u32 = 11_000;

/// The shortest time between two rounds; a few hops up and down the tree must fit into it.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// The time allowed for one hop of the tree: the initial, smallest and largest value, in the
/// message's unit of 0.25 ms, and the number of rounds after which a shorter time is tried. The
/// largest value covers a round trip between regions plus one timer interval.
const INITIAL_STEP: u8 = 14;
const MIN_STEP: u8 = 6;
const MAX_STEP: u8 = 100;
const STEP_DECREASE_ROUNDS: u32 = 16;

/// The longest time between two rounds.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The number of rounds per median latency. Older counts are useless, because all requests that
/// they include have ended.
const ROUNDS_PER_LATENCY: f32 = 1.0;

/// The interval between rounds before the latency of any answer is known.
const INITIAL_INTERVAL: Duration = Duration::from_millis(25);

/// The bytes of one message besides its rows: 28 for IP and UDP headers, 28 for frame and
/// authentication tag, and 28 for names, epoch and round.
const MESSAGE_OVERHEAD: u32 = 84;

/// An upstream that was probed or answered a caller's request within this time is not probed.
const FRESH: Duration = Duration::from_millis(500);

/// How long a new coordinator waits before it probes, so that its predecessor can learn that it has
/// been replaced.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);

/// How long keys are sent along with the counts after the list of upstreams has changed.
pub(crate) const LAYOUT_KEYS_PERIOD: Duration = Duration::from_secs(3);

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The upstream answered.
    Answered {
        /// The latency of the answer.
        latency: Duration,
        /// The upstream's report of its load, if it sent one.
        report: Option<LoadReport>,
    },
    /// The upstream did not answer in time or reported that it is unhealthy.
    Failed,
}

/// An action requested by the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorOutput {
    /// Send a sum to an entry.
    Publish {
        /// The receiving entry.
        to: HostId,
        /// The sum.
        sum: Box<CountSum>,
    },
    /// Probe an upstream and report with [`PoolCoordinator::record_probe`].
    Probe {
        /// The upstream to probe.
        upstream: UpstreamId,
        /// The address that it listens on.
        address: SocketAddr,
    },
}

/// The coordinator of one pool.
///
/// A pool with upstreams in several zones has one active coordinator: that of its first zone by
/// name. The coordinators of the other zones stay idle. In each round the active one sends the
/// counts of the previous round down a tree of entries, shuffled every round, and the entries'
/// counts come back up. Its state is soft: a successor starts empty and knows everything after one
/// round.
#[derive(Debug)]
pub struct PoolCoordinator {
    pool: PoolName,
    zone: ZoneName,
    host: HostId,
    key: CountKey,
    plan: Arc<IndexedPlan>,
    kinds_digest: u16,
    kinds: usize,
    is_active: bool,
    layout: CountLayout,
    layout_since: Moment,
    upstreams: Vec<CoordinatedUpstream>,
    collector: ReportCollector,
    epoch: CountEpoch,
    round: CountRound,
    next_round_at: Moment,
    step: u8,
    utilisation: f32,
    /// The lowest recent median latency, in milliseconds.
    base_ms: f32,
    bytes_per_second: u32,
    budget: ProbeBudget,
    started_at: Moment,
    rng: SmallRng,
}

#[derive(Clone, Debug)]
struct CoordinatedUpstream {
    key: CountKey,
    id: UpstreamId,
    address: SocketAddr,
    slots: u32,
    takes_work: bool,
    /// When it was last probed or gave an answer to a caller's request.
    seen: Moment,
    health: UpstreamHealth,
}

impl PoolCoordinator {
    /// Makes a coordinator without any counts or upstreams.
    #[must_use]
    pub fn new(pool: PoolName, zone: ZoneName, host: HostId, now: Moment) -> Self {
        let seed = stable_hash([pool.as_str(), host.as_str()]);
        Self {
            pool,
            zone,
            key: CountKey::of(host.as_str()),
            host,
            plan: Arc::default(),
            kinds_digest: 0,
            kinds: 0,
            is_active: false,
            layout: CountLayout::default(),
            layout_since: now,
            upstreams: Vec::new(),
            collector: ReportCollector::new(),
            epoch: CountEpoch(1),
            round: CountRound(0),
            next_round_at: now + MIN_INTERVAL,
            step: INITIAL_STEP,
            utilisation: 1.0,
            base_ms: 0.0,
            bytes_per_second: COUNT_BYTES_PER_SECOND,
            budget: ProbeBudget::new(now, ProbeRate(0)),
            started_at: now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Limits the bandwidth of this pool's counts on each host, in bytes a second. All pools of an
    /// installation share [`COUNT_BYTES_PER_SECOND`].
    #[must_use]
    pub fn with_bytes_per_second(mut self, bytes_per_second: u32) -> Self {
        self.set_bytes_per_second(bytes_per_second);
        self
    }

    /// Changes the bandwidth limit when pools are added or removed.
    pub fn set_bytes_per_second(&mut self, bytes_per_second: u32) {
        self.bytes_per_second = bytes_per_second.max(1);
    }

    /// Applies a plan; has no effect if it is the current one.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<IndexedPlan>) {
        // The plan is passed in with every change of an upstream, and that must not discard the
        // reports of the current round.
        if Arc::ptr_eq(&self.plan, &plan) {
            return;
        }
        let (digest, kinds) = kind_digest(&plan, &self.pool);
        (self.kinds_digest, self.kinds) = (digest, kinds);
        self.plan = plan;
        self.collector.reset(self.layout.len(), self.kinds);
        self.apply_budget(now);
    }

    /// Replaces the pool's upstreams of all zones, keeping the health of known ones.
    pub fn apply_upstreams(&mut self, now: Moment, upstreams: &[UpstreamRecord]) {
        let known: FastMap<CountKey, CoordinatedUpstream> =
            self.upstreams.drain(..).map(|upstream| (upstream.key, upstream)).collect();
        for record in upstreams {
            let fresh = CoordinatedUpstream::new(now, record);
            let merged = match known.get(&fresh.key) {
                Some(old) => {
                    CoordinatedUpstream { seen: old.seen, health: old.health.clone(), ..fresh }
                }
                None => fresh,
            };
            self.upstreams.push(merged);
        }
        self.upstreams.sort_by_key(|upstream| upstream.key);
        let first_zone = upstreams.iter().map(|record| &record.announcement.zone).min();
        self.is_active = first_zone == Some(&self.zone);
        let layout = CountLayout::new(self.upstreams.iter().map(|u| u.key).collect());
        if layout != self.layout {
            self.layout = layout;
            self.layout_since = now;
            self.collector.reset(self.layout.len(), self.kinds);
        }
    }

    /// Takes in an entry's report.
    pub fn receive(&mut self, now: Moment, from: &HostId, report: &CountReport) {
        if report.pool != self.pool || report.zone.as_ref().is_some_and(|zone| *zone != self.zone) {
            return;
        }
        // An entry that has seen the same or a higher epoch of another coordinator ignores the sums
        // of this one. The other host was coordinator before, or still is for entries that cannot
        // see this host.
        let direct = report.round.is_none();
        if direct && report.coordinator != self.key && report.epoch >= self.epoch {
            self.epoch = CountEpoch(report.epoch.0.saturating_add(1));
            self.round = CountRound(0);
        }
        let current = CollectorRound {
            epoch: self.epoch,
            coordinator: self.key,
            round: self.round,
            layout: &self.layout,
            kinds_digest: self.kinds_digest,
        };
        self.collector.receive(now, from, report, &current);
    }

    /// Takes in the outcome of a probe.
    ///
    /// Answers to callers outweigh probes. Otherwise a health endpoint that reports "healthy" while
    /// calls fail would attract load to a broken upstream. A failed probe counts as one failed
    /// answer, and a successful one does not count at all.
    pub fn record_probe(&mut self, now: Moment, upstream: &UpstreamId, outcome: ProbeOutcome) {
        let found = self.upstreams.iter_mut().find(|known| known.id == *upstream);
        let Some(known) = found else { return };
        known.seen = now;
        if outcome == ProbeOutcome::Failed {
            let outcomes = super::UpstreamOutcomes { failures: 1, ..Default::default() };
            known.health.record(now, &outcomes, 0.0);
        }
    }

    /// Starts the next round and requests a probe when they are due.
    pub fn tick(&mut self, now: Moment) -> Vec<CoordinatorOutput> {
        let mut outputs = Vec::new();
        if !self.is_active {
            return outputs;
        }
        if now >= self.next_round_at {
            self.open_round(now, &mut outputs);
        }
        self.probe(now, &mut outputs);
        outputs
    }

    /// Returns when [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        if !self.is_active {
            return self.next_round_at + MAX_INTERVAL;
        }
        let open = self.upstreams.iter().filter(|upstream| upstream.takes_work);
        let oldest = open.map(|upstream| upstream.seen + FRESH).min();
        match (self.budget.next_at(), oldest) {
            (Some(allowed), Some(oldest)) => {
                let probe_at = allowed.max(oldest).max(self.started_at + TAKEOVER_DELAY);
                self.next_round_at.min(probe_at)
            }
            _ => self.next_round_at,
        }
    }

    /// Returns the pool and zone that this coordinator is for.
    #[must_use]
    pub fn scope(&self) -> (&PoolName, &ZoneName) {
        (&self.pool, &self.zone)
    }

    /// Returns the median latency of the pool's upstreams, in milliseconds; 0 if unknown.
    #[must_use]
    pub fn median_latency_ms(&self) -> f32 {
        median_ms(self.upstreams.iter().filter_map(|upstream| upstream.health.latency_ms()))
    }

    // -----------------------------------------------------------------------------------------
    // Rounds

    fn open_round(&mut self, now: Moment, outputs: &mut Vec<CoordinatorOutput>) {
        let mut totals = self.collector.end_round(self.layout.len(), self.kinds);
        let mut route = self.collector.listed(now);
        let listed = route.len();
        self.adapt_step_time(totals.hosts, listed);
        extrapolate_totals(&mut totals, listed);
        self.apply_totals(now, &totals);
        totals.outcomes.fill(super::UpstreamOutcomes::default());
        let counted = (totals.hosts > 0).then_some(self.round);
        self.round = CountRound(self.round.0 + 1);
        route.shuffle(&mut self.rng);
        self.collector.set_route(&route);
        let interval = self.interval(listed);
        self.next_round_at = now + interval;
        let with_keys = now.since(self.layout_since) < LAYOUT_KEYS_PERIOD;
        // The coordinator sends a single copy, and the entry that receives it, a different one each
        // round, forwards it. This spreads the bandwidth of publishing over the entries too.
        let hops = split_route(&route, 1);
        for mut rows in totals.rows(&self.layout, self.kinds_digest, with_keys) {
            self.add_health(now, &mut rows);
            for (hop, route) in &hops {
                let sum = CountSum {
                    pool: self.pool.clone(),
                    coordinator: self.key,
                    epoch: self.epoch,
                    round: self.round,
                    counted,
                    hosts: saturate(listed),
                    interval_ms: saturate(usize::try_from(interval.as_millis()).unwrap_or(0)),
                    depth: 1,
                    step: self.step,
                    sender: self.host.clone(),
                    route: route.clone(),
                    rows: rows.clone(),
                };
                let sum = Box::new(sum);
                outputs.push(CoordinatorOutput::Publish { to: hop.clone(), sum });
            }
        }
    }

    /// Allows more time per hop of the tree when reports arrive too late, and then gradually less
    /// again.
    ///
    /// A report that reaches its relay after the relay has sent its own is lost for the round. With
    /// too little time, zones 1.5 ms apart lost half of all reports in every round, and entries
    /// sent requests to slots that were in use. Reports lost on broken network paths look the same.
    /// The time therefore grows only when a third of the reports are missing, is bounded, and
    /// shrinks again while almost all arrive.
    fn adapt_step_time(&mut self, reported: u32, listed: usize) {
        let complete = reported as usize * 20 >= listed * 19;
        if (reported as usize) * 3 < listed * 2 {
            let more = if reported as usize * 2 < listed { self.step } else { self.step / 4 + 1 };
            self.step = self.step.saturating_add(more).min(MAX_STEP);
        } else if complete && self.round.0.is_multiple_of(STEP_DECREASE_ROUNDS) {
            self.step = self.step.saturating_sub(1).max(MIN_STEP);
        }
    }

    /// Returns the time until the next round.
    ///
    /// It is about the median latency under load, and longer while most slots are idle, because
    /// then any choice finds a free one. It is never so short that the bandwidth limit is exceeded.
    fn interval(&self, listed: usize) -> Duration {
        // Under overload, latency rises because requests queue. If the interval grew with it,
        // entries would lack counts just when they must hold back. So the interval follows the
        // lowest recent median.
        let latency_ms = self.base_ms;
        let target = if latency_ms > 0.0 {
            Duration::from_secs_f32(latency_ms / 1_000.0 / ROUNDS_PER_LATENCY)
        } else {
            INITIAL_INTERVAL
        };
        let idle_factor = if self.utilisation < LOW_UTILISATION { 2 } else { 1 };
        let kinds = self.kinds.min(KINDS_PER_MESSAGE);
        let rows = u32::try_from(self.layout.len() + 2 * kinds).unwrap_or(u32::MAX);
        let message = MESSAGE_OVERHEAD + rows;
        // Each entry sends two messages a round on average, one up and one down. The coordinator
        // sends one more, which carries the whole route.
        let route = u32::try_from(listed).unwrap_or(0) * ROUTE_BYTES;
        let bytes = u64::from(message * 2 + route);
        let bandwidth_interval =
            Duration::from_micros(bytes * 1_000_000 / u64::from(self.bytes_per_second));
        // The reports of the deepest entries need time for all hops up the tree.
        let steps = STEP_UNIT * u32::from(self.step) * (tree_depth(listed) + 1);
        (target * idle_factor).max(bandwidth_interval).max(steps).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    fn apply_totals(&mut self, now: Moment, totals: &CountTotals) {
        let pool_ms = self.median_latency_ms();
        for (upstream, outcomes) in self.upstreams.iter_mut().zip(&totals.outcomes) {
            if outcomes.is_some() {
                upstream.health.record(now, outcomes, pool_ms);
                upstream.seen = now;
            }
        }
        let latency_ms = self.median_latency_ms();
        let lower = self.base_ms <= 0.0 || latency_ms < self.base_ms;
        self.base_ms = if lower { latency_ms } else { self.base_ms * BASE_GROWTH };
        let slots: u32 = self.upstreams.iter().map(|upstream| upstream.slots).sum();
        let busy: u32 = totals.in_flight.iter().sum();
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
        let utilisation = busy as f32 / slots.max(1) as f32;
        self.utilisation += UTILISATION_WEIGHT * (utilisation - self.utilisation);
    }

    fn add_health(&self, now: Moment, rows: &mut CountRows) {
        let first = usize::from(rows.first);
        let part = self.upstreams.iter().enumerate().skip(first).take(rows.in_flight.len());
        for (place, upstream) in part {
            let usable = upstream.health.usable(now);
            if usable < 0.98 {
                rows.health.push((saturate(place), to_255ths(usable)));
            }
        }
    }

    // -----------------------------------------------------------------------------------------
    // Probes

    fn probe(&mut self, now: Moment, outputs: &mut Vec<CoordinatorOutput>) {
        self.apply_budget(now);
        if now < self.started_at + TAKEOVER_DELAY {
            return;
        }
        let candidates = self.upstreams.iter().enumerate();
        let stale = candidates
            .filter(|(_, upstream)| upstream.takes_work && now.since(upstream.seen) >= FRESH)
            .min_by_key(|(_, upstream)| upstream.seen);
        let Some((place, _)) = stale else { return };
        if !self.budget.take(now) {
            return;
        }
        let upstream = &mut self.upstreams[place];
        upstream.seen = now;
        let (id, address) = (upstream.id.clone(), upstream.address);
        outputs.push(CoordinatorOutput::Probe { upstream: id, address });
    }

    /// Sets the probe rate to this coordinator's share of the sheet's budget.
    ///
    /// The budget holds for all hosts together. In a network partition each side has a coordinator.
    /// Each takes a share in proportion to the entries on its list, so that together they stay
    /// within the budget without communicating.
    fn apply_budget(&mut self, now: Moment) {
        let whole = u64::from(self.plan.probe_budget(&self.pool).0);
        let (listed, largest_known) = self.collector.entry_counts();
        let rate = whole * u64::from(listed) / u64::from(largest_known.max(1));
        self.budget.set_rate(now, ProbeRate(u32::try_from(rate).unwrap_or(u32::MAX)));
    }
}

/// A pool with a smaller fraction of its slots in use counts as lightly loaded.
const LOW_UTILISATION: f32 = 0.5;

/// The factor by which the lowest median latency grows per round, so that it follows a lasting
/// increase.
const BASE_GROWTH: f32 = 1.000_2;

/// The weight of one round in the smoothed slot utilisation.
const UTILISATION_WEIGHT: f32 = 0.1;

/// The size of one host's name in a route, in bytes.
const ROUTE_BYTES: u32 = 9;

/// Scales the totals up for entries whose reports are missing.
///
/// A dead relay loses the reports of its whole subtree. If the counts fell to a half, every entry
/// would send requests to slots that are in use. Each missing report is replaced by the mean of the
/// received ones, as it is not known which upstreams the missing entries use.
fn extrapolate_totals(totals: &mut CountTotals, listed: usize) {
    let listed = u32::try_from(listed).unwrap_or(u32::MAX);
    if totals.hosts == 0 || totals.hosts >= listed {
        return;
    }
    let hosts = totals.hosts;
    let scale = |count: &mut u32| *count = (*count * listed.min(hosts * 2) + hosts / 2) / hosts;
    totals.in_flight.iter_mut().for_each(scale);
    for (in_flight, queued) in &mut totals.kinds {
        scale(in_flight);
        scale(queued);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the saturating float cast is intended"
)]
fn to_255ths(part: f32) -> u8 {
    (part * 255.0).round() as u8
}

impl CoordinatedUpstream {
    fn new(now: Moment, record: &UpstreamRecord) -> Self {
        let announcement = &record.announcement;
        Self {
            key: CountKey::of(announcement.id.as_str()),
            id: announcement.id.clone(),
            address: announcement.address,
            slots: announcement.slots.0,
            takes_work: record.takes_work,
            seen: now,
            health: UpstreamHealth::new(now),
        }
    }
}
