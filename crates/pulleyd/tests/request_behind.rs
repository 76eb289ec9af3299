//! Requests at a host that knows of a newer configuration than it holds.

mod path_support;

use std::sync::Arc;
use std::time::Duration;

use path_support::{CallerAnswer, EntryBuilder, FakeUpstream, TestEntry};
use pulley_core::version::CallerLimits;
use pulley_core::{ConfigVersion, PolicyPlan};
use pulleyd::process::{HostReadiness, RunningView};
use pulleyd::request::HeaderDialect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Limit on header bytes in the plan. It is lower than a host's own limit of 32 KiB.
const PLAN_HEADER_BYTES: u64 = 1_024;
const PLAN_BODY_BYTES: u64 = 16;

fn set_awaited(entry: &TestEntry, version: Option<u64>) {
    let view = &entry.context.view;
    let awaited_version = version.map(ConfigVersion);
    view.store(RunningView { awaited_version, ..RunningView::clone(&view.load()) });
}

/// Narrows the limits of the version in force.
fn narrow_limits(entry: &TestEntry) {
    let view = &entry.context.view;
    let known = view.load();
    let limits = CallerLimits {
        header_bytes: PLAN_HEADER_BYTES,
        body_bytes: PLAN_BODY_BYTES,
        ..known.plan.limits
    };
    let plan = Arc::new(PolicyPlan { limits, ..PolicyPlan::clone(&known.plan) }.into());
    view.store(RunningView { plan, ..RunningView::clone(&known) });
}

fn summary(answer: &CallerAnswer) -> String {
    let cause = answer.header("jacinthpulley-cause").unwrap_or("-");
    format!("{} {cause}", answer.summary())
}

// Guards against a final 404 for a route that exists in a version accepted elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_behind_does_not_deny_a_path_that_a_newer_version_may_have() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    set_awaited(&entry, Some(8));
    let answer = entry.post("/ticket", "x").await;
    assert_eq!(summary(&answer), "503 not-run configuration-behind");
    assert_eq!(answer.header("retry-after"), Some("1"));
    assert_eq!(upstream.runs(), 0);
}

// Guards against telling callers to wait a second for a change that arrives sooner.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_behind_asks_callers_back_within_a_part_of_their_deadline() {
    let upstream = FakeUpstream::healthy("done").await;
    let dialect = HeaderDialect { sends_system_headers: false, ..HeaderDialect::default() };
    let entry = EntryBuilder::new().dialect(dialect).start(&[&upstream]).await;
    set_awaited(&entry, Some(8));
    let answer = entry.post("/ticket", "x").await;
    assert_eq!(answer.status, 503);
    let delay: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(delay > 0.0 && delay <= 0.33, "{delay} s of a deadline of 1 s");
}

// Guards against refusing requests whose rows the host knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_behind_serves_the_rows_that_it_knows() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    set_awaited(&entry, Some(8));
    assert_eq!(entry.post("/balance", "x").await.status, 200);
}

// Guards against callers retrying indefinitely for a path that no version has.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_the_newest_version_denies_what_it_lacks() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    for _ in 0..2 {
        let answer = entry.post("/ticket", "x").await;
        assert_eq!(summary(&answer), "404 not-run no-such-kind");
        assert_eq!(answer.header("retry-after"), None);
        set_awaited(&entry, Some(8));
        set_awaited(&entry, None);
    }
}

// Guards against a final 413 or 431 from limits that a newer version may have raised.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_behind_does_not_deny_by_limits_of_the_old_version() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    narrow_limits(&entry);
    let long = "x".repeat(2_000);
    let headers = [("x-long", long.as_str())];
    let large = entry.post("/balance", &long).await;
    assert_eq!(summary(&large), "413 not-run body-too-large");
    let wide = entry.post_with("/balance", "x", &headers).await;
    assert_eq!(summary(&wide), "431 not-run headers-too-large");
    set_awaited(&entry, Some(8));
    for answer in
        [entry.post("/balance", &long).await, entry.post_with("/balance", "x", &headers).await]
    {
        assert_eq!(summary(&answer), "503 not-run configuration-behind");
    }
    assert_eq!(upstream.runs(), 0);
}

// Guards against callers retrying a request that no version allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_behind_denies_what_no_version_can_allow() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = EntryBuilder::new()
        .limits(|limits| limits.header_bytes = PLAN_HEADER_BYTES)
        .start(&[&upstream])
        .await;
    set_awaited(&entry, Some(8));
    let long = "x".repeat(2_000);
    let wide = entry.post_with("/ticket", "x", &[("x-long", &long)]).await;
    assert_eq!(summary(&wide), "431 not-run headers-too-large");
    let ambiguous = "GET /ticket HTTP/1.1\r\nhost: a\r\nhost: b\r\nconnection: close\r\n\r\n";
    assert!(entry.raw_answer(ambiguous).await.starts_with("HTTP/1.1 400 "));
}

// Guards against refusals by a newly started host for a path that it will know a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_for_the_version_that_a_starting_host_awaits() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let view = entry.context.view.clone();
    let newest = view.load();
    let plan = Arc::default();
    view.store(RunningView {
        plan,
        awaited_version: Some(ConfigVersion(8)),
        ..RunningView::clone(&newest)
    });
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        view.store(RunningView::clone(&newest));
    });
    assert_eq!(entry.post("/balance", "x").await.status, 200);
}

// Guards against a final answer from a host that has no configuration at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_configuration_denies_nothing() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let view = &entry.context.view;
    let readiness = HostReadiness::NotReady { why: "starting".into() };
    view.store(RunningView { readiness, ..RunningView::default() });
    narrow_limits(&entry);
    let long = "x".repeat(2_000);
    let headers = [("x-long", long.as_str())];
    let ticket = entry.post("/ticket", "x").await;
    for answer in [ticket, entry.post_with("/balance", &long, &headers).await] {
        assert_eq!(summary(&answer), "503 not-run not-ready");
    }
}

// Guards against 431 answers for the rest of a connection because of limits that a later version
// has raised.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_held_to_the_limits_in_force_and_not_to_those_it_began_with() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let wide = entry.context.view.load();
    narrow_limits(&entry);
    let mut caller =
        entry.raw("POST /balance HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n").await;
    let mut answer = vec![0; 4_096];
    let read = caller.read(&mut answer).await.expect("an answer");
    assert!(answer[..read].starts_with(b"HTTP/1.1 200 "));
    entry.context.view.store(RunningView::clone(&wide));
    let long = "x".repeat(30_000);
    let head =
        format!("POST /balance HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\ncontent-length: 0\r\n\r\n");
    for part in head.as_bytes().chunks(4_096) {
        // Write errors are ignored: the answer read below shows whether the entry stopped reading.
        let _ = caller.write_all(part).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let read = caller.read(&mut answer).await.expect("an answer");
    let start = String::from_utf8_lossy(&answer[..read.min(40)]).into_owned();
    assert!(start.starts_with("HTTP/1.1 200 "), "{start}");
}
