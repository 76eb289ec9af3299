//! Carries counts between the schedulers of this host and the pools' coordinators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    COUNT_BYTES_PER_SECOND, CoordinatorOutput, CountDelta, CountSum, FastMap, PoolCoordinator,
    ProbeOutcome, UpstreamRecord, coordinator_for,
};
use pulley_core::{HostId, IndexedPlan, Moment, PoolName, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};

use super::RunningView;
use crate::request::SchedulerSet;

/// The shortest sleep between two looks at the counts, so that a pool of many changes cannot make
/// a busy loop of the control thread.
const COUNT_PACE: Duration = Duration::from_millis(2);

/// Which pool's upstreams in which zone.
type CountScope = (PoolName, ZoneName);

/// What goes over the wire.
#[derive(Debug, Serialize, Deserialize)]
enum CountFrame {
    Delta(CountDelta),
    Sum(CountSum),
}

/// What became of a probe that a coordinator asked for.
#[derive(Clone, Debug)]
pub(crate) struct ProbeReport {
    /// The pool.
    pub(crate) pool: PoolName,
    /// The upstream's zone.
    pub(crate) zone: ZoneName,
    /// The upstream.
    pub(crate) upstream: UpstreamId,
    /// The outcome.
    pub(crate) outcome: ProbeOutcome,
}

/// What a look at the counts brought about.
#[derive(Debug, Default)]
pub(crate) struct CarriedCounts {
    /// Encoded messages for other hosts.
    pub(crate) sends: Vec<(HostId, Bytes)>,
    /// Probes that coordinators want made.
    pub(crate) probes: Vec<(PoolName, ZoneName, CoordinatorOutput)>,
}

/// The coordinators that live on this host, and who coordinates the rest.
pub(crate) struct CountCarrier {
    host: HostId,
    /// Whether counts go to and from other hosts; without them schedulers go by their own.
    shares: bool,
    coordinators: FastMap<CountScope, PoolCoordinator>,
    assigned: FastMap<CountScope, HostId>,
    not_before: Moment,
    /// Whether a sum waits to be passed on.
    passes_on: bool,
}

impl CountCarrier {
    pub(crate) fn new(host: HostId, shares: bool) -> Self {
        Self {
            host,
            shares,
            coordinators: FastMap::default(),
            assigned: FastMap::default(),
            not_before: Moment::ZERO,
            passes_on: false,
        }
    }

    /// Whether counts go to and from other hosts.
    pub(crate) const fn shares(&self) -> bool {
        self.shares
    }

    /// Takes over a view and the live entries: who coordinates what may have moved.
    pub(crate) fn apply_view(&mut self, now: Moment, view: &RunningView, live: &[HostId]) {
        if !self.shares {
            return;
        }
        let mut assigned: FastMap<CountScope, HostId> = FastMap::default();
        for pool in view.plan.pools() {
            let records = view.upstreams.get(pool).cloned().unwrap_or_default();
            let records: Vec<UpstreamRecord> =
                records.iter().map(|record| UpstreamRecord::clone(record)).collect();
            for zone in zones_of(&records) {
                let Some(coordinator) = coordinator_for(pool, &zone, live) else { continue };
                let scope = (pool.clone(), zone);
                if *coordinator == self.host {
                    self.coordinate(now, &scope, &view.plan, &records);
                }
                assigned.insert(scope, coordinator.clone());
            }
        }
        self.coordinators.retain(|scope, _| assigned.get(scope) == Some(&self.host));
        // Every entry takes part in every pool's rounds, so the bound is split over all pools.
        let pools = u32::try_from(view.plan.pools().len()).unwrap_or(u32::MAX).max(1);
        let bytes = count_bytes(live.len());
        for coordinator in self.coordinators.values_mut() {
            coordinator.set_bytes_per_second(bytes / pools);
        }
        self.assigned = assigned;
    }

    /// Sends what changed and what is due.
    pub(crate) fn tick(&mut self, now: Moment, schedulers: &SchedulerSet) -> CarriedCounts {
        let mut carried = CarriedCounts::default();
        if now < self.not_before || !self.shares {
            return carried;
        }
        self.not_before = now + COUNT_PACE;
        for (pool, zone, delta) in schedulers.take_deltas(now) {
            self.carry_delta(now, &(pool, zone), delta, schedulers, &mut carried);
        }
        let mut sums: Vec<CountSum> = Vec::new();
        for ((pool, zone), coordinator) in &mut self.coordinators {
            for output in coordinator.tick(now) {
                match output {
                    CoordinatorOutput::Publish { to, sum } if to == self.host => {
                        sums.push(*sum);
                    }
                    CoordinatorOutput::Publish { to, sum } => {
                        carried.sends.extend(encode(&CountFrame::Sum(*sum)).map(|body| (to, body)));
                    }
                    probe @ CoordinatorOutput::Probe { .. } => {
                        carried.probes.push((pool.clone(), zone.clone(), probe));
                    }
                }
            }
        }
        for sum in &sums {
            schedulers.receive_sum(now, sum);
        }
        self.passes_on = false;
        for (to, sum) in schedulers.take_relays() {
            carried.sends.extend(encode(&CountFrame::Sum(sum)).map(|body| (to, body)));
        }
        carried
    }

