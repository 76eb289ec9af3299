//! The registry of announced upstreams, kept as leases that hosts gossip to each other.

mod bucket_range;
mod lease_bucket;
mod lease_record;
mod lease_table;
mod recall_proof;
mod registry_gossip;
mod registry_message;
mod shared_clock;
mod start_evidence;
mod upstream_directory;
mod upstream_list;
mod upstream_registry;

pub use lease_table::UPSTREAM_LIMIT;
pub use recall_proof::RecallProof;
pub use registry_message::{REGISTRY_BODY_LIMIT, RegistrySend};
pub use upstream_directory::{DIRECTORY_LIMIT, UpstreamDirectory};
pub use upstream_list::{UpstreamChange, UpstreamList};
pub use upstream_registry::{AnnounceOutcome, RegistryFault, RegistryResult, UpstreamRegistry};

pub use shared_clock::SharedTime;
pub use start_evidence::StartEvidence;

pub(crate) use registry_message::{UpdateReach, split_by_size};
pub(crate) use shared_clock::SharedClock;

use super::members::encoded;
use super::{
    Announcement, FastMap, FastSet, Incarnation, Moment, PeerRing, PoolName, RingPeer, UpstreamId,
    UpstreamPhase, UpstreamRecord, UpstreamSequence, UpstreamStart, ZoneName,
};
