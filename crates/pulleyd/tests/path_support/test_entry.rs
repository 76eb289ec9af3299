//! A forwarder behind a listener, and callers that send requests to it.

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
use pulley_core::version::{
    KindPlan, MethodMatch, PoolTerms, RequestPriority, RouteTerms, WorkLength,
};
use pulley_core::{ConfigVersion, FastMap, PolicyPlan, PoolName};
use pulleyd::connection::{CallerListener, DrainReport};
use pulleyd::process::{HostReadiness, ProcessClock, RunningView, TimerService, ViewCell};
use pulleyd::request::{
    HeaderDialect, SchedulerSet, TrafficContext, TrafficLimits, TrustedCallers,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::{FakeLedger, FakeUpstream};

/// How long a test waits for an expected event; only a failing test waits that long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The response that a caller got.
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    /// The body, or `None` if it was cut short.
    pub(crate) body: Option<String>,
}

impl CallerAnswer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns status and verdict as one text to compare.
    pub(crate) fn summary(&self) -> String {
        format!("{} {}", self.status, self.header("jacinthpulley-verdict").unwrap_or("-"))
    }
}

/// An entry with a plan of two kinds: `/balance` is idempotent, `/refund` is not.
pub(crate) struct TestEntry {
    pub(crate) address: SocketAddr,
    pub(crate) context: Arc<TrafficContext>,
    pub(crate) ledger: Arc<FakeLedger>,
    shutdown: Option<oneshot::Sender<()>>,
    cut: Option<oneshot::Sender<()>>,
    serving: JoinHandle<DrainReport>,
}

pub(crate) struct EntryBuilder {
    deadline: Duration,
    slots: u32,
    limits: TrafficLimits,
    ledger: Arc<FakeLedger>,
    connections: u32,
    trusted: TrustedCallers,
    dialect: HeaderDialect,
    target: Option<Duration>,
}

impl EntryBuilder {
    pub(crate) fn new() -> Self {
        let (limits, ledger) = (TrafficLimits::default(), FakeLedger::new());
        let trusted = TrustedCallers::default();
        let deadline = Duration::from_secs(10);
        let (dialect, target) = (HeaderDialect::default(), None);
        Self { deadline, slots: 64, limits, ledger, connections: 300, trusted, dialect, target }
    }

    /// Sets the header names. In some dialects the status alone says whether a request has run.
    pub(crate) fn dialect(mut self, dialect: HeaderDialect) -> Self {
        self.dialect = dialect;
        self
    }

    /// Probes this many upstreams when a request arrives, and sets the target of responses.
    pub(crate) fn probing(mut self, probes: usize, target_ms: u64) -> Self {
        self.limits.arrival_probes = probes;
        self.target = Some(Duration::from_millis(target_ms));
        self
    }

    pub(crate) fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    pub(crate) fn trusting_loopback(mut self) -> Self {
        self.trusted.addresses.insert("127.0.0.1".parse().expect("an address"));
        self
    }

    pub(crate) fn deadline_ms(mut self, millis: u64) -> Self {
        self.deadline = Duration::from_millis(millis);
        self
    }

    pub(crate) fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    pub(crate) fn limits(mut self, change: impl FnOnce(&mut TrafficLimits)) -> Self {
        change(&mut self.limits);
        self
    }

    pub(crate) fn ledger(mut self, ledger: &Arc<FakeLedger>) -> Self {
        self.ledger = Arc::clone(ledger);
        self
    }

