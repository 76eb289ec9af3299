//! What the operators' client and a host send each other about sheets.

use serde::{Deserialize, Serialize};

use super::ConfigVersion;
use crate::process::{ActorName, ChangeId};

/// Asks a host to put a sheet in force; a [`crate::version::ChangeAnswer`] comes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetUpload {
    /// Makes a resend known as such.
    pub change_id: ChangeId,
    /// Who asks.
    pub actor: ActorName,
    /// The version that the sheet is based on.
    pub expect: ConfigVersion,
    /// The version that the operator gives it: the highest wins then, whatever it is based on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub given: Option<ConfigVersion>,
    /// The sheet as the planners exported it.
    pub sheet: String,
}

/// The sheet in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetView {
    /// Its version.
    pub version: ConfigVersion,
    /// The sheet as it was given.
    pub sheet: String,
}
