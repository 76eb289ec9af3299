//! Who of a host's requests with a suspected content runs.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{TrialAsk, TrialNumber, TrialVerdict};
use pulley_core::request::{ContentDecision, ContentTable, SuspectState, SuspectStates};

use crate::content_fleet::key;

const START: Moment = Moment::from_micros(1_000_000);

fn ask(number: u64) -> TrialAsk {
    TrialAsk { key: key(1), number: TrialNumber(number), lease: Duration::from_secs(1) }
}

fn everywhere(state: SuspectState) -> SuspectStates {
    SuspectStates { pools: Vec::new(), elsewhere: Some(state) }
}

fn suspecting() -> ContentTable {
    let mut table = ContentTable::default();
    table.apply(key(1).digest, everywhere(SuspectState::Suspect));
    table
}

// Requests of a pool of which no content is suspected must cost nothing and never wait.
#[test]
fn other_contents_run_at_once() {
    let mut table = suspecting();
    let other = TrialAsk { key: key(2), ..ask(1) };
    assert_eq!(table.decide(START, &other), ContentDecision::Run);
    assert!(table.take_asks().is_empty());
    assert!(table.has_suspects(key(1).digest.head()));
    assert!(!table.has_suspects(key(2).digest.head()));
}

// Two requests of one host with the same content would end two upstreams.
#[test]
fn one_request_of_a_host_runs_at_a_time() {
    let mut table = suspecting();
    assert!(matches!(table.decide(START, &ask(1)), ContentDecision::Wait(_)));
    table.begin_wait(key(1).digest);
    assert!(matches!(table.decide(START, &ask(2)), ContentDecision::Wait(_)));
    table.begin_wait(key(1).digest);
    assert_eq!(table.take_asks().len(), 1);
    table.receive(START, TrialNumber(1), TrialVerdict::Granted);
    assert_eq!(table.decide(START, &ask(3)), ContentDecision::Try(TrialNumber(1)));
    assert!(matches!(table.decide(START, &ask(4)), ContentDecision::Wait(_)));
    table.end_trial(key(1).digest, TrialNumber(1));
    assert!(matches!(table.decide(START, &ask(5)), ContentDecision::Wait(_)));
    assert_eq!(table.take_asks().len(), 1, "the next one asks");
}

// A caller that leaves while its host is granted a trial would keep all others waiting.
#[test]
fn a_trial_that_nobody_takes_is_given_back() {
    let mut table = suspecting();
    table.decide(START, &ask(1));
    table.begin_wait(key(1).digest);
    table.end_wait(key(1).digest);
    table.receive(START, TrialNumber(1), TrialVerdict::Granted);
    assert_eq!(table.take_unused(), [(key(1).digest, TrialNumber(1))]);

    table.decide(START, &ask(2));
    table.begin_wait(key(1).digest);
    table.receive(START, TrialNumber(2), TrialVerdict::Granted);
    table.end_wait(key(1).digest);
    assert_eq!(table.take_unused(), [(key(1).digest, TrialNumber(2))]);
}

// The control thread drops questions while its queue is full.
#[test]
fn an_unanswered_question_is_put_again() {
    let mut table = suspecting();
    table.decide(START, &ask(1));
    assert_eq!(table.take_asks().len(), 1);
    let later = START + Duration::from_secs(1);
    table.decide(later, &ask(2));
    assert_eq!(table.take_asks().len(), 1);
    // The answer to the first question is of no use any more.
    table.receive(later, TrialNumber(1), TrialVerdict::Granted);
    assert!(matches!(table.decide(later, &ask(3)), ContentDecision::Wait(_)));
}

// Callers of a quarantined content must be told at once, and truly when it may be tried.
#[test]
fn quarantined_content_is_refused_until_its_end() {
    let mut table = ContentTable::default();
    let until = START + Duration::from_secs(60);
    table.apply(key(1).digest, everywhere(SuspectState::Quarantined { until }));
    let left = Duration::from_secs(60);
    assert_eq!(table.decide(START, &ask(1)), ContentDecision::Refuse(left));
    assert!(matches!(table.decide(until, &ask(2)), ContentDecision::Wait(_)));
    table.apply(key(1).digest, SuspectStates::default());
    assert_eq!(table.decide(until, &ask(3)), ContentDecision::Run);
    assert_eq!(table.counts(), (0, 0));
}
