//! Runs one admitted request through its attempts.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

use futures::future::{Either, select};
use http::header::HeaderValue;
use http::request::Parts;
use http::{Response, StatusCode};
use parking_lot::Mutex;
use pulley_core::request::{
    AttemptOutcome, LimitReading, ProbeReach, ProbeReading, RequestTicket, RequestUrgency,
    RetryDecision, RetryInputs,
};
use pulley_core::version::{KindPlan, WorkLength};
use pulley_core::{IndexedPlan, Moment, RequestVerdict, UpstreamId};
use slog::info;

use super::answer_body::UpstreamAnswer;
use super::arrival_probing::ArrivalProbing;
use super::attempt_fault::AttemptFault;
use super::call_terms::CallTerms;
use super::caller_access::CallerOrganisation;
use super::content_run::{BrokenRun, ContentTrial};
use super::cut_notice::CutNotice;
use super::ledger_claim::LedgerClaim;
use super::request_attempt::Result;
use super::request_content::RequestContent;
use super::request_headers::prepare_headers;
use super::{BodySource, SchedulerSet, SystemAnswer, TrafficContext, TrafficCounters};
use crate::connection::{RestReading, SendRecord};

/// The least time another attempt needs: a round trip between two zones, a connection and a short
/// response.
const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

/// The least time the first attempt of an idempotent request gets before another is made.
const MIN_FIRST_ATTEMPT: Duration = Duration::from_millis(50);

/// Divides the time left until the deadline. A second attempt is considered after the resulting
/// part.
const FIRST_ATTEMPT_DIVISOR: u32 = 2;

/// A request's kind in the plan that was in force when the request arrived.
#[derive(Clone, Debug)]
pub(super) struct PlannedKind {
    pub(super) plan: Arc<IndexedPlan>,
    index: usize,
}

impl PlannedKind {
    /// Refers to the kind at an index of the plan.
    pub(super) const fn new(plan: Arc<IndexedPlan>, index: usize) -> Self {
        Self { plan, index }
    }

    /// Returns the kind's row.
    pub(super) fn row(&self) -> &KindPlan {
        &self.plan.kinds[self.index]
    }

    /// Returns how long work of this kind usually takes; `None` if its pool no longer has the row.
    pub(super) fn usual_time(&self, schedulers: &SchedulerSet) -> Option<Duration> {
        let current = schedulers.current_row(&self.plan, self.index)?;
        schedulers.usual_time(&self.row().pool, current)
    }
}

/// When an attempt was sent, and the record by which idle connections to its upstream may be
/// closed.
#[derive(Clone, Debug)]
pub(super) struct SentAttempt {
    pub(super) at: Moment,
    pub(super) record: SendRecord,
}

/// The progress of a request's attempts; two of them may be under way at once.
#[derive(Debug, Default)]
struct RunProgress {
    tried: Vec<UpstreamId>,
    /// The attempt sent last.
    sent: Option<SentAttempt>,
    /// The load that the upstream of the attempt placed last had reported before, if known.
    reading: Option<ProbeReading>,
    /// The request limit that the upstream which answered last named.
    limit: LimitReading,
    /// The rest that the upstream which answered last asked for.
    rest: RestReading,
    /// The time from the last placement until the request was sent.
    unsent: Duration,
    /// What is known of the attempt whose connection broke last.
    broken: Option<BrokenRun>,
    /// Its trial, if its content is suspected, until the request is sent.
    trial: Option<ContentTrial>,
    claim: Option<LedgerClaim>,
}

/// One admitted request and its attempts.
#[derive(Debug)]
pub(super) struct RequestRun {
    pub(super) context: Arc<TrafficContext>,
    pub(super) parts: Parts,
    pub(super) body: BodySource,
    pub(super) terms: CallTerms,
    pub(super) kind: PlannedKind,
    pub(super) content: Arc<RequestContent>,
    progress: Mutex<RunProgress>,
    /// The number of attempts, including the one under way.
    attempts: AtomicU8,
    /// Whether an attempt has been sent.
    pub(super) has_sent: Arc<AtomicBool>,
    /// The worst verdict of all attempts so far.
    pub(super) verdict: RequestVerdict,
    /// When the request arrived.
    arrived: Moment,
    organisation: Option<CallerOrganisation>,
    /// Its urgency on arrival; `None` if it needs no permit.
    urgency: Option<RequestUrgency>,
}

