//! The columns of a sheet.

use std::fmt;

/// A column of a sheet. A sheet has each column at most once, in any order. The first twelve are
/// required, the others optional.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SheetColumn {
    /// The pool whose upstreams answer the requests.
    Pool,
    /// The service that the capacity is assigned to.
    Service,
    /// The kind of request, unique within its service.
    Kind,
    /// The method that matches.
    Method,
    /// The path prefix that matches.
    PathPrefix,
    /// The priority, from 0 (highest) to 9 (lowest).
    Priority,
    /// The fraction of the pool's slots that the row adds to its service's share.
    Share,
    /// Slots reserved for the kind.
    ReservedSlots,
    /// Default deadline, in milliseconds.
    DeadlineMs,
    /// Whether running a request twice does no harm.
    Idempotent,
    /// How long a request occupies a slot.
    Length,
    /// Probes per second that the row adds to its pool's budget.
    ProbesPerS,
    /// The host name that matches.
    Host,
    /// The row's weight relative to rows that match the same requests.
    Weight,
    /// Maximum number of upstreams that one request is sent to.
    Attempts,
    /// Size class of the answers.
    Answers,
    /// Target latency: the time within which an answer is worth most.
    TargetMs,
    /// Maximum number of connections to one upstream of the pool.
    Connections,
    /// Whether requests need no key.
    Public,
}

impl SheetColumn {
    /// The columns that a sheet may omit.
    pub const OPTIONAL: [Self; 7] = [
        Self::Host,
        Self::Weight,
        Self::Attempts,
        Self::Answers,
        Self::TargetMs,
        Self::Connections,
        Self::Public,
    ];

    /// The columns that every sheet must have, in the order in which they are printed.
    pub const REQUIRED: [Self; 12] = [
        Self::Pool,
        Self::Service,
        Self::Kind,
        Self::Method,
        Self::PathPrefix,
        Self::Priority,
        Self::Share,
        Self::ReservedSlots,
        Self::DeadlineMs,
        Self::Idempotent,
        Self::Length,
        Self::ProbesPerS,
    ];

    /// Returns all columns, the optional ones last.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::REQUIRED.into_iter().chain(Self::OPTIONAL)
    }

    /// Returns the column's name in the header row.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pool => "pool",
            Self::Service => "service",
            Self::Kind => "kind",
            Self::Method => "method",
            Self::PathPrefix => "path_prefix",
            Self::Priority => "priority",
            Self::Share => "share",
            Self::ReservedSlots => "reserved_slots",
            Self::DeadlineMs => "deadline_ms",
            Self::Idempotent => "idempotent",
            Self::Length => "length",
            Self::ProbesPerS => "probes_per_s",
            Self::Host => "host",
            Self::Weight => "weight",
            Self::Attempts => "attempts",
            Self::Answers => "answers",
            Self::TargetMs => "target_ms",
            Self::Connections => "connections",
            Self::Public => "public",
        }
    }

    /// Describes the allowed values of the column's cells, for the planner.
    #[must_use]
    pub const fn allowed(self) -> &'static str {
        match self {
            Self::Pool | Self::Service | Self::Kind => {
                "1 to 64 letters, digits and . _ : - characters"
            }
            Self::Method => "any, or one of GET HEAD POST PUT PATCH DELETE OPTIONS",
            Self::PathPrefix => {
                "a path of 1 to 256 visible ASCII characters that starts with / and has no ? or #"
            }
            Self::Priority => "a whole number from 0 (first) to 9 (last)",
            Self::Share => "a share such as 25%, 0.25 or 0,25, from 0 to 100%",
            Self::ReservedSlots => "a whole number from 0 to 10000",
            Self::DeadlineMs => "a whole number of milliseconds from 1 to 600000",
            Self::Idempotent => "yes or no",
            Self::Length => "short or long",
            Self::ProbesPerS => "a number of probes a second, from 0 to 100000",
            Self::Host => "any or nothing, or one host name without a port",
            Self::Weight => "a whole number from 0 to 1000000, or nothing for 100",
            Self::Attempts => "a whole number from 1 to 10, or nothing for 3",
            Self::Answers => "small or large, or nothing for small",
            Self::TargetMs => "a whole number of milliseconds from 1 to 600000, or nothing",
            Self::Connections => "a whole number from 1 to 1000000, or nothing",
            Self::Public => "yes or no, or nothing for no",
        }
    }

    pub(crate) fn from_name(text: &str) -> Option<Self> {
        Self::all().find(|column| column.name().eq_ignore_ascii_case(text))
    }
}

impl fmt::Display for SheetColumn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
