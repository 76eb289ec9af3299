//! The side of a link that calls: connects, proves, delivers frames and watches for silence.

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
use super::peer_gate::{LinkNonces, LinkProof, NONCE_LENGTH, ProofSide};
use super::peer_link_queue::{BATCH_BYTES, LinkQueue, QueuedFrame};
use super::peer_link_settings::LinkSettings;

/// How many calls may be unanswered before frames wait in the queue instead.
const CALL_WINDOW: usize = 16;
/// How many heartbeats may go unanswered until the link is replaced.
const MISSED_LIMIT: u32 = 2;
/// The slowest that a link is taken to be, in bytes a second: heartbeats wait behind what is on it.
const SLOWEST_LINK: usize = 128 << 10;
/// The longest that heartbeats may wait for what is on the link, before they count as unanswered.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// How long connecting and proving may take together.
const ENTRY_LIMIT: Duration = Duration::from_secs(2);
/// The first pause after a failure to connect; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause: a host that is back is found again within a second.
const LAST_PAUSE: Duration = Duration::from_millis(800);

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum LinkEnd {
    /// Nothing was sent for long.
    #[error("idle")]
    Idle,
    /// Heartbeats went unanswered, though the connection is open.
    #[error("silent")]
    Silent,
    /// No connection within the limit.
    #[error("no entry in time")]
    Timeout,
    /// The other side's proof is wrong, or it is another host.
    #[error("the other side is not who it should be")]
    Impostor,
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

/// Adds to a counter.
pub(crate) fn add(counter: &Cell<u64>, count: usize) {
    counter.set(counter.get() + count as u64);
}

/// What calling one host needs.
#[derive(Debug)]
pub(crate) struct LinkCaller {
    pub(crate) settings: Rc<LinkSettings>,
    pub(crate) peer: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) queue: Rc<LinkQueue>,
    pub(crate) linked: Rc<Cell<bool>>,
    pub(crate) counters: Rc<LinkCounters>,
}

/// Options for messages read from a connection: bounded, as they are read before any proof.
pub(crate) fn reader_options() -> ReaderOptions {
    const WORD: usize = 8;
    let mut options = ReaderOptions::new();
    // A batch is at most its byte limit and one frame more; the rest is room for pointers.
    options.traversal_limit_in_words(Some((FRAME_LIMIT + 4 * BATCH_BYTES) / WORD));
    options
}

/// Makes the RPC system of one connection, and counts the bytes that it sends.
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

/// Ends a task when dropped, and with it its connection.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A link whose two sides have proved themselves.
struct OpenLink {
    session: session::Client,
    _system: TaskGuard,
}

