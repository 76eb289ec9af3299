//! Changes of the configuration: what an operator asks and what becomes of it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::PolicyPlan;
use crate::process::{ActorName, ChangeId, QuantityFault};

/// Numbers the accepted configurations; 0 is the empty one before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version after this one.
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
            .map_err(|_| QuantityFault { text: text.to_owned(), wanted: "a version number" })
    }
}

/// A change as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Makes a resend known as such.
    pub change_id: ChangeId,
    /// Who asks.
    pub actor: ActorName,
    /// The version it is based on; the change is refused if another is in force by then.
    pub expect: ConfigVersion,
    /// The version that the operator gives it. It then is based on none: the highest wins.
    pub given: Option<ConfigVersion>,
    /// When the first host received it, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// The sheet as given, so that it can be shown as it came.
    pub sheet: String,
    /// The checked sheet.
    pub plan: PolicyPlan,
}

/// Why a change was refused; refused always means not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeRefusal {
    /// Another version is in force than the one the change is based on.
    VersionMoved {
        /// The version in force.
        current: ConfigVersion,
    },
    /// The change id was used before for a different change.
    ChangeIdReused,
    /// The version given is in force with another content.
    VersionTaken {
        /// That version.
        version: ConfigVersion,
    },
    /// The sheet has faults; the text names them.
    SheetFaulty {
        /// Every fault, a line each.
        faults: String,
    },
    /// It is larger than what the system can carry everywhere.
    TooLarge {
        /// What is too large, and the limit.
        fault: String,
    },
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// It is on a quorum's disks and never reverts.
    Accepted {
        /// The version it became.
        version: ConfigVersion,
    },
    /// A higher version than the one given was in force already; nothing changed.
    Superseded {
        /// The version in force.
        current: ConfigVersion,
    },
    /// It was not done.
    Refused(ChangeRefusal),
    /// Nobody can say yet; the same change id may be sent again.
    Unknown {
        /// What is known of the cause.
        why: SmolStr,
    },
}

/// An accepted configuration with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPlan {
    /// The version.
    pub version: ConfigVersion,
    /// The sheet as the operator gave it.
    pub sheet: String,
    /// The checked sheet.
    pub plan: PolicyPlan,
}

/// One line of the audit trail; refusals and membership changes have theirs too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Its place in the log.
    pub index: u64,
    /// When, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// Who.
    pub actor: ActorName,
    /// Which change.
    pub change_id: ChangeId,
    /// The version it was based on.
    pub base: ConfigVersion,
    /// What changed, row by row, in short.
    pub diff: String,
    /// What became of it, in words a filter can match: `accepted`, `refused`, `member`.
    pub outcome: SmolStr,
    /// The answer given.
    pub answer: ChangeAnswer,
}

/// Which audit records are wanted; an absent field matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditFilter {
    /// Not before, in milliseconds of Unix time.
    pub since_unix_ms: Option<u64>,
    /// Not after, in milliseconds of Unix time.
    pub until_unix_ms: Option<u64>,
    /// By this actor only.
    pub actor: Option<ActorName>,
    /// Of this change only.
    pub change_id: Option<ChangeId>,
    /// With this outcome only.
    pub outcome: Option<SmolStr>,
    /// At most so many, the newest first.
    pub limit: u32,
}
