//! Authenticated UDP datagrams between hosts, for messages of which only the latest matters.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use pulley_core::HostId;
use pulley_core::process::ClusterId;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::peer_frame::{DATAGRAM_LIMIT, FrameClass, InboundDatagram};
use super::peer_key_ring::KeyRing;

/// The first byte of a datagram that carries one message. A later format would use another value.
const SINGLE_FORMAT: u8 = 1;
/// The first byte of a datagram that carries several messages.
const BUNDLE_FORMAT: u8 = 2;
/// Bytes of the class and length that precede each message of a bundle.
const PART_HEADER_LENGTH: usize = 3;
/// Length of the tag: HMAC-SHA256 truncated to half, as RFC 2104 section 5 allows.
const TAG_LENGTH: usize = 16;
/// Domain separator between the tags of datagrams and the proofs of links under the same key.
const TAG_CONTEXT: &[u8] = b"datagram";
/// Maximum bytes around a body: format, class, length of the sender's name, the longest name, and
/// the tag.
const MAX_OVERHEAD: usize = 3 + 64 + TAG_LENGTH;
/// Number of datagrams to read before yielding to other tasks of the control thread.
const READ_BURST: usize = 64;

/// Numbers of datagrams sent, received and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Datagrams not sent, because they were too large or the socket's buffer was full.
    pub unsent: u64,
    /// Datagrams received with a valid tag.
    pub received: u64,
    /// Bytes received in datagrams with a valid tag, without the headers of UDP and IP.
    pub received_bytes: u64,
    /// Datagrams received that were malformed or had a wrong tag.
    pub refused: u64,
    /// Messages with a valid tag that were dropped because the control thread's queue was full.
    pub dropped: u64,
}

#[derive(Debug, Default)]
struct DatagramCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    unsent: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    refused: AtomicU64,
    dropped: AtomicU64,
}

/// The UDP socket of one host.
///
/// Gossip and counts of requests in progress are sent in datagrams. The latest message replaces
/// earlier ones, so retransmitting a lost one over a connection that has gone silent would gain
/// nothing.
#[derive(Debug)]
pub struct PeerDatagrams {
    socket: Arc<UdpSocket>,
    seal: DatagramSeal,
    counters: Arc<DatagramCounters>,
    reader: JoinHandle<()>,
}

impl PeerDatagrams {
    /// Binds the socket and forwards received messages to `inbound`. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        seal: DatagramSeal,
        inbound: mpsc::Sender<InboundDatagram>,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        // Until the runtime knows that the socket is writable, every send would drop its datagram.
        socket.writable().await?;
        let counters = Arc::new(DatagramCounters::default());
        let reader = receive_all(Arc::clone(&socket), seal.clone(), Arc::clone(&counters), inbound);
        let reader = tokio::spawn(reader);
        Ok(Self { socket, seal, counters, reader })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// If the operating system cannot report it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    #[expect(
        clippy::must_use_candidate,
        reason = "a lost datagram is no error, as a later one follows"
    )]
    /// Sends a message, or drops it if the socket's buffer is full. Returns whether it was sent.
    pub fn send(&self, to: SocketAddr, class: FrameClass, body: &[u8]) -> bool {
        let sealed = (body.len() <= DATAGRAM_LIMIT).then(|| self.seal.seal(class, body));
        let sent = sealed.and_then(|datagram| self.socket.try_send_to(&datagram, to).ok());
        self.record_sent(sent)
    }

    /// Sends messages to one host, in one datagram if they fit.
    ///
    /// Each datagram wakes up both hosts and carries its own headers, name and tag. On a mostly
    /// idle system that overhead is larger than the messages themselves.
    pub fn send_bundle(&self, to: SocketAddr, parts: &[(FrameClass, Bytes)]) {
        let length: usize = parts.iter().map(|(_, body)| PART_HEADER_LENGTH + body.len()).sum();
        if parts.len() < 2 || length > DATAGRAM_LIMIT {
            for (class, body) in parts {
                self.send(to, *class, body);
            }
            return;
        }
        let sent = self.socket.try_send_to(&self.seal.seal_bundle(parts), to);
        self.record_sent(sent.ok());
    }

    fn record_sent(&self, length: Option<usize>) -> bool {
        let Some(length) = length else {
            self.counters.unsent.fetch_add(1, Ordering::Relaxed);
            return false;
        };
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        self.counters.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
        true
    }

    /// Returns the numbers of datagrams so far.
    #[must_use]
    pub fn counts(&self) -> DatagramCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        DatagramCounts {
            sent: read(&self.counters.sent),
            sent_bytes: read(&self.counters.sent_bytes),
            unsent: read(&self.counters.unsent),
            received: read(&self.counters.received),
            received_bytes: read(&self.counters.received_bytes),
            refused: read(&self.counters.refused),
            dropped: read(&self.counters.dropped),
        }
    }
}

