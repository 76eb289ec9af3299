//! Accepts callers' connections and serves requests on them.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::request::{RequestForwarder, TrafficContext};

/// What binding returns.
type Result<T> = std::result::Result<T, io::Error>;

/// How long accepting pauses after it failed, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a drain has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Callers' connections that were cut off, because the grace had ended.
    pub cut: usize,
}

/// The listener for callers: HTTP/1.1 and HTTP/2 on one port.
///
/// ```ignore
/// let listener = CallerListener::bind(address, context).await?;
/// let report = listener.serve(shutdown_signal, grace).await;
/// ```
///
/// Run it on the runtime of [`super::TrafficThreads`].
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    context: Arc<TrafficContext>,
}

impl CallerListener {
    /// Binds to an address; port 0 lets the system choose.
    ///
    /// # Errors
    /// The operating system's, if the address cannot be bound.
    pub async fn bind(address: SocketAddr, context: Arc<TrafficContext>) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, context })
    }

    /// The address it listens on.
    ///
    /// # Errors
    /// The operating system's.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `shutdown` is ready, then finishes what is in flight.
    ///
    /// After the signal nothing new is accepted, HTTP/2 callers get GOAWAY and HTTP/1.1 ones
    /// `Connection: close`; when `grace` has passed, what is left is cut and counted.
    pub async fn serve(self, shutdown: impl Future<Output = ()>, grace: Duration) -> DrainReport {
        let Self { listener, context } = self;
        let graceful = GracefulShutdown::new();
        let mut shutdown = pin!(shutdown);
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) => serve_caller(&context, &graceful, stream, peer),
                    Err(fault) => pause_accepting(&context, &fault).await,
                },
                () = &mut shutdown => break,
            }
        }
        drop(listener);
        drain(&context, graceful, grace).await
    }
}

async fn pause_accepting(context: &TrafficContext, fault: &io::Error) {
    warn!(context.logger, "accept failed"; "error" => %fault);
    let _ = context.timer.after(ACCEPT_PAUSE).await;
}

fn serve_caller(
    context: &Arc<TrafficContext>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    peer: SocketAddr,
) {
    if let Err(fault) = stream.set_nodelay(true) {
        debug!(context.logger, "caller gone"; "peer" => %peer, "error" => %fault);
        return;
    }
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.header_timeout)
        .max_buf_size(context.limits.header_bytes.max(8 * 1024));
    let service = TowerToHyperService::new(RequestForwarder::new(Arc::clone(context)));
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    let logger = context.logger.clone();
    tokio::spawn(async move {
        if let Err(fault) = watched.await {
            debug!(logger, "caller connection ended"; "peer" => %peer, "error" => %fault);
        }
    });
}

async fn drain(
    context: &TrafficContext,
    graceful: GracefulShutdown,
    grace: Duration,
) -> DrainReport {
    let open = graceful.count();
    let deadline = context.clock.now() + grace;
    let drained = context.timer.limit(deadline, graceful.shutdown()).await;
    DrainReport { cut: if drained.is_some() { 0 } else { open } }
}
