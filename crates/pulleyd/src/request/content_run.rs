//! The run of a request's content at an upstream, which may end the upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    ContentDigest, ContentKey, ContentReport, RunResult, TrialNumber, UnansweredRun,
};
use slog::{info, warn};
use tokio::runtime::Handle;

use super::TrafficContext;
use super::request_content::RequestContent;
use super::request_run::PlannedKind;
use crate::connection::{EndFinding, UpstreamTarget};

/// How long the rest of a body is awaited after the upstream has ended before it had read all of it.
const BODY_WAIT: Duration = Duration::from_secs(1);

/// The longest time for which an upstream is watched whose run was given up before its deadline. Most
/// upstreams stop their work when its connection closes.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// What is known of a run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenRun {
    /// The content's digest; `None` if the rest of the body did not arrive in time.
    pub(super) digest: Option<ContentDigest>,
    pub(super) finding: EndFinding,
}

/// The permission to run a request as the only one with its content over all hosts. Dropping it
/// gives it back.
#[derive(Debug)]
pub(super) struct ContentTrial {
    context: Arc<TrafficContext>,
    digest: ContentDigest,
    /// `None` once the end of the trial is reported.
    number: Option<TrialNumber>,
}

impl ContentTrial {
    /// Wraps a trial that was granted.
    pub(super) const fn new(
        context: Arc<TrafficContext>,
        digest: ContentDigest,
        number: TrialNumber,
    ) -> Self {
        Self { context, digest, number: Some(number) }
    }
}

impl Drop for ContentTrial {
    fn drop(&mut self) {
        if let Some(number) = self.number.take() {
            self.context.quarantine.end_trial(self.digest, number);
        }
    }
}

/// The run of a request's content at an upstream, from its placing to the end of the answer.
///
/// Every run that was sent and gets no whole answer may have ended its upstream, whether its
/// connection broke, its time passed, its caller left or another attempt was answered first. Each is
/// reported to this host's control thread, which follows it until that is decided. Dropping the run
/// reports it as given up.
#[derive(Debug)]
pub(super) struct ContentRun {
    /// `None` once it is known how the run ended.
    open: Option<SentRun>,
    is_sent: AtomicBool,
}

impl ContentRun {
    /// Begins a run at an upstream of a pool, which ends by the deadline.
    pub(super) fn new(
        context: Arc<TrafficContext>,
        content: Arc<RequestContent>,
        (kind, target): (PlannedKind, UpstreamTarget),
        deadline: Moment,
        trial: Option<ContentTrial>,
    ) -> Self {
        let was_proven = trial.is_some();
        let began = context.clock.now();
        let run = SentRun {
            context,
            content,
            kind,
            target,
            deadline,
            trial,
            was_proven,
            began,
            ended: began,
        };
        Self { open: Some(run), is_sent: AtomicBool::new(false) }
    }

    /// Whether the run is the only one with its content over all hosts.
    pub(super) fn is_trial(&self) -> bool {
        self.open.as_ref().is_some_and(|run| run.trial.is_some())
    }

    /// Records that the request is being sent.
    pub(super) fn mark_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Takes the run at its end.
    fn take(&mut self) -> Option<SentRun> {
        let mut run = self.open.take()?;
        run.ended = run.context.clock.now().min(run.deadline);
        Some(run)
    }

    /// Ends a run that was not sent. Returns its trial.
    pub(super) fn into_trial(mut self) -> Option<ContentTrial> {
        self.open.take()?.trial
    }

    /// Ends a run whose answer is not passed on. The upstream lives on, and the answer tells nothing
    /// of the content.
    pub(super) fn discard(mut self) {
        self.open = None;
    }

    /// Ends a run whose whole answer has arrived, which clears its content.
    pub(super) fn survived(mut self) {
        if let Some(run) = self.take() {
            run.report_answer();
        }
    }

    /// Ends a run whose connection broke: finds out whether the upstream has ended, and reports that.
    /// This goes on if the caller leaves meanwhile.
    pub(super) async fn broke(mut self) -> BrokenRun {
        let unknown = BrokenRun { digest: None, finding: EndFinding::Unknown };
        let Some(run) = self.take() else { return unknown };
        tokio::spawn(run.report_break()).await.unwrap_or(unknown)
    }

    /// Ends a run that got no answer by its deadline. `is_silent` tells that its upstream has said
    /// nothing else meanwhile.
    pub(super) fn timed_out(mut self, is_silent: bool) {
        if let Some(run) = self.take() {
            tokio::spawn(run.report_silence(is_silent));
        }
    }

    /// Ends a run whose answer was cut short. The caller has the head of the answer by then.
    pub(super) fn cut_short(mut self) {
        let Some(run) = self.take() else { return };
        tokio::spawn(async move {
            let (logger, upstream) = (run.context.logger.clone(), run.target.start.id.clone());
            let broken = run.report_break().await;
            info!(logger, "answer-cut-short"; "upstream" => %upstream,
                "content" => broken.digest.map(|digest| digest.to_string()),
                "finding" => broken.finding.as_str());
        });
    }
}

impl Drop for ContentRun {
    fn drop(&mut self) {
        let is_sent = *self.is_sent.get_mut();
        let Some(run) = self.take().filter(|_| is_sent) else { return };
        // There is none while the process shuts down.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(run.report_given_up());
        }
    }
}

