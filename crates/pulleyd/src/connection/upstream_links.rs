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
    CheckoutChoice, ConnectionBook, ConnectionRules, LinkNumber, ReturnChoice, WorkSafety,
};
use pulley_core::process::FastMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::upstream_link::LinkSeat;
use super::{LinkFault, MeteredStream, Unused, UpstreamLink};
use crate::process::{ProcessClock, TimerService};
use crate::request::RequestBody;

/// What opening a connection gives.
type Result<T> = std::result::Result<T, LinkFault>;

type RequestSender = http1::SendRequest<RequestBody>;

/// How long sent bytes may stay unacknowledged before the system gives the connection up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// How long a connection is quiet before the system probes whether the other end still knows it.
const KEEPALIVE_QUIET: Duration = Duration::from_secs(5);

/// How far apart those probes are; three unanswered ones end the connection.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);

/// How long after an upstream's last request a spare connection to it is kept ready.
///
/// A spare saves a growing load a millisecond. Kept for longer, entries with few requests open more
/// connections than they have requests: each costs its upstream the same millisecond, and most are
/// closed again unused.
const WARM_SPAN: Duration = Duration::from_millis(100);

/// How long a connection given back may take to be ready again. It is ready within microseconds
/// unless the machine is busy, or the upstream answered before it had read the whole request.
const READY_LIMIT: Duration = Duration::from_millis(100);

/// How long setting up a connection may take. It takes a millisecond or two between zones, 50 ms
/// between regions; one whose first packet was lost or dropped comes a second later at the earliest,
/// and the request, of which nothing has left yet, is answered sooner by another upstream.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Bytes that are read at once, and so the most that an answer's head may have; common servers send
/// heads of up to 8 KiB. Whatever is read makes room for as much to come in at the link's full rate,
/// past any pace.
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
    book: ConnectionBook,
    idle: FastMap<LinkNumber, IdleLink>,
    /// The most connections that are of use at once.
    useful: usize,
    last_used: Moment,
    /// The upstream is gone or has moved; connections given back are closed.
    closed: bool,
}

/// An open connection that waits for a request. It must never be dropped under the lock: its seat
/// takes the lock to sign off.
#[derive(Debug)]
struct IdleLink {
    sender: RequestSender,
    seat: LinkSeat,
}

impl UpstreamLinks {
    pub(super) fn new(address: SocketAddr, clock: ProcessClock, timer: TimerService) -> Self {
        let state = LinksState {
            book: ConnectionBook::new(ConnectionRules::default()),
            idle: FastMap::default(),
            useful: 1,
            last_used: Moment::ZERO,
            closed: false,
        };
        Self { address, clock, timer, state: Mutex::new(state) }
    }

    /// Sets the share of the upstream's connections and how many are of use at once.
    pub(super) fn set_share(&self, connections: u32, live_entries: u32, useful: usize) {
        let mut state = self.state.lock();
        state.book.set_share(connections, live_entries);
        state.useful = useful;
    }

    /// Takes an idle connection or opens a new one.
    pub(super) async fn checkout(
        self: &Arc<Self>,
        safety: WorkSafety,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        loop {
            let (choice, reused, spare) = self.choose(safety);
            let number = match choice {
                CheckoutChoice::Full => return Err(LinkFault::ShareInUse),
                CheckoutChoice::Open(number) | CheckoutChoice::Replace { open: number, .. } => {
                    let seat = LinkSeat::new(Arc::clone(self), number);
                    // Boxed, as a connection is rare and its future large.
                    return Box::pin(self.connect(seat, deadline)).await;
                }
                CheckoutChoice::Reuse(number) => number,
            };
            if let Some(spare) = spare {
                self.open_spare(spare);
            }
            let Some(idle) = reused else {
                self.forget(number);
                continue;
            };
            // One that closed since it was put back takes no request; the next is tried.
            if idle.sender.is_ready() {
                let IdleLink { sender, seat } = idle;
                return Ok(UpstreamLink::new(sender, seat));
            }
        }
    }

    /// Opens a spare connection when none is left idle, so that the next request of a growing load
    /// does not wait a millisecond for its connection.
    pub(super) fn keep_spare(self: &Arc<Self>) {
        let number = {
            let mut state = self.state.lock();
            let useful = state.useful;
            state.book.open_spare(self.clock.now(), useful)
        };
        if let Some(number) = number {
            self.open_spare(number);
        }
    }

    fn open_spare(self: &Arc<Self>, number: LinkNumber) {
        let seat = LinkSeat::new(Arc::clone(self), number);
        let links = Arc::clone(self);
        tokio::spawn(async move {
            let deadline = links.clock.now() + CONNECT_LIMIT;
            if let Ok(link) = links.connect(seat, deadline).await {
                let UpstreamLink { sender, seat, .. } = link;
                links.put_back(sender, seat);
            }
        });
    }

