//! Request limits that upstreams name in their answers.

mod path_support;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use path_support::{FakeUpstream, TestEntry};
use pulley_core::process::PermitAnswer;
use tokio::task::JoinHandle;

/// An answer that carries header lines.
fn answer_with(lines: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n\r\nok").into_bytes()
}

// A limit that is misread or missed shows in no figure, and the upstream in need is not relieved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn named_and_unreadable_limits_are_counted() {
    for (value, named, malformed) in [
        ("4.5", 1, 0),
        (" 0.25 ", 1, 0),
        ("300", 1, 0),
        ("", 0, 1),
        ("-1", 0, 1),
        ("NaN", 0, 1),
        ("inf", 0, 1),
        ("4.5 per second", 0, 1),
    ] {
        let line = format!("jacinthpulley-request-limit: {value}\r\n");
        let upstream = FakeUpstream::answering(move |_| answer_with(&line)).await;
        let entry = TestEntry::start(&[&upstream]).await;
        assert_eq!(entry.post("/balance", "x").await.status, 200);
        let counters = &entry.context.counters;
        let counted = [&counters.limits_named, &counters.malformed_limits]
            .map(|count| count.load(Ordering::Relaxed));
        assert_eq!(counted, [named, malformed], "{value:?}");
    }
}

/// Answers every question for permits with one permit, as if this host issued them.
fn grant_permits(entry: &TestEntry) -> JoinHandle<()> {
    let context = Arc::clone(&entry.context);
    tokio::spawn(async move {
        for number in (1..40).cycle() {
            let upstream = "u0".parse().expect("a name");
            let answer = PermitAnswer { upstream, number, permits: 1, retry_ms: 0 };
            context.schedulers.receive_permits(context.clock.now(), &answer);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
}

// Rejections, failures and another upstream's answers carry no limit; taken for its end, they lift
// one that is in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_success_without_a_limit_ends_it() {
    for (status, ends) in [
        ("421 Misdirected Request", false),
        ("503 Service Unavailable", false),
        ("500 Internal Server Error", false),
        ("200 OK", true),
    ] {
        let answers = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&answers);
        let upstream = FakeUpstream::answering(move |_| match counted.fetch_add(1, SeqCst) {
            0 => answer_with("jacinthpulley-request-limit: 0.5\r\n"),
            _ => format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes(),
        })
        .await;
        let entry = TestEntry::start(&[&upstream]).await;
        let pool = "pool".parse().expect("a name");
        assert_eq!(entry.post("/refund", "x").await.status, 200);
        assert!(entry.context.schedulers.permit_due(&pool).is_some(), "the limit is in force");
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        let granting = grant_permits(&entry);
        entry.post("/refund", "x").await;
        assert_eq!(answers.load(SeqCst), 2, "{status}");
        granting.abort();
        let _ = granting.await;
        assert_eq!(entry.context.schedulers.limited_upstreams(), usize::from(!ends), "{status}");
    }
}
