//! Which upstreams get new work.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    AnnounceOutcome, Announcement, Incarnation, PeerRing, RegistryFault, StartEvidence,
    UpstreamPhase, UpstreamRegistry,
};

use crate::network::{Network, announcement};

const SECOND: Duration = Duration::from_secs(1);

/// Announces upstreams `0..count` once a second, each time to a different host.
fn announce_for(network: &mut Network, count: usize, from: u64, seconds: u64) {
    for second in from..from + seconds {
        for upstream in 0..count {
            let host = (upstream * 7 + usize::try_from(second).unwrap()) % network.hosts.len();
            if network.hosts[host].up {
                network.announce(host, announcement(upstream, 1, second));
            }
        }
        network.run_for(SECOND);
    }
}

fn hosts_using(network: &Network, upstream: usize) -> usize {
    let id = announcement(upstream, 1, 1).id;
    let hosts = network.hosts.iter().filter(|host| host.up);
    hosts.filter(|host| host.registry.takes_work(network.now, &id)).count()
}

#[test]
fn heartbeats_to_changing_hosts_keep_a_lease_everywhere() {
    let mut network = Network::new(30, 11);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 40, 1, 3);
    for second in 4..30 {
        announce_for(&mut network, 40, second, 1);
        for upstream in 0..40 {
            assert_eq!(
                hosts_using(&network, upstream),
                30,
                "upstream {upstream} at {}",
                network.now
            );
        }
    }
}

/// An upstream loses power and announces nothing more. Work sent to it after its lease expired
/// would not be answered.
#[test]
fn a_silent_upstream_gets_no_work_after_its_lease() {
    let mut network = Network::new(30, 12);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 10, 1, 5);
    assert_eq!(hosts_using(&network, 9), 30);
    // Upstreams 0 to 8 are alive. The last announcement of 9 is a second old.
    announce_for(&mut network, 9, 6, 2);
    assert_eq!(hosts_using(&network, 9), 0);
    assert_eq!(hosts_using(&network, 8), 30);
}

/// An upstream announces that it drains, and a late copy of an earlier announcement reaches another
/// host, even one that does not know of the drain. If that revived the upstream, its callers would
/// be cut off when it stops.
#[test]
fn a_late_announcement_does_not_undo_a_drain() {
    let mut network = Network::new(10, 13);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 5, 1, 4);
    let draining = Announcement { phase: UpstreamPhase::Draining, ..announcement(3, 1, 5) };
    network.announce(2, draining);
    network.announce(9, announcement(3, 1, 6));
    network.run_for(SECOND);
    assert_eq!(hosts_using(&network, 3), 0);
    announce_for(&mut network, 5, 7, 3);
    assert_eq!(hosts_using(&network, 3), 0);
    assert_eq!(hosts_using(&network, 2), 10);
}

/// A reply says that its upstream drains. The host that received it must stop sending work there at
/// once, and the others within the time that gossip takes.
#[test]
fn a_drain_seen_in_a_reply_counts_at_once_and_everywhere() {
    let mut network = Network::new(30, 14);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 5, 1, 4);
    let (now, start) = (network.now, announcement(1, 1, 1).start());
    assert!(network.hosts[4].registry.observe_drain(now, &start));
    assert!(!network.hosts[4].registry.observe_drain(now, &start), "it is told once");
    assert!(!network.hosts[4].registry.takes_work(now, &start.id));
    network.run_for(Duration::from_millis(500));
    assert_eq!(hosts_using(&network, 1), 0);
    // Its next incarnation gets work again.
    network.announce(0, announcement(1, 2, 1));
    network.run_for(SECOND);
    assert_eq!(hosts_using(&network, 1), 30);
}

// An upstream that leaves went on announcing itself as ready, and answered probes that renewed its
// lease.
#[test]
fn a_drain_seen_in_a_reply_outlasts_ready_announcements_and_renewals_by_answers() {
    let mut network = Network::new(30, 14);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 5, 1, 4);
    let (now, start) = (network.now, announcement(1, 1, 1).start());
    network.hosts[4].registry.observe_drain(now, &start);
    announce_for(&mut network, 5, 5, 4);
    assert_eq!(hosts_using(&network, 1), 0);
    for _ in 0..10 {
        let now = network.now;
        for host in &mut network.hosts {
            host.registry.renew_answering(now, &start);
        }
        network.run_for(SECOND);
        assert_eq!(hosts_using(&network, 1), 0);
    }
}

