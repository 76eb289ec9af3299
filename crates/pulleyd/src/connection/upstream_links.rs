//! The connections to one upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use http::header::{HOST, HeaderValue};
use http::response::Parts;
use http::{Method, Request, Uri};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::connection::{
    CheckoutChoice, ConnectionNumber, ConnectionRules, ConnectionTable, RepeatSafety, ReturnChoice,
    UpstreamPath, UpstreamRoute,
};
use pulley_core::process::FastMap;
use pulley_core::{PoolName, UpstreamId};

use tokio_util::either::Either;

use super::upstream_dialer::{CONNECT_TIMEOUT, UpstreamDialer};
use super::upstream_link::LinkRegistration;
use super::{LinkFault, MeteredStream, Unused, UpstreamLink};
use crate::process::{ProcessClock, TimerService};
use crate::request::RequestBody;

/// The result of opening a connection.
type Result<T> = std::result::Result<T, LinkFault>;

type RequestSender = http1::SendRequest<RequestBody>;

/// How long after an upstream's last request a spare connection to it is kept ready.
///
/// While load grows, a spare saves a request one millisecond. With a longer span, entries with few
/// requests would open more connections than they have requests. Each costs its upstream the same
/// millisecond, and most would be closed unused.
const SPARE_SPAN: Duration = Duration::from_millis(100);

/// How long a returned connection may take to be ready again. It is ready within microseconds
/// unless the machine is busy, or the upstream answered before it had read the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// The least time that a connection must have had for a timeout to say something of its path.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(40);

/// Bytes read at once, which is also the maximum size of an answer's head. Common servers send
/// heads of up to 8 KiB. After each read, as many bytes can arrive at the link's full rate before
/// any rate limit takes effect, so the buffer is not larger.
const READ_BUFFER: usize = 16 * 1_024;

