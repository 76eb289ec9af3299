//! Messages between hosts, as received over links and in datagrams.

use std::net::SocketAddr;

use bytes::Bytes;
use pulley_core::HostId;
use pulley_core::version::CHANGE_BYTES_LIMIT;
pub use pulley_wire::peer_capnp::FrameClass;

/// The largest body of one frame on a link, in bytes. Larger data is sent in chunks.
///
/// A larger frame is never sent, so the limit leaves room for the largest accepted change plus the
/// other log entries that may be sent with it. A log entry that fits in no frame would be proposed
/// but never committed, and would block the log forever.
pub const FRAME_LIMIT: usize = CHANGE_BYTES_LIMIT + OTHER_ENTRIES_BYTES;

/// Bytes reserved for the log entries that may be sent in the same frame as a change.
const OTHER_ENTRIES_BYTES: usize = 128 << 10;

/// The largest body of a datagram, in bytes. With its headers it fits in one Ethernet frame.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// A frame that an authenticated host sent over a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundFrame {
    /// The host that sent it.
    pub from: HostId,
    /// The kind of message.
    pub class: FrameClass,
    /// The encoded message.
    pub body: Bytes,
}

/// A datagram whose tag proves that a host of this installation sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InboundDatagram {
    /// The host that sent it.
    pub sender: HostId,
    /// The address it came from.
    pub from: SocketAddr,
    /// The kind of message.
    pub class: FrameClass,
    /// The encoded message.
    pub body: Bytes,
}
