//! How large answers leave room on a host's link.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::LinkPacer;

/// A link of 2.2 Mbit/s: 275,000 bytes a second.
const SLOW_KBPS: u32 = 2_200;

const KIB: u64 = 1_024;

const fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1_000)
}

/// Reads answers of so many bytes in turn, in pieces of 16 KiB; returns how long that takes.
fn read_all(pacer: &mut LinkPacer, answers: &[u64]) -> Duration {
    let mut read = vec![0; answers.len()];
    let (mut now, start) = (at(1_000), at(1_000));
    while read != answers {
        for (passed, whole) in read.iter_mut().zip(answers) {
            let piece = (whole - *passed).min(16 * KIB);
            now = pacer.note(now, *passed, piece).unwrap_or(now);
            *passed += piece;
        }
    }
    now.since(start)
}

// Two adjusters pull loss files of 128 KiB through one host while brokers ask for quotes. Read as
// fast as they come, the files fill the host's link for a second, and every quote waits behind them.
// Paced, both together take three quarters of the link, and the quotes go by the rest.
#[test]
fn large_answers_together_leave_a_quarter_of_the_link() {
    let mut pacer = LinkPacer::new(SLOW_KBPS);
    let took = read_all(&mut pacer, &[128 * KIB, 128 * KIB]);
    let paced = 2 * (128 - 16) * KIB;
    let rate = paced as f64 / took.as_secs_f64();
    assert!((195_000.0..=220_000.0).contains(&rate), "{rate:.0} bytes a second");
}

// Answers of a few kilobytes are what callers wait for: they are never paced, nor do they slow down
// a file beside them.
#[test]
fn small_answers_are_not_paced() {
    let mut pacer = LinkPacer::new(SLOW_KBPS);
    for _ in 0..1_000 {
        assert_eq!(pacer.note(at(1_000), 0, 4 * KIB), None);
        assert_eq!(pacer.note(at(1_000), 4 * KIB, 12 * KIB), None);
    }
    assert_eq!(pacer.note(at(1_000), 16 * KIB, KIB), None);
}

// On a link of 700 Mbit/s a loss file is there in two milliseconds. Waits for each of its pieces
// would take longer than the file.
#[test]
fn a_fast_link_is_not_held_back() {
    let mut pacer = LinkPacer::new(700_000);
    assert_eq!(read_all(&mut pacer, &[128 * KIB]), Duration::ZERO);
}

// A host stood still for a while between two files. The time in which nothing came is not saved up,
// or the next file would fill the link again.
#[test]
fn time_without_large_answers_is_not_saved_up() {
    let mut pacer = LinkPacer::new(SLOW_KBPS);
    assert!(pacer.note(at(0), 16 * KIB, 16 * KIB).is_some());
    let next = pacer.note(at(60_000), 16 * KIB, 16 * KIB).expect("paced");
    assert!(next.since(at(60_000)) > Duration::from_millis(60));
}
