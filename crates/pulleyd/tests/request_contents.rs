//! Requests whose contents end upstreams: what counts as the same content, and as an end.

mod path_support;

use std::time::Duration;

use path_support::{CallerAnswer, EntryBuilder, FakeLedger, FakeUpstream, TestEntry, eventually};
use pulley_core::process::StartEvidence;
use pulleyd::request::HeaderDialect;
use tokio::io::AsyncWriteExt;

/// A request that contains this ends its upstream.
const MARK: &str = "deadly";

/// The header that makes requests through several entries alike.
const HOST: (&str, &str) = ("host", "shop.example");

/// Upstreams that end on marked requests, and entries in front of them.
struct EndingPool {
    upstreams: Vec<FakeUpstream>,
    entries: Vec<TestEntry>,
}

impl EndingPool {
    async fn start(upstreams: usize, entries: usize) -> Self {
        Self::answering(upstreams, entries, "").await
    }

    /// Starts upstreams that write `bytes` of an answer before they end.
    async fn answering(upstreams: usize, entries: usize, bytes: &'static str) -> Self {
        let mut pool = Self { upstreams: Vec::new(), entries: Vec::new() };
        for _ in 0..upstreams {
            pool.upstreams.push(FakeUpstream::ending_on(MARK, bytes).await);
        }
        let ledger = FakeLedger::new();
        for _ in 0..entries {
            let upstreams: Vec<&FakeUpstream> = pool.upstreams.iter().collect();
            let builder = EntryBuilder::new().ledger(&ledger).deadline_ms(3_000);
            pool.entries.push(builder.start(&upstreams).await);
        }
        pool
    }

    /// Sends a request through an entry.
    async fn call(&self, entry: usize, path: &str, body: &str) -> CallerAnswer {
        self.entries[entry].post_with(path, body, &[HOST]).await
    }

    fn ends(&self) -> usize {
        let is_marked = |request: &String| request.contains(MARK);
        let has_ended =
            |upstream: &&FakeUpstream| upstream.log.requests.lock().iter().any(is_marked);
        self.upstreams.iter().filter(has_ended).count()
    }

    fn counts(&self) -> (usize, usize) {
        self.entries[0].context.quarantine.counts()
    }
}

// The caller repeats through another entry, and other callers send the same.
#[tokio::test]
async fn the_same_content_ends_three_upstreams_through_several_entries() {
    let pool = EndingPool::start(8, 3).await;
    for call in 0..6 {
        let answer = pool.call(call % 3, "/balance/deadly?a=1", "").await;
        assert_ne!(answer.status, 200);
    }
    assert_eq!((pool.ends(), pool.counts()), (3, (1, 1)));
    let answer = pool.call(1, "/balance/deadly?a=1", "").await;
    assert_eq!(answer.summary(), "503 not-run");
    assert_eq!(answer.header("jacinthpulley-cause"), Some("content-quarantined"));
    let retry_after = answer.header("retry-after").and_then(|text| text.parse::<u64>().ok());
    assert!(retry_after.is_some_and(|after| (55..=60).contains(&after)), "{retry_after:?}");
    assert_eq!(pool.call(0, "/balance/sound", "").await.status, 200);
}

// A refusal after an attempt that may have run would be resent as not run.
#[tokio::test]
async fn a_caller_whose_own_attempts_ended_upstreams_is_promised_nothing() {
    let pool = EndingPool::start(8, 1).await;
    let answer = pool.call(0, "/balance/deadly", "").await;
    assert_eq!(answer.summary(), "502 may-have-run");
    assert_eq!(answer.header("jacinthpulley-cause"), Some("content-quarantined"));
    assert_eq!(pool.ends(), 3);
}

// A request that must not be sent twice is not repeated by its host, and other callers send it too.
#[tokio::test]
async fn non_idempotent_and_keyed_requests_count_alike() {
    for headers in [&[HOST][..], &[HOST, ("idempotency-key", "k")][..]] {
        let pool = EndingPool::start(8, 2).await;
        for call in 0..6 {
            let key = format!("key-{call}");
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(name, value)| (*name, if *value == "k" { key.as_str() } else { *value }))
                .collect();
            pool.entries[call % 2].post_with("/refund", "deadly amount", &headers).await;
        }
        assert_eq!((pool.ends(), pool.counts()), (3, (1, 1)));
    }
}

