//! The run of a request's content at an upstream, which may end the upstream.

use std::sync::Arc;

use pulley_core::process::ContentDigest;
use slog::info;

use super::TrafficContext;
use super::request_content::RequestContent;
use crate::connection::{EndFinding, UpstreamTarget};

/// What is known of a run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenRun {
    /// The content's digest; `None` if the body is too long or was cut short.
    pub(super) digest: Option<ContentDigest>,
    pub(super) finding: EndFinding,
}

/// The run of a request's content at an upstream, from its sending to the end of the answer.
#[derive(Debug)]
pub(super) struct ContentRun {
    context: Arc<TrafficContext>,
    content: Arc<RequestContent>,
    target: UpstreamTarget,
}

impl ContentRun {
    /// Begins a run.
    pub(super) const fn new(
        context: Arc<TrafficContext>,
        content: Arc<RequestContent>,
        target: UpstreamTarget,
    ) -> Self {
        Self { context, content, target }
    }

    /// Ends a run whose connection broke: finds out whether the upstream has ended.
    pub(super) async fn broke(self) -> BrokenRun {
        let finding = self.context.connections.check_end(&self.target).await;
        let digest = self.content.read_digest(&self.context.content_keys).await;
        BrokenRun { digest, finding }
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
