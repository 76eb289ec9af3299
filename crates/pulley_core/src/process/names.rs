//! Checked names: hosts, zones, upstreams, pools, services, kinds, actors and change ids.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The longest name accepted, in bytes; it keeps every message that carries names bounded.
pub(crate) const NAME_LIMIT: usize = 64;

/// Why a text is no name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameFault {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than 64 bytes.
    #[error("a name has at most 64 bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character that names may not hold.
    #[error("a name holds letters, digits and . _ : - only, not {0:?}")]
    BadCharacter(char),
}

fn checked(text: &str) -> Result<SmolStr, NameFault> {
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
            /// The name as text.
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
                checked(text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameFault;

            fn try_from(text: SmolStr) -> Result<Self, NameFault> {
                checked(&text).map(Self)
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
    /// Names one host of the system.
    HostId;
    /// Names one availability zone.
    ZoneName;
    /// Names one upstream, unique among all pools.
    UpstreamId;
    /// Names a pool of like upstreams.
    PoolName;
    /// Names a service that has a share of a pool.
    ServiceName;
    /// Names a kind of request within a service.
    KindName;
    /// Names one change, so that a resend is known as such.
    ChangeId;
    /// Names who asked for a change.
    ActorName;
    /// Names one installation, so that two never mix.
    ClusterId;
}