    /// Whether a request has used the upstream so lately that a spare connection is of use.
    pub(super) fn is_warm(&self) -> bool {
        self.clock.now().since(self.state.lock().last_used) <= WARM_SPAN
    }

    pub(super) fn put_back(&self, sender: RequestSender, seat: LinkSeat) {
        let surplus = {
            let mut state = self.state.lock();
            let number = seat.number;
            let closed = state.closed || sender.is_closed();
            let idle = IdleLink { sender, seat };
            if closed || state.book.put_back(self.clock.now(), number) == ReturnChoice::Close {
                Some(idle)
            } else {
                state.idle.insert(number, idle)
            }
        };
        drop(surplus);
    }

    /// Puts a connection back once it is ready for another request.
    ///
    /// Its task may not yet have seen the end of the answer that was read here. Put back at once,
    /// the next request would wait for that task, and on a busy machine longer than a new
    /// connection takes, while other idle ones are ready.
    pub(super) fn put_back_later(self: Arc<Self>, mut sender: RequestSender, seat: LinkSeat) {
        tokio::spawn(async move {
            let limit = self.clock.now() + READY_LIMIT;
            if let Some(Ok(())) = self.timer.limit(limit, sender.ready()).await {
                self.put_back(sender, seat);
            }
        });
    }

    pub(super) fn prove(&self, number: LinkNumber) {
        self.state.lock().book.prove(self.clock.now(), number);
    }

    pub(super) fn forget(&self, number: LinkNumber) {
        self.state.lock().book.forget(number);
    }

    pub(super) fn suspect(&self, sent: Moment) {
        self.close_idle(|book| book.suspect(sent));
    }

    pub(super) fn expire(&self) {
        let now = self.clock.now();
        self.close_idle(|book| book.expire(now));
    }

    /// Closes all idle connections, because the upstream is gone.
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

    pub(super) fn open_links(&self) -> usize {
        self.state.lock().book.open_links()
    }

    /// Chooses a connection; also the one that leaves the idle set by it, and a spare to open.
    fn choose(&self, safety: WorkSafety) -> (CheckoutChoice, Option<IdleLink>, Option<LinkNumber>) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let is_warm = now.since(state.last_used) <= WARM_SPAN;
        state.last_used = now;
        let choice = state.book.checkout(now, safety);
        let leaving = match choice {
            CheckoutChoice::Reuse(number) => state.idle.remove(&number),
            CheckoutChoice::Replace { close, .. } => state.idle.remove(&close),
            CheckoutChoice::Open(_) | CheckoutChoice::Full => None,
        };
        let is_reuse = matches!(choice, CheckoutChoice::Reuse(_));
        let useful = if is_reuse && is_warm { state.useful } else { 0 };
        let spare = state.book.open_spare(now, useful);
        (choice, leaving, spare)
    }

    fn close_idle(&self, choose: impl FnOnce(&mut ConnectionBook) -> Vec<LinkNumber>) {
        let closed: Vec<_> = {
            let mut state = self.state.lock();
            let numbers = choose(&mut state.book);
            numbers.iter().filter_map(|number| state.idle.remove(number)).collect()
        };
        drop(closed);
    }

    async fn connect(
        self: &Arc<Self>,
        mut seat: LinkSeat,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        let limit = deadline.min(self.clock.now() + CONNECT_LIMIT);
        let connected = self.timer.limit(limit, TcpStream::connect(self.address)).await;
        let stream = connected.ok_or(LinkFault::ConnectTimeout)?.map_err(LinkFault::Unreachable)?;
        set_options(&stream).map_err(LinkFault::Unreachable)?;
        let stream = TokioIo::new(MeteredStream::new(stream, seat.meter.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(READ_BUFFER).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| LinkFault::ClosedUnsent)?;
        let links: Weak<Self> = Arc::downgrade(self);
        let (number, ended) = (seat.number, Arc::clone(&seat.ended));
        let driver = tokio::spawn(async move {
            // How it ended shows at the sender; here it only must not stay in the idle set.
            let _ = connection.await;
            ended.notify_one();
            if let Some(links) = links.upgrade() {
                let closed = links.state.lock().idle.remove(&number);
                drop(closed);
            }
        });
        seat.driver = Some(driver.abort_handle());
        self.prove(number);
        Ok(UpstreamLink::new(sender, seat))
    }
}

/// Lets the system notice a silent connection: data nobody acknowledges, probes nobody answers.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_QUIET)
        .with_interval(KEEPALIVE_PAUSE)
        .with_retries(3);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(())
}
