//! The deployments that the policies are measured with.

use std::time::Duration;

use eyre::{Result, bail};
use pulley_core::process::{
    Announcement, Incarnation, ProbeRate, ShareFraction, SlotCount, UpstreamPhase, UpstreamRecord,
    UpstreamSequence,
};
use pulley_core::version::{KindPlan, MethodMatch, RequestPriority, RouteTerms, WorkLength};
use pulley_core::{HostId, PolicyPlan, PoolName, ZoneName};

use super::scenario::LoadScenario;

/// A kind of request and its fraction of the pool's calls.
#[derive(Clone, Debug)]
pub(crate) struct KindSpec {
    pub(crate) name: &'static str,
    pub(crate) priority: u8,
    pub(crate) share_pct: u16,
    pub(crate) reserved: u32,
    /// Fraction of the pool's calls that are of this kind.
    pub(crate) call_fraction: f64,
    /// Mean service time, in milliseconds.
    pub(crate) mean_ms: f64,
    pub(crate) deadline_ms: u64,
    pub(crate) long: bool,
}

/// A pool of identical upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PoolSpec {
    pub(crate) name: &'static str,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Probes per second, in thousandths.
    pub(crate) probe_budget: u32,
    pub(crate) kinds: Vec<KindSpec>,
}

/// The hosts, zones and pools of a deployment, and the network delays between them.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentSpec {
    pub(crate) name: &'static str,
    pub(crate) zones: usize,
    pub(crate) entries: usize,
    pub(crate) pools: Vec<PoolSpec>,
    /// One-way delay within a zone.
    pub(crate) same_zone_delay: Duration,
    /// One-way delay between zones of the same region.
    pub(crate) cross_zone_delay: Duration,
    /// One-way delay between regions.
    pub(crate) cross_region_delay: Duration,
    /// The first zone of the second region; all later zones are in it too.
    pub(crate) second_region_start: usize,
    /// Virtual time that is measured, after the warm-up.
    pub(crate) measured_time: Duration,
    /// Number of pools on each host. Those that are not simulated still count, because their
    /// coordinators use some of the host's byte rate.
    pub(crate) total_pools: usize,
}

impl DeploymentSpec {
    /// Returns the deployment with the given name.
    pub(crate) fn from_name(name: &str) -> Result<Self> {
        match name {
            "kolkhi" => Ok(kolkhi()),
            "abay" => Ok(abay()),
            "two_years" => Ok(two_years()),
            other => {
                bail!("unknown deployment {other}; expected one of {}", Self::NAMES.join(", "))
            }
        }
    }

    /// Names of all deployments.
    pub(crate) const NAMES: [&'static str; 3] = ["kolkhi", "abay", "two_years"];

    /// Returns the deployment with the kinds that a scenario needs.
    pub(crate) fn for_scenario(mut self, scenario: LoadScenario) -> Self {
        if scenario == LoadScenario::LongShort {
            self.pools[0].kinds = mixed_kinds(20.0);
        }
        self
    }

    pub(crate) fn zone_name(&self, zone: usize) -> Result<ZoneName> {
        Ok(format!("zone-{zone}").parse()?)
    }

    pub(crate) fn host_name(&self, entry: usize) -> Result<HostId> {
        Ok(format!("entry-{entry:02}").parse()?)
    }

    pub(crate) fn pool_name(&self, pool: usize) -> Result<PoolName> {
        Ok(self.pools[pool].name.parse()?)
    }

    /// Returns the zone of the entry or upstream with this index.
    pub(crate) fn zone_of(&self, index: usize) -> usize {
        index % self.zones
    }

    /// Returns the one-way delay between two zones.
    pub(crate) fn one_way_delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.same_zone_delay
        } else if (from < self.second_region_start) == (to < self.second_region_start) {
            self.cross_zone_delay
        } else {
            self.cross_region_delay
        }
    }

    /// Returns the plan that the entries apply.
    pub(crate) fn plan(&self) -> Result<PolicyPlan> {
        let mut kinds = Vec::new();
        for pool in &self.pools {
            for (index, kind) in pool.kinds.iter().enumerate() {
                let probe_budget = if index == 0 { pool.probe_budget } else { 0 };
                kinds.push(kind_plan(pool, kind, ProbeRate(probe_budget))?);
            }
        }
        Ok(PolicyPlan { kinds, ..PolicyPlan::default() })
    }

    /// Returns the index of a kind's row in the plan.
    pub(crate) fn kind_row(&self, pool: usize, kind: usize) -> usize {
        self.pools[..pool].iter().map(|pool| pool.kinds.len()).sum::<usize>() + kind
    }

    /// Returns the record of a pool's upstream, as announced.
    pub(crate) fn upstream_record(&self, pool: usize, index: usize) -> Result<UpstreamRecord> {
        let spec = &self.pools[pool];
        let port = u16::try_from(1_000 + pool * 1_000 + index)?;
        let announcement = Announcement {
            id: format!("{}-{index}", spec.name).parse()?,
            address: ([127, 0, 0, 1], port).into(),
            zone: self.zone_name(self.zone_of(index))?,
            pool: self.pool_name(pool)?,
            slots: SlotCount(spec.slots),
            connections: 500,
            incarnation: Incarnation(1),
            sequence: UpstreamSequence(1),
            phase: UpstreamPhase::Ready,
        };
        Ok(UpstreamRecord { announcement, takes_work: true })
    }
}

