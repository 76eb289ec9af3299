//! How a host without a lease asks other hosts for one, and how hosts answer such questions.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::PlanSend;
use super::plan_follower::{ANSWER_TERM, PlanFollower, START_PAUSE};
use super::plan_follower_message::{LogReport, PlanContent};
use crate::process::{HostId, Moment, PeerRing};

/// The interval between questions while there is no lease.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// How many peers are asked at a time while there is no lease, besides the replicas.
const ASK_PEERS: usize = 2;

impl PlanFollower {
    /// Whether hosts that asked too early can be answered now.
    pub(super) fn has_askers(&self) -> bool {
        self.welcomed && self.held.is_some() && !self.askers.is_empty()
    }

    /// Answers the hosts that asked before this host could answer.
    ///
    /// This matters when all hosts restart together and every entry asks the replicas until one of
    /// them leads. Answered only at their next question, entries would have the configuration later
    /// than the leader by that delay, and refuse their callers meanwhile. Each host gets one
    /// answer, to its last question, because it accepts no other.
    pub(super) fn answer_askers(&mut self, now: Moment) -> Vec<PlanSend> {
        if !self.has_askers() {
            return Vec::new();
        }
        let askers = std::mem::take(&mut self.askers);
        askers.into_iter().map(|(host, nonce)| self.answer(now, &host, nonce)).collect()
    }

    /// Returns the interval between two questions.
    ///
    /// It limits the load when hundreds of entries restart together and all of them ask every
    /// replica until one leads. If each of them asked ten times a second, replicas would be busy
    /// with little else and elect a leader later. A host that has answered once sends its lease as
    /// soon as it can, so asking again soon is useful only until the first answer.
    pub(super) fn ask_pause(&self) -> Duration {
        if self.welcomed || self.is_answered { ASK_PAUSE } else { START_PAUSE }
    }

    /// Asks the replicas and some peers while there is no valid lease.
    pub(super) fn ask_around(&mut self, now: Moment, ring: &PeerRing, sends: &mut Vec<PlanSend>) {
        let waiting = self.asked.is_some_and(|asked| now.since(asked) < self.ask_pause());
        if waiting || (self.welcomed && self.lease_holds(now)) {
            return;
        }
        self.asked = Some(now);
        self.is_answered = false;
        self.nonce = self.rng.random();
        self.answers.retain(|_, (at, _)| now.since(*at) < ANSWER_TERM);
        let mut asked: Vec<HostId> = self.known_replicas();
        if !self.welcomed {
            asked.extend(self.likely_replicas.iter().cloned());
        }
        let peers = ring.peers();
        for _ in 0..ASK_PEERS.min(peers.len()) {
            asked.push(peers[self.rng.random_range(0..peers.len())].0.clone());
        }
        asked.sort();
        asked.dedup();
        asked.retain(|host| *host != self.host);
        if let Some(answer) = &self.replica {
            self.answers.insert(self.host.clone(), (now, answer.clone()));
        }
        let ask = PlanContent::Ask { nonce: self.nonce };
        sends.extend(asked.into_iter().map(|to| self.send(now, to, ask.clone())));
    }

    fn known_replicas(&self) -> Vec<HostId> {
        let known = self.lease.as_ref().map(|lease| &lease.replicas);
        let seen = self.answers.values().map(|(_, answer)| &answer.replicas);
        let own = self.replica.as_ref().map(|answer| &answer.replicas);
        let latest = known.into_iter().chain(seen).chain(own).max_by_key(|set| set.index);
        latest.map(|set| set.hosts.clone()).unwrap_or_default()
    }

    pub(super) fn answer(&self, now: Moment, to: &HostId, nonce: u64) -> PlanSend {
        let lease = self.lease.clone().filter(|_| self.welcomed && self.lease_holds(now));
        let digest = self.held.as_ref().map(|held| held.digest).unwrap_or_default();
        let (welcomed, held, replica) = (self.welcomed, self.version(), self.replica.clone());
        let evacuated = Arc::clone(&self.evacuated);
        let answer =
            PlanContent::Answer { nonce, welcomed, lease, held, digest, replica, evacuated };
        self.send(now, to.clone(), answer)
    }

    pub(super) fn take_answer(&mut self, now: Moment, from: &HostId, replica: Option<LogReport>) {
        if let Some(answer) = replica {
            self.answers.insert(from.clone(), (now, answer));
        }
    }
}
