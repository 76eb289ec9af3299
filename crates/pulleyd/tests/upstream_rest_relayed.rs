//! Rest that upstreams ask for, and departures, where another host connects to them.

mod path_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use path_support::{ANSWER, CutFleet, FakeUpstream, all_of, eventually};
use pulley_core::process::{Incarnation, UpstreamStart};
use tokio::time::Instant;

const RESTING: &str = "HTTP/1.1 503 Service Unavailable\r\njacinthpulley-verdict: not-run\r\n\
    Retry-After: 2\r\nContent-Length: 0\r\n\r\n";

const LEAVING: &str = "HTTP/1.1 200 OK\r\njacinthpulley-draining: true\r\n\
    Content-Length: 0\r\n\r\n";

/// The rest asked for, less the half second in which a host may learn of it.
const KEPT_REST: Duration = Duration::from_millis(1_300);
const LEARNING_TIME: Duration = Duration::from_millis(500);

/// Starts a cut host and one that relays for it. Once the flag is set, the upstreams give `answer` to
/// everything.
async fn start(answer: &'static str) -> (CutFleet, Arc<AtomicBool>) {
    let is_set = Arc::new(AtomicBool::new(false));
    let upstreams = all_of(async || {
        let is_set = Arc::clone(&is_set);
        FakeUpstream::answering(move |_| {
            let answer = if is_set.load(Ordering::SeqCst) { answer } else { ANSWER };
            answer.as_bytes().to_vec()
        })
        .await
    });
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams.await).await;
    (cut, is_set)
}

fn arrivals(cut: &CutFleet) -> usize {
    cut.upstreams.iter().map(FakeUpstream::runs).sum()
}

/// Sends requests at one host until all upstreams have asked for rest, then at both while the rest
/// lasts. Returns the arrivals at the upstreams from half a second on.
async fn arrivals_in_rest(cut: &CutFleet, is_set: &AtomicBool, asking: usize) -> usize {
    let before = arrivals(cut);
    is_set.store(true, Ordering::SeqCst);
    let began = Instant::now();
    while arrivals(cut) < before + cut.upstreams.len() && began.elapsed() < LEARNING_TIME {
        cut.fleet[asking].post("/refund", "x").await;
    }
    tokio::time::sleep(LEARNING_TIME.saturating_sub(began.elapsed())).await;
    let told = arrivals(cut);
    assert!(told >= before + cut.upstreams.len(), "{told} after {before}");
    while began.elapsed() < KEPT_REST {
        for entry in &cut.fleet {
            let answer = entry.post("/refund", "x").await;
            let cause = answer.header("jacinthpulley-cause");
            assert_eq!(answer.summary(), "503 not-run", "{cause:?}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    arrivals(cut) - told
}

// The upstream speaks to the host whose address it sees, and that host passed the answer on without
// reading it. Both went on sending.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rest_asked_over_another_host_is_kept_by_both_hosts() {
    let (cut, is_set) = start(RESTING).await;
    assert_eq!(arrivals_in_rest(&cut, &is_set, 0).await, 0);
}

// The host that relays was asked for rest on its own connections, and went on passing on what the
// other one sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rest_asked_of_the_relaying_host_is_not_broken_by_the_other() {
    let (cut, is_set) = start(RESTING).await;
    assert_eq!(arrivals_in_rest(&cut, &is_set, 1).await, 0);
}

// A departure that was read in a relayed answer bound neither host at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_told_over_another_host_binds_at_once_and_is_told_to_all() {
    let (cut, is_set) = start(LEAVING).await;
    is_set.store(true, Ordering::SeqCst);
    let mut left = 0;
    for _ in 0..20 {
        left += usize::from(cut.cut().post("/refund", "x").await.status == 200);
    }
    assert!(left <= cut.upstreams.len(), "{left} requests were run at upstreams that leave");
    eventually("the control thread is told", || {
        cut.cut().ledger.drained.lock().len() == cut.upstreams.len()
    })
    .await;
    for index in 0..cut.upstreams.len() {
        let id = format!("u{index}").parse().expect("a name");
        let start = UpstreamStart { id, incarnation: Incarnation(1) };
        assert!(cut.cut().context.connections.gate().find(&start).departs);
    }
}
