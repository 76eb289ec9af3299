//! Retry decisions and the budget that limits retries.

use std::time::Duration;

use super::{AttemptOutcome, RequestVerdict};

/// Retries allowed per first attempt by default, in thousandths: one in ten.
///
/// When upstreams fail for lack of capacity, each retry takes capacity from a request that has not
/// had any. A tenth covers single failures and cannot turn a partial failure into twice the load.
const DEPOSIT: u32 = 100;

/// The cost of one retry, in the same unit.
const RETRY_COST: u32 = 1_000;

/// Maximum number of retries that may be saved up, in the same unit.
const MAX_SAVED: u32 = 10 * RETRY_COST;

/// Retries saved at the start, in the same unit.
const INITIAL_SAVED: u32 = 3 * RETRY_COST;

/// Divisor of an allowance over all entries that gives the fraction which may be saved up: one in
/// two. The other half is for entries that restart, or that do not know yet how many entries there
/// are.
const ALLOWANCE_DIVISOR: u32 = 2;

/// Limits one entry's retries in one pool in proportion to its first attempts.
///
/// Entries need no coordination. Each spends a tenth of its own requests and what it has saved, so
/// all together spend a tenth of all requests and what all have saved.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u32,
    max_saved: u32,
    deposit: u32,
}

/// Retries that all entries together may spend on one pool's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Retries per hundred requests.
    pub percent: u32,
    /// Additional retries in any short period.
    pub extra: u32,
}

/// The inputs of a retry decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryInputs {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Number of the attempt as in the ticket: 0 for the first.
    pub attempt: u8,
    /// Maximum number of attempts at the request, including the first.
    pub most_attempts: u8,
    /// Whether the answer says that another layer of this system has already given up on the
    /// request.
    pub retried_downstream: bool,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Least time that another attempt needs.
    pub min_time: Duration,
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
    /// The request was answered.
    Answered,
    /// The request may have run and is not idempotent, so running it twice would do harm.
    NotIdempotent,
    /// The attempts of the request are used up.
    TooManyAttempts,
    /// The layer next to the failure has already retried.
    RetriedDownstream,
    /// The time left is too short for another attempt.
    DeadlineTooClose,
    /// The budget is used up.
    BudgetUsedUp,
    /// The caller left.
    CallerLeft,
}

impl RetryBudget {
    /// Creates a budget with a few retries saved.
    #[must_use]
    pub const fn new() -> Self {
        Self { saved: INITIAL_SAVED, max_saved: MAX_SAVED, deposit: DEPOSIT }
    }

    /// Creates a budget for one entry's share of an allowance. In any window all entries together
    /// make no more retries than the allowance permits.
    ///
    /// It starts with one retry saved. Entries restart many at a time, and otherwise each would
    /// begin with its whole share again.
    #[must_use]
    pub fn within(allowance: RetryAllowance, entries: u32) -> Self {
        let deposit = allowance.percent.saturating_mul(RETRY_COST / 100);
        let mut budget = Self { saved: RETRY_COST, max_saved: RETRY_COST, deposit };
        budget.share(allowance, entries);
        budget
    }

    /// Limits the saved retries to this entry's share of an allowance shared by `entries` entries.
    pub fn share(&mut self, allowance: RetryAllowance, entries: u32) {
        let saved = allowance.extra.saturating_mul(RETRY_COST) / ALLOWANCE_DIVISOR / entries.max(1);
        self.max_saved = saved.clamp(RETRY_COST, MAX_SAVED);
        self.saved = self.saved.min(self.max_saved);
    }

    /// Counts a first attempt.
    pub const fn record_request(&mut self) {
        let saved = self.saved + self.deposit;
        self.saved = if saved < self.max_saved { saved } else { self.max_saved };
    }

    /// Decides whether to retry, and charges the budget for a retry.
    ///
    /// Calls are up to 7 layers deep. If each layer tried 3 times, one failing upstream at the
    /// bottom would be called 3^7 times for one request at the top. Only the layer next to the
    /// failure retries. The answer that it passes up carries a mark that keeps the other layers
    /// from retrying.
    #[must_use]
    pub fn decide(&mut self, inputs: &RetryInputs) -> RetryDecision {
        if let Some(cause) = give_up_cause(inputs) {
            return RetryDecision::GiveUp(cause);
        }
        if self.saved < RETRY_COST {
            return RetryDecision::GiveUp(GiveUpCause::BudgetUsedUp);
        }
        self.saved -= RETRY_COST;
        RetryDecision::Retry
    }

    /// Returns the number of whole retries saved.
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

fn give_up_cause(inputs: &RetryInputs) -> Option<GiveUpCause> {
    if inputs.outcome == AttemptOutcome::Answered {
        return Some(GiveUpCause::Answered);
    }
    if inputs.outcome == AttemptOutcome::Cancelled {
        return Some(GiveUpCause::CallerLeft);
    }
    // A binding that may have run must not run again: it would charge two premiums for one cargo.
    if inputs.verdict != RequestVerdict::NotRun && !inputs.idempotent {
        return Some(GiveUpCause::NotIdempotent);
    }
    if inputs.retried_downstream {
        return Some(GiveUpCause::RetriedDownstream);
    }
    if inputs.attempt.saturating_add(1) >= inputs.most_attempts {
        return Some(GiveUpCause::TooManyAttempts);
    }
    (inputs.time_left <= inputs.min_time).then_some(GiveUpCause::DeadlineTooClose)
}
