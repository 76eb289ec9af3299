//! The body sent to the upstream, and what is buffered of it for another attempt.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use sha2::{Digest, Sha256};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;

use super::held_bodies::{HELD_BODY_LIMIT, HeldBodies};

/// The result of reading a body.
type Result<T> = std::result::Result<T, RequestFault>;

/// Why a request body could not be forwarded completely.
#[derive(Debug, Error)]
pub enum RequestFault {
    /// The caller's connection failed or was closed.
    #[error("the caller's body was cut short: {0}")]
    CallerAborted(#[from] hyper::Error),
    /// A later attempt has taken over the body.
    #[error("a later attempt has taken over the body")]
    Superseded,
    /// The body is larger than allowed for a request with an idempotency key.
    #[error("the body is too large for a request with an idempotency key")]
    TooLarge,
}

/// A caller's body, streamed to one attempt after another.
///
/// Frames are kept up to a limit so that a later attempt can start from the beginning. Beyond the
/// limit the body is only streamed, and the request cannot be retried.
#[derive(Clone, Debug)]
pub struct BodySource {
    state: Option<Arc<Mutex<SourceState>>>,
}

#[derive(Debug)]
struct SourceState {
    incoming: Option<Incoming>,
    kept: Vec<KeptFrame>,
    kept_bytes: usize,
    limit: usize,
    /// The room for a body beyond the usual limit.
    room: Option<OwnedSemaphorePermit>,
    /// Whether all frames read so far were kept.
    is_complete: bool,
    /// The digest of the data read so far, once it is no longer kept.
    hasher: Option<Sha256>,
    caller_aborted: bool,
    /// The attempt that may read; earlier ones get `Superseded`. Otherwise they would consume
    /// frames that this attempt needs.
    attempt: u32,
}

/// How far the rest of a body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestRead {
    /// To its end, or until its caller broke off.
    Done,
    /// It is longer than what may be kept.
    TooLong,
}

#[derive(Clone, Debug)]
enum KeptFrame {
    Data(Bytes),
    Trailers(HeaderMap),
}

impl BodySource {
    /// Wraps a caller's body and keeps up to `limit` bytes of it.
    #[must_use]
    pub fn new(incoming: Incoming, limit: usize) -> Self {
        if incoming.is_end_stream() {
            return Self { state: None };
        }
        let state = SourceState {
            incoming: Some(incoming),
            kept: Vec::new(),
            kept_bytes: 0,
            limit,
            room: None,
            is_complete: true,
            hasher: None,
            caller_aborted: false,
            attempt: 0,
        };
        Self { state: Some(Arc::new(Mutex::new(state))) }
    }

    /// Reads the whole body before it is sent, up to `limit` bytes.
    ///
    /// # Errors
    /// Returns `TooLarge` beyond the limit and `CallerAborted` if the caller ends the body early.
    pub async fn gather(incoming: Incoming, limit: usize) -> Result<(Self, Vec<Bytes>)> {
        let mut body = incoming;
        let (mut kept, mut kept_bytes) = (Vec::new(), 0);
        while let Some(frame) = body.frame().await {
            let frame = KeptFrame::from(frame?);
            kept_bytes += frame.len();
            if kept_bytes > limit {
                return Err(RequestFault::TooLarge);
            }
            kept.push(frame);
        }
        let data = kept.iter().filter_map(KeptFrame::data).collect();
        let state = SourceState {
            incoming: None,
            kept,
            kept_bytes,
            limit,
            room: None,
            is_complete: true,
            hasher: None,
            caller_aborted: false,
            attempt: 0,
        };
        Ok((Self { state: Some(Arc::new(Mutex::new(state))) }, data))
    }

    /// Returns the body for a new attempt, from the beginning; earlier attempts cannot read any
    /// more of it.
    #[must_use]
    pub fn restart(&self) -> RequestBody {
        let Some(state) = &self.state else { return RequestBody::Empty };
        let attempt = {
            let mut state = state.lock();
            state.attempt += 1;
            state.attempt
        };
        RequestBody::Stream(BodyCursor { state: Arc::clone(state), attempt, position: 0 })
    }

    /// Whether another attempt can read the whole body.
    #[must_use]
    pub fn can_restart(&self) -> bool {
        self.state.as_ref().is_none_or(|state| {
            let state = state.lock();
            state.is_complete && !state.caller_aborted
        })
    }

    /// Whether the body has been read to its end.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state.as_ref().is_none_or(|state| {
            let state = state.lock();
            state.incoming.as_ref().is_none_or(Body::is_end_stream)
        })
    }

    /// Returns the SHA-256 digest of the body's data; `None` if it has not been read to its end.
    #[must_use]
    pub fn digest(&self) -> Option<[u8; 32]> {
        let Some(state) = &self.state else { return Some(Sha256::digest([]).into()) };
        let state = state.lock();
        let has_ended = state.incoming.as_ref().is_none_or(Body::is_end_stream);
        (has_ended && !state.caller_aborted).then(|| state.current_hasher().finalize().into())
    }

    /// Reads and keeps the rest of the body before any attempt, unless it is longer than what may be
    /// kept. Waits for room for a long one.
    pub async fn keep_rest(&self, held_bodies: &HeldBodies) {
        let Some(state) = &self.state else { return };
        state.lock().attempt += 1;
        let read = || poll_fn(|context| state.lock().poll_rest(context));
        if read().await == RestRead::TooLong {
            let room = held_bodies.acquire().await;
            state.lock().enlarge(room);
            read().await;
        }
    }

    /// Reads the rest of the body, and keeps it if there is room. Earlier attempts cannot read any
    /// more of it, and later ones only if it is kept.
    pub async fn read_rest(&self, held_bodies: &HeldBodies) {
        let Some(state) = &self.state else { return };
        let room = state.lock().is_longer_than_limit().then(|| held_bodies.try_acquire());
        {
            let mut state = state.lock();
            state.attempt += 1;
            state.enlarge(room.flatten());
        }
        let read = |context: &mut Context<'_>| state.lock().poll_incoming(context);
        while let Some(Ok(_)) = poll_fn(read).await {}
    }

    /// Whether the caller aborted its body.
    #[must_use]
    pub fn caller_aborted(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.lock().caller_aborted)
    }
}

