//! Messages between hosts, as links and datagrams carry them.

use std::net::SocketAddr;

use bytes::Bytes;
use pulley_core::HostId;
use pulley_core::version::CHANGE_BYTES_LIMIT;
pub use pulley_wire::peer_capnp::FrameClass;

/// The largest body of one frame on a link, in bytes; larger things go in chunks.
///
/// A frame over it is never sent, so it holds the largest change that is accepted, and the other
/// entries that may travel with it. An entry that fits no frame would be proposed, never committed,
/// and hold up the log for good.
pub const FRAME_LIMIT: usize = CHANGE_BYTES_LIMIT + OTHER_ENTRIES_BYTES;

/// Room for the entries that may travel with a change.
const OTHER_ENTRIES_BYTES: usize = 128 << 10;

/// The largest body of a datagram, in bytes, so that with its header it fits an Ethernet frame.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// A frame that an authenticated host sent over a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundFrame {
    /// Who sent it.
    pub from: HostId,
    /// What it is about.
    pub class: FrameClass,
    /// The encoded message.
    pub body: Bytes,
}

/// A datagram whose tag proves that a host of this installation sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundDatagram {
    /// Who sent it.
    pub sender: HostId,
    /// Where it came from.
    pub from: SocketAddr,
    /// What it is about.
    pub class: FrameClass,
    /// The encoded message.
    pub body: Bytes,
}
