//! Carries one request from its caller to an upstream and its answer back.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::request::Parts;
use http::uri::{PathAndQuery, Uri};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use pulley_core::request::{AttemptOutcome, RequestTicket};
use pulley_core::version::KindPlan;
use pulley_core::{Moment, RefusalCause, RequestVerdict};
use tower::Service;

use super::request_headers::strip_hop_by_hop;
use super::{AnswerBody, AttemptGuard, Placement, RequestBody, SystemAnswer, TrafficContext};
use crate::connection::{LinkFault, UpstreamLink};
use crate::process::{HostReadiness, RunningView};

/// How soon a caller may come back to a host that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// What a step of a request's way gives, or the answer that ends it.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// The service that carries requests; one clone a caller's connection.
///
/// Each answer of its own carries `jacinthpulley-verdict`, and `Retry-After` where waiting helps.
#[derive(Clone, Debug)]
pub struct RequestForwarder {
    context: Arc<TrafficContext>,
}

/// A request that has been looked at and may be placed.
struct AdmittedRequest {
    parts: Parts,
    body: RequestBody,
    kind: usize,
    row: KindPlan,
    deadline: Moment,
}

impl RequestForwarder {
    /// Makes a forwarder over what all requests share.
    #[must_use]
    pub fn new(context: Arc<TrafficContext>) -> Self {
        Self { context }
    }

    /// Carries one request and answers it.
    pub async fn forward(self, request: Request<Incoming>) -> Response<AnswerBody> {
        match self.carry(request).await {
            Ok(response) => response,
            Err(answer) => answer.into_response(),
        }
    }

    async fn carry(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>> {
        let view = self.context.view.load();
        check_readiness(&view)?;
        let admitted = self.admit(&view, request)?;
        let ticket = RequestTicket {
            number: self.context.next_number(),
            kind: admitted.kind,
            deadline: admitted.deadline,
            attempt: 0,
            avoid: Vec::new(),
        };
        let pool = admitted.row.pool.clone();
        let placement = self.context.schedulers.place(&pool, &ticket).await;
        let (upstream, address) = match placement {
            Placement::Start { upstream, address } => (upstream, address),
            Placement::Refuse { cause, retry_after } => {
                return Err(SystemAnswer::refused(cause, Some(retry_after)));
            }
        };
        let schedulers = Arc::clone(&self.context.schedulers);
        let attempt = AttemptGuard::new(schedulers, pool, ticket.number);
        match self.context.connections.checkout(&upstream, address).await {
            Ok(link) => self.send(admitted, attempt, link).await,
            Err(fault) => {
                attempt.settle(AttemptOutcome::Unreachable);
                Err(unreachable(&fault))
            }
        }
    }

    fn admit(&self, view: &RunningView, request: Request<Incoming>) -> Result<AdmittedRequest> {
        let (parts, body) = request.into_parts();
        let found = view.plan.find(parts.method.as_str(), parts.uri.path());
        let Some((kind, row)) = found else {
            return Err(SystemAnswer::refused(RefusalCause::NoSuchKind, None));
        };
        let deadline = self.context.clock.now() + row.deadline;
        let row = row.clone();
        Ok(AdmittedRequest { parts, body: RequestBody::from(body), kind, row, deadline })
    }

    async fn send(
        &self,
        admitted: AdmittedRequest,
        attempt: AttemptGuard,
        mut link: UpstreamLink,
    ) -> Result<Response<AnswerBody>> {
        let deadline = admitted.deadline;
        let request = upstream_request(admitted);
        let answer = self.context.timer.limit(deadline, link.send(request)).await;
        match answer {
            Some(Ok(response)) => Ok(caller_response(response, attempt, link)),
            Some(Err(fault)) => {
                attempt.settle(AttemptOutcome::Broken);
                Err(broken(&fault))
            }
            None => {
                attempt.settle(AttemptOutcome::Broken);
                let verdict = RequestVerdict::MayHaveRun;
                Err(SystemAnswer::failed(StatusCode::GATEWAY_TIMEOUT, verdict, "deadline", None))
            }
        }
    }
}

impl Service<Request<Incoming>> for RequestForwarder {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future =
        Pin<Box<dyn Future<Output = std::result::Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<std::result::Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let forwarder = self.clone();
        Box::pin(async move { Ok(forwarder.forward(request).await) })
    }
}

fn check_readiness(view: &RunningView) -> Result<()> {
    let cause = match view.readiness {
        HostReadiness::Ready => return Ok(()),
        HostReadiness::NotReady { .. } => RefusalCause::NotReady,
        HostReadiness::ShuttingDown => RefusalCause::ShuttingDown,
    };
    Err(SystemAnswer::refused(cause, Some(NOT_READY_RETRY)))
}

fn upstream_request(admitted: AdmittedRequest) -> Request<RequestBody> {
    let mut parts = admitted.parts;
    strip_hop_by_hop(&mut parts.headers);
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(header::HOST, host);
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    parts.version = Version::HTTP_11;
    Request::from_parts(parts, admitted.body)
}

fn caller_response(
    response: Response<Incoming>,
    attempt: AttemptGuard,
    link: UpstreamLink,
) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    parts.version = Version::default();
    let outcome = if parts.status.is_server_error() {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    };
    Response::from_parts(parts, AnswerBody::upstream(body, attempt, link, outcome))
}

fn unreachable(fault: &LinkFault) -> SystemAnswer {
    let verdict = RequestVerdict::NotRun;
    SystemAnswer::failed(StatusCode::BAD_GATEWAY, verdict, fault.cause(), Some(NOT_READY_RETRY))
}

fn broken(fault: &LinkFault) -> SystemAnswer {
    SystemAnswer::failed(StatusCode::BAD_GATEWAY, fault.verdict(), fault.cause(), None)
}
