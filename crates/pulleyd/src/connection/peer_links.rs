//! The links of one host to other hosts, over capnp-rpc.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side;
use pulley_core::{FastMap, HostId};
use pulley_wire::peer_capnp::gate;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use super::peer_frame::{FRAME_LIMIT, FrameClass, InboundFrame};
use super::peer_gate::{GateContext, LinkGate, PeerActivity};
use super::peer_link_queue::{LinkQueue, QueuedFrame};
use super::peer_link_settings::LinkSettings;
use super::peer_outbound_link::{LinkCounters, OutboundLink, add, rpc_system};
use super::relay_handshake::RELAY_PREAMBLE;

/// Maximum number of open accepted connections: one for each other host, and as many that are being
/// replaced.
const MAX_ACCEPTED_CONNECTIONS: usize = 2_048;
/// Timeout for the authentication of a peer that connects.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of heartbeat intervals without a call after which an accepted connection is closed. This
/// frees the connections of hosts that vanished without closing them. A live peer that opened a
/// silent connection gives up sooner.
const SILENCE_INTERVALS: u32 = 10;

/// Counters of the links of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkCounts {
    /// Links opened.
    pub opened: u64,
    /// Links replaced because they had gone silent.
    pub silent: u64,
    /// Links that failed for other reasons, or could not be opened.
    pub failed: u64,
    /// Frames sent.
    pub frames: u64,
    /// Bytes of the bodies of these frames.
    pub bytes: u64,
    /// All bytes sent over links, including answers and heartbeats, without the headers of TCP.
    pub wire_bytes: u64,
    /// Frames dropped because a queue was full or its link failed.
    pub dropped: u64,
}

#[derive(Debug)]
struct LinkHandle {
    address: SocketAddr,
    queue: Rc<LinkQueue>,
    is_connected: Rc<Cell<bool>>,
    task: JoinHandle<()>,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The links of one host. They run on the control thread's `LocalSet`.
///
/// A host opens its own link to each host it sends to, with the first frame. Replies come over the
/// other host's link. Frames of one link arrive in order. Frames in flight when a link fails are
/// lost.
#[derive(Debug)]
pub struct PeerLinks {
    settings: Rc<LinkSettings>,
    address: SocketAddr,
    addresses: FastMap<HostId, SocketAddr>,
    links: RefCell<FastMap<HostId, LinkHandle>>,
    counters: Rc<LinkCounters>,
    acceptor: JoinHandle<()>,
}

impl PeerLinks {
    /// Starts to listen, and forwards the frames of authenticated hosts to `inbound`. Must be
    /// called within a `LocalSet`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(
        settings: LinkSettings,
        inbound: mpsc::Sender<InboundFrame>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let context = GateContext {
            host: settings.host.clone(),
            cluster: settings.cluster.clone(),
            process: settings.process_id,
            key_ring: settings.key_ring.clone(),
            inbound,
        };
        let counters = Rc::<LinkCounters>::default();
        let silence_limit = settings.heartbeat * SILENCE_INTERVALS;
        let service = PeerService {
            gate: Rc::new(context),
            silence_limit,
            counters: Rc::clone(&counters),
            relayed: settings.relayed.clone(),
        };
        let acceptor = tokio::task::spawn_local(accept_all(listener, Rc::new(service)));
        Ok(Self {
            settings: Rc::new(settings),
            address,
            addresses: FastMap::default(),
            links: RefCell::default(),
            counters,
            acceptor,
        })
    }

    /// Returns the address to which other hosts connect.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address of a host. A link to a former address of it is closed.
    pub fn set_address(&mut self, host: &HostId, address: SocketAddr) {
        self.addresses.insert(host.clone(), address);
        let mut links = self.links.borrow_mut();
        if links.get(host).is_some_and(|link| link.address != address) {
            links.remove(host);
        }
    }

    /// Removes a departed host, and closes the link to it.
    pub fn forget(&mut self, host: &HostId) {
        self.addresses.remove(host);
        self.links.borrow_mut().remove(host);
    }

