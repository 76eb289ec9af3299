//! Settings of the links between hosts.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use pulley_core::HostId;
use pulley_core::process::ClusterId;

use tokio::sync::mpsc;

use super::peer_frame::FRAME_LIMIT;
use super::peer_key_ring::KeyRing;

/// Settings of [`super::PeerLinks`].
#[derive(Clone, Debug)]
pub struct LinkSettings {
    pub(crate) host: HostId,
    pub(crate) cluster: ClusterId,
    pub(crate) listen: SocketAddr,
    pub(crate) key_ring: KeyRing,
    pub(crate) bind_ip: Option<IpAddr>,
    pub(crate) process_id: u64,
    pub(crate) heartbeat: Duration,
    pub(crate) idle_limit: Duration,
    pub(crate) queue_frames: usize,
    pub(crate) queue_bytes: usize,
    pub(crate) relayed: Option<mpsc::Sender<std::net::TcpStream>>,
}

impl LinkSettings {
    /// Creates settings with the default times and limits.
    #[must_use]
    pub fn new(host: HostId, cluster: ClusterId, listen: SocketAddr, key_ring: KeyRing) -> Self {
        Self {
            host,
            cluster,
            listen,
            key_ring,
            bind_ip: None,
            process_id: 0,
            heartbeat: Duration::from_millis(500),
            idle_limit: Duration::from_secs(60),
            queue_frames: 1_024,
            queue_bytes: 2 * FRAME_LIMIT,
            relayed: None,
        }
    }

    /// Sets the local address from which links are opened. By default the operating system chooses.
    #[must_use]
    pub fn with_bind_ip(mut self, ip: IpAddr) -> Self {
        self.bind_ip = Some(ip);
        self
    }

    /// Passes on accepted connections that other hosts want to have relayed. By default they are
    /// closed.
    #[must_use]
    pub fn with_relayed(mut self, relayed: mpsc::Sender<std::net::TcpStream>) -> Self {
        self.relayed = Some(relayed);
        self
    }

    /// Sets the number that distinguishes this run of the host's process from earlier and later
    /// ones.
    #[must_use]
    pub fn with_process_id(mut self, process_id: u64) -> Self {
        self.process_id = process_id;
        self
    }

    /// Sets the heartbeat interval. A link that leaves two heartbeats unanswered is replaced.
    #[must_use]
    pub fn with_heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets how long a link may be without a frame before it is closed.
    #[must_use]
    pub fn with_idle_limit(mut self, limit: Duration) -> Self {
        self.idle_limit = limit;
        self
    }

    /// Sets the maximum number of frames and bytes in the queue for one host.
    #[must_use]
    pub fn with_queue(mut self, frames: usize, bytes: usize) -> Self {
        self.queue_frames = frames;
        self.queue_bytes = bytes;
        self
    }
}
