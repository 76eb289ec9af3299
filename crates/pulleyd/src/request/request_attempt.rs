//! One attempt: placement, a connection, and a check that the response belongs to the request.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use http::header::{HeaderMap, HeaderValue};
use http::uri::{PathAndQuery, Uri};
use http::{Request, Response, Version};
use http_body::Body;
use hyper::body::Incoming;
use pulley_core::connection::RepeatSafety;
use pulley_core::process::UpstreamStart;
use pulley_core::request::{AttemptOutcome, LimitSighting, ProbeReach, RequestTicket};
use pulley_core::version::AnswerSize;
use pulley_core::{Moment, RefusalCause, RequestVerdict, UpstreamId};
use slog::info;

use super::answer_body::{AnswerPacing, UpstreamAnswer};
use super::answer_metadata::AnswerMetadata;
use super::arrival_probing::ArrivalProbing;
use super::attempt_fault::AttemptFault;
use super::content_run::ContentRun;
use super::interim_limit::InterimLimit;
use super::request_run::{RequestRun, SentAttempt};
use super::{AttemptGuard, Placement, RequestBody};
use crate::connection::{
    Answering, LinkFault, LinkRequest, RestReading, Unused, UpstreamLink, UpstreamTarget,
};

/// The result of an attempt.
pub(super) type Result<T> = std::result::Result<T, AttemptFault>;

/// The number of connections one attempt tries if each was closed before anything was sent.
const MAX_CONNECTIONS_PER_ATTEMPT: u32 = 4;

/// The number of times that one attempt is placed if its upstreams ask for rest, leave or end after
/// it was placed and before it was sent. Nothing of it has reached an upstream, so that placing it
/// again uses up nothing of the retry budget.
const MAX_PLACEMENTS: u32 = 4;

/// How long a request waits before it probes again if all probed upstreams were slowed down or
/// full.
///
/// The load is a burst of requests or a brief slowdown. Within a fraction of a response time,
/// another slot is then free or another upstream fast again. The reason for the limit: with a
/// shorter delay the upstreams would report the same load again, and with a longer one free slots
/// would stay idle for longer.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(30);

/// How long a request may wait for a permit where every upstream has a request limit. Questions for
/// permits take a few milliseconds, and a permit that is not there by then goes to another request.
const PERMIT_WAIT: Duration = Duration::from_millis(80);

/// How long the upstream of a trial may take to answer the probe before the trial.
const PROOF_LIMIT: Duration = Duration::from_millis(150);

/// The cause for which a trial was not sent to an upstream that has left a probe unanswered.
const UNPROVEN_CAUSE: &str = "upstream-unproven";

/// Divides the time in which a request can still meet its target. During the resulting part, a
/// request with a large response probes upstreams of its own zone only.
const LARGE_OWN_ZONE_DIVISOR: u32 = 2;

/// The upstream chosen for a request.
struct PlacedRequest {
    target: UpstreamTarget,
    /// The connection over which the upstream has just answered a probe.
    link: Option<UpstreamLink<Unused>>,
}

impl RequestRun {
    /// Makes one attempt.
    pub(super) async fn attempt(
        &self,
        mut ticket: RequestTicket,
    ) -> Result<Response<UpstreamAnswer>> {
        let started = self.context.clock.now();
        let placement_deadline =
            self.context.schedulers.placement_deadline(&self.row().pool, &ticket);
        let mut placements = 0;
        loop {
            self.read_upload().await;
            self.admit_content().await?;
            let reach = self.reach(started, placement_deadline);
            let probed = ArrivalProbing::probe(&self.context, self.row(), &ticket, reach).await;
            match self.place(&mut ticket, probed).await {
                Ok(placed) => {
                    placements += 1;
                    match self.send_placed(&ticket, placed).await {
                        Err(fault) if fault.is_unsent && placements < MAX_PLACEMENTS => {
                            self.log_unsent(&fault);
                        }
                        sent => return sent,
                    }
                }
                Err(fault) if !self.may_wait(&fault, started, placement_deadline) => {
                    return Err(fault);
                }
                Err(_) => self.wait_to_probe_again().await,
            }
            // The request's number was released with the refusal. It is still the same request, so
            // it adds nothing more to the retry budget.
            ticket.number = self.context.next_number();
            ticket.attempt = ticket.attempt.max(1);
            ticket.avoid = self.tried();
        }
    }

    fn log_unsent(&self, fault: &AttemptFault) {
        info!(self.context.logger, "attempt-unsent"; "id" => self.id(),
            "upstream" => self.last_tried().map(|upstream| upstream.to_string()),
            "cause" => fault.answer.cause);
    }

