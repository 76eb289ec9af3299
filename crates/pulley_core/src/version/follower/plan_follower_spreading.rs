//! How a host fetches plans and serves them to other hosts.

use std::sync::Arc;

use rand::seq::SliceRandom;

use super::plan_delta::{DeltaPath, DeltaSpan, HeldPlan};
use super::plan_follower::PlanFollower;
use super::plan_follower_fetch::{ChunkOutcome, PlanFetch};
use super::plan_follower_message::{CHUNK_BYTES, PlanChunk, PlanContent, PlanLease};
use super::{ConfigVersion, PlanDigest, PlanSend, StoredPlan};
use crate::process::{HostId, Moment};

impl PlanFollower {
    // ---------------------------------------------------------------------------------------------
    // Fetching

    /// Fetches the version that a lease names, if it is not held yet.
    pub(super) fn fetch_leased(&mut self, lease: &PlanLease) {
        if lease.version == ConfigVersion::default() && self.held.is_none() {
            self.held = Some(HeldPlan::empty());
        }
        self.fetch_version(lease.version, lease.digest);
    }

    /// Fetches the version that another host has in force. A version in force on any host is
    /// committed, even if the leader has changed since.
    pub(super) fn fetch_from_holder(
        &mut self,
        now: Moment,
        from: &HostId,
        (version, digest): (ConfigVersion, PlanDigest),
    ) {
        self.fetch_version(version, digest);
        let Some(fetch) = &mut self.fetch else { return };
        if version >= fetch.goal() {
            fetch.add_holder(from);
        } else if version <= self.held.as_ref().map(|held| held.version).unwrap_or_default() {
            fetch.skip_host(now, from);
        }
    }

    /// Starts to fetch a version unless it is in force. A fetch in progress continues, to the later
    /// of both versions.
    fn fetch_version(&mut self, version: ConfigVersion, digest: PlanDigest) {
        if version <= self.version() {
            return;
        }
        if let Some(fetch) = &mut self.fetch {
            fetch.raise_goal(version, digest);
            return;
        }
        self.counts.fetches += 1;
        self.fetch = Some(PlanFetch::new(version, digest, self.ordered_replicas()));
    }

    /// Directs a fetch in progress to the hosts that have a replica now.
    pub(super) fn update_fetch_sources(&mut self) {
        if self.fetch.is_none() {
            return;
        }
        let replicas = self.ordered_replicas();
        if let Some(fetch) = &mut self.fetch {
            fetch.set_replicas(replicas);
        }
    }

    /// Returns the hosts with a replica, those in this host's zone first. Within each group the
    /// order is random, so that the load is spread evenly.
    fn ordered_replicas(&mut self) -> Vec<HostId> {
        let leased = self.lease.as_ref().map(|lease| &lease.replicas.hosts);
        let live = Some(&self.announced_replicas).filter(|live| !live.is_empty());
        let mut replicas = live.or(leased).cloned().unwrap_or_default();
        replicas.retain(|host| *host != self.host);
        replicas.shuffle(&mut self.rng);
        replicas.sort_by_key(|host| !self.same_zone_replicas.contains(host));
        replicas
    }

    /// Requests missing chunks, if a request is due.
    pub(super) fn request_chunks(&mut self, now: Moment) -> Option<PlanSend> {
        let held = self.version();
        let request = self.fetch.as_mut()?.next_request(now, held)?;
        self.counts.windows_asked += 1;
        self.counts.windows_overdue += u64::from(request.is_overdue);
        Some(self.message(now, request.to, request.content))
    }

    pub(super) fn take_chunk(
        &mut self,
        now: Moment,
        from: &HostId,
        chunk: PlanChunk,
    ) -> Vec<PlanSend> {
        let held = self.version();
        let taken = self.fetch.as_mut().map(|fetch| fetch.take_chunk(now, from, held, chunk));
        match taken {
            None | Some(ChunkOutcome::Unwanted) => self.counts.chunks_unwanted += 1,
            Some(ChunkOutcome::Taken) => self.counts.chunks_taken += 1,
            Some(ChunkOutcome::Done(path)) => {
                self.counts.chunks_taken += 1;
                return self.apply_path(now, path);
            }
        }
        self.request_chunks(now).into_iter().collect()
    }

