//! The response body sent to the caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::process::LinkPacer;
use pulley_core::request::AttemptOutcome;
use pulley_core::version::{KindPlan, WorkLength};
use thiserror::Error;

use super::content_run::ContentRun;
use super::cut_notice::CutNotice;
use super::traffic_counters::RequestPermit;
use super::{AttemptGuard, TrafficCounters};
use crate::connection::{Answering, UpstreamLink};
use crate::process::{ProcessClock, TimerService, TimerSubscription};

/// The longest pause between two frames of an upstream's response body.
///
/// The deadline no longer applies once the response begins, because loss files stream for minutes.
/// Without this limit an upstream that stops in the middle would hold its slot and its caller
/// indefinitely, and the caller would see a stalled transfer. After this time the response is
/// aborted.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// How long after its deadline the answer to a short request may still be read. An answer that is
/// ready a little late is delivered, and one without an end would hold the host's link until its
/// caller leaves.
const LATE_END: Duration = Duration::from_millis(500);

/// Why a response body ended early; the caller's connection is then aborted.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// The connection to the upstream broke while the body was read.
    #[error("the upstream's answer was cut short: {0}")]
    CutShort(#[from] hyper::Error),
    /// The upstream was still sending when the request's time was over.
    #[error("the upstream's answer had no end in the request's time")]
    Overdue,
    /// The upstream sent nothing for longer than the stall limit.
    #[error("the upstream stopped in the middle of its answer")]
    Stalled,
}

/// An upstream's response stream and the resources it holds until its end.
#[derive(Debug)]
pub(super) struct UpstreamAnswer {
    pub(super) body: Incoming,
    pub(super) attempt: AttemptGuard,
    pub(super) link: UpstreamLink<Answering>,
    pub(super) outcome: AttemptOutcome,
    /// The run of the request's content.
    pub(super) content: ContentRun,
    pub(super) timer: TimerService,
    pub(super) clock: ProcessClock,
    /// After this time nothing more is read of it; `None` for long work, whose answers may stream for
    /// minutes.
    pub(super) read_until: Option<Moment>,
    /// Paces large responses to the host's link rate, if that is known.
    pub(super) pacing: Option<AnswerPacing>,
}

/// The pacing state of one response.
#[derive(Debug)]
pub(super) struct AnswerPacing {
    pacer: Arc<Mutex<LinkPacer>>,
    clock: ProcessClock,
    timer: TimerService,
    /// The largest piece that is passed on at a time, in bytes.
    piece: usize,
    /// Bytes that may still be passed on without a pause.
    unpaced_left: u64,
    /// The end of the current pause.
    pause: Option<TimerSubscription>,
}

impl AnswerPacing {
    /// Paces a response whose body has `length` bytes, if that is known.
    pub(super) fn new(
        pacer: Arc<Mutex<LinkPacer>>,
        clock: ProcessClock,
        timer: TimerService,
        length: Option<u64>,
    ) -> Self {
        let piece = pacer.lock().piece_bytes();
        let unpaced_left = LinkPacer::unpaced_bytes(length);
        Self { pacer, clock, timer, piece, unpaced_left, pause: None }
    }

    /// Splits a frame and records the first part as passed on. Returns it and what is left.
    fn take_piece(&mut self, frame: Frame<Bytes>) -> (Frame<Bytes>, Option<Frame<Bytes>>) {
        let mut data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return (trailers, None),
        };
        let unpaced = usize::try_from(self.unpaced_left).unwrap_or(usize::MAX).min(data.len());
        let most = unpaced.saturating_add(self.piece);
        let rest = (data.len() > most).then(|| Frame::data(data.split_off(most)));
        self.unpaced_left -= unpaced as u64;
        let paced = (data.len() - unpaced) as u64;
        let resume_at = self.pacer.lock().record_passed(self.clock.now(), paced);
        self.pause = resume_at.map(|at| self.timer.at(at));
        (Frame::data(data), rest)
    }

    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(Pin::new(pause).poll(context));
        }
        self.pause = None;
        Poll::Ready(())
    }
}

/// How an upstream's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEnding {
    Complete,
    CutShort,
    Overdue,
    Stalled,
}

#[derive(Debug)]
enum AnswerSource {
    Ended,
    Upstream(Box<UpstreamAnswer>),
}

/// A body on its way to the caller, streamed with back-pressure.
///
/// A body that the upstream cuts short ends in an error, never in a clean end; otherwise a caller
/// would mistake half a loss file for all of it. The error makes the server abort the caller's
/// connection (HTTP/1.1) or reset the stream (HTTP/2).
#[derive(Debug)]
pub struct AnswerBody {
    /// Frames that were read ahead.
    buffered: VecDeque<Frame<Bytes>>,
    source: AnswerSource,
    pacing: Option<AnswerPacing>,
    stall: Option<TimerSubscription>,
    /// The permit of the request in progress; `None` for a response made by the system itself.
    permit: Option<RequestPermit>,
    /// Is logged if the answer is not passed on whole during a shutdown.
    notice: Option<CutNotice>,
}

impl AnswerBody {
    /// Creates a body whose whole content is known.
    #[must_use]
    pub fn from_bytes(bytes: Bytes) -> Self {
        let buffered = if bytes.is_empty() { None } else { Some(Frame::data(bytes)) };
        let buffered = buffered.into_iter().collect();
        Self {
            buffered,
            source: AnswerSource::Ended,
            pacing: None,
            stall: None,
            permit: None,
            notice: None,
        }
    }