    /// Makes one attempt at one of the probed upstreams.
    pub(super) async fn attempt_probed(
        &self,
        mut ticket: RequestTicket,
        probed: ArrivalProbing,
    ) -> Result<Response<UpstreamAnswer>> {
        let placed = self.place(&mut ticket, probed).await?;
        self.send_placed(&ticket, placed).await
    }

    /// Returns whether a request may now probe upstreams of other zones.
    ///
    /// A slowdown in the request's own zone has mostly ended when it probes again, and waiting
    /// costs nothing while the target can be met. Using another zone costs bytes between zones at
    /// once. Large responses stay in their zone for longer, because their bytes cost many times the
    /// rest of the request.
    fn reach(&self, started: Moment, placement_deadline: Moment) -> ProbeReach {
        let waited = self.context.clock.now().since(started);
        let is_large = self.row().route.answers == AnswerSize::Large;
        let own_zone_time = if is_large {
            placement_deadline.since(started) / LARGE_OWN_ZONE_DIVISOR
        } else {
            Duration::ZERO
        };
        let is_first =
            waited < PLACEMENT_RETRY_DELAY && started + PLACEMENT_RETRY_DELAY < placement_deadline;
        if is_first || waited < own_zone_time { ProbeReach::OwnZone } else { ProbeReach::EveryZone }
    }

    /// Whether a request that was not placed at `started` may probe again a little later.
    fn may_wait(&self, fault: &AttemptFault, started: Moment, placement_deadline: Moment) -> bool {
        let latest = if fault.answer.cause == RefusalCause::UpstreamsLimited.as_str() {
            let due = self.context.schedulers.permit_due(&self.row().pool);
            let limit = placement_deadline.min(started + PERMIT_WAIT);
            due.filter(|due| *due < limit).map(|_| limit)
        } else {
            let is_busy = fault.answer.cause == RefusalCause::PoolBusy.as_str();
            is_busy.then_some(placement_deadline)
        };
        latest.is_some_and(|latest| self.context.clock.now() + PLACEMENT_RETRY_DELAY < latest)
    }

    /// Waits before the request looks for an upstream again. It does so at once when permits for an
    /// upstream with a request limit have been granted or denied.
    async fn wait_to_probe_again(&self) {
        let pause = pin!(self.context.timer.after(PLACEMENT_RETRY_DELAY));
        let permits = pin!(self.context.schedulers.permits_answered(&self.row().pool));
        let _ = select(pause, permits).await;
    }

    /// Places a request by the plan in force, in which its row may have another index than when it
    /// began to probe.
    async fn place(
        &self,
        ticket: &mut RequestTicket,
        probed: ArrivalProbing,
    ) -> Result<PlacedRequest> {
        ticket.kind = match self.current_kind() {
            Ok(kind) => kind,
            Err(fault) => {
                probed.give_back();
                self.uncount_attempt();
                return Err(fault);
            }
        };
        let pool = &self.row().pool;
        match self.context.schedulers.place(pool, ticket, probed.placement_readings()).await {
            Placement::Start(target) => {
                self.record_reading(&target.start.id, &probed.readings);
                let link = probed.into_link(&target.start.id);
                Ok(PlacedRequest { target, link })
            }
            Placement::Refuse { cause, retry_after } => {
                probed.give_back();
                if cause == RefusalCause::PlanChanged {
                    self.uncount_attempt();
                }
                Err(AttemptFault::refused(cause, retry_after))
            }
        }
    }

    async fn send_placed(
        &self,
        ticket: &RequestTicket,
        placed: PlacedRequest,
    ) -> Result<Response<UpstreamAnswer>> {
        let schedulers = Arc::clone(&self.context.schedulers);
        let mut attempt = AttemptGuard::new(schedulers, self.row().pool.clone(), ticket.number);
        let start = placed.target.start.clone();
        self.record_tried(&start.id);
        let sent_at = self.context.clock.now();
        let content = self.begin_content(&placed.target);
        let (mut response, link) = match self.send(placed, &content).await {
            Ok(sent) => sent,
            Err(fault) if fault.is_unsent => {
                attempt.settle(self.blamed_outcome(fault.outcome));
                self.return_trial(content);
                return Err(fault);
            }
            Err(fault) => {
                self.context.connections.consider_paths();
                attempt.settle(self.blamed_outcome(fault.outcome));
                self.end_content(content, &fault, &start.id).await;
                return Err(fault);
            }
        };
        if !self.is_genuine_answer(&response) {
            content.discard();
            attempt.settle(AttemptOutcome::Broken);
            return Err(AttemptFault::untrusted("foreign-answer", AttemptOutcome::Broken));
        }
        let rest = self.observe_stops(&start, &response, &link);
        let (dialect, counters) = (&self.context.dialect, &self.context.counters);
        let metadata = AnswerMetadata::take(&mut response, rest, dialect, counters);
        attempt.set_report(metadata.report);
        self.record_limit(metadata.limit.unwrap_or_default());
        if let Some(reading) = metadata.limit {
            let sighting = LimitSighting { reading, sent_at, is_probe: false };
            self.context.schedulers.observe_limit(&self.row().pool, &start, sighting);
        }
        let refused =
            |outcome| if rest.span().is_some() { AttemptOutcome::Rested } else { outcome };
        if metadata.is_unconfirmed_not_run {
            content.discard();
            let outcome = refused(AttemptOutcome::Failed);
            attempt.settle(outcome);
            return Err(AttemptFault::untrusted("upstream-failed", outcome));
        }
        if metadata.is_shed {
            content.discard();
            let outcome = refused(AttemptOutcome::Shed);
            attempt.settle(outcome);
            let has_available = self.context.schedulers.has_available(&self.row().pool);
            return Err(AttemptFault::shed(&metadata, outcome, has_available));
        }
        let is_fault = response.status().is_server_error();
        let outcome =
            if is_fault { refused(AttemptOutcome::Failed) } else { AttemptOutcome::Answered };
        Ok(self.answer(response, link, (attempt, outcome), content))
    }

