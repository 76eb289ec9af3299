//! Combines the control thread's state machines, without sockets and clocks.
//!
//! [`ControlCore`] takes inputs and the current time, and returns the outputs to carry out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    ContentDigest, CoordinatorOutput, EntryZones, FastMap, FastSet, LimitExchange, LimitRecord,
    MemberRecord, MemberSend, MemberSettings, MemberTable, OrganisationName, QuarantineExchange,
    QuotaExchange, QuotaTerms, StartEvidence, SuspectRecord, UpstreamDirectory, UpstreamRegistry,
    UpstreamStart,
};
use pulley_core::request::QuotaScope;
use pulley_core::version::{
    AuditRead, DriverInput, LogIndex, PersistBatch, PersistTicket, PlanFollower, PlanSend,
    QuestionNumber, QuestionRouter, ReplicaDriver,
};
use pulley_core::{HostId, IndexedPlan, Moment, PoolName, UpstreamId, ZoneName};

use super::control_answer::PendingAnswer;
use super::control_counts::{CountExchange, ProbeReport};
use super::control_handle::ControlRequest;
use super::control_replica::FIRST_LEASE_TOKEN;
use super::upstream_recovery::UpstreamRecovery;
use super::view_inputs::ViewInputs;
use super::{RunningView, ViewCell};
use crate::connection::{DatagramCounts, FrameClass, LinkCounts, UpstreamConnections};
use crate::request::{QuarantineGate, QuotaGate, SchedulerSet};

/// How long an upstream's answer to a probe stands in for an announcement.
const ANSWER_SPAN: Duration = Duration::from_secs(1);

/// An action for the control thread to carry out.
#[derive(Debug)]
pub(crate) enum ControlOutput {
    /// Sends a frame over the link to a host.
    Link {
        to: HostId,
        class: FrameClass,
        body: Bytes,
    },
    /// Sends a datagram.
    Datagram {
        to: SocketAddr,
        class: FrameClass,
        body: Bytes,
    },
    /// Passes a batch to the storage thread.
    Persist(PersistBatch),
    ReadAudit(AuditRead),
    /// Probes an upstream for its load.
    Probe {
        pool: PoolName,
        zone: ZoneName,
        upstream: UpstreamId,
        address: SocketAddr,
    },
}

/// The traffic of the peers' sockets since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TransportCounts {
    pub(crate) datagrams: DatagramCounts,
    pub(crate) links: LinkCounts,
}

/// An account that this host has come to keep.
#[derive(Debug)]
pub(crate) struct KeptAccount {
    pub(crate) organisation: OrganisationName,
    /// The replica that it belongs to, if that is another one.
    pub(crate) former: Option<HostId>,
    pub(crate) keeper: HostId,
}

/// A run of this host of which it was not known whether its upstream ended, and what decided on it.
#[derive(Clone, Debug)]
pub(crate) struct DecidedRun {
    pub(crate) content: ContentDigest,
    pub(crate) start: UpstreamStart,
    pub(crate) evidence: StartEvidence,
}

/// A change of what this host knows of a content.
#[derive(Debug)]
pub(crate) struct ChangedContent {
    pub(crate) digest: ContentDigest,
    /// `None` if its record was removed.
    pub(crate) record: Option<SuspectRecord>,
}

/// The parts from which the core is created.
pub(crate) struct CoreParts {
    pub(crate) own: MemberRecord,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) replica: Option<ReplicaDriver>,
    /// The directory of upstreams from this host's disk.
    pub(crate) directory: Option<UpstreamDirectory>,
    pub(crate) founders: Vec<HostId>,
    pub(crate) view: ViewCell,
    pub(crate) schedulers: Arc<SchedulerSet>,
    pub(crate) quota_gate: Arc<QuotaGate>,
    pub(crate) quarantine_gate: Arc<QuarantineGate>,
    pub(crate) connections: Arc<UpstreamConnections>,
    pub(crate) quota_terms: QuotaTerms,
    /// How long keys work without news of the configuration; `None` without a limit.
    pub(crate) key_lease: Option<Duration>,
    pub(crate) share_counts: bool,
    pub(crate) upstream_lease: Duration,
    pub(crate) serves_without_quorum: bool,
    /// The bandwidth of the host's link in bytes per second, if known.
    pub(crate) link_rate: Option<f64>,
    pub(crate) seed: u64,
}

