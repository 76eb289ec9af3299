//! Stand-in upstreams that announce themselves and record the requests they run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use rand::Rng;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::request_history::{RequestHistory, answer_body};
use crate::{FaultProxy, HostCuts, ProxyMode};

/// How often an upstream announces itself.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for the acknowledgement of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Range of the time that an upstream takes to run a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 2..40;

/// The same for the requests that take long, of which there is one in so many, where some do.
const LONG_WORK_MS: std::ops::Range<u64> = 100..3_000;
const LONG_WORK_INTERVAL: u32 = 6;

/// Sizes in bytes of the answers to short and to long requests.
const SHORT_ANSWER: usize = 200;
const LONG_ANSWER: usize = 200_000;

/// Tells of upstreams that requests end.
pub(crate) type EndingSender = UnboundedSender<(usize, EndingWay)>;

/// A request whose query begins with this ends its upstream.
pub(crate) const ENDING_QUERY: &str = "ends=";

/// How an upstream ends under a request. The request's content names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndingWay {
    /// Its connections break, and new ones are refused until it is back.
    Refuse,
    /// Its connections break, and so do new ones. It is soon back.
    Reset,
    /// It says nothing more until it is back.
    Silent,
}

impl EndingWay {
    const ALL: [Self; 3] = [Self::Refuse, Self::Reset, Self::Silent];

    /// Returns the way of one of a run's contents.
    pub(crate) fn of_number(number: u32) -> Self {
        Self::ALL[number as usize % Self::ALL.len()]
    }

    /// Returns the way that a content names.
    pub(crate) fn of_content(content: &str) -> Self {
        let named = Self::ALL.into_iter().find(|way| content.ends_with(way.name()));
        named.unwrap_or(Self::Refuse)
    }

    /// Returns the way as contents name it.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::Reset => "reset",
            Self::Silent => "silent",
        }
    }

    /// How long the upstream is gone.
    pub(crate) const fn span(self) -> Duration {
        match self {
            Self::Refuse | Self::Silent => Duration::from_millis(800),
            Self::Reset => Duration::from_millis(100),
        }
    }

    const fn proxy_mode(self) -> ProxyMode {
        match self {
            Self::Refuse => ProxyMode::Refuse,
            Self::Reset => ProxyMode::Reset,
            Self::Silent => ProxyMode::DropAll,
        }
    }
}

/// An upstream behind its own proxy. Each start runs it under a new id.
#[derive(Debug)]
pub(crate) struct SoakUpstream {
    pub(crate) proxy: FaultProxy,
    index: usize,
    starts: u64,
    announce_to: Arc<[SocketAddr]>,
    history: Arc<RequestHistory>,
    /// Told the index of an upstream that a request ends, and how.
    ended: EndingSender,
    /// Whether some requests take long.
    has_long_work: bool,
    running: Option<RunningUpstream>,
}

#[derive(Debug)]
struct RunningUpstream {
    id: String,
    phase: Arc<Mutex<&'static str>>,
    manner: Arc<Mutex<AnswerManner>>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    announcing: JoinHandle<()>,
}

/// What an upstream's answers ask of the entries.
#[derive(Clone, Debug, Default)]
struct AnswerManner {
    /// The value of the request limit that they name.
    limit: Option<String>,
    /// The rest that they ask for; requests are then turned away.
    rest: Option<Duration>,
    /// Whether they say that the upstream leaves.
    leaves: bool,
    /// Whether some of them take long.
    has_long_work: bool,
}

impl AnswerManner {
    /// Draws how long a request takes.
    fn draw_work(&self) -> Duration {
        let mut random = rand::rng();
        let is_long = self.has_long_work && random.random_range(0..LONG_WORK_INTERVAL) == 0;
        Duration::from_millis(random.random_range(if is_long { LONG_WORK_MS } else { WORK_MS }))
    }
}

impl SoakUpstream {
    /// Starts an upstream behind its own proxy.
    pub(crate) async fn start(
        index: usize,
        announce_to: Arc<[SocketAddr]>,
        (history, ended): (Arc<RequestHistory>, EndingSender),
        cuts: &HostCuts,
    ) -> Result<Self> {
        let unset_target = SocketAddr::from(([127, 0, 0, 1], 9));
        let proxy = FaultProxy::start(unset_target, cuts).await?;
        let mut upstream = Self {
            proxy,
            index,
            starts: 0,
            announce_to,
            history,
            ended,
            has_long_work: false,
            running: None,
        };
        upstream.launch().await?;
        Ok(upstream)
    }

