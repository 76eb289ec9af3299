//! Admitting a request by what is known of its content.

use std::sync::Arc;

use http::StatusCode;
use pulley_core::process::{ContentDigest, ContentKey};
use pulley_core::{RequestVerdict, UpstreamId};

use super::SystemAnswer;
use super::attempt_fault::AttemptFault;
use super::content_run::{ContentRun, ContentTrial};
use super::request_attempt::Result;
use super::request_run::RequestRun;
use crate::connection::UpstreamTarget;

/// Divides the time left until the deadline. A request waits for the resulting part for its turn
/// among those with its content; the rest is for the run itself.
const TURN_DIVISOR: u32 = 2;

impl RequestRun {
    /// Returns the content's digest while contents with its head are suspected, if the whole body has
    /// been read.
    pub(super) fn content_digest(&self) -> Option<ContentDigest> {
        self.content.suspect_digest(&self.context)
    }

    /// Waits until the request may run, if its content is suspected. It then holds a trial.
    ///
    /// # Errors
    /// The content is held or quarantined, or others with it took all of the time.
    pub(super) async fn admit_content(&self) -> Result<()> {
        let pool = &self.row().pool;
        if self.has_trial() || !self.content.may_be_suspect(&self.context) {
            return Ok(());
        }
        let reading = self.content.read_digest_to_send(&self.context);
        let digest = self.context.timer.run_until(self.terms.deadline, reading).await;
        let Some(digest) = digest.flatten() else { return Ok(()) };
        let key = ContentKey { pool: pool.clone(), digest };
        let now = self.context.clock.now();
        let turn_deadline = now + self.terms.deadline.since(now) / TURN_DIVISOR;
        let (gate, lease) = (&self.context.quarantine, self.row().deadline);
        let admitted = gate.admit(&self.context.timer, &key, turn_deadline, lease).await;
        if let Some(number) = admitted.map_err(AttemptFault::refused_with)? {
            let trial = ContentTrial::new(Arc::clone(&self.context), key.digest, number);
            self.keep_trial(Some(trial));
        }
        Ok(())
    }

    /// Whether the request's content is suspected.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect_key().is_some_and(|key| self.context.quarantine.is_suspect(&key))
    }

    /// Whether the content has become suspected since the request was placed. It may not be sent
    /// then without a trial.
    pub(super) fn needs_trial(&self, run: &ContentRun) -> bool {
        !run.is_trial() && self.is_suspect()
    }

    /// Returns the answer that ends the request after a failed attempt if its content is held or
    /// quarantined by now. The attempt may have run, so that the status must not promise that it has not.
    pub(super) fn quarantine_refusal(&self) -> Option<SystemAnswer> {
        let refusal = self.context.quarantine.refusal(&self.suspect_key()?)?;
        let status = match self.verdict {
            RequestVerdict::NotRun => refusal.status,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => StatusCode::BAD_GATEWAY,
        };
        Some(SystemAnswer { status, ..refusal })
    }

    /// Begins the run of the content at an upstream, as a trial if the request holds one.
    pub(super) fn begin_content(&self, target: &UpstreamTarget) -> ContentRun {
        let (context, content) = (Arc::clone(&self.context), Arc::clone(&self.content));
        let at = (self.kind.clone(), target.clone());
        ContentRun::new(context, content, at, self.terms.deadline, self.take_trial())
    }

    /// Ends the run of a failed attempt at an upstream. One that the caller aborted is reported as given
    /// up.
    pub(super) async fn end_content(
        &self,
        run: ContentRun,
        fault: &AttemptFault,
        upstream: &UpstreamId,
    ) {
        if fault.is_broken() {
            self.record_broken(run.broke().await);
        } else if fault.is_time_out() {
            run.timed_out(self.is_silent(upstream));
        } else if !fault.is_caller_abort() {
            run.discard();
        }
    }

    /// Keeps the trial of a run that was not sent for the next placement.
    pub(super) fn return_trial(&self, run: ContentRun) {
        self.keep_trial(run.into_trial());
    }

    /// Returns the content's key; `None` if no content with its head is suspected.
    fn suspect_key(&self) -> Option<ContentKey> {
        let digest = self.content_digest()?;
        Some(ContentKey { pool: self.row().pool.clone(), digest })
    }
}
