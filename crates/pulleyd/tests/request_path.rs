//! One request through the forwarder to a small fake upstream.

mod path_support;

use path_support::{FakeUpstream, TestEntry};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn carries_one_request_and_its_answer() {
    let upstream = FakeUpstream::start(|request| {
        let length = request.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        format!("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbytes={length}").into_bytes()
    })
    .await;
    let entry = TestEntry::start(&[upstream.address()]).await;

    let answer = entry.post("/refund", "abcd").await;

    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "bytes=4");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_as_not_run_when_no_upstream_is_known() {
    let entry = TestEntry::start(&[]).await;

    let answer = entry.post("/refund", "abcd").await;

    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("jacinthpulley-verdict"), Some("not-run"));
    assert_eq!(answer.header("retry-after"), Some("1"));
}
