//! Tests of the connection table of one upstream.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::connection::{
    CheckoutChoice, ConnectionNumber, ConnectionRules, ConnectionTable, RepeatSafety, ReturnChoice,
};
use quickcheck::{Gen, QuickCheck};

const fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1_000)
}

fn table(connections: u32, entries: u32) -> ConnectionTable {
    let mut table = ConnectionTable::new(ConnectionRules::default());
    table.set_share(connections, entries);
    table
}

fn open(table: &mut ConnectionTable, now: Moment) -> ConnectionNumber {
    match table.checkout(now, RepeatSafety::Repeatable) {
        CheckoutChoice::Open(number) => number,
        other => panic!("nothing is idle, but {other:?}"),
    }
}

// Twenty-nine entries share the 300 connections of an upstream. Without shares, the upstream would
// refuse the last entries to connect. Each entry must keep to its share, also when entries join.
#[test]
fn an_entry_keeps_to_its_share() {
    let mut table = table(300, 29);
    let links: Vec<_> = (0..10).map(|_| open(&mut table, at(0))).collect();
    assert_eq!(table.checkout(at(0), RepeatSafety::Repeatable), CheckoutChoice::Full);
    table.set_share(300, 60);
    let kept = links.iter().filter(|link| table.check_in(at(1), **link) == ReturnChoice::Keep);
    assert_eq!(kept.count(), 5);
    assert_eq!(table.open_connections(), 5);
}

// A connection has gone silent, and its request exceeds its time limit. Idle connections that have
// not answered since that request was sent may be silent too. One that has answered is kept.
#[test]
fn connections_without_an_answer_since_the_request_are_retired() {
    let mut table = table(300, 1);
    let links: Vec<_> = (0..3).map(|_| open(&mut table, at(0))).collect();
    table.mark_proven(at(50), links[1]);
    for link in &links[..2] {
        table.check_in(at(60), *link);
    }
    assert_eq!(table.retire_unproven(at(20)), vec![links[0]]);
    let reused = table.checkout(at(70), RepeatSafety::Repeatable);
    assert_eq!(reused, CheckoutChoice::Reuse(links[1]));
}

// A request that may be sent only once follows a period without traffic. A network device may have
// lost track of the idle connection meanwhile, and the outcome would stay unknown. The request must
// get a new connection, within the share.
#[test]
fn a_request_that_may_be_sent_once_gets_a_proven_connection() {
    let mut table = table(1, 1);
    let old = open(&mut table, at(0));
    table.check_in(at(1), old);
    assert_eq!(table.checkout(at(2), RepeatSafety::Once), CheckoutChoice::Reuse(old));
    table.check_in(at(3), old);
    let choice = table.checkout(at(9_000), RepeatSafety::Once);
    assert!(matches!(choice, CheckoutChoice::Replace { close, .. } if close == old), "{choice:?}");
    assert_eq!(table.open_connections(), 1);
}

#[test]
fn idle_and_aged_connections_are_closed() {
    let mut table = table(300, 1);
    let (idle, aged) = (open(&mut table, at(0)), open(&mut table, at(0)));
    table.check_in(at(0), idle);
    assert_eq!(table.expire(at(29_999)), Vec::new());
    assert_eq!(table.expire(at(30_000)), vec![idle]);
    assert_eq!(table.check_in(at(600_000), aged), ReturnChoice::Close);
    assert_eq!(table.open_connections(), 0);
}

// Random sequences of actions must never check out a connection twice, exceed the share or lose a
// connection from the table.
#[test]
fn no_connection_is_checked_out_twice() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut table = table(5, 1);
        let (mut held, mut now) = (Vec::new(), at(0));
        for (action, pick) in steps {
            now = now + Duration::from_millis(u64::from(pick) * 40);
            let place = usize::from(pick) % held.len().max(1);
            match action % 5 {
                0 | 1 => {
                    let safety =
                        if action > 128 { RepeatSafety::Once } else { RepeatSafety::Repeatable };
                    let got = match table.checkout(now, safety) {
                        CheckoutChoice::Reuse(number) | CheckoutChoice::Open(number) => number,
                        CheckoutChoice::Replace { open, .. } => open,
                        CheckoutChoice::Full if held.len() == 5 => continue,
                        CheckoutChoice::Full => return false,
                    };
                    if held.contains(&got) {
                        return false;
                    }
                    held.push(got);
                }
                2 if !held.is_empty() => {
                    table.check_in(now, held.swap_remove(place));
                }
                3 if !held.is_empty() => table.remove(held.swap_remove(place)),
                _ => {
                    table.retire_unproven(now - Duration::from_secs(1));
                    table.expire(now);
                }
            }
            if table.open_connections() > 5 || table.open_connections() < held.len() {
                return false;
            }
        }
        true
    }
    let g = Gen::from_size_and_seed(200, 5);
    QuickCheck::new().rng(g).tests(300).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

// Requests that follow each other while a spare is still being opened each opened another one.
#[test]
fn no_spare_is_opened_while_another_is_being_opened() {
    let mut table = table(300, 1);
    let first = open(&mut table, at(0));
    table.check_in(at(1), first);
    assert_eq!(table.checkout(at(2), RepeatSafety::Once), CheckoutChoice::Reuse(first));
    let spare = table.open_spare(at(2), 8).expect("none is idle");
    table.check_in(at(3), first);
    assert_eq!(table.checkout(at(4), RepeatSafety::Once), CheckoutChoice::Reuse(first));
    assert_eq!(table.open_spare(at(4), 8), None);
    // Once it is open and in use, or could not be opened, the next one may be.
    table.check_in(at(5), spare);
    assert_eq!(table.checkout(at(6), RepeatSafety::Once), CheckoutChoice::Reuse(spare));
    let other = table.open_spare(at(6), 8).expect("none is idle");
    table.remove(other);
    assert!(table.open_spare(at(7), 8).is_some());
}
