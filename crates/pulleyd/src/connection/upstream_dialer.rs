//! Opens connections to upstreams, directly or through another host.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pulley_core::connection::UpstreamRoute;
use pulley_core::{Moment, PoolName, UpstreamId};
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::either::Either;

use super::relay_client::{RelayClient, RelayState, RestNotice};
use super::relay_stream::RelayStream;
use super::{KeepalivePolicy, LinkFault};
use crate::process::{ProcessClock, TimerService};

/// The result of opening a connection.
type Result<T> = std::result::Result<T, LinkFault>;

/// Timeout for opening a connection. Opening takes 1 to 2 ms between zones and 50 ms between
/// regions. If the first packet is lost, TCP retransmits it after a second at the earliest. Nothing
/// of the request has been sent by then, so another upstream answers it sooner.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to an upstream, opened by this host or by another one.
pub(super) type UpstreamStream = Either<TcpStream, RelayStream>;

/// Opens connections to upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamDialer {
    clock: ProcessClock,
    timer: TimerService,
    /// The local address of connections; `None` if the operating system chooses it.
    local_ip: Option<IpAddr>,
    relays: Option<RelayClient>,
    is_cut_off: AtomicBool,
    /// The largest read from a connection, in bytes.
    read_limit: usize,
}

impl UpstreamDialer {
    /// Creates a dialer that only connects directly.
    pub(super) fn new(clock: ProcessClock, timer: TimerService) -> Self {
        let is_cut_off = AtomicBool::new(false);
        Self { clock, timer, local_ip: None, relays: None, is_cut_off, read_limit: usize::MAX }
    }

    /// Limits the size of reads from connections, in bytes.
    pub(super) fn with_read_limit(mut self, bytes: usize) -> Self {
        self.read_limit = bytes;
        self
    }

    /// Returns the largest read from a connection, in bytes.
    pub(super) fn read_limit(&self) -> usize {
        self.read_limit
    }

    /// Asks other hosts for connections while this one has lost its own path.
    pub(super) fn with_relays(mut self, relays: RelayClient) -> Self {
        self.relays = Some(relays);
        self
    }

    /// Sets the local address of connections.
    pub(super) fn with_local_ip(mut self, ip: IpAddr) -> Self {
        self.local_ip = Some(ip);
        self
    }

    /// Whether other hosts can be asked for connections.
    pub(super) fn can_relay(&self) -> bool {
        self.relays.is_some()
    }

    /// Whether there is a host to ask for a connection.
    pub(super) async fn finds_relay(&self) -> bool {
        match &self.relays {
            Some(relays) => relays.finds_host().await,
            None => false,
        }
    }

    /// Whether this host has lost its own path to upstreams.
    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Sets whether this host has lost its own path. Returns whether that is a change.
    pub(super) fn set_cut_off(&self, is_cut_off: bool) -> bool {
        self.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off
    }

    /// Opens a connection to an upstream on a route.
    pub(super) async fn open(
        &self,
        (upstream, pool): (&UpstreamId, Option<&PoolName>),
        address: SocketAddr,
        route: UpstreamRoute,
        deadline: Moment,
    ) -> Result<UpstreamStream> {
        let limit = deadline.min(self.clock.now() + CONNECT_TIMEOUT);
        if let (UpstreamRoute::Relayed, Some(relays), Some(pool)) = (route, &self.relays, pool) {
            return relays.open(self, (upstream, pool), limit).await.map(Either::Right);
        }
        let connected = self.timer.run_until(limit, self.connect(address)).await;
        let stream = connected.ok_or(LinkFault::ConnectTimeout)?;
        stream.map(Either::Left).map_err(LinkFault::Unreachable)
    }

    /// Tells a host that has relayed an answer that the answer asked for rest.
    pub(super) async fn tell_rest(&self, relay: &RelayState, notice: RestNotice) {
        if let Some(relays) = &self.relays {
            relays.tell_rest(self, relay, notice).await;
        }
    }

    /// Connects to an address.
    pub(super) async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(ip) = self.local_ip.filter(|ip| can_reach(*ip, address.ip())) {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(address).await?;
        KeepalivePolicy::UPSTREAM.apply(&stream)?;
        Ok(stream)
    }
}

/// Whether a connection can lead from a local address to another. A loopback address, the default of
/// a host that has no peers, reaches loopback addresses only.
#[must_use]
pub fn can_reach(local: IpAddr, to: IpAddr) -> bool {
    local.is_ipv4() == to.is_ipv4() && (!local.is_loopback() || to.is_loopback())
}
