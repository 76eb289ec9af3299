//! Fetches the differences that lead to a later plan, in chunks, from hosts that hold the plan.

use std::time::Duration;

use bytes::Bytes;

use super::ConfigVersion;
use super::plan_delta::{DeltaPath, DeltaSpan};
use super::plan_follower_message::{CHUNK_BYTES, PLAN_LIMIT, PlanChunk, PlanContent, PlanDigest};
use crate::process::{HostId, Moment};

/// The maximum number of chunks in a window, which is the set of chunks that one request asks for.
/// A request cannot name more.
const WINDOW_LIMIT: u32 = 16;
/// The size of the first window. On a slow link, callers' bytes can wait behind no more than this.
const WINDOW_START: u32 = 4;
/// The target time between the first and the last chunk of a window. A window that takes more than
/// twice as long fills the link and is halved.
const WINDOW_TARGET: Duration = Duration::from_millis(20);
/// How long a window may take before its missing chunks are requested again, from another host.
const RETRY_TIMEOUT: Duration = Duration::from_millis(200);
/// How many windows in a row may bring no chunk before the chunks received are dropped, because
/// perhaps no host holds the missing ones any more.
const EMPTY_WINDOW_LIMIT: u32 = 2;
/// How many hosts that hold the plan are remembered, besides the replicas.
const HOLDER_LIMIT: usize = 8;

/// The chunks received of the differences that lead to a later plan.
#[derive(Clone, Debug)]
struct PartialPath {
    span: DeltaSpan,
    digest: PlanDigest,
    chunks: Vec<Option<Bytes>>,
}

impl PartialPath {
    fn missing(&self) -> impl Iterator<Item = usize> {
        let chunks = self.chunks.iter().enumerate();
        chunks.filter(|(_, chunk)| chunk.is_none()).map(|(position, _)| position)
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
    outstanding: u32,
    empty_windows: u32,
    /// How many hosts in a row had nothing useful to send, or no capacity to send it.
    skipped_hosts: usize,
    needs_whole_plan: bool,
    asked_at: Option<Moment>,
    /// The host asked at `asked_at`; the lists may have changed by the time it answers.
    asked_host: Option<HostId>,
    /// Whether the fetch has paused since `asked_at`, because no host had anything to send.
    is_paused: bool,
    /// When the first chunk of the window arrived.
    window_begun: Option<Moment>,
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
            outstanding: 0,
            empty_windows: 0,
            skipped_hosts: 0,
            needs_whole_plan: false,
            asked_at: None,
            asked_host: None,
            is_paused: false,
            window_begun: None,
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
        Some(self.asked_at.map_or(Moment::ZERO, |asked| asked + RETRY_TIMEOUT))
    }

    /// Returns the host to ask next. Replicas and holders alternate if there are both.
    fn source(&self) -> Option<&HostId> {
        let (list, turn) = match (self.replicas.is_empty(), self.holders.is_empty()) {
            (false, true) => (&self.replicas, self.turn),
            (true, _) => (&self.holders, self.turn),
            (false, false) if self.turn.is_multiple_of(2) => (&self.replicas, self.turn / 2),
            (false, false) => (&self.holders, self.turn / 2),
        };
        (!list.is_empty()).then(|| &list[turn % list.len()])
    }

    // ---------------------------------------------------------------------------------------------
    // Input from other hosts

    /// Raises the goal to a later version. Chunks received so far remain useful.
    pub(crate) fn raise_goal(&mut self, goal: ConfigVersion, digest: PlanDigest) {
        if goal >= self.goal {
            (self.goal, self.goal_digest) = (goal, digest);
        }
    }

    /// Sets which hosts have a replica now. Their order is kept while the set stays the same.
    pub(crate) fn set_replicas(&mut self, replicas: Vec<HostId>) {
        let is_same = replicas.len() == self.replicas.len()
            && replicas.iter().all(|host| self.replicas.contains(host));
        if !is_same {
            self.holders.retain(|host| !replicas.contains(host));
            self.replicas = replicas;
        }
    }

    /// Records that complete differences did not lead to the expected plan: a whole plan has to be
    /// fetched next.
    pub(crate) fn reject_path(&mut self, now: Moment) {
        self.needs_whole_plan = true;
        self.asked_at = Some(now);
    }

    /// Records which version is in force here now. Chunks that do not lead from it to a later
    /// version are dropped.
    pub(crate) fn record_held(&mut self, held: ConfigVersion) {
        self.needs_whole_plan = false;
        let advances = |path: &PartialPath| path.span.advances(held);
        if !self.path.as_ref().is_none_or(advances) {
            self.path = None;
            self.asked_at = None;
        }
    }

    /// Records a host that holds the goal.
    pub(crate) fn add_holder(&mut self, host: &HostId) {
        let is_known = self.holders.contains(host) || self.replicas.contains(host);
        if !is_known && self.holders.len() < HOLDER_LIMIT {
            self.holders.push(host.clone());
        }
    }

    /// Records that a host has nothing useful, or no capacity to send it. If it is the host that
    /// was asked, another one is asked next.
    pub(crate) fn skip_host(&mut self, now: Moment, host: &HostId) {
        if self.asked_at.is_none() || self.is_paused || self.asked_host.as_ref() != Some(host) {
            return;
        }
        self.turn += 1;
        self.skipped_hosts += 1;
        // A host that answers with chunks sends other differences if it does not hold those begun.
        self.empty_windows = 0;
        // After every source was asked without success, the fetch pauses.
        let sources = self.replicas.len() + self.holders.len();
        self.is_paused = self.skipped_hosts.is_multiple_of(sources);
        self.asked_at = self.is_paused.then_some(now);
    }

