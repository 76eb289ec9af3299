//! The at-most-once ledger: claims on non-idempotent requests, and their outcomes.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{ClaimAnswer, ClaimantId, FencingToken, LogIndex, LogTime, RecordedAnswer};
use crate::process::FastMap;

/// Limits of the ledger; each claim carries those of the leader's settings.
///
/// The limits are part of the command because all replicas must reach the same result, whatever
/// their own settings are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Maximum number of claims. A full ledger refuses new claims and never evicts early, because
    /// an evicted claim could run a second time. A claim takes about 138 bytes of memory.
    pub capacity: u32,
    /// How long a claim is kept after it was granted.
    pub retention: Duration,
    /// Maximum size of a kept answer body, in bytes.
    pub answer_limit: u32,
    /// Maximum total size of kept answer bodies, in bytes. Beyond it, answers are kept without
    /// their bodies, so that a resend still learns that the request ran, and its status.
    pub answer_budget: u32,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            capacity: 200_000,
            retention: Duration::from_secs(3_600),
            answer_limit: 4_096,
            answer_budget: 16 << 20,
        }
    }
}

/// A command to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Claims a key.
    Claim {
        /// Digest of the key.
        key: KeyDigest,
        /// Shortened digest of the request.
        request: RequestDigest,
        /// The claimant.
        claimant: ClaimantId,
        /// The limits for this claim.
        limits: LedgerLimits,
    },
    /// Records an outcome.
    Record {
        /// Digest of the key.
        key: KeyDigest,
        /// The claim's token.
        token: FencingToken,
        /// The answer; `None` means that the request may have run.
        answer: Option<RecordedAnswer>,
        /// Maximum total size of kept answer bodies, in bytes.
        budget: u32,
    },
    /// Releases a claim.
    Release {
        /// Digest of the key.
        key: KeyDigest,
        /// The claim's token.
        token: FencingToken,
    },
}

impl LedgerCommand {
    /// Returns the approximate size of the command in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Claim { .. } => 56,
            Self::Release { .. } => 32,
            Self::Record { answer, .. } => {
                32 + answer.as_ref().map_or(0, |answer| answer.body.as_ref().map_or(0, |b| b.len()))
            }
        }
    }
}

/// The first half of a key's SHA-256 digest. Callers choose the keys, but cannot choose the
/// positions in the map, and all claims take the same space, whatever the length of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        Self(first_half(&digest))
    }
}

/// The first half of a request's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Shortens a digest.
    #[must_use]
    pub fn of(digest: &[u8; 32]) -> Self {
        Self(first_half(digest))
    }
}

fn first_half(digest: &[u8; 32]) -> u128 {
    let mut half = [0_u8; 16];
    half.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(half)
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    /// Claimed; it is not known yet whether the request runs.
    Held,
    /// The request ran, with this answer.
    Ran(Box<RecordedAnswer>),
    /// The entry gave up waiting for the answer.
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    request: RequestDigest,
    claimant: ClaimantId,
    token: FencingToken,
    expires: LogTime,
    state: ClaimState,
}

/// The result of a ledger command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The answer to a claim.
    Claim(ClaimAnswer),
    /// The outcome was recorded, or the claim released.
    Done,
    /// No such claim is held under this token.
    StaleToken,
}

/// The claims on idempotency keys and their outcomes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerMachine {
    claims: FastMap<KeyDigest, ClaimRecord>,
    expiries: VecDeque<(LogTime, KeyDigest)>,
    answer_bytes: u64,
}

impl LedgerMachine {
    /// Applies a command. The index of its log entry becomes the fencing token of a granted claim.
    pub fn apply(
        &mut self,
        index: LogIndex,
        time: LogTime,
        command: &LedgerCommand,
    ) -> LedgerOutcome {
        self.expire(time);
        match command {
            LedgerCommand::Claim { key, request, claimant, limits } => {
                let token = FencingToken(index.0);
                let new_claim = ClaimRecord {
                    request: *request,
                    claimant: *claimant,
                    token,
                    expires: expiry(time, limits),
                    state: ClaimState::Held,
                };
                LedgerOutcome::Claim(self.claim(*key, new_claim, *limits))
            }
            LedgerCommand::Record { key, token, answer, budget } => {
                self.record(*key, *token, answer.as_ref(), *budget)
            }
            LedgerCommand::Release { key, token } => self.release(*key, *token),
        }
    }