/// The state of a host that its control thread owns: the cluster's members, the registered
/// upstreams, the plan in force and, on a replica, the replicated log.
pub(crate) struct ControlCore {
    pub(super) members: MemberTable,
    pub(super) registry: UpstreamRegistry,
    pub(super) follower: PlanFollower,
    pub(super) replica: Option<ReplicaDriver>,
    pub(super) router: QuestionRouter,
    pub(super) counts: CountExchange,
    pub(super) limits: LimitExchange,
    pub(super) quotas: QuotaExchange,
    pub(super) quarantine: QuarantineExchange,
    pub(super) quarantine_gate: Arc<QuarantineGate>,
    /// Records of suspected contents that have changed and are not logged yet.
    pub(super) changed_contents: Vec<ChangedContent>,
    /// Runs that were decided and are not logged yet.
    pub(super) decided_runs: Vec<DecidedRun>,
    pub(super) quota_gate: Arc<QuotaGate>,
    /// Accounts that this host keeps since recently and that are not logged yet.
    pub(super) kept_accounts: Vec<KeptAccount>,
    /// The connections to upstreams, which show which of them answer.
    connections: Arc<UpstreamConnections>,
    key_lease: Option<Duration>,
    /// Limits of upstreams that are new to this host and not logged yet.
    pub(super) new_limits: Vec<LimitRecord>,
    pub(super) pending_answers: FastMap<QuestionNumber, PendingAnswer>,
    pub(super) founders: Vec<HostId>,
    pub(super) outputs: Vec<ControlOutput>,
    pub(super) view: ViewCell,
    pub(super) schedulers: Arc<SchedulerSet>,
    pub(super) shutting_down: bool,
    pub(super) transport: TransportCounts,
    /// The inputs of the last published view, and when it was built.
    published: Option<(ViewInputs, Moment)>,
    /// When to build a view that was deferred to collect more changes.
    view_due: Option<Moment>,
    /// The plan in force, as the published views hold it.
    pub(super) view_plan: Arc<IndexedPlan>,
    pub(super) lease_round: Option<(u64, Moment)>,
    pub(super) next_lease_round: Moment,
    pub(super) next_lease_token: u64,
    /// Whether this host led the log at the last call of [`Self::renew_lease`].
    pub(super) was_leader: bool,
    /// The departures of upstreams that a quorum has confirmed.
    pub(super) confirmed_departures: FastSet<UpstreamStart>,
    /// The revision of the evacuated zones that the registry was last given.
    applied_zones: LogIndex,
    /// The live entries of each zone, as the published views hold them.
    pub(super) entries: Arc<EntryZones>,
    /// The entries that share quotas, as the published views hold them.
    pub(super) quota_scope: Arc<QuotaScope>,
    pub(super) recovery: UpstreamRecovery,
}