// An answer of an upstream's former start was read after the upstream had restarted, and its next
// start got no work.
#[test]
fn a_late_reply_of_an_earlier_start_drains_no_later_one() {
    let mut network = Network::new(10, 14);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 5, 1, 4);
    network.announce(0, announcement(1, 2, 1));
    network.run_for(SECOND);
    let (now, earlier) = (network.now, announcement(1, 1, 1).start());
    assert!(!network.hosts[4].registry.observe_drain(now, &earlier));
    network.run_for(SECOND);
    assert_eq!(hosts_using(&network, 1), 10);
}

/// Two processes are started with the same id by mistake. If both were accepted in turn, replies of
/// one would be attributed to the other.
#[test]
fn one_id_from_two_addresses_is_refused_while_the_first_lives() {
    let mut registry = UpstreamRegistry::new();
    let now = Moment::ZERO + SECOND;
    let first = announcement(1, 5, 1);
    let second = Announcement { address: announcement(2, 6, 1).address, ..announcement(1, 6, 1) };
    assert_eq!(registry.announce(now, first.clone()), Ok(AnnounceOutcome::Registered));
    let refused = registry.announce(now, second.clone());
    let fault = RegistryFault::IdInUse { id: first.id.clone(), holder: first.address };
    assert_eq!(refused, Err(fault));
    // Once the first lease has expired, the id is free.
    let later = now + Duration::from_millis(3_100);
    assert_eq!(registry.announce(later, second), Ok(AnnounceOutcome::Registered));
    let outranked = registry.announce(later + 4 * SECOND, first);
    assert!(matches!(outranked, Err(RegistryFault::StaleIncarnation { .. })));
}

#[test]
fn a_host_that_joins_learns_every_upstream() {
    let mut network = Network::new(10, 15);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 200, 1, 5);
    network.restart(6);
    let before = network.now;
    while network.hosts[6].registry.upstream_count() < 200 {
        network.run_for(Duration::from_millis(50));
        assert!(network.now.since(before) < 2 * SECOND);
    }
    announce_for(&mut network, 200, 6, 3);
    let all = (0..200).map(|upstream| hosts_using(&network, upstream)).min();
    assert_eq!(all, Some(10));
}

/// An upstream announces its departure to a host that has just been cut off from most others. Every
/// host that is still reachable must be informed directly: forwarded from host to host, the message
/// would be lost.
#[test]
fn a_departure_is_sent_to_every_host_directly() {
    let mut network = Network::new(20, 21);
    network.run_for(3 * SECOND);
    announce_for(&mut network, 5, 1, 3);
    assert_eq!(hosts_using(&network, 3), 20);
    // All paths are cut except those of host 0.
    for from in 1..20 {
        for to in (1..20).filter(|to| *to != from) {
            network.cuts.insert((from, to));
        }
    }
    let id = announcement(3, 1, 1).id;
    network.announce_departure(0, &id);
    network.run_for(Duration::from_millis(100));
    assert_eq!(hosts_using(&network, 3), 0);
}

/// A departure message was delayed while its upstream restarted under the same id. The new
/// incarnation must keep getting work.
#[test]
fn a_late_departure_of_an_earlier_incarnation_changes_nothing() {
    let mut registry = UpstreamRegistry::new();
    let now = Moment::ZERO + SECOND;
    let first = announcement(1, 5, 1);
    let second = Announcement { incarnation: Incarnation(6), ..first.clone() };
    registry.announce(now, first.clone()).unwrap();
    registry.announce(now, second.clone()).unwrap();
    assert!(registry.announce_departure(now, &first.id, Some(first.incarnation)));
    assert!(registry.takes_work(now, &first.id));
    assert!(registry.departure(&first.id).is_none());
    assert!(registry.announce_departure(now, &first.id, Some(second.incarnation)));
    assert!(!registry.takes_work(now, &first.id));
    // A departure received by one host takes effect at another.
    let mut other = UpstreamRegistry::new();
    other.announce(now, second.clone()).unwrap();
    other.take_departure(now, &registry.departure(&first.id).unwrap().1);
    assert!(!other.takes_work(now, &first.id));
    assert!(!registry.announce_departure(now, &announcement(9, 1, 1).id, None), "unknown");
}

/// Upstreams that announce themselves every second and a half, sometimes late, must keep their
/// lease where it is configured long enough.
#[test]
fn a_longer_lease_allows_rarer_announcements() {
    let mut registry = UpstreamRegistry::with_lease(6 * SECOND);
    let now = Moment::ZERO + SECOND;
    let upstream = announcement(1, 5, 1);
    registry.announce(now, upstream.clone()).unwrap();
    assert!(registry.takes_work(now + Duration::from_millis(4_900), &upstream.id));
    assert!(!registry.takes_work(now + Duration::from_millis(6_100), &upstream.id));
}

