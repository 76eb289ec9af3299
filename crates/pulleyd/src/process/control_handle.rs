//! How the traffic side and the operators' listener speak to the control thread.

use std::net::SocketAddr;

use pulley_core::process::{Announcement, Incarnation};
use pulley_core::version::{
    AuditFilter, AuditRecord, ChangeAnswer, ChangeRequest, EvacuatedZones, SheetView, ZoneAnswer,
    ZoneOrder,
};
pub use pulley_core::version::{ClaimAnswer, FencingToken, RecordedAnswer, ReplicaChange};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// What the control thread's callers get back.
pub type Result<T> = std::result::Result<T, ControlFault>;

/// Why the control thread gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlFault {
    /// Its queue is full; nothing was done.
    #[error("the control thread is busy; nothing was done")]
    Busy,
    /// It has ended, or dropped the question; what was done is unknown.
    #[error("the control thread gave no answer")]
    NoAnswer,
    /// No quorum can be reached; nothing was done.
    #[error("no quorum: {0}")]
    NoQuorum(String),
    /// The request was looked at and refused; nothing was done.
    #[error("{0}")]
    Refused(String),
}

/// Asks to be the one who runs a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's `Idempotency-Key`, scoped by service and kind.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: [u8; 32],
}

/// A question to the control thread, with where its answer goes.
#[derive(Debug)]
pub enum ControlRequest {
    /// An upstream's announcement.
    Announce(Announcement, oneshot::Sender<Result<()>>),
    /// An upstream says that it has left; the start that left, if it tells.
    Gone(pulley_core::UpstreamId, Option<Incarnation>, oneshot::Sender<Result<()>>),
    /// Other addresses of hosts to ask first.
    Seeds(Vec<SocketAddr>),
    /// An upstream said in a reply that it drains.
    ObservedDrain(pulley_core::UpstreamId),
    /// An operator's change.
    Apply(Box<ChangeRequest>, oneshot::Sender<ChangeAnswer>),
    /// The sheet that a quorum confirms to be current.
    CurrentPlan(oneshot::Sender<Result<SheetView>>),
    /// The audit trail.
    Audit(AuditFilter, oneshot::Sender<Result<Vec<AuditRecord>>>),
    /// The host's status as JSON.
    Status(oneshot::Sender<Result<serde_json::Value>>),
    /// Adds or removes a replica.
    Replica(ReplicaChange, oneshot::Sender<Result<serde_json::Value>>),
    /// An operator drains an upstream.
    Drain(pulley_core::UpstreamId, oneshot::Sender<Result<()>>),
    /// An operator's order for a zone; the control thread fills in what it is based on.
    OrderZone(Box<ZoneOrder>, oneshot::Sender<Result<ZoneAnswer>>),
    /// The zones that a quorum confirms to be evacuated.
    EvacuatedZones(oneshot::Sender<Result<EvacuatedZones>>),
    /// A claim on an idempotency key.
    Claim(ClaimRequest, oneshot::Sender<ClaimAnswer>),
    /// The outcome of a claimed request; no answer means that it may have run.
    Record(ClaimRequest, FencingToken, Option<RecordedAnswer>, oneshot::Sender<Result<()>>),
    /// Gives a claim back, because not a byte was sent.
    Release(ClaimRequest, FencingToken, oneshot::Sender<Result<()>>),
    /// The host is to leave: hand over leadership, give back shares.
    ShutDown(oneshot::Sender<()>),
}

/// The way to the control thread; its queue is bounded.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    requests: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// Makes a handle and the receiver that the control thread reads.
    #[must_use]
    pub fn channel(depth: usize) -> (Self, mpsc::Receiver<ControlRequest>) {
        let (requests, receiver) = mpsc::channel(depth);
        (Self { requests }, receiver)
    }

    /// Asks a question and waits for its answer.
    ///
    /// ```ignore
    /// let sheet = handle.ask(ControlRequest::CurrentPlan).await??;
    /// ```
    ///
    /// # Errors
    /// `Busy` if the queue is full (nothing was done), `NoAnswer` if the control thread is gone.
    pub async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(question(reply)).map_err(|_| ControlFault::Busy)?;
        answer.await.map_err(|_| ControlFault::NoAnswer)
    }

    /// Tells the control thread something that needs no answer; dropped if it is busy.
    pub fn tell(&self, request: ControlRequest) {
        let _ = self.requests.try_send(request);
    }
}