    /// Wraps an upstream's body. The attempt ends and the connection is returned to the pool when
    /// the body has ended.
    pub(super) fn upstream(
        mut answer: UpstreamAnswer,
        permit: RequestPermit,
        notice: CutNotice,
    ) -> Self {
        let pacing = answer.pacing.take();
        let source = if answer.body.is_end_stream() {
            answer.complete();
            AnswerSource::Ended
        } else {
            AnswerSource::Upstream(Box::new(answer))
        };
        let (permit, notice) = (Some(permit), Some(notice));
        Self { buffered: VecDeque::new(), source, pacing, stall: None, permit, notice }
    }

    /// Puts frames that were read from this body back in front of it.
    pub(super) fn unread(&mut self, frames: impl IntoIterator<Item = Frame<Bytes>>) {
        self.buffered = frames.into_iter().chain(std::mem::take(&mut self.buffered)).collect();
    }

    /// Passes on a frame, or its first part where the response is paced.
    fn pass_on(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        let Some(pacing) = &mut self.pacing else { return frame };
        let (piece, rest) = pacing.take_piece(frame);
        if let Some(rest) = rest {
            self.buffered.push_front(rest);
        }
        piece
    }

    /// Resolves once the upstream has sent nothing for `STALL_LIMIT`, or its time is over.
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let AnswerSource::Upstream(answer) = &self.source else { return Poll::Pending };
        let stall = self.stall.get_or_insert_with(|| {
            let limit = answer.clock.now() + STALL_LIMIT;
            answer.timer.at(answer.read_until.map_or(limit, |until| until.min(limit)))
        });
        Pin::new(stall).poll(context).map(drop)
    }

    /// Ends the body early. Returns the error for the caller's connection.
    fn abort(&mut self, ending: AnswerEnding, fault: BodyFault) -> BodyFault {
        self.end(ending);
        fault
    }

    fn end(&mut self, ending: AnswerEnding) {
        self.stall = None;
        let source = std::mem::replace(&mut self.source, AnswerSource::Ended);
        let AnswerSource::Upstream(answer) = source else { return };
        if ending == AnswerEnding::Complete {
            answer.complete();
            return;
        }
        if let Some(permit) = &self.permit {
            TrafficCounters::add(&permit.counters().cut_short);
        }
        answer.attempt.settle(AttemptOutcome::Broken);
        match ending {
            AnswerEnding::CutShort => answer.content.cut_short(),
            AnswerEnding::Stalled => answer.content.timed_out(true),
            AnswerEnding::Overdue => answer.content.discard(),
            AnswerEnding::Complete => {}
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(notice) = &mut self.notice
            && self.buffered.is_empty()
            && matches!(self.source, AnswerSource::Ended)
        {
            notice.answered();
        }
    }
}

impl UpstreamAnswer {
    /// Returns until when the answer to a request may be read.
    pub(super) fn read_limit(row: &KindPlan, deadline: Moment) -> Option<Moment> {
        (row.length == WorkLength::Short).then(|| deadline + LATE_END)
    }

    fn is_overdue(&self) -> bool {
        self.read_until.is_some_and(|until| self.clock.now() >= until)
    }

    fn complete(self) {
        self.link.give_back();
        self.attempt.settle(self.outcome);
        self.content.survived();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let this = self.get_mut();
        if let Some(pacing) = &mut this.pacing {
            ready!(pacing.poll_pause(context));
        }
        if let Some(frame) = this.buffered.pop_front() {
            return Poll::Ready(Some(Ok(this.pass_on(frame))));
        }
        let AnswerSource::Upstream(answer) = &mut this.source else { return Poll::Ready(None) };
        if answer.is_overdue() {
            return Poll::Ready(Some(Err(this.abort(AnswerEnding::Overdue, BodyFault::Overdue))));
        }
        match Pin::new(&mut answer.body).poll_frame(context) {
            Poll::Pending => {
                ready!(this.poll_stall(context));
                let fault = match &this.source {
                    AnswerSource::Upstream(answer) if answer.is_overdue() => {
                        this.abort(AnswerEnding::Overdue, BodyFault::Overdue)
                    }
                    _ => this.abort(AnswerEnding::Stalled, BodyFault::Stalled),
                };
                Poll::Ready(Some(Err(fault)))
            }
            Poll::Ready(Some(Ok(frame))) => {
                this.stall = None;
                let ended = answer.body.is_end_stream();
                if ended {
                    this.end(AnswerEnding::Complete);
                }
                Poll::Ready(Some(Ok(this.pass_on(frame))))
            }
            Poll::Ready(None) => {
                this.end(AnswerEnding::Complete);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(fault))) => {
                Poll::Ready(Some(Err(this.abort(AnswerEnding::CutShort, fault.into()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && matches!(self.source, AnswerSource::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: usize =
            self.buffered.iter().filter_map(Frame::data_ref).map(Bytes::len).sum();
        let rest = match &self.source {
            AnswerSource::Ended => SizeHint::with_exact(0),
            AnswerSource::Upstream(answer) => answer.body.size_hint(),
        };
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered as u64);
        }
        hint.set_lower(rest.lower() + buffered as u64);
        hint
    }
}
