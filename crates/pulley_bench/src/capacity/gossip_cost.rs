//! Measures the bytes and the time of gossip, with the real state machines in virtual time.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use getopts::{Matches, Options};
use pulley_core::ConfigVersion;
use pulley_core::process::UpstreamPhase;
use pulley_core::version::ReplicaSet;

use super::network::{MessageKind, Network, announcement, host_name};

const SECOND: Duration = Duration::from_secs(1);
/// The seconds in which the hosts learn of each other and of the upstreams, before counting starts.
const WARM_UP_SECONDS: u64 = 15;

struct GossipSettings {
    hosts: usize,
    upstreams: usize,
    seconds: u64,
    plan_rows: usize,
    seed: u64,
}

fn option_or<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match matches.opt_str(name) {
        Some(text) => text.parse().wrap_err_with(|| format!("--{name} {text}")),
        None => Ok(default),
    }
}

/// Runs the measurement. Prints one line for each kind of message and one for all kinds.
pub(super) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    for name in ["hosts", "upstreams", "seconds", "plan-rows", "seed"] {
        options.optopt("", name, "a number", "N");
    }
    let matches = options.parse(arguments)?;
    let settings = GossipSettings {
        hosts: option_or(&matches, "hosts", 30)?,
        upstreams: option_or(&matches, "upstreams", 1_200)?,
        seconds: option_or(&matches, "seconds", 30)?,
        plan_rows: option_or(&matches, "plan-rows", 0)?,
        seed: option_or(&matches, "seed", 1)?,
    };
    measure(&settings);
    Ok(())
}

fn measure(settings: &GossipSettings) {
    let mut network = Network::new(settings.hosts, settings.seed);
    let replicas = (0..settings.hosts.min(5)).map(host_name).collect();
    network.replicas = ReplicaSet { index: 1, hosts: replicas };
    network.leader = Some((0, 1));
    for second in 1..=WARM_UP_SECONDS {
        announce_all(&mut network, settings.upstreams, second);
    }
    for host in &mut network.hosts {
        host.sent.clear();
        host.spent.clear();
        host.received = 0;
    }
    let mut fewest_leases = usize::MAX;
    for second in 1..=settings.seconds {
        announce_all(&mut network, settings.upstreams, WARM_UP_SECONDS + second);
        fewest_leases = fewest_leases.min(min_lease_count(&network, settings.upstreams));
    }
    report_kinds(&network, settings);
    report_total(&network, settings, fewest_leases);
    time_drain(&mut network, settings);
    if settings.plan_rows > 0 {
        time_plan(&mut network, settings);
    }
}

/// Lets each upstream announce itself once within a second, to a different host each second.
fn announce_all(network: &mut Network, upstreams: usize, sequence: u64) {
    let steps = upstreams.clamp(1, 100);
    for step in 0..steps {
        for upstream in (step..upstreams).step_by(steps) {
            let index = upstream as u64 * 7_919 + sequence * 104_729;
            let host = usize::try_from(index % network.hosts.len() as u64).unwrap_or(0);
            network.announce(host, announcement(upstream, 1, sequence));
        }
        network.run_for(SECOND / u32::try_from(steps).unwrap_or(1));
    }
}

