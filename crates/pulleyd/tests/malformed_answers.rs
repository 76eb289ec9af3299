//! Upstreams whose answers are malformed. Callers get a complete answer of an upstream or none.

mod path_support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use path_support::{
    ANSWER, CutFleet, EntryBuilder, FakeUpstream, TestEntry, all_of, read_request,
    refusing_upstream, reporting,
};
use pulley_core::process::ProbeOutcome;
use pulleyd::connection::UpstreamProber;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// The body of the answers, plain and in chunks.
const BODY: &str = "whole";
const CHUNKS: &str = "5\r\nwhole\r\n0\r\n\r\n";

/// Malformed heads without the line that ends them.
const MALFORMED_HEADS: [&str; 6] = [
    "HTTP/1.1 000 OK\r\nContent-Length: 0",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nno field",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX A: a",
    "HTTP/1.1 200 OK\r\nContent-Length: 0x",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkex",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\nX-A: a",
];

/// Transfer codings that a host doesn't read. It asks for none but `chunked`.
const OTHER_CODINGS: [&str; 9] = [
    "Transfer-Encoding: chunkex",
    "Transfer-Encoding: ",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked;x",
];

/// Returns the blank and all control bytes, none of which the name of a field may hold.
fn blank_and_control_bytes() -> impl Iterator<Item = u8> {
    (0..=b' ').chain([0x7f])
}

/// Answers each request with raw bytes and closes the connection, which would end a body of unknown
/// length.
async fn closing_after(answer: impl Into<Vec<u8>>) -> FakeUpstream {
    let answer = Arc::new(answer.into());
    FakeUpstream::scripted(move |mut stream, _, log| {
        let answer = Arc::clone(&answer);
        async move {
            read_request(&mut stream, &log).await?;
            stream.write_all(&answer).await.ok()
        }
    })
    .await
}

/// Returns an answer with these lines in its head.
fn answer_with(lines: &[u8], body: &str) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\n", lines, b"\r\n\r\n", body.as_bytes()].concat()
}

/// Asserts that no caller gets an answer. A request that must not be repeated may have run, and
/// another upstream answers one that may be repeated.
async fn assert_refused(answer: &[u8]) {
    let shown = String::from_utf8_lossy(answer);
    let faulty = closing_after(answer).await;
    let entry = TestEntry::start(&[&faulty]).await;
    let got = entry.post("/refund", "x").await;
    assert_eq!(got.summary(), "502 may-have-run", "{shown:?}: {:?}", got.body);
    assert_eq!(faulty.runs(), 1, "{shown:?}");

    let sound = FakeUpstream::healthy("sound").await;
    let entry = TestEntry::start(&[&faulty, &sound]).await;
    for _ in 0..3 {
        let got = entry.post("/balance", "x").await;
        assert_eq!(got.body.as_deref(), Some("sound"), "{shown:?}");
    }
}

