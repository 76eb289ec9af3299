//! Single decisions of an entry.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::process::{
    HostId, OrganisationName, QuotaExchange, QuotaOutput, QuotaReport, QuotaVerdict,
};
use pulley_core::request::{QuotaDecision, QuotaTable};
use pulley_core::version::OrganisationTerms;
use pulley_core::{Moment, PolicyPlan};

use crate::quota_fleet::quota;

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1_000)
}

fn acme() -> OrganisationName {
    "acme".parse().unwrap()
}

fn verdict(number: u32, permits: u16, retry_ms: u16) -> QuotaVerdict {
    QuotaVerdict { organisation: acme(), number, permits, retry_ms, limited_ms: 2_000 }
}

// Guards against permits that count twice because a message was delivered twice.
#[test]
fn a_verdict_that_arrives_twice_counts_once() {
    let mut table = QuotaTable::default();
    table.limit(at(0), &[acme()], Duration::from_secs(2));
    let quota = quota(10.0, 10);
    assert!(matches!(table.admit(at(1), &acme(), quota, 4), QuotaDecision::Wait(_)));
    table.begin_wait(at(1), &acme());
    let report = table.take_reports().pop().unwrap();
    assert_eq!((report.used, report.wanted), (0, 1));
    table.receive(at(3), &verdict(report.number, 1, 0));
    table.receive(at(4), &verdict(report.number, 1, 0));
    table.end_wait(&acme());
    assert_eq!(table.admit(at(5), &acme(), quota, 4), QuotaDecision::Admit);
    assert!(matches!(table.admit(at(5), &acme(), quota, 4), QuotaDecision::Wait(_)));
}

// Guards against holding requests until their deadline although there is no room for them.
#[test]
fn requests_over_the_quota_are_refused_at_once_with_the_time_until_there_is_room() {
    let mut table = QuotaTable::default();
    table.limit(at(0), &[acme()], Duration::from_secs(2));
    let quota = quota(10.0, 10);
    table.begin_wait(at(1), &acme());
    let report = table.take_reports().pop().unwrap();
    table.receive(at(3), &verdict(report.number, 0, 400));
    table.end_wait(&acme());
    let left = Duration::from_millis(300);
    assert_eq!(table.admit(at(103), &acme(), quota, 4), QuotaDecision::OverQuota(left));
    assert!(matches!(table.admit(at(403), &acme(), quota, 4), QuotaDecision::Wait(_)));
}

// Guards against a quota that is used up by requests which no upstream ran.
#[test]
fn a_request_that_has_not_run_is_given_back() {
    let mut table = QuotaTable::default();
    let quota = quota(10.0, 10);
    assert_eq!(table.admit(at(0), &acme(), quota, 4), QuotaDecision::Admit);
    assert_eq!(table.take_reports()[0].used, 1);
    table.give_back(at(10), &acme());
    assert_eq!(table.take_reports()[0].used, -1);
}

// Guards against forgetting what a rush used before entries were told, and granting it again.
#[test]
fn what_a_rush_has_used_too_much_is_not_granted_again() {
    let (host, quota): (HostId, _) = ("r0".parse().unwrap(), quota(10.0, 10));
    let mut exchange = QuotaExchange::new(host.clone(), 10.0);
    let terms =
        OrganisationTerms { name: acme(), keys: Vec::new(), priority: None, quota: Some(quota) };
    let plan = PolicyPlan { organisations: vec![terms], ..PolicyPlan::default() };
    exchange.set_replicas(at(0), &[host]);
    exchange.set_plan(at(0), &Arc::new(plan));
    let report = |used, wanted| QuotaReport { organisation: acme(), used, wanted, number: 1 };
    exchange.report(at(10_000), vec![report(70, 0)]);
    for (millis, permits) in [(10_001, 0), (14_000, 0), (14_900, 0), (15_200, 1)] {
        exchange.take_outputs();
        exchange.report(at(millis), vec![report(0, 1)]);
        let verdicts = exchange.take_outputs();
        let QuotaOutput::Verdict(verdict) = verdicts.last().unwrap() else { panic!() };
        assert_eq!(verdict.permits, permits, "at {millis} ms");
    }
}

// Guards against messages that end the control thread.
#[test]
fn malformed_messages_are_dropped() {
    let sender: HostId = "e1".parse().unwrap();
    for length in 0..64 {
        for byte in [0, 1, 2, 3, 127, 255] {
            let mut exchange = QuotaExchange::new("r0".parse().unwrap(), 10.0);
            exchange.receive(at(0), &sender, &vec![byte; length]);
        }
    }
}
