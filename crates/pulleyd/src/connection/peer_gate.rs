//! The accepting side of a link: authenticates both hosts, then receives frames.

use std::cell::Cell;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Instant;

use bytes::Bytes;
use pulley_core::HostId;
use pulley_core::process::ClusterId;
use pulley_wire::peer_capnp::{gate, session};
use tokio::sync::{Mutex, mpsc};

use super::peer_frame::{FRAME_LIMIT, InboundFrame};
use super::peer_key_ring::KeyRing;

/// Length of the nonces that make each proof valid for one link only.
pub(crate) const NONCE_LENGTH: usize = 32;

/// The side that a proof is from. It is part of the signed data, so that a proof cannot be
/// reflected to its sender as the proof of the other side.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HandshakeRole {
    Initiator,
    Responder,
}

/// Both nonces of a link, first that of the side that opened it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkNonces {
    pub(crate) initiator: [u8; NONCE_LENGTH],
    pub(crate) responder: [u8; NONCE_LENGTH],
}

/// The data that a proof signs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkProof<'a> {
    pub(crate) role: HandshakeRole,
    pub(crate) cluster: &'a ClusterId,
    pub(crate) host: &'a str,
    pub(crate) process: u64,
    pub(crate) nonces: LinkNonces,
}

impl LinkProof<'_> {
    pub(crate) fn sign(&self, key_ring: &KeyRing) -> [u8; 32] {
        self.with_parts(|parts| key_ring.sign(parts))
    }

    pub(crate) fn verify(&self, key_ring: &KeyRing, tag: &[u8]) -> bool {
        tag.len() == 32 && self.with_parts(|parts| key_ring.verify(parts, tag))
    }

    fn with_parts<T>(&self, use_parts: impl FnOnce(&[&[u8]]) -> T) -> T {
        let role: &[u8] = match self.role {
            HandshakeRole::Initiator => b"link caller",
            HandshakeRole::Responder => b"link called",
        };
        let process = self.process.to_le_bytes();
        let (host, cluster) = (self.host.as_bytes(), self.cluster.as_str().as_bytes());
        use_parts(&[role, cluster, host, &process, &self.nonces.initiator, &self.nonces.responder])
    }
}

/// State shared by all accepted links.
#[derive(Debug)]
pub(crate) struct GateContext {
    pub(crate) host: HostId,
    pub(crate) cluster: ClusterId,
    pub(crate) process: u64,
    pub(crate) key_ring: KeyRing,
    pub(crate) inbound: mpsc::Sender<InboundFrame>,
}

/// Activity of the peer on an accepted connection, so that the connection's owner can close it when
/// the peer is gone.
#[derive(Debug)]
pub(crate) struct PeerActivity {
    authenticated: Cell<bool>,
    last_seen: Cell<Instant>,
}

impl PeerActivity {
    pub(crate) fn new() -> Self {
        Self { authenticated: Cell::new(false), last_seen: Cell::new(Instant::now()) }
    }

    /// Whether the peer has authenticated itself.
    pub(crate) fn is_authenticated(&self) -> bool {
        self.authenticated.get()
    }

    /// Returns when the peer last sent a call.
    pub(crate) fn last_seen(&self) -> Instant {
        self.last_seen.get()
    }
}

/// Authenticates the peer on a new connection.
#[derive(Debug)]
pub(crate) struct LinkGate {
    context: Rc<GateContext>,
    nonce: Cell<Option<[u8; NONCE_LENGTH]>>,
    activity: Rc<PeerActivity>,
}

impl LinkGate {
    pub(crate) fn new(context: Rc<GateContext>, activity: Rc<PeerActivity>) -> Self {
        Self { context, nonce: Cell::new(None), activity }
    }
}

impl gate::Server for LinkGate {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce: [u8; NONCE_LENGTH] = rand::random();
        self.nonce.set(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), capnp::Error> {
        let refused = || capnp::Error::failed("refused".to_owned());
        let context = &self.context;
        let hello = params.get()?.get_hello()?;
        // A nonce is valid for one attempt, so a wrong proof cannot be followed by another guess.
        let responder = self.nonce.take().ok_or_else(refused)?;
        let initiator = hello.get_nonce()?.try_into().map_err(|_| refused())?;
        let nonces = LinkNonces { initiator, responder };
        let host = hello.get_host()?.to_str()?;
        let process = hello.get_process();
        let cluster = &context.cluster;
        let theirs = LinkProof { role: HandshakeRole::Initiator, cluster, host, process, nonces };
        let genuine = hello.get_cluster()?.to_str()? == cluster.as_str()
            && theirs.verify(&context.key_ring, hello.get_proof()?);
        let from = HostId::from_str(host).map_err(|_| refused())?;
        if !genuine {
            return Err(refused());
        }
        self.activity.authenticated.set(true);
        self.activity.last_seen.set(Instant::now());
        let (host, process) = (context.host.as_str(), context.process);
        let ours = LinkProof { role: HandshakeRole::Responder, cluster, host, process, nonces };
        let mut accepted = results.get().init_accepted();
        accepted.set_host(host);
        accepted.set_process(process);
        accepted.set_proof(&ours.sign(&context.key_ring));
        let (inbound, activity) = (context.inbound.clone(), Rc::clone(&self.activity));
        let session = LinkSession { from, inbound, activity, delivery_order: Mutex::new(()) };
        accepted.set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// Receives the frames of an authenticated peer.
#[derive(Debug)]
struct LinkSession {
    from: HostId,
    inbound: mpsc::Sender<InboundFrame>,
    activity: Rc<PeerActivity>,
    /// Keeps frames in order while several calls wait for space in the queue.
    delivery_order: Mutex<()>,
}

impl session::Server for LinkSession {
    async fn heartbeat(
        self: Rc<Self>,
        params: session::HeartbeatParams,
        mut results: session::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        self.activity.last_seen.set(Instant::now());
        results.get().set_sequence(params.get()?.get_sequence());
        Ok(())
    }

    /// Answers once the frames are in the control thread's queue. This is the backpressure: a peer
    /// that sends faster than the thread reads has to wait, with a bounded number of frames in
    /// flight.
    async fn deliver(
        self: Rc<Self>,
        params: session::DeliverParams,
        _: session::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.activity.last_seen.set(Instant::now());
        let _ordered = self.delivery_order.lock().await;
        for frame in params.get()?.get_frames()? {
            let body = frame.get_body()?;
            if body.len() > FRAME_LIMIT {
                return Err(capnp::Error::failed("frame too large".to_owned()));
            }
            let body = Bytes::copy_from_slice(body);
            // A class added by a later version. Its sender retries with hosts that know it.
            let Ok(class) = frame.get_class() else {
                continue;
            };
            let frame = InboundFrame { from: self.from.clone(), class, body };
            let disconnected = |_| capnp::Error::disconnected("shutting down".to_owned());
            self.inbound.send(frame).await.map_err(disconnected)?;
        }
        Ok(())
    }
}
