//! Accepts callers' connections and serves requests on them.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::process::FastMap;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::KeepalivePolicy;
use crate::process::TimerSubscription;
use crate::request::{FirstRequestFlag, RequestForwarder, TrafficContext, TrafficCounters};

/// The result of binding the listener.
type Result<T> = std::result::Result<T, io::Error>;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval of HTTP/2 keepalive pings to a caller, and the timeout for each answer.
const PING_PERIOD: Duration = Duration::from_secs(20);

/// Maximum concurrent requests on one HTTP/2 connection. A caller with more opens another one.
const STREAM_LIMIT: u32 = 256;

/// Divides the connection limit to give the number of connections beyond it that still get a
/// refusal as their answer: one eighth.
const REFUSAL_MARGIN_DIVISOR: usize = 8;

/// The result of draining the callers' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Number of callers' connections that were closed by force.
    pub connections: usize,
    /// Number of requests in progress that were aborted. If it is above 0, the process should exit
    /// with a failure.
    pub requests: usize,
}

/// The listener for callers: HTTP/1.1 and HTTP/2 on one port.
///
/// Run it on the runtime of [`super::TrafficThreads`]:
///
/// ```ignore
/// let listener = CallerListener::bind(address, context).await?;
/// let address = listener.local_addr()?;
/// let report = listener.serve(drain_deadline).await;
/// ```
///
/// Before the shutdown signal, the host should report not ready for long enough that the platform's
/// balancer has noticed. [`Self::serve_until`] also ends early on a second signal.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    context: Arc<TrafficContext>,
}

impl CallerListener {
    /// Binds to an address. With port 0 the operating system chooses the port.
    ///
    /// # Errors
    /// The operating system's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, context: Arc<TrafficContext>) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, context })
    }

    /// Returns the address it listens on.
    ///
    /// # Errors
    /// The operating system's error if it cannot report the address.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `shutdown` is ready, then finishes requests in flight until the moment that
    /// it returns.
    pub async fn serve(self, shutdown: impl Future<Output = Moment>) -> DrainReport {
        self.serve_until(shutdown, std::future::pending()).await
    }

    /// Serves callers until `shutdown` is ready, then finishes requests in flight until the moment that
    /// it returns, or until `cut` is ready.
    ///
    /// After the signal no new connection is accepted. HTTP/2 callers get GOAWAY and HTTP/1.1
    /// callers `Connection: close`. Whatever remains at the end is aborted, counted and logged.
    pub async fn serve_until(
        self,
        shutdown: impl Future<Output = Moment>,
        cut: impl Future<Output = ()>,
    ) -> DrainReport {
        let Self { listener, context } = self;
        let connections = CallerConnections::new(Arc::clone(&context));
        let maintenance = tokio::spawn(Arc::clone(&context.connections).run());
        let mut shutdown = pin!(shutdown);
        let deadline = loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) => connections.serve(stream, peer),
                    Err(fault) => pause_accepting(&context, &fault).await,
                },
                deadline = &mut shutdown => break deadline,
            }
        };
        // Connections in the accept backlog would be reset if the listener just closed.
        while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
            connections.serve(stream, peer);
        }
        drop(listener);
        let report = connections.drain(deadline, cut).await;
        maintenance.abort();
        report
    }
}

/// The callers' connections of one listener.
struct CallerConnections {
    context: Arc<TrafficContext>,
    graceful: GracefulShutdown,
    tasks: Arc<ConnectionTasks>,
}

/// The tasks of the callers' connections, kept so that they can be aborted.
#[derive(Default)]
struct ConnectionTasks {
    running: Mutex<FastMap<u64, AbortHandle>>,
    next_number: AtomicU64,
}

impl ConnectionTasks {
    /// Spawns a connection's task and keeps its handle until it ends.
    fn spawn(self: &Arc<Self>, work: impl Future<Output = ()> + Send + 'static) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let tasks = Arc::clone(self);
        // The lock is held while spawning, so that a task that ends at once cannot remove its
        // handle before it was inserted.
        let mut running = self.running.lock();
        let task = tokio::spawn(async move {
            work.await;
            tasks.running.lock().remove(&number);
        });
        running.insert(number, task.abort_handle());
    }

    fn abort_all(&self) {
        self.running.lock().values().for_each(AbortHandle::abort);
    }
}

impl CallerConnections {
    fn new(context: Arc<TrafficContext>) -> Self {
        Self { context, graceful: GracefulShutdown::new(), tasks: Arc::default() }
    }

