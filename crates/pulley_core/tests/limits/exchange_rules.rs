//! Rules of the exchange between hosts that a whole fleet shows too rarely.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    EntryZones, Incarnation, LimitExchange, LimitOutput, ObservedLimit, PeerRing, PermitAnswer,
    PermitAsk, StartRate, UpstreamRegistry,
};
use pulley_core::request::{LimitReading, LimitSighting, PoolScheduler};
use pulley_core::{HostId, Moment};

use crate::limit_fleet::{plan, record};

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const RATE: StartRate = StartRate(8_000);

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn entries(names: &[&str]) -> Arc<EntryZones> {
    Arc::new(names.iter().map(|name| ("a".parse().unwrap(), host(name))).collect())
}

fn observed(rate: Option<StartRate>) -> ObservedLimit {
    ObservedLimit { upstream: "u0".parse().unwrap(), incarnation: Incarnation(1), rate }
}

/// Creates the exchange of a host that has run for a while and knows the limit.
fn exchange(name: &str, names: &[&str]) -> LimitExchange {
    let mut exchange = LimitExchange::new(Moment::ZERO, host(name));
    exchange.set_entries(Moment::ZERO, &entries(names));
    let time = UpstreamRegistry::new().shared_time(Moment::ZERO);
    exchange.observe(Moment::ZERO, time, observed(Some(RATE)));
    exchange.take_outputs();
    exchange
}

fn ask(number: u32) -> PermitAsk {
    let (upstream, zone) = ("u0".parse().unwrap(), "a".parse().unwrap());
    PermitAsk { upstream, zone, number, wanted: 4, asks_deputy: false }
}

fn bodies_to_hosts(exchange: &mut LimitExchange) -> Vec<Bytes> {
    let outputs = exchange.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            LimitOutput::ToHost { body, .. } => Some(body),
            _ => None,
        })
        .collect()
}

fn permits(exchange: &mut LimitExchange) -> Vec<PermitAnswer> {
    let outputs = exchange.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            LimitOutput::Permits(answer) => Some(answer),
            _ => None,
        })
        .collect()
}

/// Asks a host for permits on behalf of another, and returns how many it issues.
fn issued_to(asker: &mut LimitExchange, issuer: &mut LimitExchange, now: Moment) -> u16 {
    asker.ask(now, &ask(1));
    for question in bodies_to_hosts(asker) {
        issuer.receive(now, &host("asker"), &question);
    }
    for answer in bodies_to_hosts(issuer) {
        asker.receive(now, &host("issuer"), &answer);
    }
    permits(asker).iter().map(|answer| answer.permits).sum()
}

/// Returns the names of two entries so that the second is the issuer once it has joined.
fn joining_pair() -> (String, String) {
    let all: Vec<String> = (1..40).map(|index| format!("h{index}")).collect();
    let is_issuer = |name: &str, names: &[&str]| {
        let mut exchange = exchange(name, names);
        exchange.ask(Moment::ZERO + SECOND * 10, &ask(1));
        !permits(&mut exchange).is_empty()
    };
    let second = all.iter().find(|name| is_issuer(name, &["h0", name])).unwrap();
    ("h0".to_owned(), second.clone())
}

// A host that joins becomes the issuer while others still ask its predecessor.
#[test]
fn a_new_issuer_issues_nothing_while_its_predecessor_may() {
    let (old, new) = joining_pair();
    let (alone, both) = ([old.as_str()], [old.as_str(), new.as_str()]);
    let mut issuer = exchange(&new, &alone);
    let joined_at = Moment::ZERO + SECOND * 10;
    issuer.set_entries(joined_at, &entries(&both));
    let mut asker = exchange("asker", &both);
    for millis in [0, 200, 600, 1_000] {
        let now = joined_at + MILLISECOND * millis;
        assert_eq!(issued_to(&mut asker, &mut issuer, now), 0, "{millis} ms after it joined");
    }
    assert!(issued_to(&mut asker, &mut issuer, joined_at + SECOND * 2) > 0);
}

// A host that has just started knows nobody and takes itself for the issuer of every upstream.
#[test]
fn a_host_that_has_just_started_issues_nothing() {
    let mut alone = exchange("h0", &["h0"]);
    alone.ask(Moment::ZERO + MILLISECOND * 500, &ask(1));
    assert_eq!(permits(&mut alone).iter().map(|answer| answer.permits).sum::<u16>(), 0);
    alone.ask(Moment::ZERO + SECOND * 3, &ask(2));
    assert!(permits(&mut alone).iter().any(|answer| answer.permits > 0));
}

// A host that has just started sends to upstreams in need as if they had named no limit.
#[test]
fn a_host_that_starts_is_told_of_all_limits_at_once() {
    let mut known = exchange("h1", &["h0", "h1"]);
    let mut starting = LimitExchange::new(Moment::ZERO, host("h0"));
    let address = ([10, 0, 0, 1], 7_000).into();
    let ring = PeerRing::new(&host("h0"), vec![(host("h1"), address)]);
    starting.tick(Moment::ZERO, &ring);
    for output in starting.take_outputs() {
        if let LimitOutput::ToAddress { body, .. } = output {
            known.receive(Moment::ZERO, &host("h0"), &body);
        }
    }
    for body in bodies_to_hosts(&mut known) {
        starting.receive(Moment::ZERO, &host("h1"), &body);
    }
    let rates: Vec<_> = starting.limits().filter_map(|record| record.rate).collect();
    assert_eq!(rates, [RATE]);
}

// An answer that was on its way when the limit began seems to say that there is none.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let (zone, pool) = ("a".parse().unwrap(), "cover".parse().unwrap());
    let mut scheduler = PoolScheduler::new(host("h0"), zone, pool, 1);
    scheduler.apply_plan(Moment::ZERO, plan());
    scheduler.apply_upstreams(Moment::ZERO, &[record(0)]);
    let start = record(0).announcement.start();
    let mut see = |at_ms: u64, sent_ms: u64, reading| {
        let [now, sent_at] = [at_ms, sent_ms].map(|millis| Moment::from_micros(millis * 1_000));
        let sighting = LimitSighting { reading, sent_at, is_probe: false };
        scheduler.observe_limit(now, &start, sighting).map(|observed| observed.rate)
    };
    assert_eq!(see(2_000, 1_900, LimitReading::Named(RATE)), Some(Some(RATE)));
    assert_eq!(see(4_000, 1_950, LimitReading::Absent), None, "sent before it was named");
    assert_eq!(see(4_100, 4_000, LimitReading::Absent), Some(None), "sent after it was named");
}

// An answer of an upstream's former start came after its restart, and its next start was held to the
// limit of the former one.
#[test]
fn an_answer_of_an_earlier_start_names_no_limit_for_the_next() {
    let (zone, pool) = ("a".parse().unwrap(), "cover".parse().unwrap());
    let mut scheduler = PoolScheduler::new(host("h0"), zone, pool, 1);
    scheduler.apply_plan(Moment::ZERO, plan());
    let earlier = record(0).announcement.start();
    let mut restarted = record(0);
    restarted.announcement.incarnation = Incarnation(2);
    scheduler.apply_upstreams(Moment::ZERO, &[restarted]);
    let now = Moment::ZERO + SECOND;
    let reading = LimitReading::Named(RATE);
    let sighting = LimitSighting { reading, sent_at: Moment::ZERO, is_probe: false };
    assert_eq!(scheduler.observe_limit(now, &earlier, sighting), None);
    assert_eq!(scheduler.limited_upstreams(), 0);
}
