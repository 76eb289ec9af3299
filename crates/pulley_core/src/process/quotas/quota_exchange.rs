//! Carries asks and verdicts between this host's requests and the replicas' accounts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::account_ranking::account_rank;
use super::ask_forwarder::AskForwarder;
use super::ask_route::{AskRoute, AskStep};
use super::peer_paths::PeerPaths;
use super::quota_message::QuotaMessage;
use super::replica_paths::ReplicaPaths;
use super::{
    FastMap, FastSet, HostId, KeeperBeat, KeeperStanding, KeeperWatch, Moment, OrganisationName,
    QuotaAnswer, QuotaAsk, QuotaLedger, QuotaTerms, QuotaVerdict,
};
use crate::version::PolicyPlan;

/// The least interval between two messages of an entry to the same host. A busy entry's asks go
/// together.
const SEND_INTERVAL: Duration = Duration::from_millis(10);

/// How long an ask may go without the verdict of a keeper.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// How long no keeper may serve after the first plan with quotas is in force. Replicas exchange no
/// heartbeats before, and serve 500 ms after a majority has confirmed them.
const FIRST_SERVE_LIMIT: Duration = Duration::from_millis(1_500);

/// How long this entry counts as isolated after no replica has answered an ask.
const SILENT_SPAN: Duration = Duration::from_secs(1);

/// The interval at which this host checks whether it still serves the accounts it has served.
const SERVED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An action for the caller of [`QuotaExchange`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaOutput {
    /// Send a message to a host.
    ToHost {
        /// The receiver.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Give this host's requests a verdict.
    Verdict(QuotaVerdict),
    /// Tell this host's requests that no keeper of an organisation's account answers.
    Isolated(OrganisationName),
    /// Log that this host now keeps an account.
    KeeperChanged {
        /// The organisation.
        organisation: OrganisationName,
        /// The replica that it belongs to, if that is another one. It is down.
        former: Option<HostId>,
        /// This host.
        keeper: HostId,
    },
}

/// Numbers of asks since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuotaCounts {
    /// Asks of this host's that were granted in full.
    pub granted: u64,
    /// Asks of this host's that were granted in part or not at all.
    pub refused: u64,
    /// Answers to this host that a replica isn't the keeper.
    pub not_keeper: u64,
    /// Asks of this host's that no keeper answered.
    pub unanswered: u64,
    /// Asks of entries that this replica has relayed to the keeper.
    pub relayed: u64,
    /// Asks of other entries that this entry has forwarded to replicas.
    pub forwarded: u64,
    /// Accounts that this replica has taken over from one that was down.
    pub takeovers: u64,
}

/// An account as one replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AccountStatus {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The keeper, if this replica serves the account or relays asks to the keeper.
    pub keeper: Option<HostId>,
    /// Milliseconds for which this replica has kept the account.
    pub kept_ms: Option<u64>,
}

/// One host's part in keeping to the quotas of organisations.
#[derive(Clone, Debug)]
pub struct QuotaExchange {
    host: HostId,
    replicas: Vec<HostId>,
    voters: Vec<HostId>,
    /// The organisations of the plan that have quotas.
    organisations: FastSet<OrganisationName>,
    plan: Arc<PolicyPlan>,
    /// When the last plan without quotas ended.
    quotas_since: Moment,
    watch: KeeperWatch,
    ledger: QuotaLedger,
    paths: ReplicaPaths,
    peers: PeerPaths,
    forwarder: AskForwarder,
    /// Asks without a verdict. Each organisation has at most one.
    routes: FastMap<OrganisationName, AskRoute>,
    /// Asks that wait to be sent, by receiver.
    waiting: FastMap<HostId, Vec<QuotaAsk>>,
    /// When the next message may be sent to a host.
    next_sends: FastMap<HostId, Moment>,
    /// The replica that has last granted or refused permits of each organisation.
    answered_by: FastMap<OrganisationName, HostId>,
    /// When a replica last answered.
    last_answer: Option<Moment>,
    silent_until: Moment,
    /// The accounts that this replica has served.
    served: FastSet<OrganisationName>,
    next_served_check: Moment,
    counts: QuotaCounts,
    outputs: Vec<QuotaOutput>,
}