// Requests that share a path, a prefix of the body or its length must not pay for each other.
#[tokio::test]
async fn contents_that_differ_are_kept_apart() {
    let pool = EndingPool::start(8, 1).await;
    pool.call(0, "/balance", "part-1 deadly").await;
    assert_eq!((pool.ends(), pool.counts()), (3, (1, 1)));
    for (path, body) in [
        ("/balance", "part-1 friend"),
        ("/balance", "part-1"),
        ("/balance", ""),
        ("/balance?b=2", "part-1 friend"),
        ("/refund", "part-1 friend"),
    ] {
        assert_eq!(pool.call(0, path, body).await.status, 200, "{path} {body}");
    }
    let other_host = pool.entries[0].post_with("/balance", "x", &[("host", "other")]).await;
    assert_eq!(other_host.status, 200);
}

// An upstream may end before it has read the whole body, which arrives in pieces.
#[tokio::test]
async fn a_body_that_its_upstream_never_read_whole_counts_as_a_whole() {
    let pool = EndingPool::start(8, 2).await;
    let head = "POST /refund HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 20\r\n\r\n";
    for entry in [0, 1, 0] {
        let mut caller = pool.entries[entry].raw(&format!("{head}deadly")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.write_all(b" and 12 more..").await.expect("it reads");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    eventually("quarantined", || pool.counts() == (1, 1)).await;
    let answer = pool.call(1, "/refund", "deadly and 12 more..").await;
    assert_eq!((answer.status, pool.ends()), (503, 3));
    assert_eq!(pool.call(0, "/refund", "different 12 more...").await.status, 200);
}

// The host has passed the head of the answer on by then, and only the caller repeats.
#[tokio::test]
async fn an_upstream_that_ends_amid_its_answer_counts() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nbeginning";
    let pool = EndingPool::answering(8, 2, answer).await;
    for call in 0..6 {
        pool.call(call % 2, "/balance/deadly", "").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!((pool.ends(), pool.counts()), (3, (1, 1)));
}

// The sockets of a process that ends close one after the other, and a check may come in between.
#[tokio::test]
async fn an_upstream_whose_listener_closes_last_has_ended_all_the_same() {
    let mut upstreams = Vec::new();
    for _ in 0..6 {
        upstreams.push(FakeUpstream::ending_after(MARK, "", Duration::from_millis(4)).await);
    }
    let entry = TestEntry::start(&upstreams.iter().collect::<Vec<_>>()).await;
    for _ in 0..4 {
        entry.post_with("/balance/deadly", "", &[HOST]).await;
    }
    let pool = EndingPool { upstreams, entries: vec![entry] };
    assert_eq!((pool.ends(), pool.counts()), (3, (1, 1)));
}

// A supervisor starts the process again within milliseconds, and no connection is refused.
#[tokio::test]
async fn an_upstream_that_is_started_again_at_once_has_ended() {
    let upstream = FakeUpstream::breaking_after("").await;
    let ledger = FakeLedger::new();
    let entry = EntryBuilder::new().ledger(&ledger).start(&[&upstream]).await;
    entry.post_with("/refund", "same", &[HOST]).await;
    assert_eq!(entry.context.quarantine.counts(), (1, 0), "suspected before it is decided");
    ledger.decide_runs(StartEvidence::LaterStart);
    assert_eq!(entry.context.quarantine.counts(), (1, 0));
    ledger.decide_runs(StartEvidence::Alive);
    assert_eq!(entry.context.quarantine.counts(), (1, 0), "an end is final");
}

// Three other requests ran in the upstream that ended, and are suspected with the one that ended it.
#[tokio::test]
async fn requests_beside_one_that_ends_their_upstream_are_served() {
    let pool = EndingPool::start(6, 2).await;
    let beside = |number: usize| {
        let pool = &pool;
        async move {
            let mut unserved = 0;
            for turn in 0..8 {
                let path = format!("/balance/beside-{number}");
                unserved +=
                    usize::from(pool.call((number + turn) % 2, &path, "").await.status != 200);
            }
            unserved
        }
    };
    let others = futures::future::join_all((0..8).map(beside));
    let deadly = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        pool.call(0, "/balance/deadly", "").await
    };
    let (unserved, deadly) = futures::future::join(others, deadly).await;
    assert_eq!(unserved.iter().sum::<usize>(), 0);
    assert_ne!(deadly.status, 200);
    eventually("only the one is left", || pool.counts() == (1, 1)).await;
}

// A reset, a spoilt answer, a failure and a refusal each come from an upstream that goes on.
#[tokio::test]
async fn what_is_not_an_end_suspects_nothing_once_the_upstream_is_heard_from() {
    let upstreams = [
        FakeUpstream::breaking_after("").await,
        FakeUpstream::breaking_after("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").await,
        FakeUpstream::breaking_after("no answer at all\r\n\r\n").await,
        FakeUpstream::answering(|_| b"HTTP/1.1 502 X\r\ncontent-length: 0\r\n\r\n".to_vec()).await,
        FakeUpstream::answering(|_| b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n".to_vec()).await,
    ];
    for (number, upstream) in upstreams.iter().enumerate() {
        let ledger = FakeLedger::new();
        let entry = EntryBuilder::new().ledger(&ledger).start(&[upstream]).await;
        for _ in 0..6 {
            entry.post_with("/balance/same", "", &[HOST]).await;
        }
        let is_broken = number < 3;
        // Its connections break before it has kept any, so that a later start can't be excluded.
        let suspects = (usize::from(is_broken), 0);
        eventually("breaks are checked", || entry.context.quarantine.counts() == suspects).await;
        ledger.decide_runs(StartEvidence::Alive);
        assert_eq!(entry.context.quarantine.counts(), (0, 0), "{number}");
        assert!(upstream.runs() >= 6, "{number}: {} runs", upstream.runs());
    }
}

// A host that knows few upstreams doubts its own path as soon as one of them is silent.
#[tokio::test]
async fn a_content_under_which_the_only_upstream_falls_silent_is_suspected() {
    let upstream = FakeUpstream::silent().await;
    let ledger = FakeLedger::new();
    let entry = EntryBuilder::new().ledger(&ledger).deadline_ms(200).start(&[&upstream]).await;
    assert_eq!(entry.post_with("/balance/same", "", &[HOST]).await.status, 504);
    eventually("it is suspected", || entry.context.quarantine.counts() == (1, 0)).await;
    ledger.decide_runs(StartEvidence::Alive);
    assert_eq!(entry.context.quarantine.counts(), (0, 0));
}

// An upstream resets one connection on purpose, or a middlebox does, and the others go on.
#[tokio::test]
async fn a_break_of_one_connection_of_several_suspects_nothing() {
    let upstream = FakeUpstream::breaking_on(MARK).await;
    let entry = TestEntry::start(&[&upstream]).await;
    let calls = (0..3).map(|number| {
        let path = format!("/balance/sound-{number}");
        let entry = &entry;
        async move { entry.post_with(&path, "", &[HOST]).await.status }
    });
    assert_eq!(futures::future::join_all(calls).await, [200; 3]);
    entry.post_with("/balance/deadly", "", &[HOST]).await;
    assert_eq!(entry.context.quarantine.counts(), (0, 0));
}

// A machine that stops leaves its other connections open, and they prove nothing.
#[tokio::test]
async fn a_break_beside_connections_that_fall_silent_is_suspected() {
    let upstream = FakeUpstream::falling_silent_on(MARK).await;
    let entry = TestEntry::start(&[&upstream]).await;
    let calls = (0..3).map(|number| {
        let path = format!("/balance/sound-{number}");
        let entry = &entry;
        async move { entry.post_with(&path, "", &[HOST]).await.status }
    });
    assert_eq!(futures::future::join_all(calls).await, [200; 3]);
    entry.post_with("/refund", MARK, &[HOST]).await;
    assert_eq!(entry.context.quarantine.counts(), (1, 0));
}

// Some callers read the status only, and 503 tells them that the request has not run.
#[tokio::test]
async fn callers_that_read_the_status_only_are_told_the_truth() {
    let upstreams = [
        FakeUpstream::ending_on(MARK, "").await,
        FakeUpstream::ending_on(MARK, "").await,
        FakeUpstream::ending_on(MARK, "").await,
        FakeUpstream::ending_on(MARK, "").await,
    ];
    let dialect = HeaderDialect { sends_system_headers: false, ..HeaderDialect::default() };
    let upstreams: Vec<&FakeUpstream> = upstreams.iter().collect();
    let entry = EntryBuilder::new().dialect(dialect).start(&upstreams).await;
    let statuses = [
        entry.post_with("/balance/deadly", "", &[HOST]).await.status,
        entry.post_with("/balance/deadly", "", &[HOST]).await.status,
    ];
    assert_eq!(statuses, [502, 503]);
}
