//! The run of a request's content at an upstream, which may end the upstream.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::PoolName;
use pulley_core::process::{
    ContentDigest, ContentKey, ContentReport, RunResult, TrialNumber, UpstreamStart,
};
use slog::{info, warn};

use super::TrafficContext;
use super::request_content::RequestContent;
use crate::connection::{EndFinding, UpstreamTarget};

/// Pauses before each look whether an upstream has started again, where the check of its connection
/// did not show its end. A supervisor may start a process again within milliseconds, and no connection
/// is refused then.
const RESTART_CHECK_PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(2_000),
];

/// How long the rest of a body is awaited after the upstream has ended before it had read all of it.
const BODY_WAIT: Duration = Duration::from_secs(1);

/// What is known of a run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenRun {
    /// The content's digest; `None` if the body is too long or was cut short.
    pub(super) digest: Option<ContentDigest>,
    pub(super) finding: EndFinding,
}

/// The permission to run a request as the only one with its content over all hosts. Dropping it
/// gives it back.
#[derive(Debug)]
pub(super) struct ContentTrial {
    context: Arc<TrafficContext>,
    key: ContentKey,
    /// `None` once the end of the trial is reported.
    number: Option<TrialNumber>,
}

impl ContentTrial {
    /// Wraps a trial that was granted.
    pub(super) const fn new(
        context: Arc<TrafficContext>,
        key: ContentKey,
        number: TrialNumber,
    ) -> Self {
        Self { context, key, number: Some(number) }
    }

    /// Returns the number, for the report of the trial's end.
    fn into_number(mut self) -> Option<TrialNumber> {
        self.number.take()
    }
}

impl Drop for ContentTrial {
    fn drop(&mut self) {
        if let Some(number) = self.number.take() {
            let (key, result) = (self.key.clone(), RunResult::Unknown);
            self.context.quarantine.tell(ContentReport { key, result, trial: Some(number) });
        }
    }
}

/// Logs a run that ends without an answer and whose connection did not break: its time limit has
/// passed, another attempt was answered first, or its caller has left.
#[derive(Debug)]
struct UnansweredLog {
    context: Arc<TrafficContext>,
    content: Arc<RequestContent>,
    start: UpstreamStart,
    is_trial: bool,
    is_unanswered: bool,
}

impl UnansweredLog {
    /// Logs nothing: what became of the run is known.
    fn disarm(&mut self) {
        self.is_unanswered = false;
    }
}

impl Drop for UnansweredLog {
    fn drop(&mut self) {
        if self.is_unanswered {
            let digest = self.content.digest(&self.context.content_keys);
            info!(self.context.logger, "run-unanswered"; "upstream" => %self.start.id,
                "incarnation" => self.start.incarnation.0, "trial" => self.is_trial,
                "content" => digest.map(|digest| digest.to_string()));
        }
    }
}

/// The run of a request's content at an upstream, from its sending to the end of the answer.
#[derive(Debug)]
pub(super) struct ContentRun {
    log: UnansweredLog,
    context: Arc<TrafficContext>,
    content: Arc<RequestContent>,
    pool: PoolName,
    target: UpstreamTarget,
    trial: Option<ContentTrial>,
}

impl ContentRun {
    /// Begins a run at an upstream of a pool.
    pub(super) fn new(
        context: Arc<TrafficContext>,
        content: Arc<RequestContent>,
        pool: PoolName,
        target: UpstreamTarget,
        trial: Option<ContentTrial>,
    ) -> Self {
        let log = UnansweredLog {
            context: Arc::clone(&context),
            content: Arc::clone(&content),
            start: target.start.clone(),
            is_trial: trial.is_some(),
            is_unanswered: true,
        };
        Self { log, context, content, pool, target, trial }
    }

    /// Whether the run is the only one with its content over all hosts.
    pub(super) const fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Ends a run that was not sent. Returns its trial.
    pub(super) fn into_trial(mut self) -> Option<ContentTrial> {
        self.log.disarm();
        self.trial
    }

    /// Ends a run whose whole answer has arrived, which clears its content.
    pub(super) fn survived(mut self) {
        self.log.disarm();
        let gate = &self.context.quarantine;
        if !gate.has_suspects(&self.pool) {
            return;
        }
        let Some(digest) = self.content.digest(&self.context.content_keys) else { return };
        let key = ContentKey { pool: self.pool, digest };
        if gate.is_suspect(&key) {
            let trial = self.trial.and_then(ContentTrial::into_number);
            gate.tell(ContentReport { key, result: RunResult::Survived, trial });
        }
    }

    /// Ends a run whose connection broke: finds out whether the upstream has ended, and reports that.
    pub(super) async fn broke(mut self) -> BrokenRun {
        self.log.disarm();
        let finding = self.context.connections.check_end(&self.target).await;
        let limit = self.context.clock.now() + BODY_WAIT;
        let reading = self.content.read_digest(&self.context.content_keys);
        let digest = self.context.timer.run_until(limit, reading).await.flatten();
        let Some(digest) = digest else { return BrokenRun { digest, finding } };
        let key = ContentKey { pool: self.pool, digest };
        let was_trial = self.trial.is_some();
        let start = self.target.start;
        if finding == EndFinding::Ended {
            let trial = self.trial.and_then(ContentTrial::into_number);
            let result = RunResult::Ended(start);
            let report = ContentReport { key, result, trial };
            if !self.context.quarantine.report(&self.context.timer, report).await {
                warn!(self.context.logger, "content-report-late"; "content" => %digest);
            }
        } else if !was_trial {
            tokio::spawn(report_restart(self.context, key, start));
        }
        BrokenRun { digest: Some(digest), finding }
    }

    /// Ends a run whose answer was cut short. The caller has the head of the answer by then.
    pub(super) fn cut_short(self) {
        tokio::spawn(async move {
            let (logger, upstream) = (self.context.logger.clone(), self.target.start.id.clone());
            let broken = self.broke().await;
            info!(logger, "answer-cut-short"; "upstream" => %upstream,
                "content" => broken.digest.map(|digest| digest.to_string()),
                "finding" => broken.finding.as_str());
        });
    }
}

/// Reports the end of an upstream that a later start of it has shown.
async fn report_restart(context: Arc<TrafficContext>, key: ContentKey, start: UpstreamStart) {
    for pause in RESTART_CHECK_PAUSES {
        let _ = context.timer.after(pause).await;
        let view = context.view.load();
        let Some(record) = view.upstreams.get(&key.pool).and_then(|list| list.find(&start.id))
        else {
            info!(context.logger, "upstream-restart-unseen"; "upstream" => %start.id,
                "incarnation" => start.incarnation.0, "cause" => "unknown-id",
                "content" => %key.digest);
            return;
        };
        if record.announcement.incarnation > start.incarnation {
            info!(context.logger, "upstream-restarted"; "upstream" => %start.id,
                "incarnation" => start.incarnation.0, "content" => %key.digest);
            let result = RunResult::Ended(start);
            context.quarantine.tell(ContentReport { key, result, trial: None });
            return;
        }
    }
    info!(context.logger, "upstream-restart-unseen"; "upstream" => %start.id,
        "incarnation" => start.incarnation.0, "cause" => "same-start", "content" => %key.digest);
}