    /// Applies complete differences, puts the resulting plan in force and reports that to the
    /// leader. Differences that do not lead to the expected plan are dropped.
    fn apply_path(&mut self, now: Moment, path: DeltaPath) -> Vec<PlanSend> {
        let empty = HeldPlan::empty;
        let held = self.held.clone().unwrap_or_else(empty);
        let Some(later) = held.advance(path.span, path.digest, &path.body) else {
            self.counts.dropped_paths += 1;
            if let Some(fetch) = &mut self.fetch {
                fetch.reject_path(now);
            }
            return Vec::new();
        };
        self.history.record_received(path);
        self.put_in_force(later);
        let leader = self.lease.as_ref().map(|lease| lease.leader.clone());
        let leader = leader.filter(|leader| *leader != self.host);
        let held = PlanContent::Held { version: self.version() };
        let report = leader.map(|to| self.message(now, to, held));
        report.into_iter().chain(self.request_chunks(now)).collect()
    }

    // ---------------------------------------------------------------------------------------------
    // Serving

    /// Answers a request for chunks of the differences that lead from the version that the
    /// requester holds to the one held here.
    pub(super) fn serve(
        &mut self,
        now: Moment,
        to: &HostId,
        (from, span): (ConfigVersion, Option<DeltaSpan>),
        (first, wanted): (u32, u16),
    ) -> Vec<PlanSend> {
        let Some(held) = self.held.clone().filter(|held| held.version > from) else {
            // Without an answer the requester would wait for its timeout before it asks another
            // host.
            let nothing = || self.message(now, to.clone(), PlanContent::Busy);
            return vec![self.lease_message(now, to.clone()).unwrap_or_else(nothing)];
        };
        if !self.serve_budget.has_bytes(now) {
            self.counts.windows_unserved += 1;
            return vec![self.message(now, to.clone(), PlanContent::Busy)];
        }
        let begun = span.and_then(|span| self.history.find(span));
        let (path, first, wanted) = match begun {
            Some(path) => (path, first, wanted),
            None => (self.history.path_from(from, &held), 0, lowest_bits(wanted.count_ones())),
        };
        let total = u32::try_from(path.body.len().div_ceil(CHUNK_BYTES)).unwrap_or(u32::MAX);
        let indices = (0..u16::BITS).filter(|bit| wanted & (1 << bit) != 0);
        let indices = indices.filter_map(|bit| first.checked_add(bit)).filter(|at| *at < total);
        let chunks: Vec<PlanSend> = indices
            .map(|index| PlanContent::Chunk(path_chunk(&path, index, total)))
            .map(|content| self.message(now, to.clone(), content))
            .collect();
        self.serve_budget.spend(chunks.iter().map(|chunk| chunk.body.len()).sum());
        self.counts.windows_served += 1;
        self.counts.chunks_served += chunks.len() as u64;
        chunks
    }

    // ---------------------------------------------------------------------------------------------
    // Holding

    /// Puts a version in force that this host's own replica knows to be committed.
    pub fn apply_committed_plan(&mut self, plan: &StoredPlan) {
        if self.held.as_ref().is_some_and(|held| held.version >= plan.version) {
            return;
        }
        let later = HeldPlan::new(plan.version, Arc::new(plan.plan.clone()));
        if let Some(held) = self.held.as_ref().filter(|held| held.version.0 > 0) {
            self.history.record_step(held, &later);
        }
        self.put_in_force(later);
    }

    /// Puts a plan in force, unless it or a later one already is.
    fn put_in_force(&mut self, plan: HeldPlan) {
        let version = plan.version;
        if self.held.as_ref().is_some_and(|held| held.version >= version) {
            return;
        }
        self.held = Some(plan);
        match &mut self.fetch {
            Some(fetch) if fetch.goal() > version => fetch.record_held(version),
            _ => self.fetch = None,
        }
        // A lease for this version was passed on when it arrived, so other hosts already know that
        // the version can be fetched.
        self.flood |= self.lease.as_ref().is_none_or(|lease| lease.version < version);
    }
}

fn path_chunk(path: &DeltaPath, index: u32, total: u32) -> PlanChunk {
    let start = index as usize * CHUNK_BYTES;
    let end = path.body.len().min(start + CHUNK_BYTES);
    let (span, digest) = (path.span, path.digest);
    PlanChunk { span, digest, index, total, body: path.body.slice(start..end) }
}

fn lowest_bits(count: u32) -> u16 {
    u16::MAX.checked_shr(u16::BITS - count).unwrap_or(0)
}
