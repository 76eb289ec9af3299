//! The connections of this process to upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use pulley_core::{FastMap, UpstreamId};
use tokio::net::TcpStream;

use super::{LinkFault, UpstreamLink};
use crate::process::ProcessClock;
use crate::request::RequestBody;

/// What checking out a connection gives.
type Result<T> = std::result::Result<T, LinkFault>;

type RequestSender = http1::SendRequest<RequestBody>;

/// The connections of this process to upstreams, idle ones first used again.
#[derive(Debug)]
pub struct UpstreamConnections {
    _clock: ProcessClock,
    idle: Mutex<FastMap<UpstreamId, Vec<RequestSender>>>,
}

impl UpstreamConnections {
    /// Makes a pool without connections.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self { _clock: clock, idle: Mutex::default() }
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    /// `Unreachable` if no connection can be made; nothing was sent.
    pub async fn checkout(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        address: SocketAddr,
    ) -> Result<UpstreamLink> {
        while let Some(mut sender) = self.take_idle(upstream) {
            if sender.ready().await.is_ok() {
                return Ok(self.link(sender, upstream));
            }
        }
        let sender = open(address).await?;
        Ok(self.link(sender, upstream))
    }

    pub(super) fn give_back(&self, upstream: &UpstreamId, sender: RequestSender) {
        if !sender.is_closed() {
            self.idle.lock().entry(upstream.clone()).or_default().push(sender);
        }
    }

    fn take_idle(&self, upstream: &UpstreamId) -> Option<RequestSender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(upstream)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn link(self: &Arc<Self>, sender: RequestSender, upstream: &UpstreamId) -> UpstreamLink {
        let home: Weak<Self> = Arc::downgrade(self);
        UpstreamLink::new(sender, upstream.clone(), home)
    }
}

async fn open(address: SocketAddr) -> Result<RequestSender> {
    let stream = TcpStream::connect(address).await.map_err(LinkFault::Unreachable)?;
    stream.set_nodelay(true).map_err(LinkFault::Unreachable)?;
    let io = TokioIo::new(stream);
    let (sender, connection) = http1::handshake(io).await.map_err(LinkFault::Broken)?;
    tokio::spawn(async move {
        // Its end shows at the sender; there is nobody else to tell.
        let _ = connection.await;
    });
    Ok(sender)
}
