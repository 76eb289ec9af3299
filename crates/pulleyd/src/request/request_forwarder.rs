//! The service that handles callers' requests.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use pulley_core::process::ContentDigest;
use pulley_core::request::{RequestUrgency, not_ready_retry, start_wait};
use pulley_core::version::KindPlan;
use pulley_core::{Moment, RefusalCause, RequestVerdict, UpstreamId};
use slog::info;
use smol_str::SmolStr;
use tower::Service;

use super::call_terms::CallTerms;
use super::caller_access::CallerOrganisation;
use super::keyed_run::run_keyed;
use super::ledger_claim::{claim_request, read_key};
use super::request_headers::{body_bytes, header_bytes, is_ambiguous, read_millis};
use super::request_run::{PlannedKind, RequestRun};
use super::traffic_counters::RequestPermit;
use super::{AnswerBody, BodySource, RequestFault, SystemAnswer, TrafficContext, TrafficCounters};
use crate::process::{HostReadiness, RunningView};

/// The result of a step in handling a request, or the answer that ends it.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// The future of a request being handled.
pub type ForwardFuture =
    Pin<Box<dyn Future<Output = std::result::Result<Response<AnswerBody>, Infallible>> + Send>>;

/// `Retry-After` of a host at its request limit.
const HOST_FULL_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` of a host that lacks the newest configuration. The configuration is on its way,
/// and a caller that has one second left spends at most a third of it waiting.
const BEHIND_RETRY: Duration = Duration::from_millis(200);

/// The interval at which a request that waits for its host to become ready checks again.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The service that handles requests; each caller connection has its own clone.
///
/// Every response that the system makes itself carries `jacinthpulley-verdict`, and `Retry-After`
/// where waiting helps.
///
/// ```ignore
/// let forwarder = RequestForwarder::new(context).with_caller(peer.ip());
/// ```
#[derive(Clone, Debug)]
pub struct RequestForwarder {
    context: Arc<TrafficContext>,
    caller: Option<IpAddr>,
    refuses_all: bool,
    first_request: FirstRequestFlag,
}

/// Records whether a connection has received a request yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstRequestFlag(Arc<AtomicBool>);

