//! Adds up the entries' counts for one pool round by round, and probes its upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::count_gathering::{CountGathering, GatheringTerms};
use super::count_health::{UpstreamHealth, median_ms};
use super::count_key::stable_hash;
use super::count_link::STEP_UNIT;
use super::count_message::{split_route, tree_depth};
use super::count_rows::{KINDS_PER_MESSAGE, saturate};
use super::{
    CountDelta, CountEpoch, CountKey, CountLayout, CountRound, CountRows, CountSum, CountTotals,
    FastMap, HostId, Moment, PoolName, ProbeBudget, ProbeRate, UpstreamId, UpstreamRecord,
    ZoneName,
};
use crate::request::{LoadReport, kind_digest};
use crate::version::IndexedPlan;

/// Bytes a second that counts may cost one host, all its pools together: a host's 17 KB/s for
/// all control, less what membership and replication need.
pub const COUNT_BYTES_PER_SECOND: u32 = 11_000;

/// The shortest time between two rounds: a few steps up and down the tree must fit in.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time allowed for one step of the tree at first, at least and at most, in the message's unit of
/// 0.25 ms (the most is two ways between regions and a timer's step), and the rounds after which
/// a shorter one is tried.
const FIRST_STEP: u8 = 14;
const LEAST_STEP: u8 = 6;
const MOST_STEP: u8 = 100;
const STEP_TRIED_EVERY: u32 = 16;

/// The longest time between two rounds.
const LONGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Rounds for each usual time of an answer: counts older than that say nothing any more, as all
/// requests they count have ended.
const ROUNDS_PER_ANSWER: f32 = 1.0;

/// The interval before any answer has been timed.
const FIRST_INTERVAL: Duration = Duration::from_millis(25);

/// Bytes that carrying one message costs besides its rows: IP and UDP headers 28, frame and tag
/// 28, names, epoch and round 28.
const MESSAGE_OVERHEAD: u32 = 84;

/// The latest word on an upstream counts as fresh for so long; it is not probed meanwhile.
const FRESH: Duration = Duration::from_millis(500);

/// A new coordinator leaves its predecessor this long to learn that it is none any more, before
/// it probes.
const TAKEOVER_QUIET: Duration = Duration::from_secs(2);

