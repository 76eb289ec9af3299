//! Contents under which upstreams have ended: what hosts know of them, and who may try one again.

mod content_key;
mod content_report;
mod open_run;
mod quarantine_exchange;
mod quarantine_message;
mod suspect_record;
mod suspect_table;
mod trial_asks;
mod trial_keeper;

pub use content_key::{ContentDigest, ContentHead, ContentKey};
pub use content_report::{ContentReport, QuarantineOutput, RunResult, TrialAsk, UnansweredRun};
pub use quarantine_exchange::QuarantineExchange;
pub use quarantine_message::{QUARANTINE_BODY_LIMIT, TrialNumber, TrialVerdict};
pub use suspect_record::{ContentStanding, PoolRecord, RunFinding, SuspectRecord, SuspectRun};

use super::members::encoded;
use super::record_spread::{RecordSpread, SyncTurn};
use super::registry::{StartEvidence, UpdateReach};
use super::start_pulls::StartPulls;
use super::{
    EntryZones, FastMap, HostId, Incarnation, Moment, NameFault, PeerRing, PoolName, SharedTime,
    UpstreamId, UpstreamStart,
};