impl QuotaExchange {
    /// Creates the part of a host that has just started. `incarnation` distinguishes its process
    /// from earlier ones of the same host.
    #[must_use]
    pub fn new(host: HostId, incarnation: u64, terms: QuotaTerms) -> Self {
        Self {
            watch: KeeperWatch::new(host.clone(), incarnation),
            host,
            replicas: Vec::new(),
            voters: Vec::new(),
            organisations: FastSet::default(),
            plan: Arc::default(),
            quotas_since: Moment::ZERO,
            ledger: QuotaLedger::new(terms),
            paths: ReplicaPaths::default(),
            peers: PeerPaths::default(),
            forwarder: AskForwarder::default(),
            routes: FastMap::default(),
            waiting: FastMap::default(),
            next_sends: FastMap::default(),
            answered_by: FastMap::default(),
            last_answer: None,
            silent_until: Moment::ZERO,
            served: FastSet::default(),
            next_served_check: Moment::ZERO,
            counts: QuotaCounts::default(),
            outputs: Vec::new(),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the numbers of asks so far.
    #[must_use]
    pub fn counts(&self) -> QuotaCounts {
        self.counts
    }

    /// Returns the accounts as this replica sees them, by organisation; none on other hosts.
    #[must_use]
    pub fn status(&self, now: Moment) -> Vec<AccountStatus> {
        if !self.voters.contains(&self.host) {
            return Vec::new();
        }
        let kept: FastMap<&OrganisationName, Moment> = self.ledger.kept(now).collect();
        let account = |organisation: &OrganisationName| {
            let (keeper, since) = match self.watch.standing(now, organisation) {
                KeeperStanding::Serves => (Some(self.host.clone()), kept.get(organisation)),
                KeeperStanding::Relays(keeper) => (Some(keeper), None),
                KeeperStanding::Unknown => (None, None),
            };
            let kept_ms = since.map(|since| now.since(*since).as_millis());
            AccountStatus {
                organisation: organisation.clone(),
                keeper,
                kept_ms: kept_ms.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX)),
            }
        };
        let mut accounts: Vec<AccountStatus> = self.organisations.iter().map(account).collect();
        accounts.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        accounts
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if nothing is due before an
    /// input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let route_at = self.routes.values().map(AskRoute::due).min();
        let next_send = |to| self.next_sends.get(to).copied().unwrap_or_default();
        let send_at = self.waiting.keys().map(next_send).min();
        let check_at = (!self.served.is_empty()).then_some(self.next_served_check);
        let dues = [route_at, send_at, check_at, self.watch.next_wakeup()];
        dues.into_iter().flatten().min()
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Sets the live replicas.
    pub fn set_replicas(&mut self, now: Moment, replicas: &[HostId]) {
        if self.replicas == replicas {
            return;
        }
        self.replicas = replicas.to_vec();
        self.forget_unknown_hosts();
        self.routes.values_mut().for_each(|route| route.restart(now));
        self.advance(now);
    }

    /// Sets the other entries that asks go to while no replica answers, in this order. They must not
    /// be replicas.
    pub fn set_peers(&mut self, now: Moment, peers: &[HostId]) {
        if self.peers.peers() != peers {
            self.peers.set_peers(peers);
            self.forget_unknown_hosts();
            self.advance(now);
        }
    }

    /// Sets the voters of the replicated log, as this replica knows them.
    pub fn set_voters(&mut self, now: Moment, voters: &[HostId]) {
        if self.voters != voters {
            self.voters = voters.to_vec();
            self.update_watch(now);
        }
    }

    /// Sets the plan in force on this host.
    pub fn set_plan(&mut self, now: Moment, plan: &Arc<PolicyPlan>) {
        if Arc::ptr_eq(&self.plan, plan) {
            return;
        }
        self.plan = Arc::clone(plan);
        if self.organisations.is_empty() {
            self.quotas_since = now;
        }
        let limited = plan.organisations.iter().filter(|terms| terms.quota.is_some());
        self.organisations = limited.map(|terms| terms.name.clone()).collect();
        self.answered_by.retain(|name, _| self.organisations.contains(name));
        self.served.retain(|name| self.organisations.contains(name));
        self.ledger.set_plan(now, plan);
        self.update_watch(now);
    }

    /// Sends asks of this host's requests. An organisation's ask replaces an earlier one.
    pub fn ask(&mut self, now: Moment, asks: Vec<QuotaAsk>) {
        let expires_at = (now + ANSWER_LIMIT).max(self.quotas_since + FIRST_SERVE_LIMIT);
        for ask in asks {
            if now < self.silent_until || self.replicas.is_empty() {
                self.outputs.push(QuotaOutput::Isolated(ask.organisation.clone()));
            }
            self.routes.insert(ask.organisation.clone(), AskRoute::new(now, expires_at, ask));
        }
        self.advance(now);
    }

    /// Handles a message of another host. A message that cannot be decoded is dropped.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) {
        match QuotaMessage::unpack(body) {
            Some(QuotaMessage::Asks(asks)) if self.is_replica() => {
                self.answer_entry(now, from, from, asks);
            }
            Some(QuotaMessage::Asks(asks)) => self.forward_asks(now, from, &asks),
            Some(QuotaMessage::RelayedAsks { entry, via, asks }) => {
                self.answer_relayed(now, from, &entry, via.as_ref(), asks);
            }
            Some(QuotaMessage::Verdicts(verdicts)) => self.take_verdicts(now, from, verdicts),
            Some(QuotaMessage::RelayedVerdicts { entry, via, verdicts }) => {
                self.pass_back(now, from, &entry, via.as_ref(), verdicts);
            }
            Some(QuotaMessage::Beat(beat)) => self.watch.receive(now, from, &beat),
            None => {}
        }
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: Moment) {
        if let Some(beat) = self.watch.tick(now) {
            self.send_beat(beat);
        }
        self.advance(now);
        if now >= self.next_served_check && !self.served.is_empty() {
            self.next_served_check = now + SERVED_CHECK_INTERVAL;
            let watch = &self.watch;
            self.served.retain(|name| watch.standing(now, name) == KeeperStanding::Serves);
        }
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<QuotaOutput> {
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // The replica's side

    /// Watches the other voters while the plan has quotas.
    fn update_watch(&mut self, now: Moment) {
        let voters: &[HostId] = if self.organisations.is_empty() { &[] } else { &self.voters };
        self.watch.set_voters(now, voters);
    }

    fn send_beat(&mut self, beat: KeeperBeat) {
        let body = QuotaMessage::Beat(beat).pack();
        let others = self.voters.iter().filter(|voter| **voter != self.host);
        let sends = others.map(|to| QuotaOutput::ToHost { to: to.clone(), body: body.clone() });
        self.outputs.extend(sends);
    }

    /// Whether other hosts take this one for a replica.
    fn is_replica(&self) -> bool {
        self.voters.contains(&self.host) || self.replicas.contains(&self.host)
    }

    /// Answers asks of an entry, or relays them to the keeper. `from` is the entry itself or another
    /// one that has forwarded them.
    fn answer_entry(&mut self, now: Moment, from: &HostId, entry: &HostId, asks: Vec<QuotaAsk>) {
        let (mut own, mut relayed) = (Vec::new(), FastMap::<HostId, Vec<QuotaAsk>>::default());
        for ask in asks {
            match self.watch.standing(now, &ask.organisation) {
                KeeperStanding::Relays(keeper) => relayed.entry(keeper).or_default().push(ask),
                KeeperStanding::Serves | KeeperStanding::Unknown => own.push(ask),
            }
        }
        let via = (from != entry).then(|| from.clone());
        let verdicts = self.answer(now, entry, &own);
        self.send_verdicts(entry, via.as_ref(), &verdicts);
        for (keeper, asks) in relayed {
            self.counts.relayed += asks.len() as u64;
            let message = |asks| {
                let (entry, via) = (entry.clone(), via.clone());
                QuotaMessage::RelayedAsks { entry, via, asks }
            };
            self.send_all(&keeper, &asks, message);
        }
    }

    /// Answers asks that another host passes on. Those from an entry are relayed to the keeper if
    /// this replica isn't it; those from a replica are not passed on again.
    fn answer_relayed(
        &mut self,
        now: Moment,
        from: &HostId,
        entry: &HostId,
        via: Option<&HostId>,
        asks: Vec<QuotaAsk>,
    ) {
        if !self.is_replica() {
            return;
        }
        let is_from_entry = via.is_none() && from != entry && !self.voters.contains(from);
        if is_from_entry {
            self.answer_entry(now, from, entry, asks);
            return;
        }
        let verdicts = self.answer(now, entry, &asks);
        let message = |verdicts| {
            let (entry, via) = (entry.clone(), via.cloned());
            QuotaMessage::RelayedVerdicts { entry, via, verdicts }
        };
        self.send_all(from, &verdicts, message);
    }

    /// Sends verdicts to an entry, through the other entry that has forwarded its asks, if any.
    fn send_verdicts(&mut self, entry: &HostId, via: Option<&HostId>, verdicts: &[QuotaVerdict]) {
        let Some(via) = via else {
            self.send_all(entry, verdicts, QuotaMessage::Verdicts);
            return;
        };
        let message = |verdicts| {
            let entry = entry.clone();
            QuotaMessage::RelayedVerdicts { entry, via: None, verdicts }
        };
        self.send_all(via, verdicts, message);
    }

    /// Answers asks as the keeper where this replica serves the account. An organisation that the
    /// plan in force does not have gets no answer, because the entry may know a newer plan.
    fn answer(&mut self, now: Moment, entry: &HostId, asks: &[QuotaAsk]) -> Vec<QuotaVerdict> {
        let watch = &self.watch;
        let serves_since = |organisation: &_| watch.serves_since(now, organisation);
        let verdicts = self.ledger.answer(now, entry, asks, serves_since);
        for verdict in &verdicts {
            if verdict.answer != QuotaAnswer::NotKeeper {
                self.record_served(&verdict.organisation);
            }
        }
        verdicts
    }

    fn record_served(&mut self, organisation: &OrganisationName) {
        if self.served.contains(organisation) {
            return;
        }
        self.served.insert(organisation.clone());
        let owner = self.voters.iter().max_by_key(|voter| account_rank(organisation, voter));
        let former = owner.filter(|owner| **owner != self.host).cloned();
        self.counts.takeovers += u64::from(former.is_some());
        let organisation = organisation.clone();
        let keeper = self.host.clone();
        self.outputs.push(QuotaOutput::KeeperChanged { organisation, former, keeper });
    }

    fn send_all<T: Clone>(
        &mut self,
        to: &HostId,
        items: &[T],
        message: impl Fn(Vec<T>) -> QuotaMessage,
    ) {
        for body in QuotaMessage::pack_all(items, message) {
            self.outputs.push(QuotaOutput::ToHost { to: to.clone(), body });
        }
    }

    // ---------------------------------------------------------------------------------------------
    // The entry's side

    /// Forgets the paths to hosts that are neither replicas nor peers any more.
    fn forget_unknown_hosts(&mut self) {
        let (replicas, peers) = (&self.replicas, self.peers.peers());
        let is_known = |host: &HostId| replicas.contains(host) || peers.contains(host);
        self.paths.retain(is_known);
        self.waiting.retain(|host, _| is_known(host));
        self.next_sends.retain(|host, _| is_known(host));
    }

    /// Forwards asks of another entry, which no replica answers, to replicas.
    fn forward_asks(&mut self, now: Moment, entry: &HostId, asks: &[QuotaAsk]) {
        let mut forwarded = FastMap::<HostId, Vec<QuotaAsk>>::default();
        for ask in asks {
            let answered_by = self.answered_by.get(&ask.organisation);
            let (replicas, paths) = (&self.replicas, &mut self.paths);
            let to = self.forwarder.forward(now, (entry, ask), replicas, answered_by, paths);
            if let Some(to) = to {
                forwarded.entry(to).or_default().push(ask.clone());
            }
        }
        for (replica, asks) in forwarded {
            self.counts.forwarded += asks.len() as u64;
            let message = |asks| {
                let entry = entry.clone();
                QuotaMessage::RelayedAsks { entry, via: None, asks }
            };
            self.send_all(&replica, &asks, message);
        }
    }

    /// Passes verdicts back to the entry whose asks this host has relayed or forwarded.
    fn pass_back(
        &mut self,
        now: Moment,
        from: &HostId,
        entry: &HostId,
        via: Option<&HostId>,
        mut verdicts: Vec<QuotaVerdict>,
    ) {
        if self.is_replica() {
            self.send_verdicts(entry, via, &verdicts);
            return;
        }
        verdicts.retain(|verdict| self.forwarder.receive(now, from, entry, verdict));
        if verdicts.is_empty() {
            return;
        }
        self.paths.record_answer(from, None);
        self.peers.record_replica_answer(now);
        self.send_all(entry, &verdicts, QuotaMessage::Verdicts);
    }

    fn take_verdicts(&mut self, now: Moment, from: &HostId, verdicts: Vec<QuotaVerdict>) {
        if self.replicas.contains(from) {
            self.peers.record_replica_answer(now);
        }
        for verdict in verdicts {
            let Some(route) = self.routes.get_mut(&verdict.organisation) else { continue };
            if route.ask.number != verdict.number {
                continue;
            }
            self.last_answer = Some(now);
            self.silent_until = Moment::ZERO;
            self.paths.record_answer(from, route.round_trip(now, from));
            self.peers.record_answer(from);
            if verdict.answer == QuotaAnswer::NotKeeper {
                self.counts.not_keeper += 1;
                route.decline(now, from, &self.replicas);
            } else {
                self.finish(from, verdict);
            }
        }
        self.advance(now);
    }

    /// Ends an ask with the keeper's verdict.
    fn finish(&mut self, from: &HostId, verdict: QuotaVerdict) {
        let Some(route) = self.routes.remove(&verdict.organisation) else { return };
        if let QuotaAnswer::Permits { urgent, late, .. } = verdict.answer {
            let is_granted = urgent >= route.ask.urgent && late >= route.ask.late;
            *(if is_granted { &mut self.counts.granted } else { &mut self.counts.refused }) += 1;
        }
        if !self.replicas.contains(from) {
            // Another entry doesn't tell which replica has granted the permits.
            self.answered_by.remove(&verdict.organisation);
        } else if self.answered_by.get(&verdict.organisation) != Some(from) {
            self.answered_by.insert(verdict.organisation.clone(), from.clone());
        }
        self.outputs.push(QuotaOutput::Verdict(verdict));
    }

    /// Takes the steps of all asks that are due, and sends what may be sent.
    fn advance(&mut self, now: Moment) {
        let due = self.routes.iter().filter(|(_, route)| route.due() <= now);
        let due: Vec<OrganisationName> = due.map(|(name, _)| name.clone()).collect();
        for organisation in due {
            self.advance_route(now, &organisation);
        }
        self.send_waiting(now);
    }

    fn advance_route(&mut self, now: Moment, organisation: &OrganisationName) {
        let Some(mut route) = self.routes.remove(organisation) else { return };
        loop {
            let to = match route.advance(now, &self.replicas, &mut self.peers, &mut self.paths) {
                AskStep::Send(to) => to,
                AskStep::Wait => break,
                AskStep::GiveUp => {
                    self.give_up(now, &route);
                    return;
                }
            };
            // Permits are returned to the replica that issued them. Another one would add them to
            // an account that they were not taken from.
            if self.answered_by.get(organisation) != Some(&to) {
                route.ask.returned = 0;
            }
            if to != self.host {
                let sent_at = self.next_sends.get(&to).map_or(now, |next| now.max(*next));
                route.record_sent(sent_at);
                if self.peers.peers().contains(&to) {
                    self.retry_replica(now, &route.ask);
                }
                self.waiting.entry(to).or_default().push(route.ask.clone());
                break;
            }
            let host = self.host.clone();
            let verdicts = self.answer(now, &host, std::slice::from_ref(&route.ask));
            match verdicts.into_iter().next() {
                Some(verdict) if verdict.answer != QuotaAnswer::NotKeeper => {
                    self.routes.insert(organisation.clone(), route);
                    self.finish(&host, verdict);
                    return;
                }
                _ => route.decline(now, &host, &self.replicas),
            }
        }
        self.routes.insert(organisation.clone(), route);
    }

    /// Sends an ask that goes to another entry to a replica as well, if a try is due. It has the same
    /// number, so that it is charged once.
    fn retry_replica(&mut self, now: Moment, ask: &QuotaAsk) {
        if let Some(replica) = self.peers.replica_to_try(now, &self.replicas) {
            self.waiting.entry(replica).or_default().push(ask.clone());
        }
    }

    fn give_up(&mut self, now: Moment, route: &AskRoute) {
        self.counts.unanswered += 1;
        if self.last_answer.is_none_or(|at| at < route.started_at()) {
            self.silent_until = now + SILENT_SPAN;
        }
        self.outputs.push(QuotaOutput::Isolated(route.ask.organisation.clone()));
    }

    fn send_waiting(&mut self, now: Moment) {
        let next_sends = &self.next_sends;
        let is_due = |to: &&HostId| next_sends.get(*to).is_none_or(|next| now >= *next);
        let due: Vec<HostId> = self.waiting.keys().filter(is_due).cloned().collect();
        for to in due {
            let Some(asks) = self.waiting.remove(&to) else { continue };
            self.send_all(&to, &asks, QuotaMessage::Asks);
            self.next_sends.insert(to, now + SEND_INTERVAL);
        }
    }
}
