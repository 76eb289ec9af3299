//! When the operating system gives up a connection whose other end no longer answers.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// When the operating system gives up a connection whose other end no longer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepalivePolicy {
    /// How long a connection is idle before the first probe is sent.
    pub idle: Duration,
    /// The interval between probes.
    pub interval: Duration,
    /// The number of unanswered probes after which the connection is closed.
    pub probes: u32,
}

impl KeepalivePolicy {
    /// For connections to upstreams and to hosts that relay them.
    pub const UPSTREAM: Self =
        Self { idle: Duration::from_secs(5), interval: Duration::from_secs(1), probes: 3 };

    /// For connections of callers.
    pub const CALLER: Self =
        Self { idle: Duration::from_secs(30), interval: Duration::from_secs(10), probes: 3 };

    /// Returns how long sent bytes may stay unacknowledged.
    ///
    /// Linux also applies this limit to probes, from the last byte that arrived. With a shorter one,
    /// a single lost probe would end a connection whose answer is still being worked on.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.idle + self.interval * self.probes
    }

    /// Applies the policy to a connection, and turns off the delay of small packets.
    ///
    /// # Errors
    /// The operating system's error if the connection has ended.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.interval)
            .with_retries(self.probes);
        socket.set_tcp_keepalive(&keepalive)?;
        #[cfg(target_os = "linux")]
        socket.set_tcp_user_timeout(Some(self.silence_limit()))?;
        Ok(())
    }
}
