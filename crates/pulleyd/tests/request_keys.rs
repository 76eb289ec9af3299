//! Requests that must run at most once, with one ledger behind several entries.

mod path_support;

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use path_support::{EntryBuilder, FakeLedger, FakeUpstream, TestEntry, eventually, read_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const KEY: [(&str, &str); 1] = [("idempotency-key", "k-1")];

// A caller loses the response to its refund and resends it through another entry. It gets the
// recorded outcome. The refund is not run a second time, and another refund under the same key is
// rejected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_gets_the_recorded_outcome() {
    let upstream = FakeUpstream::healthy("refunded").await;
    let ledger = FakeLedger::new();
    let first = EntryBuilder::new().ledger(&ledger).start(&[&upstream]).await;
    let second = EntryBuilder::new().ledger(&ledger).start(&[&upstream]).await;

    assert_eq!(first.post_with("/refund", "7", &KEY).await.summary(), "200 -");
    eventually("it is recorded", || ledger.recorded.load(Ordering::SeqCst) == 1).await;
    let again = second.post_with("/refund", "7", &KEY).await;
    assert_eq!(again.summary(), "200 ran");
    assert_eq!(again.body.as_deref(), Some("refunded"));
    assert_eq!(second.post_with("/refund", "8", &KEY).await.summary(), "422 not-run");
    assert_eq!(upstream.runs(), 1);
}

// An upstream dies after it has read a refund, so nobody knows whether it ran. The caller that
// resends it must be told exactly that. If the refund was never sent, the key is free and a resend
// runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_stays_claimed_exactly_if_its_request_may_have_run() {
    let breaking = FakeUpstream::breaking_after("").await;
    let entry = TestEntry::start(&[&breaking]).await;
    assert_eq!(entry.post_with("/refund", "7", &KEY).await.summary(), "502 may-have-run");
    eventually("it is recorded", || {
        entry.context.counters.in_progress.load(Ordering::Relaxed) == 0
    })
    .await;
    assert_eq!(entry.post_with("/refund", "7", &KEY).await.summary(), "409 may-have-run");
    assert_eq!(breaking.runs(), 1);

    let ledger = FakeLedger::new();
    let alone = EntryBuilder::new().ledger(&ledger).start(&[]).await;
    assert_eq!(alone.post_with("/refund", "7", &KEY).await.summary(), "503 not-run");
    eventually("the key is free", || ledger.released.load(Ordering::SeqCst) == 1).await;
    let upstream = FakeUpstream::healthy("refunded").await;
    let entry = EntryBuilder::new().ledger(&ledger).start(&[&upstream]).await;
    assert_eq!(entry.post_with("/refund", "7", &KEY).await.summary(), "200 -");
}

// No quorum is available. A refund with a key is refused as not run; without its claim on disks a
// resend elsewhere could run it twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_nothing_with_a_key_is_sent() {
    let upstream = FakeUpstream::healthy("refunded").await;
    let entry = TestEntry::start(&[&upstream]).await;
    entry.ledger.is_unavailable.store(true, Ordering::SeqCst);
    let answer = entry.post_with("/refund", "7", &KEY).await;
    assert_eq!(answer.summary(), "503 not-run");
    assert_eq!(answer.header("retry-after"), Some("1"));
    assert_eq!(upstream.runs(), 0);
}

// A caller leaves while its refund runs. The refund is completed all the same, so that the resend
// gets its outcome instead of "may have run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_can_ask_again() {
    let upstream = FakeUpstream::scripted(|mut stream, _, log| async move {
        read_request(&mut stream, &log).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndone").await.ok()?;
        stream.read_u8().await.ok().map(drop)
    })
    .await;
    let entry = TestEntry::start(&[&upstream]).await;
    let request = "POST /refund HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k-1\r\n\
        Content-Length: 1\r\n\r\n7";
    let caller = entry.raw(request).await;
    eventually("it is running", || upstream.runs() == 1).await;
    drop(caller);
    let recorded = || entry.ledger.recorded.load(Ordering::SeqCst) == 1;
    eventually("it is carried to its end", recorded).await;
    let again = entry.post_with("/refund", "7", &KEY).await;
    assert_eq!(again.summary(), "201 ran");
    assert_eq!(again.body.as_deref(), Some("done"));
    assert_eq!(upstream.runs(), 1);
}

