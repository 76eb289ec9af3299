//! Keeps the current configuration in force on a host and tracks whether it is still current.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::plan_delta::{DeltaHistory, HeldPlan};
use super::plan_follower_fetch::PlanFetch;
use super::plan_follower_message::{LogReport, PlanContent, PlanLease, PlanMessage};
use super::plan_serve_budget::ServeBudget;
use super::{
    ConfigVersion, EvacuatedZones, LogIndex, PlanSend, PolicyPlan, ReplicaSet, SpreadCounts,
};
use crate::process::{FastMap, HostId, Moment, PeerRing, SharedClock, SharedTime};

/// The time in which a lease travels around the ring to all hosts.
const RING_CYCLE: Duration = Duration::from_secs(1);
/// The shortest interval between two rounds. In each round a host sends its lease to one other
/// host.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The longest interval between two rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between questions for a lease on a host that has just started. Such a host serves
/// no caller until it knows the configuration. When all hosts start together, every caller is
/// refused until then, and each further tenth of a second prolongs this.
pub(super) const START_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a replica's answer remains valid. Together with the answer's transit time it stays
/// below 4 s. Within that time every host must either have a change in force or no longer be ready.
pub(super) const ANSWER_VALIDITY: Duration = Duration::from_secs(3);
/// How many hosts are sent the lease at once when this host learns of a new version or zone order.
const FLOOD_TARGETS: u32 = 3;
/// For how many versions the latest confirmation is kept; a host further behind is not ready.
const CONFIRMATION_LIMIT: usize = 32;
/// How many hosts that asked before this host could answer are remembered: as many as an
/// installation of the planned size has.
pub(super) const ASKER_LIMIT: usize = 2_048;

/// How current the configuration of a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStanding {
    /// The host has just started and does not know the current version yet: not ready.
    Starting,
    /// The version is the latest accepted one according to the leader's lease.
    InForce(ConfigVersion),
    /// There is no valid lease, but a majority of replicas holds nothing newer, or the host is set
    /// to serve without a quorum: it keeps serving.
    Static(ConfigVersion),
    /// The host cannot tell whether a newer version was accepted, or lacks that version: not ready.
    Expired(ConfigVersion),
}

impl PlanStanding {
    /// Whether the host may take new requests.
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::InForce(_) | Self::Static(_))
    }
}

/// Follows the configuration on one host. Every host has a follower, replicas and the leader too.
///
/// Leases pass from host to host like upstream leases, so the leader sends no more than other
/// hosts. A new version is announced by its number and digest. The follower fetches the difference
/// from the version it holds, from a replica or, if none answers, from another host that holds the
/// new version. A transfer is only as large as the change, and takes no more of any link than
/// callers can spare.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    pub(super) host: HostId,
    clock: SharedClock,
    pub(super) rng: SmallRng,
    pub(super) nonce: u64,
    pub(super) asked_at: Option<Moment>,
    /// Whether any host has answered this host's last question for a lease.
    pub(super) is_answered: bool,
    /// Whether the shared time is known: either a host that knows it has answered since this
    /// process started, or this host has led.
    pub(super) knows_time: bool,
    pub(super) lease: Option<PlanLease>,
    /// When each of the last versions was last confirmed to be the latest, as far as known here.
    confirmations: VecDeque<(ConfigVersion, SharedTime)>,
    pub(super) held: Option<HeldPlan>,
    /// The newest zone orders known here; always committed.
    pub(super) evacuated: Arc<EvacuatedZones>,
    /// The steps to the held plan, for hosts that hold an earlier version.
    pub(super) history: DeltaHistory,
    pub(super) fetch: Option<PlanFetch>,
    pub(super) counts: SpreadCounts,
    pub(super) own_report: Option<LogReport>,
    pub(super) log_reports: FastMap<HostId, (Moment, LogReport)>,
    /// Hosts that asked before this host could answer, with the nonce of their last question.
    pub(super) pending_askers: FastMap<HostId, u64>,
    holders: FastMap<HostId, ConfigVersion>,
    pub(super) serve_budget: ServeBudget,
    next_round: Moment,
    round: u32,
    /// Hosts that announce that they hold a replica.
    pub(super) announced_replicas: Vec<HostId>,
    /// Hosts with a replica in this host's zone.
    pub(super) same_zone_replicas: Vec<HostId>,
    /// Whether the next tick sends the lease to several hosts at once.
    pub(super) flood: bool,
    /// Whether the host keeps serving with its last known version while it cannot learn of a newer
    /// one.
    serves_without_quorum: bool,
}

