//! The connections to one upstream.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::connection::{
    CheckoutChoice, ConnectionNumber, ConnectionRules, ConnectionTable, RepeatSafety, ReturnChoice,
    UpstreamPath,
};
use pulley_core::process::FastMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::upstream_link::LinkRegistration;
use super::{LinkFault, MeteredStream, Unused, UpstreamLink};
use crate::process::{ProcessClock, TimerService};
use crate::request::RequestBody;

/// The result of opening a connection.
type Result<T> = std::result::Result<T, LinkFault>;

type RequestSender = http1::SendRequest<RequestBody>;

/// How long sent bytes may stay unacknowledged before the operating system closes the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// How long a connection is idle before the operating system sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Interval between keepalive probes. Three unanswered ones close the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long after an upstream's last request a spare connection to it is kept ready.
///
/// While load grows, a spare saves a request one millisecond. With a longer span, entries with few
/// requests would open more connections than they have requests. Each costs its upstream the same
/// millisecond, and most would be closed unused.
const SPARE_SPAN: Duration = Duration::from_millis(100);

/// How long a returned connection may take to be ready again. It is ready within microseconds
/// unless the machine is busy, or the upstream answered before it had read the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for opening a connection. Opening takes 1 to 2 ms between zones and 50 ms between
/// regions. If the first packet is lost, TCP retransmits it after a second at the earliest. Nothing
/// of the request has been sent by then, so another upstream answers it sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes read at once, which is also the maximum size of an answer's head. Common servers send
/// heads of up to 8 KiB. After each read, as many bytes can arrive at the link's full rate before
/// any rate limit takes effect, so the buffer is not larger.
const READ_BUFFER: usize = 16 * 1_024;

/// The connections of this process to one upstream.
#[derive(Debug)]
pub(super) struct UpstreamLinks {
    address: SocketAddr,
    clock: ProcessClock,
    timer: TimerService,
    state: Mutex<LinksState>,
}

#[derive(Debug)]
struct LinksState {
    table: ConnectionTable,
    idle: FastMap<ConnectionNumber, IdleLink>,
    /// Maximum number of connections that are useful at the same time.
    useful: usize,
    last_used: Moment,
    /// What was seen of this host's own path to the upstream.
    path: UpstreamPath,
    /// Whether the upstream is gone or has moved. Returned connections are then closed.
    closed: bool,
}

/// An open connection that waits for a request. It must never be dropped while the lock is held, as
/// dropping its registration takes the lock.
#[derive(Debug)]
struct IdleLink {
    sender: RequestSender,
    registration: LinkRegistration,
}

impl UpstreamLinks {
    pub(super) fn new(address: SocketAddr, clock: ProcessClock, timer: TimerService) -> Self {
        let state = LinksState {
            table: ConnectionTable::new(ConnectionRules::default()),
            idle: FastMap::default(),
            useful: 1,
            last_used: Moment::ZERO,
            path: UpstreamPath::default(),
            closed: false,
        };
        Self { address, clock, timer, state: Mutex::new(state) }
    }

    /// Sets this entry's share of the upstream's connections, and how many are useful at the same
    /// time.
    pub(super) fn set_share(&self, connections: u32, sharing_entries: u32, useful: usize) {
        let mut state = self.state.lock();
        state.table.set_share(connections, sharing_entries);
        state.useful = useful;
    }

    /// Takes an idle connection or opens a new one.
    pub(super) async fn checkout(
        self: &Arc<Self>,
        safety: RepeatSafety,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        loop {
            let (choice, reused, spare) = self.choose(safety);
            let number = match choice {
                CheckoutChoice::Full => return Err(LinkFault::ShareInUse),
                CheckoutChoice::Open(number) | CheckoutChoice::Replace { open: number, .. } => {
                    let registration = LinkRegistration::new(Arc::clone(self), number);
                    // Boxed, because its future is large and connections are opened rarely.
                    return Box::pin(self.connect(registration, deadline)).await;
                }
                CheckoutChoice::Reuse(number) => number,
            };
            if let Some(spare) = spare {
                self.connect_spare(spare);
            }
            let Some(idle) = reused else {
                self.remove(number);
                continue;
            };
            // A connection that closed while idle accepts no request, so the next one is tried.
            if idle.sender.is_ready() {
                let IdleLink { sender, registration } = idle;
                return Ok(UpstreamLink::new(sender, registration));
            }
        }
    }

    /// Opens a spare connection if none is idle. While load grows, the next request then does not
    /// wait a millisecond for a new connection.
    pub(super) fn ensure_spare(self: &Arc<Self>) {
        let number = {
            let mut state = self.state.lock();
            let useful = state.useful;
            state.table.open_spare(self.clock.now(), useful)
        };
        if let Some(number) = number {
            self.connect_spare(number);
        }
    }

    fn connect_spare(self: &Arc<Self>, number: ConnectionNumber) {
        let registration = LinkRegistration::new(Arc::clone(self), number);
        let links = Arc::clone(self);
        tokio::spawn(async move {
            let deadline = links.clock.now() + CONNECT_TIMEOUT;
            if let Ok(link) = links.connect(registration, deadline).await {
                let UpstreamLink { sender, registration, .. } = link;
                links.check_in(sender, registration);
            }
        });
    }

    /// Whether the last request to the upstream was so recent that a spare connection is useful.
    pub(super) fn was_used_recently(&self) -> bool {
        self.clock.now().since(self.state.lock().last_used) <= SPARE_SPAN
    }

