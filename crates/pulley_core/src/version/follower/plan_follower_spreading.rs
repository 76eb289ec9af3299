//! How a host gets hold of plans and passes them on.

use std::sync::Arc;

use super::plan_follower::{EARLIER_LIMIT, EARLIER_TERM, PlanFollower};
use super::plan_follower_fetch::{FetchStep, PlanFetch};
use super::plan_follower_message::{HeldPlan, PlanContent, PlanLease};
use super::{ConfigVersion, PlanDigest, PlanSend};
use crate::process::{HostId, Moment};

impl PlanFollower {
    /// Wants the version that a lease names, unless another one is on its way already.
    ///
    /// Changes in quick succession would else each throw away what is on its way: hosts that are
    /// slow stayed at the version before a storm for as long as it lasted, two seconds and more.
    pub(super) fn want(&mut self, now: Moment, lease: &PlanLease) {
        if lease.version == ConfigVersion::default() && self.held.is_none() {
            self.held = Some(HeldPlan::new(Arc::default()));
        }
        let held = self.held.as_ref().is_some_and(|held| held.plan.version == lease.version);
        let is_busy = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.version >= lease.version || fetch.is_coming(now));
        if !held && !is_busy {
            self.begin_fetch(lease.version, lease.digest);
        }
    }

    /// Takes up what another host has in force. That is always committed, whoever leads now. It
    /// goes before a later version that nobody is known to hold yet.
    pub(super) fn take_committed(
        &mut self,
        now: Moment,
        from: &HostId,
        (version, digest): (ConfigVersion, PlanDigest),
    ) {
        let held = self.held.as_ref().map(|held| held.plan.version);
        let is_busy = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.version == version || fetch.is_coming(now));
        if version > ConfigVersion::default() && held < Some(version) && !is_busy {
            self.begin_fetch(version, digest);
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.version == version) {
            fetch.add_source(from);
        }
    }

    pub(super) fn serve(
        &mut self,
        now: Moment,
        to: &HostId,
        (version, digest): (ConfigVersion, PlanDigest),
        wanted: std::ops::Range<u32>,
    ) -> Vec<PlanSend> {
        if self.serve_budget < 1.0 {
            self.counts.windows_unserved += 1;
            return Vec::new();
        }
        let earlier = self.earlier.iter().map(|(_, plan)| plan);
        let known = self.held.iter().chain(earlier).find(|held| held.digest == digest);
        let Some(held) = known else {
            // It has moved on since it told of that version: it tells of the one it has now.
            self.serve_budget -= 1.0;
            return self.tell_lease(now, to.clone()).into_iter().collect();
        };
        self.serve_budget -= 1.0;
        let total = held.chunk_count();
        let last = wanted.end.min(wanted.start.saturating_add(32));
        let chunks: Vec<PlanSend> = (wanted.start..last)
            .filter_map(|index| held.chunk(index).map(|body| (index, body)))
            .map(|(index, body)| PlanContent::Chunk { version, digest, index, total, body })
            .map(|content| self.send(now, to.clone(), content))
            .collect();
        self.counts.windows_served += 1;
        self.counts.chunks_served += chunks.len() as u64;
        chunks
    }

    fn begin_fetch(&mut self, version: ConfigVersion, digest: PlanDigest) {
        self.counts.fetches += 1;
        self.counts.dropped_fetches += u64::from(self.fetch.is_some());
        self.fetch = Some(PlanFetch::new(version, digest));
    }

    pub(super) fn take_chunk(
        &mut self,
        now: Moment,
        (version, digest): (ConfigVersion, PlanDigest),
        place: (u32, u32),
        body: bytes::Bytes,
    ) -> Vec<PlanSend> {
        let fetch = self.fetch.as_mut().filter(|f| f.version == version && f.digest == digest);
        let Some(fetch) = fetch else {
            self.counts.chunks_unwanted += 1;
            return Vec::new();
        };
        self.counts.chunks_taken += 1;
        match fetch.take(now, place, body) {
            FetchStep::Wait => Vec::new(),
            FetchStep::Ask(to, content) => {
                self.counts.windows_asked += 1;
                vec![self.send(now, to, content)]
            }
            FetchStep::Done(plan) => {
                self.hold(plan);
                let leader = self.lease.as_ref().map(|lease| lease.leader.clone());
                let leader = leader.filter(|leader| *leader != self.host);
                let held = PlanContent::Held { version: self.version() };
                leader.map(|to| self.send(now, to, held)).into_iter().collect()
            }
        }
    }

    /// Puts a plan in force, unless a later one is already.
    pub(super) fn hold(&mut self, plan: HeldPlan) {
        if self.held.as_ref().is_some_and(|held| held.plan.version >= plan.plan.version) {
            return;
        }
        let version = plan.plan.version;
        if let Some(before) = self.held.replace(plan) {
            self.earlier.push_back((self.last_tick + EARLIER_TERM, before));
        }
        while self.earlier.len() > EARLIER_LIMIT {
            self.earlier.pop_front();
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.version <= version) {
            self.fetch = None;
        }
        self.flood = true;
    }
}
