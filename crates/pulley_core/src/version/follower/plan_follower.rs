//! What a host does to have the current configuration in force, and to know that it is.

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

/// The time in which a lease reaches all hosts on its way round the ring.
const CYCLE: Duration = Duration::from_secs(1);
/// The shortest pause between two rounds.
const ROUND_FLOOR: Duration = Duration::from_millis(100);
/// The longest pause between two rounds.
const ROUND_CEILING: Duration = Duration::from_millis(250);
/// The same for a host that has just started and serves nobody until it knows: where all start
/// together, each tenth of a second more is one in which every caller is refused.
pub(super) const START_PAUSE: Duration = Duration::from_millis(100);
/// How long a replica's answer counts. With the time an answer is under way it stays under the
/// 4 s in which a change must be in force everywhere, or the host not ready.
pub(super) const ANSWER_TERM: Duration = Duration::from_secs(3);
/// How many hosts are told of a new version as soon as it is in force here.
const FLOOD_TARGETS: u32 = 3;
/// How many versions' last confirmations are remembered; a host further behind is not ready.
const CONFIRMATIONS: usize = 32;
/// How many hosts that asked too early are remembered: all of an installation at the planned size.
pub(super) const ASKER_LIMIT: usize = 2_048;

/// How a host stands towards the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStanding {
    /// It has just started and doesn't know the current version yet: not ready.
    Starting,
    /// Its version is the latest accepted, by the leader's lease.
    InForce(ConfigVersion),
    /// There is no leader, but a majority of replicas holds nothing newer: it serves on.
    Static(ConfigVersion),
    /// It can't tell whether something newer was accepted, or lacks it: not ready.
    Expired(ConfigVersion),
}

impl PlanStanding {
    /// Whether new work may be taken.
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::InForce(_) | Self::Static(_))
    }
}

/// The follower of one host; every host has one, replicas and the leader included.
///
/// A lease goes from host to host like upstream leases do, so the leader sends no more than others.
/// A new version is announced by its number and digest. What leads to it from the version held is
/// pulled from a replica, or, where none answers, from another host that holds it: as much as the
/// change is large, and no more of any link than callers can spare.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    pub(super) host: HostId,
    clock: SharedClock,
    pub(super) rng: SmallRng,
    pub(super) nonce: u64,
    pub(super) asked: Option<Moment>,
    /// Whether anybody has answered the last question.
    pub(super) is_answered: bool,
    /// Whether a question of this process was answered, so that the shared time is known.
    pub(super) welcomed: bool,
    pub(super) lease: Option<PlanLease>,
    /// When each of the last versions was confirmed to be the latest, for the last time heard of.
    confirmations: VecDeque<(ConfigVersion, SharedTime)>,
    pub(super) held: Option<HeldPlan>,
    /// The newest orders for zones heard of; always committed.
    pub(super) evacuated: Arc<EvacuatedZones>,
    /// The steps to the plan held, for hosts that hold an earlier one.
    pub(super) history: DeltaHistory,
    pub(super) fetch: Option<PlanFetch>,
    pub(super) counts: SpreadCounts,
    pub(super) replica: Option<LogReport>,
    pub(super) answers: FastMap<HostId, (Moment, LogReport)>,
    /// Who has asked this host before it could tell anything, with the number of the last question.
    pub(super) askers: FastMap<HostId, u64>,
    holders: FastMap<HostId, ConfigVersion>,
    pub(super) serve_budget: ServeBudget,
    next_round: Moment,
    round: u32,
    /// Hosts that say of themselves that they hold a replica.
    pub(super) likely_replicas: Vec<HostId>,
    /// Those of them that are in the own zone.
    pub(super) near_replicas: Vec<HostId>,
    /// Whether a new version is to be told of at once.
    pub(super) flood: bool,
    /// Whether the host serves on by the last version it knew when it can learn of no newer one.
    serves_on: bool,
}

