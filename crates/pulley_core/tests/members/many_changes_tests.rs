//! Leases of upstreams while many others start and leave.

use std::net::SocketAddr;
use std::time::Duration;

use pulley_core::process::{PeerRing, RingPeer, UpstreamRegistry};
use pulley_core::{HostId, Moment, ZoneName};
use rand::Rng;

use crate::network::{Network, announcement};

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(6);
/// Parts of a second in which upstreams announce themselves.
const SLICES: usize = 20;

/// A network whose upstreams announce themselves once a second, each to some host.
struct AnnouncedNetwork {
    network: Network,
    /// The number of upstreams that run.
    running: usize,
    second: u64,
}

impl AnnouncedNetwork {
    fn new((hosts, running): (usize, usize), seed: u64) -> Self {
        let mut network = Network::new(hosts, seed);
        for host in &mut network.hosts {
            host.registry = UpstreamRegistry::with_lease(LEASE);
        }
        network.run_for(3 * SECOND);
        Self { network, running, second: 0 }
    }

    /// Runs for a second in which further upstreams start.
    fn run_second(&mut self, starting: usize) {
        self.second += 1;
        for slice in 0..SLICES {
            self.running += starting / SLICES;
            for upstream in (slice..self.running).step_by(SLICES) {
                let host = self.network.rng.random_range(0..self.network.hosts.len());
                self.network.announce(host, announcement(upstream, 1, self.second));
            }
            self.network.run_for(SECOND / u32::try_from(SLICES).unwrap());
        }
    }

    /// Returns how many of the first upstreams get no work, summed over the hosts.
    fn lost(&mut self, upstreams: usize) -> usize {
        let is_first = |id: &str| id["upstream".len()..].parse::<usize>().unwrap() < upstreams;
        let working = self.network.hosts.iter_mut().map(|host| {
            let records = host.registry.pools().values().flat_map(|records| records.iter());
            let working = records.filter(|record| record.takes_work);
            working.filter(|record| is_first(record.announcement.id.as_str())).count()
        });
        let working: usize = working.sum();
        upstreams * self.network.hosts.len() - working
    }
}

// Guards against upstreams that get no work because others of their bucket start.
#[test]
fn upstreams_keep_their_leases_while_many_others_start() {
    let mut announced = AnnouncedNetwork::new((12, 3_000), 81);
    (0..15).for_each(|_| announced.run_second(0));
    for second in 0..8 {
        announced.run_second(300);
        assert_eq!(announced.lost(3_000), 0, "second {second}");
    }
}

// Guards against comparisons too large for a datagram, without which a host that missed an update
// loses all upstreams of its bucket for good.
#[test]
fn hosts_with_thousands_of_upstreams_come_to_agree() {
    let mut announced = AnnouncedNetwork::new((12, 8_000), 82);
    let agreed = (0..20).find(|_| {
        announced.run_second(0);
        announced.lost(8_000) == 0
    });
    assert!(agreed.is_some(), "{} are not known somewhere", announced.lost(8_000));
}

// Guards against zones that hear too late of renewals in other zones, because few hosts tell them.
#[test]
fn leases_last_where_few_hosts_of_a_zone_tell_other_zones() {
    let mut announced = AnnouncedNetwork::new((240, 200), 83);
    (0..8).for_each(|_| announced.run_second(0));
    for second in 0..8 {
        announced.run_second(0);
        assert_eq!(announced.lost(200), 0, "second {second}");
    }
}

// Guards against a table of all upstreams that each host of a zone sends to each other zone.
#[test]
fn the_number_of_hosts_that_tell_another_zone_does_not_grow_with_the_zone() {
    let senders = |hosts_per_zone: usize, cycle: u32| {
        let host = |index: usize| format!("host{index:05}").parse::<HostId>().unwrap();
        let zone = |index: usize| Some(format!("zone{}", index % 5).parse::<ZoneName>().unwrap());
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
        let peer = |index| RingPeer { zone: zone(index), host: host(index), address };
        let count = hosts_per_zone * 5;
        let sends_far = |own: usize| {
            let others = (0..count).filter(|index| *index != own).map(peer).collect();
            let ring = PeerRing::with_zones((zone(own), &host(own)), others);
            let rounds = ring.rounds() * cycle..ring.rounds() * (cycle + 1);
            let targets = rounds.filter_map(|round| ring.shared_target(round));
            targets.filter(|target| target.zone != zone(own)).count()
        };
        (0..count).step_by(5).map(sends_far).sum::<usize>()
    };
    for cycle in 0..3 {
        let (small, large) = (senders(32, cycle), senders(200, cycle));
        assert!(small > 0 && large <= small * 3 / 2, "{small} with 32 hosts, {large} with 200");
    }
}

// Guards against an upstream that a host holds to have ended forever, though it renews its lease.
#[test]
fn a_lease_that_is_renewed_after_its_end_and_before_the_next_check_counts() {
    let at = |millis: u64| Moment::from_micros(millis * 1_000);
    let mut registry = UpstreamRegistry::new();
    registry.announce(at(10_000), announcement(1, 1, 1)).unwrap();
    // The lease has ended, and the tick that would notice it is late.
    let takes_work = |registry: &mut UpstreamRegistry| {
        registry.pools().values().flat_map(|records| records.iter()).all(|record| record.takes_work)
    };
    let _ = takes_work(&mut registry);
    registry.announce(at(13_600), announcement(1, 1, 2)).unwrap();
    registry.tick(at(13_650), &PeerRing::default());
    assert!(takes_work(&mut registry));
}

// Guards against copying all lists for each change where there are thousands of upstreams.
#[test]
fn lists_are_copied_less_often_where_there_are_more_upstreams() {
    let mut registry = UpstreamRegistry::new();
    let interval = |registry: &UpstreamRegistry| registry.listing_interval();
    assert_eq!(interval(&registry), Duration::from_millis(20));
    for upstream in 0..10_000 {
        registry.announce(Moment::ZERO, announcement(upstream, 1, 1)).unwrap();
    }
    assert_eq!(interval(&registry), Duration::from_millis(200));
}
