//! Incremental updates, compared with a rebuild from scratch.

use std::time::Duration;

use pulley_core::process::{
    Announcement, FastMap, PeerRing, RingPeer, UpstreamList, UpstreamPhase, UpstreamRegistry,
};
use pulley_core::{HostId, Moment, PoolName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::network::{Network, NetworkConditions, address, announcement, host_name};

const HOSTS: usize = 7;
const UPSTREAMS: usize = 60;
const STEPS: u64 = 150;

/// Applies a random event that changes what hosts know of each other and of upstreams.
fn apply_random_event(network: &mut Network, rng: &mut SmallRng, step: u64) {
    match rng.random_range(0..12) {
        0 => network.restart(rng.random_range(0..HOSTS)),
        1 => network.set_partition(&[0, 1, 2], &[3, 4, 5, 6], rng.random()),
        2 => {
            let loss = rng.random_range(0.0..0.3);
            network.conditions = NetworkConditions { loss, ..NetworkConditions::default() };
        }
        _ => {
            for _ in 0..rng.random_range(1..12) {
                let upstream = rng.random_range(0..UPSTREAMS);
                let announced = Announcement {
                    phase: match rng.random_range(0..8) {
                        0 => UpstreamPhase::Draining,
                        1 => UpstreamPhase::Gone,
                        2 => UpstreamPhase::Warming,
                        _ => UpstreamPhase::Ready,
                    },
                    // A later incarnation may belong to another pool.
                    pool: format!("pool{}", rng.random_range(0..3)).parse().unwrap(),
                    ..announcement(upstream, 1 + step / 20, step)
                };
                network.announce(rng.random_range(0..HOSTS), announced);
            }
        }
    }
}

/// A random duration with a fraction of a millisecond, so that everything due by its end has been
/// done.
fn random_pause(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(5..900))
        + Duration::from_micros(rng.random_range(1..999))
}

/// Hosts receive changes of upstreams and hosts one by one and pass on only those. If one were lost
/// within a host, its callers would be sent to an upstream that has left, or never to a new one,
/// until the host restarts. For any events in any order, the incremental lists must equal those
/// rebuilt from everything that the host knows.
#[test]
fn incremental_lists_equal_rebuilt_lists() {
    for seed in 0..12 {
        let mut network = Network::new(HOSTS, seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        // The lists of a component that receives only the changes.
        let mut followed: Vec<FastMap<PoolName, UpstreamList>> = vec![FastMap::default(); HOSTS];
        for step in 0..STEPS {
            apply_random_event(&mut network, &mut rng, step);
            network.run_for(random_pause(&mut rng));
            let now = network.now;
            for (host, followed) in network.hosts.iter_mut().zip(&mut followed) {
                let incremental = host.registry.pools().clone();
                assert_eq!(
                    incremental,
                    host.registry.rebuild_pools(now),
                    "seed {seed}, step {step}"
                );
                followed.retain(|pool, _| incremental.contains_key(pool));
                for (pool, list) in incremental {
                    let held = followed.entry(pool).or_default();
                    *held = held.with_changes(list.changes_since(held));
                    assert_eq!(*held, list, "seed {seed}, step {step}");
                }
            }
        }
    }
}

/// The same for the ring of live hosts along which updates are forwarded. A host missing from it
/// gets no updates, and messages to a host that is in it by mistake are wasted.
#[test]
fn an_incremental_ring_equals_a_rebuilt_ring() {
    for seed in 20..32 {
        let mut network = Network::new(HOSTS, seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        for step in 0..STEPS {
            apply_random_event(&mut network, &mut rng, step);
            network.run_for(random_pause(&mut rng));
            for (index, host) in network.hosts.iter_mut().enumerate() {
                let own: HostId = host_name(index);
                let others = host.members.live().filter(|record| record.host != own);
                let others = others.map(|record| RingPeer {
                    zone: Some(record.zone.clone()),
                    host: record.host.clone(),
                    address: record.peer_address,
                });
                let zone = Some(host.members.own().zone.clone());
                let rebuilt = PeerRing::with_zones((zone, &own), others.collect());
                assert_eq!(*host.members.ring(), rebuilt, "seed {seed}, step {step}");
                let entries = host.members.live().filter(|record| record.roles.entry).count();
                assert_eq!(host.members.live_entries(), entries, "seed {seed}, step {step}");
            }
        }
    }
}

/// A host follows the earliest-started clock of all. When it first receives a reading far ahead,
/// the leases that it holds have expired by that clock, in the middle of one of its own epochs. If
/// it noticed that only at the end of the epoch, requests would be sent until then to upstreams
/// that are long gone.
#[test]
fn a_clock_that_jumps_ahead_expires_leases_at_once() {
    let ring = |index| PeerRing::new(&host_name(9), vec![(host_name(index), address(index))]);
    // A message of a host whose clock started this much earlier than the others'.
    let message = |clock: Duration| {
        let mut host = UpstreamRegistry::new();
        host.announce(Moment::ZERO + clock, announcement(1, 1, 1)).unwrap();
        let sends = host.tick(Moment::ZERO + clock, &ring(0));
        sends.first().expect("a round is due").body.clone()
    };
    let now = Moment::ZERO + Duration::from_millis(100);
    let mut host = UpstreamRegistry::new();
    host.tick(now, &ring(1));
    host.receive(now, address(1), &message(Duration::from_millis(100)));
    host.announce(now, announcement(0, 1, 1)).unwrap();
    assert_eq!(host.pools().clone(), host.rebuild_pools(now));
    assert!(host.takes_work(now, &announcement(0, 1, 1).id));
    host.receive(now, address(2), &message(Duration::from_secs(20)));
    assert!(!host.takes_work(now, &announcement(0, 1, 1).id));
    assert_eq!(host.pools().clone(), host.rebuild_pools(now));
}