/// A run that was sent, and of which it is not known how it ended.
#[derive(Debug)]
struct SentRun {
    context: Arc<TrafficContext>,
    content: Arc<RequestContent>,
    kind: PlannedKind,
    target: UpstreamTarget,
    deadline: Moment,
    trial: Option<ContentTrial>,
    /// Whether the upstream answered a probe over the run's connection right before the run.
    was_proven: bool,
    began: Moment,
    /// When it was given up, at its deadline at the latest.
    ended: Moment,
}

impl SentRun {
    fn report_answer(self) {
        let gate = &self.context.quarantine;
        let Some(digest) = self.content.suspect_digest(&self.context) else { return };
        if gate.is_suspect(&self.key(digest)) {
            let context = Arc::clone(&self.context);
            context.quarantine.tell(self.into_report(digest, RunResult::Survived));
        }
    }

    /// Reports a run whose connection broke.
    async fn report_break(self) -> BrokenRun {
        let limit = self.context.clock.now() + BODY_WAIT;
        let reading = self.content.read_digest(&self.context);
        let reading = self.context.timer.run_until(limit, reading);
        let check = self.context.connections.check_end(&self.target);
        let (finding, digest) = tokio::join!(check, reading);
        let digest = digest.flatten();
        let Some(digest) = digest else {
            self.log("broken", None, finding);
            return BrokenRun { digest, finding };
        };
        self.log("broken", Some(digest), finding);
        let context = Arc::clone(&self.context);
        let result = match finding {
            EndFinding::Ended => RunResult::Ended(self.target.start.clone()),
            EndFinding::Alive => self.unanswered(false, true),
            EndFinding::Accepts | EndFinding::Unknown => self.unanswered(true, true),
        };
        let report = self.into_report(digest, result);
        if !context.quarantine.report(&context.timer, report).await {
            warn!(context.logger, "content-report-late"; "content" => %digest);
        }
        BrokenRun { digest: Some(digest), finding }
    }

    /// Reports a run without an answer at its deadline. The other hosts count it until a check has
    /// been answered, since its caller may come back through one of them before that.
    async fn report_silence(self, is_silent: bool) {
        let Some(digest) = self.content.digest(&self.context.content_keys) else {
            return self.log("no-answer", None, EndFinding::Unknown);
        };
        let (context, target) = (Arc::clone(&self.context), self.target.clone());
        // A host that only doubts its own path counts it all the same: the silence of a few upstreams
        // makes it doubt, and may be what the content does.
        let is_suspicious = is_silent && !context.connections.is_cut_off();
        let result = self.unanswered(is_suspicious, self.was_proven);
        if !is_suspicious {
            self.log("no-answer", Some(digest), EndFinding::Unknown);
            return context.quarantine.tell(self.into_report(digest, result));
        }
        context.quarantine.tell(self.report(digest, result));
        let finding = context.connections.check_answer(&self.kind.row().pool, &target).await;
        self.log("no-answer", Some(digest), finding);
        let result = match finding {
            EndFinding::Ended => RunResult::Ended(target.start),
            EndFinding::Alive => RunResult::Refuted(target.start),
            EndFinding::Accepts | EndFinding::Unknown => return,
        };
        context.quarantine.tell(self.into_report(digest, result));
    }

    /// Reports a run that was given up before its deadline, once its upstream has ended or its work
    /// would have.
    async fn report_given_up(self) {
        let context = Arc::clone(&self.context);
        let Some(digest) = self.content.digest(&context.content_keys) else {
            return self.log("given-up", None, EndFinding::Unknown);
        };
        let until = self.deadline.min(context.clock.now() + WATCH_TIME);
        if context.connections.watch_loss(&self.target, until).await {
            let _ = self.report_break().await;
            return;
        }
        self.log("given-up", Some(digest), EndFinding::Unknown);
        let result = self.unanswered(false, self.was_proven);
        context.quarantine.tell(self.into_report(digest, result));
    }

    fn unanswered(&self, is_suspicious: bool, was_proven: bool) -> RunResult {
        let UpstreamTarget { start, address } = self.target.clone();
        RunResult::Unanswered(UnansweredRun { start, address, is_suspicious, was_proven })
    }

    fn key(&self, digest: ContentDigest) -> ContentKey {
        ContentKey { pool: self.kind.row().pool.clone(), digest }
    }

    /// Returns a report of what is known of the run by now.
    fn report(&self, digest: ContentDigest, result: RunResult) -> ContentReport {
        let row_pools = self.kind.plan.split_pools(self.kind.row());
        let trial = self.trial.as_ref().and_then(|trial| trial.number);
        let (began, ended) = (self.began, self.ended);
        ContentReport { key: self.key(digest), row_pools, began, ended, result, trial }
    }

    /// Returns the last report of the run, which ends its trial.
    fn into_report(mut self, digest: ContentDigest, result: RunResult) -> ContentReport {
        let report = self.report(digest, result);
        if let Some(trial) = &mut self.trial {
            trial.number = None;
        }
        report
    }

    fn log(&self, how: &'static str, digest: Option<ContentDigest>, finding: EndFinding) {
        info!(self.context.logger, "run-unanswered"; "upstream" => %self.target.start.id,
            "incarnation" => self.target.start.incarnation.0, "how" => how,
            "content" => digest.map(|digest| digest.to_string()),
            "trial" => self.trial.is_some(), "finding" => finding.as_str());
    }
}
