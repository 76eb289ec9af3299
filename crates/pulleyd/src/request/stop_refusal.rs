//! Refuses requests that a host which shuts down does not pass on any more.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::{Either, select};
use http::Response;
use pulley_core::RefusalCause;
use pulley_core::process::RequestOutlook;

use super::answer_body::UpstreamAnswer;
use super::request_run::RequestRun;
use super::{SystemAnswer, TrafficContext};

/// The result of a step in passing a request on, or the answer that ends it.
type Result<T> = std::result::Result<T, SystemAnswer>;

/// `Retry-After` of a host that shuts down. Other hosts take the request at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

impl TrafficContext {
    /// Checks that a request may be passed on to an upstream now.
    ///
    /// # Errors
    /// Returns the refusal if this host shuts down and does not pass the request on any more.
    pub(super) fn check_shutdown(&self, outlook: RequestOutlook) -> Result<()> {
        let now = self.clock.now();
        match self.shutdown.schedule() {
            Some(schedule) if !schedule.may_pass_on(now, outlook) => Err(stop_refusal()),
            _ => Ok(()),
        }
    }

    /// Runs a wait of a request that has not been passed on, until this host shuts down and does not pass
    /// it on any more.
    ///
    /// # Errors
    /// Returns the refusal, which drops the wait.
    pub(super) async fn wait_unless_stopped<T>(
        &self,
        outlook: RequestOutlook,
        wait: impl Future<Output = T>,
    ) -> Result<T> {
        match select(pin!(wait), pin!(self.wait_for_refusal(outlook))).await {
            Either::Left((done, _)) => Ok(done),
            Either::Right(((), _)) => Err(stop_refusal()),
        }
    }

    /// Resolves once this host shuts down and does not pass such a request on any more.
    pub(super) async fn wait_for_refusal(&self, outlook: RequestOutlook) {
        let until = self.shutdown.wait().await.passes_on_until(outlook);
        self.timer.at(until).await;
    }
}

impl RequestRun {
    /// Runs the request. Where it waits, it is refused once this host does not pass it on any more; an
    /// attempt that was sent goes on.
    ///
    /// # Errors
    /// Returns the answer that ends the request: the refusal, or that of a failed attempt.
    pub(super) async fn run_unless_stopped(&mut self) -> Result<Response<UpstreamAnswer>> {
        let (context, has_sent) = (Arc::clone(&self.context), Arc::clone(&self.has_sent));
        let refusal = pin!(context.wait_for_refusal(self.terms.outlook(self.row())));
        match select(pin!(self.run_within_quota()), refusal).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(((), running)) if has_sent.load(Ordering::Relaxed) => running.await,
            Either::Right(((), _)) => Err(stop_refusal()),
        }
    }

    /// Returns what is known of the request.
    pub(super) fn outlook(&self) -> RequestOutlook {
        let is_upload = !self.body.has_ended();
        RequestOutlook { is_upload, ..self.terms.outlook(self.row()) }
    }

    /// Reads the rest of the body if this host shuts down and passes the request on only with its whole
    /// body: a caller that is slow to end it would otherwise make the work begin too late.
    pub(super) async fn read_upload(&self) {
        if !self.body.has_ended() && self.context.check_shutdown(self.outlook()).is_err() {
            self.body.keep_rest(&self.context.held_bodies).await;
        }
    }
}

/// Returns the answer to a request that this host does not pass on any more.
fn stop_refusal() -> SystemAnswer {
    SystemAnswer::refused(RefusalCause::HostStopping, Some(STOPPING_RETRY))
}