impl PlanFollower {
    /// Makes the follower of a host that has just started.
    #[must_use]
    pub fn new(host: HostId, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            host,
            clock: SharedClock::default(),
            nonce: rng.random(),
            rng,
            asked: None,
            is_answered: false,
            welcomed: false,
            lease: None,
            confirmations: VecDeque::new(),
            held: None,
            evacuated: Arc::default(),
            history: DeltaHistory::default(),
            fetch: None,
            counts: SpreadCounts::default(),
            replica: None,
            answers: FastMap::default(),
            askers: FastMap::default(),
            holders: FastMap::default(),
            serve_budget: ServeBudget::new(None),
            next_round: Moment::ZERO,
            round: 0,
            likely_replicas: Vec::new(),
            near_replicas: Vec::new(),
            flood: false,
            serves_on: false,
        }
    }

    /// Sets whether the host serves on by the last version it knew, for as long as nobody can tell
    /// it whether that is still the latest.
    ///
    /// It then may serve by an old version while it is cut off, but never goes back to one. Where
    /// that is not allowed, it is not ready until it hears from a majority again.
    #[must_use]
    pub fn with_serving_on(mut self, serves_on: bool) -> Self {
        self.serves_on = serves_on;
        self
    }

    /// Sets what the host's link bears, in bytes a second: plans get a part of it.
    #[must_use]
    pub fn with_link_rate(mut self, rate: Option<f64>) -> Self {
        self.serve_budget = ServeBudget::new(rate);
        self
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// The configuration in force, if one is known; its version never goes down.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<PolicyPlan>> {
        self.held.as_ref().map(|held| &held.plan)
    }

    /// The version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.held.as_ref().map_or(ConfigVersion::default(), |held| held.version)
    }

    /// The zones that are evacuated, as far as this host has heard; orders are never taken back by
    /// earlier ones. Whether it has heard of all is what [`Self::standing`] tells.
    #[must_use]
    pub fn evacuated(&self) -> &Arc<EvacuatedZones> {
        &self.evacuated
    }

    /// How the host stands now.
    #[must_use]
    pub fn standing(&self, now: Moment) -> PlanStanding {
        let Some(held) = self.held.as_ref().filter(|_| self.welcomed) else {
            return PlanStanding::Starting;
        };
        let version = held.version;
        if self.is_confirmed(now, version) {
            return PlanStanding::InForce(version);
        }
        match self.serves_on || self.is_static(now, version) {
            true => PlanStanding::Static(version),
            false => PlanStanding::Expired(version),
        }
    }

    /// The leader by the freshest lease, if it holds.
    #[must_use]
    pub fn leader(&self, now: Moment) -> Option<&HostId> {
        self.lease.as_ref().filter(|_| self.lease_holds(now)).map(|lease| &lease.leader)
    }

    /// The hosts that told this one, as the leader, which version is in force with them.
    #[must_use]
    pub fn holders(&self) -> &FastMap<HostId, ConfigVersion> {
        &self.holders
    }

    /// What spreading configurations has cost this host so far.
    #[must_use]
    pub const fn spread_counts(&self) -> SpreadCounts {
        self.counts
    }

    /// The newest accepted version that this host has heard of, if it lacks it: whoever is asked for
    /// what only that version has can't say here that it doesn't exist.
    #[must_use]
    pub fn awaited(&self) -> Option<ConfigVersion> {
        self.fetch.as_ref().map(PlanFetch::goal)
    }

    /// When [`Self::tick`] next has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Moment {
        let mut next = self.next_round;
        if self.flood || self.has_askers() {
            next = Moment::ZERO;
        }
        if !self.welcomed {
            next = next.min(self.asked.map_or(Moment::ZERO, |asked| asked + self.ask_pause()));
        }
        if let Some(at) = self.fetch.as_ref().and_then(PlanFetch::next_wakeup) {
            next = next.min(at);
        }
        next
    }

    pub(super) fn lease_holds(&self, now: Moment) -> bool {
        let epoch = self.clock.epoch(now);
        self.lease.as_ref().is_some_and(|lease| self.clock.epoch_of(lease.confirmed).holds(epoch))
    }

    /// Whether a version, or one before it, was the latest accepted within a lease's time.
    ///
    /// A fresh lease that names a newer version proves nothing about the one in force here. Were it
    /// taken for a proof, a host that was frozen for long would wake up, hear of the newer version
    /// and go on serving callers by the old one until it has fetched the new.
    fn is_confirmed(&self, now: Moment, version: ConfigVersion) -> bool {
        let epoch = self.clock.epoch(now);
        let proofs = self.confirmations.iter().filter(|(confirmed, _)| *confirmed <= version);
        proofs.map(|(_, at)| self.clock.epoch_of(*at)).any(|at| at.holds(epoch))
    }

    fn note_confirmation(&mut self, version: ConfigVersion, at: SharedTime) {
        if self.confirmations.back().is_some_and(|(last, _)| *last == version) {
            self.confirmations.pop_back();
        }
        self.confirmations.push_back((version, at));
        if self.confirmations.len() > CONFIRMATIONS {
            self.confirmations.pop_front();
        }
    }

    /// Whether a majority of replicas says that nothing past a version, and no order for a zone past
    /// those heard of, is in its logs.
    ///
    /// What was accepted is in the logs of a majority, and any two majorities share a replica: if
    /// none of a majority holds an entry past the version, none was accepted. An entry that is
    /// seen there may or may not have been accepted, so it forbids to serve on and is never put
    /// in force. The same holds for changes of the replica set, so the latest set seen decides.
    fn is_static(&self, now: Moment, version: ConfigVersion) -> bool {
        let fresh = |at: &Moment| now.since(*at) < ANSWER_TERM;
        let known = self.lease.as_ref().map(|lease| &lease.replicas);
        let answered = self.answers.values().filter(|(at, _)| fresh(at));
        let seen = answered.map(|(_, answer)| &answer.replicas);
        let Some(latest) = known.into_iter().chain(seen).max_by_key(|set| set.index) else {
            return false;
        };
        let answers: Vec<&LogReport> = latest
            .hosts
            .iter()
            .filter_map(|host| self.answers.get(host))
            .filter(|(at, _)| fresh(at))
            .map(|(_, answer)| answer)
            .collect();
        answers.len() >= latest.majority()
            && answers.iter().all(|answer| {
                answer.last_entry <= version && answer.last_order <= self.evacuated.revision
            })
    }

    // ---------------------------------------------------------------------------------------------
    // What the log says

    /// Takes over orders for zones that this host's own replica knows to be committed.
    pub fn committed_zones(&mut self, zones: &Arc<EvacuatedZones>) {
        self.take_zones(zones);
    }

    /// Notes what this host's replica holds, to be told to hosts without a lease; `last_entry` is
    /// the latest version in the log and `last_order` the latest order for a zone, committed or not.
    pub fn set_replica(
        &mut self,
        replicas: ReplicaSet,
        last_entry: ConfigVersion,
        last_order: LogIndex,
    ) {
        self.replica = Some(LogReport { replicas, last_entry, last_order });
    }

    /// Notes that this host has no replica any more.
    pub fn clear_replica(&mut self) {
        self.replica = None;
    }

    /// Notes which hosts say of themselves that they hold a replica: whom to ask before a lease has
    /// told who does.
    pub fn apply_replicas(&mut self, hosts: &[HostId]) {
        self.likely_replicas = hosts.to_vec();
        self.meet_replicas();
    }

    /// Notes which of them are in the own zone: plans come from there, as links between zones are
    /// dear.
    pub fn prefer_replicas(&mut self, near: Vec<HostId>) {
        self.near_replicas = near;
    }

    /// Issues a lease as the leader. `confirmed` is when the round of heartbeats began that a
    /// majority has answered; the version and the zones in force here must be all that was committed
    /// by then.
    pub fn lead(&mut self, term: u64, replicas: ReplicaSet, confirmed: Moment) {
        let held = self.held.get_or_insert_with(HeldPlan::empty);
        let lease = PlanLease {
            term,
            confirmed: self.clock.read(confirmed),
            version: held.version,
            digest: held.digest,
            leader: self.host.clone(),
            replicas,
        };
        // A majority's answers are as fresh as any host's.
        self.welcomed = true;
        self.take_lease(lease);
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    /// Tells the host of another's round of what is due now, so that both messages go in one
    /// datagram; own rounds follow only if no other comes for a while.
    ///
    /// On hosts with few requests the rounds are most of what the processor does: each message
    /// wakes two hosts, and a wake-up costs more than what is in it.
    pub fn join_round(&mut self, now: Moment, ring: &PeerRing, round: u32) -> Option<PlanSend> {
        self.round = round.wrapping_add(1);
        self.next_round = now + round_pause(ring) * 2;
        let to = ring.target(round).map(|(host, _)| host.clone())?;
        self.tell_lease(now, to)
    }

    /// Does what is due by now; the ring is that of the live hosts.
    pub fn tick(&mut self, now: Moment, ring: &PeerRing) -> Vec<PlanSend> {
        let mut sends = self.answer_askers(now);
        if std::mem::take(&mut self.flood) {
            let told: Vec<HostId> = self.flood_targets(ring);
            sends.extend(told.into_iter().filter_map(|to| self.tell_lease(now, to)));
        }
        if now >= self.next_round {
            let target = ring.target(self.round).map(|(host, _)| host.clone());
            sends.extend(target.and_then(|to| self.tell_lease(now, to)));
            self.round = self.round.wrapping_add(1);
            self.next_round = now + round_pause(ring);
        }
        self.ask_around(now, ring, &mut sends);
        sends.extend(self.ask_for_plan(now));
        sends
    }

    /// Whom to tell of a version as soon as it is known here; each of them tells as many.
    fn flood_targets(&self, ring: &PeerRing) -> Vec<HostId> {
        let count = FLOOD_TARGETS.min(ring.rounds());
        let steps = (0..count).map(|step| self.round + step * ring.rounds() / count);
        steps.filter_map(|round| ring.target(round)).map(|(host, _)| host.clone()).collect()
    }

    pub(super) fn tell_lease(&self, now: Moment, to: HostId) -> Option<PlanSend> {
        let lease = self.lease.clone().filter(|_| self.welcomed && self.lease_holds(now))?;
        let held = self.version();
        let digest = self.held.as_ref().map(|held| held.digest).unwrap_or_default();
        let evacuated = Arc::clone(&self.evacuated);
        Some(self.send(now, to, PlanContent::Lease { lease, held, digest, evacuated }))
    }

    // ---------------------------------------------------------------------------------------------
    // Messages

    /// Takes in a message that was authenticated as that of a host of this installation.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) -> Vec<PlanSend> {
        let Some(PlanMessage { time, content }) = PlanMessage::unpack(body) else {
            return Vec::new();
        };
        // A message that was under way for long would set the clock of a host that has just
        // started to the past, and make an old lease look fresh: only an answer sets it first.
        if self.welcomed {
            self.clock.adopt(now, time);
        }
        match content {
            PlanContent::Lease { lease, held, digest, evacuated } => {
                self.take_zones(&evacuated);
                if self.welcomed {
                    self.take_lease(lease);
                }
                self.take_committed(now, from, (held, digest));
            }
            PlanContent::Ask { nonce } => {
                let is_early = !self.welcomed || self.held.is_none();
                if is_early && (self.askers.len() < ASKER_LIMIT || self.askers.contains_key(from)) {
                    self.askers.insert(from.clone(), nonce);
                }
                return vec![self.answer(now, from, nonce)];
            }
            PlanContent::Answer { nonce, welcomed, lease, held, digest, replica, evacuated } => {
                self.take_zones(&evacuated);
                if nonce == self.nonce {
                    self.is_answered = true;
                    self.clock.adopt(now, time);
                    self.take_answer(now, from, replica);
                    self.welcomed |= welcomed;
                    if let Some(lease) = lease {
                        self.take_lease(lease);
                    }
                    self.take_committed(now, from, (held, digest));
                }
            }
            PlanContent::Fetch { held, span, first, wanted } => {
                return self.serve(now, from, (held, span), (first, wanted));
            }
            PlanContent::Chunk(chunk) => return self.take_chunk(now, from, chunk),
            PlanContent::Busy => {
                if let Some(fetch) = &mut self.fetch {
                    fetch.pass_over(now, from);
                }
                return self.ask_for_plan(now).into_iter().collect();
            }
            PlanContent::Held { version } => {
                let known = self.holders.entry(from.clone()).or_default();
                *known = version.max(*known);
            }
        }
        Vec::new()
    }

    pub(super) fn send(&self, now: Moment, to: HostId, content: PlanContent) -> PlanSend {
        PlanSend { to, body: PlanMessage::pack(self.clock.read(now), content) }
    }

    /// Takes over orders for zones if they are newer than those known.
    ///
    /// They go along with every lease, and whoever sends one knows of all orders that were committed
    /// when it was issued. A host that holds a lease therefore has no upstream of a zone in use whose
    /// evacuation was acknowledged before.
    fn take_zones(&mut self, zones: &Arc<EvacuatedZones>) {
        if zones.revision > self.evacuated.revision {
            self.evacuated = Arc::clone(zones);
            self.flood = true;
        }
    }

    /// Takes in a lease if it is the freshest; a new version is told of at once.
    fn take_lease(&mut self, lease: PlanLease) {
        let known = self.lease.as_ref();
        if known.is_some_and(|known| known.rank() >= lease.rank()) || lease.version < self.version()
        {
            return;
        }
        self.flood |= known.is_none_or(|known| known.version < lease.version);
        self.want(&lease);
        self.note_confirmation(lease.version, lease.confirmed);
        self.lease = Some(lease);
        self.meet_replicas();
    }
}

/// The pause between two rounds of one host.
fn round_pause(ring: &PeerRing) -> Duration {
    (CYCLE / ring.rounds().max(1)).clamp(ROUND_FLOOR, ROUND_CEILING)
}
