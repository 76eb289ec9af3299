//! State that lives as long as one connection.

mod caller_listener;
mod link_meter;
mod metered_stream;
mod traffic_threads;
mod upstream_connections;
mod upstream_link;
mod upstream_links;

pub use caller_listener::{CallerListener, DrainReport};
pub use link_meter::LinkMeter;
pub use traffic_threads::TrafficThreads;
pub use upstream_connections::{LinkRequest, UpstreamConnections};
pub use upstream_link::{Answering, LinkFault, Unused, UpstreamLink};

pub(crate) use metered_stream::MeteredStream;
