//! The opening side of a link: connects, authenticates, delivers frames and detects silent links.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Promise;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use futures::stream::{FuturesUnordered, StreamExt};
use pulley_core::HostId;
use pulley_wire::peer_capnp::{gate, session};
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::io::InspectWriter;

use super::peer_frame::FRAME_LIMIT;
use super::peer_gate::{HandshakeRole, LinkNonces, LinkProof, NONCE_LENGTH};
use super::peer_link_queue::{BATCH_BYTES, LinkQueue, QueuedFrame};
use super::peer_link_settings::LinkSettings;

/// Maximum number of unanswered calls. Beyond it, frames wait in the queue.
const MAX_CALLS_IN_FLIGHT: usize = 16;
/// Number of heartbeats that may stay unanswered before the link is replaced.
const MISSED_HEARTBEAT_LIMIT: u32 = 2;
/// The lowest assumed rate of a link, in bytes per second. Heartbeats are delayed by the bytes sent
/// ahead of them.
const SLOWEST_LINK_RATE: usize = 128 << 10;
/// Maximum time that heartbeats may be delayed by bytes in flight before they count as unanswered.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(10);
/// Timeout for connecting and authenticating together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failure to connect. It doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to connect, so that a host that is back is reached within a
/// second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum LinkEnd {
    /// No frame was sent for longer than the idle limit.
    #[error("idle")]
    Idle,
    /// Heartbeats stayed unanswered although the connection is open.
    #[error("silent")]
    Silent,
    /// Connecting and authenticating took too long.
    #[error("connecting or authenticating took too long")]
    Timeout,
    /// The peer's proof is wrong, or the peer is another host.
    #[error("the peer could not be authenticated as the expected host")]
    PeerMismatch,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A call failed.
    #[error("{0}")]
    Call(#[from] capnp::Error),
}

/// Counters of all links.
#[derive(Debug, Default)]
pub(crate) struct LinkCounters {
    pub(crate) opened: Cell<u64>,
    pub(crate) silent: Cell<u64>,
    pub(crate) failed: Cell<u64>,
    pub(crate) frames: Cell<u64>,
    pub(crate) bytes: Cell<u64>,
    pub(crate) wire_bytes: Cell<u64>,
    pub(crate) dropped: Cell<u64>,
}

/// Adds to one of the [`LinkCounters`], which all links of the control thread share.
pub(crate) fn add(counter: &Cell<u64>, count: usize) {
    counter.set(counter.get() + count as u64);
}

/// The link that this host opens to one peer.
#[derive(Debug)]
pub(crate) struct OutboundLink {
    pub(crate) settings: Rc<LinkSettings>,
    pub(crate) peer: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) queue: Rc<LinkQueue>,
    pub(crate) is_connected: Rc<Cell<bool>>,
    pub(crate) counters: Rc<LinkCounters>,
}

/// Options for messages read from a connection. Their size is bounded, as they are read before the
/// peer is authenticated.
pub(crate) fn reader_options() -> ReaderOptions {
    const WORD: usize = 8;
    let mut options = ReaderOptions::new();
    // A batch is at most its byte limit plus one frame. The rest leaves room for pointers.
    options.traversal_limit_in_words(Some((FRAME_LIMIT + 4 * BATCH_BYTES) / WORD));
    options
}

/// Creates the RPC system of one connection and counts the bytes that it sends.
pub(crate) fn rpc_system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
    counters: Rc<LinkCounters>,
) -> RpcSystem<Side> {
    let (reader, writer) = stream.into_split();
    let writer = InspectWriter::new(writer, move |bytes: &[u8]| {
        add(&counters.wire_bytes, bytes.len());
    });
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    let network = twoparty::VatNetwork::new(reader, writer, side, reader_options());
    RpcSystem::new(Box::new(network), bootstrap)
}

/// Aborts a task when dropped, which closes the connection that the task owns.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A link whose two sides have authenticated each other.
struct OpenLink {
    session: session::Client,
    _system: TaskGuard,
}