    /// Takes a count message of another host; what cannot be read is dropped.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        from: &HostId,
        body: &[u8],
        schedulers: &SchedulerSet,
    ) {
        if !self.shares {
            return;
        }
        let Ok(frame) = postcard::from_bytes::<CountFrame>(body) else { return };
        match frame {
            CountFrame::Delta(delta) => {
                self.take_delta(now, from, &delta, schedulers);
            }
            // A host may publish or pass on in its own name only; reports go back to that name.
            CountFrame::Sum(sum) if sum.sender == *from => {
                schedulers.receive_sum(now, &sum);
                self.passes_on |= !sum.route.is_empty();
            }
            CountFrame::Sum(_) => {}
        }
    }

    /// A delta is for the pool's coordinator, if it is here, or for this host's own report.
    fn take_delta(
        &mut self,
        now: Moment,
        from: &HostId,
        delta: &CountDelta,
        schedulers: &SchedulerSet,
    ) {
        for ((pool, _), coordinator) in &mut self.coordinators {
            if *pool == delta.pool {
                coordinator.receive(now, from, delta);
            }
        }
        schedulers.receive_report(from, delta);
    }

    /// Hands a probe's outcome to the coordinator that asked for it, if it still is one.
    pub(crate) fn probed(&mut self, now: Moment, probe: &ProbeReport) {
        let scope = (probe.pool.clone(), probe.zone.clone());
        if let Some(coordinator) = self.coordinators.get_mut(&scope) {
            coordinator.probed(now, &probe.upstream, probe.outcome);
        }
    }

    pub(crate) fn next_wakeup(&self, schedulers: &SchedulerSet) -> Option<Moment> {
        if !self.shares {
            return None;
        }
        let own = self.coordinators.values().map(PoolCoordinator::next_wakeup).min();
        let deltas = schedulers.next_delta_at();
        let passes_on = self.passes_on.then_some(self.not_before);
        own.into_iter().chain(deltas).chain(passes_on).min().map(|due| due.max(self.not_before))
    }

    /// The pools and zones that this host coordinates.
    pub(crate) fn scopes(&self) -> Vec<String> {
        let mut scopes: Vec<String> =
            self.coordinators.keys().map(|(pool, zone)| format!("{pool}/{zone}")).collect();
        scopes.sort();
        scopes
    }

    fn coordinate(
        &mut self,
        now: Moment,
        scope: &CountScope,
        plan: &Arc<IndexedPlan>,
        records: &[UpstreamRecord],
    ) {
        let coordinator = self.coordinators.entry(scope.clone()).or_insert_with(|| {
            PoolCoordinator::new(scope.0.clone(), scope.1.clone(), self.host.clone(), now)
        });
        coordinator.apply_plan(now, Arc::clone(plan));
        coordinator.apply_upstreams(now, records);
    }

    fn carry_delta(
        &mut self,
        now: Moment,
        scope: &CountScope,
        delta: CountDelta,
        schedulers: &SchedulerSet,
        carried: &mut CarriedCounts,
    ) {
        let to = delta.to.clone().or_else(|| self.assigned.get(scope).cloned());
        match to {
            Some(to) if to == self.host => {
                let host = self.host.clone();
                self.take_delta(now, &host, &delta, schedulers);
            }
            Some(to) => {
                carried.sends.extend(encode(&CountFrame::Delta(delta)).map(|body| (to, body)));
            }
            None => {}
        }
    }
}

/// Bytes a second that counts may cost a host.
///
/// Gossip takes more of a host's bytes the more hosts there are (docs/CAPACITY.md). Counts that did
/// not make room for it would take a large installation over its bound; with fewer bytes rounds are
/// rarer, and entries compare fewer upstreams on older counts.
fn count_bytes(hosts: usize) -> u32 {
    const BYTES_A_HOST: u32 = 28;
    const LEAST: u32 = 3_000;
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let room = (COUNT_BYTES_PER_SECOND + 1_000).saturating_sub(hosts.saturating_mul(BYTES_A_HOST));
    room.clamp(LEAST, COUNT_BYTES_PER_SECOND)
}

fn zones_of(records: &[UpstreamRecord]) -> Vec<ZoneName> {
    let mut zones: Vec<ZoneName> =
        records.iter().map(|record| record.announcement.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

fn encode(frame: &CountFrame) -> Option<Bytes> {
    postcard::to_stdvec(frame).ok().map(Bytes::from)
}
