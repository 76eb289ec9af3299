//! An upstream that announces itself and answers requests, for tests and the local deployment.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use pulley_core::process::{Announcement, Incarnation, SlotCount, UpstreamPhase, UpstreamSequence};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Interval between announcements. Several fit within the lease of 3 s, so that one lost
/// announcement does no harm.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a host's answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests whose path contains this text are held until [`StandInUpstream::release_held`].
const HELD_PATH: &str = "held";

/// The properties of a stand-in upstream.
#[derive(Clone, Debug)]
pub(crate) struct StandInRole {
    /// Its id.
    pub(crate) id: String,
    /// Its pool.
    pub(crate) pool: String,
    /// Its availability zone.
    pub(crate) zone: String,
    /// The number of slots that it announces.
    pub(crate) slots: u32,
    /// How long it works on each request.
    pub(crate) service_time: Duration,
    /// The address it listens on; the system chooses the port.
    pub(crate) address: IpAddr,
    /// The hosts that it announces itself to, in turn.
    pub(crate) hosts: Vec<SocketAddr>,
}

/// A running stand-in upstream. Dropping it stops it without an announcement.
#[derive(Debug)]
pub(crate) struct StandInUpstream {
    state: Arc<StandInState>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct StandInState {
    service_time: Duration,
    runs: AtomicU64,
    held: watch::Sender<u64>,
    released: watch::Sender<bool>,
    announcement: Mutex<Announcement>,
    hosts: Vec<SocketAddr>,
}

impl StandInUpstream {
    /// Starts to listen and to announce itself.
    ///
    /// # Errors
    /// If it cannot listen, or a name in the role is invalid.
    pub(crate) async fn start(role: StandInRole) -> Result<Self, Box<dyn std::error::Error>> {
        let listener = TcpListener::bind((role.address, 0)).await?;
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        let announcement = Announcement {
            id: role.id.parse()?,
            address: listener.local_addr()?,
            zone: role.zone.parse()?,
            pool: role.pool.parse()?,
            slots: SlotCount(role.slots),
            connections: 500,
            incarnation: Incarnation(u64::try_from(incarnation)?),
            sequence: UpstreamSequence(0),
            phase: UpstreamPhase::Ready,
        };
        let state = Arc::new(StandInState {
            service_time: role.service_time,
            runs: AtomicU64::new(0),
            held: watch::Sender::new(0),
            released: watch::Sender::new(false),
            announcement: Mutex::new(announcement),
            hosts: role.hosts,
        });
        let router = Router::new().fallback(answer).with_state(Arc::clone(&state));
        let serve = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        let announce = tokio::spawn(Arc::clone(&state).announce_repeatedly());
        Ok(Self { state, tasks: vec![serve, announce] })
    }

    /// Returns how many requests it has run.
    #[must_use]
    pub(crate) fn runs(&self) -> u64 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// Waits until `count` held requests have arrived in total.
    pub(crate) async fn wait_until_held(&self, count: u64) {
        let mut held = self.state.held.subscribe();
        let _ = held.wait_for(|held| *held >= count).await;
    }

    /// Releases all held requests; later ones are no longer held.
    pub(crate) fn release_held(&self) {
        self.state.released.send_replace(true);
    }

    /// Announces the draining phase from now on.
    pub(crate) async fn drain(&self) {
        self.state.announcement.lock().phase = UpstreamPhase::Draining;
        self.state.announce_once(0).await;
    }
}

impl Drop for StandInUpstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl StandInState {
    async fn announce_repeatedly(self: Arc<Self>) {
        for round in 0.. {
            self.announce_once(round).await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Announces itself to the first host that accepts the announcement, starting with a different
    /// host each round, as a balancer in front of the hosts would.
    async fn announce_once(&self, round: usize) {
        let body = {
            let mut announcement = self.announcement.lock();
            announcement.sequence.0 += 1;
            serde_json::to_vec(&*announcement).unwrap_or_default()
        };
        for index in 0..self.hosts.len() {
            let host = self.hosts[(round + index) % self.hosts.len()];
            let status =
                tokio::time::timeout(ANNOUNCE_TIMEOUT, post_announcement(host, body.clone())).await;
            if matches!(status, Ok(Some(200))) {
                return;
            }
        }
    }
}

/// Posts an announcement. Returns the status of the answer, if there is one.
async fn post_announcement(host: SocketAddr, body: Vec<u8>) -> Option<u16> {
    let stream = TcpStream::connect(host).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::post("/v1/announce")
        .header("host", host.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    Some(sender.send_request(request).await.ok()?.status().as_u16())
}

async fn answer(State(state): State<Arc<StandInState>>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    if parts.uri.path().contains(HELD_PATH) {
        state.held.send_modify(|held| *held += 1);
        let _ = state.released.subscribe().wait_for(|released| *released).await;
    }
    tokio::time::sleep(state.service_time).await;
    state.runs.fetch_add(1, Ordering::SeqCst);
    let text = format!("{} {} with {} bytes\n", parts.method, parts.uri.path(), body.len());
    let mut response = Response::new(Body::from(text));
    let load = http::HeaderValue::from_static("TEXT cpu_utilization=0.25");
    response.headers_mut().insert("endpoint-load-metrics", load);
    response
}
