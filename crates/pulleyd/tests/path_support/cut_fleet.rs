//! A host that has lost its own path to upstreams, and one that relays for it.

use std::time::Duration;

use tokio::time::Instant;

use super::{EntryBuilder, FakeUpstream, TestEntry, start_fleet};

/// Upstreams in the pool.
const UPSTREAMS: usize = 4;

/// An answer that reports a load.
pub(crate) const ANSWER: &str = "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT \
    application_utilization=0.2, named_metrics.in_flight=1\r\nContent-Length: 2\r\n\r\nok";

/// An upstream that reports its load and answers every request.
pub(crate) async fn reporting() -> FakeUpstream {
    FakeUpstream::answering(|_| ANSWER.as_bytes().to_vec()).await
}

pub(crate) async fn all_of(upstreams: impl AsyncFn() -> FakeUpstream) -> Vec<FakeUpstream> {
    let mut list = Vec::new();
    for _ in 0..UPSTREAMS {
        list.push(upstreams().await);
    }
    list
}

/// A host that is cut off, and one that relays for it.
pub(crate) struct CutFleet {
    /// The host that is cut off, then the one that relays for it.
    pub(crate) fleet: Vec<TestEntry>,
    /// The upstreams as the cut host sees them, and as the other one does.
    pub(crate) unreachable: Vec<FakeUpstream>,
    pub(crate) upstreams: Vec<FakeUpstream>,
}

impl CutFleet {
    /// Starts both hosts, and waits until the cut one serves over the other.
    pub(crate) async fn start(
        unreachable: Vec<FakeUpstream>,
        upstreams: Vec<FakeUpstream>,
    ) -> Self {
        let builder = || EntryBuilder::new().probing(3, 1_000).deadline_ms(2_000);
        let fleet = start_fleet(vec![
            (builder(), unreachable.iter().collect()),
            (builder(), upstreams.iter().collect()),
        ]);
        let started = Self { fleet: fleet.await, unreachable, upstreams };
        let began = Instant::now();
        while started.cut().post("/balance", "warm").await.status != 200 {
            assert!(began.elapsed() < Duration::from_secs(10), "it never serves");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started
    }

    pub(crate) fn cut(&self) -> &TestEntry {
        &self.fleet[0]
    }

    pub(crate) fn relays(&self) -> usize {
        self.fleet[1].relays.open_connections()
    }

    /// Returns how often the upstreams got a request whose body holds a text.
    pub(crate) fn arrivals(&self, text: &str) -> usize {
        let logs = self.upstreams.iter().map(|upstream| upstream.log.requests.lock());
        logs.map(|log| log.iter().filter(|request| request.contains(text)).count()).sum()
    }
}
