//! An upstream inside the test process that announces itself, answers requests and counts them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Request, State};
use axum::response::{AppendHeaders, IntoResponse};
use serde_json::json;
use tokio::runtime::Runtime;

use super::HttpClient;

/// Interval between announcements; several fit within a lease.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct UpstreamState {
    runs: Mutex<BTreeMap<String, u64>>,
    total: AtomicU64,
    delay_ms: AtomicU64,
    phase: Mutex<&'static str>,
    /// The phase that a host acknowledged last.
    acknowledged: Mutex<&'static str>,
    announcing_stopped: AtomicBool,
    /// The value of the request limit that its answers name.
    limit: Mutex<Option<&'static str>>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
}

/// A running stand-in upstream; dropping it stops it.
#[derive(Debug)]
pub(crate) struct StandInUpstream {
    state: Arc<UpstreamState>,
    _runtime: Runtime,
}

impl StandInUpstream {
    /// Starts an upstream in zone `z1` that announces itself to these hosts in turn.
    pub(crate) fn start(id: &str, pool: &str, slots: u32, hosts: Vec<SocketAddr>) -> Self {
        Self::start_in("z1", id, pool, slots, hosts)
    }

    /// Starts an upstream in a zone.
    pub(crate) fn start_in(
        zone: &str,
        id: &str,
        pool: &str,
        slots: u32,
        hosts: Vec<SocketAddr>,
    ) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let state = Arc::new(UpstreamState { phase: Mutex::new("ready"), ..Default::default() });
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .expect("a port from the system");
        let address = listener.local_addr().expect("an address");
        let router = Router::new().fallback(answer).with_state(Arc::clone(&state));
        runtime.spawn(async move { axum::serve(listener, router).await });
        let announcer_state = Arc::clone(&state);
        let (id, pool, zone) = (id.to_owned(), pool.to_owned(), zone.to_owned());
        runtime.spawn(async move {
            for sequence in 1_u64.. {
                while announcer_state.announcing_stopped.load(Ordering::SeqCst) {
                    tokio::time::sleep(ANNOUNCE_INTERVAL).await;
                }
                let phase = *announcer_state.phase.lock().expect("the lock is not poisoned");
                let announcement = json!({
                    "id": id, "address": address, "zone": zone, "pool": pool, "slots": slots,
                    "connections": 300, "incarnation": 1, "sequence": sequence, "phase": phase,
                });
                let target = hosts[usize::try_from(sequence).unwrap_or(0) % hosts.len()];
                let body = announcement.to_string();
                let answer =
                    tokio::task::spawn_blocking(move || {
                        HttpClient::new(target)
                            .with_header("content-type", "application/json")
                            .send("POST", "/v1/announce", body.as_bytes())
                    })
                    .await;
                if matches!(answer, Ok(Ok(answer)) if answer.status < 300) {
                    *announcer_state.acknowledged.lock().expect("the lock is not poisoned") = phase;
                }
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        });
        Self { state, _runtime: runtime }
    }

    /// Delays every answer by this time.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Sets the phase that is announced from now on.
    pub(crate) fn set_phase(&self, phase: &'static str) {
        *self.state.phase.lock().expect("the lock is not poisoned") = phase;
    }

    /// Returns the phase that a host acknowledged last; empty before the first acknowledgement.
    pub(crate) fn acknowledged(&self) -> &'static str {
        *self.state.acknowledged.lock().expect("the lock is not poisoned")
    }

    /// Stops announcing but continues to answer requests.
    pub(crate) fn stop_announcing(&self) {
        self.state.announcing_stopped.store(true, Ordering::SeqCst);
    }

    /// Sets the request limit that its answers name from now on.
    pub(crate) fn set_limit(&self, limit: Option<&'static str>) {
        *self.state.limit.lock().expect("the lock is not poisoned") = limit;
    }

    /// Returns the largest number of requests that arrived within one span, from a moment on.
    pub(crate) fn most_arrivals(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.state.arrivals.lock().expect("the lock is not poisoned");
        let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |start: &Instant| {
            counted.iter().filter(|at| *at >= start && **at < *start + span).count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }

    /// Returns how many requests it has run.
    pub(crate) fn total(&self) -> u64 {
        self.state.total.load(Ordering::SeqCst)
    }

    /// Returns how often it has run each value of the `x-work` header.
    pub(crate) fn runs(&self) -> BTreeMap<String, u64> {
        self.state.runs.lock().expect("the lock is not poisoned").clone()
    }
}

async fn answer(State(state): State<Arc<UpstreamState>>, request: Request) -> impl IntoResponse {
    let work = request.headers().get("x-work").and_then(|value| value.to_str().ok());
    let work = work.unwrap_or("none").to_owned();
    *state.runs.lock().expect("the lock is not poisoned").entry(work.clone()).or_default() += 1;
    state.total.fetch_add(1, Ordering::SeqCst);
    state.arrivals.lock().expect("the lock is not poisoned").push(Instant::now());
    let limit = *state.limit.lock().expect("the lock is not poisoned");
    let delay = state.delay_ms.load(Ordering::SeqCst);
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let headers = limit.map(|limit| [("jacinthpulley-request-limit", limit)]);
    (AppendHeaders(headers.into_iter().flatten()), format!("done {work} {}", request.uri().path()))
}
