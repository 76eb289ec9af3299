//! The policy of the load balancer itself: each entry schedules its calls without asking others,
//! based on counts that coordinators share.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use pulley_core::process::{
    COUNT_BYTES_PER_SECOND, CoordinatorOutput, PoolCoordinator, ProbeOutcome, coordinator_for,
};
use pulley_core::request::{AttemptOutcome, LoadReport, PoolScheduler, SchedulerEffect};
use pulley_core::{HostId, IndexedPlan, Moment, ZoneName};
use rand::Rng;

use super::dispatcher::Dispatcher;
use super::forward_dispatcher::{call_index, request_number, request_ticket};
use super::scenario::LoadScenario;
use super::sim_world::{MessageBody, PolicyTimer, SimEvent, SimWorld};

/// Round-trip time of a probe, as specified for the deployment `kolkhi`.
const PROBE_TIME: Duration = Duration::from_millis(6);

/// Minimum delay of a timer, because a timer service rounds wakeups up to whole milliseconds.
const TIMER_STEP: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct PlacedCoordinator {
    host: usize,
    pool: usize,
    zone: usize,
    coordinator: PoolCoordinator,
    retired: bool,
}

/// Runs a real scheduler for each pool on every entry, and real coordinators on the chosen hosts.
#[derive(Debug, Default)]
pub(crate) struct SharedDispatcher {
    plan: Arc<IndexedPlan>,
    hosts: Vec<HostId>,
    zones: Vec<ZoneName>,
    /// Indexed by entry, then by pool.
    schedulers: Vec<Vec<PoolScheduler>>,
    planned_ticks: Vec<Vec<Option<Moment>>>,
    planned_reports: Vec<Vec<Option<Moment>>>,
    coordinators: Vec<PlacedCoordinator>,
    initial_coordinator: usize,
}

