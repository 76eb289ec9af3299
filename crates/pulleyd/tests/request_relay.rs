//! Requests at a host that has lost its own path to upstreams, while other hosts reach them.

mod path_support;

use std::time::Duration;

use path_support::{EntryBuilder, FakeUpstream, TestEntry, start_fleet};
use tokio::net::TcpListener;

/// Upstreams in the pool.
const UPSTREAMS: usize = 4;

/// Time from the beginning of the cut until requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests counted, and the interval between them.
const COUNTED_REQUESTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// An upstream that reports its load and answers every request.
async fn reporting() -> FakeUpstream {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT \
        application_utilization=0.2, named_metrics.in_flight=1\r\nContent-Length: 2\r\n\r\nok";
    FakeUpstream::answering(|_| ANSWER.as_bytes().to_vec()).await
}

/// An address at which connections are refused.
async fn refusing() -> FakeUpstream {
    let upstream = FakeUpstream::silent().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    FakeUpstream { address, ..upstream }
}

async fn all_of(upstreams: impl AsyncFn() -> FakeUpstream) -> Vec<FakeUpstream> {
    let mut list = Vec::new();
    for _ in 0..UPSTREAMS {
        list.push(upstreams().await);
    }
    list
}

/// Sends requests for a while. Returns how many of the last [`COUNTED_REQUESTS`] were served at the
/// first attempt.
async fn count_served(entry: &TestEntry) -> usize {
    let began = tokio::time::Instant::now();
    while began.elapsed() < SETTLE_TIME {
        entry.post("/refund", "x").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut served = 0;
    for _ in 0..COUNTED_REQUESTS {
        served += usize::from(entry.post("/refund", "x").await.status == 200);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    served
}

/// Counts what callers of a host get that reaches no upstream, beside one that reaches all.
async fn count_served_while_cut(unreachable: &[FakeUpstream]) -> usize {
    let upstreams = all_of(reporting).await;
    let builder = || EntryBuilder::new().probing(3, 400).deadline_ms(1_000);
    let fleet = start_fleet(vec![
        (builder(), unreachable.iter().collect()),
        (builder(), upstreams.iter().collect()),
    ]);
    let fleet = fleet.await;
    assert_eq!(fleet[1].post("/refund", "x").await.status, 200, "the host beside it serves");
    count_served(&fleet[0]).await
}

// A host whose connections to all upstreams hang refused its callers as "pool-busy", though a host
// beside it reached every upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_hang_serves_its_callers_over_another_host() {
    let served = count_served_while_cut(&all_of(FakeUpstream::silent).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}

// The same, where new connections are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_are_refused_serves_its_callers_over_another_host() {
    let served = count_served_while_cut(&all_of(refusing).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}

// The same, where connections are reset as soon as they are used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_are_reset_serves_its_callers_over_another_host() {
    let resetting = || FakeUpstream::breaking_after("");
    let served = count_served_while_cut(&all_of(resetting).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}
