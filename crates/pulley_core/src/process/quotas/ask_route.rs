//! The way of one ask from replica to replica.

use std::time::Duration;

use super::ask_round::AskRound;
use super::peer_paths::PeerPaths;
use super::replica_paths::ReplicaPaths;
use super::{HostId, Moment, QuotaAsk};

/// How often an ask is sent to a host before the next one is tried. A peer forwards the second one to
/// another replica.
const SENDS_PER_HOST: u8 = 2;

/// The pause after all hosts of a round were tried. Until a successor serves, all others answer that
/// they do not keep the account.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// How late a timer may fire before this host counts as stalled, and how long an answer may then
/// still wait in its socket.
const STALL_LIMIT: Duration = Duration::from_millis(10);
const STALL_GRACE: Duration = Duration::from_millis(5);

/// What to do with an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AskStep {
    /// Wait until the ask is due again.
    Wait,
    /// Send it to this host.
    Send(HostId),
    /// No replica answers as the keeper.
    GiveUp,
}

/// The way of one ask from replica to replica: in rank order, those last that leave asks
/// unanswered, and from the start after all were tried. If no replica answers, it goes to other
/// entries, which forward it.
#[derive(Clone, Debug)]
pub(super) struct AskRoute {
    pub(super) ask: QuotaAsk,
    started_at: Moment,
    expires_at: Moment,
    target: Option<HostId>,
    /// How often the ask was sent to the target.
    sends: u8,
    sent_at: Moment,
    due: Moment,
    round: Option<AskRound>,
}

impl AskRoute {
    /// Starts the way of an ask that goes without a verdict until `expires_at` at most.
    pub(super) fn new(now: Moment, expires_at: Moment, ask: QuotaAsk) -> Self {
        Self {
            ask,
            started_at: now,
            expires_at,
            target: None,
            sends: 0,
            sent_at: now,
            due: now,
            round: None,
        }
    }

    /// Returns when the ask began.
    pub(super) const fn started_at(&self) -> Moment {
        self.started_at
    }

    /// Returns when [`Self::advance`] next has something to do.
    pub(super) fn due(&self) -> Moment {
        self.due.min(self.expires_at)
    }

    /// Starts a new round, because the replicas have changed.
    pub(super) fn restart(&mut self, now: Moment) {
        (self.target, self.round, self.due) = (None, None, now);
    }

    /// Takes the next step, if it is due.
    pub(super) fn advance(
        &mut self,
        now: Moment,
        replicas: &[HostId],
        peers: &mut PeerPaths,
        paths: &mut ReplicaPaths,
    ) -> AskStep {
        if now < self.due() {
            return AskStep::Wait;
        }
        if self.target.is_some() && now.since(self.due()) > STALL_LIMIT {
            self.due = self.due.max(now + STALL_GRACE);
            self.expires_at = self.expires_at.max(now + STALL_GRACE);
            return AskStep::Wait;
        }
        if now >= self.expires_at {
            return AskStep::GiveUp;
        }
        if let Some(target) = self.target.clone() {
            let was_tried_last = paths.is_tried_last(now, &target);
            paths.record_timeout(now, &target);
            peers.record_timeout(&target);
            if self.sends < SENDS_PER_HOST && !was_tried_last {
                return self.send(now, target, paths);
            }
            self.leave_target(replicas);
        }
        let round = self.round.get_or_insert_with(|| AskRound::new(now));
        match round.next_target(now, &self.ask.organisation, replicas, peers, paths) {
            Some(next) => {
                self.sends = 0;
                self.send(now, next, paths)
            }
            // Whether a keeper answers again is found out with the next request.
            None if self.ask.urgent == 0 && self.ask.late == 0 => AskStep::GiveUp,
            None => {
                self.round = None;
                self.due = now + ROUND_PAUSE;
                AskStep::Wait
            }
        }
    }

    /// Records that the ask leaves at `sent_at`, which is later than it was due if it waits for
    /// others to the same replica.
    pub(super) fn record_sent(&mut self, sent_at: Moment) {
        self.due = sent_at + self.due.since(self.sent_at);
        self.sent_at = sent_at;
    }

    /// Takes the answer of a host that it can't reach the account's keeper. The next step is due if
    /// the ask was last sent to that host.
    pub(super) fn decline(&mut self, now: Moment, from: &HostId, replicas: &[HostId]) {
        if let Some(round) = &mut self.round {
            round.record_answer(from, replicas);
        }
        if self.target.as_ref() == Some(from) {
            self.leave_target(replicas);
            self.due = now;
        }
    }

    /// Returns the round trip of the answer of a replica, unless the ask was sent to it more than
    /// once or last to another one.
    pub(super) fn round_trip(&self, now: Moment, from: &HostId) -> Option<Duration> {
        let is_single = self.target.as_ref() == Some(from) && self.sends == 1;
        is_single.then(|| now.since(self.sent_at))
    }

    fn send(&mut self, now: Moment, target: HostId, paths: &ReplicaPaths) -> AskStep {
        self.sends += 1;
        self.sent_at = now;
        self.due = now + paths.timeout(&target);
        self.target = Some(target.clone());
        AskStep::Send(target)
    }

    fn leave_target(&mut self, replicas: &[HostId]) {
        if let (Some(target), Some(round)) = (self.target.take(), &mut self.round) {
            round.record_tried(&target, replicas);
        }
    }
}
