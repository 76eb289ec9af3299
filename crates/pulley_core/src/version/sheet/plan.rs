//! The checked sheet: what each kind of request may use.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::process::{
    KindName, PoolName, ProbeRate, ServiceName, ShareFraction, SlotCount, StartRate,
};

/// Priority of a kind; 0 goes first, 9 last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u8);

/// Which methods a row matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MethodMatch {
    /// Every method.
    Any,
    /// One method, in capitals.
    Only(SmolStr),
}

/// Which host names a row matches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HostMatch {
    /// Every host name, and requests without one.
    #[default]
    Any,
    /// One host name, in lower case and without a port.
    Only(SmolStr),
}

/// How large a kind's answers are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerSize {
    /// A few kilobytes; where they come from matters little.
    #[default]
    Small,
    /// Many times that: they are kept within a zone as long as they can come in time.
    Large,
}

/// How a row's requests are told from others, split over pools and tried again.
///
/// Several rows may match the same requests if each names another pool: the requests are then
/// split over the pools by weight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteTerms {
    /// Which host names match; a named one goes before any.
    pub host: HostMatch,
    /// The row's part of the requests, against the weights of the rows that match the same.
    pub weight: u32,
    /// Most upstreams that one request may be sent to.
    pub attempts: u8,
    /// How large its answers are.
    pub answers: AnswerSize,
    /// The time within which an answer is worth most to its caller; none: until the deadline.
    pub target: Option<Duration>,
    /// Most connections that one upstream of the pool takes from all hosts together, if that is
    /// less than it announces.
    pub connections: Option<u32>,
}

/// The weight of a row that is not split.
const WHOLE_WEIGHT: u32 = 100;

/// Upstreams that one request may be sent to where the sheet does not say: a single failure and a
/// second one are ridden out, and a partial failure cannot become many times the load.
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
        }
    }
}

/// What callers may send, whatever their kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's headers.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a caller may take to send a request's headers.
    pub header_timeout: Duration,
}

impl Default for CallerLimits {
    /// Room for large cookies and for uploads; a caller that dribbles its headers for longer than a
    /// minute holds a connection for nothing.
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 1 << 30,
            header_timeout: Duration::from_secs(60),
        }
    }
}

/// Whether work of a kind holds a slot for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkLength {
    /// Milliseconds.
    Short,
    /// Much longer than the pool's short work.
    Long,
}

/// One row of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KindPlan {
    /// The pool whose upstreams answer.
    pub pool: PoolName,
    /// The service that the capacity is given to.
    pub service: ServiceName,
    /// The kind, unique within its service.
    pub kind: KindName,
    /// Which methods match.
    pub method: MethodMatch,
    /// Which paths match; the longest prefix wins.
    pub path_prefix: SmolStr,
    /// Who goes first.
    pub priority: RequestPriority,
    /// The part of the pool's slots that this row adds to its service's share.
    pub share: ShareFraction,
    /// Slots of the pool kept free for this kind.
    pub reserved_slots: SlotCount,
    /// How long a caller waits when it names no deadline of its own.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it holds a slot for long.
    pub length: WorkLength,
    /// What this row adds to its pool's probe budget, over all hosts together.
    pub probe_budget: ProbeRate,
    /// How its requests are told from others, split and tried again.
    pub route: RouteTerms,
}

/// A whole checked sheet; rows keep the sheet's order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyPlan {
    /// The rows.
    pub kinds: Vec<KindPlan>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// What holds for pools as a whole; one that no row names is kept ready all the same.
    pub pools: Vec<PoolTerms>,
}

/// What holds for a pool as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTerms {
    /// Which pool.
    pub pool: PoolName,
    /// Where its upstreams answer how loaded they are.
    pub probe_path: SmolStr,
    /// What its upstreams bear after a start; none if they bear as much as later.
    pub warm_up: Option<WarmUpTerms>,
}

/// What an upstream bears after its start, or after it has become cold again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpTerms {
    /// For how long it is cold.
    pub span: Duration,
    /// How many requests it bears meanwhile, from all entries together.
    pub rate: StartRate,
}
