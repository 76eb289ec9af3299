//! Checks that entries keep the rest that upstreams ask for, and departures told in answers.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// How long after an answer that asked for rest requests may still arrive, and how many may arrive
/// between then and its end.
const LEARNING_TIME: Duration = Duration::from_millis(500);
const ALLOWED_ARRIVALS: usize = 2;

/// How long after an entry has passed on an answer that tells of a departure its callers' new
/// requests may still reach the upstream.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// The time before an answer in which a fault of its path may keep it from arriving.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// A request that has reached an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamArrival {
    pub(crate) upstream: SmolStr,
    pub(crate) entry: usize,
    /// When its caller sent it, and when it arrived.
    pub(crate) sent: Instant,
    pub(crate) at: Instant,
}

/// An answer by which an upstream has asked an entry for rest.
#[derive(Clone, Debug)]
pub(crate) struct RestAnswer {
    pub(crate) upstream: SmolStr,
    pub(crate) entry: usize,
    pub(crate) at: Instant,
    pub(crate) span: Duration,
}

/// An answer by which an entry's caller, and so the entry, has learned that an upstream leaves.
#[derive(Clone, Debug)]
pub(crate) struct LeaveAnswer {
    pub(crate) upstream: SmolStr,
    pub(crate) entry: usize,
    pub(crate) at: Instant,
}

/// Spans of time for which something excuses an entry.
pub(crate) struct StopExcuses<'a> {
    /// Spans in which an entry was killed, stopped or paused.
    pub(crate) entries: &'a [(usize, Instant, Instant)],
    /// Spans in which answers to an entry, or from an upstream by its place, may have been lost.
    pub(crate) entry_paths: Vec<(usize, Instant, Instant)>,
    pub(crate) upstream_paths: &'a [(usize, Instant, Instant)],
}

impl StopExcuses<'_> {
    fn has_lost_answer(&self, answer: &RestAnswer) -> bool {
        let (from, until) = (answer.at.checked_sub(ANSWER_TIME), answer.at + LEARNING_TIME);
        let place = place_of(&answer.upstream);
        let by_entry = was_disturbed(&self.entry_paths, answer.entry, from, until);
        by_entry
            || place.is_some_and(|place| was_disturbed(self.upstream_paths, place, from, until))
    }
}

impl RestAnswer {
    /// Returns the arrivals in this rest as text, if there are more than allowed.
    pub(crate) fn check(
        &self,
        arrivals: &[UpstreamArrival],
        excuses: &StopExcuses<'_>,
    ) -> Option<String> {
        let (from, until) = (self.at + LEARNING_TIME, self.at + self.span);
        let is_excused = was_disturbed(excuses.entries, self.entry, Some(self.at), until);
        if is_excused || excuses.has_lost_answer(self) {
            return None;
        }
        let counts = |arrival: &&UpstreamArrival| {
            arrival.upstream == self.upstream
                && arrival.entry == self.entry
                && (from..until).contains(&arrival.at)
        };
        let count = arrivals.iter().filter(counts).count();
        let Self { upstream, entry, span, .. } = self;
        (count > ALLOWED_ARRIVALS)
            .then(|| format!("{upstream} asked entry {entry} for {span:?} and got {count}"))
    }
}

impl LeaveAnswer {
    /// Returns the arrivals after this answer as text, if there are any.
    pub(crate) fn check(
        &self,
        arrivals: &[UpstreamArrival],
        excuses: &StopExcuses<'_>,
    ) -> Option<String> {
        let is_late = |arrival: &&UpstreamArrival| {
            arrival.upstream == self.upstream
                && arrival.entry == self.entry
                && arrival.sent > self.at + LEAVE_LIMIT
                && !was_disturbed(excuses.entries, self.entry, Some(self.at), arrival.at)
        };
        let count = arrivals.iter().filter(is_late).count();
        let Self { upstream, entry, .. } = self;
        (count > 0).then(|| format!("{upstream} told entry {entry} and got {count}"))
    }
}

/// Returns the place of an upstream among all, from its id.
fn place_of(upstream: &str) -> Option<usize> {
    upstream.strip_prefix('u')?.split('-').next()?.parse().ok()
}

fn was_disturbed(
    spans: &[(usize, Instant, Instant)],
    place: usize,
    from: Option<Instant>,
    until: Instant,
) -> bool {
    let overlaps = |(_, start, end): &&(usize, Instant, Instant)| {
        *start <= until && from.is_none_or(|from| *end >= from)
    };
    spans.iter().filter(|(other, ..)| *other == place).any(|span| overlaps(&span))
}
