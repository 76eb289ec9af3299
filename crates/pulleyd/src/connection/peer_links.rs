//! The links of one host to others, over capnp-rpc.

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
use super::peer_gate::{CallerActivity, GateContext, LinkGate};
use super::peer_link_caller::{LinkCaller, LinkCounters, add, rpc_system};
use super::peer_link_queue::{LinkQueue, QueuedFrame};
use super::peer_link_settings::LinkSettings;

/// How many accepted connections may be open: each other host's, and as many that it replaces.
const ACCEPT_LIMIT: usize = 2_048;
/// How long a caller may take to prove itself.
const PROOF_LIMIT: Duration = Duration::from_secs(2);
/// After how many silent heartbeat intervals an accepted connection is closed. Its caller gives up
/// sooner; this frees what a host left behind that vanished without closing.
const SILENCE_FACTOR: u32 = 10;

/// How the links of one host fared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkCounts {
    /// Links opened.
    pub opened: u64,
    /// Links replaced because they had fallen silent.
    pub silent: u64,
    /// Links that failed otherwise, or could not be opened.
    pub failed: u64,
    /// Frames sent.
    pub frames: u64,
    /// Bytes of their bodies.
    pub bytes: u64,
    /// Bytes of everything sent over links, answers and heartbeats included, without TCP's headers.
    pub wire_bytes: u64,
    /// Frames dropped from a queue.
    pub dropped: u64,
}

#[derive(Debug)]
struct LinkHandle {
    address: SocketAddr,
    queue: Rc<LinkQueue>,
    linked: Rc<Cell<bool>>,
    task: JoinHandle<()>,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The links of one host; they live on the control thread's `LocalSet`.
///
/// Each host opens its own link to whom it sends to, when it first does; answers come over the
/// other host's link. Frames of one link arrive in order; frames that were under way when a link
/// failed are lost.
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
    /// Listens, and passes on the frames that authenticated hosts send. Must be called within a
    /// `LocalSet`.
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
            process: settings.process,
            key_ring: settings.key_ring.clone(),
            inbound,
        };
        let counters = Rc::<LinkCounters>::default();
        let silence = settings.heartbeat * SILENCE_FACTOR;
        let acceptor = tokio::task::spawn_local(accept_all(
            listener,
            Rc::new(context),
            silence,
            Rc::clone(&counters),
        ));
        Ok(Self {
            settings: Rc::new(settings),
            address,
            addresses: FastMap::default(),
            links: RefCell::default(),
            counters,
            acceptor,
        })
    }

    /// The address that other hosts call.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Notes where a host is; a link to another address of it is given up.
    pub fn set_address(&mut self, host: &HostId, address: SocketAddr) {
        self.addresses.insert(host.clone(), address);
        let mut links = self.links.borrow_mut();
        if links.get(host).is_some_and(|link| link.address != address) {
            links.remove(host);
        }
    }

    /// Forgets a host that has gone, and gives up the link to it.
    pub fn forget(&mut self, host: &HostId) {
        self.addresses.remove(host);
        self.links.borrow_mut().remove(host);
    }

    /// Sends a frame, opening a link if there is none. Returns false if the frame was dropped: the
    /// host's address is unknown, its queue is full, or the body is larger than [`FRAME_LIMIT`].
    pub fn send(&self, host: &HostId, class: FrameClass, body: Bytes) -> bool {
        let Some(address) = self.addresses.get(host).filter(|_| body.len() <= FRAME_LIMIT) else {
            return false;
        };
        let mut links = self.links.borrow_mut();
        let open = links.get(host).is_some_and(|link| !link.task.is_finished());
        if !open {
            links.insert(host.clone(), self.call(host, *address));
        }
        let taken =
            links.get(host).is_some_and(|link| link.queue.push(QueuedFrame { class, body }));
        if !taken {
            add(&self.counters.dropped, 1);
        }
        taken
    }

    /// The hosts to which a link is open and proved.
    #[must_use]
    pub fn linked(&self) -> Vec<HostId> {
        let links = self.links.borrow();
        let open = links.iter().filter(|(_, link)| link.linked.get());
        let mut hosts: Vec<HostId> = open.map(|(host, _)| host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// How the links fared so far.
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

    fn call(&self, host: &HostId, address: SocketAddr) -> LinkHandle {
        let settings = Rc::clone(&self.settings);
        let queue = Rc::new(LinkQueue::new(settings.queue_frames, settings.queue_bytes));
        let linked = Rc::new(Cell::new(false));
        let caller = LinkCaller {
            settings,
            peer: host.clone(),
            address,
            queue: Rc::clone(&queue),
            linked: Rc::clone(&linked),
            counters: Rc::clone(&self.counters),
        };
        let task = tokio::task::spawn_local(caller.run());
        LinkHandle { address, queue, linked, task }
    }
}

impl Drop for PeerLinks {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

/// Accepts connections; all of them end with this task.
async fn accept_all(
    listener: TcpListener,
    context: Rc<GateContext>,
    silence: Duration,
    counters: Rc<LinkCounters>,
) {
    const PAUSE: Duration = Duration::from_millis(50);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // Out of file descriptors: trying again at once would only spin.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if connections.len() < ACCEPT_LIMIT && stream.set_nodelay(true).is_ok() {
            connections.spawn_local(serve_caller(
                stream,
                Rc::clone(&context),
                silence,
                Rc::clone(&counters),
            ));
        }
    }
}

/// Serves one caller until it closes, proves nothing in time, or falls silent.
async fn serve_caller(
    stream: TcpStream,
    context: Rc<GateContext>,
    silence: Duration,
    counters: Rc<LinkCounters>,
) {
    let activity = Rc::new(CallerActivity::new());
    let gate: gate::Client = capnp_rpc::new_client(LinkGate::new(context, Rc::clone(&activity)));
    let system = rpc_system(stream, Side::Server, Some(gate.client), counters);
    tokio::select! {
        _ = system => {}
        () = watch(&activity, silence) => {}
    }
}

/// Ends when a caller has not proved itself in time or has been silent for too long.
async fn watch(activity: &CallerActivity, silence: Duration) {
    tokio::time::sleep(PROOF_LIMIT).await;
    while activity.has_entered() {
        let quiet = activity.last().elapsed();
        if quiet >= silence {
            return;
        }
        tokio::time::sleep(silence - quiet).await;
    }
}