    /// Serves one connection, or refuses its requests if the process is at its connection limit.
    ///
    /// Load: callers that all reconnect at once after a network fault. Each connection costs
    /// memory. Beyond the limit, a refusal with the verdict "not run" costs the caller one round
    /// trip, while serving it could exhaust the memory of the process that all callers use. Far
    /// beyond the limit even a refusal costs too much, and the connection is closed without an
    /// answer.
    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let limit = self.context.limits.caller_connections;
        let guard = ConnectionGuard::acquire(&self.context.counters);
        if guard.open_before >= limit + limit / REFUSAL_MARGIN_DIVISOR {
            TrafficCounters::add(&self.context.counters.callers_refused);
            return;
        }
        if let Err(fault) = KeepalivePolicy::CALLER.apply(&stream) {
            debug!(self.context.logger, "caller-gone"; "peer" => %peer, "error" => %fault);
            return;
        }
        let mut forwarder = RequestForwarder::new(Arc::clone(&self.context)).with_caller(peer.ip());
        if guard.open_before >= limit {
            TrafficCounters::add(&self.context.counters.callers_refused);
            forwarder = forwarder.with_all_refused();
        }
        self.spawn(stream, peer, forwarder, guard);
    }

    fn spawn(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        forwarder: RequestForwarder,
        guard: ConnectionGuard,
    ) {
        let flag = forwarder.first_request_flag();
        let header_timeout = self.context.header_timeout();
        let builder = server_builder(self.context.limits.header_bytes, header_timeout);
        let connection = builder.serve_connection(TokioIo::new(stream), forwarder).into_owned();
        let watched = self.graceful.watch(connection);
        let logger = self.context.logger.clone();
        let first_timeout = self.context.timer.after(header_timeout);
        self.tasks.spawn(async move {
            let _guard = guard;
            if let Some(Err(fault)) = with_first_request_timeout(watched, first_timeout, flag).await
            {
                debug!(logger, "caller-connection-ended"; "peer" => %peer, "error" => %fault);
            }
        });
    }

    async fn drain(self, deadline: Moment, cut: impl Future<Output = ()>) -> DrainReport {
        let Self { context, graceful, tasks } = self;
        let ended = tokio::select! {
            drained = context.timer.run_until(deadline, graceful.shutdown()) => drained.is_some(),
            () = cut => false,
        };
        let mut report = DrainReport::default();
        if !ended {
            report.connections = context.counters.caller_connections.load(Ordering::Relaxed);
        }
        // A request with an idempotency key continues after its caller has disconnected, so the
        // drain waits for it as well.
        report.requests = wait_for_requests(&context, deadline, ended).await;
        tasks.abort_all();
        info!(context.logger, "callers-drained";
            "cut_connections" => report.connections, "cut_requests" => report.requests);
        report
    }
}

/// Runs a connection. Returns `None` if its caller sent no request before the timeout.
///
/// Without this timeout a caller that sends nothing would hold its connection forever, because the
/// HTTP library's header timeout starts with the first byte of the headers.
async fn with_first_request_timeout<C: Future>(
    connection: C,
    first_timeout: TimerSubscription,
    flag: FirstRequestFlag,
) -> Option<C::Output> {
    let mut connection = pin!(connection);
    let mut first_timeout = Some(first_timeout);
    poll_fn(|context| {
        if let Poll::Ready(ended) = connection.as_mut().poll(context) {
            return Poll::Ready(Some(ended));
        }
        if flag.has_arrived() {
            first_timeout = None;
        }
        let Some(limit) = &mut first_timeout else { return Poll::Pending };
        Pin::new(limit).poll(context).map(|_| None)
    })
    .await
}

/// Waits for requests that continue without their callers. Returns how many remain in the end.
async fn wait_for_requests(context: &TrafficContext, deadline: Moment, may_wait: bool) -> usize {
    /// How often the number of requests is read.
    const POLL_PERIOD: Duration = Duration::from_millis(10);

    loop {
        let requests = context.counters.in_progress.load(Ordering::Relaxed);
        if requests == 0 || !may_wait || context.clock.now() >= deadline {
            return requests;
        }
        let _ = context.timer.after(POLL_PERIOD).await;
    }
}

/// Counts one caller's connection for as long as it is held.
struct ConnectionGuard {
    counters: Arc<TrafficCounters>,
    open_before: usize,
}

impl ConnectionGuard {
    fn acquire(counters: &Arc<TrafficCounters>) -> Self {
        let open_before = counters.caller_connections.fetch_add(1, Ordering::Relaxed);
        Self { counters: Arc::clone(counters), open_before }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.counters.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Builds the HTTP server with the process's limit on headers.
///
/// This limit applies for the whole life of a connection. The plan in force may allow less and can
/// change during that time, so its limit is checked with each request.
fn server_builder(header_bytes: u64, header_timeout: Duration) -> auto::Builder<TokioExecutor> {
    let header_list = u32::try_from(header_bytes).unwrap_or(u32::MAX);
    let header_bytes = usize::try_from(header_bytes).unwrap_or(usize::MAX);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        // Between the limit and twice the limit, this process refuses with a verdict. Beyond that,
        // the HTTP library answers.
        .max_buf_size(header_bytes.saturating_mul(2).max(16 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_PERIOD)
        .max_concurrent_streams(STREAM_LIMIT)
        .max_header_list_size(header_list);
    builder
}

async fn pause_accepting(context: &TrafficContext, fault: &io::Error) {
    warn!(context.logger, "accept-failed"; "error" => %fault);
    let _ = context.timer.after(ACCEPT_RETRY_DELAY).await;
}
