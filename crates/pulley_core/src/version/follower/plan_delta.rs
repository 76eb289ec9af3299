//! The form in which plans are sent between hosts: as steps from a version that the receiver holds
//! to a later one. Each step is the difference between two versions.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::plan_difference::PlanDifference;
use super::plan_follower_message::{PLAN_LIMIT, PlanDigest};
use super::{ConfigVersion, PolicyPlan};
use crate::process::FastMap;

/// How many steps are kept for hosts that hold an earlier version.
const STEP_LIMIT: usize = 64;
/// The maximum total size of the steps kept, in bytes.
const STEP_BYTES_LIMIT: usize = 1024 * 1024;
/// The maximum number of steps sent to lead a host from one version to another. If more would be
/// needed, the whole plan is sent.
const PATH_STEP_LIMIT: usize = 32;
/// How many encoded series of steps are cached, for hosts that have received only some chunks of
/// one.
const PATH_CACHE_LIMIT: usize = 8;
/// How many encoded whole plans are cached. That of an earlier version could not be encoded again,
/// because a host holds only its latest plan.
const WHOLE_CACHE_LIMIT: usize = 4;

/// The version at which one or more steps start and the version that they lead to. Steps that start
/// at version 0, the empty plan, carry a whole plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct DeltaSpan {
    pub(crate) from: ConfigVersion,
    pub(crate) to: ConfigVersion,
}

impl DeltaSpan {
    /// Whether steps with this span lead a host that holds version `held` to a later version.
    pub(crate) fn advances(self, held: ConfigVersion) -> bool {
        self.to > held && (self.from == held || self.from == ConfigVersion::default())
    }
}

/// A plan in force at a host.
#[derive(Clone, Debug)]
pub(crate) struct HeldPlan {
    pub(crate) version: ConfigVersion,
    pub(crate) plan: Arc<PolicyPlan>,
    /// The digest of the uncompressed encoding, so that hosts whose releases compress differently
    /// agree.
    pub(crate) digest: PlanDigest,
}

impl HeldPlan {
    pub(crate) fn new(version: ConfigVersion, plan: Arc<PolicyPlan>) -> Self {
        let encoded = postcard::to_stdvec(&(version, &*plan));
        let encoded = encoded.expect("plain data types always encode");
        Self { version, plan, digest: PlanDigest::of(&encoded) }
    }

    /// Returns the empty plan, version 0.
    pub(crate) fn empty() -> Self {
        Self::new(ConfigVersion::default(), Arc::default())
    }

    /// Builds a later plan from this one.
    ///
    /// `body` holds the steps to the later plan, as returned by [`DeltaHistory::path_from`].
    /// Returns `None` if they do not apply to this plan or do not lead to the plan with the given
    /// digest.
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
    /// The digest of the plan that the step leads to, if known.
    digest: Option<PlanDigest>,
    packed: Bytes,
}

/// The encoded steps from one version to another, ready to be sent in chunks.
#[derive(Clone, Debug)]
pub(crate) struct DeltaPath {
    pub(crate) span: DeltaSpan,
    /// The digest of the plan that the steps lead to.
    pub(crate) digest: PlanDigest,
    pub(crate) body: Bytes,
}

/// The steps between the latest versions.
///
/// A step is created on hosts that apply a change from the log; other hosts forward it unchanged.
/// Hosts with the same steps encode them to the same bytes, so the chunks of one series of steps
/// may come from several hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeltaHistory {
    steps: VecDeque<PlanStep>,
    bytes: usize,
    /// Cached series of steps; whole plans are cached separately. In both caches, the most recently
    /// used are at the end.
    paths: VecDeque<DeltaPath>,
    whole_plans: VecDeque<DeltaPath>,
}

impl DeltaHistory {
    /// Records the step between two plans that were in force here one after the other.
    pub(crate) fn record_step(&mut self, before: &HeldPlan, after: &HeldPlan) {
        let span = DeltaSpan { from: before.version, to: after.version };
        let packed = PlanDifference::between(&before.plan, &after.plan).pack();
        self.push_step(PlanStep { span, digest: Some(after.digest), packed });
    }

