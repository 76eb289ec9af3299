//! Orders to evacuate an availability zone or to restore it, and their answers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::LogIndex;
use crate::process::{ActorName, ChangeId, ZoneName};

/// Whether the upstreams of a zone are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneUse {
    /// They receive requests as usual.
    InUse,
    /// They receive no new requests.
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

/// The error for a text that is not a [`ZoneUse`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is not a use of a zone; expected in-use or evacuated")]
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

/// An operator's order to evacuate a zone or to restore it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Identifies the order, so that a resend is recognised.
    pub change_id: ChangeId,
    /// Who gives the order.
    pub actor: ActorName,
    /// When the first host received the order, in milliseconds of Unix time.
    pub received_unix_ms: u64,
    /// The zone; it need not be known to any host yet.
    pub zone: ZoneName,
    /// The new use of the zone.
    pub zone_use: ZoneUse,
    /// Log index of the latest order known to the host that received this one. If another order for
    /// the zone was accepted after that, this one is late and changes nothing.
    pub based_on: LogIndex,
}

/// The answer to a zone order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneAnswer {
    /// The order is on the disks of a quorum and holds until another order for the zone.
    Accepted {
        /// Log index of the latest order, which every host has to learn.
        revision: LogIndex,
    },
    /// Another order for the zone was accepted after this one was received; nothing changed.
    Overtaken {
        /// The current use of the zone.
        current: ZoneUse,
    },
    /// Too many zones are evacuated already; nothing changed.
    TooMany,
    /// The change id was already used for another order; nothing changed.
    ChangeIdReused,
}

/// A request to a host to carry out a zone order; the reply is a [`ZoneAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneUpload {
    /// Identifies the order, so that a resend is recognised.
    pub change_id: ChangeId,
    /// Who gives the order.
    pub actor: ActorName,
    /// The zone.
    pub zone: ZoneName,
    /// The new use of the zone.
    pub zone_use: ZoneUse,
}

/// The evacuated zones as of one log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Log index of the latest order that changed anything; a higher one is newer.
    pub revision: LogIndex,
    /// The zones, sorted by name.
    pub zones: Vec<ZoneName>,
}

impl EvacuatedZones {
    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// Returns the use of a zone.
    #[must_use]
    pub fn zone_use(&self, zone: &ZoneName) -> ZoneUse {
        if self.contains(zone) { ZoneUse::Evacuated } else { ZoneUse::InUse }
    }
}
