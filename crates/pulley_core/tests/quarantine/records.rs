//! What hosts tell each other of contents: records that merge alike everywhere.

use std::net::SocketAddr;
use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    ContentDigest, ContentReport, ContentStanding, Incarnation, QUARANTINE_BODY_LIMIT,
    QuarantineExchange, QuarantineOutput, RunResult, SharedTime, UnansweredRun, UpstreamRegistry,
    UpstreamStart,
};
use quickcheck::quickcheck;

use crate::content_fleet::{digest, host_name, key};

fn ended(upstream: u8) -> ContentReport {
    let id = format!("u{upstream}").parse().unwrap();
    let start = UpstreamStart { id, incarnation: Incarnation(1) };
    ContentReport {
        key: key(1),
        row_pools: Vec::new(),
        began: Moment::ZERO,
        ended: Moment::ZERO,
        result: RunResult::Ended(start),
        trial: None,
    }
}

// A digest that is read back wrongly would let an operator clear another content.
#[test]
fn digests_are_read_back_from_their_text() {
    for byte in [0, 1, 127, 255] {
        let digest = digest(&[byte; 32]);
        assert_eq!(digest.to_string().parse(), Ok(digest));
    }
    for bad in ["", "xyz", "0123456789abcdef0123456789abcdef0"] {
        assert!(bad.parse::<ContentDigest>().is_err(), "{bad:?}");
    }
}

// Popular content meets every crash, and a record of all ends would fit no datagram.
#[test]
fn records_with_many_ends_fit_a_datagram() {
    let (now, time) = (Moment::ZERO, UpstreamRegistry::new().shared_time(Moment::ZERO));
    let mut exchange = QuarantineExchange::new(now, host_name(0));
    for number in 0..200_u8 {
        let id = format!("{number:064}").parse().unwrap();
        let start = UpstreamStart { id, incarnation: Incarnation(u64::MAX) };
        let result = RunResult::Ended(start);
        let row_pools = (0..4).map(|pool| format!("{pool:064}").parse().unwrap()).collect();
        exchange.report(
            now,
            time,
            ContentReport {
                key: key(1),
                row_pools,
                began: Moment::ZERO,
                ended: Moment::ZERO,
                result,
                trial: None,
            },
        );
    }
    let mut receiver = QuarantineExchange::new(now, host_name(1));
    receiver.receive(now, time, &host_name(0), b"\x01");
    exchange.receive(now, time, &host_name(1), b"\x01");
    for output in exchange.take_outputs() {
        if let QuarantineOutput::ToHost { body, .. } = output {
            assert!(body.len() <= QUARANTINE_BODY_LIMIT, "{} bytes", body.len());
            receiver.receive(now, time, &host_name(0), &body);
        }
    }
    assert_eq!(receiver.suspects().count(), 1);
}

fn at_ms(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn shared(millis: u64) -> SharedTime {
    UpstreamRegistry::new().shared_time(at_ms(millis))
}

/// Returns the report of a run without an answer, by the times in ms at which it began and ended.
fn silence(upstream: usize, began: u64, ended: u64) -> ContentReport {
    let id = format!("u{upstream}").parse().unwrap();
    let start = UpstreamStart { id, incarnation: Incarnation(1) };
    let address = SocketAddr::from(([10, 0, 1, 1], 80));
    let run = UnansweredRun { start, address, is_suspicious: true, was_proven: false };
    ContentReport {
        key: key(1),
        row_pools: Vec::new(),
        began: at_ms(began),
        ended: at_ms(ended),
        result: RunResult::Unanswered(run),
        trial: None,
    }
}

/// Returns how a content is treated after such runs.
fn standing_after(runs: &[(u64, u64)]) -> Option<ContentStanding> {
    let mut exchange = QuarantineExchange::new(Moment::ZERO, host_name(0));
    for (upstream, (began, ended)) in runs.iter().enumerate() {
        exchange.report(at_ms(*ended), shared(*ended), silence(upstream, *began, *ended));
    }
    exchange.suspects().next().and_then(|record| record.standing(&key(1).pool))
}

// A caller's repeat reaches a host that has not heard of its first attempts.
#[test]
fn runs_one_after_the_other_count_apart() {
    let standing = standing_after(&[(1_000, 1_400), (1_200, 1_400), (1_430, 1_830)]);
    assert!(matches!(standing, Some(ContentStanding::Held { .. })), "{standing:?}");
}

// A host short of processor time reports its runs late, after the caller's repeat has begun.
#[test]
fn late_reports_of_runs_count_from_when_they_were_given_up() {
    let mut exchange = QuarantineExchange::new(Moment::ZERO, host_name(0));
    for (upstream, (began, ended)) in
        [(1_000, 1_400), (1_200, 1_400), (1_430, 1_830)].into_iter().enumerate()
    {
        exchange.report(at_ms(ended + 90), shared(ended + 90), silence(upstream, began, ended));
    }
    let standing = exchange.suspects().next().and_then(|known| known.standing(&key(1).pool));
    assert!(matches!(standing, Some(ContentStanding::Held { .. })), "{standing:?}");
}

// A rack without power leaves all runs of popular content there without an answer.
#[test]
fn runs_beside_each_other_do_not_hold_a_content() {
    let runs: Vec<(u64, u64)> = (0..8).map(|n| (1_000 + 40 * n, 1_400 + 40 * n)).collect();
    assert_eq!(standing_after(&runs), Some(ContentStanding::Suspect));
}

quickcheck! {
    // Hosts that hear of ends in another order would treat the same content differently.
    fn the_order_of_reports_does_not_matter(upstreams: Vec<u8>) -> bool {
        let now = Moment::ZERO + Duration::from_secs(1);
        let time = UpstreamRegistry::new().shared_time(now);
        let standing = |reports: &mut dyn Iterator<Item = &u8>| {
            let mut exchange = QuarantineExchange::new(now, host_name(0));
            reports.for_each(|upstream| exchange.report(now, time, ended(*upstream)));
            exchange.suspects().cloned().collect::<Vec<_>>()
        };
        standing(&mut upstreams.iter()) == standing(&mut upstreams.iter().rev())
    }

    // A message of another host must not end this one, whatever its bytes.
    fn any_bytes_are_survived(body: Vec<u8>) -> bool {
        let (now, time) = (Moment::ZERO, UpstreamRegistry::new().shared_time(Moment::ZERO));
        let mut exchange = QuarantineExchange::new(now, host_name(0));
        exchange.receive(now, time, &host_name(1), &body);
        true
    }
}
