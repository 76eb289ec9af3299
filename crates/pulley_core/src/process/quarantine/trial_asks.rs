//! This host's questions whether it may try a request, and whom they go to.

use std::time::Duration;

use super::{ContentKey, FastMap, Moment, TrialNumber};

/// How long a host waits for an answer before it asks again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// How often a host is asked before the next one is. Messages may be late by 60 ms and more, and a
/// host that decided before its keeper's answer arrives would be one of two that permit trials.
const ASKS_PER_DECIDER: u8 = 4;

/// Who decides on a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialDecider {
    /// The host that permits the content's trials.
    Keeper,
    /// The host that does so while the keeper doesn't answer.
    Deputy,
    /// The host that asks: neither of the others answers it. It is probably cut off, and each host
    /// that is decides for itself.
    Own,
}

impl TrialDecider {
    /// Returns who decides after that many unanswered questions.
    const fn after(asks: u8) -> Self {
        match asks / ASKS_PER_DECIDER {
            0 => Self::Keeper,
            1 => Self::Deputy,
            _ => Self::Own,
        }
    }
}

/// A question that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingAsk {
    pub(crate) key: ContentKey,
    pub(crate) lease: Duration,
    pub(crate) decider: TrialDecider,
    /// The number of questions that stayed unanswered.
    unanswered: u8,
    due: Moment,
}

impl PendingAsk {
    fn new(now: Moment, key: ContentKey, lease: Duration) -> Self {
        Self { key, lease, decider: TrialDecider::Keeper, unanswered: 0, due: now + ANSWER_TIMEOUT }
    }
}

/// The questions of this host that wait for their answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialAsks {
    pending: FastMap<TrialNumber, PendingAsk>,
}

impl TrialAsks {
    /// Adds a question to the keeper, and returns it.
    pub(crate) fn insert(
        &mut self,
        now: Moment,
        number: TrialNumber,
        key: ContentKey,
        lease: Duration,
    ) -> PendingAsk {
        let ask = PendingAsk::new(now, key, lease);
        self.pending.insert(number, ask.clone());
        ask
    }

    /// Removes an answered question. Returns whether it was waiting.
    pub(crate) fn remove(&mut self, number: TrialNumber) -> bool {
        self.pending.remove(&number).is_some()
    }

    /// Returns the questions to put again, each to whoever decides on it by now.
    pub(crate) fn take_overdue(&mut self, now: Moment) -> Vec<(TrialNumber, PendingAsk)> {
        let mut overdue = Vec::new();
        for (number, ask) in &mut self.pending {
            if now >= ask.due {
                ask.due = now + ANSWER_TIMEOUT;
                ask.unanswered = ask.unanswered.saturating_add(1);
                ask.decider = TrialDecider::after(ask.unanswered);
                overdue.push((*number, ask.clone()));
            }
        }
        overdue
    }

    /// Returns when a question is next overdue.
    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        self.pending.values().map(|ask| ask.due).min()
    }
}
