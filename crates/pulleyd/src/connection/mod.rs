//! State that lives as long as one connection.

mod caller_listener;
mod traffic_threads;
mod upstream_connections;
mod upstream_link;

pub use caller_listener::{CallerListener, DrainReport};
pub use traffic_threads::TrafficThreads;
pub use upstream_connections::UpstreamConnections;
pub use upstream_link::{LinkFault, UpstreamLink};
