//! Exchanges load counts between the schedulers of this host and the pools' coordinators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{
    COUNT_BYTES_PER_SECOND, CoordinatorOutput, CountReport, CountSum, FastMap, PoolCoordinator,
    ProbeOutcome, UpstreamRecord, coordinator_for,
};
use pulley_core::{HostId, IndexedPlan, Moment, PoolName, UpstreamId, ZoneName};
use serde::{Deserialize, Serialize};

use super::RunningView;
use crate::request::SchedulerSet;

/// The shortest interval between two ticks, so that a pool with many changes cannot keep the
/// control thread in a busy loop.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// The upstreams of one pool in one zone.
type CountScope = (PoolName, ZoneName);

/// A message between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum CountFrame {
    Report(CountReport),
    Sum(CountSum),
}

/// The result of a probe that a coordinator requested.
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

/// The messages and probes that a tick produces.
#[derive(Debug, Default)]
pub(crate) struct OutgoingCounts {
    /// Encoded messages for other hosts.
    pub(crate) sends: Vec<(HostId, Bytes)>,
    /// Probes that coordinators request.
    pub(crate) probes: Vec<(PoolName, ZoneName, CoordinatorOutput)>,
}

/// The coordinators that run on this host, and the hosts that run the others.
pub(crate) struct CountExchange {
    host: HostId,
    /// Whether counts are exchanged with other hosts. If not, schedulers use their own counts
    /// alone.
    shares: bool,
    coordinators: FastMap<CountScope, PoolCoordinator>,
    assigned: FastMap<CountScope, HostId>,
    earliest_tick: Moment,
    /// Whether a sum of load counts waits to be relayed to further hosts.
    has_relays: bool,
}

impl CountExchange {
    pub(crate) fn new(host: HostId, shares: bool) -> Self {
        Self {
            host,
            shares,
            coordinators: FastMap::default(),
            assigned: FastMap::default(),
            earliest_tick: Moment::ZERO,
            has_relays: false,
        }
    }

    /// Returns whether counts are exchanged with other hosts.
    pub(crate) const fn shares(&self) -> bool {
        self.shares
    }

    /// Applies a view and the live entries, and reassigns the coordinators.
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
        // Every entry takes part in every pool's rounds, so the byte limit is divided by the number
        // of pools.
        let pools = u32::try_from(view.plan.pools().len()).unwrap_or(u32::MAX).max(1);
        let bytes = count_byte_rate(live.len());
        for coordinator in self.coordinators.values_mut() {
            coordinator.set_bytes_per_second(bytes / pools);
        }
        self.assigned = assigned;
    }

    /// Returns the messages and probes that are due.
    pub(crate) fn tick(&mut self, now: Moment, schedulers: &SchedulerSet) -> OutgoingCounts {
        let mut outgoing = OutgoingCounts::default();
        if now < self.earliest_tick || !self.shares {
            return outgoing;
        }
        self.earliest_tick = now + MIN_TICK_INTERVAL;
        for (pool, zone, report) in schedulers.take_reports(now) {
            self.send_report(now, &(pool, zone), report, schedulers, &mut outgoing);
        }
        let mut sums: Vec<CountSum> = Vec::new();
        for ((pool, zone), coordinator) in &mut self.coordinators {
            for output in coordinator.tick(now) {
                match output {
                    CoordinatorOutput::Publish { to, sum } if to == self.host => {
                        sums.push(*sum);
                    }
                    CoordinatorOutput::Publish { to, sum } => {
                        outgoing
                            .sends
                            .extend(encode(&CountFrame::Sum(*sum)).map(|body| (to, body)));
                    }
                    probe @ CoordinatorOutput::Probe { .. } => {
                        outgoing.probes.push((pool.clone(), zone.clone(), probe));
                    }
                }
            }
        }
        for sum in &sums {
            schedulers.receive_sum(now, sum);
        }
        self.has_relays = false;
        for (to, sum) in schedulers.take_relays() {
            outgoing.sends.extend(encode(&CountFrame::Sum(sum)).map(|body| (to, body)));
        }
        outgoing
    }

    /// Handles a count message of another host. A message that cannot be decoded is dropped.
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
            CountFrame::Report(report) => {
                self.take_report(now, from, &report, schedulers);
            }
            // A host may publish or relay a sum only under its own name, because reports are sent
            // back to that name.
            CountFrame::Sum(sum) if sum.sender == *from => {
                schedulers.receive_sum(now, &sum);
                self.has_relays |= !sum.route.is_empty();
            }
            CountFrame::Sum(_) => {}
        }
    }

    /// Passes a report to the pool's coordinators on this host, and to its schedulers, which add it
    /// to this host's own report.
    fn take_report(
        &mut self,
        now: Moment,
        from: &HostId,
        report: &CountReport,
        schedulers: &SchedulerSet,
    ) {
        for ((pool, _), coordinator) in &mut self.coordinators {
            if *pool == report.pool {
                coordinator.receive(now, from, report);
            }
        }
        schedulers.receive_report(from, report);
    }

    /// Passes a probe's outcome to the coordinator that requested it, if it still runs on this
    /// host.
    pub(crate) fn handle_probe(&mut self, now: Moment, probe: &ProbeReport) {
        let scope = (probe.pool.clone(), probe.zone.clone());
        if let Some(coordinator) = self.coordinators.get_mut(&scope) {
            coordinator.record_probe(now, &probe.upstream, probe.outcome);
        }
    }

    pub(crate) fn next_wakeup(&self, schedulers: &SchedulerSet) -> Option<Moment> {
        if !self.shares {
            return None;
        }
        let own = self.coordinators.values().map(PoolCoordinator::next_wakeup).min();
        let reports = schedulers.next_report_at();
        let has_relays = self.has_relays.then_some(self.earliest_tick);
        own.into_iter()
            .chain(reports)
            .chain(has_relays)
            .min()
            .map(|due| due.max(self.earliest_tick))
    }

    /// Returns the pools and zones that this host coordinates.
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

    fn send_report(
        &mut self,
        now: Moment,
        scope: &CountScope,
        report: CountReport,
        schedulers: &SchedulerSet,
        outgoing: &mut OutgoingCounts,
    ) {
        let to = report.to.clone().or_else(|| self.assigned.get(scope).cloned());
        match to {
            Some(to) if to == self.host => {
                let host = self.host.clone();
                self.take_report(now, &host, &report, schedulers);
            }
            Some(to) => {
                outgoing.sends.extend(encode(&CountFrame::Report(report)).map(|body| (to, body)));
            }
            None => {}
        }
    }
}

/// Returns the limit of a host's traffic for exchanging counts, in bytes per second.
///
/// The cost of gossip per host grows with the number of hosts (docs/CAPACITY.md). If counts did not
/// leave room for it, a large installation would exceed its traffic limit. With fewer bytes, rounds
/// are less frequent, and entries compare fewer upstreams by older counts.
fn count_byte_rate(hosts: usize) -> u32 {
    const GOSSIP_BYTES_PER_HOST: u32 = 28;
    const MINIMUM: u32 = 3_000;
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let room = (COUNT_BYTES_PER_SECOND + 1_000)
        .saturating_sub(hosts.saturating_mul(GOSSIP_BYTES_PER_HOST));
    room.clamp(MINIMUM, COUNT_BYTES_PER_SECOND)
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
