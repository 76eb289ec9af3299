//! One connection to an upstream.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::FutureExt;
use futures::future::{Either, select};
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use pulley_core::connection::ConnectionNumber;
use pulley_core::{HostId, Moment, RequestVerdict};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::answer_head::check_head;
use super::relay_client::RelayState;
use super::upstream_links::UpstreamLinks;
use super::{HeadFault, LinkMeter};
use crate::request::RequestBody;

/// Maximum body of an answer to a probe, in bytes. Most have no body.
const PROBE_BODY_LIMIT: usize = 4 << 10;

/// The result of using a link.
type Result<T> = std::result::Result<T, LinkFault>;

/// Why an attempt over a link got no answer.
#[derive(Debug, Error)]
pub enum LinkFault {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// The connection was not opened in time.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// All connections of this entry's share of the upstream's limit are in use.
    #[error("the share of the upstream's connections is in use")]
    ShareInUse,
    /// The upstream has asked the other hosts for rest that would connect to it for this one.
    #[error("the upstream has asked the hosts that relay for rest")]
    RelaysResting,
    /// The connection closed before any byte of the request was sent.
    #[error("the connection ended before the request was sent")]
    ClosedUnsent,
    /// The connection failed after bytes of the request were sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The connection closed without an answer after bytes of the request were sent.
    #[error("the connection ended without an answer")]
    Lost,
    /// The head of the answer is malformed.
    #[error("malformed answer: {0}")]
    Malformed(HeadFault),
}

impl LinkFault {
    /// Whether the upstream's machine refused the connection. Nothing listens at its address.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Unreachable(fault) if fault.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            Self::Broken(_) | Self::Lost | Self::Malformed(_) => RequestVerdict::MayHaveRun,
            Self::Unreachable(_)
            | Self::ConnectTimeout
            | Self::ShareInUse
            | Self::RelaysResting
            | Self::ClosedUnsent => RequestVerdict::NotRun,
        }
    }

    /// Returns the cause as a short name for headers and logs.
    #[must_use]
    pub const fn cause(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::ConnectTimeout => "connect-timeout",
            Self::ShareInUse => "connections-used-up",
            Self::RelaysResting => "relays-resting",
            Self::ClosedUnsent => "closed-unsent",
            Self::Broken(_) | Self::Lost => "connection-broken",
            Self::Malformed(_) => "malformed-answer",
        }
    }
}

/// State of a link over which its current holder has sent no request.
#[derive(Debug)]
pub struct Unused;

/// State of a link whose answer has begun and may not have been read completely.
#[derive(Debug)]
pub struct Answering;

/// A connection checked out by one request. The type parameter is its state.
///
/// `Unused` → [`send`](UpstreamLink::send) → `Answering` → [`give_back`](UpstreamLink::give_back).
/// It carries one request at a time, so an answer cannot be matched to another request. Dropping it
/// in any state closes its connection. This signals to the upstream that the request is cancelled,
/// and discards a late answer.
#[derive(Debug)]
pub struct UpstreamLink<S> {
    pub(super) sender: http1::SendRequest<RequestBody>,
    pub(super) registration: LinkRegistration,
    _state: S,
}

impl<S> UpstreamLink<S> {
    /// Returns the host that relays the connection, if it is not direct.
    pub(crate) const fn relay(&self) -> Option<&Arc<RelayState>> {
        self.registration.relay.as_ref()
    }