impl Drop for PeerDatagrams {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Adds the sender's name and an authentication tag to datagrams, and verifies and removes them.
#[derive(Clone, Debug)]
pub struct DatagramSeal {
    host: HostId,
    cluster: ClusterId,
    key_ring: KeyRing,
}

impl DatagramSeal {
    /// Creates the seal of one host.
    #[must_use]
    pub fn new(host: HostId, cluster: ClusterId, key_ring: KeyRing) -> Self {
        Self { host, cluster, key_ring }
    }

    /// Encodes a datagram of one message: format, class, the sender's name, the body, and a tag
    /// over all of these and the name of the installation.
    #[must_use]
    pub fn seal(&self, class: FrameClass, body: &[u8]) -> Vec<u8> {
        self.encode([SINGLE_FORMAT, class as u8], body)
    }

    /// Encodes a datagram of several messages, each preceded by its class and length.
    #[must_use]
    pub fn seal_bundle(&self, parts: &[(FrameClass, Bytes)]) -> Vec<u8> {
        let mut bundle = Vec::new();
        for (class, body) in parts {
            bundle.push(*class as u8);
            bundle.extend_from_slice(&(body.len() as u16).to_be_bytes());
            bundle.extend_from_slice(body);
        }
        self.encode([BUNDLE_FORMAT, 0], &bundle)
    }

    fn encode(&self, [format, class]: [u8; 2], body: &[u8]) -> Vec<u8> {
        let name = self.host.as_str().as_bytes();
        let mut datagram = Vec::with_capacity(MAX_OVERHEAD + body.len());
        datagram.extend_from_slice(&[format, class, name.len() as u8]);
        datagram.extend_from_slice(name);
        datagram.extend_from_slice(body);
        let tag = self.key_ring.sign(&[TAG_CONTEXT, self.cluster.as_str().as_bytes(), &datagram]);
        datagram.extend_from_slice(&tag[..TAG_LENGTH]);
        datagram
    }

    /// Verifies a datagram and splits it into its messages. The tag is verified before anything
    /// else is parsed. If one message cannot be read, the whole datagram is rejected.
    #[must_use]
    pub fn open(&self, datagram: &[u8]) -> Option<(HostId, Vec<(FrameClass, Bytes)>)> {
        let length = datagram.len().checked_sub(TAG_LENGTH)?;
        if datagram.len() > DATAGRAM_LIMIT + MAX_OVERHEAD {
            return None;
        }
        let (signed, tag) = datagram.split_at(length);
        let cluster = self.cluster.as_str().as_bytes();
        if !self.key_ring.verify(&[TAG_CONTEXT, cluster, signed], tag) {
            return None;
        }
        let [format, class, name_length, rest @ ..] = signed else {
            return None;
        };
        let (name, body) = rest.split_at_checked(usize::from(*name_length))?;
        let host = std::str::from_utf8(name).ok()?.parse().ok()?;
        let parts = match *format {
            SINGLE_FORMAT => vec![(parse_class(*class)?, Bytes::copy_from_slice(body))],
            BUNDLE_FORMAT => open_bundle(body)?,
            _ => return None,
        };
        Some((host, parts))
    }
}

fn parse_class(byte: u8) -> Option<FrameClass> {
    FrameClass::try_from(u16::from(byte)).ok()
}

fn open_bundle(mut bundle: &[u8]) -> Option<Vec<(FrameClass, Bytes)>> {
    let mut parts = Vec::new();
    while let [class, high, low, rest @ ..] = bundle {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let (body, next) = rest.split_at_checked(length)?;
        parts.push((parse_class(*class)?, Bytes::copy_from_slice(body)));
        bundle = next;
    }
    bundle.is_empty().then_some(parts)
}

async fn receive_all(
    socket: Arc<UdpSocket>,
    seal: DatagramSeal,
    counters: Arc<DatagramCounters>,
    inbound: mpsc::Sender<InboundDatagram>,
) {
    // One byte more than the largest datagram, so that a larger one is detected instead of being
    // truncated to a valid size.
    let mut buffer = vec![0_u8; DATAGRAM_LIMIT + MAX_OVERHEAD + 1];
    let mut burst = 0;
    while !inbound.is_closed() {
        // An error here is a peer's closed port, reported by ICMP. It does not affect other peers.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Some((sender, parts)) = seal.open(&buffer[..length]) else {
            counters.refused.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        counters.received.fetch_add(1, Ordering::Relaxed);
        counters.received_bytes.fetch_add(length as u64, Ordering::Relaxed);
        for (class, body) in parts {
            let datagram = InboundDatagram { sender: sender.clone(), from, class, body };
            if inbound.try_send(datagram).is_err() {
                counters.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        burst += 1;
        if burst == READ_BURST {
            burst = 0;
            tokio::task::yield_now().await;
        }
    }
}
