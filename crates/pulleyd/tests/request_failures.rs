//! Responses to callers when an upstream fails at some stage of a request.

mod path_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use path_support::{
    EntryBuilder, FakeUpstream, TestEntry, eventually, read_request, refusing_upstream,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

// An upstream's process has ended and its lease has not yet expired. Connections to it are refused,
// so nothing was sent. The caller may be told so, and any request may be retried elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_connection_is_not_run_and_goes_elsewhere() {
    let gone = refusing_upstream().await;
    let entry = TestEntry::start(&[&gone]).await;
    let answer = entry.post("/refund", "x").await;
    assert_eq!(answer.summary(), "502 not-run");
    assert_eq!(answer.header("retry-after"), Some("1"));

    let other = FakeUpstream::healthy("other").await;
    let entry = TestEntry::start(&[&gone, &other]).await;
    for _ in 0..6 {
        assert_eq!(entry.post("/refund", "x").await.body.as_deref(), Some("other"));
    }
    assert_eq!(other.runs(), 6);
}

// Attempts that no upstream got used up the retry budget while several upstreams were gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_connections_use_up_no_retry_budget() {
    let mut upstreams = vec![FakeUpstream::healthy("other").await];
    for _ in 0..3 {
        upstreams.push(refusing_upstream().await);
    }
    let upstreams: Vec<&FakeUpstream> = upstreams.iter().collect();
    let entry = TestEntry::start(&upstreams).await;
    for call in 0..60 {
        let answer = entry.post("/balance", "x").await;
        assert_eq!(answer.status, 200, "request {call}: {:?}", answer.body);
    }
    let retries = entry.context.counters.retries.load(Ordering::SeqCst);
    assert_eq!(retries, 0);
}

/// Returns an address at which connections are neither accepted nor refused, as at a machine
/// without power. Its listen queue is full, and the operating system drops new connections.
async fn unresponsive_upstream() -> FakeUpstream {
    let mut upstream = FakeUpstream::healthy("never").await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    upstream.address = listener.local_addr().expect("bound");
    let address = upstream.address;
    let limit = Duration::from_millis(200);
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    Box::leak(Box::new((listener, queued)));
    upstream
}

// An upstream's machine is without power and its lease has not expired. Connecting inside an
// installation takes a few milliseconds. A request used to be held for a whole second at such a
// machine, which is longer than most callers wait. The quickest of several requests counts, because
// the test machine may be busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dark_machine_holds_a_request_for_a_moment_only() {
    let entry = TestEntry::start(&[&unresponsive_upstream().await]).await;
    let mut quickest = Duration::MAX;
    for _ in 0..3 {
        let began = Instant::now();
        let answer = entry.post("/refund", "x").await;
        assert_eq!(answer.summary(), "502 not-run");
        quickest = quickest.min(began.elapsed());
    }
    assert!(quickest < Duration::from_millis(800), "{quickest:?}");
}

// An upstream dies after it has read a request: before, in, or right after the head of its
// response. The caller of a refund must learn that it may have run, and the refund must not be
// resent. A balance lookup is answered by another upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reset_around_the_answers_head_may_have_run() {
    for bytes in ["", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"] {
        let breaking = FakeUpstream::breaking_after(bytes).await;
        let entry = TestEntry::start(&[&breaking]).await;
        let answer = entry.post("/refund", "x").await;
        assert_eq!(answer.summary(), "502 may-have-run", "after {bytes:?}");
        assert_eq!(breaking.runs(), 1, "after {bytes:?}");

        let other = FakeUpstream::healthy("other").await;
        let entry = TestEntry::start(&[&breaking, &other]).await;
        for _ in 0..4 {
            assert_eq!(entry.post("/balance", "x").await.body.as_deref(), Some("other"));
        }
    }
}

// An upstream dies in the middle of a loss file. A caller that took half of it for the whole
// would settle a claim on half a file, so its connection must end in an error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_cut_short_is_never_passed_on_as_whole() {
    let heads = [
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for head in heads {
        let breaking = FakeUpstream::breaking_after(head).await;
        let entry = TestEntry::start(&[&breaking]).await;
        // The head is lost as well if the upstream dies before the entry has forwarded it.
        if let Some(answer) = entry.try_post("/balance", "x", &[]).await {
            assert_eq!((answer.status, answer.body), (200, None), "{head:?}");
        }
        // A raw connection shows the bytes that the entry wrote. The entry must not complete the
        // cut-off body itself, neither by changing the length nor by adding a last chunk.
        let request = "POST /balance HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        let raw = entry.raw_answer(request).await;
        assert!(!raw.contains("\r\n0\r\n"), "{raw}");
        assert_eq!(entry.context.counters.cut_short.load(Ordering::Relaxed), 2);
        assert_eq!(entry.context.schedulers.running(), 0);
    }
}

