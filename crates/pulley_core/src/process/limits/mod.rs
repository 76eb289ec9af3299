//! Request limits that upstreams name: what hosts know of them, and the permits by which all hosts
//! together keep to them.

mod issuer_ranking;
mod limit_exchange;
mod limit_message;
mod limit_record;
mod limit_table;
mod permit_bucket;
mod permit_issuer;

pub use limit_exchange::{LimitExchange, LimitOutput, PermitCounts};
pub use limit_message::{LIMIT_BODY_LIMIT, PermitAnswer, PermitAsk};
pub use limit_record::{LimitRecord, ObservedLimit};

pub(crate) use permit_bucket::PermitBucket;

use super::members::encoded;
use super::record_spread::{RecordSpread, SyncTurn};
use super::registry::{UpdateReach, split_by_size};
use super::start_pulls::StartPulls;
use super::{
    EntryZones, FastMap, HostId, Incarnation, Moment, PeerRing, SharedTime, StartRate, UpstreamId,
    ZoneName, stable_hash,
};
