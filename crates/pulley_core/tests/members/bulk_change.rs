//! A change of many rows, followed at once by a change of a single row, at hosts whose links have a
//! limited rate.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use pulley_core::version::{LogIndex, PlanStanding, ReplicaSet, StoredPlan};
use pulley_core::{ConfigVersion, HostId, Moment};

use super::link_model::{LinkModel, LinkRates, LinkStats};
use super::network::{Host, MessageKind, Network, host_name};
use super::route_rows::RouteRows;

/// The number of hosts with a replica. Their links are in effect unlimited.
pub(crate) const REPLICAS: usize = 5;
const REPLICA_LINK: LinkRates = LinkRates { rate: 125_000_000, callers: 0 };
/// The number of rows in force before the change.
const ROWS_BEFORE: usize = 48;
/// The versions: before the change, with the added rows, and with one weight changed.
const VERSIONS: [u64; 3] = [3, 6, 8];
/// The time between the acceptances of the two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after which each further replica learns that a version is committed.
const REPLICA_LAG: Duration = Duration::from_millis(2);
const STEP: Duration = Duration::from_millis(1);

/// The change to simulate, and the hosts and links.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BulkChange {
    pub(crate) hosts: usize,
    pub(crate) entry_link: LinkRates,
    pub(crate) added_rows: usize,
    /// The wait from which a queue at a link counts as long.
    pub(crate) long_queue: Duration,
    pub(crate) seed: u64,
}

/// The results of a simulated change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeStats {
    /// For each host, the time from the last version's acceptance until it was in force; `None` if
    /// it was not in time.
    pub(crate) in_force: Vec<Option<Duration>>,
    /// For each host, the bytes sent in messages that spread the configuration.
    pub(crate) sent: Vec<u64>,
    /// For each host, the statistics of its link: sending and receiving.
    pub(crate) links: Vec<[LinkStats; 2]>,
    /// The time from the first acceptance to the end.
    pub(crate) watched: Duration,
}

impl ChangeStats {
    /// The number of hosts without the last version at the end.
    pub(crate) fn hosts_without_version(&self) -> usize {
        self.in_force.iter().filter(|time| time.is_none()).count()
    }

    /// The time after which this fraction of the hosts had the last version, or `None` if they did
    /// not get it.
    pub(crate) fn time_for_fraction(&self, fraction: f64) -> Option<Duration> {
        let mut times: Vec<Option<Duration>> = self.in_force.clone();
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        let place = (times.len() as f64 * fraction).ceil().max(1.0) as usize - 1;
        times[place]
    }

    /// The longest queue at any entry's link.
    pub(crate) fn longest_queue(&self) -> Duration {
        self.entry_queues().map(|stats| stats.longest).max().unwrap_or_default()
    }

    /// The fraction of the entries' time in which a queue at their links was long.
    pub(crate) fn long_queue_fraction(&self) -> f64 {
        let long: Duration = self.entry_queues().map(|stats| stats.long_time).sum();
        long.as_secs_f64() / (self.watched.as_secs_f64() * self.entry_queues().count() as f64)
    }

    /// The number of datagrams dropped at the entries' links.
    pub(crate) fn dropped(&self) -> u64 {
        self.entry_queues().map(|stats| stats.dropped).sum()
    }

    /// The mean and the maximum of the bytes that the hosts of a range sent.
    pub(crate) fn sent_by(&self, hosts: Range<usize>) -> (u64, u64) {
        let sent = &self.sent[hosts];
        let most = sent.iter().max().copied().unwrap_or(0);
        (sent.iter().sum::<u64>() / sent.len().max(1) as u64, most)
    }

    fn entry_queues(&self) -> impl Iterator<Item = &LinkStats> {
        self.links.iter().skip(REPLICAS).flatten()
    }
}