    pub(crate) async fn start(self, upstreams: &[&FakeUpstream]) -> TestEntry {
        let clock = ProcessClock::start();
        let view = ViewCell::default();
        view.store(self.running_view(upstreams));
        let (host, zone) = ("entry-1".parse(), "a".parse());
        let (host, zone) = (host.expect("a name"), zone.expect("a name"));
        let schedulers = SchedulerSet::new(host, zone, clock, 7).with_arrival_probes(1_000.0);
        let schedulers = Arc::new(schedulers);
        schedulers.apply_view(&view.load());
        let timer = TimerService::start(clock).expect("a thread");
        tokio::spawn(Arc::clone(&schedulers).run(timer.clone()));
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let control = self.ledger.handle();
        let context = TrafficContext::new(view, schedulers, control, clock, timer, logger);
        let context = Arc::new(
            context
                .with_limits(self.limits)
                .with_trusted_callers(self.trusted)
                .with_dialect(self.dialect),
        );
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = CallerListener::bind(any, Arc::clone(&context)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (shutdown, shutdown_asked) = oneshot::channel::<()>();
        let (cut, cut_asked) = oneshot::channel::<()>();
        let serving = tokio::spawn(listener.serve_until(
            async { shutdown_asked.await.unwrap_or(()) },
            TEST_TIMEOUT,
            async { cut_asked.await.unwrap_or(()) },
        ));
        let (shutdown, cut) = (Some(shutdown), Some(cut));
        TestEntry { address, context, ledger: self.ledger, shutdown, cut, serving }
    }

    fn running_view(&self, upstreams: &[&FakeUpstream]) -> RunningView {
        let pool: PoolName = "pool".parse().expect("a name");
        let kinds = vec![self.kind(&pool, "balance", true), self.kind(&pool, "refund", false)];
        let pools =
            vec![PoolTerms { pool: pool.clone(), probe_path: "/health".into(), warm_up: None }];
        let records: Vec<_> = upstreams
            .iter()
            .enumerate()
            .map(|(place, upstream)| self.record(&pool, place, upstream.address))
            .collect();
        let mut known = FastMap::default();
        known.insert(pool, records.into());
        RunningView {
            version: ConfigVersion::default(),
            awaited_version: None,
            plan: Arc::new(PolicyPlan { kinds, pools, ..PolicyPlan::default() }.into()),
            upstreams: known,
            readiness: HostReadiness::Ready,
            evacuated: Arc::default(),
            entries: Arc::default(),
            sharing_entries: 1,
        }
    }

    fn kind(&self, pool: &PoolName, name: &str, idempotent: bool) -> KindPlan {
        KindPlan {
            pool: pool.clone(),
            service: "shop".parse().expect("a name"),
            kind: name.parse().expect("a name"),
            method: MethodMatch::Any,
            path_prefix: format!("/{name}").into(),
            priority: RequestPriority(1),
            share: "50%".parse().expect("a share"),
            reserved_slots: SlotCount(0),
            deadline: self.deadline,
            idempotent,
            length: WorkLength::Short,
            probe_budget: ProbeRate(0),
            route: RouteTerms { target: self.target, ..RouteTerms::default() },
        }
    }

    fn record(&self, pool: &PoolName, place: usize, address: SocketAddr) -> UpstreamRecord {
        let announcement = Announcement {
            id: format!("u{place}").parse().expect("a name"),
            address,
            zone: "a".parse().expect("a name"),
            pool: pool.clone(),
            slots: SlotCount(self.slots),
            connections: self.connections,
            incarnation: Incarnation(1),
            sequence: UpstreamSequence(1),
            phase: UpstreamPhase::Ready,
        };
        UpstreamRecord { announcement, takes_work: true }
    }
}

impl TestEntry {
    pub(crate) async fn start(upstreams: &[&FakeUpstream]) -> Self {
        EntryBuilder::new().start(upstreams).await
    }

    /// Sends the first shutdown signal.
    pub(crate) fn shut_down(&mut self) {
        let sent = self.shutdown.take().map(|shutdown| shutdown.send(()));
        assert!(sent.is_some(), "the entry is still running");
    }

    /// Sends the second shutdown signal.
    pub(crate) fn cut_off(&mut self) {
        let sent = self.cut.take().map(|cut| cut.send(()));
        assert!(sent.is_some(), "the entry is still draining");
    }

    pub(crate) async fn wait_drained(self) -> DrainReport {
        let report = tokio::time::timeout(TEST_TIMEOUT, self.serving).await;
        report.expect("it ends").expect("no panic")
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> CallerAnswer {
        self.post_with(path, body, &[]).await
    }

    pub(crate) async fn post_with(
        &self,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> CallerAnswer {
        self.try_post(path, body, headers).await.expect("an answer")
    }

    /// Sends a POST request; `None` if the connection ended without the head of a response.
    pub(crate) async fn try_post(
        &self,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Option<CallerAnswer> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let mut request = Request::post(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("a request");
        let answered = tokio::time::timeout(TEST_TIMEOUT, client.request(request)).await;
        let (parts, body) = answered.expect("in time").ok()?.into_parts();
        let body = body.collect().await.ok().map(|body| body.to_bytes().to_vec());
        let body = body.map(|bytes| String::from_utf8(bytes).expect("text"));
        Some(CallerAnswer { status: parts.status.as_u16(), headers: parts.headers, body })
    }

    /// Opens a raw connection and writes bytes to it.
    pub(crate) async fn raw(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        stream.write_all(bytes.as_bytes()).await.expect("it reads");
        stream
    }

    /// Writes bytes on a new connection and reads until the entry closes it.
    pub(crate) async fn raw_answer(&self, bytes: &str) -> String {
        let mut stream = self.raw(bytes).await;
        let mut answer = Vec::new();
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
        // A reset after the response also ends the read; the bytes received before it are kept.
        let _ = read.expect("the entry closes the connection");
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Starts entries of one installation, each with the addresses at which it sees the upstreams.
pub(crate) async fn start_fleet(
    entries: Vec<(EntryBuilder, Vec<&FakeUpstream>)>,
) -> Vec<TestEntry> {
    let mut fleet = Vec::new();
    for (builder, upstreams) in entries {
        fleet.push(builder.start(&upstreams).await);
    }
    fleet
}

/// Waits until a condition holds.
pub(crate) async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let polls = TEST_TIMEOUT.as_millis() / 5;
    for _ in 0..polls {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("condition not met in time: {what}");
}
