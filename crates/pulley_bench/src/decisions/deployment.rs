//! The sizes that policies are measured at.

use std::time::Duration;

use eyre::{Result, bail};
use pulley_core::process::{
    Announcement, Incarnation, ProbeRate, ShareFraction, SlotCount, UpstreamPhase, UpstreamRecord,
    UpstreamSequence,
};
use pulley_core::version::{KindPlan, MethodMatch, RequestPriority, RouteTerms, WorkLength};
use pulley_core::{HostId, PolicyPlan, PoolName, ZoneName};

use super::scenario::LoadScenario;

/// One kind of request and how much of its pool's calls it makes up.
#[derive(Clone, Debug)]
pub(crate) struct KindSpec {
    pub(crate) name: &'static str,
    pub(crate) priority: u8,
    pub(crate) share_pct: u16,
    pub(crate) reserved: u32,
    /// Part of the pool's calls.
    pub(crate) part: f64,
    /// Mean time of an answer, in milliseconds.
    pub(crate) mean_ms: f64,
    pub(crate) deadline_ms: u64,
    pub(crate) long: bool,
}

/// One pool of like upstreams.
#[derive(Clone, Debug)]
pub(crate) struct PoolSpec {
    pub(crate) name: &'static str,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Probes a second, in thousandths.
    pub(crate) probe_budget: u32,
    pub(crate) kinds: Vec<KindSpec>,
}

/// Hosts, zones, pools and the delays between them.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentSpec {
    pub(crate) name: &'static str,
    pub(crate) zones: usize,
    pub(crate) entries: usize,
    pub(crate) pools: Vec<PoolSpec>,
    /// One way within a zone.
    pub(crate) near: Duration,
    /// One way between zones of a region.
    pub(crate) far: Duration,
    /// One way between regions; zones from `second_region` on are in the second.
    pub(crate) between_regions: Duration,
    pub(crate) second_region: usize,
    /// Virtual time measured, after the warm-up.
    pub(crate) measured: Duration,
    /// Pools on each host that are not simulated; their coordinators' bytes are left room for.
    pub(crate) pools_in_all: usize,
}

impl DeploymentSpec {
    /// Finds a deployment by name.
    pub(crate) fn named(name: &str) -> Result<Self> {
        match name {
            "kolkhi" => Ok(kolkhi()),
            "abay" => Ok(abay()),
            "two_years" => Ok(two_years()),
            other => bail!("no deployment {other}; known are {}", Self::NAMES.join(", ")),
        }
    }

    /// The deployments' names.
    pub(crate) const NAMES: [&'static str; 3] = ["kolkhi", "abay", "two_years"];

    /// The deployment as a scenario has it.
    pub(crate) fn in_scenario(mut self, scenario: LoadScenario) -> Self {
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

    /// The zone of the entry or upstream with this number.
    pub(crate) fn zone_of(&self, index: usize) -> usize {
        index % self.zones
    }

    /// One way between two zones.
    pub(crate) fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.near
        } else if (from < self.second_region) == (to < self.second_region) {
            self.far
        } else {
            self.between_regions
        }
    }

    /// The checked sheet that the entries work by.
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

    /// A kind's row in the plan.
    pub(crate) fn row(&self, pool: usize, kind: usize) -> usize {
        self.pools[..pool].iter().map(|pool| pool.kinds.len()).sum::<usize>() + kind
    }

    /// The announcement of a pool's upstream.
    pub(crate) fn record(&self, pool: usize, index: usize) -> Result<UpstreamRecord> {
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
    /// Mean slot time of one call, in seconds.
    pub(crate) fn mean_s(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.part * kind.mean_ms / 1_000.0).sum()
    }

    /// Slots of all upstreams.
    #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
    pub(crate) fn slots_in_all(&self) -> f64 {
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

/// First, usual and background kinds of short work: 20, 60 and 20 of 100 calls.
fn short_kinds(mean_ms: f64, reserved: u32) -> Vec<KindSpec> {
    let kind = |name, priority, share_pct, part, reserved| KindSpec {
        name,
        priority,
        share_pct,
        reserved,
        part,
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

/// Half short reads that go first, half work that takes ten times as long.
fn mixed_kinds(short_ms: f64) -> Vec<KindSpec> {
    let short = KindSpec {
        name: "read",
        priority: 0,
        share_pct: 40,
        reserved: 2,
        part: 0.8,
        mean_ms: short_ms,
        deadline_ms: 500,
        long: false,
    };
    let long = KindSpec {
        name: "bundle",
        priority: 4,
        share_pct: 60,
        reserved: 0,
        part: 0.2,
        mean_ms: short_ms * 10.0,
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
        near: Duration::from_micros(100),
        far: Duration::from_micros(500),
        between_regions: Duration::from_micros(500),
        second_region: usize::MAX,
        measured: Duration::from_secs(40),
        pools_in_all: 3,
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
        near: Duration::from_micros(200),
        far: Duration::from_micros(1_500),
        between_regions: Duration::from_micros(1_500),
        second_region: usize::MAX,
        measured: Duration::from_secs(30),
        pools_in_all: 3,
    }
}

/// One service of the 44 is simulated: 27 upstreams, a forty-fourth of the calls, and 120
/// entries that each see calls of every service.
fn two_years() -> DeploymentSpec {
    DeploymentSpec {
        name: "two_years",
        zones: 5,
        entries: 120,
        pools: vec![pool("sampled", 27, 8, 2_000, short_kinds(20.0, 4))],
        near: Duration::from_micros(150),
        far: Duration::from_micros(500),
        between_regions: Duration::from_millis(10),
        second_region: 3,
        measured: Duration::from_secs(10),
        pools_in_all: 44,
    }
}