/// Returns the number of upstreams that a host may send work to, at the host with the fewest.
fn min_lease_count(network: &Network, upstreams: usize) -> usize {
    let count = |host: &super::network::Host| {
        let may_send = |upstream: &usize| {
            host.registry.takes_work(network.now, &announcement(*upstream, 1, 1).id)
        };
        (0..upstreams).filter(may_send).count()
    };
    network.hosts.iter().map(count).min().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
fn per_host_second(sum: u64, settings: &GossipSettings) -> f64 {
    sum as f64 / settings.hosts as f64 / settings.seconds as f64
}

fn report_kinds(network: &Network, settings: &GossipSettings) {
    let GossipSettings { hosts, upstreams, seed, .. } = settings;
    for kind in [MessageKind::Member, MessageKind::Upstream, MessageKind::Plan] {
        let sent = network.hosts.iter().filter_map(|host| host.sent.get(&kind));
        let (messages, bytes) = sent.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let spent: Vec<_> = network.hosts.iter().filter_map(|host| host.spent.get(&kind)).collect();
        let tick_ns: u128 = spent.iter().map(|one| one.tick_time.as_nanos()).sum();
        let ticks: u64 = spent.iter().map(|one| one.ticks).sum();
        let message_ns: u128 = spent.iter().map(|one| one.message_time.as_nanos()).sum();
        let received: u64 = spent.iter().map(|one| one.messages).sum();
        let busy_us = u64::try_from((tick_ns + message_ns) / 1_000).unwrap_or(u64::MAX);
        println!(
            "scenario=gossip hosts={hosts} upstreams={upstreams} seed={seed} kind={kind:?} \
             messages_s={:.1} bytes_s={:.0} message_us={:.2} tick_us={:.2} busy_us_s={:.0}",
            per_host_second(messages, settings),
            per_host_second(bytes, settings),
            message_ns as f64 / 1e3 / received.max(1) as f64,
            tick_ns as f64 / 1e3 / ticks.max(1) as f64,
            per_host_second(busy_us, settings),
        );
    }
}

fn report_total(network: &Network, settings: &GossipSettings, fewest_leases: usize) {
    let GossipSettings { hosts, upstreams, seed, .. } = settings;
    let sent = |host: &super::network::Host| host.sent.values().map(|(_, bytes)| bytes).sum();
    let sent_bytes: Vec<u64> = network.hosts.iter().map(sent).collect();
    let received: Vec<u64> = network.hosts.iter().map(|host| host.received).collect();
    let max_per_second = |list: &[u64]| list.iter().max().copied().unwrap_or(0) / settings.seconds;
    println!(
        "scenario=gossip hosts={hosts} upstreams={upstreams} seed={seed} kind=all \
         sent_bytes_s={:.0} sent_max_bytes_s={} received_bytes_s={:.0} received_max_bytes_s={} \
         fewest_leases={fewest_leases}",
        per_host_second(sent_bytes.iter().sum(), settings),
        max_per_second(&sent_bytes),
        per_host_second(received.iter().sum(), settings),
        max_per_second(&received),
    );
}

/// Measures how long a drain takes to spread from one host to all.
fn time_drain(network: &mut Network, settings: &GossipSettings) {
    let mut times: Vec<Duration> = Vec::new();
    for upstream in 0..settings.upstreams.min(20) {
        let mut draining = announcement(upstream, 1, 1_000);
        draining.phase = UpstreamPhase::Draining;
        let id = draining.id.clone();
        let started = network.now;
        network.announce(upstream * 37 % settings.hosts, draining);
        while network.hosts.iter().any(|host| host.registry.takes_work(network.now, &id)) {
            network.run_for(Duration::from_millis(1));
        }
        times.push(network.now.since(started));
    }
    times.sort();
    let (median, worst) = (times.get(times.len() / 2), times.last());
    println!(
        "scenario=drain hosts={} upstreams={} seed={} drains={} median_ms={} worst_ms={}",
        settings.hosts,
        settings.upstreams,
        settings.seed,
        times.len(),
        median.map_or(0, Duration::as_millis),
        worst.map_or(0, Duration::as_millis),
    );
}

/// Measures how long a plan takes to spread from the leader to all hosts, and the bytes sent for it.
fn time_plan(network: &mut Network, settings: &GossipSettings) {
    for host in &mut network.hosts {
        host.sent.clear();
    }
    let started = network.now;
    network.publish(1, settings.plan_rows);
    let lacking_hosts = |network: &Network| {
        network.hosts.iter().filter(|host| host.plans.version() < ConfigVersion(1)).count()
    };
    let (mut half, mut all) = (None, None);
    while all.is_none() && network.now.since(started) < 10 * SECOND {
        network.run_for(Duration::from_millis(1));
        let lacking = lacking_hosts(network);
        if half.is_none() && lacking <= settings.hosts / 2 {
            half = Some(network.now.since(started));
        }
        if lacking == 0 {
            all = Some(network.now.since(started));
        }
    }
    let bytes: BTreeMap<usize, u64> = network
        .hosts
        .iter()
        .enumerate()
        .map(|(index, host)| (index, host.sent.get(&MessageKind::Plan).map_or(0, |sent| sent.1)))
        .collect();
    println!(
        "scenario=plan hosts={} rows={} seed={} half_ms={} all_ms={} lacking={} \
         mean_sent_bytes={} leader_sent_bytes={} most_sent_bytes={}",
        settings.hosts,
        settings.plan_rows,
        settings.seed,
        half.map_or(0, |time| time.as_millis()),
        all.map_or(0, |time| time.as_millis()),
        lacking_hosts(network),
        bytes.values().sum::<u64>() / settings.hosts as u64,
        bytes.get(&0).copied().unwrap_or(0),
        bytes.values().max().copied().unwrap_or(0),
    );
}
