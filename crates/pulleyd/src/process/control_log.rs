//! The log lines on changes of the control state.

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    ContentStanding, HostId, MemberId, RunFinding, SuspectRecord, ZoneName,
};
use pulley_core::version::{LogIndex, PlanStanding, ReplicaMember, SpreadCounts};
use slog::{Logger, info};

use super::control_core::{ChangedContent, ControlCore, DecidedRun};

/// The shortest interval between two log lines on the members. When hundreds of hosts start
/// together, each host learns of them one by one, and would otherwise log a line for each.
const MEMBERS_LOG_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest interval between two log lines on the cost of spreading configurations.
const SPREAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the cluster as this replica knows it. A change of it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClusterState {
    role: &'static str,
    leader: Option<MemberId>,
    term: u64,
    members_index: u64,
    has_failed: bool,
}

/// Logs changes of the control state, and what of it was last logged.
pub(super) struct ControlLog {
    logger: Logger,
    /// The change count of the members at the last log line on them, and when the next line is
    /// allowed.
    logged_members: u64,
    next_members_log: Moment,
    logged_spread: SpreadCounts,
    next_spread_log: Moment,
    logged_cluster: Option<ClusterState>,
    /// The status of the configuration that was last logged.
    logged_standing: Option<PlanStanding>,
    /// The revision of the evacuated zones that was last logged.
    logged_zones: LogIndex,
}

impl ControlLog {
    pub(super) fn new(logger: Logger, now: Moment) -> Self {
        Self {
            logger,
            logged_members: u64::MAX,
            next_members_log: now,
            logged_spread: SpreadCounts::default(),
            next_spread_log: now,
            logged_cluster: None,
            logged_standing: None,
            logged_zones: LogIndex::default(),
        }
    }

    /// Logs what has changed since the last call.
    pub(super) fn record(&mut self, now: Moment, core: &mut ControlCore) {
        self.log_members(now, core);
        self.log_limits(core);
        self.log_kept_accounts(core);
        self.log_decided_runs(core);
        self.log_contents(core);
        self.log_cluster_state(now, core);
        self.log_spread(now, core);
    }

    /// Logs the number of live hosts if the members have changed.
    fn log_members(&mut self, now: Moment, core: &ControlCore) {
        let mark = core.members.changes();
        if mark == self.logged_members || now < self.next_members_log {
            return;
        }
        self.logged_members = mark;
        self.next_members_log = now + MEMBERS_LOG_INTERVAL;
        info!(self.logger, "membership"; "live" => core.members.live().count());
    }

    /// Logs the limits of upstreams that this host has just learned of.
    fn log_limits(&self, core: &mut ControlCore) {
        for record in core.take_new_limits() {
            let rate = record.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            info!(self.logger, "upstream-limit"; "upstream" => %record.upstream, "rate" => rate);
        }
    }

    /// Logs the accounts that this host has come to keep. There is one line for each organisation
    /// when a replica is lost or returns.
    fn log_kept_accounts(&self, core: &mut ControlCore) {
        for account in core.take_kept_accounts() {
            let former = account.former.as_ref().map_or("none", HostId::as_str);
            let standing = if account.former.is_some() { "takeover" } else { "owner" };
            info!(self.logger, "quota-keeper-changed"; "organisation" => %account.organisation,
                "keeper" => %account.keeper, "former" => former, "standing" => standing);
        }
    }

    /// Logs what this host's runs were decided by that got no whole answer.
    fn log_decided_runs(&self, core: &mut ControlCore) {
        for DecidedRun { content, start, evidence } in core.take_decided_runs() {
            info!(self.logger, "run-decided"; "content" => %content, "upstream" => %start.id,
                "incarnation" => start.incarnation.0, "evidence" => evidence.as_str());
        }
    }