    /// Lets some requests take long from now on.
    pub(crate) fn begin_long_work(&mut self) {
        self.has_long_work = true;
        if let Some(running) = &self.running {
            running.manner.lock().has_long_work = true;
        }
    }

    /// Stops the running upstream, if any, and starts one under a new id.
    pub(crate) async fn launch(&mut self) -> Result<()> {
        self.crash();
        self.starts += 1;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.set_target(listener.local_addr()?);
        let id = format!("u{}-{}", self.index, self.starts);
        let (stop, stopped) = watch::channel(false);
        let phase = Arc::new(Mutex::new("ready"));
        let has_long_work = self.has_long_work;
        let manner = AnswerManner { has_long_work, ..AnswerManner::default() };
        let manner = Arc::new(Mutex::new(manner));
        let shown = Arc::clone(&manner);
        let ended = (self.index, self.ended.clone());
        let served = (id.clone(), Arc::clone(&self.history), ended);
        let serving = serve(listener, served, shown, stopped);
        let announcing = Announcer {
            id: id.clone(),
            address: self.proxy.address,
            phase: Arc::clone(&phase),
            announce_to: Arc::clone(&self.announce_to),
            history: Arc::clone(&self.history),
        };
        self.running = Some(RunningUpstream {
            id,
            phase,
            manner,
            stop,
            serving: tokio::spawn(serving),
            announcing: tokio::spawn(announcing.run(self.index)),
        });
        Ok(())
    }

    /// Ends the upstream in a way, until [`Self::launch_again`].
    pub(crate) fn end(&mut self, way: EndingWay) {
        self.proxy.set(way.proxy_mode());
        self.crash();
    }

    /// Starts an upstream in place of one that has ended.
    pub(crate) async fn launch_again(&mut self) {
        let _ = self.launch().await;
        self.proxy.set(ProxyMode::Pass);
    }

    /// Stops the upstream without an announcement, and closes its connections.
    pub(crate) fn crash(&mut self) {
        let Some(running) = self.running.take() else { return };
        self.history.record_limit(&running.id, None);
        running.announcing.abort();
        running.stop.send_replace(true);
        running.serving.abort();
    }

    /// Makes the upstream announce that it drains. It continues to serve. Returns its id, if it
    /// runs.
    pub(crate) fn drain(&self) -> Option<&str> {
        let running = self.running.as_ref()?;
        *running.phase.lock() = "draining";
        Some(&running.id)
    }

    /// Sets the request limit that its answers name, in tenths of a request a second.
    pub(crate) fn name_limit(&self, tenths: Option<u32>) {
        let Some(running) = &self.running else { return };
        let rate = tenths.map(|tenths| f64::from(tenths) / 10.0);
        running.manner.lock().limit = rate.map(|rate| rate.to_string());
        self.history.record_limit(&running.id, rate);
    }
}

impl SoakUpstream {
    /// Sets the rest that its answers ask for while they turn requests away.
    pub(crate) fn ask_rest(&self, rest: Option<Duration>) {
        if let Some(running) = &self.running {
            running.manner.lock().rest = rest;
        }
    }

    /// Makes its answers say that it leaves. Its announcements go on as before.
    pub(crate) fn leave(&self) {
        if let Some(running) = &self.running {
            running.manner.lock().leaves = true;
            self.history.record_leaving(&running.id);
        }
    }
}

impl Drop for SoakUpstream {
    fn drop(&mut self) {
        self.crash();
    }
}

