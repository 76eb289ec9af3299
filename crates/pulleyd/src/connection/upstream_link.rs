//! One connection to an upstream.

use std::io;
use std::sync::Weak;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use pulley_core::{RequestVerdict, UpstreamId};
use thiserror::Error;

use super::UpstreamConnections;
use crate::request::RequestBody;

/// What a link's users get back.
type Result<T> = std::result::Result<T, LinkFault>;

/// Why an attempt over a link gave no answer.
#[derive(Debug, Error)]
pub enum LinkFault {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// The connection was closed before the request was written to it.
    #[error("the connection was closed before the request was sent")]
    ClosedUnsent,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

impl LinkFault {
    /// Whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            Self::Unreachable(_) | Self::ClosedUnsent => RequestVerdict::NotRun,
            Self::Broken(_) => RequestVerdict::MayHaveRun,
        }
    }

    /// The fault in one word, for headers and logs.
    #[must_use]
    pub const fn cause(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::ClosedUnsent => "closed-unsent",
            Self::Broken(_) => "connection-broken",
        }
    }
}

/// A connection that carries one request at a time, so no answer can meet another's request.
#[derive(Debug)]
pub struct UpstreamLink {
    sender: http1::SendRequest<RequestBody>,
    upstream: UpstreamId,
    home: Weak<UpstreamConnections>,
}

impl UpstreamLink {
    pub(super) fn new(
        sender: http1::SendRequest<RequestBody>,
        upstream: UpstreamId,
        home: Weak<UpstreamConnections>,
    ) -> Self {
        Self { sender, upstream, home }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// `ClosedUnsent` if nothing can have left, `Broken` otherwise.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>> {
        self.sender.try_send_request(request).await.map_err(|mut fault| {
            // The request comes back only if it was never taken up for writing.
            match fault.take_message() {
                Some(_) => LinkFault::ClosedUnsent,
                None => LinkFault::Broken(fault.into_error()),
            }
        })
    }

    /// Gives the link back for other requests, after the whole answer has been read.
    pub fn give_back(self) {
        let Some(home) = self.home.upgrade() else { return };
        home.give_back(&self.upstream, self.sender);
    }
}
