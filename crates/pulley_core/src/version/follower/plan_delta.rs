//! Plans as they travel between hosts: what differs from a version that the receiver holds.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::plan_difference::PlanDifference;
use super::plan_follower_message::{PLAN_LIMIT, PlanDigest};
use super::{ConfigVersion, PolicyPlan};
use crate::process::FastMap;

/// How many steps are kept, for hosts that hold an earlier version.
const STEPS_KEPT: usize = 64;
/// How many bytes the steps kept may have together.
const STEP_BYTES_KEPT: usize = 1024 * 1024;
/// The longest way from one version to another; where there is none so short, the plan goes whole.
const PATH_LIMIT: usize = 32;
/// How many ways are kept ready, for hosts that ask for the rest of one.
const PATHS_KEPT: usize = 8;
/// How many whole plans are: of an earlier version none can be made again.
const WHOLES_KEPT: usize = 4;

/// From which version to which; from 0, the empty plan, a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct DeltaSpan {
    pub(crate) from: ConfigVersion,
    pub(crate) to: ConfigVersion,
}

impl DeltaSpan {
    /// Whether a host that holds a version gets to a later one by it.
    pub(crate) fn leads_on(self, held: ConfigVersion) -> bool {
        self.to > held && (self.from == held || self.from == ConfigVersion::default())
    }
}

/// A plan in force at a host.
#[derive(Clone, Debug)]
pub(crate) struct HeldPlan {
    pub(crate) version: ConfigVersion,
    pub(crate) plan: Arc<PolicyPlan>,
    /// Over the encoded plan, so that hosts whose releases compress differently agree.
    pub(crate) digest: PlanDigest,
}

impl HeldPlan {
    pub(crate) fn new(version: ConfigVersion, plan: Arc<PolicyPlan>) -> Self {
        let encoded = postcard::to_stdvec(&(version, &*plan));
        let encoded = encoded.expect("plain data types always encode");
        Self { version, plan, digest: PlanDigest::of(&encoded) }
    }

    /// The plan before the first.
    pub(crate) fn empty() -> Self {
        Self::new(ConfigVersion::default(), Arc::default())
    }

    /// Makes a later plan out of this one.
    ///
    /// `body` are the steps to it, as [`DeltaHistory::path`] gives them; none if they don't fit, or
    /// lead to another plan than the one with the digest.
    pub(crate) fn advance(&self, span: DeltaSpan, digest: PlanDigest, body: &[u8]) -> Option<Self> {
        let is_whole = span.from == ConfigVersion::default();
        let mut plan = if is_whole { Arc::default() } else { Arc::clone(&self.plan) };
        for (_, packed) in split_steps(body)? {
            plan = Arc::new(PlanDifference::unpack(packed)?.apply(&plan)?);
        }
        let later = Self::new(span.to, plan);
        (later.digest == digest).then_some(later)
    }
}

#[derive(Clone, Debug)]
struct PlanStep {
    span: DeltaSpan,
    /// Of the plan that it leads to, if that is known.
    digest: Option<PlanDigest>,
    packed: Bytes,
}

/// A way from one version to another, ready to be sent in chunks.
#[derive(Clone, Debug)]
pub(crate) struct DeltaPath {
    pub(crate) span: DeltaSpan,
    /// Of the plan that it leads to.
    pub(crate) digest: PlanDigest,
    pub(crate) body: Bytes,
}

/// The steps between the latest versions.
///
/// A step is made where a change is applied, and passed on as it is. Hosts that hold the same steps
/// make the same bytes out of them, so chunks of one way may come from several hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeltaHistory {
    steps: VecDeque<PlanStep>,
    bytes: usize,
    /// Steps and whole plans, those used last at the end.
    paths: VecDeque<DeltaPath>,
    wholes: VecDeque<DeltaPath>,
}

impl DeltaHistory {
    /// Notes the step between two plans that were in force here one after the other.
    pub(crate) fn note_step(&mut self, before: &HeldPlan, after: &HeldPlan) {
        let span = DeltaSpan { from: before.version, to: after.version };
        let packed = PlanDifference::between(&before.plan, &after.plan).pack();
        self.push(PlanStep { span, digest: Some(after.digest), packed });
    }

