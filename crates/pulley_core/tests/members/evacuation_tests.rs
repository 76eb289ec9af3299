//! How orders to evacuate zones reach all hosts, and how they affect the zones' upstreams.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{UpstreamRegistry, ZoneName};
use pulley_core::version::{EvacuatedZones, LogIndex, PlanStanding, ReplicaSet};
use pulley_core::{ConfigVersion, Moment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::network::{Network, announcement, host_name};

const SECOND: Duration = Duration::from_secs(1);

fn zone(number: usize) -> ZoneName {
    format!("zone{number}").parse().unwrap()
}

fn evacuated(revision: u64, zones: &[usize]) -> Arc<EvacuatedZones> {
    let zones = zones.iter().map(|number| zone(*number)).collect();
    Arc::new(EvacuatedZones { revision: LogIndex(revision), zones })
}

fn with_leader(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.replicas = ReplicaSet { index: 1, hosts: (0..5).map(host_name).collect() };
    network.leader = Some((0, 1));
    network.run_for(5 * SECOND);
    network.publish(1, 10);
    network.run_for(SECOND);
    network
}

fn order(network: &mut Network, zones: &Arc<EvacuatedZones>) {
    let (leader, _) = network.leader.unwrap();
    network.hosts[leader].plans.apply_committed_zones(zones);
    network.publish(1, 10);
}

fn hosts_following(network: &Network, zones: &EvacuatedZones) -> usize {
    network.hosts.iter().filter(|host| **host.plans.evacuated() == *zones).count()
}

// An operator evacuates a zone of a large installation. Half of the hosts must know of it almost at
// once, and all of them well before the operator may remove the zone's machines.
#[test]
fn an_evacuation_is_in_force_at_hundreds_of_hosts_within_a_second() {
    let mut network = with_leader(300, 41);
    for (revision, zones) in [(10, &[1][..]), (11, &[1, 2]), (12, &[2]), (13, &[])] {
        let zones = evacuated(revision, zones);
        order(&mut network, &zones);
        network.run_for(Duration::from_millis(300));
        let early = hosts_following(&network, &zones);
        assert!(early >= 150, "after 0.3 s {early} of 300 follow order {revision}");
        network.run_for(Duration::from_millis(700));
        assert_eq!(hosts_following(&network, &zones), 300, "order {revision}");
    }
}

// Hosts are paused, cut off and restarted while zones are evacuated and restored, and messages are
// lost and duplicated. No host may report that it serves if it does not know an order that was
// accepted a lease's time ago, and no host may return to an earlier order.
#[test]
fn a_host_that_serves_knows_every_order_of_a_lease_ago() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(900 + seed);
        let mut network = with_leader(14, 500 + seed);
        network.conditions.loss = 0.05;
        network.conditions.duplicates = 0.05;
        let mut accepted: Vec<(Moment, u64)> = Vec::new();
        let mut known = [LogIndex(0); 14];
        for step in 0..60 {
            let host = random.random_range(5..14);
            match random.random_range(0..10) {
                0..=2 => {
                    let revision = 10 + step;
                    let zones: Vec<usize> = (0..5).filter(|_| random.random_bool(0.3)).collect();
                    order(&mut network, &evacuated(revision, &zones));
                    accepted.push((network.now, revision));
                }
                3 => {
                    network.restart(host);
                    known[host] = LogIndex(0);
                }
                4 => {
                    let pause = Duration::from_millis(random.random_range(500..6_000));
                    network.hosts[host].paused_until = network.now + pause;
                }
                5 => {
                    let others: Vec<usize> = (0..14).filter(|other| *other != host).collect();
                    network.set_partition(&[host], &others, random.random_bool(0.5));
                }
                _ => {}
            }
            network.run_for(Duration::from_millis(random.random_range(50..900)));
            for (index, host) in network.hosts.iter().enumerate() {
                let revision = host.plans.evacuated().revision;
                assert!(revision >= known[index], "seed {seed}: host {index} went back");
                known[index] = revision;
                let is_awake = host.paused_until <= network.now;
                if !is_awake || !host.plans.standing(network.now).is_ready() {
                    continue;
                }
                let due = accepted.iter().filter(|(at, _)| network.now.since(*at) > 3 * SECOND);
                let due = due.map(|(_, revision)| *revision).max().unwrap_or_default();
                assert!(
                    revision.0 >= due,
                    "seed {seed}, step {step}: host {index} serves by order {revision}, not {due}"
                );
            }
        }
    }
}

// There is no leader, and one replica's log holds a zone order that may or may not have been
// accepted. A host that kept serving could send work to an evacuated zone.
#[test]
fn an_order_that_may_have_been_accepted_keeps_hosts_without_a_lease_from_serving() {
    let mut network = with_leader(12, 43);
    let zones = evacuated(20, &[1]);
    order(&mut network, &zones);
    network.run_for(SECOND);
    let report = |network: &mut Network, replica: usize, last: u64| {
        let replicas = network.replicas.clone();
        let plans = &mut network.hosts[replica].plans;
        plans.set_log_report(replicas, ConfigVersion(1), LogIndex(last));
    };
    (0..5).for_each(|replica| report(&mut network, replica, 20));
    network.leader = None;
    network.run_for(6 * SECOND);
    let standing = |network: &Network| network.hosts[9].plans.standing(network.now);
    assert_eq!(standing(&network), PlanStanding::Static(ConfigVersion(1)));
    (0..5).for_each(|replica| report(&mut network, replica, 21));
    network.run_for(2 * SECOND);
    assert_eq!(standing(&network), PlanStanding::Expired(ConfigVersion(1)));
}

fn open_zones(registry: &mut UpstreamRegistry, now: Moment) -> Vec<ZoneName> {
    let pools = registry.pools().clone();
    assert_eq!(pools, registry.rebuild_pools(now), "incremental and rebuilt lists differ");
    let records = pools.values().flat_map(|list| list.iter()).filter(|record| record.takes_work);
    let mut zones: Vec<ZoneName> = records.map(|record| record.announcement.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

// A zone is evacuated. Its upstreams must get no work, including those that announce themselves or
// restart meanwhile, and must get work again when the zone is restored.
#[test]
fn upstreams_of_an_evacuated_zone_get_no_work_whenever_they_come() {
    let now = Moment::from_micros(1_000_000);
    let mut registry = UpstreamRegistry::new();
    registry.tick(now, &pulley_core::process::PeerRing::default());
    for upstream in 0..10 {
        registry.announce(now, announcement(upstream, 1, 1)).unwrap();
    }
    assert_eq!(open_zones(&mut registry, now).len(), 5);
    registry.set_evacuated_zones(&[zone(1), zone(3)]);
    assert_eq!(open_zones(&mut registry, now), [zone(0), zone(2), zone(4)]);
    let late = announcement(11, 1, 1);
    let restarted = announcement(1, 2, 1);
    assert_eq!((&late.zone, &restarted.zone), (&zone(1), &zone(1)));
    for announced in [late, restarted] {
        let id = announced.id.clone();
        registry.announce(now, announced).unwrap();
        assert!(!registry.takes_work(now, &id));
    }
    assert_eq!(open_zones(&mut registry, now), [zone(0), zone(2), zone(4)]);
    registry.set_evacuated_zones(&[zone(3)]);
    assert_eq!(open_zones(&mut registry, now), [zone(0), zone(1), zone(2), zone(4)]);
}
