//! The body that goes to the upstream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// A request's body on its way to the upstream; it is streamed, never gathered.
#[derive(Debug)]
pub enum RequestBody {
    /// No body.
    Empty,
    /// The caller's body as it arrives.
    Stream(Incoming),
}

impl From<Incoming> for RequestBody {
    fn from(incoming: Incoming) -> Self {
        if incoming.is_end_stream() { Self::Empty } else { Self::Stream(incoming) }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Stream(incoming) => Pin::new(incoming).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Stream(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Stream(incoming) => incoming.size_hint(),
        }
    }
}
