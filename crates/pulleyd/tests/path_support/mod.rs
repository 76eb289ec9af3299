//! Small fakes around the forwarder: an upstream that answers as told, an entry, a caller.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use pulley_core::process::{
    Announcement, Incarnation, ProbeRate, SlotCount, UpstreamPhase, UpstreamRecord,
    UpstreamSequence,
};
use pulley_core::version::{KindPlan, MethodMatch, RequestPriority, WorkLength};
use pulley_core::{ConfigVersion, FastMap, PolicyPlan, PoolName};
use pulleyd::connection::CallerListener;
use pulleyd::process::{
    ControlHandle, ControlRequest, HostReadiness, ProcessClock, RunningView, TimerService, ViewCell,
};
use pulleyd::request::{SchedulerSet, TrafficContext};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// An upstream that reads one whole request with a length and answers with raw bytes.
pub(crate) struct FakeUpstream {
    address: SocketAddr,
}

impl FakeUpstream {
    pub(crate) async fn start(answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let answer = Arc::new(answer);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let answer = Arc::clone(&answer);
                tokio::spawn(async move {
                    while let Some(request) = read_request(&mut stream).await {
                        if stream.write_all(&answer(&request)).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Reads one request whose body has a content length.
pub(crate) async fn read_request(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut buffer = Vec::new();
    let mut chunk = [0_u8; 4096];
    loop {
        let text = String::from_utf8_lossy(&buffer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if body.len() >= length {
                return Some(text);
            }
        }
        let read = stream.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// What a caller got.
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl CallerAnswer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A forwarder behind a listener, with a plan of two kinds: `/balance` may run twice, `/refund`
/// may not.
pub(crate) struct TestEntry {
    pub(crate) address: SocketAddr,
    pub(crate) context: Arc<TrafficContext>,
    pub(crate) control: Option<mpsc::Receiver<ControlRequest>>,
    shutdown: Option<oneshot::Sender<()>>,
}

impl TestEntry {
    pub(crate) async fn start(upstreams: &[SocketAddr]) -> Self {
        let clock = ProcessClock::start();
        let view = ViewCell::default();
        view.store(running_view(upstreams));
        let host = "entry-1".parse().expect("a name");
        let zone = "a".parse().expect("a name");
        let schedulers = Arc::new(SchedulerSet::new(host, zone, clock, 7));
        schedulers.apply_view(&view.load());
        let (control, questions) = ControlHandle::channel(64);
        let timer = TimerService::start(clock).expect("a thread");
        tokio::spawn(Arc::clone(&schedulers).run(timer.clone()));
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let context =
            Arc::new(TrafficContext::new(view, schedulers, control, clock, timer, logger));
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = CallerListener::bind(any, Arc::clone(&context)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (shutdown, ended) = oneshot::channel::<()>();
        tokio::spawn(listener.serve(
            async {
                let _ = ended.await;
            },
            Duration::from_secs(5),
        ));
        Self { address, context, control: Some(questions), shutdown: Some(shutdown) }
    }

    pub(crate) fn shut_down(&mut self) {
        self.shutdown.take();
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> CallerAnswer {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::post(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let (parts, body) = client.request(request).await.expect("an answer").into_parts();
        let bytes = body.collect().await.expect("a whole body").to_bytes();
        let body = String::from_utf8(bytes.to_vec()).expect("text");
        CallerAnswer { status: parts.status.as_u16(), headers: parts.headers, body }
    }
}

fn running_view(upstreams: &[SocketAddr]) -> RunningView {
    let pool: PoolName = "pool".parse().expect("a name");
    let plan =
        PolicyPlan { kinds: vec![kind(&pool, "balance", true), kind(&pool, "refund", false)] };
    let records: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(place, address)| record(&pool, place, *address))
        .collect();
    let mut known = FastMap::default();
    known.insert(pool, records.into());
    RunningView {
        version: ConfigVersion::default(),
        plan: Arc::new(plan),
        upstreams: known,
        readiness: HostReadiness::Ready,
        live_entries: 1,
    }
}

fn kind(pool: &PoolName, name: &str, idempotent: bool) -> KindPlan {
    KindPlan {
        pool: pool.clone(),
        service: "shop".parse().expect("a name"),
        kind: name.parse().expect("a name"),
        method: MethodMatch::Any,
        path_prefix: format!("/{name}").into(),
        priority: RequestPriority(1),
        share: "50%".parse().expect("a share"),
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(5),
        idempotent,
        length: WorkLength::Short,
        probe_budget: ProbeRate(0),
    }
}

fn record(pool: &PoolName, place: usize, address: SocketAddr) -> UpstreamRecord {
    let announcement = Announcement {
        id: format!("u{place}").parse().expect("a name"),
        address,
        zone: "a".parse().expect("a name"),
        pool: pool.clone(),
        slots: SlotCount(64),
        connections: 300,
        incarnation: Incarnation(1),
        sequence: UpstreamSequence(1),
        phase: UpstreamPhase::Ready,
    };
    UpstreamRecord { announcement, takes_work: true }
}