    /// Records steps that came from another host and were applied here, so that they can be served.
    pub(crate) fn record_received(&mut self, path: DeltaPath) {
        let mut from = path.span.from;
        for (to, packed) in split_steps(&path.body).unwrap_or_default() {
            let digest = (to == path.span.to).then_some(path.digest);
            let packed = Bytes::copy_from_slice(packed);
            if from > ConfigVersion::default() {
                self.push_step(PlanStep { span: DeltaSpan { from, to }, digest, packed });
            }
            from = to;
        }
        self.cache_path(path);
    }

    fn cache_path(&mut self, path: DeltaPath) {
        let (cache, limit) = self.cache(path.span);
        if cache.iter().any(|known| known.span == path.span) {
            return;
        }
        cache.push_back(path);
        while cache.len() > limit {
            cache.pop_front();
        }
    }

    fn cache(&mut self, span: DeltaSpan) -> (&mut VecDeque<DeltaPath>, usize) {
        match span.from == ConfigVersion::default() {
            true => (&mut self.whole_plans, WHOLE_CACHE_LIMIT),
            false => (&mut self.paths, PATH_CACHE_LIMIT),
        }
    }

    /// Returns the steps with a span if they are cached. They then count as the most recently used,
    /// so they stay cached for as long as hosts ask for them often.
    fn cached(&mut self, span: DeltaSpan) -> Option<DeltaPath> {
        let (cache, _) = self.cache(span);
        let position = cache.iter().position(|path| path.span == span)?;
        let path = cache.remove(position)?;
        cache.push_back(path.clone());
        Some(path)
    }

    /// Returns the steps that a host has begun to fetch, if they are cached or still kept.
    pub(crate) fn find(&mut self, span: DeltaSpan) -> Option<DeltaPath> {
        self.cached(span).or_else(|| {
            let path = self.compose(span)?;
            self.cache_path(path.clone());
            Some(path)
        })
    }

    /// Returns the steps from version `from` to the held plan, or the whole plan if those steps are
    /// not available.
    pub(crate) fn path_from(&mut self, from: ConfigVersion, held: &HeldPlan) -> DeltaPath {
        let known = self.find(DeltaSpan { from, to: held.version });
        known.unwrap_or_else(|| self.whole_path(held))
    }

    fn whole_path(&mut self, held: &HeldPlan) -> DeltaPath {
        let span = DeltaSpan { from: ConfigVersion::default(), to: held.version };
        if let Some(path) = self.cached(span) {
            return path;
        }
        let packed = PlanDifference::between(&PolicyPlan::default(), &held.plan).pack();
        let body = join_steps([(held.version, &packed)].into_iter());
        let path = DeltaPath { span, digest: held.digest, body };
        self.cache_path(path.clone());
        path
    }

    fn compose(&self, span: DeltaSpan) -> Option<DeltaPath> {
        let by_start: FastMap<ConfigVersion, &PlanStep> =
            self.steps.iter().map(|step| (step.span.from, step)).collect();
        let mut chain: Vec<&PlanStep> = Vec::new();
        let mut reached = span.from;
        while reached < span.to && chain.len() < PATH_STEP_LIMIT {
            let step = by_start.get(&reached)?;
            reached = step.span.to;
            chain.push(step);
        }
        let last = chain.last().filter(|_| reached == span.to)?;
        let digest = last.digest?;
        let body = join_steps(chain.iter().map(|step| (step.span.to, &step.packed)));
        (body.len() <= PLAN_LIMIT).then_some(DeltaPath { span, digest, body })
    }

    fn push_step(&mut self, step: PlanStep) {
        self.bytes += step.packed.len();
        self.steps.push_back(step);
        while self.steps.len() > STEP_LIMIT
            || (self.bytes > STEP_BYTES_LIMIT && self.steps.len() > 1)
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

/// Splits an encoded series into its steps: the version to which each leads, and its packed form.
/// Returns `None` if it cannot be decoded or has too many steps.
fn split_steps(body: &[u8]) -> Option<Vec<(ConfigVersion, &[u8])>> {
    let steps: Vec<(ConfigVersion, &[u8])> = postcard::from_bytes(body).ok()?;
    (steps.len() <= PATH_STEP_LIMIT).then_some(steps)
}