/// The connections of this process to one upstream.
#[derive(Debug)]
pub(super) struct UpstreamLinks {
    upstream: UpstreamId,
    /// Its pool; `None` if it was not known any more when the first connection was opened.
    pool: Option<PoolName>,
    address: SocketAddr,
    dialer: Arc<UpstreamDialer>,
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
    /// When the upstream last proved in an answer to a probe that it is the one with its id and
    /// takes work.
    identified: Option<Moment>,
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
    pub(super) fn new(
        (upstream, pool): (UpstreamId, Option<PoolName>),
        address: SocketAddr,
        dialer: Arc<UpstreamDialer>,
        clock: ProcessClock,
        timer: TimerService,
    ) -> Self {
        let is_cut_off = dialer.is_cut_off();
        let route = if is_cut_off { UpstreamRoute::Relayed } else { UpstreamRoute::Direct };
        let state = LinksState {
            table: ConnectionTable::new(ConnectionRules::default()),
            idle: FastMap::default(),
            useful: 1,
            last_used: Moment::ZERO,
            path: UpstreamPath::new(route),
            identified: None,
            closed: false,
        };
        Self { upstream, pool, address, dialer, clock, timer, state: Mutex::new(state) }
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
                    let route = self.path().route;
                    // Boxed, because its future is large and connections are opened rarely.
                    return Box::pin(self.connect(registration, route, deadline)).await;
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
            if idle.sender.is_ready() && !idle.registration.is_avoided() {
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
            let route = links.path().route;
            if let Ok(link) = links.connect(registration, route, deadline).await {
                let UpstreamLink { sender, registration, .. } = link;
                links.check_in(sender, registration);
            }
        });
    }

    /// Whether the last request to the upstream was so recent that a spare connection is useful.
    pub(super) fn was_used_recently(&self) -> bool {
        self.was_used_within(SPARE_SPAN)
    }

    pub(super) fn check_in(&self, sender: RequestSender, registration: LinkRegistration) {
        let surplus = {
            let mut state = self.state.lock();
            let number = registration.number;
            let is_detour = registration.relay.is_some()
                && (state.path.route == UpstreamRoute::Direct || registration.is_avoided());
            let closed = state.closed || sender.is_closed() || is_detour;
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

    /// Records that the upstream has answered over a connection, which may be a relayed one.
    pub(super) fn record_answer(&self, number: ConnectionNumber, is_relayed: bool) {
        let (mut state, now) = (self.state.lock(), self.clock.now());
        state.table.mark_proven(now, number);
        if !is_relayed {
            state.path.record_answer(now);
        }
    }

    /// Records that the upstream has left a request unanswered, unless requests go to it over
    /// another host.
    pub(super) fn record_silence(&self) {
        let mut state = self.state.lock();
        if state.path.route == UpstreamRoute::Direct {
            state.path.record_silence(self.clock.now());
        }
    }

    /// Records whether a connection could be opened.
    fn record_opening(&self, number: ConnectionNumber, route: UpstreamRoute, succeeded: bool) {
        let (mut state, now) = (self.state.lock(), self.clock.now());
        if succeeded {
            state.table.mark_proven(now, number);
        }
        if route == UpstreamRoute::Direct {
            state.path.record_opening(now, succeeded);
        }
    }

    pub(super) fn record_identified(&self) {
        self.state.lock().identified = Some(self.clock.now());
    }

    /// Whether the upstream has proved since a moment that it is the one with its id.
    pub(super) fn was_identified_since(&self, start: Moment) -> bool {
        self.state.lock().identified.is_some_and(|at| at >= start)
    }

    pub(super) fn path(&self) -> UpstreamPath {
        self.state.lock().path
    }

    pub(super) fn remove(&self, number: ConnectionNumber) {
        self.state.lock().table.remove(number);
    }

    pub(super) fn retire_unproven(&self, sent: Moment) {
        self.close_idle(|table| table.retire_unproven(sent));
    }

    /// Closes connections that have been idle for too long, and those over hosts that are avoided.
    pub(super) fn expire(&self) {
        let now = self.clock.now();
        self.close_idle(|table| table.expire(now));
        self.close_matching(LinkRegistration::is_avoided);
    }

    // ---------------------------------------------------------------------------------------------
    // Routes

    /// Opens new connections over other hosts from now on, unless the upstream has answered directly
    /// since `start`. Idle connections that have not answered since then are closed.
    pub(super) fn use_relays(&self, start: Moment) {
        {
            let mut state = self.state.lock();
            if state.path.has_answered_since(start) && !state.path.is_lost(self.clock.now()) {
                return;
            }
            state.path.route = UpstreamRoute::Relayed;
        }
        self.retire_unproven(start);
    }

    /// Opens new connections directly from now on, and closes idle ones over other hosts.
    pub(super) fn use_own_path(&self) {
        self.state.lock().path.route = UpstreamRoute::Direct;
        self.close_matching(|registration| registration.relay.is_some());
    }

    /// Reaches the upstream on a route: opens a connection, and gets an answer to a probe over it,
    /// unless `may_send` forbids that once it is open. The connection is to be given back for
    /// requests.
    ///
    /// That a connection opens proves little: it may be reset or fall silent right after.
    pub(super) async fn reach(
        self: &Arc<Self>,
        route: UpstreamRoute,
        probe_path: &Uri,
        deadline: Moment,
        may_send: impl Fn() -> bool,
    ) -> Option<(Parts, UpstreamLink<Unused>)> {
        let registration = self.register_check()?;
        let link = self.connect(registration, route, deadline).await.ok()?;
        let request = self.probe_request(probe_path).filter(|_| may_send())?;
        self.timer.run_until(deadline, link.probe(request)).await.flatten()
    }

    /// Takes an idle connection if one is open.
    pub(super) fn take_idle(&self) -> Option<UpstreamLink<Unused>> {
        let idle = {
            let mut state = self.state.lock();
            let number = state.table.reuse(self.clock.now())?;
            state.idle.remove(&number)?
        };
        let IdleLink { sender, registration } = idle;
        sender.is_ready().then(|| UpstreamLink::new(sender, registration))
    }

    /// Opens another connection to find out whether the upstream accepts any.
    pub(super) async fn open_for_check(
        self: &Arc<Self>,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        let registration = self.register_check().ok_or(LinkFault::ShareInUse)?;
        let route = self.path().route;
        self.connect(registration, route, deadline).await
    }

    /// Returns a probe that checks whether the upstream answers.
    pub(super) fn probe_request(&self, path: &Uri) -> Option<Request<RequestBody>> {
        check_request(path, self.address)
    }

    /// Takes an idle connection that was opened before a moment, if one is open.
    pub(super) fn take_idle_opened_before(&self, moment: Moment) -> Option<UpstreamLink<Unused>> {
        let idle = {
            let mut state = self.state.lock();
            let number = state.table.reuse_opened_before(moment)?;
            state.idle.remove(&number)?
        };
        let IdleLink { sender, registration } = idle;
        sender.is_ready().then(|| UpstreamLink::new(sender, registration))
    }

    /// Whether the upstream has answered this host directly since a moment.
    pub(super) fn has_answered_since(&self, moment: Moment) -> bool {
        self.state.lock().path.has_answered_since(moment)
    }

    fn register_check(self: &Arc<Self>) -> Option<LinkRegistration> {
        let (number, closed) = {
            let mut state = self.state.lock();
            let (number, close) = state.table.open_check(self.clock.now())?;
            (number, close.and_then(|close| state.idle.remove(&close)))
        };
        drop(closed);
        Some(LinkRegistration::new(Arc::clone(self), number))
    }

    /// Whether a request has used the connections within a span.
    pub(super) fn was_used_within(&self, span: Duration) -> bool {
        self.clock.now().since(self.state.lock().last_used) <= span
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

    pub(super) const fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    pub(super) const fn pool(&self) -> Option<&PoolName> {
        self.pool.as_ref()
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

    /// Closes the idle connections whose registration matches.
    fn close_matching(&self, is_closed: impl Fn(&LinkRegistration) -> bool) {
        let closed: Vec<IdleLink> = {
            let mut state = self.state.lock();
            let links = std::mem::take(&mut state.idle);
            let (closed, kept): (FastMap<_, _>, FastMap<_, _>) =
                links.into_iter().partition(|(_, link)| is_closed(&link.registration));
            state.idle = kept;
            closed.keys().for_each(|number| state.table.remove(*number));
            closed.into_values().collect()
        };
        drop(closed);
    }

    async fn connect(
        self: &Arc<Self>,
        mut registration: LinkRegistration,
        route: UpstreamRoute,
        deadline: Moment,
    ) -> Result<UpstreamLink<Unused>> {
        let target = (&self.upstream, self.pool.as_ref());
        let started = self.clock.now();
        let opened = self.dialer.open(target, self.address, route, deadline).await;
        let was_short = self.clock.now().since(started) < MIN_CONNECT_TIME;
        if !(was_short && matches!(opened, Err(LinkFault::ConnectTimeout))) {
            self.record_opening(registration.number, route, opened.is_ok());
        }
        let stream = opened?;
        if let Either::Right(relayed) = &stream {
            registration.relay = Some(Arc::clone(relayed.state()));
            registration.is_held = relayed.hold_flag();
        }
        let (meter, read_limit) = (registration.meter.clone(), self.dialer.read_limit());
        let stream = TokioIo::new(MeteredStream::new(stream, meter, read_limit));
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
}

/// Returns a probe that checks whether the upstream answers.
fn check_request(path: &Uri, address: SocketAddr) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::Empty);
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.clone();
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