    /// Notes a way that came from another host and was gone, which then can be passed on.
    pub(crate) fn note_taken(&mut self, path: DeltaPath) {
        let mut from = path.span.from;
        for (to, packed) in split_steps(&path.body).unwrap_or_default() {
            let digest = (to == path.span.to).then_some(path.digest);
            let packed = Bytes::copy_from_slice(packed);
            if from > ConfigVersion::default() {
                self.push(PlanStep { span: DeltaSpan { from, to }, digest, packed });
            }
            from = to;
        }
        self.note_path(path);
    }

    fn note_path(&mut self, path: DeltaPath) {
        let (kept, limit) = self.kept(path.span);
        if kept.iter().any(|known| known.span == path.span) {
            return;
        }
        kept.push_back(path);
        while kept.len() > limit {
            kept.pop_front();
        }
    }

    fn kept(&mut self, span: DeltaSpan) -> (&mut VecDeque<DeltaPath>, usize) {
        match span.from == ConfigVersion::default() {
            true => (&mut self.wholes, WHOLES_KEPT),
            false => (&mut self.paths, PATHS_KEPT),
        }
    }

    /// A way that is kept ready; it stays so for as long as hosts ask for it often.
    fn known(&mut self, span: DeltaSpan) -> Option<DeltaPath> {
        let (kept, _) = self.kept(span);
        let place = kept.iter().position(|path| path.span == span)?;
        let path = kept.remove(place)?;
        kept.push_back(path.clone());
        Some(path)
    }

    /// The way that a host has begun to fetch, if it is still known.
    pub(crate) fn find(&mut self, span: DeltaSpan) -> Option<DeltaPath> {
        self.known(span).or_else(|| {
            let path = self.compose(span)?;
            self.note_path(path.clone());
            Some(path)
        })
    }

    /// The way to the plan held, for a host that holds version `from`.
    pub(crate) fn path(&mut self, from: ConfigVersion, held: &HeldPlan) -> DeltaPath {
        let known = self.find(DeltaSpan { from, to: held.version });
        known.unwrap_or_else(|| self.whole(held))
    }

    fn whole(&mut self, held: &HeldPlan) -> DeltaPath {
        let span = DeltaSpan { from: ConfigVersion::default(), to: held.version };
        if let Some(path) = self.known(span) {
            return path;
        }
        let packed = PlanDifference::between(&PolicyPlan::default(), &held.plan).pack();
        let body = join_steps([(held.version, &packed)].into_iter());
        let path = DeltaPath { span, digest: held.digest, body };
        self.note_path(path.clone());
        path
    }

    fn compose(&self, span: DeltaSpan) -> Option<DeltaPath> {
        let by_start: FastMap<ConfigVersion, &PlanStep> =
            self.steps.iter().map(|step| (step.span.from, step)).collect();
        let mut way: Vec<&PlanStep> = Vec::new();
        let mut reached = span.from;
        while reached < span.to && way.len() < PATH_LIMIT {
            let step = by_start.get(&reached)?;
            reached = step.span.to;
            way.push(step);
        }
        let last = way.last().filter(|_| reached == span.to)?;
        let digest = last.digest?;
        let body = join_steps(way.iter().map(|step| (step.span.to, &step.packed)));
        (body.len() <= PLAN_LIMIT).then_some(DeltaPath { span, digest, body })
    }

    fn push(&mut self, step: PlanStep) {
        self.bytes += step.packed.len();
        self.steps.push_back(step);
        while self.steps.len() > STEPS_KEPT
            || (self.bytes > STEP_BYTES_KEPT && self.steps.len() > 1)
        {
            let oldest = self.steps.pop_front();
            self.bytes -= oldest.map_or(0, |step| step.packed.len());
        }
    }
}

fn join_steps<'step>(steps: impl Iterator<Item = (ConfigVersion, &'step Bytes)>) -> Bytes {
    let steps: Vec<(ConfigVersion, &[u8])> = steps.map(|(to, step)| (to, &step[..])).collect();
    Bytes::from(postcard::to_stdvec(&steps).expect("plain data types always encode"))
}

/// The steps of a way, if it is no longer than allowed: to which version each leads, and its packed
/// form.
fn split_steps(body: &[u8]) -> Option<Vec<(ConfigVersion, &[u8])>> {
    let steps: Vec<(ConfigVersion, &[u8])> = postcard::from_bytes(body).ok()?;
    (steps.len() <= PATH_LIMIT).then_some(steps)
}
