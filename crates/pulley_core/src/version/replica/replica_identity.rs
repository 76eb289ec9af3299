//! Identity of a replica, and the numbers that order its log.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::process::{ClusterId, HostId, MemberId, QuantityFault};

/// Identity of a replica; its data folder belongs to this identity only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The host it runs on.
    pub host: HostId,
    /// Its member id in the replicated log.
    pub member: MemberId,
    /// The installation it belongs to.
    pub cluster: ClusterId,
}

/// Identifies a disk; drawn at random when a data folder is created.
///
/// A host whose disk was lost or replaced returns with another id, so it cannot pass for its former
/// member. That member may have voted and acknowledged entries that the new disk does not have.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for DiskId {
    type Err = QuantityFault;

    fn from_str(text: &str) -> Result<Self, QuantityFault> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| QuantityFault { text: text.to_owned(), expected: "a disk id in hex" })
    }
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident, $wanted:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the previous number; 0 stays 0.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = QuantityFault;

            fn from_str(text: &str) -> Result<Self, QuantityFault> {
                text.parse()
                    .map(Self)
                    .map_err(|_| QuantityFault { text: text.to_owned(), expected: $wanted })
            }
        }
    )*};
}

number_types! {
    /// Number of a leader's term.
    Term, "a term number";
    /// The index of an entry in the log; the first entry has 1.
    LogIndex, "a log index";
    /// Milliseconds that leaders have counted since the log began.
    ///
    /// It advances by monotonic clocks only and stops while there is no leader, so it never runs
    /// ahead of real time. Anything kept for a duration is kept at least that long, even where a
    /// host's wall clock jumps.
    LogTime, "a log time in milliseconds";
    /// Number of a write that a replica has handed to its storage.
    PersistTicket, "a ticket number";
}
