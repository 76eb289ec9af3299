//! Measures what the change of one host or upstream costs another host, by the number of hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use getopts::Options;
use pulley_core::process::{
    Announcement, MemberSettings, MemberTable, ShareFraction, SlotCount, UpstreamPhase,
    UpstreamRegistry,
};
use pulley_core::version::{
    KindPlan, MethodMatch, PolicyPlan, RequestPriority, RouteTerms, WorkLength,
};
use pulley_core::{IndexedPlan, Moment, PoolName};
use pulleyd::process::{HostReadiness, ProcessClock, RunningView};
use pulleyd::request::SchedulerSet;

use super::network::{address, announcement, record};

/// How often each kind of change is made.
const CHANGES: u64 = 2_000;
/// The number of pools. Upstreams are assigned to them round-robin.
const POOLS: usize = 3;

/// Prints one line for each number of hosts.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "hosts", "numbers of hosts", "N,…");
    options.optopt("", "upstreams", "how many upstreams", "N");
    let matches = options.parse(arguments)?;
    let hosts = matches.opt_str("hosts").unwrap_or_else(|| "30,300,1200".to_owned());
    let upstreams: usize = matches.opt_get_default("upstreams", 720)?;
    for hosts in hosts.split(',') {
        let hosts: usize = hosts.parse().wrap_err_with(|| format!("--hosts {hosts}"))?;
        let mut observer = ObserverHost::new(hosts, upstreams)?;
        let upstream_ns = observer.upstream_cost()?;
        let host_ns = observer.host_cost()?;
        println!(
            "measure=change hosts={hosts} upstreams={upstreams} upstream_ns={upstream_ns} \
             host_ns={host_ns}"
        );
    }
    Ok(())
}

/// The state of the host that is measured while others change.
struct ObserverHost {
    members: MemberTable,
    registry: UpstreamRegistry,
    schedulers: SchedulerSet,
    plan: Arc<IndexedPlan>,
    hosts: usize,
    upstreams: usize,
    now: Moment,
}

impl ObserverHost {
    fn new(hosts: usize, upstreams: usize) -> Result<Self> {
        let clock = ProcessClock::start();
        let mut observer = Self {
            members: MemberTable::new(record(0, 0), MemberSettings::default(), 1),
            registry: UpstreamRegistry::with_lease(Duration::from_secs(3_600)),
            schedulers: SchedulerSet::new("host0000".parse()?, "zone0".parse()?, clock, 1),
            plan: Arc::new(plan()?.into()),
            hosts,
            upstreams,
            now: Moment::ZERO,
        };
        for host in 1..hosts {
            observer.receive_ping(host, 1);
        }
        for upstream in 0..upstreams {
            let announced = upstream_announcement(upstream, 1, UpstreamPhase::Ready)?;
            observer.registry.announce(observer.now, announced)?;
        }
        observer.refresh_view();
        Ok(observer)
    }

    /// Returns the nanoseconds from an upstream's announcement of a change until the schedulers have
    /// applied it.
    fn upstream_cost(&mut self) -> Result<u128> {
        let started = Instant::now();
        for change in 0..CHANGES {
            self.now = self.now + Duration::from_millis(50);
            let index = usize::try_from(change).unwrap_or(0) * 7 % self.upstreams;
            // A new incarnation each time, alternately draining and ready.
            let incarnation = 2 + change;
            let phase =
                if change % 2 == 0 { UpstreamPhase::Draining } else { UpstreamPhase::Ready };
            self.registry.announce(self.now, upstream_announcement(index, incarnation, phase)?)?;
            self.refresh_view();
        }
        Ok(started.elapsed().as_nanos() / u128::from(CHANGES))
    }

    /// Returns the nanoseconds from the first message of a restarted host until the schedulers have
    /// applied it.
    fn host_cost(&mut self) -> Result<u128> {
        let mut total_time = Duration::ZERO;
        for change in 0..CHANGES {
            self.now = self.now + Duration::from_millis(50);
            let host = 1 + usize::try_from(change)? * 7 % (self.hosts - 1);
            let message = startup_ping(host, 2 + change);
            let started = Instant::now();
            self.members.receive(self.now, address(host), &message);
            self.refresh_view();
            total_time += started.elapsed();
        }
        Ok(total_time.as_nanos() / u128::from(CHANGES))
    }

    fn receive_ping(&mut self, host: usize, incarnation: u64) {
        let message = startup_ping(host, incarnation);
        self.members.receive(self.now, address(host), &message);
    }

    /// Builds a new view and applies it to the schedulers, as a host does after a change.
    fn refresh_view(&mut self) {
        self.members.take_changed_hosts();
        let live = self.members.live_entries();
        let view = RunningView {
            plan: Arc::clone(&self.plan),
            upstreams: self.registry.pools().clone(),
            readiness: HostReadiness::Ready,
            sharing_entries: u32::try_from(live).unwrap_or(u32::MAX),
            quota_scope: Arc::default(),
            ..RunningView::default()
        };
        self.schedulers.apply_view(&view);
    }
}

/// Returns the ping with which a host that has just started announces itself.
fn startup_ping(host: usize, incarnation: u64) -> bytes::Bytes {
    let mut observer = MemberTable::new(record(0, 0), MemberSettings::default(), 1);
    observer.add_seed(address(host));
    let greeting = observer.tick(Moment::ZERO).remove(0).body;
    let mut table = MemberTable::new(record(host, incarnation), MemberSettings::default(), 1);
    table.receive(Moment::ZERO, address(0), &greeting);
    // The first message carries the known members, the second is the ping.
    table.tick(Moment::ZERO).remove(1).body
}

fn upstream_announcement(
    upstream: usize,
    incarnation: u64,
    phase: UpstreamPhase,
) -> Result<Announcement> {
    let pool = pool(upstream % POOLS)?;
    Ok(Announcement { pool, phase, ..announcement(upstream, incarnation, incarnation) })
}

fn pool(index: usize) -> Result<PoolName> {
    Ok(format!("pool{index}").parse()?)
}

fn plan() -> Result<PolicyPlan> {
    let kinds: Result<Vec<KindPlan>> = (0..POOLS).map(kind).collect();
    Ok(PolicyPlan { kinds: kinds?, ..PolicyPlan::default() })
}

fn kind(index: usize) -> Result<KindPlan> {
    Ok(KindPlan {
        pool: pool(index)?,
        service: "desk".parse()?,
        kind: format!("kind{index}").parse()?,
        method: MethodMatch::Any,
        path_prefix: format!("/{index}").into(),
        priority: RequestPriority(0),
        share: ShareFraction::WHOLE,
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(1),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: pulley_core::process::ProbeRate(100),
        route: RouteTerms::default(),
    })
}