// An upstream reads a request and never answers. The caller gets its answer at the deadline, not
// later, and the slot is free again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unanswered_request_ends_at_its_deadline() {
    let silent = FakeUpstream::silent().await;
    let entry = EntryBuilder::new().deadline_ms(150).start(&[&silent]).await;
    let answer = entry.post("/refund", "x").await;
    assert_eq!(answer.summary(), "504 may-have-run");
    assert_eq!(answer.header("retry-after"), Some("1"));
    let is_sent = |request: &&String| request.starts_with("POST /refund");
    assert_eq!(silent.log.requests.lock().iter().filter(is_sent).count(), 1);
    assert_eq!(entry.context.schedulers.running(), 0);
    eventually("the upstream's connection is closed", || silent.ended() >= 1).await;
}

// A device between the ends has lost the state of the pooled connections: what is sent over them is
// never answered, while new connections work. A lookup is answered over a new connection within its
// deadline, and afterwards no request uses the old ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_is_left_for_a_new_one() {
    let silent_below = Arc::new(AtomicUsize::new(0));
    let below = Arc::clone(&silent_below);
    let upstream = FakeUpstream::scripted(move |mut stream, number, log| {
        let below = Arc::clone(&below);
        async move {
            loop {
                read_request(&mut stream, &log).await?;
                if number >= below.load(Ordering::SeqCst) {
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                        .await
                        .ok()?;
                }
            }
        }
    })
    .await;
    let entry = EntryBuilder::new().deadline_ms(2_000).start(&[&upstream]).await;
    for _ in 0..4 {
        assert_eq!(entry.post("/balance", "x").await.status, 200);
    }
    silent_below.store(upstream.connections(), Ordering::SeqCst);
    let answer = entry.post("/balance", "x").await;
    assert_eq!(answer.body.as_deref(), Some("ok"));
    assert_eq!(entry.context.counters.retries.load(Ordering::Relaxed), 1);
    let before = upstream.runs();
    assert_eq!(entry.post("/refund", "x").await.status, 200);
    assert_eq!(upstream.runs(), before + 1);
}

// An upstream is delayed and answers after the request was retried elsewhere. The caller gets the
// other upstream's response, and only that one. The late one is discarded, because its
// connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_is_discarded() {
    // Of the connections that carried a request. A spare one may stay open.
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&closed);
    let late = FakeUpstream::scripted(move |mut stream, _, log| {
        let closed = Arc::clone(&counter);
        async move {
            read_request(&mut stream, &log).await?;
            tokio::time::sleep(Duration::from_millis(300)).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate").await;
            let mut rest = Vec::new();
            let ended = stream.read_to_end(&mut rest).await.ok().map(drop);
            closed.fetch_add(1, Ordering::SeqCst);
            ended
        }
    })
    .await;
    let other = FakeUpstream::healthy("other").await;
    let entry = EntryBuilder::new().deadline_ms(400).start(&[&late, &other]).await;
    let mut calls = Vec::new();
    for _ in 0..4 {
        calls.push(entry.post("/balance", "x").await.body);
    }
    assert!(late.runs() > 0, "the late upstream was asked");
    let expected = Some("other".to_owned());
    assert!(calls.iter().all(|body| *body == expected), "{calls:?}");
    let are_closed = || closed.load(Ordering::SeqCst) == late.runs();
    eventually("late connections are closed", are_closed).await;
}

