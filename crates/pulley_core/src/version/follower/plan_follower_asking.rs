//! How a host asks others for the configuration while it has no lease, and answers those who ask.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::plan_follower::{ANSWER_TERM, PlanFollower, START_PAUSE};
use super::plan_follower_message::{LogReport, PlanContent};
use super::{ConfigVersion, PlanSend};
use crate::process::{HostId, Moment, PeerRing};

/// How often hosts are asked while there is no lease.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// How many peers are asked at a time while there is no lease, besides the replicas.
const ASK_PEERS: usize = 2;

impl PlanFollower {
    /// The newest accepted version that this host has heard of, if it lacks it: whoever is asked for
    /// what only that version has can't say here that it doesn't exist.
    #[must_use]
    pub fn awaited(&self) -> Option<ConfigVersion> {
        let told = self.lease.as_ref().map(|lease| lease.version);
        let held_elsewhere = self.fetch.as_ref().map(|fetch| fetch.version);
        told.max(held_elsewhere).filter(|newest| *newest > self.version())
    }

    /// Whether there is an answer now for those who have asked too early.
    pub(super) fn has_askers(&self) -> bool {
        self.welcomed && self.held.is_some() && !self.askers.is_empty()
    }

    /// Answers those who asked before this host could tell anything.
    ///
    /// Load it is for: all hosts restart together, and every entry asks the replicas until one
    /// leads. Harm: told only when they ask the next time, entries have the configuration that much
    /// after the leader, and refuse their callers meanwhile. Reason for the limit: one answer a host,
    /// to its last question, which is all that it takes for an answer.
    pub(super) fn answer_askers(&mut self, now: Moment) -> Vec<PlanSend> {
        if !self.has_askers() {
            return Vec::new();
        }
        let askers = std::mem::take(&mut self.askers);
        askers.into_iter().map(|(host, nonce)| self.answer(now, &host, nonce)).collect()
    }

    /// The pause between two questions.
    ///
    /// Load it is for: hundreds of entries restart together, and all of them ask every replica until
    /// one leads. Harm: asked by each of them ten times a second, replicas are busy with little else
    /// and elect a leader later. Reason for the limit: who has answered once tells as soon as it can,
    /// so that asking again soon is of use only as long as nobody has.
    pub(super) fn ask_pause(&self) -> Duration {
        if self.welcomed || self.is_answered { ASK_PAUSE } else { START_PAUSE }
    }

    /// Asks replicas and some peers while there is no lease.
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
