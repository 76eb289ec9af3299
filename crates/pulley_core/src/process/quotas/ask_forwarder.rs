//! The asks of other entries that this entry forwards to replicas.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use super::account_ranking::account_rank;
use super::replica_paths::ReplicaPaths;
use super::{HostId, Moment, OrganisationName, QuotaAnswer, QuotaAsk, QuotaVerdict};

/// How long a forwarded ask is remembered, and how many are forwarded in that time. An ask waits
/// 600 ms at most for its verdict.
const RETENTION: Duration = Duration::from_secs(1);
const FORWARD_LIMIT: usize = 200;

/// An ask that was sent to a replica for another entry.
#[derive(Clone, Debug)]
struct ForwardedAsk {
    at: Moment,
    entry: HostId,
    organisation: OrganisationName,
    number: u32,
    replica: HostId,
    /// Whether permits were granted or refused.
    is_served: bool,
}

impl ForwardedAsk {
    const fn key(&self) -> (&HostId, &OrganisationName, u32) {
        (&self.entry, &self.organisation, self.number)
    }
}

/// The asks of other entries that this entry has forwarded to replicas in the last second.
#[derive(Clone, Debug, Default)]
pub(super) struct AskForwarder {
    asks: VecDeque<ForwardedAsk>,
}

impl AskForwarder {
    /// Returns the replica to forward an ask of an entry to; `None` if too many were forwarded. One
    /// that arrives again goes to a replica that has not had it yet. Otherwise it goes to the
    /// replica that has last served the organisation, or to the first in rank.
    pub(super) fn forward(
        &mut self,
        now: Moment,
        (entry, ask): (&HostId, &QuotaAsk),
        replicas: &[HostId],
        answered_by: Option<&HostId>,
        paths: &mut ReplicaPaths,
    ) -> Option<HostId> {
        self.prune(now);
        if self.asks.len() >= FORWARD_LIMIT {
            return None;
        }
        let earlier = || self.earlier(entry, &ask.organisation, ask.number);
        let last = earlier().next_back();
        let is_unanswered =
            |last: &&ForwardedAsk| now.since(last.at) >= paths.timeout(&last.replica);
        if let Some(last) = last.filter(is_unanswered) {
            paths.record_timeout(now, &last.replica);
        }
        let is_recent =
            |known: &&ForwardedAsk| known.is_served && known.organisation == ask.organisation;
        let served = self.asks.iter().rfind(is_recent).map(|known| &known.replica);
        let answered_by = served.or(answered_by);
        let rank = |replica: &&HostId| {
            let sends = earlier().filter(|ask| ask.replica == **replica).count();
            let is_other = answered_by != Some(*replica);
            let rank = Reverse(account_rank(&ask.organisation, replica));
            (sends, paths.is_tried_last(now, replica), is_other, rank)
        };
        let replica = replicas.iter().min_by_key(rank)?.clone();
        self.asks.push_back(ForwardedAsk {
            at: now,
            entry: entry.clone(),
            organisation: ask.organisation.clone(),
            number: ask.number,
            replica: replica.clone(),
            is_served: false,
        });
        Some(replica)
    }

    /// Takes the verdict of a replica. Returns whether it answers an ask that was forwarded for an
    /// entry in the last second.
    pub(super) fn receive(
        &mut self,
        now: Moment,
        from: &HostId,
        entry: &HostId,
        verdict: &QuotaVerdict,
    ) -> bool {
        self.prune(now);
        let mut is_awaited = false;
        let key = (entry, &verdict.organisation, verdict.number);
        for ask in self.asks.iter_mut().filter(|ask| ask.key() == key && ask.replica == *from) {
            ask.is_served = verdict.answer != QuotaAnswer::NotKeeper;
            is_awaited = true;
        }
        is_awaited
    }

    fn earlier(
        &self,
        entry: &HostId,
        organisation: &OrganisationName,
        number: u32,
    ) -> impl DoubleEndedIterator<Item = &ForwardedAsk> {
        self.asks.iter().filter(move |ask| ask.key() == (entry, organisation, number))
    }

    fn prune(&mut self, now: Moment) {
        while self.asks.front().is_some_and(|ask| now.since(ask.at) >= RETENTION) {
            self.asks.pop_front();
        }
    }
}
