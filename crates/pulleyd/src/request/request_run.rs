//! Carries one admitted request through its attempts.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use futures::future::{Either, select};
use http::header::{EXPECT, HOST, HeaderValue, TE};
use http::request::Parts;
use http::{Response, StatusCode};
use parking_lot::Mutex;
use pulley_core::request::{
    AttemptOutcome, ProbeReach, ProbeReading, RequestTicket, RetryDecision, RetryQuestion,
};
use pulley_core::version::{KindPlan, WorkLength};
use pulley_core::{IndexedPlan, Moment, RequestVerdict, UpstreamId};
use slog::info;

use super::answer_body::UpstreamAnswer;
use super::arrival_probing::ArrivalProbing;
use super::attempt_fault::AttemptFault;
use super::call_terms::CallTerms;
use super::ledger_claim::LedgerClaim;
use super::request_attempt::Result;
use super::request_headers::{strip_hop_by_hop, strip_own, takes_trailers};
use super::{BodySource, SystemAnswer, TrafficContext, TrafficCounters};
use crate::connection::SendRecord;

/// The least time another attempt needs: two zones apart and back, a connection and a short answer.
const TYPICAL_ANSWER: Duration = Duration::from_millis(5);

/// The least time the first attempt of an idempotent request gets before another is made.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(50);

/// The part of the time that is left after which a second attempt is considered.
const SECOND_PART: u32 = 2;

/// A request's kind in the plan that was in force when it came.
#[derive(Clone, Debug)]
pub(super) struct PlannedKind {
    plan: Arc<IndexedPlan>,
    index: usize,
}

impl PlannedKind {
    /// Names the kind at a place that the plan has.
    pub(super) const fn new(plan: Arc<IndexedPlan>, index: usize) -> Self {
        Self { plan, index }
    }

    /// The kind's row.
    pub(super) fn row(&self) -> &KindPlan {
        &self.plan.kinds[self.index]
    }
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub(super) struct SentAttempt {
    pub(super) at: Moment,
    pub(super) record: SendRecord,
}

/// What a request's attempts have come to so far; two of them may be under way at once.
#[derive(Debug, Default)]
struct RunProgress {
    tried: Vec<UpstreamId>,
    /// The attempt sent last.
    sent: Option<SentAttempt>,
    /// What the upstream of that attempt said of itself before.
    reading: Option<ProbeReading>,
    claim: Option<LedgerClaim>,
}

/// One admitted request on its way through its attempts.
#[derive(Debug)]
pub(super) struct RequestRun {
    pub(super) context: Arc<TrafficContext>,
    pub(super) parts: Parts,
    pub(super) body: BodySource,
    pub(super) terms: CallTerms,
    kind: PlannedKind,
    progress: Mutex<RunProgress>,
    /// Attempts made, the one under way included.
    attempts: AtomicU8,
    /// The worst verdict of the attempts so far.
    verdict: RequestVerdict,
    /// When it was taken up.
    begun: Moment,
}

impl RequestRun {
    /// Makes a run that has had no attempt.
    pub(super) fn new(
        context: Arc<TrafficContext>,
        mut parts: Parts,
        body: BodySource,
        kind: PlannedKind,
        terms: CallTerms,
    ) -> Self {
        prepare_headers(&mut parts);
        let begun = context.clock.now();
        Self {
            context,
            parts,
            body,
            terms,
            kind,
            progress: Mutex::default(),
            attempts: AtomicU8::new(0),
            verdict: RequestVerdict::NotRun,
            begun,
        }
    }

    /// Counts its target and how long it is held from when it arrived.
    pub(super) const fn begun_at(mut self, arrived: Moment) -> Self {
        self.begun = arrived;
        self
    }

    /// Carries it under a claim on its idempotency key.
    pub(super) fn with_claim(self, claim: LedgerClaim) -> Self {
        self.progress.lock().claim = Some(claim);
        self
    }

    /// The row of the sheet that it falls under.
    pub(super) fn row(&self) -> &KindPlan {
        self.kind.row()
    }

    /// What all requests share.
    pub(super) const fn context(&self) -> &Arc<TrafficContext> {
        &self.context
    }

    /// Takes the claim out, to record the outcome with it.
    pub(super) fn take_claim(&mut self) -> Option<LedgerClaim> {
        self.progress.get_mut().claim.take()
    }