impl ControlCore {
    pub(crate) fn new(parts: CoreParts) -> Self {
        let host = parts.own.host.clone();
        let mut members = MemberTable::new(parts.own, MemberSettings::default(), parts.seed);
        let remembered = parts.directory.iter().flat_map(|directory| directory.peers.iter());
        for seed in parts.seeds.iter().chain(remembered) {
            members.add_seed(*seed);
        }
        Self {
            members,
            registry: UpstreamRegistry::with_lease(parts.upstream_lease),
            follower: PlanFollower::new(host.clone(), parts.seed ^ 1)
                .with_serving_without_quorum(parts.serves_without_quorum)
                .with_link_rate(parts.link_rate),
            replica: parts.replica,
            router: QuestionRouter::new(host.clone(), parts.seed >> 2),
            counts: CountExchange::new(host.clone(), parts.share_counts),
            limits: LimitExchange::new(Moment::ZERO, host.clone()),
            quarantine: QuarantineExchange::new(Moment::ZERO, host.clone()),
            quarantine_gate: parts.quarantine_gate,
            changed_contents: Vec::new(),
            decided_runs: Vec::new(),
            quotas: QuotaExchange::new(host, parts.seed, parts.quota_terms),
            kept_accounts: Vec::new(),
            quota_scope: Arc::default(),
            quota_gate: parts.quota_gate,
            connections: parts.connections,
            key_lease: parts.key_lease,
            new_limits: Vec::new(),
            pending_answers: FastMap::default(),
            founders: parts.founders,
            outputs: Vec::new(),
            view: parts.view,
            schedulers: parts.schedulers,
            shutting_down: false,
            transport: TransportCounts::default(),
            published: None,
            view_due: None,
            view_plan: Arc::default(),
            lease_round: None,
            next_lease_round: Moment::ZERO,
            next_lease_token: FIRST_LEASE_TOKEN,
            was_leader: false,
            confirmed_departures: FastSet::default(),
            applied_zones: LogIndex::default(),
            entries: Arc::default(),
            recovery: UpstreamRecovery::new(parts.directory),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Runs every part that is due, and returns the outputs.
    pub(crate) fn tick(&mut self, now: Moment) -> Vec<ControlOutput> {
        let gossip = self.members.tick(now);
        self.send_membership(gossip);
        let ring = self.members.ring().clone();
        self.renew_answering(now);
        let leases = self.registry.tick(now, &ring);
        for send in leases {
            self.datagram(send.to, FrameClass::Upstreams, send.body);
        }
        let joined = self.registry.sent_round();
        let joined = joined.and_then(|round| self.follower.join_round(now, &ring, round));
        self.send_plans(joined.into_iter().collect());
        let plans = self.follower.tick(now, &ring);
        self.send_plans(plans);
        self.drive_replica(now, DriverInput::Tick);
        let routed = self.router.tick(now);
        self.route(now, routed);
        self.renew_lease(now);
        self.tick_counts(now);
        self.limits.tick(now, &ring);
        self.flush_limits(now);
        self.update_voters(now);
        self.quotas.tick(now);
        self.flush_quotas(now);
        self.decide_runs(now);
        self.quarantine.tick(now, self.registry.shared_time(now), &ring);
        self.flush_quarantine(now);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Handles a frame received over a link.
    pub(crate) fn frame(
        &mut self,
        now: Moment,
        from: &HostId,
        class: FrameClass,
        body: Bytes,
    ) -> Vec<ControlOutput> {
        match class {
            FrameClass::Replication => {
                self.drive_replica(now, DriverInput::Peer { from: from.clone(), body });
            }
            FrameClass::Operator | FrameClass::Ledger => {
                let routed = self.router.receive(now, from, &body);
                self.route(now, routed);
            }
            FrameClass::Configuration => {
                let plans = self.follower.receive(now, from, &body);
                self.send_plans(plans);
            }
            // These classes are sent as datagrams only.
            FrameClass::Membership
            | FrameClass::Counts
            | FrameClass::Upstreams
            | FrameClass::Limits
            | FrameClass::Quotas
            | FrameClass::Quarantine => {}
        }
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Handles a received datagram.
    pub(crate) fn datagram_in(
        &mut self,
        now: Moment,
        sender: &HostId,
        from: SocketAddr,
        class: FrameClass,
        body: &[u8],
    ) -> Vec<ControlOutput> {
        match class {
            FrameClass::Membership => {
                let gossip = self.members.receive(now, from, body);
                self.send_membership(gossip);
            }
            FrameClass::Upstreams => {
                let sends = self.registry.receive(now, from, body);
                for send in sends {
                    self.datagram(send.to, FrameClass::Upstreams, send.body);
                }
            }
            FrameClass::Configuration => {
                let plans = self.follower.receive(now, sender, body);
                self.send_plans(plans);
            }
            FrameClass::Counts => self.counts.receive(now, sender, body, &self.schedulers),
            FrameClass::Limits => {
                self.limits.receive(now, sender, body);
                self.flush_limits(now);
            }
            FrameClass::Quotas => {
                self.quotas.receive(now, sender, body);
                self.flush_quotas(now);
            }
            FrameClass::Quarantine => {
                let time = self.registry.shared_time(now);
                self.quarantine.receive(now, time, sender, body);
                self.flush_quarantine(now);
            }
            FrameClass::Replication | FrameClass::Ledger | FrameClass::Operator => {}
        }
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Handles the result of a storage thread.
    pub(crate) fn stored(&mut self, now: Moment, input: DriverInput) -> Vec<ControlOutput> {
        self.drive_replica(now, input);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Handles the outcome of a write.
    pub(crate) fn persisted(
        &mut self,
        now: Moment,
        ticket: PersistTicket,
        ok: bool,
    ) -> Vec<ControlOutput> {
        self.stored(now, DriverInput::Persisted { ticket, ok })
    }

    /// Handles a request of this host's traffic side or of operators.
    pub(crate) fn request(&mut self, now: Moment, request: ControlRequest) -> Vec<ControlOutput> {
        self.answer_request(now, request);
        self.refresh(now);
        std::mem::take(&mut self.outputs)
    }

    /// Records the traffic of the sockets, for the status.
    pub(crate) fn record_transport(&mut self, counts: TransportCounts) {
        self.transport = counts;
    }

    /// Handles the result of a probe.
    pub(crate) fn handle_probe(&mut self, now: Moment, probe: &ProbeReport) {
        self.counts.handle_probe(now, probe);
    }

    /// Returns when [`Self::tick`] is next due.
    pub(crate) fn next_wakeup(&self) -> Moment {
        let mut next = self
            .members
            .next_wakeup()
            .min(self.registry.next_wakeup())
            .min(self.follower.next_wakeup())
            .min(self.next_lease_round);
        let optional = [
            self.replica.as_ref().map(ReplicaDriver::next_wakeup),
            self.router.next_wakeup(),
            self.view_due,
            self.counts.next_wakeup(&self.schedulers),
            self.limits.next_wakeup(),
            self.quotas.next_wakeup(),
            self.quarantine.next_wakeup(),
        ];
        for due in optional.into_iter().flatten() {
            next = next.min(due);
        }
        next
    }

    /// Leaves the cluster's membership. No other method may be called afterwards.
    pub(crate) fn leave(&mut self, now: Moment) -> Vec<ControlOutput> {
        let messages = self.members.leave(now);
        self.send_membership(messages);
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn send_membership(&mut self, sends: Vec<MemberSend>) {
        for send in sends {
            self.datagram(send.to, FrameClass::Membership, send.body);
        }
    }

    fn send_plans(&mut self, sends: Vec<PlanSend>) {
        for send in sends {
            let Some(record) = self.members.find(&send.to) else { continue };
            let to = record.peer_address;
            self.datagram(to, FrameClass::Configuration, send.body);
        }
    }

    pub(super) fn datagram(&mut self, to: SocketAddr, class: FrameClass, body: Bytes) {
        self.outputs.push(ControlOutput::Datagram { to, class, body });
    }

    /// Renews the leases of upstreams that have answered this host, where no host has heard from
    /// them.
    fn renew_answering(&mut self, now: Moment) {
        let since = Moment::ZERO + now.since(Moment::ZERO).saturating_sub(ANSWER_SPAN);
        for upstream in self.registry.unheard(now) {
            if self.connections.was_identified_since(&upstream.id, since) {
                self.registry.renew_answering(now, &upstream);
            }
        }
    }

    fn tick_counts(&mut self, now: Moment) {
        let outgoing = self.counts.tick(now, &self.schedulers);
        for (to, body) in outgoing.sends {
            let Some(record) = self.members.find(&to) else { continue };
            let address = record.peer_address;
            self.datagram(address, FrameClass::Counts, body);
        }
        for (pool, zone, output) in outgoing.probes {
            if let CoordinatorOutput::Probe { upstream, address } = output {
                self.outputs.push(ControlOutput::Probe { pool, zone, upstream, address });
            }
        }
    }

    /// Passes the voters of the log on to the exchange of quotas.
    fn update_voters(&mut self, now: Moment) {
        if let Some(replica) = &self.replica {
            self.quotas.set_voters(now, &replica.voters());
        }
    }

    /// Sets until when requests may go by the keys of the published view.
    fn confirm_keys(&self, now: Moment) {
        let until = match self.key_lease {
            Some(lease) => self.follower.keys_valid_until(now, lease),
            None => Some(Moment::from_micros(u64::MAX)),
        };
        self.view.confirm_keys(until);
    }

    /// Takes the limits that this host has learned of since the last call.
    pub(crate) fn take_new_limits(&mut self) -> Vec<LimitRecord> {
        std::mem::take(&mut self.new_limits)
    }

    /// Takes the runs that were decided since the last call.
    pub(crate) fn take_decided_runs(&mut self) -> Vec<DecidedRun> {
        std::mem::take(&mut self.decided_runs)
    }

    /// Takes the records of suspected contents that have changed since the last call.
    pub(crate) fn take_changed_contents(&mut self) -> Vec<ChangedContent> {
        std::mem::take(&mut self.changed_contents)
    }

    /// Takes the accounts that this host has come to keep since the last call.
    pub(crate) fn take_kept_accounts(&mut self) -> Vec<KeptAccount> {
        std::mem::take(&mut self.kept_accounts)
    }

    /// Confirms the current view, and publishes a new one if any of its inputs has changed.
    fn refresh(&mut self, now: Moment) {
        let standing = self.follower.standing(now);
        self.apply_zones();
        let inputs = ViewInputs {
            members: self.members.changes(),
            upstreams: self.registry.changes(),
            version: self.follower.version().0,
            awaited_version: self.follower.awaited_version(),
            zones: self.applied_zones,
            ready: standing.is_ready(),
            leaving: self.shutting_down,
        };
        self.view_due = None;
        if let Some((published, at)) = &self.published {
            if published.version == inputs.version {
                self.confirm_keys(now);
            }
            if *published == inputs {
                self.view.confirm(now);
                return;
            }
            let next = *at + self.registry.listing_interval();
            if published.can_defer(&inputs) && now < next {
                self.view.confirm(now);
                self.view_due = Some(next);
                return;
            }
        }
        let members_changed =
            self.published.is_none_or(|(published, _)| published.members != inputs.members);
        self.published = Some((inputs, now));
        if members_changed {
            self.apply_members(now);
            self.transfer_state_to_entries(now);
        }
        let view = self.build_view(standing);
        self.publish(now, view);
        // Confirmed only now: after a pause the former view may hold a configuration that is no longer
        // in force, and traffic threads would serve it until this one is published.
        self.view.confirm(now);
        self.confirm_keys(now);
    }

    /// Applies the latest zone orders to the registry of upstreams.
    fn apply_zones(&mut self) {
        let evacuated = self.follower.evacuated();
        if evacuated.revision != self.applied_zones {
            self.applied_zones = evacuated.revision;
            self.registry.set_evacuated_zones(&evacuated.zones);
        }
    }

    fn apply_members(&mut self, now: Moment) {
        let mut replicas: Vec<HostId> = self
            .members
            .live()
            .filter(|record| record.roles.replica)
            .map(|record| record.host.clone())
            .collect();
        for founder in &self.founders {
            if !replicas.contains(founder) && self.members.find(founder).is_some() {
                replicas.push(founder.clone());
            }
        }
        replicas.sort();
        let entries = EntryZones::of(self.members.live());
        self.entries = Arc::new(entries.with_lost(self.members.lost_entries()));
        let own = self.members.own().host.clone();
        self.quota_scope = Arc::new(QuotaScope::new(own, self.members.sharing_hosts()));
        self.limits.set_entries(now, &self.entries);
        self.quarantine.set_entries(&self.entries);
        if let Some(driver) = &mut self.replica {
            driver.set_replicas(&replicas);
        }
        self.quotas.set_replicas(now, &replicas);
        let own = self.members.own();
        let peers = self.entries.forwarders(&own.zone, &own.host, &replicas);
        self.quotas.set_peers(now, &peers);
        self.follower.set_announced_replicas(&replicas);
        let zone = &self.members.own().zone;
        let is_same_zone =
            |host: &&HostId| self.members.find(host).is_some_and(|record| record.zone == *zone);
        let same_zone = replicas.iter().filter(is_same_zone).cloned().collect();
        self.follower.set_same_zone_replicas(same_zone);
        self.router.set_replicas(replicas);
    }

    fn publish(&mut self, now: Moment, view: RunningView) {
        if self.counts.shares() {
            let entries = self.members.live().filter(|record| record.roles.entry);
            let live: Vec<HostId> = entries.map(|record| record.host.clone()).collect();
            self.counts.apply_view(now, &view, &live);
        }
        self.quotas.set_plan(now, view.plan.plan());
        self.schedulers.apply_view(&view);
        self.view.store(view);
    }
}