impl LinkCaller {
    /// Keeps the link going until it is idle: a new connection follows each failed one.
    pub(crate) async fn run(self) {
        let mut pause = FIRST_PAUSE;
        loop {
            let idle = self.settings.idle_limit;
            if timeout(idle, self.queue.filled()).await.is_err() {
                return;
            }
            let ended = match timeout(ENTRY_LIMIT, self.open()).await {
                Ok(Ok(link)) => {
                    pause = FIRST_PAUSE;
                    add(&self.counters.opened, 1);
                    self.linked.set(true);
                    let ended = self.serve(&link).await;
                    self.linked.set(false);
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
            // Frames for a host that can't be reached are stale when it can: whoever sent them
            // sends the present state again.
            add(&self.counters.dropped, self.queue.clear());
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LAST_PAUSE);
        }
    }

    async fn open(&self) -> Result<OpenLink, LinkEnd> {
        let stream = self.connect().await?;
        let mut system = rpc_system(stream, Side::Client, None, Rc::clone(&self.counters));
        let gate: gate::Client = system.bootstrap(Side::Server);
        let system = TaskGuard(tokio::task::spawn_local(async move {
            // The calls on the link fail when it does; they report it.
            let _ = system.await;
        }));
        let session = self.enter(&gate).await?;
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

    /// Proves the own host and checks the other's proof, before a frame goes out.
    async fn enter(&self, gate: &gate::Client) -> Result<session::Client, LinkEnd> {
        let settings = &self.settings;
        let challenge = gate.challenge_request().send().promise.await?;
        let called: [u8; NONCE_LENGTH] =
            challenge.get()?.get_nonce()?.try_into().map_err(|_| LinkEnd::Impostor)?;
        let nonces = LinkNonces { caller: rand::random(), called };
        let (cluster, host, process) =
            (&settings.cluster, settings.host.as_str(), settings.process);
        let ours = LinkProof { side: ProofSide::Caller, cluster, host, process, nonces };
        let mut request = gate.enter_request();
        let mut hello = request.get().init_hello();
        hello.set_cluster(cluster.as_str());
        hello.set_host(host);
        hello.set_process(process);
        hello.set_nonce(&nonces.caller);
        hello.set_proof(&ours.sign(&settings.key_ring));
        let response = request.send().promise.await?;
        let accepted = response.get()?.get_accepted()?;
        let host = accepted.get_host()?.to_str().map_err(|_| LinkEnd::Impostor)?;
        let process = accepted.get_process();
        let theirs = LinkProof { side: ProofSide::Called, cluster, host, process, nonces };
        let genuine = theirs.verify(&settings.key_ring, accepted.get_proof()?);
        if !genuine || host != self.peer.as_str() {
            return Err(LinkEnd::Impostor);
        }
        Ok(accepted.get_session()?)
    }

    /// Delivers frames until the link is idle, fails, or falls silent.
    ///
    /// Something between two hosts may lose track of a connection: TCP then calls it open for many
    /// minutes and everything written to it vanishes. Every answer shows that the link lives; if
    /// two heartbeats stay unanswered it is given up, and the next frame opens a new one. A large
    /// frame on a slow link holds heartbeats up, so they have longer while it is under way.
    async fn serve(&self, link: &OpenLink) -> LinkEnd {
        let heartbeat = self.settings.heartbeat;
        let mut calls = FuturesUnordered::new();
        let mut ticker = interval_at(Instant::now() + heartbeat, heartbeat);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut heard, mut missed, mut beat) = (true, 0, 0);
        let mut under_way = 0;
        let mut last_frame = Instant::now();
        loop {
            tokio::select! {
                () = self.queue.filled(), if calls.len() < CALL_WINDOW => {
                    last_frame = Instant::now();
                    let (bytes, answer) = self.deliver(link);
                    under_way += bytes;
                    calls.push(answer);
                }
                Some(answer) = calls.next() => match answer {
                    Ok(bytes) => {
                        under_way -= bytes;
                        heard = true;
                    }
                    Err(error) => return LinkEnd::Call(error),
                },
                _ = ticker.tick() => {
                    if last_frame.elapsed() >= self.settings.idle_limit {
                        return LinkEnd::Idle;
                    }
                    missed = if heard { 0 } else { missed + 1 };
                    if missed > MISSED_LIMIT + beats_behind(under_way, heartbeat) {
                        return LinkEnd::Silent;
                    }
                    heard = false;
                    beat += 1;
                    calls.push(send_heartbeat(link, beat));
                }
            }
        }
    }

    /// Sends the next frames; gives their bytes, and again with the answer.
    fn deliver(&self, link: &OpenLink) -> (usize, Promise<usize, capnp::Error>) {
        let batch = self.queue.take_batch();
        let bytes: usize = batch.iter().map(|frame| frame.body.len()).sum();
        add(&self.counters.frames, batch.len());
        add(&self.counters.bytes, bytes);
        let mut request = link.session.deliver_request();
        let mut frames = request.get().init_frames(u32::try_from(batch.len()).unwrap_or(0));
        for (place, QueuedFrame { class, body }) in (0..).zip(&batch) {
            let mut frame = frames.reborrow().get(place);
            frame.set_class(*class);
            frame.set_body(body);
        }
        let answer = request.send().promise;
        (bytes, Promise::from_future(async move { answer.await.map(|_| bytes) }))
    }
}

/// How many heartbeats may wait behind bytes that are under way.
fn beats_behind(bytes: usize, heartbeat: Duration) -> u32 {
    let wait = Duration::from_secs_f64(bytes as f64 / SLOWEST_LINK as f64).min(LONGEST_WAIT);
    let beats = wait.as_nanos() / heartbeat.as_nanos().max(1);
    u32::try_from(beats).unwrap_or(u32::MAX / 2)
}

/// Asks for a sign of life; none of the bytes under way are its own.
fn send_heartbeat(link: &OpenLink, sequence: u64) -> Promise<usize, capnp::Error> {
    let mut request = link.session.heartbeat_request();
    request.get().set_sequence(sequence);
    let answer = request.send().promise;
    Promise::from_future(async move { answer.await.map(|_| 0) })
}
