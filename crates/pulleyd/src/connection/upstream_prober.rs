//! Probes the load of upstreams for the coordinators on this host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use pulley_core::process::ProbeOutcome;
use pulley_core::request::LoadReport;
use pulley_core::{PoolName, UpstreamId};
use tokio::net::TcpStream;
use tokio::runtime::Handle;

use super::answer_head::check_head;
use super::{LinkMeter, MeteredStream, UpstreamConnections};
use crate::request::{LOAD_HEADER, read_load_report};

/// The path on which upstreams answer probes, unless their pool names another. The answer is empty,
/// and a header carries the load report.
pub(super) const PROBE_PATH: &str = "/load";

/// Timeout of a probe. A usual probe takes about 6 ms. Waiting longer than fifty times that would
/// only show that the upstream does not answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends probes on the traffic threads, so that they do not delay the control thread.
#[derive(Clone, Debug)]
pub struct UpstreamProber {
    threads: Handle,
    connections: Arc<UpstreamConnections>,
}

impl UpstreamProber {
    /// Creates a prober that runs on the threads of a runtime. The connections show whether this
    /// host's own path to upstreams is in doubt.
    #[must_use]
    pub fn new(threads: Handle, connections: Arc<UpstreamConnections>) -> Self {
        Self { threads, connections }
    }

    /// Probes an upstream and calls `report` with the outcome. A failure is not reported while this
    /// host doubts its own path: a coordinator's word takes work away from the upstream on all hosts.
    ///
    /// An upstream that rests or leaves gets no probe, and none is reported.
    ///
    /// Each probe uses its own connection, so that it does not wait behind a caller's request. A
    /// pooled connection that has gone silent would also make a live upstream look dead.
    pub fn probe(
        &self,
        (pool, upstream): (PoolName, UpstreamId),
        address: SocketAddr,
        report: impl FnOnce(ProbeOutcome) + Send + 'static,
    ) {
        let connections = Arc::clone(&self.connections);
        self.threads.spawn(async move {
            let Some(target) = connections.target(&pool, &upstream, address) else { return };
            if connections.send_block(&pool, &target).is_some() {
                return;
            }
            let began = Instant::now();
            let answered = tokio::time::timeout(PROBE_TIMEOUT, send_probe(address)).await;
            let answered = answered.ok().flatten();
            if let Some(parts) = &answered {
                let source = (&pool, &target.start);
                connections.observe_stops(source, parts.status, &parts.headers, None);
            }
            let outcome = match answered.as_ref().and_then(read_load) {
                Some(load) => ProbeOutcome::Answered { latency: began.elapsed(), report: load },
                None => ProbeOutcome::Failed,
            };
            if outcome != ProbeOutcome::Failed || !connections.doubts_own_path() {
                report(outcome);
            }
        });
    }
}

/// Sends one probe. Returns the head of the answer, or `None` if it failed or the answer is
/// malformed.
async fn send_probe(address: SocketAddr) -> Option<Parts> {
    let stream = TcpStream::connect(address).await.ok()?;
    let stream = MeteredStream::new(stream, LinkMeter::default(), usize::MAX);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::get(PROBE_PATH)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = sender.send_request(request).await.ok();
    driver.abort();
    let mut answer = answer?;
    check_head(&mut answer).ok()?;
    Some(answer.into_parts().0)
}

/// Reads the load report of an answer, if it has one. Returns `None` if the upstream has refused the
/// probe.
#[expect(clippy::option_option, reason = "a refused probe is no answer without a report")]
fn read_load(parts: &Parts) -> Option<Option<LoadReport>> {
    let is_answer = parts.status.is_success();
    is_answer.then(|| parts.headers.get(LOAD_HEADER).and_then(read_load_report))
}