impl SharedDispatcher {
    fn apply_effects(
        &mut self,
        world: &mut SimWorld,
        at: (usize, usize),
        effects: Vec<SchedulerEffect>,
    ) {
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, address, .. } => {
                    let upstream = world.upstream_by_port(address.port());
                    world.send_call(call_index(number), upstream);
                }
                SchedulerEffect::Refuse { number, .. } => world.refuse(call_index(number)),
            }
        }
        self.schedule_tick(world, at);
    }

    fn schedule_tick(&mut self, world: &mut SimWorld, (entry, pool): (usize, usize)) {
        let Some(at) = self.schedulers[entry][pool].next_wakeup() else { return };
        let at = at.max(world.now + TIMER_STEP);
        let planned = &mut self.planned_ticks[entry][pool];
        if planned.is_none_or(|planned| at < planned) {
            *planned = Some(at);
            world.events.schedule(at, SimEvent::Timer(PolicyTimer::SchedulerTick { entry, pool }));
        }
    }

    fn tick(&mut self, world: &mut SimWorld, entry: usize, pool: usize) {
        if self.planned_ticks[entry][pool].is_none_or(|planned| planned > world.now) {
            return;
        }
        self.planned_ticks[entry][pool] = None;
        let effects = self.schedulers[entry][pool].tick(world.now);
        self.apply_effects(world, (entry, pool), effects);
    }

    fn send_deltas(&mut self, world: &mut SimWorld, entry: usize, pool: usize) {
        if !world.alive[entry] || self.planned_reports[entry][pool].is_none_or(|at| at > world.now)
        {
            return;
        }
        self.planned_reports[entry][pool] = None;
        for (zone, report) in self.schedulers[entry][pool].take_reports(world.now) {
            let host = match &report.to {
                Some(host) => self.host_index(host),
                None => {
                    let zone = self.zones.iter().position(|known| *known == zone).unwrap_or(0);
                    self.chosen_coordinator(world, entry, pool, zone)
                }
            };
            if let Some(host) = host {
                world.send_message(entry, host, MessageBody::Delta(Box::new(report)));
            }
        }
        self.schedule_reports(world, (entry, pool));
    }

    fn schedule_reports(&mut self, world: &mut SimWorld, (entry, pool): (usize, usize)) {
        let Some(at) = self.schedulers[entry][pool].next_report_at() else { return };
        let at = at.max(world.now + TIMER_STEP);
        let planned = &mut self.planned_reports[entry][pool];
        if world.now < world.measure_end && planned.is_none_or(|planned| at < planned) {
            *planned = Some(at);
            world.events.schedule(at, SimEvent::Timer(PolicyTimer::SendDeltas { entry, pool }));
        }
    }

    fn host_index(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|known| known == host)
    }

    /// Returns the host that coordinates a pool in a zone, as `viewer` sees it.
    fn chosen_coordinator(
        &self,
        world: &SimWorld,
        viewer: usize,
        pool: usize,
        zone: usize,
    ) -> Option<usize> {
        let seen = (0..world.deployment.entries).filter(|host| world.sees_alive(viewer, *host));
        let pool = world.deployment.pool_name(pool).ok()?;
        let hosts = seen.map(|host| &self.hosts[host]);
        let chosen = coordinator_for(&pool, &self.zones[zone], hosts)?;
        self.host_index(chosen)
    }

    /// Starts and retires coordinators. Each live host decides from its own view of the others.
    fn place_coordinators(&mut self, world: &mut SimWorld) -> Result<()> {
        for host in 0..world.deployment.entries {
            for pool in 0..world.deployment.pools.len() {
                for zone in 0..world.deployment.zones {
                    let chosen = world.alive[host]
                        && self.chosen_coordinator(world, host, pool, zone) == Some(host);
                    let is_held = |c: &PlacedCoordinator| {
                        (c.host, c.pool, c.zone, c.retired) == (host, pool, zone, false)
                    };
                    match (chosen, self.coordinators.iter().position(is_held)) {
                        (true, None) => self.add_coordinator(world, host, pool, zone)?,
                        (false, Some(index)) => self.coordinators[index].retired = true,
                        _ => {}
                    }
                }
            }
        }
        self.split_byte_rate(world);
        Ok(())
    }

    fn add_coordinator(
        &mut self,
        world: &mut SimWorld,
        host: usize,
        pool: usize,
        zone: usize,
    ) -> Result<()> {
        let name = world.deployment.pool_name(pool)?;
        let (zone_name, host_name) = (self.zones[zone].clone(), self.hosts[host].clone());
        let mut coordinator = PoolCoordinator::new(name, zone_name, host_name, world.now);
        coordinator.apply_plan(world.now, Arc::clone(&self.plan));
        let records = world.upstream_records(pool, world.deployment.zone_of(host))?;
        coordinator.apply_upstreams(world.now, &records);
        let index = self.coordinators.len();
        self.coordinators.push(PlacedCoordinator { host, pool, zone, coordinator, retired: false });
        let timer = PolicyTimer::CoordinatorTick { index };
        world.events.schedule(world.now + TIMER_STEP, SimEvent::Timer(timer));
        Ok(())
    }

    /// Splits a host's limit on control bytes per second among all pools, including those that are
    /// not simulated, in proportion to their rate of calls.
    fn split_byte_rate(&mut self, world: &SimWorld) {
        let pools = &world.deployment.pools;
        let simulated_rate: f64 =
            pools.iter().map(|pool| pool.total_slots() / pool.mean_service_s()).sum();
        #[expect(clippy::cast_precision_loss, reason = "pools are few")]
        let total_rate = simulated_rate * world.deployment.total_pools as f64 / pools.len() as f64;
        for placed in &mut self.coordinators {
            let pool = &pools[placed.pool];
            let fraction = pool.total_slots() / pool.mean_service_s() / total_rate;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a fraction of a small number"
            )]
            let bytes = (f64::from(COUNT_BYTES_PER_SECOND) * fraction) as u32;
            placed.coordinator.set_bytes_per_second(bytes);
        }
    }

    fn tick_coordinator(&mut self, world: &mut SimWorld, index: usize) {
        let placed = &mut self.coordinators[index];
        if placed.retired || !world.alive[placed.host] || world.now >= world.measure_end {
            return;
        }
        let outputs = placed.coordinator.tick(world.now);
        let (host, pool) = (placed.host, placed.pool);
        let at = placed.coordinator.next_wakeup().max(world.now + TIMER_STEP);
        world.events.schedule(at, SimEvent::Timer(PolicyTimer::CoordinatorTick { index }));
        for output in outputs {
            match output {
                CoordinatorOutput::Publish { to, sum } => {
                    let to = self.hosts.iter().position(|known| *known == to).unwrap_or(0);
                    world.send_message(host, to, MessageBody::Sum(sum));
                }
                CoordinatorOutput::Probe { address, .. } => {
                    let upstream = world.upstream_by_port(address.port());
                    if world.now >= world.measure_start {
                        world.figures.pools[pool].probes.push(world.now);
                    }
                    let timer = PolicyTimer::Probed { index, upstream };
                    world.events.schedule(world.now + PROBE_TIME, SimEvent::Timer(timer));
                }
            }
        }
    }

    fn finish_probe(&mut self, world: &SimWorld, index: usize, upstream: usize) {
        let model = &world.upstreams[upstream];
        let Ok(record) = world.deployment.upstream_record(model.pool, model.index) else { return };
        let outcome = ProbeOutcome::Answered { latency: PROBE_TIME, report: None };
        let coordinator = &mut self.coordinators[index].coordinator;
        coordinator.record_probe(world.now, &record.announcement.id, outcome);
    }
}

