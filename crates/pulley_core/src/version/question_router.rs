//! Brings questions to whichever replica leads, and their answers back.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{CHANGE_BYTES_LIMIT, PackedValue, ReplicaAnswer, ReplicaQuestion};
use crate::process::{FastMap, HostId, Moment};

/// How long one replica may take before the next is tried: several times the worst commit seen
/// between zones, but short enough that three replicas can be tried within a question's time.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(700);

/// The slowest that a link is taken to be, in bytes a second: a question has longer by what it needs
/// on its way, or a large one would be sent again, in full, while it still arrives.
const SLOWEST_LINK: usize = 128 << 10;

/// The longest that a question is taken to need on its way.
const LONGEST_WAY: Duration = Duration::from_secs(10);

/// How many bytes a message takes before it is packed.
const PACKED_FROM: usize = 16 << 10;

/// How long a question may take in all, an election in between included.
const QUESTION_LIMIT: Duration = Duration::from_secs(4);

/// How long the router waits before it asks again when no replica knows a leader.
const LEADERLESS_PAUSE: Duration = Duration::from_millis(60);

/// Questions waiting at one host. Each holds a caller or an operator; past this the host is better
/// off refusing at once, since their answers would come after the callers' deadlines anyway.
const PENDING_LIMIT: usize = 8_192;

/// Numbers the questions of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuestionNumber(pub u64);

/// What hosts send each other about questions.
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
    /// One of the others, compressed: a question with a configuration or an answer with one.
    Packed(PackedValue),
}

impl RouterMessage {
    fn encode(&self) -> Bytes {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        if body.len() < PACKED_FROM {
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

/// What the router wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterOutput {
    /// Ask the replica on this host.
    AskLocal {
        /// Number to answer with.
        number: QuestionNumber,
        /// The question.
        question: ReplicaQuestion,
    },
    /// Send to another host.
    Send {
        /// Where to.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// A question asked on this host has its answer.
    Answer {
        /// Which question.
        number: QuestionNumber,
        /// The answer; `Unknown` when none came in time.
        answer: ReplicaAnswer,
    },
}

#[derive(Clone, Debug)]
enum QuestionOrigin {
    Here,
    Peer { host: HostId, number: QuestionNumber },
}

#[derive(Clone, Debug)]
struct PendingQuestion {
    origin: QuestionOrigin,
    question: ReplicaQuestion,
    asked_of: Option<HostId>,
    tried: usize,
    asked_at: Moment,
    retry_at: Moment,
    give_up_at: Moment,
}

/// Routes questions from any host to the leader.
///
/// Every question may be sent more than once, since an answer can be lost: a change carries its
/// change id, a claim its claimant, the others are idempotent as they are.
#[derive(Debug)]
pub struct QuestionRouter {
    host: HostId,
    replicas: Vec<HostId>,
    leader: Option<HostId>,
    next: u64,
    pending: FastMap<QuestionNumber, PendingQuestion>,
}

impl QuestionRouter {
    /// Makes a router that knows no replica yet.
    ///
    /// `first` must differ between starts of a host, so that a late answer to an earlier start is
    /// not taken for an answer to this one.
    #[must_use]
    pub fn new(host: HostId, first: u64) -> Self {
        Self { host, replicas: Vec::new(), leader: None, next: first, pending: FastMap::default() }
    }

    /// Says which hosts hold a replica.
    pub fn apply_replicas(&mut self, replicas: Vec<HostId>) {
        self.replicas = replicas;
    }

    /// Says who leads, as far as this host knows.
    pub fn apply_leader(&mut self, leader: Option<HostId>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Takes a question asked on this host.
    ///
    /// Returns `None` when too many wait already; nothing was done then.
    pub fn ask(
        &mut self,
        now: Moment,
        question: ReplicaQuestion,
    ) -> Option<(QuestionNumber, Vec<RouterOutput>)> {
        if self.pending.len() >= PENDING_LIMIT {
            return None;
        }
        let number = self.insert(now, QuestionOrigin::Here, question);
        Some((number, self.attempt(now, number)))
    }

    /// Takes the local replica's answer.
    pub fn local_answer(
        &mut self,
        now: Moment,
        number: QuestionNumber,
        answer: ReplicaAnswer,
    ) -> Vec<RouterOutput> {
        self.answered(now, number, answer)
    }

    /// Takes a message of another host's router; what cannot be read is dropped.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) -> Vec<RouterOutput> {
        let Some(message) = RouterMessage::decode(body) else { return Vec::new() };
        match message {
            RouterMessage::Question { number, question } => {
                self.forwarded(now, from, number, question)
            }
            RouterMessage::Answer { number, answer } => {
                let expected =
                    self.pending.get(&number).and_then(|pending| pending.asked_of.as_ref());
                // A late answer of a replica asked earlier is as true as one of the replica asked
                // last, unless it only says that it does not lead.
                if expected != Some(from) && matches!(answer, ReplicaAnswer::NotLeader { .. }) {
                    return Vec::new();
                }
                self.answered(now, number, answer)
            }
            // Packed twice: nobody sends that.
            RouterMessage::Packed(_) => Vec::new(),
        }
    }

    /// Tries the next replica for questions that have waited long enough, and gives up on those out
    /// of time.
    pub fn tick(&mut self, now: Moment) -> Vec<RouterOutput> {
        let mut due: Vec<QuestionNumber> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.retry_at <= now || pending.give_up_at <= now)
            .map(|(number, _)| *number)
            .collect();
        due.sort_unstable();
        due.into_iter().flat_map(|number| self.unanswered(now, number)).collect()
    }

    /// When [`Self::tick`] is next of use.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        self.pending.values().map(|pending| pending.retry_at.min(pending.give_up_at)).min()
    }

    /// How many questions wait.
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
        let number = QuestionNumber(self.next);
        self.next = self.next.wrapping_add(1);
        let pending = PendingQuestion {
            origin,
            question,
            asked_of: None,
            tried: 0,
            asked_at: now,
            retry_at: now,
            give_up_at: now + QUESTION_LIMIT,
        };
        self.pending.insert(number, pending);
        number
    }

