//! Fetching one plan in chunks from hosts that hold it.

use std::time::Duration;

use bytes::Bytes;

use super::ConfigVersion;
use super::plan_follower_message::{CHUNK_BYTES, HeldPlan, PLAN_LIMIT, PlanContent, PlanDigest};
use crate::process::{HostId, Moment};

/// How many chunks are asked for at once: enough to fill a round trip, few enough for the buffer
/// of a receiving socket.
const WINDOW: u32 = 16;
/// How long a window may take until the rest of it is asked for again, from another host.
const RETRY: Duration = Duration::from_millis(150);
/// How many hosts that hold the plan are remembered.
const SOURCE_LIMIT: usize = 8;

/// A plan on its way.
#[derive(Clone, Debug)]
pub(crate) struct PlanFetch {
    pub(crate) version: ConfigVersion,
    pub(crate) digest: PlanDigest,
    sources: Vec<HostId>,
    source: usize,
    chunks: Vec<Option<Bytes>>,
    window: u32,
    asked: Option<Moment>,
}

impl PlanFetch {
    pub(crate) fn new(version: ConfigVersion, digest: PlanDigest) -> Self {
        Self {
            version,
            digest,
            sources: Vec::new(),
            source: 0,
            chunks: vec![None],
            window: 0,
            asked: None,
        }
    }

    /// Notes a host that holds the plan.
    pub(crate) fn add_source(&mut self, host: &HostId) {
        if !self.sources.contains(host) && self.sources.len() < SOURCE_LIMIT {
            self.sources.push(host.clone());
        }
    }

    /// Whether it is on its way: somebody holds it, and nobody was asked in vain. Those who were may
    /// have moved on to a later version.
    pub(crate) fn is_coming(&self, now: Moment) -> bool {
        let is_overdue = self.asked.is_some_and(|asked| now.since(asked) >= RETRY);
        !self.sources.is_empty() && self.source == 0 && !is_overdue
    }

    /// Whether chunks were asked for and not all have come.
    pub(crate) fn was_asked(&self) -> bool {
        self.asked.is_some()
    }

    pub(crate) fn next_wakeup(&self) -> Option<Moment> {
        if self.sources.is_empty() {
            return None;
        }
        Some(self.asked.map_or(Moment::ZERO, |asked| asked + RETRY))
    }

    /// Asks for what is missing, if nothing was asked for or the answer is overdue.
    pub(crate) fn ask(&mut self, now: Moment) -> Option<(HostId, PlanContent)> {
        if let Some(asked) = self.asked {
            if now.since(asked) < RETRY {
                return None;
            }
            // The source may have gone, or serve too many: the next one is asked.
            self.source += 1;
        }
        if self.sources.is_empty() {
            return None;
        }
        self.asked = Some(now);
        let source = self.sources[self.source % self.sources.len()].clone();
        Some((source, self.request()))
    }

    /// Takes a chunk; returns the plan if it was the last one missing, or what to ask for next.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        (index, total): (u32, u32),
        body: Bytes,
    ) -> FetchStep {
        let count = usize::try_from(total).unwrap_or(usize::MAX);
        let place = usize::try_from(index).unwrap_or(usize::MAX);
        if count > PLAN_LIMIT / CHUNK_BYTES || place >= count || body.len() > CHUNK_BYTES {
            return FetchStep::Wait;
        }
        if self.chunks.len() != count {
            self.chunks = vec![None; count];
        }
        self.chunks[place] = Some(body);
        let Some(missing) = self.chunks.iter().position(Option::is_none) else {
            return self.finish();
        };
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        if missing < self.window + WINDOW {
            return FetchStep::Wait;
        }
        self.window = missing;
        self.asked = Some(now);
        let source = self.sources[self.source % self.sources.len()].clone();
        FetchStep::Ask(source, self.request())
    }

    fn request(&self) -> PlanContent {
        let missing = self.chunks.iter().position(Option::is_none).unwrap_or(0);
        let first = u32::try_from(missing).unwrap_or(0);
        let count = self.window + WINDOW - first.clamp(self.window, self.window + WINDOW - 1);
        PlanContent::Fetch { version: self.version, digest: self.digest, first, count }
    }

    fn finish(&mut self) -> FetchStep {
        let body: Vec<u8> = self.chunks.iter().flatten().flatten().copied().collect();
        // Chunks of another plan than the one meant: all are thrown away and asked for anew.
        let Some(plan) = HeldPlan::decode(self.version, self.digest, body) else {
            self.chunks = vec![None];
            self.window = 0;
            return FetchStep::Wait;
        };
        FetchStep::Done(plan)
    }
}

/// What follows from a chunk.
#[derive(Clone, Debug)]
pub(crate) enum FetchStep {
    /// More of the window is under way.
    Wait,
    /// The next window is to be asked for.
    Ask(HostId, PlanContent),
    /// The plan is whole.
    Done(HeldPlan),
}
