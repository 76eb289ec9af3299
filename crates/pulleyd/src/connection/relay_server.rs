//! Opens connections to upstreams on behalf of other hosts.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::{Either, FusedFuture, select};
use pulley_core::process::{ClusterId, UpstreamStart};
use pulley_core::{Moment, PoolName, UpstreamId};
use slog::{Logger, info};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::peer_gate::{LinkNonces, NONCE_LENGTH};
use super::peer_key_ring::KeyRing;
use super::relay_client::RelayIdentity;
use super::relay_handshake::{
    RELAY_PREAMBLE, RelayOutcome, RelayRequest, RelayRest, RelaySigner, read_message, read_nonce,
    write_message,
};
use super::relay_stream::{FRAME_DRAINING, FRAME_END, FRAME_HEADER, FRAME_RESTING};
use super::{KeepalivePolicy, UpstreamConnections, UpstreamTarget};
use crate::process::{ProcessClock, TimerService, ViewCell};

/// Timeout for a request after its connection was accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for connecting to an upstream. The asking host waits little longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// How long the asking host may take to close a connection whose upstream has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the limit on relayed connections from which further ones are closed unread, because
/// their senders need not be members.
const UNAUTHENTICATED_FACTOR: usize = 2;

/// Bytes read at once from either side.
const BUFFER: usize = 8 * 1_024;

/// The interval at which open connections are counted while the host shuts down.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Opens connections to upstreams on behalf of other hosts, and passes bytes on.
///
/// It decides nothing about requests: placing, retrying, limits and deadlines stay with the host
/// that asks. It never asks a third host, so that a request passes at most one host more.
#[derive(Debug)]
pub struct RelayServer {
    cluster: ClusterId,
    key_ring: KeyRing,
    connections: Arc<UpstreamConnections>,
    view: ViewCell,
    clock: ProcessClock,
    timer: TimerService,
    logger: Logger,
    /// Maximum number of connections relayed at the same time.
    limit: usize,
    open: AtomicUsize,
    draining: watch::Sender<bool>,
    /// Ends all relayed connections at once.
    abort: watch::Sender<bool>,
}

impl RelayServer {
    /// Creates a server that relays at most `limit` connections at the same time.
    #[must_use]
    pub fn new(
        identity: RelayIdentity,
        connections: Arc<UpstreamConnections>,
        view: ViewCell,
        timer: TimerService,
        logger: Logger,
        limit: usize,
    ) -> Self {
        let RelayIdentity { cluster, key_ring, .. } = identity;
        let clock = connections.clock();
        Self {
            cluster,
            key_ring,
            connections,
            view,
            clock,
            timer,
            logger,
            limit,
            open: AtomicUsize::new(0),
            draining: watch::channel(false).0,
            abort: watch::channel(false).0,
        }
    }