// A faulty upstream writes two responses to one request. The second must not become the response to
// the next caller's request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_doubled_answer_reaches_nobody_else() {
    let upstream = FakeUpstream::answering(|request| {
        let id = request.rsplit("\r\n\r\n").next().unwrap_or_default().to_owned();
        let one = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        format!("{one}{one}").into_bytes()
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    for id in ["first", "second", "third", "fourth"] {
        let answer = entry.post("/refund", id).await;
        assert_eq!(answer.body.as_deref(), Some(id));
    }
}

// An upstream writes its response a byte at a time. It is streamed as it arrives, and completely.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_answer_arrives_whole() {
    let upstream = FakeUpstream::scripted(|mut stream, _, log| async move {
        read_request(&mut stream, &log).await?;
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow" {
            stream.write_all(&[*byte]).await.ok()?;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Some(())
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    assert_eq!(entry.post("/refund", "x").await.body.as_deref(), Some("slow"));
}

// An overloaded upstream sheds a request and says that it was not run. Even a refund may then be
// retried at another one; without another, the caller is told when to retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shed_request_goes_elsewhere_or_back() {
    const SHED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\njacinthpulley-verdict: not-run\r\n\
        Retry-After: 3\r\nContent-Length: 0\r\n\r\n";
    let shedding = FakeUpstream::answering(|_| SHED.to_vec()).await;
    let entry = TestEntry::start(&[&shedding]).await;
    let answer = entry.post("/refund", "x").await;
    assert_eq!(answer.summary(), "503 not-run");
    assert_eq!(answer.header("retry-after"), Some("3"));

    let other = FakeUpstream::healthy("other").await;
    let entry = TestEntry::start(&[&shedding, &other]).await;
    for _ in 0..4 {
        assert_eq!(entry.post("/refund", "x").await.body.as_deref(), Some("other"));
    }
}

// An upstream that drains says so in a response, before its announcement arrives. From then on it
// gets no new requests, and the other hosts are informed. Its malformed load report has no effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_in_an_answer_counts_at_once() {
    const LEAVING: &[u8] = b"HTTP/1.1 200 OK\r\njacinthpulley-draining: true\r\n\
        endpoint-load-metrics: TEXT cpu_utilization=much\r\nContent-Length: 0\r\n\r\n";
    let leaving = FakeUpstream::answering(|_| LEAVING.to_vec()).await;
    let other = FakeUpstream::healthy("other").await;
    let entry = TestEntry::start(&[&leaving, &other]).await;
    for _ in 0..20 {
        let answer = entry.post("/refund", "x").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("jacinthpulley-draining"), None);
    }
    assert_eq!(leaving.runs(), 1);
    eventually("the control side knows", || entry.ledger.drained.lock().len() == 1).await;
    assert_eq!(entry.context.counters.malformed_reports.load(Ordering::Relaxed), 1);
}

// A caller leaves while its request waits for a response, or in the middle of one. The slot is free
// again and the upstream sees its connection close, so it can stop working.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_slot_and_upstream() {
    let upstream = FakeUpstream::scripted(|mut stream, _, log| async move {
        let request = read_request(&mut stream, &log).await?;
        if request.contains("begin") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").await;
        }
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.ok().map(drop)
    })
    .await;
    let entry = EntryBuilder::new().slots(1).start(&[&upstream]).await;
    for path in ["/refund", "/refund/begin"] {
        let request = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        let before = upstream.runs();
        let mut callers = Vec::new();
        while entry.context.schedulers.waiting() == 0 {
            callers.push(entry.raw(&request).await);
            let arrived = || entry.context.counters.in_progress.load(Ordering::Relaxed);
            eventually("it has arrived", || arrived() == callers.len()).await;
            let placed = || entry.context.schedulers.running() + entry.context.schedulers.waiting();
            eventually("it runs or waits", || placed() == callers.len()).await;
        }
        let running = callers.len() - 1;
        eventually("the upstream has received them", || upstream.runs() == before + running).await;
        // The last caller waits for a slot and leaves.
        callers.pop();
        eventually("it has left", || entry.context.schedulers.waiting() == 0).await;
        callers.clear();
        eventually("the slots are free", || entry.context.schedulers.running() == 0).await;
        eventually("the upstream's connection is closed", || upstream.ended() >= before + running)
            .await;
        assert_eq!(
            upstream.runs(),
            before + running,
            "a request that left the queue must not be sent"
        );
    }
}

// An upstream closes its idle connections at any time, often just as the next request is sent. No
// refund may then be sent twice, and each caller learns whether its own may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_closed_at_the_wrong_moment_cause_no_second_send() {
    let upstream = FakeUpstream::scripted(|mut stream, number, log| async move {
        for _ in 0..=(number % 3) {
            read_request(&mut stream, &log).await?;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.ok()?;
        }
        tokio::time::sleep(Duration::from_micros(100 * (number as u64 % 7))).await;
        Some(())
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    let (mut ran, mut unsure) = (0, 0);
    for id in 0..200 {
        let answer = entry.post("/refund", &format!("id={id};")).await;
        match answer.summary().as_str() {
            "200 -" => ran += 1,
            "502 may-have-run" => unsure += 1,
            other => panic!("unexpected answer: {other}, {:?}", answer.body),
        }
    }
    let requests = upstream.log.requests.lock().clone();
    let sends = |id: usize| requests.iter().filter(|it| it.contains(&format!("id={id};"))).count();
    assert!((0..200).all(|id| sends(id) <= 1), "a refund was sent twice");
    assert!(requests.len() >= ran && requests.len() <= ran + unsure);
}