    pub(super) fn check_in(&self, sender: RequestSender, registration: LinkRegistration) {
        let surplus = {
            let mut state = self.state.lock();
            let number = registration.number;
            let closed = state.closed || sender.is_closed();
            let idle = IdleLink { sender, registration };
            if closed || state.table.check_in(self.clock.now(), number) == ReturnChoice::Close {
                Some(idle)
            } else {
                state.idle.insert(number, idle)
            }
        };
        drop(surplus);
    }

    /// Returns a connection to the idle ones once it is ready for another request.
    ///
    /// The connection's task may not yet have processed the end of the answer that was read here.
    /// If the connection were returned at once, the next request would wait for that task. On a
    /// busy machine this takes longer than opening a new connection, while other idle ones are
    /// ready.
    pub(super) fn check_in_when_ready(
        self: Arc<Self>,
        mut sender: RequestSender,
        registration: LinkRegistration,
    ) {
        tokio::spawn(async move {
            let limit = self.clock.now() + READY_TIMEOUT;
            if let Some(Ok(())) = self.timer.run_until(limit, sender.ready()).await {
                self.check_in(sender, registration);
            }
        });
    }

    /// Records that the upstream has answered over a connection.
    pub(super) fn record_answer(&self, number: ConnectionNumber) {
        let (mut state, now) = (self.state.lock(), self.clock.now());
        state.table.mark_proven(now, number);
        state.path.record_answer(now);
    }

    /// Records that the upstream has left a request unanswered.
    pub(super) fn record_silence(&self) {
        self.state.lock().path.record_silence(self.clock.now());
    }

    /// Records whether a connection could be opened.
    fn record_opening(&self, number: ConnectionNumber, succeeded: bool) {
        let (mut state, now) = (self.state.lock(), self.clock.now());
        if succeeded {
            state.table.mark_proven(now, number);
        }
        state.path.record_opening(now, succeeded);
    }

    pub(super) fn path(&self) -> UpstreamPath {
        self.state.lock().path
    }

    pub(super) fn remove(&self, number: ConnectionNumber) {
        self.state.lock().table.remove(number);
    }

    pub(super) fn retire_unproven(&self, sent: Moment) {
        self.record_silence();
        self.close_idle(|table| table.retire_unproven(sent));
    }

    pub(super) fn expire(&self) {
        let now = self.clock.now();
        self.close_idle(|table| table.expire(now));
    }

    /// Closes all idle connections, because the upstream is gone or has moved.
    pub(super) fn close(&self) {
        let idle = {
            let mut state = self.state.lock();
            state.closed = true;
            std::mem::take(&mut state.idle)
        };
        drop(idle);
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn open_connections(&self) -> usize {
        self.state.lock().table.open_connections()
    }

    /// Chooses a connection. Also returns the idle connection that the choice removes, and the
    /// number of a spare connection to open.
    fn choose(
        &self,
        safety: RepeatSafety,
    ) -> (CheckoutChoice, Option<IdleLink>, Option<ConnectionNumber>) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let was_used_recently = now.since(state.last_used) <= SPARE_SPAN;
        state.last_used = now;
        let choice = state.table.checkout(now, safety);
        let removed = match choice {
            CheckoutChoice::Reuse(number) => state.idle.remove(&number),
            CheckoutChoice::Replace { close, .. } => state.idle.remove(&close),
            CheckoutChoice::Open(_) | CheckoutChoice::Full => None,
        };
        let is_reuse = matches!(choice, CheckoutChoice::Reuse(_));
        let useful = if is_reuse && was_used_recently { state.useful } else { 0 };
        let spare = state.table.open_spare(now, useful);
        (choice, removed, spare)
    }

    fn close_idle(&self, choose: impl FnOnce(&mut ConnectionTable) -> Vec<ConnectionNumber>) {
        let closed: Vec<_> = {
            let mut state = self.state.lock();
            let numbers = choose(&mut state.table);
            numbers.iter().filter_map(|number| state.idle.remove(number)).collect()
        };
        drop(closed);
    }

    async fn connect(
        self: &Arc<Self>,
        mut registration: LinkRegistration,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        let opened = self.open_stream(deadline).await;
        self.record_opening(registration.number, opened.is_ok());
        let stream = opened?;
        set_options(&stream).map_err(LinkFault::Unreachable)?;
        let stream = TokioIo::new(MeteredStream::new(stream, registration.meter.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(READ_BUFFER).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| LinkFault::ClosedUnsent)?;
        let links: Weak<Self> = Arc::downgrade(self);
        let (number, ended) = (registration.number, Arc::clone(&registration.ended));
        let driver = tokio::spawn(async move {
            // Errors are reported through the sender. Here the connection only has to leave the
            // idle set.
            let _ = connection.await;
            ended.notify_one();
            if let Some(links) = links.upgrade() {
                let closed = links.state.lock().idle.remove(&number);
                drop(closed);
            }
        });
        registration.driver = Some(driver.abort_handle());
        Ok(UpstreamLink::new(sender, registration))
    }

    async fn open_stream(&self, deadline: Moment) -> Result<TcpStream> {
        let limit = deadline.min(self.clock.now() + CONNECT_TIMEOUT);
        let connected = self.timer.run_until(limit, TcpStream::connect(self.address)).await;
        connected.ok_or(LinkFault::ConnectTimeout)?.map_err(LinkFault::Unreachable)
    }
}

/// Makes the operating system detect a silent connection, by unacknowledged data and by unanswered
/// keepalive probes.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(3);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(())
}
