//! State that lives as long as one connection.

mod peer_datagrams;
mod peer_frame;
mod peer_gate;
mod peer_key_ring;
mod peer_link_caller;
mod peer_link_queue;
mod peer_link_settings;
mod peer_links;

pub use peer_datagrams::{DatagramCounts, DatagramSeal, PeerDatagrams};
pub use peer_frame::{DATAGRAM_LIMIT, FRAME_LIMIT, FrameClass, InboundDatagram, InboundFrame};
pub use peer_key_ring::{KeyFault, KeyResult, KeyRing};
pub use peer_link_settings::LinkSettings;
pub use peer_links::{LinkCounts, PeerLinks};