impl BulkChange {
    /// Makes both changes and runs until the last version is in force everywhere, but at least for
    /// `min_time` and at most for `max_time` after its acceptance.
    pub(crate) fn run(&self, min_time: Duration, max_time: Duration) -> ChangeStats {
        let mut rows = RouteRows::new(self.seed);
        rows.add(ROWS_BEFORE);
        let mut network = self.network(&rows.version(VERSIONS[0]));
        rows.add(self.added_rows);
        let first = rows.version(VERSIONS[1]);
        rows.set_weight(ROWS_BEFORE / 2, 90);
        let last = rows.version(VERSIONS[2]);

        let begun = network.now;
        accept(&mut network, &first);
        network.run_until(begun + CHANGE_INTERVAL);
        let accepted = network.now;
        let mut in_force = vec![None; self.hosts];
        let mut replicas = (0..REPLICAS).zip(0..).peekable();
        loop {
            let is_due = |(_, lag): &(usize, u32)| network.now >= accepted + REPLICA_LAG * *lag;
            if let Some((replica, _)) = replicas.next_if(is_due) {
                commit(&mut network, replica, &last);
            }
            record_in_force(&network, accepted, &mut in_force);
            let watched = network.now.since(accepted);
            let is_done = in_force.iter().all(Option::is_some) && watched >= min_time;
            if is_done || watched >= max_time {
                break;
            }
            network.run_for(STEP);
        }
        let sent = |host: &Host| host.sent.get(&MessageKind::Plan).map_or(0, |sum| sum.1);
        let sent = network.hosts.iter().map(sent).collect();
        let now = network.now;
        let links = network.links.as_mut().expect("links were set");
        let links = (0..self.hosts).map(|host| links.stats(host, now)).collect();
        ChangeStats { in_force, sent, links, watched: now.since(begun) }
    }

    /// Makes hosts that know each other and have the first version in force, with idle links.
    fn network(&self, plan: &Arc<StoredPlan>) -> Network {
        let mut network = Network::new(self.hosts, self.seed);
        let replicas: Vec<HostId> = (0..REPLICAS).map(host_name).collect();
        network.replicas = ReplicaSet { index: 1, hosts: replicas.clone() };
        network.hosts.iter_mut().for_each(|host| host.plans.set_announced_replicas(&replicas));
        network.leader = Some((0, 1));
        accept(&mut network, plan);
        network.run_for(Duration::from_secs(8));
        let rates = |host| if host < REPLICAS { REPLICA_LINK } else { self.entry_link };
        let rates: Vec<LinkRates> = (0..self.hosts).map(rates).collect();
        network.links = Some(LinkModel::new(&rates, network.now, self.long_queue));
        network.run_for(Duration::from_secs(1));
        for (host, rates) in network.hosts.iter_mut().zip(&rates) {
            host.plans = host.plans.clone().with_link_rate(Some(f64::from(rates.rate)));
            assert_eq!(host.plans.standing(network.now), PlanStanding::InForce(plan.version));
            host.sent.clear();
        }
        network.links = Some(LinkModel::new(&rates, network.now, self.long_queue));
        network
    }
}

/// Commits a version on all replicas: the leader sends it at once, and the other replicas learn of
/// it shortly after.
fn accept(network: &mut Network, plan: &Arc<StoredPlan>) {
    for replica in 0..REPLICAS {
        commit(network, replica, plan);
        network.run_for(REPLICA_LAG);
    }
}

fn commit(network: &mut Network, replica: usize, plan: &Arc<StoredPlan>) {
    let replicas = network.replicas.clone();
    network.hosts[replica].plans.set_log_report(replicas, plan.version, LogIndex::default());
    network.commit(replica, plan);
}

fn record_in_force(network: &Network, accepted: Moment, in_force: &mut [Option<Duration>]) {
    let wanted = PlanStanding::InForce(ConfigVersion(VERSIONS[2]));
    for (host, time) in network.hosts.iter().zip(in_force) {
        if time.is_none() && host.plans.standing(network.now) == wanted {
            *time = Some(network.now.since(accepted));
        }
    }
}