    fn forwarded(
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
            pending.asked_of = Some(self.host.clone());
            pending.retry_at = pending.give_up_at;
        }
        vec![RouterOutput::AskLocal { number, question }]
    }

    fn unanswered(&mut self, now: Moment, number: QuestionNumber) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        if pending.give_up_at <= now {
            return self.finish(number, unknown("no answer in time"));
        }
        // A leader that was cut off looks like one that is slow. Asking the others in turn costs a
        // message each and finds its successor as soon as there is one.
        if pending.asked_of.is_some() && pending.asked_of == self.leader {
            self.leader = None;
        }
        self.attempt(now, number)
    }

    fn attempt(&mut self, now: Moment, number: QuestionNumber) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        let target = self.leader.clone().or_else(|| {
            let count = self.replicas.len().max(1);
            self.replicas.get(pending.tried % count).cloned()
        });
        pending.tried += 1;
        let Some(target) = target else {
            pending.retry_at = now + LEADERLESS_PAUSE;
            return Vec::new();
        };
        pending.asked_of = Some(target.clone());
        let question = pending.question.clone();
        if target == self.host {
            pending.retry_at = now + ATTEMPT_LIMIT;
            return vec![RouterOutput::AskLocal { number, question }];
        }
        let body = RouterMessage::Question { number, question }.encode();
        let way = time_on_link(body.len());
        pending.retry_at = now + ATTEMPT_LIMIT + way;
        pending.give_up_at = pending.asked_at + QUESTION_LIMIT + way;
        vec![RouterOutput::Send { to: target, body }]
    }

    fn answered(
        &mut self,
        now: Moment,
        number: QuestionNumber,
        answer: ReplicaAnswer,
    ) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.get_mut(&number) else { return Vec::new() };
        let ReplicaAnswer::NotLeader { leader } = &answer else {
            if matches!(pending.origin, QuestionOrigin::Here) {
                self.leader = pending.asked_of.clone();
            }
            return self.finish(number, answer);
        };
        if matches!(pending.origin, QuestionOrigin::Peer { .. }) {
            return self.finish(number, answer);
        }
        let asked = pending.asked_of.take();
        match leader {
            // A replica that names itself, or the one that just declined, knows no better yet.
            Some(named) if Some(named) != asked.as_ref() => {
                self.leader = Some(named.clone());
                self.attempt(now, number)
            }
            _ => {
                if self.leader == asked {
                    self.leader = None;
                }
                pending.retry_at = now + LEADERLESS_PAUSE;
                Vec::new()
            }
        }
    }

    fn finish(&mut self, number: QuestionNumber, answer: ReplicaAnswer) -> Vec<RouterOutput> {
        let Some(pending) = self.pending.remove(&number) else { return Vec::new() };
        match pending.origin {
            QuestionOrigin::Here => vec![RouterOutput::Answer { number, answer }],
            QuestionOrigin::Peer { host, number } => {
                vec![send(&host, &RouterMessage::Answer { number, answer })]
            }
        }
    }
}

fn time_on_link(bytes: usize) -> Duration {
    Duration::from_millis((bytes * 1_000 / SLOWEST_LINK) as u64).min(LONGEST_WAY)
}

fn unknown(why: &'static str) -> ReplicaAnswer {
    ReplicaAnswer::Unknown { why: SmolStr::new_static(why) }
}

fn send(to: &HostId, message: &RouterMessage) -> RouterOutput {
    RouterOutput::Send { to: to.clone(), body: message.encode() }
}
