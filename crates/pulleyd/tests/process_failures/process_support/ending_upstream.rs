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

/// The time that other requests take.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Interval between announcements; several fit within a lease.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct EndingState {
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
    /// Starts an upstream of 4 slots in zone `z1` that announces itself to these hosts in turn.
    pub(crate) fn start(id: &str, pool: &str, hosts: Vec<SocketAddr>) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since_epoch.expect("a time after 1970").as_secs();
        let state = Arc::new(EndingState {
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
        let bound = listener.take().unwrap_or_else(|| listen(address));
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
        drop(bound);
        state.ends.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(DOWN_TIME).await;
        state.incarnation.fetch_add(1, Ordering::SeqCst);
        state.running.send_replace(true);
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option of sockets");
    socket.bind(address).expect("its own port");
    socket.listen(1_024).expect("bound")
}

async fn serve(state: Arc<EndingState>, mut stream: TcpStream) {
    let mut running = state.running.subscribe();
    tokio::select! {
        biased;
        _ = running.wait_for(|running| !running) => {
            // The connection is reset, as when a process ends with unread bytes.
            let _ = stream.set_zero_linger();
        }
        _ = answer_requests(&state, &mut stream) => {}
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
            tokio::time::sleep(TIME_TO_END).await;
            state.running.send_replace(false);
            return None;
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
            let announcement = json!({
                "id": id, "address": address, "zone": "z1", "pool": pool, "slots": 4,
                "connections": 300, "incarnation": state.incarnation.load(Ordering::SeqCst),
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
