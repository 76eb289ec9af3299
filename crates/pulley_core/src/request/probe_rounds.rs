//! The rounds in which one arriving request probes upstreams.

use super::ProbeTarget;
use crate::process::UpstreamId;

/// The maximum number of probe rounds of a request whose entry can afford the wanted number of
/// probes at a time.
const FULL_ROUNDS: usize = 2;

/// No upstream is probed if the best expected time, in multiples of the usual response time, is
/// below this value: an upstream has just reported a free slot and no slowdown.
pub const GOOD_COST: f32 = 1.1;

/// More upstreams are probed if the best expected time, in multiples of the usual response time, is
/// at least this value: all probed upstreams are slowed down or have a queue.
pub const POOR_COST: f32 = 1.9;

/// The upstreams that one request has probed, and whether it probes more.
///
/// A request probes several upstreams at a time where its entry can afford them. Where an entry
/// receives one request a second and may send two and a half probes for it, three at a time use up
/// the budget, and the next request finds none. Probes are then sent one after the other, and most
/// requests need only the first.
#[derive(Clone, Debug)]
pub struct ProbeRounds {
    wanted: usize,
    rounds: usize,
    probed: Vec<UpstreamId>,
}

impl ProbeRounds {
    /// Starts a request that probes up to `wanted` upstreams at a time.
    #[must_use]
    pub const fn new(wanted: usize) -> Self {
        Self { wanted, rounds: 0, probed: Vec::new() }
    }

    /// Whether the request probes more upstreams, given the expected time at the best upstream
    /// found so far, in multiples of the usual response time.
    #[must_use]
    pub fn needs_more(&self, best: Option<f32>) -> bool {
        let good_enough = if self.rounds == 0 { GOOD_COST } else { POOR_COST };
        let has_found = best.is_some_and(|cost| cost < good_enough);
        !has_found && self.probed.len() < FULL_ROUNDS * self.wanted
    }

    /// Records the upstreams probed in a round. Returns false if there were none, because no
    /// upstream is left or the budget is used up: further rounds would find none either.
    pub fn record(&mut self, targets: &[ProbeTarget]) -> bool {
        self.rounds += 1;
        self.probed.extend(targets.iter().map(|target| target.upstream.clone()));
        !targets.is_empty()
    }

    /// Returns the upstreams that were probed.
    #[must_use]
    pub fn probed(&self) -> &[UpstreamId] {
        &self.probed
    }

    /// Returns the maximum number of upstreams to probe in the next round.
    #[must_use]
    pub fn wanted(&self) -> usize {
        self.wanted.min((FULL_ROUNDS * self.wanted).saturating_sub(self.probed.len()))
    }
}