    /// Logs the contents that this host has learned to be suspected, quarantined or cleared.
    fn log_contents(&self, core: &mut ControlCore) {
        for ChangedContent { digest, record } in core.take_changed_contents() {
            let standing = record.as_ref().and_then(SuspectRecord::standing_elsewhere);
            let standing = match (&record, standing) {
                (_, Some(ContentStanding::Suspect)) => "suspect",
                (_, Some(ContentStanding::Held { .. })) => "held",
                (_, Some(ContentStanding::Quarantined { .. })) => "quarantined",
                (Some(_), None) => "cleared",
                (None, None) => "forgotten",
            };
            let pools = record.as_ref().map_or(&[][..], SuspectRecord::pools);
            let runs = pools.iter().flat_map(|pool| pool.runs().iter().map(move |run| (pool, run)));
            let runs = runs.map(|(pool, run)| {
                let how = if run.was_trial { "(trial)" } else { "" };
                let finding = finding_name(run.finding);
                format!("{}/{}@{}{how}={finding}", pool.pool, run.upstream, run.incarnation.0)
            });
            info!(self.logger, "content"; "digest" => %digest, "standing" => standing,
                "runs" => runs.collect::<Vec<_>>().join(","));
        }
    }

    /// Logs the configuration in force, the evacuated zones, the leader and the members of the log
    /// if they have changed.
    fn log_cluster_state(&mut self, now: Moment, core: &ControlCore) {
        let standing = core.follower.standing(now);
        if self.logged_standing != Some(standing) {
            self.logged_standing = Some(standing);
            info!(self.logger, "configuration"; "standing" => ?standing);
        }
        let evacuated = core.follower.evacuated();
        if self.logged_zones != evacuated.revision {
            self.logged_zones = evacuated.revision;
            let zones: Vec<&str> = evacuated.zones.iter().map(ZoneName::as_str).collect();
            info!(self.logger, "zones-in-force"; "evacuated" => zones.join(","),
                "revision" => evacuated.revision.0);
        }
        let Some(replica) = &core.replica else { return };
        let node = replica.node();
        let cluster = ClusterState {
            role: replica.role_name(),
            leader: node.leader(),
            term: node.term().0,
            members_index: node.members_index().0,
            has_failed: node.failure().is_some(),
        };
        if self.logged_cluster == Some(cluster) {
            return;
        }
        self.logged_cluster = Some(cluster);
        let status = replica.status();
        let voter = |member: &ReplicaMember| if member.voter { "" } else { "(learner)" };
        let members = status.members.iter().map(|m| format!("{}={}{}", m.host, m.member, voter(m)));
        info!(self.logger, "replica"; "role" => cluster.role, "term" => cluster.term,
            "leader" => status.leader.as_ref().map(ToString::to_string),
            "members" => members.collect::<Vec<_>>().join(","), "last" => status.last_index.0,
            "committed" => status.commit_index.0, "version" => %status.version,
            "failure" => status.failure.as_ref().map(ToString::to_string));
    }

    /// Logs the cost of spreading configurations if it has grown.
    fn log_spread(&mut self, now: Moment, core: &ControlCore) {
        let counts = core.follower.spread_counts();
        if counts == self.logged_spread || now < self.next_spread_log {
            return;
        }
        self.logged_spread = counts;
        self.next_spread_log = now + SPREAD_LOG_INTERVAL;
        let follower = &core.follower;
        let awaited = follower.awaited_version().map(|version| version.to_string());
        info!(self.logger, "configuration-spread"; "version" => %follower.version(),
            "awaited" => awaited, "fetches" => counts.fetches,
            "dropped_paths" => counts.dropped_paths, "windows_asked" => counts.windows_asked,
            "windows_overdue" => counts.windows_overdue, "chunks_taken" => counts.chunks_taken,
            "chunks_unwanted" => counts.chunks_unwanted, "windows_served" => counts.windows_served,
            "windows_unserved" => counts.windows_unserved, "chunks_served" => counts.chunks_served);
    }
}

/// Returns a finding as written in logs.
const fn finding_name(finding: RunFinding) -> &'static str {
    match finding {
        RunFinding::Pending { .. } => "pending",
        RunFinding::Refuted => "refuted",
        RunFinding::Ended => "ended",
    }
}
