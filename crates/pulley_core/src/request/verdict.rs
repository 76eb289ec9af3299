//! Whether a request may have run, and why a request was refused.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::process::QuantityFault;

/// Whether a request may have run on an upstream.
///
/// It is sent with every answer that the system itself makes, in the header
/// `jacinthpulley-verdict`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestVerdict {
    /// No byte of the request can have been acted on. It is safe to send it again.
    NotRun,
    /// The request may or may not have run. Only an idempotent request may be sent again.
    MayHaveRun,
    /// The request ran, and the answer is the upstream's own.
    Ran,
}

impl RequestVerdict {
    /// Returns the header value.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RequestVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RequestVerdict {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(QuantityFault {
                text: text.to_owned(),
                expected: "not-run, may-have-run or ran",
            }),
        }
    }
}

/// Why the system refused a request before it reached any upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// No row of the plan matches the request.
    NoSuchKind,
    /// The plan changed while the request was in progress, and its pool no longer serves its kind.
    PlanChanged,
    /// This host has no configuration that it knows to be current.
    NotReady,
    /// No upstream of the pool takes work.
    NoUpstream,
    /// The wait would be longer than the deadline allows.
    DeadlineTooClose,
    /// Every upstream that was probed is full.
    PoolBusy,
    /// The queue of the pool is full.
    QueueFull,
    /// The process has reached its own limits.
    HostFull,
    /// The process shuts down, perhaps before the request could be answered.
    HostStopping,
    /// The claim on the idempotency key could not be made.
    LedgerUnavailable,
    /// The same idempotency key came with a different request.
    KeyConflict,
    /// The request is malformed or over a size limit.
    BadRequest,
    /// The configuration held here doesn't allow the request, but a newer accepted one may.
    ConfigurationBehind,
    /// Every upstream of the pool has named a request limit, and none has any of it left.
    UpstreamsLimited,
    /// Every upstream of the pool that takes work has asked this host for rest.
    UpstreamsResting,
    /// The request has no key, more than one, or one that no organisation holds.
    UnknownKey,
    /// This host cannot tell whether the request's key has been taken away.
    KeysUnconfirmed,
    /// The request's organisation is over its quota.
    OverQuota,
    /// The replica that keeps the organisation's account does not answer.
    QuotaUnconfirmed,
    /// Upstreams have ended under requests with the same content, and another one is being tried.
    ContentSuspected,
    /// Upstreams have ended under requests with the same content too often.
    ContentQuarantined,
}

impl RefusalCause {
    /// Returns the cause as written in headers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoSuchKind => "no-such-kind",
            Self::PlanChanged => "plan-changed",
            Self::NotReady => "not-ready",
            Self::NoUpstream => "no-upstream",
            Self::DeadlineTooClose => "deadline-too-close",
            Self::PoolBusy => "pool-busy",
            Self::QueueFull => "queue-full",
            Self::HostFull => "host-full",
            Self::HostStopping => "host-stopping",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::KeyConflict => "key-conflict",
            Self::BadRequest => "bad-request",
            Self::ConfigurationBehind => "configuration-behind",
            Self::UpstreamsLimited => "upstreams-limited",
            Self::UpstreamsResting => "upstreams-resting",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::OverQuota => "over-quota",
            Self::QuotaUnconfirmed => "quota-unconfirmed",
            Self::ContentSuspected => "content-suspected",
            Self::ContentQuarantined => "content-quarantined",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
