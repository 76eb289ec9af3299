//! The plan that is read from a sheet: routing, capacity and limits of each kind of request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::OrganisationTerms;
use crate::process::{
    KindName, PoolName, ProbeRate, ServiceName, ShareFraction, SlotCount, StartRate,
};

/// Priority of a kind, from 0 (highest) to 9 (lowest).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u8);

/// Which methods a row matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MethodMatch {
    /// Every method.
    Any,
    /// One method, in upper case.
    Only(SmolStr),
}

/// Which host names a row matches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HostMatch {
    /// Every host name, and requests without a host name.
    #[default]
    Any,
    /// One host name, in lower case and without a port.
    Only(SmolStr),
}

/// Size class of a kind's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerSize {
    /// A few kilobytes; the zone that they come from matters little.
    #[default]
    Small,
    /// Many times larger than a few kilobytes. Requests stay within the zone as long as they can be
    /// answered in time.
    Large,
}

/// How a row's requests are matched, split over pools and retried.
///
/// Several rows may match the same requests if each names a different pool. The requests are then
/// split over the pools by weight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteTerms {
    /// Which host names match; one host name takes precedence over any.
    pub host: HostMatch,
    /// The row's weight relative to rows that match the same requests.
    pub weight: u32,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u8,
    /// Size class of the answers.
    pub answers: AnswerSize,
    /// Target latency: the time within which an answer is worth most to its caller. `None` means
    /// the deadline.
    pub target: Option<Duration>,
    /// Maximum number of connections to one upstream of the pool from all hosts together, if it is
    /// lower than the number that the upstream announces.
    pub connections: Option<u32>,
    /// Whether requests need no key although the sheet has organisations.
    pub public: bool,
}

/// Default weight of a row.
const WHOLE_WEIGHT: u32 = 100;

/// Default number of upstreams that one request may be sent to. A request survives two failed
/// attempts, and a partial failure cannot multiply the load many times over.
const ATTEMPTS_DEFAULT: u8 = 3;

impl Default for RouteTerms {
    fn default() -> Self {
        Self {
            host: HostMatch::Any,
            weight: WHOLE_WEIGHT,
            attempts: ATTEMPTS_DEFAULT,
            answers: AnswerSize::Small,
            target: None,
            connections: None,
            public: false,
        }
    }
}

/// Limits on what callers may send, for requests of all kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time that a caller may take to send a request's headers.
    pub header_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns limits that allow large cookies and uploads. A caller that takes longer than a
    /// minute to send its headers occupies a connection without use.
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 1 << 30,
            header_timeout: Duration::from_secs(60),
        }
    }
}

/// How long a request of a kind occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkLength {
    /// Some milliseconds.
    Short,
    /// Much longer than the pool's short requests.
    Long,
}

/// One row of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KindPlan {
    /// The pool whose upstreams answer the requests.
    pub pool: PoolName,
    /// The service that the capacity is assigned to.
    pub service: ServiceName,
    /// The kind, unique within its service.
    pub kind: KindName,
    /// Which methods match.
    pub method: MethodMatch,
    /// Which paths match; the longest prefix wins.
    pub path_prefix: SmolStr,
    /// The priority of its requests.
    pub priority: RequestPriority,
    /// The fraction of the pool's slots that this row adds to its service's share.
    pub share: ShareFraction,
    /// Slots of the pool reserved for this kind.
    pub reserved_slots: SlotCount,
    /// The deadline for requests that set none.
    pub deadline: Duration,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// How long a request occupies a slot.
    pub length: WorkLength,
    /// What this row adds to its pool's probe budget, which all hosts share.
    pub probe_budget: ProbeRate,
    /// How requests are matched, split over pools and retried.
    pub route: RouteTerms,
}

/// The content of a whole sheet; rows keep the sheet's order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyPlan {
    /// One row for each row of the sheet.
    pub kinds: Vec<KindPlan>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Settings of whole pools. A pool listed here is kept ready even if no row names it.
    pub pools: Vec<PoolTerms>,
    /// The organisations whose callers may use rows that are not public. Without any, no row needs
    /// a key.
    pub organisations: Vec<OrganisationTerms>,
}

/// Settings of a whole pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTerms {
    /// The pool that the settings apply to.
    pub pool: PoolName,
    /// The path under which its upstreams report their load.
    pub probe_path: SmolStr,
    /// Warm-up limits of its upstreams; `None` if they can take full load from the start.
    pub warm_up: Option<WarmUpTerms>,
}

/// Limits for an upstream after its start, or after it has become cold again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpTerms {
    /// How long the upstream is cold.
    pub span: Duration,
    /// Rate of requests that a cold upstream can take, from all entries together.
    pub rate: StartRate,
}
