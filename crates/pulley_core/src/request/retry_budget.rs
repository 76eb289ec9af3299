//! Whether a failed attempt is tried again.

use std::time::Duration;

use super::{AttemptOutcome, RequestVerdict};

/// Retries allowed for each first attempt, in thousandths, unless set otherwise: one in ten.
///
/// When upstreams fail for want of capacity, each retry takes capacity from a request that has
/// not had any. A tenth rides out single failures and cannot turn a partial failure into twice
/// the load.
const DEPOSIT: u32 = 100;

/// One retry, in the same unit.
const RETRY_COST: u32 = 1_000;

/// Retries that may be saved up over quiet times, in the same unit.
const MOST_SAVED: u32 = 10 * RETRY_COST;

/// Retries saved at the start.
const FIRST_SAVED: u32 = 3 * RETRY_COST;

/// How many parts of an allowance over all entries are saved up: one in two. The other half is for
/// entries that start anew, or that do not know yet how many they are.
const ALLOWANCE_PARTS: u32 = 2;

/// Retries of one pool's requests at one entry, paid for by its first attempts.
///
/// Entries need not agree on anything: each spends a tenth of its own requests and what it has
/// saved, so all together spend a tenth of all requests and what all have saved.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u32,
    most_saved: u32,
    deposit: u32,
}

/// What all entries together may spend on retries of one pool's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Retries for each hundred requests.
    pub percent: u32,
    /// Retries in any short while besides.
    pub extra: u32,
}

/// What a decision about a retry depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryQuestion {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// 0 after the first attempt, as in the ticket.
    pub attempt: u8,
    /// Attempts at the request at most, the first included.
    pub most_attempts: u8,
    /// Whether the answer says that another layer of this system gave up on it already.
    pub retried_below: bool,
    /// Time left until the deadline.
    pub left: Duration,
    /// The usual time of one answer.
    pub typical: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another upstream.
    Retry,
    /// Pass the outcome on to the caller.
    GiveUp(GiveUpCause),
}

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpCause {
    /// It was answered.
    Answered,
    /// It may have run, and running it twice would do harm.
    NotIdempotent,
    /// It has had its attempts.
    TooManyAttempts,
    /// The layer next to the failure has retried already.
    RetriedBelow,
    /// No time is left for another attempt.
    DeadlineTooClose,
    /// The budget is used up.
    BudgetUsedUp,
    /// The caller left.
    CallerLeft,
}

impl RetryBudget {
    /// Makes a budget with a few retries saved.
    #[must_use]
    pub const fn new() -> Self {
        Self { saved: FIRST_SAVED, most_saved: MOST_SAVED, deposit: DEPOSIT }
    }

    /// Makes a budget that keeps to its part of an allowance: in any window all entries together
    /// make no more retries than it says.
    ///
    /// It starts with one retry saved: entries restart many at a time, and each would begin with
    /// its whole part once more.
    #[must_use]
    pub fn within(allowance: RetryAllowance, entries: u32) -> Self {
        let deposit = allowance.percent.saturating_mul(RETRY_COST / 100);
        let mut budget = Self { saved: RETRY_COST, most_saved: RETRY_COST, deposit };
        budget.share(allowance, entries);
        budget
    }

    /// Keeps to its part of an allowance among so many entries.
    pub fn share(&mut self, allowance: RetryAllowance, entries: u32) {
        let saved = allowance.extra.saturating_mul(RETRY_COST) / ALLOWANCE_PARTS / entries.max(1);
        self.most_saved = saved.clamp(RETRY_COST, MOST_SAVED);
        self.saved = self.saved.min(self.most_saved);
    }

    /// Counts a first attempt.
    pub const fn note_request(&mut self) {
        let saved = self.saved + self.deposit;
        self.saved = if saved < self.most_saved { saved } else { self.most_saved };
    }

    /// Decides, and pays for the retry if there is one.
    ///
    /// Calls are up to 7 deep. If each layer tried 3 times, one failing upstream at the bottom
    /// would be called 3^7 times for one request at the top. Only the layer next to the failure
    /// retries; what it passes up bears a mark that keeps the others from trying again.
    #[must_use]
    pub fn decide(&mut self, question: &RetryQuestion) -> RetryDecision {
        if let Some(cause) = give_up_cause(question) {
            return RetryDecision::GiveUp(cause);
        }
        if self.saved < RETRY_COST {
            return RetryDecision::GiveUp(GiveUpCause::BudgetUsedUp);
        }
        self.saved -= RETRY_COST;
        RetryDecision::Retry
    }

    /// Whole retries saved.
    #[must_use]
    pub const fn saved(&self) -> u32 {
        self.saved / RETRY_COST
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

fn give_up_cause(question: &RetryQuestion) -> Option<GiveUpCause> {
    if question.outcome == AttemptOutcome::Answered {
        return Some(GiveUpCause::Answered);
    }
    if question.outcome == AttemptOutcome::Cancelled {
        return Some(GiveUpCause::CallerLeft);
    }
    // A binding that may have run must not run again: two premiums for one cargo.
    if question.verdict != RequestVerdict::NotRun && !question.idempotent {
        return Some(GiveUpCause::NotIdempotent);
    }
    if question.retried_below {
        return Some(GiveUpCause::RetriedBelow);
    }
    if question.attempt.saturating_add(1) >= question.most_attempts {
        return Some(GiveUpCause::TooManyAttempts);
    }
    (question.left <= question.typical).then_some(GiveUpCause::DeadlineTooClose)
}