    /// Makes attempts until one is answered or no further one is allowed.
    pub(super) async fn run(
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
            self.note_fault(&fault);
            if !self.retries(&fault) {
                return Err(self.conclude(&fault));
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // What attempts note

    /// Attempts made before the one under way.
    pub(super) fn earlier(&self) -> u8 {
        self.attempts.load(Ordering::Relaxed).saturating_sub(1)
    }

    pub(super) fn note_tried(&self, upstream: &UpstreamId) {
        self.progress.lock().tried.push(upstream.clone());
    }

    pub(super) fn note_reading(&self, upstream: &UpstreamId, readings: &[ProbeReading]) {
        let reading = readings.iter().find(|reading| reading.upstream == *upstream);
        self.progress.lock().reading = reading.cloned();
    }

    pub(super) fn note_sending(&self, sent: SentAttempt) {
        let mut progress = self.progress.lock();
        if let Some(claim) = &mut progress.claim {
            claim.note_sending();
        }
        progress.sent = Some(sent);
    }

    // ---------------------------------------------------------------------------------------------
    // Attempts

    /// Makes an attempt, and a second one beside it if the first takes long.
    ///
    /// The first goes on meanwhile: given up, its work would be lost though its answer may come
    /// any moment, and an upstream that is told to stop has already spent its time. Whichever is
    /// answered first is passed on.
    async fn try_once(&self) -> Result<Response<UpstreamAnswer>> {
        let first = self.attempt(self.ticket(1)?);
        let Some(at) = self.second_at() else { return first.await };
        let mut first = pin!(first);
        if let Some(done) = self.context.timer.limit(at, first.as_mut()).await {
            return done;
        }
        self.suspect_silence();
        let second = pin!(self.second_attempt());
        match select(first, second).await {
            Either::Left((Err(fault), second)) => second.await.unwrap_or(Err(fault)),
            Either::Right((None | Some(Err(_)), first)) => first.await,
            Either::Left((answered, _)) | Either::Right((Some(answered), _)) => answered,
        }
    }

    /// A second attempt, if an upstream is found that should answer it soon and the retry budget
    /// allows it; none if not.
    async fn second_attempt(&self) -> Option<Result<Response<UpstreamAnswer>>> {
        let ticket = self.ticket(0).ok()?;
        let probed =
            ArrivalProbing::ask(&self.context, self.row(), &ticket, ProbeReach::EveryZone).await;
        let pool = &self.row().pool;
        let is_slow = !probed.readings.is_empty()
            && !self.context.schedulers.is_soon(pool, &ticket, &probed.readings);
        if is_slow || !self.is_granted(AttemptOutcome::Broken, RequestVerdict::MayHaveRun, false) {
            probed.give_back();
            return None;
        }
        self.attempts.fetch_add(1, Ordering::Relaxed);
        Some(self.attempt_probed(ticket, probed).await)
    }

    /// Asks for a place; counts so many attempts more.
    fn ticket(&self, attempts: u8) -> Result<RequestTicket> {
        let schedulers = &self.context.schedulers;
        let kind = schedulers.current_row(&self.kind.plan, self.kind.index);
        let kind = kind.ok_or_else(AttemptFault::plan_changed)?;
        let before = self.attempts.fetch_add(attempts, Ordering::Relaxed);
        Ok(RequestTicket {
            number: self.context.next_number(),
            kind,
            deadline: self.terms.deadline,
            target: self.row().route.target.map(|target| self.begun + target),
            attempt: before,
            avoid: self.progress.lock().tried.clone(),
        })
    }

    /// When a second attempt is considered though the first may still be answered.
    ///
    /// A short idempotent request gives half of its time to its first attempt: the connection may
    /// have gone silent, or the upstream's machine have slowed down, and an answer of another still
    /// comes in time. Long work and work that may be sent once only waits until its deadline.
    fn second_at(&self) -> Option<Moment> {
        let row = self.row();
        let could_follow = row.idempotent
            && self.earlier() == 0
            && row.route.attempts > 1
            && self.terms.earlier_attempts == 0
            && row.length == WorkLength::Short;
        if !could_follow {
            return None;
        }
        let now = self.context.clock.now();
        let left = self.terms.deadline.since(now);
        let at = now + (left / SECOND_PART).max(SHORTEST_ATTEMPT);
        Some(at).filter(|at| *at < self.terms.deadline)
    }

    /// Closes idle connections that have not answered since the attempt under way was sent: they
    /// may have gone silent together with its own.
    fn suspect_silence(&self) {
        let sent = self.progress.lock().sent.clone();
        if let Some(sent) = sent {
            sent.record.suspect();
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Outcomes

    /// What is not the upstream's own time was added here, time in the queue included.
    fn record_answer(&self, status: StatusCode) {
        let now = self.context.clock.now();
        let progress = self.progress.lock();
        let sent = progress.sent.as_ref().map_or(self.begun, |sent| sent.at);
        let upstream = now.since(sent);
        let added = now.since(self.begun).saturating_sub(upstream);
        let report = progress.reading.as_ref().map(|reading| reading.report);
        info!(self.context.logger, "request-answered"; "id" => self.id(),
            "kind" => %self.row().kind, "status" => status.as_u16(),
            "upstream" => progress.tried.last().map(ToString::to_string),
            "attempts" => self.attempts(),
            "running" => report.and_then(|report| report.in_flight),
            "waiting" => report.and_then(|report| report.waiting),
            "slowdown" => report.and_then(|report| report.slowdown),
            "added_us" => micros(added), "upstream_us" => micros(upstream));
        if let Some(metrics) = &self.context.metrics {
            metrics.record_answer(self.row(), status.as_u16(), added, upstream);
        }
    }

    /// The caller's name for the request, for logs.
    pub(super) fn id(&self) -> Option<&str> {
        let name = &self.context.dialect.request_id;
        self.parts.headers.get(name)?.to_str().ok()
    }

    /// Attempts made.
    pub(super) fn attempts(&self) -> u8 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// The upstream tried last.
    pub(super) fn last_tried(&self) -> Option<UpstreamId> {
        self.progress.lock().tried.last().cloned()
    }

    /// How long it has been held.
    pub(super) fn held(&self) -> Duration {
        self.context.clock.now().since(self.begun)
    }

    fn note_fault(&mut self, fault: &AttemptFault) {
        let progress = self.progress.get_mut();
        if fault.answer.verdict == RequestVerdict::MayHaveRun {
            self.verdict = RequestVerdict::MayHaveRun;
        } else if let Some(claim) = &mut progress.claim {
            claim.note_unsent();
        }
        let upstream = progress.tried.last().map(ToString::to_string);
        info!(self.context.logger, "attempt-failed"; "id" => self.id(),
            "attempts" => self.attempts(), "cause" => fault.answer.cause,
            "verdict" => %fault.answer.verdict, "kind" => %self.row().kind,
            "upstream" => upstream);
    }

    fn retries(&self, fault: &AttemptFault) -> bool {
        let is_other_layers = self.terms.earlier_attempts > 0;
        if !fault.may_repeat || is_other_layers || !self.body.can_restart() {
            return false;
        }
        // What is neutral to the upstream is still a failed attempt here.
        let outcome = match fault.outcome {
            AttemptOutcome::Cancelled => AttemptOutcome::Unreachable,
            outcome => outcome,
        };
        self.is_granted(outcome, self.verdict, fault.retried_below)
    }

    fn is_granted(
        &self,
        outcome: AttemptOutcome,
        verdict: RequestVerdict,
        retried_below: bool,
    ) -> bool {
        if !self.body.can_restart() {
            return false;
        }
        let question = RetryQuestion {
            outcome,
            verdict,
            idempotent: self.row().idempotent,
            attempt: self.earlier(),
            retried_below,
            most_attempts: self.row().route.attempts,
            left: self.terms.deadline.since(self.context.clock.now()),
            typical: TYPICAL_ANSWER,
        };
        let decision = self.context.schedulers.decide_retry(&self.row().pool, &question);
        let counters = &self.context.counters;
        match decision {
            RetryDecision::Retry => TrafficCounters::add(&counters.retries),
            RetryDecision::GiveUp(_) => TrafficCounters::add(&counters.retries_denied),
        }
        decision == RetryDecision::Retry
    }

    /// The final answer: the last attempt's, with the worst verdict of all attempts.
    fn conclude(&self, fault: &AttemptFault) -> SystemAnswer {
        SystemAnswer { verdict: self.verdict, ..fault.answer }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Makes a caller's headers those of a request of our own.
fn prepare_headers(parts: &mut Parts) {
    let headers = &mut parts.headers;
    let trailers = takes_trailers(headers);
    strip_hop_by_hop(headers);
    strip_own(headers);
    headers.remove(EXPECT);
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, host);
    }
}