/// Keys travel with the counts for so long after the list of upstreams changed.
pub(crate) const KEYS_FOR: Duration = Duration::from_secs(3);

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
        sum: Box<CountSum>,
    },
    /// Probe an upstream and report with [`PoolCoordinator::probed`].
    Probe {
        /// Which upstream.
        upstream: UpstreamId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// One pool's coordinator.
///
/// Pools with upstreams in several zones have one coordinator for all of them, that of their
/// least zone by name; the others stay idle. In each round it sends the counts of the last one
/// down a tree of entries, drawn anew each time, and the entries' counts come back up. Its state
/// is soft: a successor starts empty and knows everything after one round.
#[derive(Debug)]
pub struct PoolCoordinator {
    pool: PoolName,
    zone: ZoneName,
    host: HostId,
    key: CountKey,
    plan: Arc<IndexedPlan>,
    plan_digest: u16,
    kinds: usize,
    leads: bool,
    layout: CountLayout,
    layout_since: Moment,
    upstreams: Vec<CoordinatedUpstream>,
    gathering: CountGathering,
    epoch: CountEpoch,
    round: CountRound,
    round_at: Moment,
    step: u8,
    heat: f32,
    /// The least of late of the usual times of an answer.
    base_ms: f32,
    bytes_per_second: u32,
    budget: ProbeBudget,
    began: Moment,
    rng: SmallRng,
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
    health: UpstreamHealth,
}

impl PoolCoordinator {
    /// Makes a coordinator that knows nothing yet.
    #[must_use]
    pub fn new(pool: PoolName, zone: ZoneName, host: HostId, now: Moment) -> Self {
        let seed = stable_hash([pool.as_str(), host.as_str()]);
        Self {
            pool,
            zone,
            key: CountKey::of(host.as_str()),
            host,
            plan: Arc::default(),
            plan_digest: 0,
            kinds: 0,
            leads: false,
            layout: CountLayout::default(),
            layout_since: now,
            upstreams: Vec::new(),
            gathering: CountGathering::new(),
            epoch: CountEpoch(1),
            round: CountRound(0),
            round_at: now + SHORTEST_INTERVAL,
            step: FIRST_STEP,
            heat: 1.0,
            base_ms: 0.0,
            bytes_per_second: COUNT_BYTES_PER_SECOND,
            budget: ProbeBudget::new(now, ProbeRate(0)),
            began: now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Bounds what this pool's counts may cost each host, in bytes a second. All pools of an
    /// installation split [`COUNT_BYTES_PER_SECOND`].
    #[must_use]
    pub fn with_bytes_per_second(mut self, bytes_per_second: u32) -> Self {
        self.set_bytes_per_second(bytes_per_second);
        self
    }

    /// Changes the bound on bytes a second, as pools come and go.
    pub fn set_bytes_per_second(&mut self, bytes_per_second: u32) {
        self.bytes_per_second = bytes_per_second.max(1);
    }

    /// Puts a plan in force; the one that is changes nothing.
    pub fn apply_plan(&mut self, now: Moment, plan: Arc<IndexedPlan>) {
        // Views come with every change of an upstream; a round must not lose its reports to each.
        if Arc::ptr_eq(&self.plan, &plan) {
            return;
        }
        let (digest, kinds) = kind_digest(&plan, &self.pool);
        (self.plan_digest, self.kinds) = (digest, kinds);
        self.plan = plan;
        self.gathering.reset(self.layout.len(), self.kinds);
        self.apply_budget(now);
    }

    /// Replaces what is known of the pool's upstreams, of all zones.
    pub fn apply_upstreams(&mut self, now: Moment, upstreams: &[UpstreamRecord]) {
        let known: FastMap<CountKey, CoordinatedUpstream> =
            self.upstreams.drain(..).map(|upstream| (upstream.key, upstream)).collect();
        for record in upstreams {
            let fresh = CoordinatedUpstream::new(now, record);
            let merged = match known.get(&fresh.key) {
                Some(old) => {
                    CoordinatedUpstream { known: old.known, health: old.health.clone(), ..fresh }
                }
                None => fresh,
            };
            self.upstreams.push(merged);
        }
        self.upstreams.sort_by_key(|upstream| upstream.key);
        let least = upstreams.iter().map(|record| &record.announcement.zone).min();
        self.leads = least == Some(&self.zone);
        let layout = CountLayout::new(self.upstreams.iter().map(|u| u.key).collect());
        if layout != self.layout {
            self.layout = layout;
            self.layout_since = now;
            self.gathering.reset(self.layout.len(), self.kinds);
        }
    }

    /// Takes in an entry's delta.
    pub fn receive(&mut self, now: Moment, from: &HostId, delta: &CountDelta) {
        if delta.pool != self.pool || delta.zone.as_ref().is_some_and(|zone| *zone != self.zone) {
            return;
        }
        // An entry that has seen another coordinator's epoch, the same or a higher one, ignores
        // ours: that host coordinated before, or coordinates for those who cannot see this one.
        let straight = delta.round.is_none();
        if straight && delta.coordinator != self.key && delta.epoch >= self.epoch {
            self.epoch = CountEpoch(delta.epoch.0.saturating_add(1));
            self.round = CountRound(0);
        }
        let terms = GatheringTerms {
            epoch: self.epoch,
            coordinator: self.key,
            round: self.round,
            layout: &self.layout,
            plan: self.plan_digest,
        };
        self.gathering.receive(now, from, delta, &terms);
    }

    /// Takes in what became of a probe.
    ///
    /// What callers see outweighs what a probe saw: a health endpoint that says "well" while
    /// calls fail would otherwise draw load to a broken upstream. A probe counts as one answer
    /// among the callers', and only a failed one counts at all.
    pub fn probed(&mut self, now: Moment, upstream: &UpstreamId, outcome: ProbeOutcome) {
        let found = self.upstreams.iter_mut().find(|known| known.id == *upstream);
        let Some(known) = found else { return };
        known.known = now;
        if outcome == ProbeOutcome::Failed {
            let news = super::UpstreamNews { failures: 1, ..Default::default() };
            known.health.note(now, &news, 0.0);
        }
    }

    /// Opens the next round and asks for probes as they come due.
    pub fn tick(&mut self, now: Moment) -> Vec<CoordinatorOutput> {
        let mut outputs = Vec::new();
        if !self.leads {
            return outputs;
        }
        if now >= self.round_at {
            self.open_round(now, &mut outputs);
        }
        self.probe(now, &mut outputs);
        outputs
    }

    /// When [`Self::tick`] is next of use.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        if !self.leads {
            return self.round_at + LONGEST_INTERVAL;
        }
        let open = self.upstreams.iter().filter(|upstream| upstream.takes_work);
        let oldest = open.map(|upstream| upstream.known + FRESH).min();
        match (self.budget.next_at(), oldest) {
            (Some(allowed), Some(oldest)) => {
                let probe_at = allowed.max(oldest).max(self.began + TAKEOVER_QUIET);
                self.round_at.min(probe_at)
            }
            _ => self.round_at,
        }
    }

    /// The pool and zone it coordinates.
    #[must_use]
    pub fn scope(&self) -> (&PoolName, &ZoneName) {
        (&self.pool, &self.zone)
    }

    /// The usual time of an answer in the pool, in milliseconds; 0 if unknown.
    #[must_use]
    pub fn usual_ms(&self) -> f32 {
        median_ms(self.upstreams.iter().filter_map(|upstream| upstream.health.latency_ms()))
    }

    // -----------------------------------------------------------------------------------------
    // Rounds

    fn open_round(&mut self, now: Moment, outputs: &mut Vec<CoordinatorOutput>) {
        let mut totals = self.gathering.end_round(self.layout.len(), self.kinds);
        let mut route = self.gathering.listed(now);
        let listed = route.len();
        self.adapt_step(totals.hosts, listed);
        make_up(&mut totals, listed);
        self.learn(now, &totals);
        totals.news.fill(super::UpstreamNews::default());
        let counted = (totals.hosts > 0).then_some(self.round);
        self.round = CountRound(self.round.0 + 1);
        route.shuffle(&mut self.rng);
        self.gathering.set_route(&route);
        let interval = self.interval(listed);
        self.round_at = now + interval;
        let with_keys = now.since(self.layout_since) < KEYS_FOR;
        // One copy leaves the coordinator; the entry that gets it, another one each round, spreads
        // it. So the bytes of publishing are spread over the entries too.
        let hops = split_route(&route, 1);
        for mut rows in totals.rows(&self.layout, self.plan_digest, with_keys) {
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

    /// Allows more time for each step of the tree while reports come too late, and by and by less.
    ///
    /// A report that reaches its relay after that one's own is lost for the round. Allowed too
    /// little, zones 1.5 ms apart lost half of all reports in every round, and entries sent into
    /// slots that were in use. Reports lost on silent ways look the same; so it takes a third of
    /// them to allow more, the step is bounded, and it comes down again while all get through.
    fn adapt_step(&mut self, heard: u32, listed: usize) {
        let complete = heard as usize * 20 >= listed * 19;
        if (heard as usize) * 3 < listed * 2 {
            let more = if heard as usize * 2 < listed { self.step } else { self.step / 4 + 1 };
            self.step = self.step.saturating_add(more).min(MOST_STEP);
        } else if complete && self.round.0.is_multiple_of(STEP_TRIED_EVERY) {
            self.step = self.step.saturating_sub(1).max(LEAST_STEP);
        }
    }

    /// How long until the next round: about one time of an answer while the pool is hot, longer
    /// while most slots are idle, since then any choice finds a free one; never so short that
    /// the bytes exceed their bound.
    fn interval(&self, listed: usize) -> Duration {
        // Under overload answers take long because they queue. Rounds that became rarer with it
        // would leave entries without counts just when they must hold back.
        let usual = self.base_ms;
        let wanted = if usual > 0.0 {
            Duration::from_secs_f32(usual / 1_000.0 / ROUNDS_PER_ANSWER)
        } else {
            FIRST_INTERVAL
        };
        let cool = if self.heat < COOL { 2 } else { 1 };
        let kinds = self.kinds.min(KINDS_PER_MESSAGE);
        let rows = u32::try_from(self.layout.len() + 2 * kinds).unwrap_or(u32::MAX);
        let message = MESSAGE_OVERHEAD + rows;
        // Each entry sends two messages a round on average, one up and one down; the coordinator
        // sends one more, with the whole route.
        let route = u32::try_from(listed).unwrap_or(0) * ROUTE_BYTES;
        let bytes = u64::from(message * 2 + route);
        let paced = Duration::from_micros(bytes * 1_000_000 / u64::from(self.bytes_per_second));
        // Reports of the deepest entries must find time to come up all steps.
        let steps = STEP_UNIT * u32::from(self.step) * (tree_depth(listed) + 1);
        (wanted * cool).max(paced).max(steps).clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
    }

    fn learn(&mut self, now: Moment, totals: &CountTotals) {
        let pool_ms = self.usual_ms();
        for (upstream, news) in self.upstreams.iter_mut().zip(&totals.news) {
            if news.is_some() {
                upstream.health.note(now, news, pool_ms);
                upstream.known = now;
            }
        }
        let usual_ms = self.usual_ms();
        let lower = self.base_ms <= 0.0 || usual_ms < self.base_ms;
        self.base_ms = if lower { usual_ms } else { self.base_ms * BASE_GROWTH };
        let slots: u32 = self.upstreams.iter().map(|upstream| upstream.slots).sum();
        let busy: u32 = totals.in_flight.iter().sum();
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^24")]
        let heat = busy as f32 / slots.max(1) as f32;
        self.heat += HEAT_WEIGHT * (heat - self.heat);
    }

    fn add_health(&self, now: Moment, rows: &mut CountRows) {
        let first = usize::from(rows.first);
        let part = self.upstreams.iter().enumerate().skip(first).take(rows.in_flight.len());
        for (place, upstream) in part {
            let usable = upstream.health.usable(now);
            if usable < 0.98 {
                rows.health.push((saturate(place), part_of_255(usable)));
            }
        }
    }

    // -----------------------------------------------------------------------------------------
    // Probes

    fn probe(&mut self, now: Moment, outputs: &mut Vec<CoordinatorOutput>) {
        self.apply_budget(now);
        if now < self.began + TAKEOVER_QUIET {
            return;
        }
        let candidates = self.upstreams.iter().enumerate();
        let stale = candidates
            .filter(|(_, upstream)| upstream.takes_work && now.since(upstream.known) >= FRESH)
            .min_by_key(|(_, upstream)| upstream.known);
        let Some((place, _)) = stale else { return };
        if !self.budget.take(now) {
            return;
        }
        let upstream = &mut self.upstreams[place];
        upstream.known = now;
        let (id, address) = (upstream.id.clone(), upstream.address);
        outputs.push(CoordinatorOutput::Probe { upstream: id, address });
    }

    /// The budget in the sheet holds for all hosts together. In a partition each side has a
    /// coordinator; each takes the part of the entries that it hears, so that both together stay
    /// within the budget without a word to each other.
    fn apply_budget(&mut self, now: Moment) {
        let whole = u64::from(self.plan.probe_budget(&self.pool).0);
        let (listed, known) = self.gathering.sizes();
        let rate = whole * u64::from(listed) / u64::from(known.max(1));
        self.budget.set_rate(now, ProbeRate(u32::try_from(rate).unwrap_or(u32::MAX)));
    }
}

/// A pool with fewer of its slots in use than this is cool.
const COOL: f32 = 0.5;

/// Growth of the least usual time in each round, so that it follows when work becomes longer.
const BASE_GROWTH: f32 = 1.000_2;

/// The weight of one round in the smoothed use of slots.
const HEAT_WEIGHT: f32 = 0.1;

/// Bytes of one host's name in a route.
const ROUTE_BYTES: u32 = 9;

/// Makes up for entries whose reports did not come, by those that did.
///
/// A dead relay takes the reports of all behind it with it, and counts that fall to a half would
/// let every entry send into slots that are in use. It is the mean that is made up; which
/// upstreams the missing ones use is not known.
fn make_up(totals: &mut CountTotals, listed: usize) {
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
    reason = "a float cast saturates, and that is meant"
)]
fn part_of_255(part: f32) -> u8 {
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
            known: now,
            health: UpstreamHealth::new(now),
        }
    }
}
