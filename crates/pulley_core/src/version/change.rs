//! Configuration changes: operators' requests, their answers and audit records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::PolicyPlan;
use crate::process::{ActorName, ChangeId, QuantityFault};

/// Number of an accepted configuration; 0 is the empty configuration before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        text.parse()
            .map(Self)
            .map_err(|_| QuantityFault { text: text.to_owned(), expected: "a version number" })
    }
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Identifies the change, so that a resend is recognised.
    pub change_id: ChangeId,
    /// Who requests the change.
    pub actor: ActorName,
    /// The version the change is based on. It is refused if another one is in force when it is
    /// applied.
    pub expect: ConfigVersion,
    /// The version number chosen by the operator. Such a change is based on no version: the highest
    /// number wins.
    pub assigned_version: Option<ConfigVersion>,
    /// When the first host received the change, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// The sheet as submitted, so that it can be shown unchanged.
    pub sheet: String,
    /// The plan read from the sheet.
    pub plan: PolicyPlan,
}

/// Why a change was refused. A refused change has had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeRefusal {
    /// The version in force is not the one that the change is based on.
    VersionMoved {
        /// The version in force.
        current: ConfigVersion,
    },
    /// The change id was already used for a different change.
    ChangeIdReused,
    /// The chosen version is already in force with a different content.
    VersionTaken {
        /// The chosen version.
        version: ConfigVersion,
    },
    /// The sheet has faults.
    SheetFaulty {
        /// All faults, one per line.
        faults: String,
    },
    /// The change exceeds a size limit of the log or of messages.
    TooLarge {
        /// What is too large, with the limit.
        fault: String,
    },
}

/// The answer to a change request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change is on the disks of a quorum and is never lost.
    Accepted {
        /// The version that the change created.
        version: ConfigVersion,
    },
    /// A version higher than the chosen one was already in force; nothing changed.
    Superseded {
        /// The version in force.
        current: ConfigVersion,
    },
    /// The change was not made.
    Refused(ChangeRefusal),
    /// The outcome is not known yet; the request may be sent again with the same change id.
    Unknown {
        /// The cause, as far as it is known.
        why: SmolStr,
    },
}

/// An accepted configuration with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPlan {
    /// The configuration's version.
    pub version: ConfigVersion,
    /// The sheet as the operator submitted it.
    pub sheet: String,
    /// The plan read from the sheet.
    pub plan: PolicyPlan,
}

/// One record of the audit trail. Refusals and membership changes are recorded too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Index of the log entry.
    pub index: u64,
    /// Time of the change, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// Who requested the change.
    pub actor: ActorName,
    /// Identifies the change.
    pub change_id: ChangeId,
    /// The version that the change was based on.
    pub base: ConfigVersion,
    /// Summary of the changed rows.
    pub diff: String,
    /// The outcome as a word that a filter can match, such as `accepted`, `refused` or `member`.
    pub outcome: SmolStr,
    /// The answer to the request.
    pub answer: ChangeAnswer,
}

/// Selects audit records; an absent field matches all records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditFilter {
    /// Earliest time, in milliseconds of Unix time.
    pub since_unix_ms: Option<u64>,
    /// Latest time, in milliseconds of Unix time.
    pub until_unix_ms: Option<u64>,
    /// Selects records of this actor.
    pub actor: Option<ActorName>,
    /// Selects records of this change.
    pub change_id: Option<ChangeId>,
    /// Selects records with this outcome.
    pub outcome: Option<SmolStr>,
    /// Maximum number of records, newest first; 0 means the system's limit.
    pub limit: u32,
}