impl RequestRun {
    /// Creates a run without attempts.
    pub(super) fn new(
        context: Arc<TrafficContext>,
        mut parts: Parts,
        body: BodySource,
        kind: PlannedKind,
        terms: CallTerms,
    ) -> Self {
        prepare_headers(&mut parts);
        let arrived = context.clock.now();
        let content = Arc::new(RequestContent::new(&parts, &body));
        Self {
            context,
            parts,
            body,
            terms,
            kind,
            content,
            progress: Mutex::default(),
            attempts: AtomicU8::new(0),
            has_sent: Arc::default(),
            verdict: RequestVerdict::NotRun,
            arrived,
            organisation: None,
            urgency: None,
        }
    }

    /// Sets the organisation on whose behalf the request is sent. The upstream is told its name in
    /// place of its key.
    pub(super) fn on_behalf_of(mut self, organisation: Option<CallerOrganisation>) -> Self {
        let name = &self.context.dialect.organisation;
        let value = organisation.as_ref().map(|caller| HeaderValue::from_str(caller.name.as_str()));
        if let Some(Ok(value)) = value {
            self.parts.headers.insert(name, value);
        }
        self.organisation = organisation;
        self
    }

    /// Returns the organisation on whose behalf the request is sent.
    pub(super) const fn organisation(&self) -> Option<&CallerOrganisation> {
        self.organisation.as_ref()
    }

    /// Sets when the request arrived; its target and the time for which it is held count from that
    /// moment.
    pub(super) const fn arrived_at(mut self, arrived: Moment) -> Self {
        self.arrived = arrived;
        self
    }

    /// Sets its urgency on arrival, which decides on the order of permits.
    pub(super) const fn with_urgency(mut self, urgency: Option<RequestUrgency>) -> Self {
        self.urgency = urgency;
        self
    }

    /// Attaches the claim on its idempotency key.
    pub(super) fn with_claim(self, claim: LedgerClaim) -> Self {
        self.progress.lock().claim = Some(claim);
        self
    }

    /// Whether the request holds a claim on its idempotency key.
    pub(super) fn has_claim(&self) -> bool {
        self.progress.lock().claim.is_some()
    }

    /// Returns the request's row of the sheet.
    pub(super) fn row(&self) -> &KindPlan {
        self.kind.row()
    }

    /// Returns the context that all requests share.
    pub(super) const fn context(&self) -> &Arc<TrafficContext> {
        &self.context
    }

    /// Returns a notice that is logged if the request ends without a whole answer during a shutdown.
    pub(super) fn cut_notice(&self) -> CutNotice {
        CutNotice::new(Arc::clone(&self.context), self.id(), &self.row().kind, self.arrived)
    }

    /// Removes the claim, so that the outcome can be recorded with it.
    pub(super) fn take_claim(&mut self) -> Option<LedgerClaim> {
        self.progress.get_mut().claim.take()
    }

    /// Returns the request's urgency on arrival; `None` if it needs no permit.
    pub(super) const fn urgency(&self) -> Option<RequestUrgency> {
        self.urgency
    }

    /// Runs the request if its organisation's quota allows it, unless this host shuts down and does not
    /// pass it on any more.
    pub(super) async fn run(
        &mut self,
    ) -> std::result::Result<Response<UpstreamAnswer>, SystemAnswer> {
        let outcome = self.run_unless_stopped().await;
        // Its caller may retry, also after a failure.
        if outcome.is_err() && self.urgency.is_some() {
            let now = self.context.clock.now();
            self.context.row_deadlines.lock().record_refusal(now, self.row());
        }
        outcome
    }

    /// Runs the request if its organisation's quota allows it. A request that has not run counts
    /// against no quota.
    pub(super) async fn run_within_quota(
        &mut self,
    ) -> std::result::Result<Response<UpstreamAnswer>, SystemAnswer> {
        let limited = self
            .organisation
            .as_ref()
            .and_then(|caller| caller.quota.map(|quota| (caller.name.clone(), quota)));
        let Some((name, quota)) = limited else { return self.run_attempts().await };
        let context = Arc::clone(&self.context);
        let urgency = self.current_urgency();
        let scope = Arc::clone(&context.view.load().quota_scope);
        context.quotas.admit(&context.timer, &name, quota, &scope, urgency).await?;
        let outcome = self.run_attempts().await;
        if outcome.as_ref().is_err_and(|answer| answer.verdict == RequestVerdict::NotRun) {
            context.quotas.give_back(&name);
        }
        outcome
    }