/// A request body on its way to the upstream, streamed from its source.
#[derive(Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// A body read from its source.
    Stream(BodyCursor),
}

/// One attempt's position in a body.
#[derive(Debug)]
pub struct BodyCursor {
    state: Arc<Mutex<SourceState>>,
    attempt: u32,
    position: usize,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = RequestFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Stream(cursor) => cursor.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Stream(cursor) => cursor.state.lock().is_end(cursor.position),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Stream(cursor) => cursor.state.lock().size_after(cursor.position),
        }
    }
}

impl BodyCursor {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>>>> {
        let mut state = self.state.lock();
        if state.attempt != self.attempt {
            return Poll::Ready(Some(Err(RequestFault::Superseded)));
        }
        if let Some(kept) = state.kept.get(self.position) {
            let frame = kept.clone().into();
            self.position += 1;
            return Poll::Ready(Some(Ok(frame)));
        }
        let polled = futures::ready!(state.poll_incoming(context));
        if matches!(polled, Some(Ok(_))) && state.is_complete {
            self.position += 1;
        }
        Poll::Ready(polled)
    }
}

impl SourceState {
    fn poll_incoming(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>>>> {
        let Some(incoming) = &mut self.incoming else { return Poll::Ready(None) };
        match futures::ready!(Pin::new(incoming).poll_frame(context)) {
            None => {
                self.incoming = None;
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                let frame = KeptFrame::from(frame);
                self.keep(&frame);
                Poll::Ready(Some(Ok(frame.into())))
            }
            Some(Err(fault)) => {
                self.caller_aborted = true;
                Poll::Ready(Some(Err(fault.into())))
            }
        }
    }

    /// Reads and keeps frames until the body ends or is known to be longer than the limit. The frame
    /// that exceeds the limit is kept too, as no attempt has read it yet.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<RestRead> {
        while self.is_complete {
            if self.is_longer_than_limit() {
                return Poll::Ready(RestRead::TooLong);
            }
            let Some(incoming) = &mut self.incoming else { break };
            match futures::ready!(Pin::new(incoming).poll_frame(context)) {
                None => self.incoming = None,
                Some(Ok(frame)) => {
                    let frame = KeptFrame::from(frame);
                    self.kept_bytes += frame.len();
                    self.kept.push(frame);
                }
                Some(Err(_)) => {
                    self.caller_aborted = true;
                    break;
                }
            }
        }
        Poll::Ready(RestRead::Done)
    }

    /// Whether the body is known to be longer than what may be kept.
    fn is_longer_than_limit(&self) -> bool {
        let left = self.incoming.as_ref().map_or(0, |incoming| incoming.size_hint().lower());
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        self.kept_bytes.saturating_add(left) > self.limit
    }

    /// Keeps more of the body if there is room.
    fn enlarge(&mut self, room: Option<OwnedSemaphorePermit>) {
        if room.is_some() && self.is_complete {
            self.limit = self.limit.max(HELD_BODY_LIMIT);
            self.room = room;
        }
    }

    fn keep(&mut self, frame: &KeptFrame) {
        self.kept_bytes += frame.len();
        if self.is_complete && self.kept_bytes <= self.limit {
            self.kept.push(frame.clone());
            return;
        }
        let mut hasher = self.current_hasher();
        hasher.update(frame.data().unwrap_or_default());
        self.hasher = Some(hasher);
        self.is_complete = false;
        self.kept = Vec::new();
        self.room = None;
    }

    /// Returns the hasher of all data read so far.
    fn current_hasher(&self) -> Sha256 {
        self.hasher.clone().unwrap_or_else(|| {
            let data = self.kept.iter().filter_map(KeptFrame::data);
            data.fold(Sha256::new(), |hasher, data| hasher.chain_update(data))
        })
    }

    fn is_end(&self, position: usize) -> bool {
        position >= self.kept.len() && self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_after(&self, position: usize) -> SizeHint {
        let kept: usize = self.kept.iter().skip(position).map(KeptFrame::len).sum();
        let rest = self.incoming.as_ref().map_or(SizeHint::with_exact(0), Body::size_hint);
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + kept as u64);
        }
        hint.set_lower(rest.lower() + kept as u64);
        hint
    }
}

impl KeptFrame {
    fn len(&self) -> usize {
        match self {
            Self::Data(bytes) => bytes.len(),
            Self::Trailers(trailers) => super::request_headers::header_bytes(trailers),
        }
    }

    fn data(&self) -> Option<Bytes> {
        match self {
            Self::Data(bytes) => Some(bytes.clone()),
            Self::Trailers(_) => None,
        }
    }
}

impl From<Frame<Bytes>> for KeptFrame {
    fn from(frame: Frame<Bytes>) -> Self {
        match frame.into_data() {
            Ok(bytes) => Self::Data(bytes),
            Err(frame) => Self::Trailers(frame.into_trailers().unwrap_or_default()),
        }
    }
}

impl From<KeptFrame> for Frame<Bytes> {
    fn from(frame: KeptFrame) -> Self {
        match frame {
            KeptFrame::Data(bytes) => Self::data(bytes),
            KeptFrame::Trailers(trailers) => Self::trailers(trailers),
        }
    }
}
