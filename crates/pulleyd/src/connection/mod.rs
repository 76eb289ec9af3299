//! Connections to callers, upstreams and other hosts, and the state that belongs to each
//! connection.

mod answer_head;
mod end_check;
mod head_lines;
mod peer_datagrams;
mod peer_frame;
mod peer_gate;
mod peer_key_ring;
mod peer_link_queue;
mod peer_link_settings;
mod peer_links;
mod peer_outbound_link;
mod relay_client;
mod relay_handshake;
mod relay_server;
mod relay_stream;
mod rest_reading;
mod send_gate;

pub use answer_head::HeadFault;
pub use end_check::EndFinding;
pub use peer_datagrams::{DatagramCounts, DatagramSeal, PeerDatagrams};
pub use peer_frame::{DATAGRAM_LIMIT, FRAME_LIMIT, FrameClass, InboundDatagram, InboundFrame};
pub use peer_key_ring::{KeyFault, KeyResult, KeyRing};
pub use peer_link_settings::LinkSettings;
pub use peer_links::{LinkCounts, PeerLinks};
pub use relay_client::RelayIdentity;
pub use relay_server::RelayServer;
mod caller_listener;
mod keepalive_policy;
mod link_meter;
mod metered_stream;
mod path_watch;
mod traffic_threads;
mod upstream_connections;
mod upstream_dialer;
mod upstream_link;
mod upstream_links;
mod upstream_prober;

pub use caller_listener::{CallerListener, DrainReport};
pub use keepalive_policy::KeepalivePolicy;
pub use link_meter::LinkMeter;
pub use rest_reading::RestReading;
pub use send_gate::{AnswerStops, SendGate};
pub use traffic_threads::TrafficThreads;
pub use upstream_connections::{LinkRequest, UpstreamConnections, UpstreamTarget};
pub use upstream_dialer::can_reach;
pub use upstream_link::{Answering, LinkFault, SendRecord, Unused, UpstreamLink};
pub use upstream_prober::UpstreamProber;

pub(crate) use metered_stream::MeteredStream;
pub(crate) use upstream_dialer::UpstreamDialer;
