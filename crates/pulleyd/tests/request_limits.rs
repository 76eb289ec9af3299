//! Request limits that upstreams name in their answers.

mod path_support;

use std::sync::atomic::Ordering;

use path_support::{FakeUpstream, TestEntry};

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
