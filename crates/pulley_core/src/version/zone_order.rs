//! Orders to empty an availability zone or to take it back, and what becomes of them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::LogIndex;
use crate::process::{ActorName, ChangeId, ZoneName};

/// What the upstreams of a zone are to be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneUse {
    /// They get work like all others.
    InUse,
    /// They get no new work.
    Evacuated,
}

impl fmt::Display for ZoneUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InUse => "in-use",
            Self::Evacuated => "evacuated",
        })
    }
}

/// A text that names no use of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is no use of a zone; wanted: in-use or evacuated")]
pub struct ZoneUseFault(String);

impl FromStr for ZoneUse {
    type Err = ZoneUseFault;

    fn from_str(text: &str) -> Result<Self, ZoneUseFault> {
        match text {
            "in-use" => Ok(Self::InUse),
            "evacuated" => Ok(Self::Evacuated),
            other => Err(ZoneUseFault(other.to_owned())),
        }
    }
}

/// An operator's order to empty a zone or to take it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Makes a resend known as such.
    pub change_id: ChangeId,
    /// Who asks.
    pub actor: ActorName,
    /// When the first host received it, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// The zone; one of which nobody has heard yet may be named.
    pub zone: ZoneName,
    /// What its upstreams are to be used for.
    pub zone_use: ZoneUse,
    /// The latest order that the host which received this one knew of. If another order for the
    /// zone has come between, this one is late and changes nothing.
    pub based_on: LogIndex,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneAnswer {
    /// It is on a quorum's disks and holds until another order for the zone.
    Accepted {
        /// The latest order, which every host is to know of.
        revision: LogIndex,
    },
    /// Another order for the zone was accepted since this one was received; nothing changed.
    Overtaken {
        /// What holds for the zone.
        current: ZoneUse,
    },
    /// Too many zones are evacuated already; nothing changed.
    TooMany,
    /// The change id stands for another order; nothing changed.
    ChangeIdReused,
}

/// Asks a host to carry out an order for a zone; a [`ZoneAnswer`] comes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneUpload {
    /// Makes a resend known as such.
    pub change_id: ChangeId,
    /// Who asks.
    pub actor: ActorName,
    /// The zone.
    pub zone: ZoneName,
    /// What its upstreams are to be used for.
    pub zone_use: ZoneUse,
}

/// The zones that are evacuated as of one place of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The entry of the latest order that changed anything; what has a later one is newer.
    pub revision: LogIndex,
    /// The zones, in the order of their names.
    pub zones: Vec<ZoneName>,
}

impl EvacuatedZones {
    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// What the upstreams of a zone are used for.
    #[must_use]
    pub fn zone_use(&self, zone: &ZoneName) -> ZoneUse {
        if self.contains(zone) { ZoneUse::Evacuated } else { ZoneUse::InUse }
    }
}
