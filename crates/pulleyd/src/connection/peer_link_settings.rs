//! Settings of the links between hosts.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use pulley_core::HostId;
use pulley_core::process::ClusterId;

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
    pub(crate) process: u64,
    pub(crate) heartbeat: Duration,
    pub(crate) idle_limit: Duration,
    pub(crate) queue_frames: usize,
    pub(crate) queue_bytes: usize,
}

impl LinkSettings {
    /// Makes settings with the usual times and limits.
    #[must_use]
    pub fn new(host: HostId, cluster: ClusterId, listen: SocketAddr, key_ring: KeyRing) -> Self {
        Self {
            host,
            cluster,
            listen,
            key_ring,
            bind_ip: None,
            process: 0,
            heartbeat: Duration::from_millis(500),
            idle_limit: Duration::from_secs(60),
            queue_frames: 1_024,
            queue_bytes: 2 * FRAME_LIMIT,
        }
    }

    /// Sets from which address links are opened; else the operating system chooses.
    #[must_use]
    pub fn with_bind_ip(mut self, ip: IpAddr) -> Self {
        self.bind_ip = Some(ip);
        self
    }

    /// Sets the number that tells this start of the host from others.
    #[must_use]
    pub fn with_process(mut self, process: u64) -> Self {
        self.process = process;
        self
    }

    /// Sets after how long without an answer a heartbeat is sent; a link that leaves two
    /// unanswered is replaced.
    #[must_use]
    pub fn with_heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets after how long without a frame a link is closed.
    #[must_use]
    pub fn with_idle_limit(mut self, limit: Duration) -> Self {
        self.idle_limit = limit;
        self
    }

    /// Sets how many frames and bytes may wait for one host.
    #[must_use]
    pub fn with_queue(mut self, frames: usize, bytes: usize) -> Self {
        self.queue_frames = frames;
        self.queue_bytes = bytes;
        self
    }
}
