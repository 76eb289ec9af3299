//! How messages are framed, and which are refused for their framing.

mod path_support;

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Version};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use path_support::{EntryBuilder, FakeUpstream, TestEntry, eventually, read_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LAST: &str = "Host: a\r\nConnection: close\r\n";

/// Sends one request to an upstream that gives every request the same raw answer. Returns the
/// answer that the caller got and the request that the upstream got.
async fn exchange(request: &str, answer: &'static str) -> (String, String) {
    let upstream = FakeUpstream::answering(move |_| answer.as_bytes().to_vec()).await;
    let entry = TestEntry::start(&[&upstream]).await;
    let got = entry.raw_answer(request).await;
    (got, upstream.last_request())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_a_body_keep_their_headers() {
    let head = format!("HEAD /balance HTTP/1.1\r\n{LAST}\r\n");
    let (got, _) = exchange(&head, "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n").await;
    assert!(got.to_ascii_lowercase().contains("content-length: 12345\r\n"), "{got}");
    assert!(got.ends_with("\r\n\r\n"), "{got}");

    let get = format!("GET /balance HTTP/1.1\r\n{LAST}\r\n");
    for status in ["204 No Content", "304 Not Modified"] {
        let answer: &'static str =
            Box::leak(format!("HTTP/1.1 {status}\r\nETag: \"7\"\r\n\r\n").into_boxed_str());
        let (got, _) = exchange(&get, answer).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status}\r\n")), "{got}");
        assert!(got.contains("etag: \"7\"\r\n"), "{got}");
        assert!(got.ends_with("\r\n\r\n"), "{got}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trailers_pass_both_ways_and_interim_answers_do_not() {
    let request = format!(
        "POST /refund HTTP/1.1\r\n{LAST}TE: trailers\r\nTrailer: x-sum\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx-sum: 6\r\n\r\n"
    );
    let answer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n\
        HTTP/1.1 200 OK\r\nTrailer: x-sum\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nok\r\n0\r\nx-sum: 7\r\n\r\n";
    let (got, sent) = exchange(&request, answer).await;
    assert!(got.starts_with("HTTP/1.1 200 OK\r\n"), "{got}");
    assert!(got.ends_with("2\r\nok\r\n0\r\nx-sum: 7\r\n\r\n"), "{got}");
    assert!(sent.contains("3\r\nabc\r\n0\r\nx-sum: 6\r\n\r\n"), "{sent}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hop_by_hop_headers_stay_on_their_hop() {
    let request = "POST /refund HTTP/1.1\r\nHost: a\r\nConnection: close, x-hop\r\nX-Hop: 1\r\n\
        Keep-Alive: timeout=5\r\nProxy-Authorization: p\r\nUpgrade: h2c\r\nX-End: 2\r\n\
        Content-Length: 0\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\nConnection: y-hop\r\nY-Hop: 1\r\nKeep-Alive: timeout=5\r\n\
        Y-End: 2\r\nContent-Length: 0\r\n\r\n";
    let (got, sent) = exchange(request, answer).await;
    let (got, sent) = (got.to_ascii_lowercase(), sent.to_ascii_lowercase());
    assert!(got.contains("y-end: 2") && sent.contains("x-end: 2"), "{got}\n{sent}");
    for hop in ["x-hop", "y-hop", "keep-alive", "proxy-authorization", "upgrade"] {
        assert!(!got.contains(hop) && !sent.contains(hop), "{hop}\n{got}\n{sent}");
    }
}

// A caller frames its request so that two readers disagree on where it ends, names two hosts, or
// writes a path that an upstream would normalize to another. It could smuggle a second request, or
// have a refund treated as a lookup and sent twice. No part of it may reach an upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_requests_reach_no_upstream() {
    let upstream = FakeUpstream::healthy("ok").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let refused = [
        "POST /refund HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /refund HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
        "POST /refund HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "POST /refund HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST /refund HTTP/1.1\r\nHost: a\r\nX-A: b\r\n folded: c\r\n\r\n",
        "POST /refund HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
        "POST /refund HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "GET /balance/../refund HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /balance/%2e%2E/refund HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /balance/..%2frefund HTTP/1.1\r\nHost: a\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
    ];
    for request in refused {
        let request = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        let got = entry.raw_answer(&request).await;
        assert!(got.starts_with("HTTP/1.1 400 "), "{request}\n{got}");
    }
    assert_eq!(upstream.runs(), 0);
    // If a request has both a length and chunks, the chunks determine where it ends. Bytes that
    // follow them on that connection are not run as a request.
    let both = "POST /refund HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\
        Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /refund?hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    entry.raw_answer(both).await;
    assert_eq!(upstream.runs(), 1);
    assert!(!upstream.last_request().to_ascii_lowercase().contains("content-length: 3"));
}

// A caller sends headers without end, or so slowly that it would hold its connection indefinitely.
// It gets an error or is disconnected; others are served meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_and_slow_headers_are_cut_off() {
    let upstream = FakeUpstream::healthy("ok").await;
    let limits = EntryBuilder::new().limits(|limits| {
        limits.header_bytes = 8 * 1024;
        limits.header_timeout = Duration::from_millis(200);
    });
    let entry = limits.start(&[&upstream]).await;
    let long = "x".repeat(9 * 1024);
    let got = entry.raw_answer(&format!("GET /balance HTTP/1.1\r\n{LAST}X: {long}\r\n\r\n")).await;
    assert!(got.starts_with("HTTP/1.1 431 "), "{got}");
    assert!(got.contains("jacinthpulley-verdict: not-run"), "{got}");

    let endless = "y".repeat(64 * 1024);
    let mut caller = entry.raw("GET /balance HTTP/1.1\r\nHost: a\r\nX: ").await;
    let _ = caller.write_all(endless.as_bytes()).await;
    let mut got = Vec::new();
    let _ = caller.read_to_end(&mut got).await;
    assert!(!String::from_utf8_lossy(&got).contains(" 200 "));

    for start in ["", "GET /balance HTTP/1.1\r\nHost:"] {
        assert!(!entry.raw_answer(start).await.contains(" 200 "));
    }
    assert_eq!(upstream.runs(), 0);
    assert_eq!(entry.post("/balance", "x").await.status, 200);
}

// A caller sends `Expect: 100-continue` before its body. It gets `100` only once there is an
// upstream for the request; a refused caller need not send the body at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn continue_is_sent_once_the_request_has_an_upstream() {
    let head = "POST /refund HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
        Expect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    let lonely = TestEntry::start(&[]).await;
    let got = lonely.raw_answer(head).await;
    assert!(got.starts_with("HTTP/1.1 503 "), "{got}");

    let upstream = FakeUpstream::healthy("ok").await;
    let entry = TestEntry::start(&[&upstream]).await;
    let mut caller = entry.raw(head).await;
    let mut interim = [0_u8; 25];
    caller.read_exact(&mut interim).await.expect("an interim answer");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(b"abcd").await.expect("it reads");
    let mut got = String::new();
    caller.read_to_string(&mut got).await.expect("an answer");
    assert!(got.starts_with("HTTP/1.1 200 OK\r\n"), "{got}");
    assert!(!upstream.last_request().to_ascii_lowercase().contains("expect"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_callers_share_one_connection() {
    let upstream = FakeUpstream::answering(|request| {
        let id = request.rsplit("\r\n\r\n").next().unwrap_or_default().to_owned();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).into_bytes()
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    let mut builder = Client::builder(TokioExecutor::new());
    let client: Client<_, Full<Bytes>> = builder.http2_only(true).build_http();
    let calls = (0..100).map(|id| {
        let request = Request::post(format!("http://{}/refund", entry.address))
            .body(Full::new(Bytes::from(id.to_string())))
            .expect("a request");
        let answered = client.request(request);
        async move {
            let response = answered.await.expect("an answer");
            assert_eq!(response.version(), Version::HTTP_2);
            let body = response.into_body().collect().await.expect("whole").to_bytes();
            assert_eq!(body, id.to_string());
        }
    });
    futures::future::join_all(calls).await;
    assert_eq!(upstream.runs(), 100);
}

// A caller reads slowly. The entry buffers only a bounded part of a long response, as the upstream
// is slowed down by back-pressure, and the response still arrives completely.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_reader_slows_down_its_upstream() {
    const LENGTH: usize = 64 * 1024 * 1024;
    let written = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = std::sync::Arc::clone(&written);
    let upstream = FakeUpstream::scripted(move |mut stream, _, log| {
        let count = std::sync::Arc::clone(&count);
        async move {
            read_request(&mut stream, &log).await?;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let block = vec![b'z'; 64 * 1024];
            for _ in 0..LENGTH / block.len() {
                stream.write_all(&block).await.ok()?;
                count.fetch_add(block.len(), std::sync::atomic::Ordering::SeqCst);
            }
            Some(())
        }
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    let request = format!("GET /balance HTTP/1.1\r\n{LAST}\r\n");
    let mut caller = entry.raw(&request).await;
    let now = || written.load(std::sync::atomic::Ordering::SeqCst);
    eventually("the answer begins", || now() > 0).await;
    let mut before = 0;
    while now() != before {
        before = now();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // The socket buffers of two connections hold a few megabytes on this system.
    assert!(before < LENGTH / 2, "{before} bytes were read from the upstream");
    let mut got = Vec::new();
    caller.read_to_end(&mut got).await.expect("the whole answer");
    assert_eq!(got.iter().filter(|byte| **byte == b'z').count(), LENGTH);
}