    /// Serves the connections that the peers' listener passes on.
    pub async fn run(self: Arc<Self>, mut accepted: mpsc::Receiver<std::net::TcpStream>) {
        while let Some(stream) = accepted.recv().await {
            let Ok(stream) = TcpStream::from_std(stream) else { continue };
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    /// Refuses further connections, and asks the hosts that use open ones to close them.
    pub fn begin_drain(&self) {
        self.draining.send_replace(true);
    }

    /// Closes all relayed connections at once, as the end of the process would.
    pub fn abort_all(&self) {
        self.abort.send_replace(true);
    }

    /// Waits until no connection is relayed, or the deadline passes.
    pub async fn wait_drained(&self, deadline: Moment) {
        while self.open_connections() > 0 && self.clock.now() < deadline {
            let _ = self.timer.after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of connections relayed now, and of those that ask for it.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Serves one connection until either side closes it.
    pub async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _permit = RelayPermit::acquire(&self.open);
        if self.open_connections() > UNAUTHENTICATED_FACTOR * self.limit {
            return;
        }
        let limit = self.clock.now() + REQUEST_TIMEOUT;
        let accepted = self.timer.run_until(limit, self.accept(&mut stream)).await;
        let Some(Ok((request, nonces))) = accepted else { return };
        let upstream = match request.rest {
            None => self.connect(&request.upstream, &request.pool).await,
            Some(rest) => Err(self.take_rest(&request.upstream, rest)),
        };
        let outcome = upstream.as_ref().err().copied().unwrap_or(RelayOutcome::Connected);
        info!(self.logger, "relay"; "upstream" => %request.upstream, "for" => %request.host,
            "outcome" => outcome.as_str(), "open" => self.open_connections());
        let (key_ring, cluster) = (&self.key_ring, &self.cluster);
        let reply = RelaySigner { key_ring, cluster, nonces }.reply(outcome);
        let replied = write_message(&mut stream, &reply).await;
        if let (Ok(upstream), Ok(())) = (upstream, replied) {
            let mut abort = self.abort.subscribe();
            let aborted = pin!(abort.wait_for(|is_aborted| *is_aborted));
            let target = RelayedUpstream { pool: &request.pool, target: &upstream.target };
            select(pin!(self.pass_bytes(stream, upstream.stream, target)), aborted).await;
        }
    }

    /// Reads a request and authenticates its sender.
    async fn accept(&self, stream: &mut TcpStream) -> io::Result<(RelayRequest, LinkNonces)> {
        KeepalivePolicy::UPSTREAM.apply(stream)?;
        let mut preamble = [0; RELAY_PREAMBLE.len()];
        stream.read_exact(&mut preamble).await?;
        if preamble != RELAY_PREAMBLE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let initiator = read_nonce(stream).await?;
        let responder: [u8; NONCE_LENGTH] = rand::random();
        stream.write_all(&responder).await?;
        let request: RelayRequest = read_message(stream).await?;
        let nonces = LinkNonces { initiator, responder };
        let (key_ring, cluster) = (&self.key_ring, &self.cluster);
        if !(RelaySigner { key_ring, cluster, nonces }).verify_request(&request) {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok((request, nonces))
    }

    /// Connects to an upstream at the address that this host knows.
    async fn connect(
        &self,
        upstream: &UpstreamId,
        pool: &PoolName,
    ) -> Result<OpenUpstream, RelayOutcome> {
        if *self.draining.borrow() {
            return Err(RelayOutcome::Draining);
        }
        if self.open_connections() > self.limit {
            return Err(RelayOutcome::Full);
        }
        if self.connections.doubts_own_path() {
            return Err(RelayOutcome::CutOff);
        }
        let view = self.view.load();
        let records = view.upstreams.get(pool);
        let record = records.and_then(|records| records.find(upstream));
        let Some(record) = record.filter(|record| record.takes_work) else {
            return Err(RelayOutcome::UnknownUpstream);
        };
        let address = record.announcement.address;
        let target = UpstreamTarget { start: record.announcement.start(), address };
        if self.connections.send_block(pool, &target).is_some() {
            return Err(RelayOutcome::Resting);
        }
        let connecting = self.connections.dialer().connect(address);
        let limit = self.clock.now() + CONNECT_TIMEOUT;
        match self.timer.run_until(limit, connecting).await {
            Some(Ok(stream)) => Ok(OpenUpstream { stream, target }),
            _ => Err(RelayOutcome::Unreachable),
        }
    }

    /// Keeps a rest that an upstream has asked of this host in an answer that it passed on.
    fn take_rest(&self, upstream: &UpstreamId, rest: RelayRest) -> RelayOutcome {
        let start = UpstreamStart { id: upstream.clone(), incarnation: rest.incarnation };
        self.connections.gate().record_rest(&start, self.clock.now() + rest.span);
        RelayOutcome::Resting
    }

    /// Waits until the upstream has asked this host for rest, or leaves.
    async fn wait_for_block(&self, upstream: RelayedUpstream<'_>) {
        let mut changes = self.connections.gate().subscribe();
        while self.connections.send_block(upstream.pool, upstream.target).is_none() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Passes bytes on in both directions. Returns when the asking host has closed its side, or when
    /// the upstream has.
    ///
    /// Dropping both connections then shows the upstream at once that the caller has left.
    async fn pass_bytes(
        &self,
        asking: TcpStream,
        upstream: TcpStream,
        target: RelayedUpstream<'_>,
    ) {
        let (asking_in, asking_out) = asking.into_split();
        let (upstream_in, upstream_out) = upstream.into_split();
        let requests = pin!(pass_requests(asking_in, upstream_out));
        let draining = pin!(wait_for_drain(self.draining.subscribe()).fuse());
        let resting = pin!(self.wait_for_block(target).fuse());
        let notices = RelayNotices { draining, resting };
        let answers = pin!(pass_answers(upstream_in, asking_out, notices));
        match select(requests, answers).await {
            Either::Left(_) | Either::Right((Err(_), _)) => {}
            // The end of the answers was passed on, and the asking host closes next.
            Either::Right((Ok(()), requests)) => {
                let limit = self.clock.now() + CLOSE_TIMEOUT;
                let _ = self.timer.run_until(limit, requests).await;
            }
        }
    }
}

/// Passes bytes to the upstream until the asking host closes its side.
async fn pass_requests(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
    let mut buffer = vec![0; BUFFER];
    let mut is_open = true;
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        // An upstream may answer without reading the rest of a body. Its answer still arrives.
        is_open = is_open && to.write_all(&buffer[..count]).await.is_ok();
    }
}

/// Passes the upstream's bytes on in frames, until it closes its side cleanly.
///
/// # Errors
/// If either connection fails. The asking host then gets no end frame.
async fn pass_answers(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut notices: RelayNotices<
        impl FusedFuture<Output = ()> + Unpin,
        impl FusedFuture<Output = ()> + Unpin,
    >,
) -> io::Result<()> {
    let mut buffer = vec![0; FRAME_HEADER + BUFFER];
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer[FRAME_HEADER..]) => count?,
            () = &mut notices.draining, if !notices.draining.is_terminated() => {
                to.write_all(&FRAME_DRAINING.to_be_bytes()).await?;
                continue;
            }
            () = &mut notices.resting, if !notices.resting.is_terminated() => {
                to.write_all(&FRAME_RESTING.to_be_bytes()).await?;
                continue;
            }
        };
        let header = u16::try_from(count).map_err(io::Error::other)?;
        buffer[..FRAME_HEADER].copy_from_slice(&header.to_be_bytes());
        to.write_all(&buffer[..FRAME_HEADER + count]).await?;
        if header == FRAME_END {
            return to.shutdown().await;
        }
    }
}

async fn wait_for_drain(mut draining: watch::Receiver<bool>) {
    let _ = draining.wait_for(|is_draining| *is_draining).await;
}

/// What the asking host is told once, between the upstream's bytes.
struct RelayNotices<D, R> {
    /// Ends when this host shuts down.
    draining: D,
    /// Ends when the upstream has asked this host for rest.
    resting: R,
}

/// A connection to an upstream for another host.
struct OpenUpstream {
    stream: TcpStream,
    target: UpstreamTarget,
}

/// The upstream of a relayed connection.
#[derive(Clone, Copy)]
struct RelayedUpstream<'a> {
    pool: &'a PoolName,
    target: &'a UpstreamTarget,
}

/// Counts one relayed connection for as long as it is held.
struct RelayPermit<'a>(&'a AtomicUsize);

impl<'a> RelayPermit<'a> {
    fn acquire(open: &'a AtomicUsize) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for RelayPermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