    /// Sends the request over one connection; uses another only if no byte was sent.
    ///
    /// A connection over which the upstream has just answered a probe is used first, because it is
    /// known to work.
    async fn send(
        &self,
        placed: PlacedRequest,
        content: &ContentRun,
    ) -> Result<(Response<Incoming>, UpstreamLink<Answering>)> {
        let PlacedRequest { target, link: mut probed } = placed;
        let placed_at = self.context.clock.now();
        let request = LinkRequest {
            upstream: &target.start.id,
            address: target.address,
            safety: self.safety(),
            deadline: self.terms.deadline,
        };
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            let link = match probed.take() {
                Some(link) => link,
                None => {
                    let link = self.context.connections.checkout(request).await;
                    let link = link.map_err(|fault| self.link_fault(&target, &fault))?;
                    if content.is_trial() { self.prove(&target, link).await? } else { link }
                }
            };
            match self.send_over((&target, content), link, placed_at).await {
                Ok(Err(LinkFault::ClosedUnsent)) if self.body.can_restart() => {}
                Ok(sent) => return sent.map_err(|fault| self.link_fault(&target, &fault)),
                Err(timed_out) => return Err(timed_out),
            }
        }
        Err(self.link_fault(&target, &LinkFault::ClosedUnsent))
    }

    /// Probes the upstream of a trial over the trial's connection. An upstream that was lost before the
    /// trial began would otherwise count as ended by it.
    async fn prove(
        &self,
        target: &UpstreamTarget,
        link: UpstreamLink<Unused>,
    ) -> Result<UpstreamLink<Unused>> {
        let limit = self.terms.deadline.min(self.context.clock.now() + PROOF_LIMIT);
        let connections = &self.context.connections;
        let proven = connections.prove(&self.row().pool, target, link, limit).await;
        proven.ok_or_else(|| AttemptFault::held_back(UNPROVEN_CAUSE))
    }

    /// Sends the request if the upstream still takes it, and waits for the response until the
    /// deadline.
    async fn send_over(
        &self,
        (target, content): (&UpstreamTarget, &ContentRun),
        link: UpstreamLink<Unused>,
        placed_at: Moment,
    ) -> Result<std::result::Result<(Response<Incoming>, UpstreamLink<Answering>), LinkFault>> {
        if let Err(refusal) = self.context.check_shutdown(self.outlook()) {
            link.give_back();
            return Err(AttemptFault::refused_with(refusal));
        }
        if let Some(block) = self.context.connections.send_block(&self.row().pool, target) {
            link.give_back();
            return Err(AttemptFault::held_back(block.as_str()));
        }
        if self.needs_trial(content) {
            link.give_back();
            return Err(AttemptFault::held_back(RefusalCause::ContentSuspected.as_str()));
        }
        if link.is_avoided() {
            return Ok(Err(LinkFault::ClosedUnsent));
        }
        let mut request = self.upstream_request(&target.start.id);
        let interim = InterimLimit::watch(&mut request);
        let (meter, record) = (link.meter(), link.send_record());
        let sent = SentAttempt { at: self.context.clock.now(), record: record.clone() };
        let unsent = sent.at.since(placed_at);
        self.record_sending(sent, unsent);
        content.mark_sent();
        let (sending, exceeded) = (pin!(link.send(request)), pin!(interim.exceeded()));
        let sending = select(sending, exceeded);
        let timer = self.context.timer.clone();
        match timer.run_until(self.terms.deadline, sending).await {
            Some(Either::Left((sent, _))) => return Ok(sent),
            Some(Either::Right(_)) => {
                return Err(AttemptFault::untrusted("interim-responses", AttemptOutcome::Broken));
            }
            None => {}
        }
        record.retire_unproven();
        let has_sent = meter.seal();
        let verdict = if has_sent { RequestVerdict::MayHaveRun } else { RequestVerdict::NotRun };
        Err(AttemptFault::timed_out(verdict))
    }

    fn upstream_request(&self, upstream: &UpstreamId) -> Request<RequestBody> {
        let mut headers = self.parts.headers.clone();
        let dialect = &self.context.dialect;
        self.terms.write(self.context.clock.now(), self.earlier_attempts(), dialect, &mut headers);
        self.set_expected_upstream(upstream, &mut headers);
        let mut request = Request::new(self.body.restart());
        let path = self.parts.uri.path_and_query().cloned();
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }

    /// Sets the id of the intended upstream if upstreams check it. Its address may have been
    /// reassigned to an upstream of another service, which must not run the request.
    fn set_expected_upstream(&self, upstream: &UpstreamId, headers: &mut HeaderMap) {
        let Some(name) = &self.context.dialect.expected_upstream else { return };
        match HeaderValue::from_str(upstream.as_str()) {
            Ok(id) => drop(headers.insert(name, id)),
            Err(_) => drop(headers.remove(name)),
        }
    }

    /// Whether the response is the upstream's response to this request, as far as its status and
    /// headers show.
    ///
    /// A faulty upstream may send one response too many, and the next request on the connection
    /// would receive it: a caller would see another caller's policy. The request id that the
    /// upstream repeats distinguishes the two. A success without proof was not produced by the
    /// upstream.
    fn is_genuine_answer(&self, response: &Response<Incoming>) -> bool {
        let dialect = &self.context.dialect;
        let name = &dialect.request_id;
        if dialect.echoes_request_id
            && let Some(sent_id) = self.parts.headers.get(name)
            && response.headers().get(name) != Some(sent_id)
        {
            return false;
        }
        let lacks_signature = dialect
            .answer_signature
            .as_ref()
            .is_some_and(|name| !response.headers().contains_key(name));
        !(lacks_signature && response.status().is_success())
    }

    fn answer(
        &self,
        mut response: Response<Incoming>,
        link: UpstreamLink<Answering>,
        (attempt, outcome): (AttemptGuard, AttemptOutcome),
        content: ContentRun,
    ) -> Response<UpstreamAnswer> {
        let timer = self.context.timer.clone();
        let pacer = self.context.link_pacer.clone();
        let (clock, length) = (self.context.clock, response.body().size_hint().exact());
        let pacing = pacer.map(|pacer| AnswerPacing::new(pacer, clock, timer.clone(), length));
        let read_until = UpstreamAnswer::read_limit(self.row(), self.terms.deadline);
        // The version holds for the upstream's connection only. In an older one the end of the caller's
        // connection would end the body, so that a body that is cut short would look complete.
        *response.version_mut() = Version::HTTP_11;
        response.map(|body| UpstreamAnswer {
            body,
            attempt,
            link,
            outcome,
            content,
            timer,
            clock,
            read_until,
            pacing,
        })
    }

    /// Returns the outcome to record for the upstream. While this host doubts its own path, a lost
    /// connection says nothing of the upstream. All hosts share what each records, so that a host
    /// that is cut off would take work away from upstreams that answer the others.
    fn blamed_outcome(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_lost = matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Broken);
        match is_lost && self.context.connections.doubts_own_path() {
            true => AttemptOutcome::Cancelled,
            false => outcome,
        }
    }

    fn safety(&self) -> RepeatSafety {
        if self.row().idempotent { RepeatSafety::Repeatable } else { RepeatSafety::Once }
    }

    fn link_fault(&self, target: &UpstreamTarget, fault: &LinkFault) -> AttemptFault {
        if let LinkFault::Malformed(head_fault) = fault {
            info!(self.context.logger, "answer-malformed"; "id" => self.id(),
                "upstream" => %target.start.id, "fault" => %head_fault);
        }
        match self.body.caller_aborted() {
            true => AttemptFault::caller_aborted(fault.verdict()),
            false => AttemptFault::from_link(fault),
        }
    }

    /// Keeps what an answer asks of this host, before the end of the attempt frees its slot: the next
    /// request would start there. Returns the rest that it asks for.
    fn observe_stops(
        &self,
        start: &UpstreamStart,
        response: &Response<Incoming>,
        link: &UpstreamLink<Answering>,
    ) -> RestReading {
        let (pool, context) = (&self.row().pool, &self.context);
        let (status, headers) = (response.status(), response.headers());
        let stops = context.connections.observe_stops((pool, start), status, headers, link.relay());
        context.schedulers.apply_stops(&context.control);
        self.record_rest(stops.rest);
        stops.rest
    }
}