// An installation has grown to more upstreams than planned. Hosts that could hold only some of them
// would hold different ones and spend their links on comparing them forever. If one message could
// not carry all leases, the others would expire.
#[test]
fn thousands_of_upstreams_keep_their_leases_and_hosts_agree() {
    let upstreams = 3_400;
    let mut network = Network::new(6, 31);
    network.run_for(2 * SECOND);
    announce_for(&mut network, upstreams, 1, 6);
    for host in &mut network.hosts {
        host.sent.clear();
    }
    announce_for(&mut network, upstreams, 7, 4);
    for upstream in [0, 1, 1_700, 3_398, 3_399] {
        assert_eq!(hosts_using(&network, upstream), 6, "upstream {upstream}");
    }
    let taking = |host: &crate::network::Host| {
        let lists = host.registry.rebuild_pools(network.now);
        lists.values().flat_map(|list| list.iter()).filter(|record| record.takes_work).count()
    };
    for host in &network.hosts {
        assert_eq!(taking(host), upstreams);
        let (_, bytes) = host.sent[&crate::network::MessageKind::Upstream];
        // Every lease takes three bits a round. Hosts know the same records by now, so that they
        // don't compare records any more.
        assert!(bytes / 4 < 16_000, "{} bytes a second", bytes / 4);
    }
}

fn evidence(registry: &UpstreamRegistry, at: Duration, now: Duration) -> StartEvidence {
    let known = announcement(0, 1, 1);
    let time = registry.shared_time(Moment::ZERO + at);
    registry.start_evidence(Moment::ZERO + now, &known.start(), known.address, time)
}

/// A registry that has heard from upstreams 0 to 4 at a second's interval until a time.
fn heard_until(seconds: u64) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new();
    for second in 1..=seconds {
        hear(&mut registry, second, 0..5);
    }
    registry
}

fn hear(registry: &mut UpstreamRegistry, second: u64, upstreams: std::ops::Range<usize>) {
    let now = Moment::ZERO + SECOND * u32::try_from(second).unwrap();
    for upstream in upstreams {
        registry.announce(now, announcement(upstream, 1, second)).unwrap();
    }
    registry.tick(now, &PeerRing::default());
}

// A supervisor starts an upstream again within milliseconds, under its id or under a new one.
#[test]
fn a_later_start_under_the_id_or_at_the_address_shows_an_end() {
    for is_new_id in [false, true] {
        let mut registry = heard_until(3);
        let at = 3 * SECOND;
        assert_eq!(evidence(&registry, at, at), StartEvidence::None);
        let address = announcement(0, 1, 1).address;
        let id = announcement(if is_new_id { 77 } else { 0 }, 1, 1).id;
        let later = Announcement { id, address, ..announcement(0, 2, 1) };
        registry.announce(Moment::ZERO + at + SECOND / 10, later).unwrap();
        let now = at + SECOND / 5;
        assert_eq!(evidence(&registry, at, now), StartEvidence::LaterStart, "new id: {is_new_id}");
    }
}

// An announcement that was on its way when its upstream ended must not count as a sign of life.
#[test]
fn an_upstream_is_alive_once_it_was_heard_from_well_after_the_moment() {
    let mut registry = heard_until(3);
    hear(&mut registry, 4, 0..5);
    assert_eq!(evidence(&registry, 3 * SECOND, 4 * SECOND), StartEvidence::None);
    hear(&mut registry, 5, 0..5);
    hear(&mut registry, 6, 0..5);
    assert_eq!(evidence(&registry, 3 * SECOND, 6 * SECOND), StartEvidence::Alive);
}

// A machine without power announces nothing more, and nobody starts it again.
#[test]
fn an_upstream_has_ended_whose_lease_lapses_alone() {
    let mut registry = heard_until(3);
    for second in 4..=8 {
        hear(&mut registry, second, 1..5);
    }
    assert_eq!(evidence(&registry, 3 * SECOND, 8 * SECOND), StartEvidence::LapsedLease);
}

// A host that is cut off from the others hears of no upstream.
#[test]
fn leases_that_lapse_together_show_no_end() {
    let mut registry = heard_until(3);
    registry.tick(Moment::ZERO + 8 * SECOND, &PeerRing::default());
    assert_eq!(evidence(&registry, 3 * SECOND, 8 * SECOND), StartEvidence::None);
}

// A release ends every upstream in an orderly way, and popular content ran in all of them.
#[test]
fn an_upstream_that_announces_its_departure_has_not_ended_under_a_request() {
    let mut registry = heard_until(3);
    let leaving = Announcement { phase: UpstreamPhase::Draining, ..announcement(0, 1, 4) };
    registry.announce(Moment::ZERO + 3 * SECOND, leaving).unwrap();
    assert_eq!(evidence(&registry, 3 * SECOND, 4 * SECOND), StartEvidence::Leaving);
}