async fn serve(
    listener: TcpListener,
    (id, history, ended): (String, Arc<RequestHistory>, (usize, EndingSender)),
    manner: Arc<Mutex<AnswerManner>>,
    stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (id, history, mut stopped) = (id.clone(), Arc::clone(&history), stopped.clone());
        let (manner, ended) = (Arc::clone(&manner), ended.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (id, history, manner) = (id.clone(), Arc::clone(&history), Arc::clone(&manner));
            let ended = ended.clone();
            async move {
                if let Some(content) = ending_content(&request) {
                    history.record_end(content);
                    let _ = ended.1.send((ended.0, EndingWay::of_content(content)));
                    return std::future::pending().await;
                }
                let rest = manner.lock().rest.filter(|_| request.uri().path() != "/health");
                let work = manner.lock().draw_work();
                let answer = match rest {
                    Some(rest) => turn_away(&request, &id, rest, &history),
                    None => answer(request, id, history, work).await,
                };
                Ok::<_, Infallible>(with_manner(answer, &manner.lock()))
            }
        });
        connections.spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = stopped.wait_for(|stopped| *stopped) => {}
            }
        });
    }
}

/// Returns the content of a request that ends its upstream.
fn ending_content(request: &Request<Incoming>) -> Option<&str> {
    request.uri().query()?.strip_prefix(ENDING_QUERY)
}

async fn answer(
    request: Request<Incoming>,
    upstream: String,
    history: Arc<RequestHistory>,
    work: Duration,
) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let header = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let Some(id) = header.map(str::to_owned) else {
        return Response::new(Full::new(Bytes::new()));
    };
    if path != "/health" {
        let organisation = request.headers().get("jacinthpulley-organisation");
        let organisation = organisation.and_then(|name| name.to_str().ok());
        let has_key = request.headers().contains_key("authorization");
        history.record_identity(&id, organisation, has_key);
        history.record_run(&id, &upstream);
        let _ = request.into_body().collect().await;
        tokio::time::sleep(work).await;
    }
    let length = if path.starts_with("/file") { LONG_ANSWER } else { SHORT_ANSWER };
    Response::new(Full::new(Bytes::from(answer_body(&id, length))))
}

/// Answers that a request is not run, and that nothing is wanted for some time.
fn turn_away(
    request: &Request<Incoming>,
    upstream: &str,
    rest: Duration,
    history: &RequestHistory,
) -> Response<Full<Bytes>> {
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    history.record_rest(id.unwrap_or_default(), upstream, rest);
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = answer.headers_mut();
    headers.insert("jacinthpulley-verdict", HeaderValue::from_static("not-run"));
    if let Ok(value) = rest.as_secs_f64().to_string().parse() {
        headers.insert("retry-after", value);
    }
    answer
}

fn with_manner(mut answer: Response<Full<Bytes>>, manner: &AnswerManner) -> Response<Full<Bytes>> {
    let headers = answer.headers_mut();
    if let Some(value) = manner.limit.as_ref().and_then(|limit| limit.parse().ok()) {
        headers.insert("jacinthpulley-request-limit", value);
    }
    if manner.leaves {
        headers.insert("jacinthpulley-draining", HeaderValue::from_static("true"));
    }
    answer
}

/// Announces an upstream until it is aborted.
struct Announcer {
    id: String,
    address: SocketAddr,
    phase: Arc<Mutex<&'static str>>,
    announce_to: Arc<[SocketAddr]>,
    history: Arc<RequestHistory>,
}

impl Announcer {
    async fn run(self, index: usize) {
        let client: Client<_, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let mut has_drained = false;
        for sequence in 1_usize.. {
            let phase = *self.phase.lock();
            let host = self.announce_to[(sequence + index) % self.announce_to.len()];
            let body = json!({
                "id": self.id, "address": self.address, "zone": "z1", "pool": "shop", "slots": 8,
                "connections": 500, "incarnation": 1, "sequence": sequence, "phase": phase,
            });
            let request = Request::post(format!("http://{host}/v1/announce"))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_string())));
            let Ok(request) = request else { return };
            let answered = tokio::time::timeout(ANNOUNCE_TIMEOUT, client.request(request)).await;
            let is_acknowledged =
                matches!(answered, Ok(Ok(answer)) if answer.status() == StatusCode::OK);
            if is_acknowledged && phase == "draining" && !has_drained {
                has_drained = true;
                self.history.record_drained(&self.id);
            }
            // Without an acknowledgement, the next host is tried soon.
            let pause = if is_acknowledged { ANNOUNCE_PERIOD } else { ANNOUNCE_PERIOD / 10 };
            tokio::time::sleep(pause).await;
        }
    }
}