// Hundreds of refunds, each sent several times through three entries, to upstreams that reset, shed
// and lose responses. No refund runs twice, and each caller gets a verdict consistent with what the
// upstreams received.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_refund_runs_twice_through_several_entries() {
    const REFUNDS: usize = 300;
    let upstreams = [faulty_upstream().await, faulty_upstream().await];
    let ledger = FakeLedger::new();
    let mut entries = Vec::new();
    for _ in 0..3 {
        let builder = EntryBuilder::new().slots(512).ledger(&ledger);
        entries.push(builder.start(&[&upstreams[0], &upstreams[1]]).await);
    }
    let sends = (0..REFUNDS * 3).map(|send| {
        let (id, entry) = (send / 3, &entries[(send + send / 3) % 3]);
        async move {
            let (body, key) = (format!("id={id};"), format!("k-{id}"));
            let answer = entry.post_with("/refund", &body, &[("idempotency-key", &key)]).await;
            (id, answer.summary())
        }
    });
    let answers = futures::future::join_all(sends).await;

    let mut runs: HashMap<usize, usize> = HashMap::new();
    for upstream in &upstreams {
        let requests = upstream.log.requests.lock();
        for request in requests.iter().filter(|request| !request.starts_with("GET /health ")) {
            *runs.entry(refund_id(request).expect("an id")).or_default() += 1;
        }
    }
    assert!(runs.values().all(|runs| *runs == 1), "a refund ran twice");
    let mut verdicts: HashMap<usize, Vec<String>> = HashMap::new();
    for (id, summary) in answers {
        verdicts.entry(id).or_default().push(summary);
    }
    for (id, verdicts) in verdicts {
        check_verdicts(id, runs.contains_key(&id), &verdicts);
    }
}

/// Checks the answers to one refund's callers against whether it ran.
fn check_verdicts(id: usize, ran: bool, verdicts: &[String]) {
    let known = ["200 -", "200 ran", "409 may-have-run", "502 may-have-run"];
    for verdict in verdicts {
        assert!(known.contains(&verdict.as_str()) || verdict.ends_with(" not-run"), "{verdict}");
    }
    let says_ran = verdicts.iter().any(|verdict| verdict.starts_with("200"));
    assert!(ran || !says_ran, "refund {id} did not run: {verdicts:?}");
    let says_not = verdicts.iter().all(|verdict| verdict.ends_with(" not-run"));
    assert!(!(ran && says_not), "refund {id} ran: {verdicts:?}");
}

/// An upstream that resets, sheds or answers, depending on the refund's id.
async fn faulty_upstream() -> FakeUpstream {
    const SHED: &[u8] =
        b"HTTP/1.1 503 S\r\njacinthpulley-verdict: not-run\r\nContent-Length: 0\r\n\r\n";
    FakeUpstream::scripted(|mut stream, _, log| async move {
        loop {
            let request = read_request(&mut stream, &log).await?;
            let id = refund_id(&request)?;
            let answer: &[u8] = match id % 7 {
                1 => b"",
                2 => b"HTTP/1.1 2",
                3 if log.requests.lock().len() % 2 == 0 => {
                    log.requests.lock().retain(|seen| refund_id(seen) != Some(id));
                    SHED
                }
                _ => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            stream.write_all(answer).await.ok()?;
            if matches!(id % 7, 1 | 2) {
                return stream.set_zero_linger().ok();
            }
        }
    })
    .await
}

fn refund_id(request: &str) -> Option<usize> {
    let (_, rest) = request.split_once("id=")?;
    rest.split_once(';')?.0.parse().ok()
}
