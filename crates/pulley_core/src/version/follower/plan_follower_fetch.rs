//! Fetching what leads to a later plan, in chunks, from hosts that hold it.

use std::time::Duration;

use bytes::Bytes;

use super::ConfigVersion;
use super::plan_delta::{DeltaPath, DeltaSpan};
use super::plan_follower_message::{CHUNK_BYTES, PLAN_LIMIT, PlanChunk, PlanContent, PlanDigest};
use crate::process::{HostId, Moment};

/// How many chunks are asked for at once, at most: as many as a request can name.
const WINDOW_LIMIT: u32 = 16;
/// How many are asked for at first: on a slow link, no more than callers' bytes can wait behind.
const WINDOW_START: u32 = 4;
/// How long after its first chunk a window's last one is meant to come; a window that takes twice as
/// long fills the link, and is halved.
const WINDOW_AIM: Duration = Duration::from_millis(20);
/// How long a window may take until the rest of it is asked for again, from another host.
const RETRY: Duration = Duration::from_millis(200);
/// How many windows in a row may bring nothing until what has come is given up: nobody may hold the
/// rest of it any more.
const FRUITLESS_LIMIT: u32 = 2;
/// How many hosts that hold the plan are remembered, besides replicas.
const HOLDER_LIMIT: usize = 8;

/// What has come of the way to a later plan.
#[derive(Clone, Debug)]
struct PartialPath {
    span: DeltaSpan,
    digest: PlanDigest,
    chunks: Vec<Option<Bytes>>,
}

impl PartialPath {
    fn missing(&self) -> impl Iterator<Item = usize> {
        let chunks = self.chunks.iter().enumerate();
        chunks.filter(|(_, chunk)| chunk.is_none()).map(|(place, _)| place)
    }
}

/// The way to a later plan, as far as it has come.
#[derive(Clone, Debug)]
pub(crate) struct PlanFetch {
    goal: ConfigVersion,
    goal_digest: PlanDigest,
    /// Hosts with a replica, in the order in which they are to be asked.
    replicas: Vec<HostId>,
    /// Other hosts that said they hold the goal.
    holders: Vec<HostId>,
    /// How often the host to be asked has changed.
    turn: usize,
    path: Option<PartialPath>,
    window: u32,
    /// How many chunks of the window have not come.
    awaited: u32,
    fruitless: u32,
    /// How many hosts in a row had nothing to give.
    passed_over: usize,
    wants_whole: bool,
    asked: Option<Moment>,
    /// Who was asked then: the lists may be others by the time of the answer.
    asked_of: Option<HostId>,
    /// Whether nobody was asked then, as all had nothing to give.
    rests: bool,
    /// When the first chunk of the window came.
    begun: Option<Moment>,
}

impl PlanFetch {
    /// Makes a fetch that asks hosts with a replica, the first first.
    pub(crate) fn new(goal: ConfigVersion, digest: PlanDigest, replicas: Vec<HostId>) -> Self {
        Self {
            goal,
            goal_digest: digest,
            replicas,
            holders: Vec::new(),
            turn: 0,
            path: None,
            window: WINDOW_START,
            awaited: 0,
            fruitless: 0,
            passed_over: 0,
            wants_whole: false,
            asked: None,
            asked_of: None,
            rests: false,
            begun: None,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// The latest version known to be accepted.
    pub(crate) const fn goal(&self) -> ConfigVersion {
        self.goal
    }

    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        self.source()?;
        Some(self.asked.map_or(Moment::ZERO, |asked| asked + RETRY))
    }

    /// The host to be asked: replicas and holders by turns, where there are both.
    fn source(&self) -> Option<&HostId> {
        let (list, place) = match (self.replicas.is_empty(), self.holders.is_empty()) {
            (false, true) => (&self.replicas, self.turn),
            (true, _) => (&self.holders, self.turn),
            (false, false) if self.turn.is_multiple_of(2) => (&self.replicas, self.turn / 2),
            (false, false) => (&self.holders, self.turn / 2),
        };
        (!list.is_empty()).then(|| &list[place % list.len()])
    }

    // ---------------------------------------------------------------------------------------------
    // What others say

    /// Notes a later version than the goal; what has come so far stays of use.
    pub(crate) fn raise(&mut self, goal: ConfigVersion, digest: PlanDigest) {
        if goal >= self.goal {
            (self.goal, self.goal_digest) = (goal, digest);
        }
    }

    /// Notes which hosts have a replica now; those known keep their places while they are the same.
    pub(crate) fn meet_replicas(&mut self, replicas: Vec<HostId>) {
        let is_same = replicas.len() == self.replicas.len()
            && replicas.iter().all(|host| self.replicas.contains(host));
        if !is_same {
            self.holders.retain(|host| !replicas.contains(host));
            self.replicas = replicas;
        }
    }

    /// Notes that a way that came whole did not lead to its plan: the next one has to be a whole plan.
    pub(crate) fn reject(&mut self, now: Moment) {
        self.wants_whole = true;
        self.asked = Some(now);
    }

    /// Notes which version is in force here now; what has come on another way to it is of no use.
    pub(crate) fn note_held(&mut self, held: ConfigVersion) {
        self.wants_whole = false;
        let leads_on = |path: &PartialPath| path.span.leads_on(held);
        if !self.path.as_ref().is_none_or(leads_on) {
            self.path = None;
            self.asked = None;
        }
    }

    /// Notes a host that holds the goal.
    pub(crate) fn add_holder(&mut self, host: &HostId) {
        let is_known = self.holders.contains(host) || self.replicas.contains(host);
        if !is_known && self.holders.len() < HOLDER_LIMIT {
            self.holders.push(host.clone());
        }
    }

    /// Notes that a host has nothing of use or no room for it; if it was asked, another one is.
    pub(crate) fn pass_over(&mut self, now: Moment, host: &HostId) {
        if self.asked.is_none() || self.rests || self.asked_of.as_ref() != Some(host) {
            return;
        }
        self.turn += 1;
        self.passed_over += 1;
        // Whoever answers gives another way if it doesn't know the one begun.
        self.fruitless = 0;
        // Once all were asked in vain, they are left alone for a while.
        let sources = self.replicas.len() + self.holders.len();
        self.rests = self.passed_over.is_multiple_of(sources);
        self.asked = self.rests.then_some(now);
    }

    /// Takes a chunk; returns the whole way if it was the last one missing.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        from: &HostId,
        held: ConfigVersion,
        chunk: PlanChunk,
    ) -> FetchStep {
        let PlanChunk { span, digest, index, total, body } = chunk;
        let count = usize::try_from(total).unwrap_or(usize::MAX);
        let place = usize::try_from(index).unwrap_or(usize::MAX);
        let is_wrong = span.to == self.goal && digest != self.goal_digest;
        let is_sound = place < count && count <= PLAN_LIMIT / CHUNK_BYTES;
        if !span.leads_on(held) || is_wrong || !is_sound || body.len() > CHUNK_BYTES {
            return FetchStep::Unwanted;
        }
        let fits = |path: &PartialPath| {
            path.span == span && path.digest == digest && path.chunks.len() == count
        };
        if !self.path.as_ref().is_some_and(fits) {
            // The host that is asked holds no more of the way begun: it gives another one.
            if self.path.is_some() && self.asked_of.as_ref() != Some(from) {
                return FetchStep::Unwanted;
            }
            self.path = Some(PartialPath { span, digest, chunks: vec![None; count] });
        }
        let Some(path) = self.path.as_mut().filter(|path| path.chunks[place].is_none()) else {
            return FetchStep::Unwanted;
        };
        path.chunks[place] = Some(body);
        self.fruitless = 0;
        self.passed_over = 0;
        self.awaited = self.awaited.saturating_sub(1);
        let begun = *self.begun.get_or_insert(now);
        if path.missing().next().is_none() {
            return self.finish();
        }
        if self.awaited == 0 {
            self.fit_window(now.since(begun));
            self.asked = None;
        }
        FetchStep::Taken
    }

