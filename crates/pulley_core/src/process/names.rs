//! Validated names: hosts, zones, upstreams, pools, services, kinds, actors and change ids.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The length limit of a name, in bytes. It bounds the size of every message that carries names.
pub(crate) const NAME_LIMIT: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameFault {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than 64 bytes.
    #[error("a name has at most 64 bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed in names.
    #[error("a name holds letters, digits and . _ : - only, not {0:?}")]
    BadCharacter(char),
}

fn validate(text: &str) -> Result<SmolStr, NameFault> {
    if text.is_empty() {
        return Err(NameFault::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(NameFault::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(bad) => Err(NameFault::BadCharacter(bad)),
        None => Ok(SmolStr::new(text)),
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameFault;

            fn from_str(text: &str) -> Result<Self, NameFault> {
                validate(text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameFault;

            fn try_from(text: SmolStr) -> Result<Self, NameFault> {
                validate(&text).map(Self)
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

name_types! {
    /// The name of a host of the system.
    HostId;
    /// The name of an availability zone.
    ZoneName;
    /// The name of an upstream, unique among all pools.
    UpstreamId;
    /// The name of a pool of interchangeable upstreams.
    PoolName;
    /// The name of a service that has a share of a pool.
    ServiceName;
    /// The name of a kind of request within a service.
    KindName;
    /// The name of a change, by which a resent change is recognised.
    ChangeId;
    /// The name of the actor who requested a change.
    ActorName;
    /// The name of an organisation whose callers send requests.
    OrganisationName;
    /// The name of an installation, which keeps different installations apart.
    ClusterId;
}