impl OutboundLink {
    /// Keeps the link connected until it is idle. A failed connection is replaced by a new one.
    pub(crate) async fn run(self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let idle = self.settings.idle_limit;
            if timeout(idle, self.queue.wait_for_frame()).await.is_err() {
                return;
            }
            let ended = match timeout(HANDSHAKE_TIMEOUT, self.open()).await {
                Ok(Ok(link)) => {
                    backoff = INITIAL_BACKOFF;
                    add(&self.counters.opened, 1);
                    self.is_connected.set(true);
                    let ended = self.serve(&link).await;
                    self.is_connected.set(false);
                    ended
                }
                Ok(Err(ended)) => ended,
                Err(_) => LinkEnd::Timeout,
            };
            match ended {
                LinkEnd::Idle => return,
                LinkEnd::Silent => add(&self.counters.silent, 1),
                _ => add(&self.counters.failed, 1),
            }
            // Frames for an unreachable host are stale once it is reachable again. Their senders
            // then send the current state.
            add(&self.counters.dropped, self.queue.clear());
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn open(&self) -> Result<OpenLink, LinkEnd> {
        let stream = self.connect().await?;
        let mut system = rpc_system(stream, Side::Client, None, Rc::clone(&self.counters));
        let gate: gate::Client = system.bootstrap(Side::Server);
        let system = TaskGuard(tokio::task::spawn_local(async move {
            // If the connection fails, the calls on the link fail as well and report the error.
            let _ = system.await;
        }));
        let session = self.authenticate(&gate).await?;
        Ok(OpenLink { session, _system: system })
    }

    async fn connect(&self) -> Result<TcpStream, LinkEnd> {
        let socket =
            if self.address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        if let Some(ip) = self.settings.bind_ip {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Authenticates this host to the peer and the peer to this host, before any frame is sent.
    async fn authenticate(&self, gate: &gate::Client) -> Result<session::Client, LinkEnd> {
        let settings = &self.settings;
        let challenge = gate.challenge_request().send().promise.await?;
        let responder: [u8; NONCE_LENGTH] =
            challenge.get()?.get_nonce()?.try_into().map_err(|_| LinkEnd::PeerMismatch)?;
        let nonces = LinkNonces { initiator: rand::random(), responder };
        let (cluster, host, process) =
            (&settings.cluster, settings.host.as_str(), settings.process_id);
        let ours = LinkProof { role: HandshakeRole::Initiator, cluster, host, process, nonces };
        let mut request = gate.enter_request();
        let mut hello = request.get().init_hello();
        hello.set_cluster(cluster.as_str());
        hello.set_host(host);
        hello.set_process(process);
        hello.set_nonce(&nonces.initiator);
        hello.set_proof(&ours.sign(&settings.key_ring));
        let response = request.send().promise.await?;
        let accepted = response.get()?.get_accepted()?;
        let host = accepted.get_host()?.to_str().map_err(|_| LinkEnd::PeerMismatch)?;
        let process = accepted.get_process();
        let theirs = LinkProof { role: HandshakeRole::Responder, cluster, host, process, nonces };
        let genuine = theirs.verify(&settings.key_ring, accepted.get_proof()?);
        if !genuine || host != self.peer.as_str() {
            return Err(LinkEnd::PeerMismatch);
        }
        Ok(accepted.get_session()?)
    }

    /// Delivers frames until the link is idle, fails, or goes silent.
    ///
    /// A network device between two hosts may lose track of a connection. TCP then reports it as
    /// open for many minutes, and everything written to it is lost. Every answer shows that the
    /// link works. If two heartbeats stay unanswered, the link is closed, and the next frame opens
    /// a new one. A large frame on a slow link delays heartbeats, so they get more time while it is
    /// in flight.
    async fn serve(&self, link: &OpenLink) -> LinkEnd {
        let heartbeat = self.settings.heartbeat;
        let mut calls = FuturesUnordered::new();
        let mut ticker = interval_at(Instant::now() + heartbeat, heartbeat);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut answered, mut missed, mut sequence) = (true, 0, 0);
        let mut in_flight = 0;
        let mut last_frame = Instant::now();
        loop {
            tokio::select! {
                () = self.queue.wait_for_frame(), if calls.len() < MAX_CALLS_IN_FLIGHT => {
                    last_frame = Instant::now();
                    let (bytes, answer) = self.deliver(link);
                    in_flight += bytes;
                    calls.push(answer);
                }
                Some(answer) = calls.next() => match answer {
                    Ok(bytes) => {
                        in_flight -= bytes;
                        answered = true;
                    }
                    Err(error) => return LinkEnd::Call(error),
                },
                _ = ticker.tick() => {
                    if last_frame.elapsed() >= self.settings.idle_limit {
                        return LinkEnd::Idle;
                    }
                    missed = if answered { 0 } else { missed + 1 };
                    if missed > MISSED_HEARTBEAT_LIMIT + delayed_heartbeats(in_flight, heartbeat) {
                        return LinkEnd::Silent;
                    }
                    answered = false;
                    sequence += 1;
                    calls.push(send_heartbeat(link, sequence));
                }
            }
        }
    }

    /// Sends the next batch of frames. Returns its size in bytes, and the answer, which resolves to
    /// the same size.
    fn deliver(&self, link: &OpenLink) -> (usize, Promise<usize, capnp::Error>) {
        let batch = self.queue.take_batch();
        let bytes: usize = batch.iter().map(|frame| frame.body.len()).sum();
        add(&self.counters.frames, batch.len());
        add(&self.counters.bytes, bytes);
        let mut request = link.session.deliver_request();
        let mut frames = request.get().init_frames(u32::try_from(batch.len()).unwrap_or(0));
        for (index, QueuedFrame { class, body }) in (0..).zip(&batch) {
            let mut frame = frames.reborrow().get(index);
            frame.set_class(*class);
            frame.set_body(body);
        }
        let answer = request.send().promise;
        (bytes, Promise::from_future(async move { answer.await.map(|_| bytes) }))
    }
}

/// Returns how many more heartbeats may stay unanswered because bytes in flight delay them.
fn delayed_heartbeats(bytes: usize, heartbeat: Duration) -> u32 {
    let wait =
        Duration::from_secs_f64(bytes as f64 / SLOWEST_LINK_RATE as f64).min(MAX_HEARTBEAT_DELAY);
    let heartbeats = wait.as_nanos() / heartbeat.as_nanos().max(1);
    u32::try_from(heartbeats).unwrap_or(u32::MAX / 2)
}

/// Sends a heartbeat. Its answer resolves to 0, as heartbeats are not counted as bytes in flight.
fn send_heartbeat(link: &OpenLink, sequence: u64) -> Promise<usize, capnp::Error> {
    let mut request = link.session.heartbeat_request();
    request.get().set_sequence(sequence);
    let answer = request.send().promise;
    Promise::from_future(async move { answer.await.map(|_| 0) })
}