    /// Takes a received chunk; returns the complete differences if it was the last one missing.
    pub(crate) fn take_chunk(
        &mut self,
        now: Moment,
        from: &HostId,
        held: ConfigVersion,
        chunk: PlanChunk,
    ) -> ChunkOutcome {
        let PlanChunk { span, digest, index, total, body } = chunk;
        let count = usize::try_from(total).unwrap_or(usize::MAX);
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        let has_wrong_digest = span.to == self.goal && digest != self.goal_digest;
        let is_in_bounds = position < count && count <= PLAN_LIMIT / CHUNK_BYTES;
        if !span.advances(held) || has_wrong_digest || !is_in_bounds || body.len() > CHUNK_BYTES {
            return ChunkOutcome::Unwanted;
        }
        let is_same_path = |path: &PartialPath| {
            path.span == span && path.digest == digest && path.chunks.len() == count
        };
        if !self.path.as_ref().is_some_and(is_same_path) {
            // The host that was asked no longer holds the differences begun, so it sends others.
            if self.path.is_some() && self.asked_host.as_ref() != Some(from) {
                return ChunkOutcome::Unwanted;
            }
            self.path = Some(PartialPath { span, digest, chunks: vec![None; count] });
        }
        let Some(path) = self.path.as_mut().filter(|path| path.chunks[position].is_none()) else {
            return ChunkOutcome::Unwanted;
        };
        path.chunks[position] = Some(body);
        self.empty_windows = 0;
        self.skipped_hosts = 0;
        self.outstanding = self.outstanding.saturating_sub(1);
        let begun = *self.window_begun.get_or_insert(now);
        if path.missing().next().is_none() {
            return self.finish();
        }
        if self.outstanding == 0 {
            self.adapt_window(now.since(begun));
            self.asked_at = None;
        }
        ChunkOutcome::Taken
    }

    // ---------------------------------------------------------------------------------------------
    // Requests

    /// Returns a request for missing chunks if none is pending or the answer is overdue.
    pub(crate) fn next_request(
        &mut self,
        now: Moment,
        held: ConfigVersion,
    ) -> Option<ChunkRequest> {
        let is_overdue = self.asked_at.is_some() && !self.is_paused;
        if self.asked_at.is_some_and(|asked| now.since(asked) < RETRY_TIMEOUT) {
            return None;
        }
        if is_overdue {
            self.drop_silent_holder();
            self.turn += 1;
            self.window = (self.window / 2).max(1);
            self.empty_windows += 1;
        }
        if self.empty_windows > EMPTY_WINDOW_LIMIT {
            self.path = None;
            self.empty_windows = 0;
        }
        let to = self.source()?.clone();
        self.asked_at = Some(now);
        self.asked_host = Some(to.clone());
        self.is_paused = false;
        self.window_begun = None;
        let (first, wanted) = self.wanted();
        self.outstanding = wanted.count_ones();
        let span = self.path.as_ref().map(|path| path.span);
        let held = if self.needs_whole_plan { ConfigVersion::default() } else { held };
        let content = PlanContent::Fetch { held, span, first, wanted };
        Some(ChunkRequest { to, content, is_overdue })
    }

    /// Removes the host asked from the holders if it has not answered and the list is full, so that
    /// another holder can be added.
    fn drop_silent_holder(&mut self) {
        if self.holders.len() >= HOLDER_LIMIT {
            self.holders.retain(|host| Some(host) != self.asked_host.as_ref());
        }
    }

    /// Returns the index of the first chunk wanted, and a bit mask of the chunks wanted, whose
    /// lowest bit stands for that chunk.
    fn wanted(&self) -> (u32, u16) {
        let Some(path) = &self.path else {
            return (0, bits(0..self.window));
        };
        let missing = path.missing().filter_map(|position| u32::try_from(position).ok());
        let missing: Vec<u32> = missing.take(self.window as usize).collect();
        let first = missing.first().copied().unwrap_or(0);
        (first, bits(missing.into_iter().map(|position| position - first)))
    }

    /// Enlarges the window if its chunks arrive quickly, and shrinks it if they fill the link.
    fn adapt_window(&mut self, took: Duration) {
        if took <= WINDOW_TARGET {
            self.window = (self.window * 2).min(WINDOW_LIMIT);
        } else if took > 2 * WINDOW_TARGET {
            self.window = (self.window / 2).max(1);
        }
    }

    fn finish(&mut self) -> ChunkOutcome {
        self.asked_at = None;
        self.outstanding = 0;
        let Some(path) = self.path.take() else { return ChunkOutcome::Taken };
        let body: Vec<u8> = path.chunks.iter().flatten().flatten().copied().collect();
        let (span, digest) = (path.span, path.digest);
        ChunkOutcome::Done(DeltaPath { span, digest, body: Bytes::from(body) })
    }
}

/// Returns a bit mask of the offsets; those that do not fit into a request are left out.
fn bits(offsets: impl Iterator<Item = u32>) -> u16 {
    offsets.filter(|offset| *offset < WINDOW_LIMIT).fold(0, |bits, offset| bits | 1 << offset)
}

/// A request for chunks and its receiver.
#[derive(Clone, Debug)]
pub(crate) struct ChunkRequest {
    pub(crate) to: HostId,
    pub(crate) content: PlanContent,
    /// Whether an earlier request was not answered completely in time.
    pub(crate) is_overdue: bool,
}

/// The result of receiving a chunk.
#[derive(Clone, Debug)]
pub(crate) enum ChunkOutcome {
    /// The chunk is of no use.
    Unwanted,
    /// Other chunks are still missing.
    Taken,
    /// All chunks have arrived.
    Done(DeltaPath),
}