impl FirstRequestFlag {
    /// Whether a request has arrived.
    pub(crate) fn has_arrived(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A request that was checked and may be placed.
struct AdmittedRequest {
    parts: Parts,
    body: Incoming,
    kind: PlannedKind,
    organisation: Option<CallerOrganisation>,
    /// Its urgency; `None` if its organisation has no quota.
    urgency: Option<RequestUrgency>,
    terms: CallTerms,
    /// When the request arrived; its deadline counts from then on.
    arrived: Moment,
}

impl RequestForwarder {
    /// Creates a forwarder over the context that all requests share.
    #[must_use]
    pub fn new(context: Arc<TrafficContext>) -> Self {
        Self {
            context,
            caller: None,
            refuses_all: false,
            first_request: FirstRequestFlag::default(),
        }
    }

    /// Sets the caller whose connection this forwarder serves.
    #[must_use]
    pub const fn with_caller(mut self, caller: IpAddr) -> Self {
        self.caller = Some(caller);
        self
    }

    /// Refuses every request as not run, because the process is at its connection limit.
    #[must_use]
    pub(crate) const fn with_all_refused(mut self) -> Self {
        self.refuses_all = true;
        self
    }

    /// Returns the flag that shows whether the connection has received a request yet.
    pub(crate) fn first_request_flag(&self) -> FirstRequestFlag {
        self.first_request.clone()
    }

    /// Forwards one request and answers it. A host that has just started first waits, for a
    /// limited time, until it can decide about the request.
    pub fn forward(&self, request: Request<Incoming>) -> ForwardFuture {
        let arrived = self.context.clock.now();
        let Some(wait) = self.start_wait(&request) else {
            return self.forward_now(request, arrived);
        };
        let forwarder = self.clone();
        Box::pin(async move {
            forwarder.wait_until_ready(&request, wait).await;
            forwarder.forward_now(request, arrived).await
        })
    }

    /// Returns how long a request waits for this host to become ready; `None` if it need not wait,
    /// because the host can decide about it or no longer counts as starting.
    fn start_wait(&self, request: &Request<Incoming>) -> Option<Duration> {
        let uptime = self.context.clock.now().since(Moment::ZERO);
        let dialect = &self.context.dialect;
        let left = request.headers().get(&dialect.deadline).and_then(read_millis);
        start_wait(uptime, left).filter(|_| !self.refuses_all && !self.can_decide(request))
    }

    /// Waits until the request can be placed here or its wait has ended. The request holds a permit
    /// meanwhile, so that waiting requests count against the limit of the process.
    async fn wait_until_ready(&self, request: &Request<Incoming>, wait: Duration) {
        let Ok(permit) = self.acquire_permit() else { return };
        let until = self.context.clock.now() + wait;
        let is_waiting = || self.context.clock.now() < until && !self.context.shutdown.has_begun();
        while is_waiting() && !self.can_decide(request) {
            let _ = self.context.timer.after(READY_POLL_INTERVAL).await;
        }
        drop(permit);
    }

    /// Whether this host knows the request's row and an upstream for it, or knows that it has none.
    fn can_decide(&self, request: &Request<Incoming>) -> bool {
        if matches!(self.context.view.readiness(), HostReadiness::NotReady { .. }) {
            return false;
        }
        let view = self.context.view.load();
        let method = request.method().as_str();
        let host = requested_host(request.uri(), request.headers());
        let found = view.plan.find(host, method, request.uri().path(), rand::random());
        let Some((_, row)) = found else { return view.awaited_version.is_none() };
        let upstreams = view.upstreams.get(&row.pool);
        upstreams.is_some_and(|records| records.iter().any(|record| record.takes_work))
    }

    /// Forwards one request according to the host's current state. The request may have waited
    /// since it arrived.
    ///
    /// Refusals that need no waiting are decided before a future is created.
    fn forward_now(&self, request: Request<Incoming>, arrived: Moment) -> ForwardFuture {
        let id = self.context.dialect.id_of(request.headers());
        match self.accept(request, arrived) {
            Ok(future) => future,
            Err(answer) => {
                let elapsed = self.context.clock.now().since(arrived);
                let refused = RefusedRequest { id, elapsed, ..RefusedRequest::default() };
                Box::pin(ready(Ok(refuse(&self.context, &refused, answer, self.refuses_all))))
            }
        }
    }

    fn accept(&self, request: Request<Incoming>, arrived: Moment) -> Result<ForwardFuture> {
        self.first_request.record();
        let permit = self.acquire_permit()?;
        let admitted = self.admit(request, arrived)?;
        let row = admitted.kind.row();
        self.context.check_shutdown(admitted.terms.outlook(row))?;
        let key = match read_key(&admitted.parts, &self.context.dialect) {
            Ok(key) => key.filter(|_| !row.idempotent).map(str::to_owned),
            Err(cause) => return Err(SystemAnswer::refused(cause, None)),
        };
        let context = Arc::clone(&self.context);
        let Some(key) = key else {
            let AdmittedRequest { parts, body, kind, organisation, urgency, terms, arrived } =
                admitted;
            let body = BodySource::new(body, context.limits.replay_bytes);
            let run = RequestRun::new(context, parts, body, kind, terms)
                .arrived_at(arrived)
                .with_urgency(urgency)
                .on_behalf_of(organisation);
            let run = Box::new(run);
            return Ok(Box::pin(forward_unkeyed(run, permit)));
        };
        Ok(Box::pin(async move {
            let kind = admitted.kind.clone();
            let id = context.dialect.id_of(&admitted.parts.headers);
            let (organisation, urgency) = (admitted.organisation.clone(), admitted.urgency);
            let forwarded = forward_keyed(&context, admitted, permit, &key).await;
            let organisation = organisation.as_ref();
            let row = Some(kind.row());
            let refused =
                RefusedRequest { id, row, organisation, urgency, ..RefusedRequest::default() };
            Ok(forwarded.unwrap_or_else(|answer| refuse(&context, &refused, answer, false)))
        }))
    }

    /// Refuses a request at once if the process is at its limit.
    ///
    /// The load is a burst beyond what memory can hold. The harm is that each further request would
    /// slow down all others until the process is killed with them. The reason for the limit is that
    /// a refused caller can go to another host at once, because nothing has run.
    fn acquire_permit(&self) -> Result<RequestPermit> {
        let limit = if self.refuses_all { 0 } else { self.context.limits.requests };
        let permit = self.context.counters.acquire_permit(limit);
        permit.ok_or_else(|| SystemAnswer::refused(RefusalCause::HostFull, Some(HOST_FULL_RETRY)))
    }

    fn check_readiness(&self) -> Result<()> {
        match self.context.view.readiness() {
            // A host that shuts down decides on each request by its schedule, once its row is known.
            HostReadiness::Ready | HostReadiness::ShuttingDown => Ok(()),
            HostReadiness::NotReady { .. } => {
                let uptime = self.context.clock.now().since(Moment::ZERO);
                let retry_after = Some(not_ready_retry(uptime));
                Err(SystemAnswer::refused(RefusalCause::NotReady, retry_after))
            }
        }
    }

    fn admit(&self, request: Request<Incoming>, arrived: Moment) -> Result<AdmittedRequest> {
        self.check_readiness()?;
        // Read before the view, which is then at least as new as the one that this was read for.
        let keys_valid = self.context.view.keys_valid();
        let view = self.context.view.load();
        let (mut parts, body) = request.into_parts();
        check_size(&parts, self.context.limits.header_bytes, &view)?;
        if is_ambiguous(&parts) {
            return Err(SystemAnswer::refused(RefusalCause::BadRequest, None));
        }
        let (host, path) = (requested_host(&parts.uri, &parts.headers), parts.uri.path());
        let found = view.plan.find(host, parts.method.as_str(), path, rand::random());
        let Some((kind, row)) = found else {
            let denial = SystemAnswer::refused(RefusalCause::NoSuchKind, None);
            return Err(deny_by_plan(&view, denial));
        };
        let is_trusted = self.context.is_trusted(self.caller);
        let dialect = &self.context.dialect;
        let organisation = CallerOrganisation::find(&view.plan, row, &parts.headers, keys_valid)
            .map_err(|denial| deny_key_by_plan(&view, denial))?;
        let priority = organisation.as_ref().and_then(|caller| caller.priority);
        let priority = priority.unwrap_or(row.priority);
        let terms = CallTerms::read(arrived, &parts.headers, row, priority, (dialect, is_trusted))
            .map_err(|cause| SystemAnswer::refused(cause, None))?;
        if !view.plan.organisations.is_empty() {
            parts.headers.remove(AUTHORIZATION);
            parts.headers.remove(&dialect.organisation);
        }
        let kind = PlannedKind::new(Arc::clone(&view.plan), kind);
        let has_quota = organisation.as_ref().is_some_and(|caller| caller.quota.is_some());
        let urgency = has_quota.then(|| self.context.urgency_of(&kind, &terms, arrived));
        Ok(AdmittedRequest { parts, body, kind, organisation, urgency, terms, arrived })
    }
}

/// Refuses a request larger than this process or the configuration in force allows.
fn check_size(parts: &Parts, host_header_bytes: u64, view: &RunningView) -> Result<()> {
    let too_large =
        |status, cause| SystemAnswer::failed(status, RequestVerdict::NotRun, cause, None);
    let header_bytes = header_bytes(&parts.headers) as u64;
    let headers_too_large =
        || too_large(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "headers-too-large");
    if header_bytes > host_header_bytes {
        return Err(headers_too_large());
    }
    let limits = view.plan.limits;
    if header_bytes > limits.header_bytes {
        return Err(deny_by_plan(view, headers_too_large()));
    }
    if body_bytes(&parts.headers).is_some_and(|bytes| bytes > limits.body_bytes) {
        let denial = too_large(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
        return Err(deny_by_plan(view, denial));
    }
    Ok(())
}

/// Returns the answer to a request that the configuration in force denies.
///
/// The load is a change that takes seconds to reach hundreds of hosts, while callers of a route
/// that it adds reach all of them at once. The harm is that a caller whose request is denied
/// permanently does not retry, although the accepted configuration allows the request. The reason
/// for the limit: callers are asked to retry only while a newer version is known to be on its way,
/// so that a request that no version allows is soon denied.
fn deny_by_plan(view: &RunningView, denial: SystemAnswer) -> SystemAnswer {
    match view.awaited_version {
        Some(_) => SystemAnswer::refused(RefusalCause::ConfigurationBehind, Some(BEHIND_RETRY)),
        None => denial,
    }
}

/// Returns the answer to a request whose key the configuration in force doesn't hold. A newer one
/// may hold it.
fn deny_key_by_plan(view: &RunningView, denial: SystemAnswer) -> SystemAnswer {
    match denial.status {
        StatusCode::UNAUTHORIZED => deny_by_plan(view, denial),
        _ => denial,
    }
}

/// Returns the host name that a request is for; empty if it names none.
pub(super) fn requested_host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let authority = uri.authority().map(|authority| authority.as_str());
    let header = || headers.get(HOST).and_then(|value| value.to_str().ok());
    authority.or_else(header).unwrap_or_default()
}

async fn forward_unkeyed(
    mut run: Box<RequestRun>,
    permit: RequestPermit,
) -> std::result::Result<Response<AnswerBody>, Infallible> {
    let mut notice = run.cut_notice();
    match run.run().await {
        Ok(response) => Ok(response.map(|answer| AnswerBody::upstream(answer, permit, notice))),
        Err(answer) => {
            notice.answered();
            let refused = RefusedRequest {
                id: run.id().map(SmolStr::new),
                row: Some(run.row()),
                attempts: run.attempts(),
                upstream: run.last_tried(),
                organisation: run.organisation(),
                urgency: run.urgency(),
                content: run.content_digest(),
                elapsed: run.elapsed(),
            };
            Ok(refuse(run.context(), &refused, answer, false))
        }
    }
}

/// Forwards a request with an idempotency key; the key is claimed before a byte is sent.
///
/// The claim precedes the queue: a resend of a request that ran gets its recorded outcome even
/// while the pool is full, and no slot stays idle while a quorum syncs.
async fn forward_keyed(
    context: &Arc<TrafficContext>,
    admitted: AdmittedRequest,
    permit: RequestPermit,
    key: &str,
) -> Result<Response<AnswerBody>> {
    let AdmittedRequest { parts, body, kind, organisation, urgency, terms, arrived } = admitted;
    let gathering = BodySource::gather(body, context.limits.keyed_body_limit);
    let gathering = context.timer.run_until(terms.deadline, gathering);
    let outlook = terms.outlook(kind.row());
    let gathered = context.wait_unless_stopped(outlook, gathering).await?;
    let (body, data) = match gathered {
        Some(Ok(gathered)) => gathered,
        Some(Err(fault)) => return Err(gather_fault_answer(&fault)),
        None => return Err(SystemAnswer::refused(RefusalCause::DeadlineTooClose, None)),
    };
    let owner = organisation.as_ref().map(|caller| &caller.name);
    let request = claim_request(kind.row(), (owner, key), &parts, &data);
    let run = RequestRun::new(Arc::clone(context), parts, body, kind, terms)
        .arrived_at(arrived)
        .with_urgency(urgency)
        .on_behalf_of(organisation);
    run_keyed(run, request, permit).await
}

/// What is known of a request that the system answers itself, for logs and metrics.
#[derive(Debug, Default)]
struct RefusedRequest<'a> {
    /// The caller's request id.
    id: Option<SmolStr>,
    row: Option<&'a KindPlan>,
    attempts: u8,
    /// The upstream tried last.
    upstream: Option<UpstreamId>,
    organisation: Option<&'a CallerOrganisation>,
    urgency: Option<RequestUrgency>,
    /// The content's digest, while any content of the pool is suspected.
    content: Option<ContentDigest>,
    /// How long the request was held.
    elapsed: Duration,
}

fn refuse(
    context: &TrafficContext,
    refused: &RefusedRequest<'_>,
    answer: SystemAnswer,
    closes_connection: bool,
) -> Response<AnswerBody> {
    let counters = &context.counters;
    if let Some(metrics) = &context.metrics {
        metrics.record_refusal(refused.row, answer.cause, answer.verdict);
        if let Some(caller) = refused.organisation {
            metrics.record_organisation(&caller.name, Some(answer.cause));
        }
    }
    match answer.verdict {
        RequestVerdict::NotRun => TrafficCounters::add(&counters.refused),
        RequestVerdict::MayHaveRun => TrafficCounters::add(&counters.may_have_run),
        RequestVerdict::Ran => {}
    }
    let view = context.view.load();
    let paths = context.connections.path_survey();
    let mut response = answer.into_response(&context.dialect);
    info!(context.logger, "request-refused"; "id" => refused.id.as_deref(),
        "kind" => refused.row.map(|row| row.kind.to_string()),
        "status" => response.status().as_u16(), "cause" => answer.cause,
        "verdict" => %answer.verdict, "attempts" => refused.attempts,
        "upstream" => refused.upstream.as_ref().map(ToString::to_string),
        "organisation" => refused.organisation.map(|caller| caller.name.to_string()),
        "key" => refused.organisation.map(|caller| caller.key.to_string()),
        "urgency" => refused.urgency.map(RequestUrgency::as_str),
        "content" => refused.content.map(|digest| digest.to_string()),
        "held_ms" => u64::try_from(refused.elapsed.as_millis()).unwrap_or(u64::MAX),
        "paths_known" => paths.known, "paths_lost" => paths.lost, "paths_proven" => paths.proven,
        "config" => view.version.0, "awaited" => view.awaited_version.map(|version| version.0),
        "retry_after_ms" => answer.retry_after.map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)));
    // The balancer may still send a caller's next connection here, but it soon stops doing so.
    if closes_connection || context.shutdown.has_begun() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl Service<Request<Incoming>> for RequestForwarder {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = ForwardFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<std::result::Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        self.forward(request)
    }
}

/// The same service for the servers of `hyper`, which call it by reference.
impl hyper::service::Service<Request<Incoming>> for RequestForwarder {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = ForwardFuture;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        self.forward(request)
    }
}

fn gather_fault_answer(fault: &RequestFault) -> SystemAnswer {
    match fault {
        RequestFault::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            SystemAnswer::failed(status, RequestVerdict::NotRun, "body-too-large", None)
        }
        RequestFault::CallerAborted(_) | RequestFault::Superseded => {
            SystemAnswer::refused(RefusalCause::BadRequest, None)
        }
    }
}