    // ---------------------------------------------------------------------------------------------
    // Questions

    /// Asks for what is missing, if nothing was asked for or the answer is overdue.
    pub(crate) fn ask(&mut self, now: Moment, held: ConfigVersion) -> Option<PlanQuestion> {
        let is_overdue = self.asked.is_some() && !self.rests;
        if self.asked.is_some_and(|asked| now.since(asked) < RETRY) {
            return None;
        }
        if is_overdue {
            self.forget_silent_holder();
            self.turn += 1;
            self.window = (self.window / 2).max(1);
            self.fruitless += 1;
        }
        if self.fruitless > FRUITLESS_LIMIT {
            self.path = None;
            self.fruitless = 0;
        }
        let to = self.source()?.clone();
        self.asked = Some(now);
        self.asked_of = Some(to.clone());
        self.rests = false;
        self.begun = None;
        let (first, wanted) = self.wanted();
        self.awaited = wanted.count_ones();
        let span = self.path.as_ref().map(|path| path.span);
        let held = if self.wants_whole { ConfigVersion::default() } else { held };
        let content = PlanContent::Fetch { held, span, first, wanted };
        Some(PlanQuestion { to, content, is_overdue })
    }

    /// Makes room for another holder if the one asked has not answered and no more can be noted.
    fn forget_silent_holder(&mut self) {
        if self.holders.len() >= HOLDER_LIMIT {
            self.holders.retain(|host| Some(host) != self.asked_of.as_ref());
        }
    }

    /// The first chunk wanted, and a bit for each that is wanted from there on.
    fn wanted(&self) -> (u32, u16) {
        let Some(path) = &self.path else {
            return (0, bits(0..self.window));
        };
        let missing = path.missing().filter_map(|place| u32::try_from(place).ok());
        let missing: Vec<u32> = missing.take(self.window as usize).collect();
        let first = missing.first().copied().unwrap_or(0);
        (first, bits(missing.into_iter().map(|place| place - first)))
    }

    /// Asks for more at a time where windows come quickly, and for less where they fill a link.
    fn fit_window(&mut self, took: Duration) {
        if took <= WINDOW_AIM {
            self.window = (self.window * 2).min(WINDOW_LIMIT);
        } else if took > 2 * WINDOW_AIM {
            self.window = (self.window / 2).max(1);
        }
    }

    fn finish(&mut self) -> FetchStep {
        self.asked = None;
        self.awaited = 0;
        let Some(path) = self.path.take() else { return FetchStep::Taken };
        let body: Vec<u8> = path.chunks.iter().flatten().flatten().copied().collect();
        let (span, digest) = (path.span, path.digest);
        FetchStep::Done(DeltaPath { span, digest, body: Bytes::from(body) })
    }
}

/// A bit for each place below the width of a request.
fn bits(places: impl Iterator<Item = u32>) -> u16 {
    places.filter(|place| *place < WINDOW_LIMIT).fold(0, |bits, place| bits | 1 << place)
}

/// What to ask whom.
#[derive(Clone, Debug)]
pub(crate) struct PlanQuestion {
    pub(crate) to: HostId,
    pub(crate) content: PlanContent,
    /// Whether an earlier question had no whole answer in time.
    pub(crate) is_overdue: bool,
}

/// What follows from a chunk.
#[derive(Clone, Debug)]
pub(crate) enum FetchStep {
    /// It is of no use.
    Unwanted,
    /// More is missing.
    Taken,
    /// The way is whole.
    Done(DeltaPath),
}
