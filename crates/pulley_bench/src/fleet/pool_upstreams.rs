//! Stand-in upstreams that work on as many concurrent requests as they have slots.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Interval at which an upstream announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// How much longer than requested a sleep takes on average, because the timer rounds up to whole
/// milliseconds. Without this correction, the load would be 5% higher at 20 ms.
const TIMER_OVERSHOOT: Duration = Duration::from_millis(1);

/// Parameters of the upstreams.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamPlan {
    /// Pool that the upstreams announce.
    pub(crate) pool: String,
    /// Number of upstreams.
    pub(crate) count: usize,
    /// Requests that an upstream works on at once. Further requests wait in the upstream.
    pub(crate) slots: u32,
    /// Mean service time; log-normal with a coefficient of variation of 1.
    pub(crate) service_time: Duration,
    /// The hosts that the upstreams announce themselves to, in round-robin order.
    pub(crate) announce_to: Vec<SocketAddr>,
    /// Seed for the service times.
    pub(crate) seed: u64,
}

/// Requests counted by the upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamCounts {
    /// Requests that found a free slot or waited for one.
    pub(crate) requests: u64,
    /// Requests that found all slots of their upstream taken.
    pub(crate) collisions: u64,
}

#[derive(Debug, Default)]
struct UpstreamCounters {
    requests: AtomicU64,
    collisions: AtomicU64,
}

/// Running upstreams; they stop when their runtime is dropped.
#[derive(Debug)]
pub(crate) struct PoolUpstreams {
    counters: Arc<UpstreamCounters>,
}

#[derive(Debug)]
struct StandInUpstream {
    slots: Semaphore,
    random: Mutex<SmallRng>,
    service_times: LogNormal<f64>,
    counters: Arc<UpstreamCounters>,
}

impl PoolUpstreams {
    /// Starts the upstreams on the current runtime.
    pub(crate) async fn start(plan: UpstreamPlan) -> Result<Self> {
        let counters = Arc::new(UpstreamCounters::default());
        // For a log-normal with mean m and cv 1: sigma² = ln 2, mu = ln m - sigma²/2.
        let sigma = 2_f64.ln().sqrt();
        let service_times =
            LogNormal::new(plan.service_time.as_secs_f64().ln() - 2_f64.ln() / 2.0, sigma)?;
        for number in 0..plan.count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let upstream = Arc::new(StandInUpstream {
                slots: Semaphore::new(plan.slots as usize),
                random: Mutex::new(SmallRng::seed_from_u64(plan.seed ^ (number as u64) << 32)),
                service_times,
                counters: Arc::clone(&counters),
            });
            tokio::spawn(serve(listener, upstream));
            tokio::spawn(announce(plan.clone(), number, address));
        }
        Ok(Self { counters })
    }

    /// Resets the counters.
    pub(crate) fn reset(&self) {
        self.counters.requests.store(0, Ordering::Relaxed);
        self.counters.collisions.store(0, Ordering::Relaxed);
    }

    /// Returns the counts since the last reset.
    pub(crate) fn counts(&self) -> UpstreamCounts {
        UpstreamCounts {
            requests: self.counters.requests.load(Ordering::Relaxed),
            collisions: self.counters.collisions.load(Ordering::Relaxed),
        }
    }
}

async fn serve(listener: TcpListener, upstream: Arc<StandInUpstream>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let upstream = Arc::clone(&upstream);
        let service = service_fn(move |request| answer(request, Arc::clone(&upstream)));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    request: Request<Incoming>,
    upstream: Arc<StandInUpstream>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let body = Full::new(Bytes::from_static(b"covered\n"));
    if request.uri().path() == "/load" {
        return Ok(Response::new(body));
    }
    upstream.counters.requests.fetch_add(1, Ordering::Relaxed);
    if upstream.slots.available_permits() == 0 {
        upstream.counters.collisions.fetch_add(1, Ordering::Relaxed);
    }
    let _slot = upstream.slots.acquire().await;
    let seconds = upstream.service_times.sample(&mut *upstream.random.lock());
    let service_time = Duration::from_secs_f64(seconds.min(1.0)).saturating_sub(TIMER_OVERSHOOT);
    tokio::time::sleep(service_time).await;
    Ok(Response::new(body))
}

async fn announce(plan: UpstreamPlan, number: usize, address: SocketAddr) {
    let client: Client<_, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    for sequence in 1_u64.. {
        let body = json!({
            "id": format!("u{number}"), "address": address, "zone": format!("z{}", number % 3),
            "pool": plan.pool, "slots": plan.slots, "connections": 500,
            "incarnation": 1, "sequence": sequence, "phase": "ready",
        });
        let index = usize::try_from(sequence).unwrap_or(0).wrapping_add(number);
        let host = plan.announce_to[index % plan.announce_to.len()];
        let request = Request::post(format!("http://{host}/v1/announce"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())));
        if let Ok(request) = request {
            let _ = client.request(request).await;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
