//! Requests to the control thread, from the traffic side and the listeners' APIs.

use std::net::SocketAddr;

use pulley_core::process::{
    Announcement, ContentDigest, ContentReport, Incarnation, ObservedLimit, PermitAsk, QuotaAsk,
    RelayHost, TrialAsk, TrialNumber,
};
use pulley_core::version::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRequest, EvacuatedZones, SheetView, ZoneAnswer,
    ZoneOrder,
};
pub use pulley_core::version::{ClaimAnswer, FencingToken, RecordedAnswer, ReplicaChange};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::{ContentFilter, ContentStatus};

/// Result of a request to the control thread.
pub type Result<T> = std::result::Result<T, ControlFault>;

/// Why a request to the control thread failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlFault {
    /// Its queue is full. Nothing was done.
    #[error("the control thread is busy; nothing was done")]
    Busy,
    /// It has ended or dropped the request. Whether anything was done is unknown.
    #[error("the control thread gave no answer")]
    NoAnswer,
    /// No quorum can be reached. Nothing was done.
    #[error("no quorum: {0}")]
    NoQuorum(String),
    /// The request was refused. Nothing was done.
    #[error("{0}")]
    Refused(String),
}

/// A claim to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's `Idempotency-Key`, scoped by service and kind.
    pub key: String,
    /// A digest of method, path and body.
    pub digest: [u8; 32],
}

/// A request to the control thread, with the channel for its answer.
#[derive(Debug)]
pub enum ControlRequest {
    /// An upstream's announcement.
    Announce(Announcement, oneshot::Sender<Result<()>>),
    /// An upstream has left. Holds the incarnation that left, if the upstream names it.
    UpstreamLeft(pulley_core::UpstreamId, Option<Incarnation>, oneshot::Sender<Result<()>>),
    /// Adds addresses of other hosts to the seeds.
    Seeds(Vec<SocketAddr>),
    /// An upstream said in an answer that it drains.
    ObservedDrain(pulley_core::process::UpstreamStart),
    /// An upstream named a request limit in an answer, or no longer names one.
    ObservedLimit(ObservedLimit),
    /// Asks for permits to send requests to upstreams that have named a limit. The answers go to the
    /// schedulers.
    AskPermits(Vec<PermitAsk>),
    /// Asks for permits of organisations' quotas. The answers go to the gate of quotas.
    AskQuotas(Vec<QuotaAsk>),
    /// The end of a request whose content is, or becomes, suspected. It is answered once this host's
    /// gate counts it.
    ReportContent(ContentReport, Option<oneshot::Sender<()>>),
    /// A trial of a content has ended, and nothing is learned from it.
    EndTrial(ContentDigest, TrialNumber),
    /// Asks whether a request with a suspected content may run. The answer goes to the gate.
    AskTrial(TrialAsk),
    /// Asks for the contents that are suspected or quarantined.
    Contents(oneshot::Sender<Vec<ContentStatus>>),
    /// An operator ends the suspicion of contents. Answered with their number.
    ClearContents(ContentFilter, oneshot::Sender<usize>),
    /// Asks for hosts that may open connections to upstreams for this one. Each number gives another
    /// choice.
    RelayHosts(u64, oneshot::Sender<Vec<RelayHost>>),
    /// An operator's change of the configuration.
    Apply(Box<ChangeRequest>, oneshot::Sender<ChangeAnswer>),
    /// Asks for the sheet that a quorum confirms to be current.
    CurrentPlan(oneshot::Sender<Result<SheetView>>),
    /// Asks for records of the audit trail.
    Audit(AuditFilter, oneshot::Sender<Result<Vec<AuditRecord>>>),
    /// Asks for the host's status as JSON.
    Status(oneshot::Sender<Result<serde_json::Value>>),
    /// Adds or removes a replica.
    Replica(ReplicaChange, oneshot::Sender<Result<serde_json::Value>>),
    /// An operator drains an upstream.
    Drain(pulley_core::UpstreamId, oneshot::Sender<Result<()>>),
    /// An operator's order for a zone. The control thread sets its `based_on`.
    OrderZone(Box<ZoneOrder>, oneshot::Sender<Result<ZoneAnswer>>),
    /// Asks for the zones that a quorum confirms to be evacuated.
    EvacuatedZones(oneshot::Sender<Result<EvacuatedZones>>),
    /// A claim on an idempotency key.
    Claim(ClaimRequest, oneshot::Sender<ClaimAnswer>),
    /// The outcome of a claimed request. Without an answer, the request may have run.
    Record(ClaimRequest, FencingToken, Option<RecordedAnswer>, oneshot::Sender<Result<()>>),
    /// Releases a claim, because no byte of the request was sent.
    Release(ClaimRequest, FencingToken, oneshot::Sender<Result<()>>),
    /// The host shuts down: it hands over leadership and returns its shares.
    ShutDown(oneshot::Sender<()>),
}

/// Sends requests to the control thread through a bounded queue.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    requests: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// Creates a handle and the receiver from which the control thread reads.
    #[must_use]
    pub fn channel(depth: usize) -> (Self, mpsc::Receiver<ControlRequest>) {
        let (requests, receiver) = mpsc::channel(depth);
        (Self { requests }, receiver)
    }

    /// Sends a request and waits for its answer.
    ///
    /// ```ignore
    /// let sheet = handle.ask(ControlRequest::CurrentPlan).await??;
    /// ```
    ///
    /// # Errors
    /// Returns `Busy` if the queue is full (nothing was done), and `NoAnswer` if the control thread
    /// has ended or dropped the request.
    pub async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(question(reply)).map_err(|_| ControlFault::Busy)?;
        answer.await.map_err(|_| ControlFault::NoAnswer)
    }

    /// Sends a request that needs no answer. It is dropped if the queue is full.
    pub fn tell(&self, request: ControlRequest) {
        let _ = self.requests.try_send(request);
    }
}
