//! One connection to an upstream.

use std::io;
use std::pin::pin;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::{Either, select};
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use pulley_core::connection::LinkNumber;
use pulley_core::{Moment, RequestVerdict};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::LinkMeter;
use super::upstream_links::UpstreamLinks;
use crate::request::RequestBody;

/// The longest body of an answer to a probe, in bytes; most have none.
const PROBE_BODY_LIMIT: usize = 4 << 10;

/// What a link's users get back.
type Result<T> = std::result::Result<T, LinkFault>;

/// Why an attempt over a link gave no answer.
#[derive(Debug, Error)]
pub enum LinkFault {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// No connection came about in time.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// This entry's share of the upstream's connections is in use.
    #[error("the share of the upstream's connections is in use")]
    ShareInUse,
    /// The connection ended before a byte of the request had left.
    #[error("the connection ended before the request was sent")]
    ClosedUnsent,
    /// The connection broke after bytes of the request had left.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The connection ended without a word after bytes of the request had left.
    #[error("the connection ended without an answer")]
    Lost,
}

impl LinkFault {
    /// Whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            Self::Broken(_) | Self::Lost => RequestVerdict::MayHaveRun,
            Self::Unreachable(_) | Self::ConnectTimeout | Self::ShareInUse | Self::ClosedUnsent => {
                RequestVerdict::NotRun
            }
        }
    }

    /// The fault in one word, for headers and logs.
    #[must_use]
    pub const fn cause(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::ConnectTimeout => "connect-timeout",
            Self::ShareInUse => "connections-used-up",
            Self::ClosedUnsent => "closed-unsent",
            Self::Broken(_) | Self::Lost => "connection-broken",
        }
    }
}

/// State of a link over which no request of its present holder was sent.
#[derive(Debug)]
pub struct Unused;

/// State of a link whose answer has begun and may not yet be read as a whole.
#[derive(Debug)]
pub struct Answering;

/// A connection in the hands of one request; the type parameter is its state.
///
/// `Unused` → [`send`](UpstreamLink::send) → `Answering` → [`give_back`](UpstreamLink::give_back).
/// It carries one request at a time, so no answer can meet another's request. Dropped in any state
/// it closes its connection: that tells the upstream that the request is cancelled, and a late
/// answer ends with the connection.
#[derive(Debug)]
pub struct UpstreamLink<S> {
    pub(super) sender: http1::SendRequest<RequestBody>,
    pub(super) seat: LinkSeat,
    _state: S,
}

impl UpstreamLink<Unused> {
    pub(super) const fn new(sender: http1::SendRequest<RequestBody>, seat: LinkSeat) -> Self {
        Self { sender, seat, _state: Unused }
    }

    /// The meter, for judging a request whose sending was given up.
    #[must_use]
    pub fn meter(&self) -> LinkMeter {
        self.seat.meter.clone()
    }

    /// Sends a request, at once; the future waits for the head of its answer. It is sent once,
    /// never again.
    ///
    /// # Errors
    /// `ClosedUnsent` if no byte has left, `Broken` otherwise.
    pub fn send(
        mut self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Result<(Response<Incoming>, UpstreamLink<Answering>)>> {
        self.seat.meter.begin_request();
        let sending = self.sender.try_send_request(request);
        let Self { sender, seat, .. } = self;
        async move {
            match until_ended(sending, &seat.ended).await {
                Some(Ok(response)) => {
                    seat.prove();
                    Ok((response, UpstreamLink { sender, seat, _state: Answering }))
                }
                Some(Err(fault)) => {
                    let has_left = seat.meter.seal();
                    let broken = LinkFault::Broken(fault.into_error());
                    Err(if has_left { broken } else { LinkFault::ClosedUnsent })
                }
                None => {
                    let has_left = seat.meter.seal();
                    Err(if has_left { LinkFault::Lost } else { LinkFault::ClosedUnsent })
                }
            }
        }
    }
}

/// Waits for an answer, but not beyond its connection's end.
///
/// The library hands a request to the connection's task through a channel. If that task ends just
/// as the request is put in, the request stays in the channel for as long as its sender is held,
/// which is here, and the answer never resolves: the caller of a refund would wait for its whole
/// deadline. What the task did take up is resolved before it ends, so one look afterwards tells.
async fn until_ended<T>(answer: impl Future<Output = T>, ended: &Notify) -> Option<T> {
    let mut answer = pin!(answer);
    match select(answer.as_mut(), pin!(ended.notified())).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => answer.as_mut().now_or_never(),
    }
}

impl UpstreamLink<Unused> {
    /// Asks the upstream something that needs no slot, reads the answer, and keeps the link for a
    /// request; none if it gave no whole answer, or a longer one than such a question has.
    pub async fn probe(self, question: Request<RequestBody>) -> Option<(Parts, Self)> {
        let (response, link) = self.send(question).await.ok()?;
        let (parts, body) = response.into_parts();
        Limited::new(body, PROBE_BODY_LIMIT).collect().await.ok()?;
        let UpstreamLink { mut sender, seat, .. } = link;
        sender.ready().await.ok()?;
        Some((parts, Self { sender, seat, _state: Unused }))
    }

    /// Gives the link back unused.
    pub fn give_back(self) {
        put_back(self.sender, self.seat);
    }
}

impl UpstreamLink<Answering> {
    /// Gives the link back for other requests, after the whole answer has been read.
    pub fn give_back(self) {
        put_back(self.sender, self.seat);
    }
}

fn put_back(sender: http1::SendRequest<RequestBody>, seat: LinkSeat) {
    let links = Arc::clone(&seat.links);
    if sender.is_ready() || sender.is_closed() {
        links.put_back(sender, seat);
        return;
    }
    links.put_back_later(sender, seat);
}

/// A connection's place in its upstream's book; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct LinkSeat {
    pub(super) links: Arc<UpstreamLinks>,
    pub(super) number: LinkNumber,
    pub(super) meter: LinkMeter,
    pub(super) driver: Option<AbortHandle>,
    /// Told once the connection's task has ended.
    pub(super) ended: Arc<Notify>,
}

impl LinkSeat {
    pub(super) fn new(links: Arc<UpstreamLinks>, number: LinkNumber) -> Self {
        Self { links, number, meter: LinkMeter::default(), driver: None, ended: Arc::default() }
    }

    fn prove(&self) {
        self.links.prove(self.number);
    }
}

impl Drop for LinkSeat {
    fn drop(&mut self) {
        let _ = self.meter.seal();
        if let Some(driver) = &self.driver {
            driver.abort();
        }
        self.links.forget(self.number);
    }
}

/// Tells when a request went out over a link, for judging the other links of its upstream.
#[derive(Clone, Debug)]
pub struct SendRecord {
    links: Arc<UpstreamLinks>,
    sent: Moment,
}

impl UpstreamLink<Unused> {
    /// Notes that a request goes out now.
    #[must_use]
    pub fn send_record(&self) -> SendRecord {
        SendRecord { links: Arc::clone(&self.seat.links), sent: self.seat.links.now() }
    }
}

impl SendRecord {
    /// Says that the request is past its limit unanswered: its connection may have gone silent,
    /// and idle ones that have not answered since are closed.
    pub fn suspect(&self) {
        self.links.suspect(self.sent);
    }
}
