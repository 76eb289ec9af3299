//! An upstream that ends when it begins on certain requests, and starts again a while later.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

use super::HttpClient;

/// A request whose path contains this ends its upstream.
pub(crate) const ENDING_MARK: &str = "ends";

/// The time from the arrival of such a request until the upstream ends, and until it is back.
const TIME_TO_END: Duration = Duration::from_millis(5);
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// The same where the caller leaves before the upstream ends, and where a supervisor keeps the
/// listening socket and starts the upstream again at once.
const LATE_TIME_TO_END: Duration = Duration::from_millis(120);
const RESTART_TIME: Duration = Duration::from_millis(100);

/// How an upstream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndWay {
    /// Its connections are reset, and new ones are refused until it is back.
    Refuses,
    /// The same, a while after the request has arrived.
    RefusesLate,
    /// Its connections are reset, and its listening socket stays. It is soon back.
    KeepsListening,
    /// The same, and it is back under a new id.
    KeepsListeningWithNewId,
    /// It says nothing more until it is back, like a machine without power.
    Silent,
}

impl EndWay {
    fn time_to_end(self) -> Duration {
        if self == Self::RefusesLate { LATE_TIME_TO_END } else { TIME_TO_END }
    }

    fn down_time(self) -> Duration {
        if self.keeps_listening() { RESTART_TIME } else { DOWN_TIME }
    }

    fn keeps_listening(self) -> bool {
        matches!(self, Self::KeepsListening | Self::KeepsListeningWithNewId)
    }
}

/// The time that other requests take.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Interval between announcements; several fit within a lease.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct EndingState {
    way: EndWay,
    /// The path of each request that arrived.
    arrivals: Mutex<Vec<String>>,
    ends: AtomicU64,
    incarnation: AtomicU64,
    /// Whether it runs. Its connections and its listener close when that turns false.
    running: watch::Sender<bool>,
}

/// A running upstream; dropping it stops it.
#[derive(Debug)]
pub(crate) struct EndingUpstream {
    state: Arc<EndingState>,
    _runtime: Runtime,
}

impl EndingUpstream {
    /// Starts an upstream of 4 slots in zone `z1` that announces itself to these hosts in turn and
    /// ends in a way.
    pub(crate) fn start(way: EndWay, id: &str, pool: &str, hosts: Vec<SocketAddr>) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since_epoch.expect("a time after 1970").as_secs();
        let state = Arc::new(EndingState {
            way,
            arrivals: Mutex::default(),
            ends: AtomicU64::new(0),
            incarnation: AtomicU64::new(incarnation),
            running: watch::Sender::new(true),
        });
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("bound");
        runtime.spawn(run(Arc::clone(&state), listener, address));
        let (id, pool) = (id.to_owned(), pool.to_owned());
        runtime.spawn(announce(Arc::clone(&state), id, pool, address, hosts));
        Self { state, _runtime: runtime }
    }

    /// Ends the upstream as a crash would.
    pub(crate) fn crash(&self) {
        self.state.running.send_replace(false);
    }

    /// Returns how many requests arrived whose path contains `mark`.
    pub(crate) fn arrivals(&self, mark: &str) -> usize {
        let arrivals = self.state.arrivals.lock().expect("the lock is not poisoned");
        arrivals.iter().filter(|path| path.contains(mark)).count()
    }

    /// Returns how often it has ended.
    pub(crate) fn ends(&self) -> u64 {
        self.state.ends.load(Ordering::SeqCst)
    }
}

/// Serves until the upstream ends, and starts it again.
async fn run(state: Arc<EndingState>, first: TcpListener, address: SocketAddr) {
    let mut listener = Some(first);
    loop {
        let bound = match listener.take() {
            Some(bound) => bound,
            None => listen(address).await,
        };
        let mut running = state.running.subscribe();
        loop {
            tokio::select! {
                biased;
                _ = running.wait_for(|running| !running) => break,
                accepted = bound.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    tokio::spawn(serve(Arc::clone(&state), stream));
                }
            }
        }
        state.ends.fetch_add(1, Ordering::SeqCst);
        // Connections wait in the backlog of a listening socket that stays.
        listener =
            (state.way != EndWay::Refuses && state.way != EndWay::RefusesLate).then_some(bound);
        tokio::time::sleep(state.way.down_time()).await;
        state.incarnation.fetch_add(1, Ordering::SeqCst);
        state.running.send_replace(true);
    }
}

/// Listens on the upstream's address again. Another process may use the port for a moment.
async fn listen(address: SocketAddr) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option of sockets");
        if let Ok(listener) = socket.bind(address).and_then(|()| socket.listen(1_024)) {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn serve(state: Arc<EndingState>, mut stream: TcpStream) {
    tokio::select! {
        biased;
        () = wait_for(&state, false) => {
            if state.way == EndWay::Silent {
                wait_for(&state, true).await;
            }
            // The connection is reset, as when a process ends with unread bytes.
            let _ = stream.set_zero_linger();
        }
        _ = answer_requests(&state, &mut stream) => {}
    }
}

/// Waits until the upstream runs, or until it does not.
async fn wait_for(state: &EndingState, is_running: bool) {
    let mut running = state.running.subscribe();
    while *running.borrow_and_update() != is_running {
        if running.changed().await.is_err() {
            return;
        }
    }
}

async fn answer_requests(state: &EndingState, stream: &mut TcpStream) -> Option<()> {
    let mut text = String::new();
    loop {
        while !text.contains("\r\n\r\n") {
            let mut chunk = [0_u8; 4_096];
            let read = stream.read(&mut chunk).await.ok().filter(|read| *read > 0)?;
            text.push_str(&String::from_utf8_lossy(&chunk[..read]));
        }
        let path = text.split(' ').nth(1)?.to_owned();
        text.clear();
        state.arrivals.lock().expect("the lock is not poisoned").push(path.clone());
        if path.contains(ENDING_MARK) {
            tokio::time::sleep(state.way.time_to_end()).await;
            state.running.send_replace(false);
            return std::future::pending().await;
        }
        tokio::time::sleep(WORK_TIME).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.ok()?;
    }
}

async fn announce(
    state: Arc<EndingState>,
    id: String,
    pool: String,
    address: SocketAddr,
    hosts: Vec<SocketAddr>,
) {
    for sequence in 1_usize.. {
        if *state.running.borrow() {
            let incarnation = state.incarnation.load(Ordering::SeqCst);
            let id = match state.way {
                EndWay::KeepsListeningWithNewId => format!("{id}-{incarnation}"),
                _ => id.clone(),
            };
            let announcement = json!({
                "id": id, "address": address, "zone": "z1", "pool": pool, "slots": 4,
                "connections": 300, "incarnation": incarnation,
                "sequence": sequence, "phase": "ready",
            });
            let (target, body) = (hosts[sequence % hosts.len()], announcement.to_string());
            let sent = tokio::task::spawn_blocking(move || {
                HttpClient::new(target).with_header("content-type", "application/json").send(
                    "POST",
                    "/v1/announce",
                    body.as_bytes(),
                )
            });
            let _ = sent.await;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