impl PlanFollower {
    /// Creates the follower of a host that has just started.
    #[must_use]
    pub fn new(host: HostId, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            host,
            clock: SharedClock::default(),
            nonce: rng.random(),
            rng,
            asked_at: None,
            is_answered: false,
            knows_time: false,
            lease: None,
            confirmations: VecDeque::new(),
            held: None,
            evacuated: Arc::default(),
            history: DeltaHistory::default(),
            fetch: None,
            counts: SpreadCounts::default(),
            own_report: None,
            log_reports: FastMap::default(),
            pending_askers: FastMap::default(),
            holders: FastMap::default(),
            serve_budget: ServeBudget::new(None),
            next_round: Moment::ZERO,
            round: 0,
            announced_replicas: Vec::new(),
            same_zone_replicas: Vec::new(),
            flood: false,
            serves_without_quorum: false,
        }
    }

    /// Sets whether the host keeps serving with its last known version while no host can confirm
    /// that it is still the latest.
    ///
    /// If so, the host may serve with an old version while it is cut off, but never goes back to
    /// one. If not, it is not ready until it hears from a majority again.
    #[must_use]
    pub fn with_serving_without_quorum(mut self, serves_without_quorum: bool) -> Self {
        self.serves_without_quorum = serves_without_quorum;
        self
    }

    /// Sets the rate of the host's link in bytes per second. Plans get a share of it.
    #[must_use]
    pub fn with_link_rate(mut self, rate: Option<f64>) -> Self {
        self.serve_budget = ServeBudget::new(rate);
        self
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the configuration in force, if one is known. Its version never decreases.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<PolicyPlan>> {
        self.held.as_ref().map(|held| &held.plan)
    }

    /// Returns the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.held.as_ref().map_or(ConfigVersion::default(), |held| held.version)
    }

    /// Returns the evacuated zones known to this host. Earlier orders never replace later ones.
    /// [`Self::standing`] tells whether all orders are known.
    #[must_use]
    pub fn evacuated(&self) -> &Arc<EvacuatedZones> {
        &self.evacuated
    }

    /// Returns how current the configuration is now.
    #[must_use]
    pub fn standing(&self, now: Moment) -> PlanStanding {
        let Some(held) = self.held.as_ref().filter(|_| self.knows_time) else {
            return PlanStanding::Starting;
        };
        let version = held.version;
        if self.is_confirmed(now, version) {
            return PlanStanding::InForce(version);
        }
        match self.serves_without_quorum || self.static_since(now, version).is_some() {
            true => PlanStanding::Static(version),
            false => PlanStanding::Expired(version),
        }
    }

    /// Returns until when this host may go by the keys of the configuration in force, if `lease` is
    /// the time after which a key that was taken away must no longer work; `None` if it cannot tell
    /// whether one was.
    ///
    /// The time counts from when the leader asked a majority, or when this host asked the replicas,
    /// so that a key that was taken away later is still valid for at least `lease`.
    #[must_use]
    pub fn keys_valid_until(&self, now: Moment, lease: Duration) -> Option<Moment> {
        let held = self.held.as_ref().filter(|_| self.knows_time)?;
        let proofs = self.confirmations.iter().filter(|(version, _)| *version <= held.version);
        let confirmed = proofs.map(|(_, at)| self.clock.age(now, *at)).min();
        let reported = self.static_since(now, held.version);
        let reported = reported.map(|since| now.since(since) + self.ask_interval());
        let age = confirmed.into_iter().chain(reported).min()?;
        lease.checked_sub(age).map(|left| now + left)
    }

    /// Returns the leader named by the freshest lease, if that lease is still valid.
    #[must_use]
    pub fn leader(&self, now: Moment) -> Option<&HostId> {
        self.lease.as_ref().filter(|_| self.lease_holds(now)).map(|lease| &lease.leader)
    }

    /// Returns the version in force on each host that has reported it to this host as the leader.
    #[must_use]
    pub fn holders(&self) -> &FastMap<HostId, ConfigVersion> {
        &self.holders
    }

    /// Returns the counts of what this host has done to spread configurations.
    #[must_use]
    pub const fn spread_counts(&self) -> SpreadCounts {
        self.counts
    }

    /// Returns the newest accepted version known to this host, if it lacks that version. Until it
    /// has that version, it cannot answer that something does not exist, because that version may
    /// contain it.
    #[must_use]
    pub fn awaited_version(&self) -> Option<ConfigVersion> {
        self.fetch.as_ref().map(PlanFetch::goal)
    }

    /// Returns when [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let mut next = self.next_round;
        if self.flood || self.can_answer_pending() {
            next = Moment::ZERO;
        }
        if !self.knows_time {
            next =
                next.min(self.asked_at.map_or(Moment::ZERO, |asked| asked + self.ask_interval()));
        }
        if let Some(at) = self.fetch.as_ref().and_then(PlanFetch::next_wakeup) {
            next = next.min(at);
        }
        next
    }

    pub(super) fn lease_holds(&self, now: Moment) -> bool {
        let epoch = self.clock.epoch(now);
        self.lease
            .as_ref()
            .is_some_and(|lease| self.clock.epoch_of(lease.confirmed).is_valid_at(epoch))
    }

    /// Whether a version, or one before it, was confirmed as the latest accepted one so recently
    /// that a lease from then is still valid.
    ///
    /// A fresh lease that names a newer version proves nothing about the one in force here. If it
    /// counted as proof, a host that was frozen for long would wake up, learn of the newer version
    /// and keep serving callers with the old one until it has fetched the new one.
    fn is_confirmed(&self, now: Moment, version: ConfigVersion) -> bool {
        let epoch = self.clock.epoch(now);
        let proofs = self.confirmations.iter().filter(|(confirmed, _)| *confirmed <= version);
        proofs.map(|(_, at)| self.clock.epoch_of(*at)).any(|at| at.is_valid_at(epoch))
    }

    fn record_confirmation(&mut self, version: ConfigVersion, at: SharedTime) {
        if self.confirmations.back().is_some_and(|(last, _)| *last == version) {
            self.confirmations.pop_back();
        }
        self.confirmations.push_back((version, at));
        if self.confirmations.len() > CONFIRMATION_LIMIT {
            self.confirmations.pop_front();
        }
    }

    /// Returns since when a majority of replicas has reported that their logs hold nothing after a
    /// version and no zone order after those known here; `None` if they have not.
    ///
    /// An accepted entry is in the logs of a majority, and any two majorities share a replica: if
    /// no log of a majority holds an entry after the version, none was accepted. An entry found
    /// there may or may not have been accepted, so it rules out serving on and is never put in
    /// force. The same holds for changes of the replica set, so the latest set seen decides.
    fn static_since(&self, now: Moment, version: ConfigVersion) -> Option<Moment> {
        let fresh = |at: &Moment| now.since(*at) < ANSWER_VALIDITY;
        let known = self.lease.as_ref().map(|lease| &lease.replicas);
        let answered = self.log_reports.values().filter(|(at, _)| fresh(at));
        let seen = answered.map(|(_, report)| &report.replicas);
        let latest = known.into_iter().chain(seen).max_by_key(|set| set.index)?;
        let reports = latest.hosts.iter().filter_map(|host| self.log_reports.get(host));
        let reports: Vec<&(Moment, LogReport)> = reports.filter(|(at, _)| fresh(at)).collect();
        let holds_nothing = |report: &LogReport| {
            report.last_entry <= version && report.last_order <= self.evacuated.revision
        };
        let is_static = reports.len() >= latest.majority()
            && reports.iter().all(|(_, report)| holds_nothing(report));
        let oldest = reports.iter().map(|(at, _)| *at).min();
        oldest.filter(|_| is_static)
    }

    // ---------------------------------------------------------------------------------------------
    // Input from the log

    /// Adopts zone orders that this host's own replica knows to be committed.
    pub fn apply_committed_zones(&mut self, zones: &Arc<EvacuatedZones>) {
        self.adopt_zones(zones);
    }

    /// Sets what this host's replica reports to hosts without a lease. `last_entry` is the latest
    /// version in its log and `last_order` the latest zone order, committed or not.
    pub fn set_log_report(
        &mut self,
        replicas: ReplicaSet,
        last_entry: ConfigVersion,
        last_order: LogIndex,
    ) {
        self.own_report = Some(LogReport { replicas, last_entry, last_order });
    }

    /// Records that this host no longer has a replica.
    pub fn clear_log_report(&mut self) {
        self.own_report = None;
    }

    /// Sets which hosts announce that they hold a replica. They are the ones to ask before a lease
    /// has named the replicas.
    pub fn set_announced_replicas(&mut self, hosts: &[HostId]) {
        self.announced_replicas = hosts.to_vec();
        self.update_fetch_sources();
    }

    /// Sets which hosts with a replica are in this host's zone. Plans are fetched from them first,
    /// because links between zones are expensive.
    pub fn set_same_zone_replicas(&mut self, hosts: Vec<HostId>) {
        self.same_zone_replicas = hosts;
    }

    /// Issues a lease as the leader. `confirmed` is the start of the heartbeat round that a
    /// majority has answered. The version and the zones in force here must include all that was
    /// committed by then.
    pub fn issue_lease(&mut self, term: u64, replicas: ReplicaSet, confirmed: Moment) {
        let held = self.held.get_or_insert_with(HeldPlan::empty);
        let lease = PlanLease {
            term,
            confirmed: self.clock.read(confirmed),
            version: held.version,
            digest: held.digest,
            leader: self.host.clone(),
            replicas,
        };
        // Answers from a majority are as fresh as an answer from any host.
        self.knows_time = true;
        self.adopt_lease(lease);
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Joins a round of another component: sends the lease to the host that this component sends
    /// to, so that both messages go in one datagram. The follower starts a round of its own only if
    /// it has not joined one for two intervals.
    ///
    /// On hosts with few requests, rounds take most of the processor time: each message wakes two
    /// hosts, and a wake-up costs more than handling the message.
    pub fn join_round(&mut self, now: Moment, ring: &PeerRing, round: u32) -> Option<PlanSend> {
        self.round = round.wrapping_add(1);
        self.next_round = now + round_interval(ring) * 2;
        let to = ring.target(round).map(|peer| peer.host.clone())?;
        self.lease_message(now, to)
    }

    /// Returns the answers, leases, questions and requests for chunks that are due by now. `ring`
    /// holds the live hosts.
    pub fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<PlanSend> {
        let mut sends = self.answer_pending(now);
        if std::mem::take(&mut self.flood) {
            let targets: Vec<HostId> = self.flood_targets(ring);
            sends.extend(targets.into_iter().filter_map(|to| self.lease_message(now, to)));
        }
        if now >= self.next_round {
            let target = ring.target(self.round).map(|peer| peer.host.clone());
            sends.extend(target.and_then(|to| self.lease_message(now, to)));
            self.round = self.round.wrapping_add(1);
            self.next_round = now + round_interval(ring);
        }
        self.ask_for_lease(now, ring, &mut sends);
        sends.extend(self.request_chunks(now));
        sends
    }

    /// Returns the hosts to notify of a version as soon as it is known here. Each of them notifies
    /// as many in turn.
    fn flood_targets(&self, ring: &PeerRing) -> Vec<HostId> {
        let count = FLOOD_TARGETS.min(ring.rounds());
        let steps = (0..count).map(|step| self.round + step * ring.rounds() / count);
        steps.filter_map(|round| ring.target(round)).map(|peer| peer.host.clone()).collect()
    }

    pub(super) fn lease_message(&self, now: Moment, to: HostId) -> Option<PlanSend> {
        let lease = self.lease.clone().filter(|_| self.knows_time && self.lease_holds(now))?;
        let held = self.version();
        let digest = self.held.as_ref().map(|held| held.digest).unwrap_or_default();
        let evacuated = Arc::clone(&self.evacuated);
        Some(self.message(now, to, PlanContent::Lease { lease, held, digest, evacuated }))
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    /// Handles a message that was authenticated as coming from a host of this installation.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) -> Vec<PlanSend> {
        let Some(PlanMessage { time, content }) = PlanMessage::decode(body) else {
            return Vec::new();
        };
        // On a host that has just started, a message that was in transit for long would set the
        // clock to the past and make an old lease look fresh. The first message to set the clock
        // must therefore be an answer to this host's own question.
        if self.knows_time {
            self.clock.merge_reading(now, time);
        }
        match content {
            PlanContent::Lease { lease, held, digest, evacuated } => {
                self.adopt_zones(&evacuated);
                if self.knows_time {
                    self.adopt_lease(lease);
                }
                self.fetch_from_holder(now, from, (held, digest));
            }
            PlanContent::Ask { nonce } => {
                let cannot_answer = !self.knows_time || self.held.is_none();
                if cannot_answer
                    && (self.pending_askers.len() < ASKER_LIMIT
                        || self.pending_askers.contains_key(from))
                {
                    self.pending_askers.insert(from.clone(), nonce);
                }
                return vec![self.answer(now, from, nonce)];
            }
            PlanContent::Answer { nonce, knows_time, lease, held, digest, report, evacuated } => {
                self.adopt_zones(&evacuated);
                if nonce == self.nonce {
                    self.is_answered = true;
                    self.clock.merge_reading(now, time);
                    self.record_report(now, from, report);
                    self.knows_time |= knows_time;
                    if let Some(lease) = lease {
                        self.adopt_lease(lease);
                    }
                    self.fetch_from_holder(now, from, (held, digest));
                }
            }
            PlanContent::Fetch { held, span, first, wanted } => {
                return self.serve(now, from, (held, span), (first, wanted));
            }
            PlanContent::Chunk(chunk) => return self.take_chunk(now, from, chunk),
            PlanContent::Busy => {
                if let Some(fetch) = &mut self.fetch {
                    fetch.skip_host(now, from);
                }
                return self.request_chunks(now).into_iter().collect();
            }
            PlanContent::Held { version } => {
                let known = self.holders.entry(from.clone()).or_default();
                *known = version.max(*known);
            }
        }
        Vec::new()
    }

    pub(super) fn message(&self, now: Moment, to: HostId, content: PlanContent) -> PlanSend {
        PlanSend { to, body: PlanMessage::encode(self.clock.read(now), content) }
    }

    /// Adopts zone orders if they are newer than those known.
    ///
    /// Every lease carries them, and its sender knows all orders that were committed when the lease
    /// was issued. A host that holds a lease therefore uses no upstream of a zone whose evacuation
    /// was acknowledged before then.
    fn adopt_zones(&mut self, zones: &Arc<EvacuatedZones>) {
        if zones.revision > self.evacuated.revision {
            self.evacuated = Arc::clone(zones);
            self.flood = true;
        }
    }

    /// Adopts a lease if it is the freshest. A new version is passed on at once.
    fn adopt_lease(&mut self, lease: PlanLease) {
        let known = self.lease.as_ref();
        if known.is_some_and(|known| known.rank() >= lease.rank()) || lease.version < self.version()
        {
            return;
        }
        self.flood |= known.is_none_or(|known| known.version < lease.version);
        self.fetch_leased(&lease);
        self.record_confirmation(lease.version, lease.confirmed);
        self.lease = Some(lease);
        self.update_fetch_sources();
    }
}

/// Returns the interval between two rounds of one host.
fn round_interval(ring: &PeerRing) -> Duration {
    (RING_CYCLE / ring.rounds().max(1)).clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL)
}
