//! Tests of the connection book of one upstream.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::connection::{
    CheckoutChoice, ConnectionBook, ConnectionRules, LinkNumber, ReturnChoice, WorkSafety,
};
use quickcheck::{Gen, QuickCheck};

const fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1_000)
}

fn book(connections: u32, entries: u32) -> ConnectionBook {
    let mut book = ConnectionBook::new(ConnectionRules::default());
    book.set_share(connections, entries);
    book
}

fn open(book: &mut ConnectionBook, now: Moment) -> LinkNumber {
    match book.checkout(now, WorkSafety::Repeatable) {
        CheckoutChoice::Open(number) => number,
        other => panic!("nothing is idle, but {other:?}"),
    }
}

// Twenty-nine entries share the 300 connections of an upstream. Without shares, the upstream would
// refuse the last entries to connect. Each entry must keep to its share, also when entries join.
#[test]
fn an_entry_keeps_to_its_share() {
    let mut book = book(300, 29);
    let links: Vec<_> = (0..10).map(|_| open(&mut book, at(0))).collect();
    assert_eq!(book.checkout(at(0), WorkSafety::Repeatable), CheckoutChoice::Full);
    book.set_share(300, 60);
    let kept = links.iter().filter(|link| book.put_back(at(1), **link) == ReturnChoice::Keep);
    assert_eq!(kept.count(), 5);
    assert_eq!(book.open_links(), 5);
}

// A connection has gone silent, and its request exceeds its time limit. Idle connections that have
// not answered since that request was sent may be silent too. One that has answered is kept.
#[test]
fn connections_without_an_answer_since_the_request_are_retired() {
    let mut book = book(300, 1);
    let links: Vec<_> = (0..3).map(|_| open(&mut book, at(0))).collect();
    book.prove(at(50), links[1]);
    for link in &links[..2] {
        book.put_back(at(60), *link);
    }
    assert_eq!(book.suspect(at(20)), vec![links[0]]);
    let reused = book.checkout(at(70), WorkSafety::Repeatable);
    assert_eq!(reused, CheckoutChoice::Reuse(links[1]));
}

// A request that may be sent only once follows a period without traffic. A network device may have
// lost track of the idle connection meanwhile, and the outcome would stay unknown. The request must
// get a new connection, within the share.
#[test]
fn a_request_that_may_be_sent_once_gets_a_proven_connection() {
    let mut book = book(1, 1);
    let old = open(&mut book, at(0));
    book.put_back(at(1), old);
    assert_eq!(book.checkout(at(2), WorkSafety::Once), CheckoutChoice::Reuse(old));
    book.put_back(at(3), old);
    let choice = book.checkout(at(9_000), WorkSafety::Once);
    assert!(matches!(choice, CheckoutChoice::Replace { close, .. } if close == old), "{choice:?}");
    assert_eq!(book.open_links(), 1);
}

#[test]
fn idle_and_aged_connections_are_closed() {
    let mut book = book(300, 1);
    let (idle, aged) = (open(&mut book, at(0)), open(&mut book, at(0)));
    book.put_back(at(0), idle);
    assert_eq!(book.expire(at(29_999)), Vec::new());
    assert_eq!(book.expire(at(30_000)), vec![idle]);
    assert_eq!(book.put_back(at(600_000), aged), ReturnChoice::Close);
    assert_eq!(book.open_links(), 0);
}

// Random sequences of actions must never check out a connection twice, exceed the share or lose a
// connection from the book.
#[test]
fn no_connection_is_checked_out_twice() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut book = book(5, 1);
        let (mut held, mut now) = (Vec::new(), at(0));
        for (action, pick) in steps {
            now = now + Duration::from_millis(u64::from(pick) * 40);
            let place = usize::from(pick) % held.len().max(1);
            match action % 5 {
                0 | 1 => {
                    let safety =
                        if action > 128 { WorkSafety::Once } else { WorkSafety::Repeatable };
                    let got = match book.checkout(now, safety) {
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
                    book.put_back(now, held.swap_remove(place));
                }
                3 if !held.is_empty() => book.forget(held.swap_remove(place)),
                _ => {
                    book.suspect(now - Duration::from_secs(1));
                    book.expire(now);
                }
            }
            if book.open_links() > 5 || book.open_links() < held.len() {
                return false;
            }
        }
        true
    }
    let g = Gen::from_size_and_seed(200, 5);
    QuickCheck::new().rng(g).tests(300).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
