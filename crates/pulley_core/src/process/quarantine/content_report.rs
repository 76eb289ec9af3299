//! What the traffic side of a host and its exchange of contents tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::{
    ContentDigest, ContentKey, HostId, Moment, PoolName, StartEvidence, SuspectRecord, TrialNumber,
    TrialVerdict, UpstreamStart,
};

/// A run that got no whole answer, at an upstream that may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnansweredRun {
    /// The start of the upstream that the request was sent to.
    pub start: UpstreamStart,
    /// The upstream's address.
    pub address: SocketAddr,
    /// Whether the upstream's connection broke, or the upstream said nothing. The other hosts then
    /// count the run until it is decided. Otherwise only this host follows it.
    pub is_suspicious: bool,
    /// Whether the upstream was known to be alive when the request was sent.
    pub was_proven: bool,
}

/// What became of an upstream that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// This start of it ended while the request ran.
    Ended(UpstreamStart),
    /// It is not known whether it ended.
    Unanswered(UnansweredRun),
    /// A run that was reported as unanswered is no sign of an end: this start of it lives on.
    Refuted(UpstreamStart),
    /// It answered the whole request.
    Survived,
}

/// The end of a request with a content, as the traffic side saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentReport {
    /// The content.
    pub key: ContentKey,
    /// All pools that the request's row is split over.
    pub row_pools: Vec<PoolName>,
    /// When the run began, by this host's clock.
    pub began: Moment,
    /// When it was given up or answered, at its deadline at the latest.
    pub ended: Moment,
    /// What became of the upstream.
    pub result: RunResult,
    /// The request's trial, if it was one.
    pub trial: Option<TrialNumber>,
}

/// A question of this host's traffic side whether a request may be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialAsk {
    /// The content.
    pub key: ContentKey,
    /// The number of the trial.
    pub number: TrialNumber,
    /// The time after which the trial has ended in any case.
    pub lease: Duration,
}

/// An action for the caller of [`super::QuarantineExchange`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOutput {
    /// Send a message to a host.
    ToHost {
        /// The receiver.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Send a message to an address.
    ToAddress {
        /// The receiver's address.
        to: SocketAddr,
        /// The encoded message.
        body: Bytes,
    },
    /// Give this host's traffic side the answer to a question.
    Verdict {
        /// The number of the trial.
        number: TrialNumber,
        /// The answer.
        verdict: TrialVerdict,
    },
    /// Log what a run of this host was decided by.
    Decided {
        /// The content.
        content: ContentDigest,
        /// The start of the upstream at which it ran.
        start: UpstreamStart,
        /// What was found of that start; none if nothing was in time.
        evidence: StartEvidence,
    },
    /// Tell this host's traffic side of a content's record; `None` if it has been removed.
    Changed(ContentDigest, Option<SuspectRecord>),
}
