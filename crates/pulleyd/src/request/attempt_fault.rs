//! Why an attempt failed, and whether a retry can change the result.

use http::StatusCode;
use pulley_core::request::AttemptOutcome;
use pulley_core::{RefusalCause, RequestVerdict};
use std::time::Duration;

use super::SystemAnswer;
use super::answer_metadata::AnswerMetadata;
use crate::connection::LinkFault;

/// `Retry-After` for a request whose attempts have failed.
const ATTEMPT_FAILED_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` for a request whose pool or upstream has changed; the change is already known.
const PLAN_CHANGED_RETRY: Duration = Duration::from_millis(10);

/// The cause of an attempt that was not answered by its deadline.
const TIME_OUT_CAUSE: &str = "no-answer-in-time";

/// The cause of an attempt whose caller broke off its own request.
const CALLER_ABORTED_CAUSE: &str = "caller-broke-off";

/// Why an attempt failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptFault {
    pub(super) answer: SystemAnswer,
    pub(super) outcome: AttemptOutcome,
    /// Whether another attempt can change the result.
    pub(super) is_retryable: bool,
    /// Whether another layer of this system has already given up on the request.
    pub(super) retried_downstream: bool,
    /// Whether the request was held back when it was to be sent, or its upstream's machine refused the
    /// connection at once, so that it may be placed again.
    pub(super) is_unsent: bool,
}

impl AttemptFault {
    /// The pool refused the request or removed it from its queue.
    pub(super) fn refused(cause: RefusalCause, retry_after: Duration) -> Self {
        Self::refused_with(SystemAnswer::refused(cause, Some(retry_after)))
    }

    /// The request is refused with this answer.
    pub(super) const fn refused_with(answer: SystemAnswer) -> Self {
        Self {
            answer,
            outcome: AttemptOutcome::Cancelled,
            is_retryable: false,
            retried_downstream: false,
            is_unsent: false,
        }
    }

    /// The plan no longer assigns the request to this pool.
    pub(super) fn plan_changed() -> Self {
        Self::refused(RefusalCause::PlanChanged, PLAN_CHANGED_RETRY)
    }

    /// Whether the request was not placed because the plan no longer assigns it to its pool.
    pub(super) fn is_plan_changed(&self) -> bool {
        self.answer.cause == RefusalCause::PlanChanged.as_str()
    }

    /// Whether the connection broke after bytes of the request were sent. The upstream may have ended.
    pub(super) fn is_broken(&self) -> bool {
        let may_have_run = self.answer.verdict == RequestVerdict::MayHaveRun;
        may_have_run && self.answer.cause == LinkFault::Lost.cause()
    }

    /// Whether the request was sent and its deadline has passed.
    pub(super) fn is_time_out(&self) -> bool {
        self.answer.verdict == RequestVerdict::MayHaveRun && self.answer.cause == TIME_OUT_CAUSE
    }

    /// Whether the caller has aborted its own request.
    pub(super) fn is_caller_abort(&self) -> bool {
        self.answer.cause == CALLER_ABORTED_CAUSE
    }

    /// The caller aborted its own request.
    pub(super) fn caller_aborted(verdict: RequestVerdict) -> Self {
        let status = StatusCode::BAD_REQUEST;
        Self {
            answer: SystemAnswer::failed(status, verdict, CALLER_ABORTED_CAUSE, None),
            outcome: AttemptOutcome::Cancelled,
            is_retryable: false,
            retried_downstream: false,
            is_unsent: false,
        }
    }

    /// The connection failed before a response arrived, or the response is malformed.
    pub(super) fn from_link(fault: &LinkFault) -> Self {
        let outcome = match fault {
            LinkFault::Unreachable(_) | LinkFault::ConnectTimeout => AttemptOutcome::Unreachable,
            LinkFault::ShareInUse | LinkFault::ClosedUnsent | LinkFault::RelaysResting => {
                AttemptOutcome::Cancelled
            }
            LinkFault::Broken(_) | LinkFault::Lost | LinkFault::Malformed(_) => {
                AttemptOutcome::Broken
            }
        };
        let status = match fault {
            LinkFault::RelaysResting => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        let retry_after = Some(ATTEMPT_FAILED_RETRY);
        let answer = SystemAnswer::failed(status, fault.verdict(), fault.cause(), retry_after);
        let is_unsent = fault.is_refusal();
        Self { answer, outcome, is_retryable: true, retried_downstream: false, is_unsent }
    }

    /// The deadline passed.
    pub(super) fn timed_out(verdict: RequestVerdict) -> Self {
        let (status, retry_after) = (StatusCode::GATEWAY_TIMEOUT, Some(ATTEMPT_FAILED_RETRY));
        let answer = SystemAnswer::failed(status, verdict, TIME_OUT_CAUSE, retry_after);
        Self {
            answer,
            outcome: AttemptOutcome::Broken,
            is_retryable: true,
            retried_downstream: false,
            is_unsent: false,
        }
    }

    /// The response must not be passed on; whether the request ran is unknown.
    pub(super) fn untrusted(cause: &'static str, outcome: AttemptOutcome) -> Self {
        let verdict = RequestVerdict::MayHaveRun;
        let answer = SystemAnswer::failed(StatusCode::BAD_GATEWAY, verdict, cause, None);
        Self { answer, outcome, is_retryable: true, retried_downstream: false, is_unsent: false }
    }

    /// The upstream declared that it did not run the request.
    pub(super) fn shed(
        metadata: &AnswerMetadata,
        outcome: AttemptOutcome,
        has_available: bool,
    ) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let (verdict, retried_downstream) = (RequestVerdict::NotRun, metadata.retried_downstream);
        let retry_after =
            if has_available { metadata.retry_elsewhere_after } else { metadata.retry_after };
        let answer = SystemAnswer::failed(status, verdict, "upstream-shed", Some(retry_after));
        Self { answer, outcome, is_retryable: true, retried_downstream, is_unsent: false }
    }

    /// The request may not be sent, although it was placed.
    pub(super) fn held_back(cause: &'static str) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let (verdict, retry_after) = (RequestVerdict::NotRun, Some(PLAN_CHANGED_RETRY));
        let answer = SystemAnswer::failed(status, verdict, cause, retry_after);
        Self {
            answer,
            outcome: AttemptOutcome::Cancelled,
            is_retryable: true,
            retried_downstream: false,
            is_unsent: true,
        }
    }
}
