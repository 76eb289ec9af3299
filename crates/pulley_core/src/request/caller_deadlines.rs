//! How long callers of one kind wait in all, and so for how long one has waited already.

use std::collections::VecDeque;
use std::time::Duration;

/// How many requests are remembered.
const REMEMBERED: usize = 128;

/// How many requests there are between two looks at what is remembered.
const LOOK_EVERY: u32 = 16;

/// Which part of all requests has to agree on a deadline for it to be taken for that of first
/// requests. Those that come back have waited for various times, and few of them agree.
const AGREED_PART: usize = 10;

/// Which part of a deadline two may be apart and agree: the way to here takes a few milliseconds off.
const TOLERANCE: f32 = 0.03;

/// The deadlines that callers of one kind come with.
///
/// Load it is for: a rush, in which every fifth caller is refused and comes back. It then has less
/// time left than when it first came, and its target counts from then. Harm: taken for a new
/// one, its answer looks in time while it is late for its caller, and it takes the slot of a request that
/// still could be. Reason for the limits: a deadline counts as a first one only if a tenth of all callers
/// has come with it, so that kinds with several sorts of callers keep all of theirs, and
/// where callers do not agree nobody is taken for one who comes back.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerDeadlines {
    /// In milliseconds, the latest last.
    seen: VecDeque<f32>,
    since_look: u32,
    /// The deadlines of first requests, in milliseconds, the shortest first.
    firsts: Vec<f32>,
}

impl CallerDeadlines {
    /// Notes how long a caller still waits; returns for how long it has waited already.
    pub(crate) fn note(&mut self, left: Duration) -> Duration {
        let left_ms = left.as_secs_f32() * 1_000.0;
        self.seen.push_back(left_ms);
        if self.seen.len() > REMEMBERED {
            self.seen.pop_front();
        }
        self.since_look += 1;
        if self.since_look >= LOOK_EVERY {
            self.since_look = 0;
            self.look();
        }
        Duration::from_secs_f32(self.waited_ms(left_ms) / 1_000.0)
    }

    fn waited_ms(&self, left_ms: f32) -> f32 {
        let agrees = |first: &f32| (first - left_ms).abs() <= first * TOLERANCE * 2.0;
        if self.firsts.iter().any(agrees) {
            return 0.0;
        }
        let longer = self.firsts.iter().find(|first| **first > left_ms);
        longer.map_or(0.0, |first| first - left_ms)
    }

    fn look(&mut self) {
        let mut sorted: Vec<f32> = self.seen.iter().copied().collect();
        sorted.sort_by(f32::total_cmp);
        let enough = (self.seen.len() / AGREED_PART).max(LOOK_EVERY as usize / 2);
        let groups = sorted.chunk_by(|a, b| grade(*a) == grade(*b));
        let agreed = groups.filter(|group| group.len() >= enough);
        self.firsts = agreed.filter_map(|group| group.last().copied()).collect();
    }
}

/// Deadlines of one grade agree.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of any duration is small, and below a millisecond it is cut to zero"
)]
fn grade(left_ms: f32) -> u16 {
    (left_ms.max(1.0).ln() / TOLERANCE).round() as u16
}
