//! Upstreams whose answers never end: bodies, and interim responses before any answer.

mod path_support;

use std::time::{Duration, Instant};

use path_support::{EntryBuilder, FakeUpstream, TestEntry, read_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PIECE: usize = 16 << 10;

/// The deadline of the row, and how much longer a caller may be kept.
const DEADLINE_MS: u64 = 300;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
const LATE_END: Duration = Duration::from_millis(500);

/// Sends a head, and then a piece again and again until the connection breaks.
async fn flooding(head: &'static str, piece: Vec<u8>) -> FakeUpstream {
    FakeUpstream::scripted(move |mut stream, _, log| {
        let piece = piece.clone();
        async move {
            read_request(&mut stream, &log).await?;
            stream.write_all(head.as_bytes()).await.ok()?;
            loop {
                stream.write_all(&piece).await.ok()?;
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    })
    .await
}

fn chunk() -> Vec<u8> {
    [format!("{PIECE:x}\r\n").as_bytes(), &[b'a'; PIECE], b"\r\n"].concat()
}

// One such answer would take the room of all others on a small host's link until its caller leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_end_is_passed_on_no_longer_than_its_time() {
    let shapes = [
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", vec![b'a'; PIECE]),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", chunk()),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", vec![b'a'; PIECE]),
    ];
    for (head, piece) in shapes {
        let upstream = flooding(head, piece).await;
        let entry = EntryBuilder::new().deadline_ms(DEADLINE_MS).start(&[&upstream]).await;
        let began = Instant::now();
        let mut caller = entry.raw("GET /balance HTTP/1.1\r\nhost: shop.example\r\n\r\n").await;
        let mut got = Vec::new();
        let reading = tokio::time::timeout(Duration::from_secs(5), caller.read_to_end(&mut got));
        assert!(reading.await.is_ok(), "{head}: cut off");
        let took = began.elapsed();
        let limit = DEADLINE + LATE_END + Duration::from_millis(300);
        assert!(took >= DEADLINE && took < limit, "{head}: after {took:?}");
        assert!(got.len() > 4 * PIECE, "{head}: {} bytes are passed on in its time", got.len());
        assert!(!got.ends_with(b"0\r\n\r\n"), "{head}: the caller sees that it is not whole");
    }
}

// A long answer that ends in time, and one that ends a little late, are whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_ends_a_little_late_is_whole() {
    let upstream = FakeUpstream::scripted(|mut stream, _, log| async move {
        read_request(&mut stream, &log).await?;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nla").await.ok()?;
        tokio::time::sleep(DEADLINE + Duration::from_millis(100)).await;
        stream.write_all(b"te").await.ok()
    })
    .await;
    let entry = EntryBuilder::new().deadline_ms(DEADLINE_MS).start(&[&upstream]).await;
    assert_eq!(entry.post("/balance", "x").await.body.as_deref(), Some("late"));
}

// The attempt would be read to its deadline, and another is made only where the row allows a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interim_responses_without_end_give_way_to_another_attempt() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100).into_bytes();
    let faulty = flooding("", interim).await;
    let sound = FakeUpstream::healthy("sound").await;
    let entry = EntryBuilder::new().deadline_ms(3_000).start(&[&faulty, &sound]).await;
    for call in 0..4 {
        let began = Instant::now();
        let answer = entry.post(&format!("/balance?{call}"), "x").await;
        assert_eq!(answer.body.as_deref(), Some("sound"));
        let took = began.elapsed();
        assert!(took < Duration::from_millis(500), "after {took:?}");
    }
    assert!(faulty.runs() > 0, "the faulty one was asked");
}

// Upstreams may send a few interim responses before their answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_few_interim_responses_are_passed_over() {
    let upstream = FakeUpstream::answering(|_| {
        let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(4);
        format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound").into_bytes()
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    assert_eq!(entry.post("/balance", "x").await.body.as_deref(), Some("sound"));
}
