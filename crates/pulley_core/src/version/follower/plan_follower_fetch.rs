//! Fetches the path to a later plan, in chunks, from hosts that hold the plan.

use std::time::Duration;

use bytes::Bytes;

use super::ConfigVersion;
use super::plan_delta::{DeltaPath, DeltaSpan};
use super::plan_follower_message::{CHUNK_BYTES, PLAN_LIMIT, PlanChunk, PlanContent, PlanDigest};
use crate::process::{HostId, Moment};

/// The maximum number of chunks in a window: as many as one request can name.
const WINDOW_LIMIT: u32 = 16;
/// The size of the first window. On a slow link, callers' bytes can wait behind no more than this.
const WINDOW_START: u32 = 4;
/// The target time between the first and the last chunk of a window. A window that takes more than
/// twice as long fills the link and is halved.
const WINDOW_AIM: Duration = Duration::from_millis(20);
/// How long a window may take before its rest is requested again, from another host.
const RETRY: Duration = Duration::from_millis(200);
/// How many windows in a row may bring no chunk before the chunks received are dropped, because
/// perhaps no host holds the rest of that path any more.
const FRUITLESS_LIMIT: u32 = 2;
/// How many hosts that hold the plan are remembered, besides the replicas.
const HOLDER_LIMIT: usize = 8;

/// The chunks received of the path to a later plan.
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

/// The fetch of a later plan: whom to ask, and what has arrived so far.
#[derive(Clone, Debug)]
pub(crate) struct PlanFetch {
    goal: ConfigVersion,
    goal_digest: PlanDigest,
    /// Hosts with a replica, in the order in which to ask them.
    replicas: Vec<HostId>,
    /// Other hosts that reported that they hold the goal.
    holders: Vec<HostId>,
    /// How often the fetch has moved on to another host.
    turn: usize,
    path: Option<PartialPath>,
    window: u32,
    /// How many chunks of the window have not arrived yet.
    awaited: u32,
    fruitless: u32,
    /// How many hosts in a row had nothing to send.
    passed_over: usize,
    wants_whole: bool,
    asked: Option<Moment>,
    /// The host asked then; the lists may have changed by the time it answers.
    asked_of: Option<HostId>,
    /// Whether no host was asked then, because none had anything to send.
    rests: bool,
    /// When the first chunk of the window arrived.
    begun: Option<Moment>,
}

impl PlanFetch {
    /// Creates a fetch that asks hosts with a replica in the given order.
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

    /// Returns the latest version known to be accepted.
    pub(crate) const fn goal(&self) -> ConfigVersion {
        self.goal
    }

    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        self.source()?;
        Some(self.asked.map_or(Moment::ZERO, |asked| asked + RETRY))
    }

    /// Returns the host to ask next. Replicas and holders alternate if there are both.
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
    // Input from other hosts

    /// Raises the goal to a later version. Chunks received so far remain useful.
    pub(crate) fn raise(&mut self, goal: ConfigVersion, digest: PlanDigest) {
        if goal >= self.goal {
            (self.goal, self.goal_digest) = (goal, digest);
        }
    }

    /// Sets which hosts have a replica now. Their order is kept while the set stays the same.
    pub(crate) fn meet_replicas(&mut self, replicas: Vec<HostId>) {
        let is_same = replicas.len() == self.replicas.len()
            && replicas.iter().all(|host| self.replicas.contains(host));
        if !is_same {
            self.holders.retain(|host| !replicas.contains(host));
            self.replicas = replicas;
        }
    }

    /// Notes that a complete path did not lead to its plan: a whole plan has to be fetched next.
    pub(crate) fn reject(&mut self, now: Moment) {
        self.wants_whole = true;
        self.asked = Some(now);
    }

    /// Notes which version is in force here now. Chunks of a path that does not lead on from it are
    /// dropped.
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

    /// Notes that a host has nothing useful, or no capacity to send it. If it is the host that was
    /// asked, another one is asked next.
    pub(crate) fn pass_over(&mut self, now: Moment, host: &HostId) {
        if self.asked.is_none() || self.rests || self.asked_of.as_ref() != Some(host) {
            return;
        }
        self.turn += 1;
        self.passed_over += 1;
        // A host that answers with chunks sends another path if it does not know the one begun.
        self.fruitless = 0;
        // After a full round without success, the fetch pauses.
        let sources = self.replicas.len() + self.holders.len();
        self.rests = self.passed_over.is_multiple_of(sources);
        self.asked = self.rests.then_some(now);
    }

    /// Takes a received chunk; returns the complete path if it was the last one missing.
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
            // The host that was asked no longer holds the path begun, so it sends another one.
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
    // Requests

    /// Returns a request for missing chunks if none is pending or the answer is overdue.
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

    /// Removes the host asked from the holders if it has not answered and the list is full, so that
    /// another holder can be added.
    fn forget_silent_holder(&mut self) {
        if self.holders.len() >= HOLDER_LIMIT {
            self.holders.retain(|host| Some(host) != self.asked_of.as_ref());
        }
    }

    /// Returns the first chunk wanted, and a bit for each chunk wanted from there on.
    fn wanted(&self) -> (u32, u16) {
        let Some(path) = &self.path else {
            return (0, bits(0..self.window));
        };
        let missing = path.missing().filter_map(|place| u32::try_from(place).ok());
        let missing: Vec<u32> = missing.take(self.window as usize).collect();
        let first = missing.first().copied().unwrap_or(0);
        (first, bits(missing.into_iter().map(|place| place - first)))
    }

    /// Enlarges the window if its chunks arrive quickly, and shrinks it if they fill the link.
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

/// Returns a bit for each offset below the width of a request.
fn bits(places: impl Iterator<Item = u32>) -> u16 {
    places.filter(|place| *place < WINDOW_LIMIT).fold(0, |bits, place| bits | 1 << place)
}

/// A request for chunks and its receiver.
#[derive(Clone, Debug)]
pub(crate) struct PlanQuestion {
    pub(crate) to: HostId,
    pub(crate) content: PlanContent,
    /// Whether an earlier request was not answered completely in time.
    pub(crate) is_overdue: bool,
}

/// The result of receiving a chunk.
#[derive(Clone, Debug)]
pub(crate) enum FetchStep {
    /// The chunk is of no use.
    Unwanted,
    /// Other chunks are still missing.
    Taken,
    /// The path is complete.
    Done(DeltaPath),
}