    /// Queues a frame for a host, and opens a link if there is none. Returns false if the frame was
    /// dropped because the host's address is unknown, its queue is full, or the body is larger than
    /// [`FRAME_LIMIT`].
    pub fn send(&self, host: &HostId, class: FrameClass, body: Bytes) -> bool {
        let Some(address) = self.addresses.get(host).filter(|_| body.len() <= FRAME_LIMIT) else {
            return false;
        };
        let mut links = self.links.borrow_mut();
        let open = links.get(host).is_some_and(|link| !link.task.is_finished());
        if !open {
            links.insert(host.clone(), self.open_link(host, *address));
        }
        let queued =
            links.get(host).is_some_and(|link| link.queue.push(QueuedFrame { class, body }));
        if !queued {
            add(&self.counters.dropped, 1);
        }
        queued
    }

    /// Returns the hosts to which a link is open and authenticated.
    #[must_use]
    pub fn connected_hosts(&self) -> Vec<HostId> {
        let links = self.links.borrow();
        let open = links.iter().filter(|(_, link)| link.is_connected.get());
        let mut hosts: Vec<HostId> = open.map(|(host, _)| host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// Returns the counters so far.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            opened: self.counters.opened.get(),
            silent: self.counters.silent.get(),
            failed: self.counters.failed.get(),
            frames: self.counters.frames.get(),
            bytes: self.counters.bytes.get(),
            wire_bytes: self.counters.wire_bytes.get(),
            dropped: self.counters.dropped.get(),
        }
    }

    fn open_link(&self, host: &HostId, address: SocketAddr) -> LinkHandle {
        let settings = Rc::clone(&self.settings);
        let queue = Rc::new(LinkQueue::new(settings.queue_frames, settings.queue_bytes));
        let is_connected = Rc::new(Cell::new(false));
        let link = OutboundLink {
            settings,
            peer: host.clone(),
            address,
            queue: Rc::clone(&queue),
            is_connected: Rc::clone(&is_connected),
            counters: Rc::clone(&self.counters),
        };
        let task = tokio::task::spawn_local(link.run());
        LinkHandle { address, queue, is_connected, task }
    }
}

impl Drop for PeerLinks {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

/// Accepts connections. All of them are closed when this task ends.
async fn accept_all(listener: TcpListener, service: Rc<PeerService>) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // A typical cause is a lack of file descriptors. Retrying at once would be a busy loop.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if connections.len() < MAX_ACCEPTED_CONNECTIONS && stream.set_nodelay(true).is_ok() {
            connections.spawn_local(Rc::clone(&service).serve(stream));
        }
    }
}

/// What accepted connections are served with.
struct PeerService {
    gate: Rc<GateContext>,
    silence_limit: Duration,
    counters: Rc<LinkCounters>,
    relayed: Option<mpsc::Sender<std::net::TcpStream>>,
}

impl PeerService {
    /// Serves one accepted connection, as a link or by having it relayed.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut first = [0];
        let peeked = tokio::time::timeout(AUTHENTICATION_TIMEOUT, stream.peek(&mut first)).await;
        if !matches!(peeked, Ok(Ok(1))) {
            return;
        }
        if first[0] != RELAY_PREAMBLE[0] {
            self.serve_link(stream).await;
        } else if let (Some(relayed), Ok(stream)) = (&self.relayed, stream.into_std()) {
            // If too many of them wait, this one is closed, and its host asks another.
            let _ = relayed.try_send(stream);
        }
    }

    /// Serves a link until its peer closes it, fails to authenticate in time, or goes silent.
    async fn serve_link(&self, stream: TcpStream) {
        let activity = Rc::new(PeerActivity::new());
        let gate = LinkGate::new(Rc::clone(&self.gate), Rc::clone(&activity));
        let gate: gate::Client = capnp_rpc::new_client(gate);
        let counters = Rc::clone(&self.counters);
        let system = rpc_system(stream, Side::Server, Some(gate.client), counters);
        tokio::select! {
            _ = system => {}
            () = wait_until_silent(&activity, self.silence_limit) => {}
        }
    }
}

/// Returns when the peer has not authenticated itself in time or has been silent for too long.
async fn wait_until_silent(activity: &PeerActivity, silence_limit: Duration) {
    tokio::time::sleep(AUTHENTICATION_TIMEOUT).await;
    while activity.is_authenticated() {
        let quiet = activity.last_seen().elapsed();
        if quiet >= silence_limit {
            return;
        }
        tokio::time::sleep(silence_limit - quiet).await;
    }
}
