//! Runs a non-idempotent request that has an idempotency key.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use pulley_core::RequestVerdict;

use super::ledger_claim::{ClaimRefusal, LedgerClaim};
use super::protocol_headers::{CAUSE_HEADER, VERDICT_HEADER};
use super::request_run::RequestRun;
use super::traffic_counters::RequestPermit;
use super::{AnswerBody, BodyFault, SystemAnswer};
use crate::process::{ClaimRequest, RecordedAnswer};

/// The response to the request, or the answer that ends it.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// `Retry-After` for a caller whose request has an unknown outcome; it resends the same key.
const OUTCOME_UNKNOWN_RETRY: Duration = Duration::from_secs(1);

/// The longest recorded content type, in bytes.
const CONTENT_TYPE_LIMIT: usize = 256;

/// Claims a request's key and runs the request to completion, even if its caller leaves.
///
/// A caller that gives up waiting resends the same key. If its leaving cancelled the attempt,
/// nobody would ever know whether the refund was recorded. Because the request runs to completion,
/// its outcome is recorded for the resend. This also ensures that a claim granted after the caller
/// has left is not leaked.
pub(super) async fn run_keyed(
    run: RequestRun,
    request: ClaimRequest,
    permit: RequestPermit,
) -> Result<Response<AnswerBody>> {
    let finished = tokio::spawn(claim_and_run(run, request, permit)).await;
    finished.unwrap_or_else(|_| Err(outcome_unknown("task-failed")))
}

/// Returns the recorded outcome of an earlier run of the same request.
pub(super) fn recorded_response(answer: RecordedAnswer) -> Response<AnswerBody> {
    let cause = if answer.body.is_some() { "recorded" } else { "recorded-without-body" };
    let mut response = Response::new(AnswerBody::from_bytes(answer.body.unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    let verdict = RequestVerdict::Ran.as_str();
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict));
    headers.insert(CAUSE_HEADER, HeaderValue::from_static(cause));
    let content_type = answer.content_type.and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    response
}

async fn claim_and_run(
    run: RequestRun,
    request: ClaimRequest,
    permit: RequestPermit,
) -> Result<Response<AnswerBody>> {
    let limit = run.context().limits.recorded_bytes;
    let claim = match LedgerClaim::take(run.context(), request).await {
        Ok(claim) => claim,
        Err(ClaimRefusal::AlreadyRan(answer)) => return Ok(recorded_response(answer)),
        Err(ClaimRefusal::Answer(answer)) => return Err(answer),
    };
    let mut run = run.with_claim(claim);
    // On failure, dropping the run drops the claim, which tells the ledger whether anything may
    // have run.
    let mut notice = run.cut_notice();
    let response = run.run().await.inspect_err(|_| notice.answered())?;
    let claim = run.take_claim();
    let (parts, answer) = response.into_parts();
    let mut body = AnswerBody::upstream(answer, permit, notice);
    let Ok(prefix) = AnswerPrefix::read(&mut body, limit).await else {
        return Err(outcome_unknown("answer-cut-short"));
    };
    if let Some(claim) = claim {
        claim.record(prefix.recorded(&parts));
    }
    body.unread(prefix.frames);
    Ok(Response::from_parts(parts, body))
}

/// The beginning of a response body, or all of it.
struct AnswerPrefix {
    frames: VecDeque<Frame<Bytes>>,
    is_complete: bool,
}

impl AnswerPrefix {
    async fn read(body: &mut AnswerBody, limit: usize) -> std::result::Result<Self, BodyFault> {
        let mut frames = VecDeque::new();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame?;
            length += frame.data_ref().map_or(0, Bytes::len);
            frames.push_back(frame);
            if length > limit {
                return Ok(Self { frames, is_complete: false });
            }
        }
        Ok(Self { frames, is_complete: true })
    }

    fn recorded(&self, parts: &Parts) -> RecordedAnswer {
        let mut body = BytesMut::new();
        self.frames
            .iter()
            .filter_map(Frame::data_ref)
            .for_each(|data| body.extend_from_slice(data));
        let content_type = parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let content_type = content_type.filter(|text| text.len() <= CONTENT_TYPE_LIMIT);
        RecordedAnswer {
            status: parts.status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body: self.is_complete.then(|| body.freeze()),
        }
    }
}

fn outcome_unknown(cause: &'static str) -> SystemAnswer {
    let status = StatusCode::BAD_GATEWAY;
    SystemAnswer::failed(status, RequestVerdict::MayHaveRun, cause, Some(OUTCOME_UNKNOWN_RETRY))
}
