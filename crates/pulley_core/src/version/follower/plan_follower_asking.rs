//! How a host without a lease asks other hosts for one, and how hosts answer such questions.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::PlanSend;
use super::plan_follower::{ANSWER_VALIDITY, PlanFollower, START_ASK_INTERVAL};
use super::plan_follower_message::{LogReport, PlanContent};
use crate::process::{HostId, Moment, PeerRing};

/// The interval between questions while there is no lease.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// How many peers are asked at a time while there is no lease, besides the replicas.
const ASKED_PEERS: usize = 2;

impl PlanFollower {
    /// Whether there are hosts that asked before this host could answer, and it can answer them
    /// now.
    pub(super) fn can_answer_pending(&self) -> bool {
        self.knows_time && self.held.is_some() && !self.pending_askers.is_empty()
    }

    /// Answers the hosts that asked before this host could answer.
    ///
    /// This matters when all hosts restart together and every entry asks the replicas until one of
    /// them leads. If entries were answered only when they ask again, they would get the
    /// configuration later than the leader by up to one interval between questions, and refuse
    /// their callers meanwhile. Each host gets one answer, to its last question, because it accepts
    /// no other answer.
    pub(super) fn answer_pending(&mut self, now: Moment) -> Vec<PlanSend> {
        if !self.can_answer_pending() {
            return Vec::new();
        }
        let pending_askers = std::mem::take(&mut self.pending_askers);
        pending_askers.into_iter().map(|(host, nonce)| self.answer(now, &host, nonce)).collect()
    }

    /// Returns the interval between two of this host's questions for a lease.
    ///
    /// It limits the load when hundreds of entries restart together and all of them ask every
    /// replica until one leads. If each of them asked ten times a second, replicas would be busy
    /// with little else and elect a leader later. A host that has answered a question sends its
    /// lease as soon as it can, so asking again soon is useful only until the first answer.
    pub(super) fn ask_interval(&self) -> Duration {
        if self.knows_time || self.is_answered { ASK_INTERVAL } else { START_ASK_INTERVAL }
    }

    /// Asks the replicas and some peers while there is no valid lease.
    pub(super) fn ask_for_lease(
        &mut self,
        now: Moment,
        ring: &PeerRing,
        sends: &mut Vec<PlanSend>,
    ) {
        let waiting = self.asked_at.is_some_and(|asked| now.since(asked) < self.ask_interval());
        if waiting || (self.knows_time && self.lease_holds(now)) {
            return;
        }
        self.asked_at = Some(now);
        self.is_answered = false;
        self.nonce = self.rng.random();
        self.log_reports.retain(|_, (at, _)| now.since(*at) < ANSWER_VALIDITY);
        let mut asked: Vec<HostId> = self.known_replicas();
        if !self.knows_time {
            asked.extend(self.announced_replicas.iter().cloned());
        }
        let peers = ring.peers();
        for _ in 0..ASKED_PEERS.min(peers.len()) {
            asked.push(peers[self.rng.random_range(0..peers.len())].host.clone());
        }
        asked.sort();
        asked.dedup();
        asked.retain(|host| *host != self.host);
        if let Some(report) = &self.own_report {
            self.log_reports.insert(self.host.clone(), (now, report.clone()));
        }
        let ask = PlanContent::Ask { nonce: self.nonce };
        sends.extend(asked.into_iter().map(|to| self.message(now, to, ask.clone())));
    }

    fn known_replicas(&self) -> Vec<HostId> {
        let known = self.lease.as_ref().map(|lease| &lease.replicas);
        let seen = self.log_reports.values().map(|(_, report)| &report.replicas);
        let own = self.own_report.as_ref().map(|report| &report.replicas);
        let latest = known.into_iter().chain(seen).chain(own).max_by_key(|set| set.index);
        latest.map(|set| set.hosts.clone()).unwrap_or_default()
    }

    pub(super) fn answer(&self, now: Moment, to: &HostId, nonce: u64) -> PlanSend {
        let lease = self.lease.clone().filter(|_| self.knows_time && self.lease_holds(now));
        let digest = self.held.as_ref().map(|held| held.digest).unwrap_or_default();
        let (knows_time, held, report) = (self.knows_time, self.version(), self.own_report.clone());
        let evacuated = Arc::clone(&self.evacuated);
        let answer =
            PlanContent::Answer { nonce, knows_time, lease, held, digest, report, evacuated };
        self.message(now, to.clone(), answer)
    }

    pub(super) fn record_report(&mut self, now: Moment, from: &HostId, report: Option<LogReport>) {
        if let Some(report) = report {
            self.log_reports.insert(from.clone(), (now, report));
        }
    }
}