/// Asserts that a caller sees that the body of an answer is not whole.
async fn assert_cut_short(answer: &[u8]) {
    let shown = String::from_utf8_lossy(answer);
    let faulty = closing_after(answer).await;
    let entry = TestEntry::start(&[&faulty]).await;
    // The head is lost as well if the fault is found before the entry has forwarded it.
    if let Some(got) = entry.try_post("/refund", "x", &[]).await {
        assert_eq!((got.status, got.body), (200, None), "{shown:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_status_is_no_number_from_100_on_is_refused() {
    for status in ["000", "001", "099", "00", "0200", "2000", "20x", "-200", ""] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 5\r\n\r\n{BODY}");
        assert_refused(answer.as_bytes()).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_a_line_that_is_no_field_is_refused() {
    let length = &b"Content-Length: 5"[..];
    for line in [
        &b"nofield"[..],
        b"no field",
        b": no name",
        b" folded",
        b"\tfolded",
        b"Content-Length 5",
        b"\xff\xfe",
        b"\x01",
        b"X-A: a\rb",
        b"X-A: a\0b",
    ] {
        assert_refused(&answer_with(&[line, b"\r\n", length].concat(), BODY)).await;
        assert_refused(&answer_with(&[length, b"\r\n", line].concat(), BODY)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_a_blank_or_control_byte_in_a_field_name_is_refused() {
    for byte in blank_and_control_bytes() {
        for field in [&b"X-A: a\r\nContent-Length: 5"[..], b"Content-Length: 5"] {
            let middle = [&field[..2], &[byte], &field[2..]].concat();
            assert_refused(&answer_with(&middle, BODY)).await;
        }
        let end = [b"Transfer-Encoding", &[byte][..], b": chunked"].concat();
        assert_refused(&answer_with(&end, CHUNKS)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_before_a_malformed_trailer_does_not_look_complete() {
    let mut trailers = vec![b"nofield".to_vec(), b" folded".to_vec(), b"X-A: a\0b".to_vec()];
    trailers.extend(blank_and_control_bytes().map(|byte| [b"X-", &[byte][..], b"A: a"].concat()));
    for trailer in trailers {
        let body = [b"5\r\nwhole\r\n0\r\n", &trailer[..], b"\r\n\r\n"].concat();
        let head = b"HTTP/1.1 200 OK\r\nTrailer: x-a\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_cut_short(&[head, &body[..]].concat()).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_length_is_no_number_is_refused() {
    for length in ["", "5x", "x5", "+5", "-5", "5 5", "5;5", "5.0", "0x5", "5,", "5, 6"] {
        let line = format!("Content-Length: {length}");
        assert_refused(&answer_with(line.as_bytes(), BODY)).await;
    }
    let huge = format!("Content-Length: {}", "9".repeat(30));
    assert_refused(&answer_with(huge.as_bytes(), BODY)).await;
    assert_refused(&answer_with(b"Content-Length: 5\r\nContent-Length: 6", BODY)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_with_malformed_chunks_does_not_look_complete() {
    for body in [
        "5x\r\nwhole\r\n0\r\n\r\n",
        "\r\nwhole\r\n0\r\n\r\n",
        "4\r\nwhole\r\n0\r\n\r\n",
        "6\r\nwhole\r\n0\r\n\r\n",
        "5\nwhole\r\n0\r\n\r\n",
        "5\r\nwhole\r\n0\r\n",
        "5\r\nwhole\r\n",
    ] {
        assert_cut_short(&answer_with(b"Transfer-Encoding: chunked", body)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_answer_is_refused_over_another_host() {
    for head in MALFORMED_HEADS {
        let upstreams = all_of(async || {
            FakeUpstream::scripted(move |mut stream, _, log| async move {
                while !read_request(&mut stream, &log).await?.contains("file") {
                    stream.write_all(ANSWER.as_bytes()).await.ok()?;
                }
                stream.write_all(format!("{head}\r\n\r\n").as_bytes()).await.ok()
            })
            .await
        });
        let cut = CutFleet::start(all_of(refusing_upstream).await, upstreams.await).await;
        let got = cut.cut().post("/refund", "file").await;
        assert_eq!(got.summary(), "502 may-have-run", "{head}");
        assert_eq!(cut.arrivals("file"), 1, "{head}");
    }
}

// Guards against a coordinator's word for an upstream that has sent no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_answer_is_a_failed_probe() {
    for head in MALFORMED_HEADS {
        let faulty = closing_after(format!("{head}\r\n\r\n")).await;
        let entry = TestEntry::start(&[&faulty]).await;
        let connections = Arc::clone(&entry.context.connections);
        let prober = UpstreamProber::new(Handle::current(), connections);
        let (sender, outcome) = oneshot::channel();
        let target = ("pool".parse().expect("a name"), "u0".parse().expect("a name"));
        prober.probe(target, faulty.address, move |outcome| {
            let _ = sender.send(outcome);
        });
        assert_eq!(outcome.await.ok(), Some(ProbeOutcome::Failed), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_in_another_transfer_coding_is_refused() {
    for coding in OTHER_CODINGS {
        assert_refused(&answer_with(coding.as_bytes(), CHUNKS)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_a_length_beside_its_transfer_coding_is_refused() {
    for length in [3, 5, 9] {
        let lines = format!("Transfer-Encoding: chunked\r\nContent-Length: {length}");
        assert_refused(&answer_with(lines.as_bytes(), CHUNKS)).await;
        let lines = format!("Content-Length: {length}\r\nTransfer-Encoding: chunkex");
        assert_refused(&answer_with(lines.as_bytes(), BODY)).await;
    }
}

// Guards against a malformed answer that is recorded with a key and given to every repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_answer_is_not_recorded_with_a_key() {
    let faulty = closing_after(answer_with(OTHER_CODINGS[0].as_bytes(), CHUNKS)).await;
    let entry = TestEntry::start(&[&faulty]).await;
    let key = [("idempotency-key", "k")];
    assert_eq!(entry.post_with("/refund", "x", &key).await.summary(), "502 may-have-run");
    assert_eq!(entry.post_with("/refund", "x", &key).await.summary(), "409 may-have-run");
    assert_eq!(faulty.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_answer_is_refused_over_http2() {
    let faulty = closing_after(answer_with(OTHER_CODINGS[0].as_bytes(), CHUNKS)).await;
    let entry = TestEntry::start(&[&faulty]).await;
    let mut builder = Client::builder(TokioExecutor::new());
    let client: Client<_, Full<Bytes>> = builder.http2_only(true).build_http();
    let request = Request::post(format!("http://{}/refund", entry.address));
    let request = request.body(Full::default()).expect("a request");
    let response = client.request(request).await.expect("an answer");
    assert_eq!(response.status(), 502);
    let body = response.into_body().collect().await.expect("whole").to_bytes();
    assert!(!body.windows(BODY.len()).any(|part| part == BODY.as_bytes()), "{body:?}");
}

/// An upstream that reports to every probe that it is idle, in an answer in two transfer codings.
async fn malformed_reporting() -> FakeUpstream {
    FakeUpstream::answering(|request| {
        let head = ANSWER.replace("Content-Length: 2\r\n\r\nok", "");
        match request.starts_with("GET /") {
            true => format!("{head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n").into_bytes(),
            false => ANSWER.as_bytes().to_vec(),
        }
    })
    .await
}

// Guards against requests that are placed by a load that a malformed answer reports.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_answer_to_a_probe_is_no_reading() {
    let (malformed, busier) = (malformed_reporting().await, reporting().await);
    let builder = EntryBuilder::new().probing(2, 1_000);
    let entry = builder.start(&[&malformed, &busier]).await;
    for _ in 0..5 {
        assert_eq!(entry.post("/refund", "x").await.status, 200);
        // Waits until the last reading is stale, so that the next request probes again.
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let is_request = |request: &String| request.starts_with("POST");
    let count = |upstream: &FakeUpstream| {
        upstream.log.requests.lock().iter().filter(|request| is_request(request)).count()
    };
    assert_eq!((count(&malformed), count(&busier)), (0, 5));
    assert!(malformed.runs() > 0, "it was probed");
}

// Guards against a length that callers read in another way than this host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_body_and_with_a_malformed_length_is_refused() {
    for lines in ["Content-Length: 5x", "Content-Length: 5\r\nContent-Length: 6"] {
        for (method, status) in [("HEAD", "200 OK"), ("GET", "304 Not Modified")] {
            let answer = format!("HTTP/1.1 {status}\r\n{lines}\r\n\r\n");
            let faulty = closing_after(answer).await;
            let entry = TestEntry::start(&[&faulty]).await;
            let request =
                format!("{method} /refund HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            let got = entry.raw_answer(&request).await;
            assert!(got.starts_with("HTTP/1.1 502 "), "{method} {status} {lines}: {got}");
        }
    }
}

// Guards against a list of lengths in an answer, which some callers can't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_length_is_passed_on_once() {
    for lines in ["Content-Length: 5, 5", "Content-Length: 5\r\nContent-Length: 5"] {
        let upstream = closing_after(answer_with(lines.as_bytes(), BODY)).await;
        let entry = TestEntry::start(&[&upstream]).await;
        let request = "GET /balance HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let got = entry.raw_answer(request).await.to_ascii_lowercase();
        assert!(got.ends_with("\r\n\r\nwhole"), "{lines}: {got}");
        let lengths = got.lines().filter(|line| line.starts_with("content-length"));
        assert_eq!(lengths.collect::<Vec<_>>(), ["content-length: 5"], "{lines}");
    }
}

// Guards against chunks passed on as a body because the name of their field is misspelt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_length_on_a_connection_that_stays_open_is_refused() {
    for kept in ["Keep-Alive: timeout=5", "Connection: keep-alive", "Connection: x, Keep-Alive"] {
        let lines = format!("{kept}\r\nTransfer-Encodinh: chunked");
        assert_refused(&answer_with(lines.as_bytes(), CHUNKS)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_ends_with_its_connection_is_whole() {
    for lines in ["X-A: a", "Connection: close", "Connection: close\r\nKeep-Alive: timeout=5"] {
        let upstream = closing_after(answer_with(lines.as_bytes(), BODY)).await;
        let entry = TestEntry::start(&[&upstream]).await;
        assert_eq!(entry.post("/refund", "x").await.body.as_deref(), Some(BODY), "{lines}");
    }
}

// An answer that has no body needs no length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_body_may_leave_the_connection_open() {
    for (method, status) in
        [("HEAD", "200 OK"), ("GET", "204 No Content"), ("GET", "304 Not Modified")]
    {
        let answer = format!("HTTP/1.1 {status}\r\nKeep-Alive: timeout=5\r\n\r\n");
        let upstream = closing_after(answer).await;
        let entry = TestEntry::start(&[&upstream]).await;
        let request = format!("{method} /refund HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let got = entry.raw_answer(&request).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{method}: {got}");
    }
}

/// Returns copies of a line in which one byte is replaced, removed, or has another before it.
fn spoilt(line: &str) -> impl Iterator<Item = Vec<u8>> {
    const BYTES: &[u8] = b"\0\n ,:0x\xff";
    let line = line.as_bytes();
    (0..line.len()).flat_map(move |place| {
        let (before, after) = line.split_at(place);
        let changes = BYTES.iter().flat_map(move |byte| {
            [[before, &[*byte], &after[1..]].concat(), [before, &[*byte], after].concat()]
        });
        changes.chain([[before, &after[1..]].concat()])
    })
}

// Guards against a single wrong byte in the line that tells the length. Another number stays a length,
// and nothing tells that it is a wrong one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_spoilt_byte_in_the_line_of_the_length_makes_no_other_answer() {
    for (line, body) in
        [("Transfer-Encoding: chunked\r\n", CHUNKS), ("Content-Length: 5\r\n", BODY)]
    {
        for line in spoilt(line).filter(|line| line != b"Content-Length: 0\r\n") {
            let lines = [b"Keep-Alive: timeout=5\r\n", &line[..], b"X-A: a"].concat();
            let upstream = closing_after(answer_with(&lines, body)).await;
            let entry = TestEntry::start(&[&upstream]).await;
            let shown = String::from_utf8_lossy(&line);
            if let Some(got) = entry.try_post("/refund", "x", &[]).await {
                let is_failure = got.summary() == "502 may-have-run";
                let is_whole = got.body.as_deref().is_none_or(|got| got == BODY);
                assert!(is_failure || (got.status == 200 && is_whole), "{shown:?}: {:?}", got.body);
            }
        }
    }
}

// Guards against an empty answer in place of a body, as a 204 has none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_has_no_body_and_announces_one_is_refused() {
    for lines in ["Content-Length: 5", "Transfer-Encoding: chunked"] {
        let answer = format!("HTTP/1.1 204 No Content\r\n{lines}\r\n\r\n{CHUNKS}");
        assert_refused(answer.as_bytes()).await;
    }
    let empty = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    let entry = TestEntry::start(&[&closing_after(*empty).await]).await;
    assert_eq!(entry.post("/refund", "x").await.status, 204);
}

// Guards against callers that take the connection for another protocol's, or read no status.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_status_is_none_of_a_final_answer_is_refused() {
    for status in [101, 600, 700, 999] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 5\r\n\r\n{BODY}");
        assert_refused(answer.as_bytes()).await;
    }
    for status in [200, 299, 404, 451, 599] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 5\r\n\r\n{BODY}");
        let entry = TestEntry::start(&[&closing_after(answer).await]).await;
        let got = entry.post("/refund", "x").await;
        assert_eq!((got.status, got.body.as_deref()), (status, Some(BODY)));
    }
}

// Guards against part of a body that looks whole because the upstream speaks an older version, in which
// only the end of the connection ends a body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_cut_short_in_an_older_version_does_not_look_complete() {
    for head in ["HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n"] {
        let upstream = FakeUpstream::scripted(move |mut stream, _, log| async move {
            read_request(&mut stream, &log).await?;
            stream.write_all(format!("{head}half").as_bytes()).await.ok()?;
            // The entry has passed on the half by the time of the reset.
            tokio::time::sleep(Duration::from_millis(100)).await;
            stream.set_zero_linger().ok()
        })
        .await;
        let entry = TestEntry::start(&[&upstream]).await;
        let got = entry.post("/refund", "x").await;
        assert_eq!((got.status, got.body), (200, None), "{head}");
    }
}

// Guards against a head that a single line feed ends early, so that its other lines are the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_lines_end_in_two_ways_is_refused() {
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nX-A: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\n\nX-A: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nX-A: a\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A: a\r\n\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 5\r\nX-A: a\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 5\n\r\nX-A: a\n\n",
        "HTTP/1.1 103 Early\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nX-A: a\r\n\r\n",
    ] {
        assert_refused(format!("{head}{BODY}").as_bytes()).await;
    }
}

// Guards against line feeds in a body, or an answer before it, that are taken for those of a head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn line_feeds_outside_a_head_refuse_no_answer() {
    let upstream = FakeUpstream::answering(|request| {
        let body = "\r\none\ntwo\r\n\n";
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        match request.ends_with("feeds") {
            true => format!("{}{body}", head.replace("\r\n", "\n")).into_bytes(),
            false => format!("HTTP/1.1 103 Early\r\n\r\n{head}{body}").into_bytes(),
        }
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    for body in ["feeds", "both", "feeds", "feeds", "both"] {
        let got = entry.post("/refund", body).await;
        assert_eq!(got.body.as_deref(), Some("\r\none\ntwo\r\n\n"), "{body}");
    }
}
