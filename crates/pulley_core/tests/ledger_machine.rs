//! Tests of the at-most-once ledger's state machine.

use std::time::Duration;

use bytes::Bytes;
use pulley_core::version::{
    ClaimAnswer, ClaimantId, FencingToken, KeyDigest, LedgerCommand, LedgerLimits, LedgerMachine,
    LedgerOutcome, LogIndex, LogTime, RecordedAnswer, RequestDigest,
};

const LIMITS: LedgerLimits = LedgerLimits {
    capacity: 3,
    retention: Duration::from_secs(60),
    answer_limit: 1_000,
    answer_budget: 1_500,
};

/// A ledger with its own log index and clock.
#[derive(Default)]
struct TestLedger {
    machine: LedgerMachine,
    index: u64,
    millis: u64,
}

impl TestLedger {
    fn apply(&mut self, command: &LedgerCommand) -> LedgerOutcome {
        self.index += 1;
        self.machine.apply(LogIndex(self.index), LogTime(self.millis), command)
    }

    fn claim(&mut self, key: &str, request: u8) -> ClaimAnswer {
        // A different claimant each time, unless a test uses `claim_as`.
        let claimant = ClaimantId(self.index + 1);
        self.claim_as(key, request, claimant)
    }

    fn claim_as(&mut self, key: &str, request: u8, claimant: ClaimantId) -> ClaimAnswer {
        let request = RequestDigest::of(&[request; 32]);
        let key = KeyDigest::of(key);
        let command = LedgerCommand::Claim { key, request, claimant, limits: LIMITS };
        match self.apply(&command) {
            LedgerOutcome::Claim(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn grant(&mut self, key: &str) -> FencingToken {
        match self.claim(key, 1) {
            ClaimAnswer::Granted(token) => token,
            other => panic!("{other:?}"),
        }
    }

    fn record(&mut self, key: &str, token: FencingToken, body: Option<usize>) -> LedgerOutcome {
        let answer = body.map(answer_of);
        let budget = LIMITS.answer_budget;
        self.apply(&LedgerCommand::Record { key: KeyDigest::of(key), token, answer, budget })
    }

    fn release(&mut self, key: &str, token: FencingToken) -> LedgerOutcome {
        self.apply(&LedgerCommand::Release { key: KeyDigest::of(key), token })
    }
}

fn answer_of(size: usize) -> RecordedAnswer {
    RecordedAnswer { status: 201, content_type: None, body: Some(Bytes::from(vec![7; size])) }
}

// A non-idempotent request is sent again after its answer was lost. Each resend must get the first
// answer, and the request must not run again.
#[test]
fn a_resend_gets_the_recorded_answer() {
    let mut ledger = TestLedger::default();
    let token = ledger.grant("binding");
    assert_eq!(ledger.claim("binding", 1), ClaimAnswer::MayHaveRun);
    assert_eq!(ledger.record("binding", token, Some(10)), LedgerOutcome::Done);
    assert_eq!(ledger.record("binding", token, None), LedgerOutcome::Done);
    assert_eq!(ledger.claim("binding", 1), ClaimAnswer::AlreadyRan(answer_of(10)));
}

// The entry that sent a request fails before the answer arrives, so its outcome is unknown. No
// resend may run the request; the caller must learn that it may have run.
#[test]
fn a_claim_without_outcome_may_have_run() {
    let mut ledger = TestLedger::default();
    let token = ledger.grant("refund");
    assert_eq!(ledger.claim("refund", 1), ClaimAnswer::MayHaveRun);
    assert_eq!(ledger.record("refund", token, None), LedgerOutcome::Done);
    assert_eq!(ledger.claim("refund", 1), ClaimAnswer::MayHaveRun);
    assert_eq!(ledger.release("refund", token), LedgerOutcome::StaleToken);
}

// A caller uses one key for two different requests. Answering the second with the outcome of the
// first would silently lose the second.
#[test]
fn one_key_for_two_requests_is_a_conflict() {
    let mut ledger = TestLedger::default();
    ledger.grant("refund");
    assert_eq!(ledger.claim("refund", 2), ClaimAnswer::Conflict);
}

// An entry was paused, its claim was released and another entry now holds the key. Late commands of
// the first entry must not change the second entry's claim.
#[test]
fn an_outdated_token_changes_nothing() {
    let mut ledger = TestLedger::default();
    let first = ledger.grant("refund");
    assert_eq!(ledger.release("refund", first), LedgerOutcome::Done);
    let second = ledger.grant("refund");
    assert!(second > first);
    assert_eq!(ledger.record("refund", first, Some(1)), LedgerOutcome::StaleToken);
    assert_eq!(ledger.release("refund", first), LedgerOutcome::StaleToken);
    assert_eq!(ledger.claim("refund", 1), ClaimAnswer::MayHaveRun);
}

// More claims arrive within the retention time than the ledger can hold. Evicting the oldest would
// let its request run twice, so new claims are refused as not run until the oldest have expired.
#[test]
fn a_full_ledger_refuses_new_claims_and_keeps_its_own() {
    let mut ledger = TestLedger::default();
    let tokens: Vec<FencingToken> = ["a", "b", "c"].map(|key| ledger.grant(key)).to_vec();
    assert_eq!(ledger.claim("d", 1), ClaimAnswer::Unavailable);
    assert_eq!(ledger.claim("a", 1), ClaimAnswer::MayHaveRun);
    ledger.release("b", tokens[1]);
    ledger.millis = 1_000;
    ledger.grant("b");
    assert_eq!(ledger.claim("d", 1), ClaimAnswer::Unavailable);
    // "a" and "c" expire; "b" was claimed again later and stays.
    ledger.millis = 60_000;
    ledger.grant("d");
    assert_eq!(ledger.claim("b", 1), ClaimAnswer::MayHaveRun);
    assert_eq!(ledger.machine.len(), 2);
}

// Large answer bodies must not exceed the replica's memory budget. Without its body, an answer
// still has to show that the request ran.
#[test]
fn answer_bodies_stay_within_their_budget() {
    let mut ledger = TestLedger::default();
    for key in ["a", "b"] {
        let token = ledger.grant(key);
        ledger.record(key, token, Some(1_000));
    }
    assert_eq!(ledger.machine.answer_bytes(), 1_000);
    let without = RecordedAnswer { body: None, ..answer_of(0) };
    assert_eq!(ledger.claim("b", 1), ClaimAnswer::AlreadyRan(without));
    ledger.millis = 60_000;
    ledger.grant("c");
    assert_eq!(ledger.machine.answer_bytes(), 0);
}

// The leader grants a claim and fails before its answer arrives, so the entry asks the next leader.
// If the answer were that the request may have run, the caller would have to investigate a request
// that was never sent. The grant is repeated only to the same claimant, and only until an outcome
// is known.
#[test]
fn a_claim_sent_again_by_its_claimant_is_granted_under_its_first_token() {
    let mut ledger = TestLedger::default();
    let first = ledger.claim_as("k", 1, ClaimantId(7));
    assert!(matches!(first, ClaimAnswer::Granted(_)));
    assert_eq!(ledger.claim_as("k", 1, ClaimantId(7)), first);
    assert_eq!(ledger.claim_as("k", 1, ClaimantId(8)), ClaimAnswer::MayHaveRun);
    assert_eq!(ledger.claim_as("k", 2, ClaimantId(7)), ClaimAnswer::Conflict);
    let ClaimAnswer::Granted(token) = first else { unreachable!() };
    ledger.record("k", token, None);
    assert_eq!(ledger.claim_as("k", 1, ClaimantId(7)), ClaimAnswer::MayHaveRun);
}