impl PoolSpec {
    /// Returns the mean service time of a call over all kinds, in seconds.
    pub(crate) fn mean_service_s(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.call_fraction * kind.mean_ms / 1_000.0).sum()
    }

    /// Returns the number of slots of all upstreams together.
    #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
    pub(crate) fn total_slots(&self) -> f64 {
        self.upstreams as f64 * f64::from(self.slots)
    }
}

fn kind_plan(pool: &PoolSpec, kind: &KindSpec, probe_budget: ProbeRate) -> Result<KindPlan> {
    Ok(KindPlan {
        pool: pool.name.parse()?,
        service: kind.name.parse()?,
        kind: kind.name.parse()?,
        method: MethodMatch::Any,
        path_prefix: format!("/{}/{}", pool.name, kind.name).into(),
        priority: RequestPriority(kind.priority),
        share: ShareFraction::from_basis_points(kind.share_pct * 100).unwrap_or_default(),
        reserved_slots: SlotCount(kind.reserved),
        deadline: Duration::from_millis(kind.deadline_ms),
        idempotent: true,
        length: if kind.long { WorkLength::Long } else { WorkLength::Short },
        probe_budget,
        route: RouteTerms::default(),
    })
}

/// Returns three kinds of short work: `first`, `usual` and `background` with 20%, 60% and 20% of
/// the calls.
fn short_kinds(mean_ms: f64, reserved: u32) -> Vec<KindSpec> {
    let kind = |name, priority, share_pct, call_fraction, reserved| KindSpec {
        name,
        priority,
        share_pct,
        reserved,
        call_fraction,
        mean_ms,
        deadline_ms: 500,
        long: false,
    };
    vec![
        kind("first", 0, 30, 0.2, reserved),
        kind("usual", 3, 50, 0.6, 0),
        kind("background", 6, 20, 0.2, 0),
    ]
}

/// Returns two kinds: short reads of top priority with 80% of the calls, and long work with 20%,
/// which takes ten times as long.
fn mixed_kinds(short_mean_ms: f64) -> Vec<KindSpec> {
    let short = KindSpec {
        name: "read",
        priority: 0,
        share_pct: 40,
        reserved: 2,
        call_fraction: 0.8,
        mean_ms: short_mean_ms,
        deadline_ms: 500,
        long: false,
    };
    let long = KindSpec {
        name: "bundle",
        priority: 4,
        share_pct: 60,
        reserved: 0,
        call_fraction: 0.2,
        mean_ms: short_mean_ms * 10.0,
        deadline_ms: 5_000,
        long: true,
    };
    vec![short, long]
}

fn pool(
    name: &'static str,
    upstreams: usize,
    slots: u32,
    probe_budget: u32,
    kinds: Vec<KindSpec>,
) -> PoolSpec {
    PoolSpec { name, upstreams, slots, probe_budget, kinds }
}

fn kolkhi() -> DeploymentSpec {
    DeploymentSpec {
        name: "kolkhi",
        zones: 3,
        entries: 25,
        pools: vec![
            pool("cover", 15, 2, 5_000, short_kinds(20.0, 2)),
            pool("binding", 7, 2, 2_000, short_kinds(30.0, 1)),
            pool("loss", 6, 2, 2_000, mixed_kinds(20.0)),
        ],
        same_zone_delay: Duration::from_micros(100),
        cross_zone_delay: Duration::from_micros(500),
        cross_region_delay: Duration::from_micros(500),
        second_region_start: usize::MAX,
        measured_time: Duration::from_secs(40),
        total_pools: 3,
    }
}

fn abay() -> DeploymentSpec {
    DeploymentSpec {
        name: "abay",
        zones: 4,
        entries: 25,
        pools: vec![
            pool("balance", 17, 6, 2_000, short_kinds(20.0, 4)),
            pool("refund", 9, 6, 1_000, short_kinds(30.0, 2)),
            pool("manifest", 8, 6, 1_000, mixed_kinds(20.0)),
        ],
        same_zone_delay: Duration::from_micros(200),
        cross_zone_delay: Duration::from_micros(1_500),
        cross_region_delay: Duration::from_micros(1_500),
        second_region_start: usize::MAX,
        measured_time: Duration::from_secs(30),
        total_pools: 3,
    }
}

/// Simulates one service of 44: its 27 upstreams and its share of the calls, 1/44. All 120 entries
/// receive calls of every service.
fn two_years() -> DeploymentSpec {
    DeploymentSpec {
        name: "two_years",
        zones: 5,
        entries: 120,
        pools: vec![pool("sampled", 27, 8, 2_000, short_kinds(20.0, 4))],
        same_zone_delay: Duration::from_micros(150),
        cross_zone_delay: Duration::from_micros(500),
        cross_region_delay: Duration::from_millis(10),
        second_region_start: 3,
        measured_time: Duration::from_secs(10),
        total_pools: 44,
    }
}
