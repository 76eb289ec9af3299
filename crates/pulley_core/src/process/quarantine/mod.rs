//! Contents under which upstreams have ended: what hosts know of them, and who may try one again.

mod content_key;
mod open_run;
mod quarantine_exchange;
mod quarantine_message;
mod suspect_record;
mod suspect_table;
mod trial_asks;
mod trial_keeper;

pub use content_key::{ContentDigest, ContentHead, ContentKey};
pub use quarantine_exchange::{
    ContentReport, QuarantineExchange, QuarantineOutput, RunResult, TrialAsk, UnansweredRun,
};
pub use quarantine_message::{QUARANTINE_BODY_LIMIT, TrialNumber, TrialVerdict};
pub use suspect_record::{ContentStanding, PoolRecord, RunFinding, SuspectRecord, SuspectRun};

use super::members::encoded;
use super::record_spread::{RecordSpread, SyncTurn};
use super::registry::{StartEvidence, UpdateReach};
use super::{
    EntryZones, FastMap, HostId, Incarnation, Moment, NameFault, PeerRing, PoolName, RingPeer,
    SharedTime, UpstreamId, UpstreamStart,
};
