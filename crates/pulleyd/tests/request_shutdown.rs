//! Requests in flight when the process shuts down, and requests to a full process.

mod path_support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use path_support::{EntryBuilder, FakeUpstream, TestEntry, eventually, read_request};
use pulleyd::connection::DrainReport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

/// An upstream that pauses before or in the middle of its response until it is released.
async fn held_upstream(released: watch::Receiver<bool>) -> FakeUpstream {
    FakeUpstream::scripted(move |mut stream, _, log| {
        let mut released = released.clone();
        async move {
            let request = read_request(&mut stream, &log).await?;
            let (before, after): (&[u8], &[u8]) = if request.contains("/balance/begun") {
                (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha", b"lf")
            } else {
                (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf")
            };
            stream.write_all(before).await.ok()?;
            released.wait_for(|released| *released).await.ok()?;
            stream.write_all(after).await.ok()?;
            stream.read_u8().await.ok().map(drop)
        }
    })
    .await
}

// The platform restarts a host. Requests that wait for a response, or are in the middle of one, are
// finished before the process ends. Idle connections are closed, and new ones are not accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_finishes_what_is_in_flight() {
    let (release, released) = watch::channel(false);
    let upstream = held_upstream(released).await;
    let mut entry = TestEntry::start(&[&upstream]).await;
    let mut idle = entry.raw("").await;
    let mut callers = Vec::new();
    for path in ["/balance/begun", "/balance/waiting", "/refund"] {
        let request = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        callers.push(entry.raw(&request).await);
    }
    eventually("all are sent", || upstream.runs() == 3).await;
    entry.shut_down();
    let mut rest = Vec::new();
    let _ = idle.read_to_end(&mut rest).await;
    assert!(tokio::net::TcpStream::connect(entry.address).await.is_err(), "it still accepts");
    release.send(true).expect("the upstream waits");
    for mut caller in callers {
        let mut got = String::new();
        caller.read_to_string(&mut got).await.expect("a whole answer");
        assert!(got.ends_with("half"), "{got}");
    }
    assert_eq!(entry.wait_drained().await, DrainReport { connections: 0, requests: 0 });
}

// A stream takes longer than the operator who stops the process will wait. A second signal ends it
// at once. The number of requests cut off is reported, so that the process can exit with a failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_cuts_requests_off_and_reports_them() {
    let (_release, released) = watch::channel(false);
    let upstream = held_upstream(released).await;
    let mut entry = TestEntry::start(&[&upstream]).await;
    let request = "POST /balance/begun HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    let mut caller = entry.raw(request).await;
    let mut head = [0_u8; 15];
    caller.read_exact(&mut head).await.expect("the answer begins");
    entry.shut_down();
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.cut_off();
    assert_eq!(entry.wait_drained().await, DrainReport { connections: 1, requests: 1 });
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest).await;
    assert!(!rest.ends_with(b"half"), "a cut answer must not look whole");
}

// More callers connect than the process has room for. Those beyond the limit are refused at once as
// not run, and the others are served as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_process_refuses_early_as_not_run() {
    let (release, released) = watch::channel(false);
    let upstream = held_upstream(released).await;
    let builder = EntryBuilder::new().limits(|limits| {
        limits.caller_connections = 8;
        limits.requests = 1;
    });
    let entry = builder.start(&[&upstream]).await;
    let request = "POST /balance/waiting HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    let mut first = entry.raw(request).await;
    eventually("it is sent", || upstream.runs() == 1).await;
    assert_eq!(entry.post("/refund", "x").await.summary(), "503 not-run");

    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(entry.raw("").await);
    }
    let open = || entry.context.counters.caller_connections.load(Ordering::Relaxed);
    eventually("the process is full", || open() >= 8).await;
    let refused = entry.raw_answer(request).await;
    let is_refused = refused.contains("jacinthpulley-verdict: not-run") || refused.is_empty();
    assert!(is_refused, "{refused}");
    assert!(entry.context.counters.callers_refused.load(Ordering::Relaxed) >= 1);
    release.send(true).expect("the upstream waits");
    let mut got = vec![0_u8; 15];
    first.read_exact(&mut got).await.expect("an answer");
    assert_eq!(got, b"HTTP/1.1 200 OK");
}
