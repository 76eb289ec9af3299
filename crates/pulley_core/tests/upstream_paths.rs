//! How a host tells that its own path to upstreams is lost, and whom it asks for another.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::connection::{PathCheck, PathSurvey, UpstreamPath};
use pulley_core::process::{HostRoles, MemberIncarnation, MemberRecord, RelayHost};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn survey(now: Moment, paths: &[UpstreamPath]) -> PathSurvey {
    PathSurvey::of(now, paths)
}

/// A path that has answered and, later, left requests unanswered.
fn path(answered: Option<u64>, unanswered: Option<u64>) -> UpstreamPath {
    let mut path = UpstreamPath::default();
    answered.into_iter().for_each(|millis| path.record_answer(at(millis)));
    unanswered.into_iter().for_each(|millis| path.record_silence(at(millis)));
    path
}

// A host doubts itself on a calm day: each doubt costs connections and other hosts' time.
#[test]
fn a_few_silent_upstreams_are_no_reason_to_doubt_the_own_path() {
    let heard = [path(Some(990), None); 30];
    let mut paths = heard.to_vec();
    paths[..5].fill(path(Some(900), Some(980)));
    assert!(!survey(at(1_000), &paths).suggests_cut(), "25 have just answered");
    assert!(!survey(at(1_000), &heard).suggests_cut());
    let old = [path(Some(100), Some(200)); 30];
    assert!(!survey(at(5_000), &old).suggests_cut(), "nothing was tried for seconds");
    assert!(!survey(at(0), &[]).suggests_cut());
}

// All upstreams fall silent, and the host goes on believing that they are busy.
#[test]
fn a_host_doubts_its_own_path_once_more_upstreams_are_silent_than_answer() {
    let mut paths = vec![path(Some(990), None); 30];
    paths[..16].fill(path(Some(900), Some(995)));
    assert!(survey(at(1_000), &paths).suggests_cut());
    // With few upstreams no more than those can fail.
    assert!(survey(at(1_000), &[path(None, Some(990))]).suggests_cut());
    assert!(survey(at(1_000), &[path(None, Some(990)); 2]).suggests_cut());
    assert!(!survey(at(1_000), &[path(None, Some(990)), path(Some(990), None)]).suggests_cut());
}

// Open connections live on while new ones are refused: answers must not hide that.
#[test]
fn refused_connections_count_beside_answers_over_open_ones() {
    let mut refused = path(Some(999), None);
    refused.record_opening(at(500), true);
    refused.record_opening(at(900), false);
    assert!(refused.is_lost(at(1_000)));
    assert!(survey(at(1_000), &[refused; 4]).suggests_cut());
    refused.record_opening(at(950), true);
    assert!(!refused.is_lost(at(1_000)));
}

// Upstreams that are down or slow answer nobody; taking that for a cut would send all requests over
// other hosts for nothing.
#[test]
fn only_upstreams_that_another_host_reaches_prove_a_cut() {
    let check = |direct, relayed| PathCheck { direct, relayed };
    assert!(!PathCheck::prove_cut(&[check(false, false); 3]), "the pool is down");
    assert!(!PathCheck::prove_cut(&[check(true, true); 3]), "the upstreams were slow");
    assert!(!PathCheck::prove_cut(&[]));
    assert!(PathCheck::prove_cut(&[check(false, true); 3]));
    assert!(PathCheck::prove_cut(&[check(false, true), check(false, false), check(false, false)]));
    assert!(!PathCheck::prove_cut(&[check(false, true), check(true, true), check(true, true)]));
}

fn member(name: &str, zone: &str, entry: bool) -> MemberRecord {
    let address = "10.0.0.1:7000".parse().expect("an address");
    MemberRecord {
        host: name.parse().expect("a name"),
        zone: zone.parse().expect("a name"),
        incarnation: MemberIncarnation(1),
        peer_address: address,
        caller_address: address,
        operator_address: address,
        roles: HostRoles { entry, replica: !entry },
    }
}

// A zone is cut off as a whole, and its hosts know only each other.
#[test]
fn hosts_of_the_own_zone_come_first_and_every_zone_is_listed() {
    let mut live = Vec::new();
    for zone in ["a", "b", "c"] {
        live.extend((0..20).map(|number| member(&format!("{zone}{number}"), zone, true)));
        live.push(member(&format!("{zone}-core"), zone, false));
    }
    let list = RelayHost::list(&live[0], &live, 0);
    let zones: Vec<&str> = list.iter().map(|host| host.zone.as_str()).collect();
    assert!(zones[..6].iter().all(|zone| *zone == "a"), "{zones:?}");
    assert!(zones.contains(&"b") && zones.contains(&"c"));
    assert!(list.iter().all(|host| host.host != live[0].host));
    let replicas = list.iter().position(|host| host.host.as_str().ends_with("core"));
    assert_eq!(replicas, Some(12), "replicas come last");
    assert_ne!(RelayHost::list(&live[0], &live, 1), list, "another round, another choice");
}

// Hundreds of hosts are cut off at once. If all asked the same few, those would be overrun.
#[test]
fn cut_hosts_spread_over_the_others() {
    let live: Vec<MemberRecord> = (0..400)
        .map(|number| member(&format!("h{number}"), ["a", "b"][number % 2], true))
        .collect();
    let mut asked = vec![0_usize; 400];
    for cut in live.iter().filter(|host| host.zone.as_str() == "a") {
        for host in RelayHost::list(cut, &live, 0) {
            let number: usize = host.host.as_str()[1..].parse().expect("a number");
            asked[number] += usize::from(host.zone.as_str() == "b");
        }
    }
    // 200 hosts list 3 of 200 others each.
    assert_eq!(asked.iter().sum::<usize>(), 600);
    assert!(asked.iter().max() <= Some(&12), "{asked:?}");
}