    /// Returns the request's urgency now. The request may have waited for the claim on its key.
    fn current_urgency(&self) -> RequestUrgency {
        let unknown = RequestUrgency::Urgent { slack: self.row().deadline };
        self.urgency.unwrap_or(unknown).after(self.elapsed())
    }

    /// Makes attempts until one succeeds or no further one is allowed.
    async fn run_attempts(
        &mut self,
    ) -> std::result::Result<Response<UpstreamAnswer>, SystemAnswer> {
        loop {
            let fault = match self.try_once().await {
                Ok(response) => {
                    self.record_answer(response.status());
                    return Ok(response);
                }
                Err(fault) => fault,
            };
            if fault.is_plan_changed() && self.match_again().await {
                continue;
            }
            self.record_fault(&fault);
            if let Some(refusal) = self.quarantine_refusal() {
                return Err(self.final_answer(&AttemptFault::refused_with(refusal)));
            }
            if !self.should_retry(&fault) {
                return Err(self.final_answer(&fault));
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Progress of attempts

    /// Returns the number of attempts before the one under way.
    pub(super) fn earlier_attempts(&self) -> u8 {
        self.attempts.load(Ordering::Relaxed).saturating_sub(1)
    }

    pub(super) fn record_tried(&self, upstream: &UpstreamId) {
        self.progress.lock().tried.push(upstream.clone());
    }

    pub(super) fn record_reading(&self, upstream: &UpstreamId, readings: &[ProbeReading]) {
        let reading = readings.iter().find(|reading| reading.upstream == *upstream);
        self.progress.lock().reading = reading.cloned();
    }

    pub(super) fn record_limit(&self, limit: LimitReading) {
        self.progress.lock().limit = limit;
    }

    pub(super) fn record_rest(&self, rest: RestReading) {
        self.progress.lock().rest = rest;
    }

    /// Whether the request holds a trial that it has not used yet.
    pub(super) fn has_trial(&self) -> bool {
        self.progress.lock().trial.is_some()
    }

    /// Keeps a trial until the request is sent.
    pub(super) fn keep_trial(&self, trial: Option<ContentTrial>) {
        self.progress.lock().trial = trial;
    }

    /// Takes the trial for the run that is about to begin.
    pub(super) fn take_trial(&self) -> Option<ContentTrial> {
        self.progress.lock().trial.take()
    }

    pub(super) fn record_broken(&self, broken: BrokenRun) {
        self.progress.lock().broken = Some(broken);
    }

    /// Whether an upstream has answered nothing since the last attempt was sent to it.
    pub(super) fn is_silent(&self, upstream: &UpstreamId) -> bool {
        let sent = self.progress.lock().sent.as_ref().map(|sent| sent.at);
        sent.is_some_and(|sent| !self.context.connections.has_answered_since(upstream, sent))
    }

    pub(super) fn record_sending(&self, sent: SentAttempt, unsent: Duration) {
        let mut progress = self.progress.lock();
        progress.unsent = unsent;
        if let Some(claim) = &mut progress.claim {
            claim.mark_sending();
        }
        progress.sent = Some(sent);
        self.has_sent.store(true, Ordering::Relaxed);
    }

    // ---------------------------------------------------------------------------------------------
    // Attempts

    /// Makes an attempt, and a second one in parallel if the first takes long.
    ///
    /// The first attempt continues meanwhile. If it were cancelled, its work would be lost although
    /// its response may arrive at any moment, and an upstream that is told to stop has already
    /// spent the time. The first response to arrive is passed on.
    async fn try_once(&self) -> Result<Response<UpstreamAnswer>> {
        let first = self.attempt(self.ticket(1)?);
        let Some(at) = self.second_attempt_at() else { return first.await };
        let mut first = pin!(first);
        if let Some(done) = self.context.timer.run_until(at, first.as_mut()).await {
            return done;
        }
        self.suspect_idle_connections();
        let second = pin!(self.second_attempt());
        match select(first, second).await {
            Either::Left((Err(fault), second)) => second.await.unwrap_or(Err(fault)),
            Either::Right((None | Some(Err(_)), first)) => first.await,
            Either::Left((answered, _)) | Either::Right((Some(answered), _)) => answered,
        }
    }

    /// Makes a second attempt if an upstream is expected to answer it soon and the retry budget
    /// allows it; returns `None` otherwise.
    async fn second_attempt(&self) -> Option<Result<Response<UpstreamAnswer>>> {
        if self.is_suspect() {
            return None;
        }
        let ticket = self.ticket(0).ok()?;
        let probed =
            ArrivalProbing::probe(&self.context, self.row(), &ticket, ProbeReach::EveryZone).await;
        let pool = &self.row().pool;
        let is_slow = !probed.readings.is_empty()
            && !self.context.schedulers.meets_target(pool, &ticket, &probed.readings);
        if is_slow
            || !self.try_grant_retry(AttemptOutcome::Broken, RequestVerdict::MayHaveRun, false)
        {
            probed.give_back();
            return None;
        }
        self.attempts.fetch_add(1, Ordering::Relaxed);
        Some(self.attempt_probed(ticket, probed).await)
    }

    /// Creates a ticket for a placement and adds `attempts` to the number of attempts made.
    fn ticket(&self, attempts: u8) -> Result<RequestTicket> {
        let kind = self.current_kind()?;
        let before = self.attempts.fetch_add(attempts, Ordering::Relaxed);
        Ok(RequestTicket {
            number: self.context.next_number(),
            kind,
            deadline: self.terms.deadline,
            target: self.row().route.target.map(|target| self.arrived + target),
            attempt: before,
            avoid: self.tried(),
        })
    }

    /// Returns the index of the request's kind in the plan in force.
    pub(super) fn current_kind(&self) -> Result<usize> {
        let kind = self.context.schedulers.current_row(&self.kind.plan, self.kind.index);
        kind.ok_or_else(AttemptFault::plan_changed)
    }

    /// Takes back the count of an attempt that was not placed because its row has changed.
    pub(super) fn uncount_attempt(&self) {
        self.attempts.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns when a second attempt is considered although the first may still succeed.
    ///
    /// A short idempotent request gives half of its time to its first attempt. The connection may
    /// have gone silent or the upstream's machine may have slowed down, and another upstream can
    /// still answer in time. Long work, and work that must not be sent twice, waits until its
    /// deadline.
    fn second_attempt_at(&self) -> Option<Moment> {
        let row = self.row();
        let allows_second = row.idempotent
            && self.earlier_attempts() == 0
            && row.route.attempts > 1
            && self.terms.earlier_attempts == 0
            && row.length == WorkLength::Short;
        if !allows_second {
            return None;
        }
        let now = self.context.clock.now();
        let left = self.terms.deadline.since(now);
        let at = now + (left / FIRST_ATTEMPT_DIVISOR).max(MIN_FIRST_ATTEMPT);
        Some(at).filter(|at| *at < self.terms.deadline)
    }

    /// Closes idle connections that have not answered since the attempt under way was sent: they
    /// may have gone silent together with that attempt's connection.
    fn suspect_idle_connections(&self) {
        let sent = self.progress.lock().sent.clone();
        if let Some(sent) = sent {
            sent.record.retire_unproven();
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Outcomes

    /// Records a response. All time except the upstream's own counts as added by this entry,
    /// including time in the queue.
    fn record_answer(&self, status: StatusCode) {
        let now = self.context.clock.now();
        let progress = self.progress.lock();
        let sent = progress.sent.as_ref().map_or(self.arrived, |sent| sent.at);
        let upstream = now.since(sent);
        let added = now.since(self.arrived).saturating_sub(upstream);
        let report = progress.reading.as_ref().map(|reading| reading.report);
        info!(self.context.logger, "request-answered"; "id" => self.id(),
            "kind" => %self.row().kind, "status" => status.as_u16(),
            "upstream" => progress.tried.last().map(ToString::to_string),
            "attempts" => self.attempts(),
            "organisation" => self.organisation.as_ref().map(|caller| caller.name.to_string()),
            "urgency" => self.urgency.map(RequestUrgency::as_str),
            "running" => report.and_then(|report| report.in_flight),
            "waiting" => report.and_then(|report| report.waiting),
            "slowdown" => report.and_then(|report| report.slowdown),
            "limit" => logged_limit(progress.limit),
            "relay" => progress.sent.as_ref().and_then(|sent| sent.record.relay().map(ToString::to_string)),
            "added_us" => micros(added), "upstream_us" => micros(upstream));
        if let Some(metrics) = &self.context.metrics {
            metrics.record_answer(self.row(), status.as_u16(), added, upstream);
            if let Some(caller) = &self.organisation {
                metrics.record_organisation(&caller.name, None);
            }
        }
    }

    /// Returns the caller's request id, for logs.
    pub(super) fn id(&self) -> Option<&str> {
        let name = &self.context.dialect.request_id;
        self.parts.headers.get(name)?.to_str().ok()
    }

    /// Returns the number of attempts made.
    pub(super) fn attempts(&self) -> u8 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Returns the upstream tried last.
    pub(super) fn last_tried(&self) -> Option<UpstreamId> {
        self.progress.lock().tried.last().cloned()
    }

    /// Returns the upstreams tried so far.
    pub(super) fn tried(&self) -> Vec<UpstreamId> {
        self.progress.lock().tried.clone()
    }

    /// Returns how long the request has been held.
    pub(super) fn elapsed(&self) -> Duration {
        self.context.clock.now().since(self.arrived)
    }

    fn record_fault(&mut self, fault: &AttemptFault) {
        let progress = self.progress.get_mut();
        if fault.answer.verdict == RequestVerdict::MayHaveRun {
            self.verdict = RequestVerdict::MayHaveRun;
        } else if let Some(claim) = &mut progress.claim {
            claim.mark_unsent();
        }
        let upstream = progress.tried.last().map(ToString::to_string);
        let broken = progress.broken.take();
        let content = broken.and_then(|broken| broken.digest).map(|digest| digest.to_string());
        info!(self.context.logger, "attempt-failed"; "id" => self.id(),
            "attempts" => self.attempts(), "cause" => fault.answer.cause,
            "verdict" => %fault.answer.verdict, "kind" => %self.row().kind,
            "upstream" => upstream, "limit" => logged_limit(progress.limit),
            "rest_ms" => progress.rest.span().map(millis), "unsent_us" => micros(progress.unsent),
            "content" => content, "finding" => broken.map(|broken| broken.finding.as_str()));
    }

    fn should_retry(&self, fault: &AttemptFault) -> bool {
        let is_retried_by_caller = self.terms.earlier_attempts > 0;
        if !fault.is_retryable || is_retried_by_caller || !self.body.can_restart() {
            return false;
        }
        // Where all upstreams rest, another attempt would only use up the retry budget.
        let is_rested = fault.outcome == AttemptOutcome::Rested;
        if is_rested && !self.context.schedulers.has_available(&self.row().pool) {
            return false;
        }
        // A cancelled attempt does not count against the upstream, but the retry decision treats it
        // as a failure.
        let outcome = match fault.outcome {
            AttemptOutcome::Cancelled => AttemptOutcome::Unreachable,
            outcome => outcome,
        };
        self.try_grant_retry(outcome, self.verdict, fault.retried_downstream)
    }

    fn try_grant_retry(
        &self,
        outcome: AttemptOutcome,
        verdict: RequestVerdict,
        retried_downstream: bool,
    ) -> bool {
        if !self.body.can_restart() || self.context.check_shutdown(self.outlook()).is_err() {
            return false;
        }
        let inputs = RetryInputs {
            outcome,
            verdict,
            idempotent: self.row().idempotent,
            attempt: self.earlier_attempts(),
            retried_downstream,
            most_attempts: self.row().route.attempts,
            time_left: self.terms.deadline.since(self.context.clock.now()),
            min_time: MIN_RETRY_TIME,
        };
        let decision = self.context.schedulers.decide_retry(&self.row().pool, &inputs);
        let counters = &self.context.counters;
        match decision {
            RetryDecision::Retry => TrafficCounters::add(&counters.retries),
            RetryDecision::GiveUp(_) => TrafficCounters::add(&counters.retries_denied),
        }
        decision == RetryDecision::Retry
    }

    /// Builds the final answer: that of the last attempt, with the worst verdict of all attempts.
    fn final_answer(&self, fault: &AttemptFault) -> SystemAnswer {
        SystemAnswer { verdict: self.verdict, ..fault.answer }
    }
}

/// Returns the text to log for a request limit; `None` if the answer named none.
fn logged_limit(limit: LimitReading) -> Option<String> {
    (limit != LimitReading::Absent).then(|| limit.to_string())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