    /// Returns the number of kept claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns the total size of kept answer bodies, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn claim(
        &mut self,
        key: KeyDigest,
        new_claim: ClaimRecord,
        limits: LedgerLimits,
    ) -> ClaimAnswer {
        if let Some(record) = self.claims.get(&key) {
            if record.request != new_claim.request {
                return ClaimAnswer::Conflict;
            }
            return match &record.state {
                ClaimState::Held if record.claimant == new_claim.claimant => {
                    ClaimAnswer::Granted(record.token)
                }
                ClaimState::Ran(answer) => ClaimAnswer::AlreadyRan((**answer).clone()),
                ClaimState::Held | ClaimState::MayHaveRun => ClaimAnswer::MayHaveRun,
            };
        }
        // Load: more non-idempotent requests within the retention time than planned. Evicting the
        // oldest claim would make room, but its request could then run twice. Refusing the new
        // request as not run costs nobody money. The limit is what fits into the planned memory.
        if self.claims.len() >= limits.capacity as usize {
            return ClaimAnswer::Unavailable;
        }
        let token = new_claim.token;
        self.expiries.push_back((new_claim.expires, key));
        self.claims.insert(key, new_claim);
        ClaimAnswer::Granted(token)
    }

    fn record(
        &mut self,
        key: KeyDigest,
        token: FencingToken,
        answer: Option<&RecordedAnswer>,
        budget: u32,
    ) -> LedgerOutcome {
        let Some(record) = self.claims.get_mut(&key).filter(|record| record.token == token) else {
            return LedgerOutcome::StaleToken;
        };
        match (&record.state, answer) {
            // The first outcome stays; a resent record must not replace it.
            (ClaimState::Ran(_), _) => {}
            (_, Some(answer)) => {
                let mut kept = answer.clone();
                let size = body_size(&kept);
                // Load: many large answers within the retention time. The claims themselves must
                // stay, so bodies are left out once the planned memory is full.
                if self.answer_bytes + size > u64::from(budget) {
                    kept.body = None;
                }
                self.answer_bytes += body_size(&kept);
                record.state = ClaimState::Ran(Box::new(kept));
            }
            (_, None) => record.state = ClaimState::MayHaveRun,
        }
        LedgerOutcome::Done
    }

    fn release(&mut self, key: KeyDigest, token: FencingToken) -> LedgerOutcome {
        let held = self
            .claims
            .get(&key)
            .is_some_and(|record| record.token == token && record.state == ClaimState::Held);
        if !held {
            return LedgerOutcome::StaleToken;
        }
        self.claims.remove(&key);
        LedgerOutcome::Done
    }

    fn expire(&mut self, time: LogTime) {
        while let Some((expires, key)) = self.expiries.front().copied() {
            if expires > time {
                return;
            }
            self.expiries.pop_front();
            // A key that was released and claimed again has a later expiry.
            let Some(record) = self.claims.get(&key).filter(|record| record.expires <= time) else {
                continue;
            };
            if let ClaimState::Ran(answer) = &record.state {
                self.answer_bytes -= body_size(answer);
            }
            self.claims.remove(&key);
        }
    }
}

fn body_size(answer: &RecordedAnswer) -> u64 {
    answer.body.as_ref().map_or(0, |body| body.len() as u64)
}

fn expiry(time: LogTime, limits: &LedgerLimits) -> LogTime {
    let retention = u64::try_from(limits.retention.as_millis()).unwrap_or(u64::MAX);
    LogTime(time.0.saturating_add(retention))
}
