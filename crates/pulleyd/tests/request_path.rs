//! Requests through the forwarder to a healthy upstream.

mod path_support;

use path_support::{FakeUpstream, TestEntry};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn carries_one_request_and_its_answer() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;

    let answer = entry.post("/refund?id=7", "abcd").await;

    assert_eq!(answer.summary(), "200 -");
    assert_eq!(answer.body.as_deref(), Some("done"));
    let request = upstream.last_request();
    assert!(request.starts_with("POST /refund?id=7 HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nabcd"), "{request}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uses_one_connection_for_requests_that_follow_each_other() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    for _ in 0..20 {
        assert_eq!(entry.post("/refund", "x").await.status, 200);
    }
    // One in use and at most one opened ahead of need.
    assert!(upstream.connections() <= 2, "{} connections", upstream.connections());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_as_not_run_when_no_upstream_is_known() {
    let entry = TestEntry::start(&[]).await;

    let answer = entry.post("/refund", "abcd").await;

    assert_eq!(answer.summary(), "503 not-run");
    assert_eq!(answer.header("retry-after"), Some("1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn passes_terms_on_and_believes_no_stranger() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let headers = [
        ("jacinthpulley-deadline-ms", "700"),
        ("jacinthpulley-attempt", "3"),
        ("jacinthpulley-priority", "0"),
        ("jacinthpulley-verdict", "ran"),
    ];

    entry.post_with("/balance", "", &headers).await;

    let request = upstream.last_request();
    let value = |name: &str| {
        let mut lines = request.lines();
        lines.find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let left: u64 = value("jacinthpulley-deadline-ms:").expect("passed on").parse().expect("ms");
    assert!((1..=700).contains(&left), "{left}");
    assert_eq!(value("jacinthpulley-attempt:").as_deref(), Some("0"));
    assert_eq!(value("jacinthpulley-priority:").as_deref(), Some("1"));
    assert_eq!(value("jacinthpulley-verdict:"), None);
}
