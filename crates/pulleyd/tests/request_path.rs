//! Requests through the forwarder to a healthy upstream.

mod path_support;

use path_support::{EntryBuilder, FakeUpstream, TestEntry, eventually};

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
async fn forwards_terms_and_ignores_untrusted_callers() {
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
    let value = |name| sent_value(&request, name);
    let left: u64 = value("jacinthpulley-deadline-ms:").expect("passed on").parse().expect("ms");
    assert!((1..=700).contains(&left), "{left}");
    assert_eq!(value("jacinthpulley-attempt:").as_deref(), Some("0"));
    assert_eq!(value("jacinthpulley-priority:").as_deref(), Some("1"));
    assert_eq!(value("jacinthpulley-verdict:"), None);
}

fn sent_value(request: &str, name: &str) -> Option<String> {
    let mut lines = request.lines();
    lines.find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
}

// An upstream calls a further service through the system. The layer above it has already attempted
// the call and will retry it, so this layer does not: seven layers with three attempts each would
// turn one call into over two thousand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_one_layer_retries() {
    let breaking = FakeUpstream::breaking_after("").await;
    let entry = EntryBuilder::new().trusting_loopback().start(&[&breaking]).await;
    let headers = [("jacinthpulley-attempt", "1"), ("jacinthpulley-priority", "4")];
    let answer = entry.post_with("/balance", "", &headers).await;
    assert_eq!(answer.summary(), "502 may-have-run");
    assert_eq!(breaking.runs(), 1);
    let request = breaking.last_request();
    assert_eq!(sent_value(&request, "jacinthpulley-attempt:").as_deref(), Some("1"));
    assert_eq!(sent_value(&request, "jacinthpulley-priority:").as_deref(), Some("4"));
    let answer = entry.post_with("/balance", "", &[("jacinthpulley-attempt", "many")]).await;
    assert_eq!(answer.summary(), "400 not-run");
}

// An upstream allows few connections and has many slots. A burst stays within the allowed
// connections; a request that finds none free is answered as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_keeps_to_the_connections_allowed() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = EntryBuilder::new().connections(3).start(&[&upstream]).await;
    let calls = (0..60).map(|_| entry.post("/refund", "x"));
    let answers = futures::future::join_all(calls).await;
    let ran = answers.iter().filter(|answer| answer.summary() == "200 -").count();
    let refused = answers.iter().filter(|answer| answer.summary().ends_with(" not-run")).count();
    assert_eq!(ran + refused, 60);
    assert_eq!(upstream.runs(), ran);
    assert!(ran > 0 && entry.context.connections.open_connections() <= 3);
    let open = || upstream.connections() - upstream.ended();
    eventually("surplus connections are closed", || open() <= 3).await;
}