impl Dispatcher for SharedDispatcher {
    fn start(&mut self, world: &mut SimWorld) -> Result<()> {
        let deployment = world.deployment.clone();
        self.plan = Arc::new(deployment.plan()?.into());
        let hosts = (0..deployment.entries).map(|entry| deployment.host_name(entry));
        self.hosts = hosts.collect::<Result<_>>()?;
        let zones = (0..deployment.zones).map(|zone| deployment.zone_name(zone));
        self.zones = zones.collect::<Result<_>>()?;
        for entry in 0..deployment.entries {
            let zone = deployment.zone_of(entry);
            let mut schedulers = Vec::new();
            for pool in 0..deployment.pools.len() {
                let mut scheduler = PoolScheduler::new(
                    self.hosts[entry].clone(),
                    self.zones[zone].clone(),
                    deployment.pool_name(pool)?,
                    world.rng.random(),
                );
                scheduler.apply_plan(world.now, Arc::clone(&self.plan));
                scheduler.apply_upstreams(world.now, &world.upstream_records(pool, zone)?);
                schedulers.push(scheduler);
                let first = Duration::from_micros(world.rng.random_range(0..50_000));
                let timer = PolicyTimer::SendDeltas { entry, pool };
                world.events.schedule(world.now + first, SimEvent::Timer(timer));
            }
            self.schedulers.push(schedulers);
            self.planned_ticks.push(vec![None; deployment.pools.len()]);
            self.planned_reports.push(vec![Some(Moment::ZERO); deployment.pools.len()]);
        }
        self.place_coordinators(world)?;
        self.initial_coordinator = self.chosen_coordinator(world, 0, 0, 0).unwrap_or(0);
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let ticket = request_ticket(world, call);
        let effects = self.schedulers[entry][pool].arrive(world.now, &ticket);
        self.apply_effects(world, (entry, pool), effects);
    }

    fn on_outcome(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        // The first upstream reports in each answer that it is idle, however busy it is.
        let misleads =
            world.scenario == LoadScenario::MisleadingReport && world.calls[call].upstream == 0;
        let report = misleads.then_some(LoadReport { in_flight: Some(0), ..LoadReport::default() });
        let scheduler = &mut self.schedulers[entry][pool];
        let effects = scheduler.finish(world.now, request_number(call), outcome, report);
        self.apply_effects(world, (entry, pool), effects);
    }

    fn on_timer(&mut self, world: &mut SimWorld, timer: PolicyTimer) {
        match timer {
            PolicyTimer::SchedulerTick { entry, pool } => self.tick(world, entry, pool),
            PolicyTimer::SendDeltas { entry, pool } => self.send_deltas(world, entry, pool),
            PolicyTimer::CoordinatorTick { index } => self.tick_coordinator(world, index),
            PolicyTimer::Probed { index, upstream } => self.finish_probe(world, index, upstream),
            PolicyTimer::DeliverForwarded { .. } => {}
        }
    }

    fn on_message(&mut self, world: &mut SimWorld, (from, to): (usize, usize), body: MessageBody) {
        if !world.alive[to] {
            return;
        }
        match body {
            MessageBody::Delta(report) => {
                let from = self.hosts[from].clone();
                let active = self.coordinators.iter_mut().filter(|c| c.host == to && !c.retired);
                for placed in active {
                    placed.coordinator.receive(world.now, &from, &report);
                }
                for scheduler in &mut self.schedulers[to] {
                    scheduler.receive_report(&from, &report);
                }
            }
            MessageBody::Sum(sum) => {
                for pool in 0..self.schedulers[to].len() {
                    let effects = self.schedulers[to][pool].receive_sum(world.now, &sum);
                    self.apply_effects(world, (to, pool), effects);
                    for (next_hop, relay) in self.schedulers[to][pool].take_relays() {
                        if let Some(next_hop) = self.host_index(&next_hop) {
                            world.send_message(to, next_hop, MessageBody::Sum(Box::new(relay)));
                        }
                    }
                    self.schedule_reports(world, (to, pool));
                }
            }
            MessageBody::LeaseRequest { .. }
            | MessageBody::LeaseGrant { .. }
            | MessageBody::LeaseReturn { .. } => {}
        }
    }

    fn on_change(&mut self, world: &mut SimWorld) -> Result<()> {
        self.place_coordinators(world)?;
        for entry in 0..world.deployment.entries {
            let zone = world.deployment.zone_of(entry);
            for pool in 0..world.deployment.pools.len() {
                let records = world.upstream_records(pool, zone)?;
                let effects = self.schedulers[entry][pool].apply_upstreams(world.now, &records);
                self.apply_effects(world, (entry, pool), effects);
            }
        }
        for placed in &mut self.coordinators {
            let records =
                world.upstream_records(placed.pool, world.deployment.zone_of(placed.host))?;
            placed.coordinator.apply_upstreams(world.now, &records);
        }
        Ok(())
    }

    fn critical_host(&self) -> usize {
        self.initial_coordinator
    }
}
