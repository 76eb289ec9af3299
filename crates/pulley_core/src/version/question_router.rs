//! Routes questions to the leading replica, and the answers back.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{CHANGE_BYTES_LIMIT, PackedValue, ReplicaAnswer, ReplicaQuestion};
use crate::process::{FastMap, HostId, Moment};

/// How long one replica may take before the next one is tried: several times the slowest commit
/// between zones, but short enough to try three replicas within [`QUESTION_TIMEOUT`].
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Slowest assumed link, in bytes per second. A question's timeouts are extended by its transfer
/// time on such a link. Otherwise a large question would be sent again in full while the first copy
/// is still arriving.
const SLOWEST_LINK_RATE: usize = 128 << 10;

/// Maximum transfer time by which a question's timeouts are extended.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Size from which a message is compressed, in bytes.
const PACKING_THRESHOLD: usize = 16 << 10;

/// How long a question may take in total, including an election in between.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the router asks again when no replica knows a leader.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of questions waiting at one host. Each holds up a caller or an operator. Beyond
/// the limit the host refuses at once, because the answers would miss the callers' deadlines
/// anyway.
const PENDING_LIMIT: usize = 8_192;

/// Number of a question within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuestionNumber(pub u64);

/// Messages between the routers of different hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RouterMessage {
    Question {
        number: QuestionNumber,
        question: ReplicaQuestion,
    },
    Answer {
        number: QuestionNumber,
        answer: ReplicaAnswer,
    },
    /// One of the other messages in compressed form, used when it carries a configuration.
    Packed(PackedValue),
}

impl RouterMessage {
    fn encode(&self) -> Bytes {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        if body.len() < PACKING_THRESHOLD {
            return Bytes::from(body);
        }
        let packed = Self::Packed(PackedValue::pack(self));
        Bytes::from(postcard::to_stdvec(&packed).unwrap_or_default())
    }

    fn decode(body: &[u8]) -> Option<Self> {
        match postcard::from_bytes(body).ok()? {
            Self::Packed(packed) => packed.unpack(CHANGE_BYTES_LIMIT),
            plain => Some(plain),
        }
    }
}

/// An action for the router's caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterOutput {
    /// Asks the replica on this host.
    AskLocal {
        /// Number to return with the answer.
        number: QuestionNumber,
        /// The question.
        question: ReplicaQuestion,
    },
    /// Sends a message to another host.
    Send {
        /// Destination.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Answers a question that was asked on this host.
    Answer {
        /// Number of the question.
        number: QuestionNumber,
        /// The answer; `Unknown` if none arrived in time.
        answer: ReplicaAnswer,
    },
}

#[derive(Clone, Debug)]
enum QuestionOrigin {
    Local,
    Peer { host: HostId, number: QuestionNumber },
}

#[derive(Clone, Debug)]
struct PendingQuestion {
    origin: QuestionOrigin,
    question: ReplicaQuestion,
    asked_host: Option<HostId>,
    attempts: usize,
    asked_at: Moment,
    retry_at: Moment,
    give_up_at: Moment,
}

/// Routes questions from any host to the leader.
///
/// A question may be sent more than once, because an answer can be lost. A change is therefore
/// identified by its change id and a claim by its claimant; all other questions are idempotent.
#[derive(Debug)]
pub struct QuestionRouter {
    host: HostId,
    replicas: Vec<HostId>,
    leader: Option<HostId>,
    next_number: u64,
    pending: FastMap<QuestionNumber, PendingQuestion>,
}

impl QuestionRouter {
    /// Creates a router that knows no replica yet.
    ///
    /// `first` is the first question number. It must differ between starts of a host. Otherwise a
    /// late answer to a question from before a restart could be mistaken for an answer to a new
    /// question.
    #[must_use]
    pub fn new(host: HostId, first: u64) -> Self {
        Self {
            host,
            replicas: Vec::new(),
            leader: None,
            next_number: first,
            pending: FastMap::default(),
        }
    }

    /// Sets the hosts that hold a replica.
    pub fn set_replicas(&mut self, replicas: Vec<HostId>) {
        self.replicas = replicas;
    }

    /// Sets the leader known to this host; `None` keeps the previous one.
    pub fn set_leader(&mut self, leader: Option<HostId>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Accepts a question asked on this host.
    ///
    /// Returns `None`, without any effect, if too many questions are waiting already.
    pub fn ask(
        &mut self,
        now: Moment,
        question: ReplicaQuestion,
    ) -> Option<(QuestionNumber, Vec<RouterOutput>)> {
        if self.pending.len() >= PENDING_LIMIT {
            return None;
        }
        let number = self.insert(now, QuestionOrigin::Local, question);
        Some((number, self.attempt(now, number)))
    }

    /// Handles the local replica's answer.
    pub fn handle_local_answer(
        &mut self,
        now: Moment,
        number: QuestionNumber,
        answer: ReplicaAnswer,
    ) -> Vec<RouterOutput> {
        self.handle_answer(now, number, answer)
    }

    /// Handles a message from another host's router; an undecodable one is dropped.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) -> Vec<RouterOutput> {
        let Some(message) = RouterMessage::decode(body) else { return Vec::new() };
        match message {
            RouterMessage::Question { number, question } => {
                self.receive_question(now, from, number, question)
            }
            RouterMessage::Answer { number, answer } => {
                let expected =
                    self.pending.get(&number).and_then(|pending| pending.asked_host.as_ref());
                // A late answer from a replica asked earlier is as valid as one from the replica
                // asked last, unless it only says that the replica is not the leader.
                if expected != Some(from) && matches!(answer, ReplicaAnswer::NotLeader { .. }) {
                    return Vec::new();
                }
                self.handle_answer(now, number, answer)
            }
            // No router sends a message that is packed twice.
            RouterMessage::Packed(_) => Vec::new(),
        }
    }

