//! State that outlives requests: membership, upstreams and counts, with the basic types they use.

mod counts;
mod fast_map;
mod limits;
mod link_pacer;
mod members;
mod moment;
mod names;
mod probe_budget;
mod quantities;
mod quarantine;
mod quotas;
mod record_spread;
mod registry;
mod shutdown_schedule;
mod start_pulls;
mod upstream;
mod upstream_stops;

pub use counts::{
    COUNT_BYTES_PER_SECOND, COUNT_MESSAGE_LIMIT, COUNT_TTL, CoordinatorOutput, CountEpoch,
    CountFault, CountKey, CountReport, CountRound, CountRows, CountSum, KindUse, PoolCoordinator,
    ProbeOutcome, UpstreamOutcomes, coordinator_for,
};
pub use fast_map::{FastMap, FastSet};
pub use limits::{
    LIMIT_BODY_LIMIT, LimitExchange, LimitOutput, LimitRecord, ObservedLimit, PermitAnswer,
    PermitAsk, PermitCounts,
};
pub use link_pacer::LinkPacer;
pub use members::{
    EntryZones, HostRoles, MEMBER_BODY_LIMIT, MemberIncarnation, MemberRecord, MemberSend,
    MemberSettings, MemberState, MemberTable, PeerRing, RelayHost, RingPeer,
};
pub use moment::Moment;
pub use names::{
    ActorName, ChangeId, ClusterId, HostId, KindName, NameFault, OrganisationName, PoolName,
    ServiceName, UpstreamId, ZoneName,
};
pub use probe_budget::ProbeBudget;
pub use quantities::{MemberId, ProbeRate, QuantityFault, ShareFraction, SlotCount, StartRate};
pub use quarantine::{
    ContentDigest, ContentHead, ContentKey, ContentReport, ContentStanding, PoolRecord,
    QUARANTINE_BODY_LIMIT, QuarantineExchange, QuarantineOutput, RunFinding, RunResult,
    SuspectRecord, SuspectRun, TrialAsk, TrialNumber, TrialVerdict, UnansweredRun,
};
pub use quotas::{
    AccountStatus, AccountTenure, HeardBeat, KeeperBeat, KeeperStanding, KeeperWatch,
    QUOTA_BODY_LIMIT, QuotaAnswer, QuotaAsk, QuotaCounts, QuotaExchange, QuotaLedger, QuotaOutput,
    QuotaTerms, QuotaVerdict,
};
pub use registry::{
    AnnounceOutcome, DIRECTORY_LIMIT, REGISTRY_BODY_LIMIT, RecallProof, RegistryFault,
    RegistryResult, RegistrySend, SharedTime, StartEvidence, UPSTREAM_LIMIT, UpstreamChange,
    UpstreamDirectory, UpstreamList, UpstreamRegistry,
};
pub use shutdown_schedule::{RequestOutlook, ShutdownSchedule, ShutdownTerms};
pub use upstream::{
    Announcement, Incarnation, UpstreamPhase, UpstreamRecord, UpstreamSequence, UpstreamStart,
};
pub use upstream_stops::{SendBlock, UpstreamStop, UpstreamStops};

pub(crate) use counts::{
    CountLayout, CountLink, CountTotals, LAYOUT_KEYS_PERIOD, UpstreamHealth, digest_of, median_ms,
    stable_hash,
};
pub(crate) use registry::SharedClock;
