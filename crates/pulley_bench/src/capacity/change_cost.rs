//! What one change of a host or an upstream costs another host, by the size of the installation.

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

/// How often each change is made.
const CHANGES: u64 = 2_000;
/// Pools, of which the upstreams belong to one each in turn.
const POOLS: usize = 3;

/// Prints a line for each number of hosts.
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

/// What a host holds that follows the changes of others.
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
            observer.hear_of(host, 1);
        }
        for upstream in 0..upstreams {
            let announced = named(upstream, 1, UpstreamPhase::Ready)?;
            observer.registry.announce(observer.now, announced)?;
        }
        observer.follow();
        Ok(observer)
    }

    /// The time that an upstream's change takes, from its announcement to the schedulers.
    fn upstream_cost(&mut self) -> Result<u128> {
        let begin = Instant::now();
        for change in 0..CHANGES {
            self.now = self.now + Duration::from_millis(50);
            let place = usize::try_from(change).unwrap_or(0) * 7 % self.upstreams;
            // Each time it is announced as a later start, which drains or takes work again.
            let start = 2 + change;
            let phase =
                if change % 2 == 0 { UpstreamPhase::Draining } else { UpstreamPhase::Ready };
            self.registry.announce(self.now, named(place, start, phase)?)?;
            self.follow();
        }
        Ok(begin.elapsed().as_nanos() / u128::from(CHANGES))
    }

    /// The time that a host's restart takes, from its message to the schedulers.
    fn host_cost(&mut self) -> Result<u128> {
        let mut spent = Duration::ZERO;
        for change in 0..CHANGES {
            self.now = self.now + Duration::from_millis(50);
            let host = 1 + usize::try_from(change)? * 7 % (self.hosts - 1);
            let message = message_of(host, 2 + change);
            let begin = Instant::now();
            self.members.receive(self.now, address(host), &message);
            self.follow();
            spent += begin.elapsed();
        }
        Ok(spent.as_nanos() / u128::from(CHANGES))
    }

    fn hear_of(&mut self, host: usize, start: u64) {
        let message = message_of(host, start);
        self.members.receive(self.now, address(host), &message);
    }

    /// Does what a host does after a change.
    fn follow(&mut self) {
        self.members.take_changed_hosts();
        let live = self.members.live_entries();
        let view = RunningView {
            plan: Arc::clone(&self.plan),
            upstreams: self.registry.pools(self.now).clone(),
            readiness: HostReadiness::Ready,
            live_entries: u32::try_from(live).unwrap_or(u32::MAX),
            ..RunningView::default()
        };
        self.schedulers.apply_view(&view);
    }
}

/// What a host that has just started says of itself in a ping.
fn message_of(host: usize, start: u64) -> bytes::Bytes {
    let mut observer = MemberTable::new(record(0, 0), MemberSettings::default(), 1);
    observer.add_seed(address(host));
    let greeting = observer.tick(Moment::ZERO).remove(0).body;
    let mut table = MemberTable::new(record(host, start), MemberSettings::default(), 1);
    table.receive(Moment::ZERO, address(0), &greeting);
    // What it knows goes first, then the ping.
    table.tick(Moment::ZERO).remove(1).body
}

fn named(upstream: usize, start: u64, phase: UpstreamPhase) -> Result<Announcement> {
    let pool = pool(upstream % POOLS)?;
    Ok(Announcement { pool, phase, ..announcement(upstream, start, start) })
}

fn pool(place: usize) -> Result<PoolName> {
    Ok(format!("pool{place}").parse()?)
}

fn plan() -> Result<PolicyPlan> {
    let kinds: Result<Vec<KindPlan>> = (0..POOLS).map(kind).collect();
    Ok(PolicyPlan { kinds: kinds?, ..PolicyPlan::default() })
}

fn kind(place: usize) -> Result<KindPlan> {
    Ok(KindPlan {
        pool: pool(place)?,
        service: "desk".parse()?,
        kind: format!("kind{place}").parse()?,
        method: MethodMatch::Any,
        path_prefix: format!("/{place}").into(),
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