    /// Tries the next replica for questions whose attempt has timed out, and gives up on those
    /// whose total time is up.
    pub fn tick(&mut self, now: Moment) -> Vec<RouterOutput> {
        let mut due: Vec<QuestionNumber> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.retry_at <= now || pending.give_up_at <= now)
            .map(|(number, _)| *number)
            .collect();
        due.sort_unstable();
        due.into_iter().flat_map(|number| self.retry_or_give_up(now, number)).collect()
    }

    /// Returns when [`Self::tick`] has to be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.give_up_at)).min()
    }

    /// Returns the number of waiting questions.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    fn insert(
        &mut self,
        now: Moment,
        origin: QuestionOrigin,
        question: ReplicaQuestion,
    ) -> QuestionNumber {
        let number = QuestionNumber(self.next_number);
        self.next_number = self.next_number.wrapping_add(1);
        let pending = PendingQuestion {
            origin,
            question,
            asked_host: None,
            attempts: 0,
            asked_at: now,
            retry_at: now,
            give_up_at: now + QUESTION_TIMEOUT,
        };
        self.pending.insert(number, pending);
        number
    }

    fn receive_question(
        &mut self,
        now: Moment,
        from: &HostId,
        number: QuestionNumber,
        question: ReplicaQuestion,
    ) -> Vec<RouterOutput> {
        if self.pending.len() >= PENDING_LIMIT || !self.replicas.contains(&self.host) {
            let answer = ReplicaAnswer::NotLeader { leader: self.leader.clone() };
            return vec![send(from, &RouterMessage::Answer { number, answer })];
        }
        let origin = QuestionOrigin::Peer { host: from.clone(), number };
        let number = self.insert(now, origin, question.clone());
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.asked_host = Some(self.host.clone());
            pending.retry_at = pending.give_up_at;
        }
        vec![RouterOutput::AskLocal { number, question }]
    }

    fn retry_or_give_up(&mut self, now: Moment, number: QuestionNumber) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        if pending.give_up_at <= now {
            return self.finish(number, unknown("no answer in time"));
        }
        // A partitioned leader cannot be distinguished from a slow one. Asking the other replicas
        // in turn costs one message each and finds a new leader as soon as there is one.
        if pending.asked_host.is_some() && pending.asked_host == self.leader {
            self.leader = None;
        }
        self.attempt(now, number)
    }

    fn attempt(&mut self, now: Moment, number: QuestionNumber) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        let target = self.leader.clone().or_else(|| {
            let count = self.replicas.len().max(1);
            self.replicas.get(pending.attempts % count).cloned()
        });
        pending.attempts += 1;
        let Some(target) = target else {
            pending.retry_at = now + NO_LEADER_RETRY_DELAY;
            return Vec::new();
        };
        pending.asked_host = Some(target.clone());
        let question = pending.question.clone();
        if target == self.host {
            pending.retry_at = now + ATTEMPT_TIMEOUT;
            return vec![RouterOutput::AskLocal { number, question }];
        }
        let body = RouterMessage::Question { number, question }.encode();
        let transfer = transfer_time(body.len());
        pending.retry_at = now + ATTEMPT_TIMEOUT + transfer;
        pending.give_up_at = pending.asked_at + QUESTION_TIMEOUT + transfer;
        vec![RouterOutput::Send { to: target, body }]
    }

    fn handle_answer(
        &mut self,
        now: Moment,
        number: QuestionNumber,
        answer: ReplicaAnswer,
    ) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        let ReplicaAnswer::NotLeader { leader } = &answer else {
            if matches!(pending.origin, QuestionOrigin::Local) {
                self.leader = pending.asked_host.clone();
            }
            return self.finish(number, answer);
        };
        if matches!(pending.origin, QuestionOrigin::Peer { .. }) {
            return self.finish(number, answer);
        }
        let asked = pending.asked_host.take();
        match leader {
            // A reply that names the replica just asked means that the replier knows no new leader
            // yet.
            Some(named) if Some(named) != asked.as_ref() => {
                self.leader = Some(named.clone());
                self.attempt(now, number)
            }
            _ => {
                if self.leader == asked {
                    self.leader = None;
                }
                pending.retry_at = now + NO_LEADER_RETRY_DELAY;
                Vec::new()
            }
        }
    }

    fn finish(&mut self, number: QuestionNumber, answer: ReplicaAnswer) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.remove(&number) else { return Vec::new() };
        match pending.origin {
            QuestionOrigin::Local => vec![RouterOutput::Answer { number, answer }],
            QuestionOrigin::Peer { host, number } => {
                vec![send(&host, &RouterMessage::Answer { number, answer })]
            }
        }
    }
}

fn transfer_time(bytes: usize) -> Duration {
    Duration::from_millis((bytes * 1_000 / SLOWEST_LINK_RATE) as u64).min(MAX_TRANSFER_TIME)
}

fn unknown(why: &'static str) -> ReplicaAnswer {
    ReplicaAnswer::Unknown { why: SmolStr::new_static(why) }
}

fn send(to: &HostId, message: &RouterMessage) -> RouterOutput {
    RouterOutput::Send { to: to.clone(), body: message.encode() }
}
