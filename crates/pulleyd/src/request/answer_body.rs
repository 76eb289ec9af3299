//! The body that goes to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use pulley_core::request::AttemptOutcome;
use thiserror::Error;

use super::AttemptGuard;
use crate::connection::UpstreamLink;

/// Why an answer's body ended early; the caller's connection is then aborted.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// The upstream's connection broke in the body.
    #[error("the upstream's answer was cut short: {0}")]
    CutShort(#[from] hyper::Error),
}

/// What the stream of an answer from an upstream holds on to until its end.
#[derive(Debug)]
struct UpstreamAnswer {
    body: Incoming,
    attempt: AttemptGuard,
    link: UpstreamLink,
    outcome: AttemptOutcome,
}

#[derive(Debug)]
enum AnswerSource {
    Ended,
    Whole(Bytes),
    Upstream(Box<UpstreamAnswer>),
}

/// A body on its way to the caller, streamed with back-pressure.
///
/// A body that the upstream cuts short ends in an error, never in a clean end: a caller would
/// otherwise take half a loss file for the whole. The error makes the server abort the caller's
/// connection (HTTP/1.1) or reset the stream (HTTP/2).
#[derive(Debug)]
pub struct AnswerBody {
    source: AnswerSource,
}

impl AnswerBody {
    /// A body that is known as a whole.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            source: if bytes.is_empty() { AnswerSource::Ended } else { AnswerSource::Whole(bytes) },
        }
    }

    /// An upstream's body; the attempt ends and the link is given back when the body has ended.
    #[must_use]
    pub fn upstream(
        body: Incoming,
        attempt: AttemptGuard,
        link: UpstreamLink,
        outcome: AttemptOutcome,
    ) -> Self {
        let mut answer = UpstreamAnswer { body, attempt, link, outcome };
        if answer.body.is_end_stream() {
            answer.outcome = outcome;
            answer.complete();
            return Self { source: AnswerSource::Ended };
        }
        Self { source: AnswerSource::Upstream(Box::new(answer)) }
    }
}

impl UpstreamAnswer {
    fn complete(self) {
        self.link.give_back();
        self.attempt.settle(self.outcome);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let answer = match &mut self.source {
            AnswerSource::Ended => return Poll::Ready(None),
            AnswerSource::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                self.source = AnswerSource::Ended;
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            AnswerSource::Upstream(answer) => answer,
        };
        let polled = futures::ready!(Pin::new(&mut answer.body).poll_frame(context));
        let ended = match &polled {
            Some(Ok(_)) => answer.body.is_end_stream(),
            Some(Err(_)) | None => true,
        };
        if ended
            && let AnswerSource::Upstream(answer) =
                std::mem::replace(&mut self.source, AnswerSource::Ended)
        {
            match &polled {
                Some(Err(_)) => answer.attempt.settle(AttemptOutcome::Broken),
                _ => answer.complete(),
            }
        }
        Poll::Ready(polled.map(|frame| frame.map_err(BodyFault::from)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, AnswerSource::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            AnswerSource::Ended => SizeHint::with_exact(0),
            AnswerSource::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerSource::Upstream(answer) => answer.body.size_hint(),
        }
    }
}