    /// Whether no request is to be sent over the connection, because of the host that relays it.
    pub(crate) fn is_avoided(&self) -> bool {
        self.registration.is_avoided()
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl UpstreamLink<Unused> {
    pub(super) const fn new(
        sender: http1::SendRequest<RequestBody>,
        registration: LinkRegistration,
    ) -> Self {
        Self { sender, registration, _state: Unused }
    }

    /// Returns the meter, which shows whether a request whose sending was aborted left the process.
    #[must_use]
    pub fn meter(&self) -> LinkMeter {
        self.registration.meter.clone()
    }

    /// Sends a request immediately. The returned future waits for the head of the answer. The
    /// request is never sent again.
    ///
    /// # Errors
    /// `ClosedUnsent` if no byte was sent. Otherwise `Broken`, `Lost` if the connection closed
    /// without an error, or `Malformed`, which closes the connection.
    pub fn send(
        mut self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Result<(Response<Incoming>, UpstreamLink<Answering>)>> {
        self.registration.meter.begin_request();
        let sending = self.sender.try_send_request(request);
        let Self { sender, registration, .. } = self;
        async move {
            match answer_until_ended(sending, &registration.ended).await {
                Some(Ok(mut response)) => {
                    registration.record_answer();
                    check_head(&mut response).map_err(LinkFault::Malformed)?;
                    Ok((response, UpstreamLink { sender, registration, _state: Answering }))
                }
                Some(Err(fault)) => {
                    let broken = LinkFault::Broken(fault.into_error());
                    Err(registration.record_loss(broken))
                }
                None => Err(registration.record_loss(LinkFault::Lost)),
            }
        }
    }
}

/// Waits for an answer. Returns `None` if the connection ends without one.
///
/// The HTTP library passes a request to the connection's task through a channel. If that task ends
/// just as the request is queued, the request stays in the channel until the sender is dropped. The
/// sender is held here during the wait, so the answer alone would never resolve, and the caller of
/// a refund would wait for its whole deadline. The task resolves every request it has received
/// before it ends, so polling the answer once after the end is enough.
async fn answer_until_ended<T>(answer: impl Future<Output = T>, ended: &Notify) -> Option<T> {
    let mut answer = pin!(answer);
    match select(answer.as_mut(), pin!(ended.notified())).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => answer.as_mut().now_or_never(),
    }
}

impl UpstreamLink<Unused> {
    /// Sends a probe, which needs no slot, and reads the answer. The link can then be used for a
    /// request. Returns `None` if the answer is incomplete or longer than an answer to a probe may
    /// be.
    pub async fn probe(self, question: Request<RequestBody>) -> Option<(Parts, Self)> {
        let (response, link) = self.send(question).await.ok()?;
        let (parts, body) = response.into_parts();
        Limited::new(body, PROBE_BODY_LIMIT).collect().await.ok()?;
        let UpstreamLink { mut sender, registration, .. } = link;
        sender.ready().await.ok()?;
        Some((parts, Self { sender, registration, _state: Unused }))
    }

    /// Waits until the connection ends.
    pub(super) async fn ended(&self) {
        self.registration.ended.notified().await;
    }

    /// Returns the link to the idle connections, unused.
    pub fn give_back(self) {
        check_in(self.sender, self.registration);
    }
}

impl UpstreamLink<Answering> {
    /// Returns the link to the idle connections, after the whole answer has been read.
    pub fn give_back(self) {
        check_in(self.sender, self.registration);
    }
}

fn check_in(sender: http1::SendRequest<RequestBody>, registration: LinkRegistration) {
    let links = Arc::clone(&registration.links);
    if sender.is_ready() || sender.is_closed() {
        links.check_in(sender, registration);
        return;
    }
    links.check_in_when_ready(sender, registration);
}

/// A connection's registration in its upstream's table. Dropping it closes the connection.
#[derive(Debug)]
pub(super) struct LinkRegistration {
    pub(super) links: Arc<UpstreamLinks>,
    pub(super) number: ConnectionNumber,
    pub(super) meter: LinkMeter,
    /// The host that relays the connection, if it is not direct.
    pub(super) relay: Option<Arc<RelayState>>,
    /// Whether that host may send nothing more to the upstream for now.
    pub(super) is_held: Arc<AtomicBool>,
    pub(super) driver: Option<AbortHandle>,
    /// Notified once the connection's task has ended.
    pub(super) ended: Arc<Notify>,
}

impl LinkRegistration {
    pub(super) fn new(links: Arc<UpstreamLinks>, number: ConnectionNumber) -> Self {
        let (meter, is_held, ended) = (LinkMeter::default(), Arc::default(), Arc::default());
        Self { links, number, meter, relay: None, is_held, driver: None, ended }
    }

    fn record_answer(&self) {
        if let Some(relay) = &self.relay {
            relay.record_answer();
        }
        self.links.record_answer(self.number, self.relay.is_some());
    }

    /// Records the end of the connection during a request. Returns `fault` if any byte of the request
    /// was written.
    fn record_loss(&self, fault: LinkFault) -> LinkFault {
        if !self.meter.seal() {
            return LinkFault::ClosedUnsent;
        }
        self.record_silence();
        fault
    }

    fn record_silence(&self) {
        record_silence(self.relay.as_deref(), &self.links);
    }

    /// Whether no request is to be sent over the connection, because of the host that relays it.
    pub(super) fn is_avoided(&self) -> bool {
        self.is_held.load(Ordering::Relaxed)
            || self.relay.as_ref().is_some_and(|relay| relay.is_avoided())
    }
}

impl Drop for LinkRegistration {
    fn drop(&mut self) {
        let _ = self.meter.seal();
        if let Some(driver) = &self.driver {
            driver.abort();
        }
        self.links.remove(self.number);
    }
}

/// Records when a request was sent, to decide which idle connections to its upstream to close.
#[derive(Clone, Debug)]
pub struct SendRecord {
    links: Arc<UpstreamLinks>,
    relay: Option<Arc<RelayState>>,
    sent: Moment,
}

impl UpstreamLink<Unused> {
    /// Records that a request is being sent now.
    #[must_use]
    pub fn send_record(&self) -> SendRecord {
        SendRecord {
            links: Arc::clone(&self.registration.links),
            relay: self.registration.relay.clone(),
            sent: self.registration.links.now(),
        }
    }
}

impl SendRecord {
    /// Reports that the request is still unanswered after its time limit. Its connection may have
    /// gone silent, so idle connections that have not answered since it was sent are closed.
    pub fn retire_unproven(&self) {
        self.record_silence();
        self.links.retire_unproven(self.sent);
    }

    /// Records that the request is still unanswered.
    pub fn record_silence(&self) {
        record_silence(self.relay.as_deref(), &self.links);
    }

    /// Returns the host that relays the request, if its connection is not direct.
    #[must_use]
    pub fn relay(&self) -> Option<&HostId> {
        self.relay.as_ref().map(|relay| relay.host())
    }
}

/// Records that a request stayed unanswered: against the host that relays its connection, or against
/// this host's own path.
fn record_silence(relay: Option<&RelayState>, links: &UpstreamLinks) {
    match relay {
        Some(relay) => relay.record_silence(),
        None => links.record_silence(),
    }
}
