//! Messages about sheets between the operators' client and a host.

use serde::{Deserialize, Serialize};

use super::ConfigVersion;
use crate::process::{ActorName, ChangeId};

/// A request to a host to put a sheet in force; the reply is a [`crate::version::ChangeAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetUpload {
    /// Identifies the change, so that a resend is recognised.
    pub change_id: ChangeId,
    /// Who requests the change.
    pub actor: ActorName,
    /// The version that the sheet is based on.
    pub expect: ConfigVersion,
    /// The version number chosen by the operator. If it is set, the highest number wins, whatever
    /// `expect` is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub given: Option<ConfigVersion>,
    /// The sheet as exported by the planners.
    pub sheet: String,
}

/// The sheet in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetView {
    /// The sheet's version.
    pub version: ConfigVersion,
    /// The sheet as the operator submitted it.
    pub sheet: String,
}
