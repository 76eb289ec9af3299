//! What an entry admits of an organisation while it reaches no keeper.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::{HostId, Moment, OrganisationName, stable_hash};

/// The entries that share the quotas of organisations: those that are live, and those that may be
/// at work beyond a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaScope {
    host: Option<HostId>,
    entries: Vec<HostId>,
}

impl QuotaScope {
    /// Creates the scope of an entry.
    #[must_use]
    pub fn new(host: HostId, entries: Vec<HostId>) -> Self {
        Self { host: Some(host), entries }
    }

    /// Returns this entry's part of `sum` requests. The parts of all entries add up to at most
    /// `sum`, because all derive them from the same entries: each has the same number, and those
    /// with the highest rendezvous hashes for the organisation have one more.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a sum is far below 2^24, and not negative"
    )]
    fn part(&self, sum: f32, organisation: &OrganisationName) -> usize {
        let Some(host) = &self.host else { return 0 };
        let (sum, entries) = (sum as usize, self.entries.len().max(1));
        let rank = |host: &HostId| stable_hash(["isolated", organisation.as_str(), host.as_str()]);
        let own = rank(host);
        let ahead = self.entries.iter().filter(|entry| rank(entry) > own).count();
        sum / entries + usize::from(ahead < sum % entries)
    }
}

/// What an entry admits of an organisation while it reaches no keeper.
///
/// Requests are counted in a sliding window. A token bucket would admit up to twice its capacity in
/// one window.
#[derive(Clone, Debug, Default)]
pub(super) struct IsolatedAllowance {
    admitted: VecDeque<Moment>,
}

impl IsolatedAllowance {
    /// Admits a request if fewer than this entry's part of `sum` were admitted within the window.
    pub(super) fn admit(
        &mut self,
        now: Moment,
        window: Duration,
        sum: f32,
        (scope, organisation): (&QuotaScope, &OrganisationName),
    ) -> bool {
        while self.admitted.front().is_some_and(|at| now.since(*at) > window) {
            self.admitted.pop_front();
        }
        let is_admitted = self.admitted.len() < scope.part(sum, organisation);
        if is_admitted {
            self.admitted.push_back(now);
        }
        is_admitted
    }

    /// Returns when a request was last admitted.
    pub(super) fn last(&self) -> Option<Moment> {
        self.admitted.back().copied()
    }
}
