//! The product's own policy: each entry decides at once, on counts shared through coordinators.

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
use super::forward_dispatcher::{call_of, number_of, ticket};
use super::scenario::LoadScenario;
use super::sim_world::{MessageBody, PolicyTimer, SimEvent, SimWorld};

/// How long a probe takes, as the brief has it for Kolkhi.
const PROBE_TIME: Duration = Duration::from_millis(6);

/// Wakeups are rounded up to this, as a timer service would.
const TIMER_STEP: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct PlacedCoordinator {
    host: usize,
    pool: usize,
    zone: usize,
    coordinator: PoolCoordinator,
    retired: bool,
}

/// Real schedulers on every entry, real coordinators on some.
#[derive(Debug, Default)]
pub(crate) struct SharedDispatcher {
    plan: Arc<IndexedPlan>,
    hosts: Vec<HostId>,
    zones: Vec<ZoneName>,
    /// By entry, then by pool.
    schedulers: Vec<Vec<PoolScheduler>>,
    wakeups: Vec<Vec<Option<Moment>>>,
    reports: Vec<Vec<Option<Moment>>>,
    coordinators: Vec<PlacedCoordinator>,
    first_coordinator: usize,
}

impl SharedDispatcher {
    fn carry_out(
        &mut self,
        world: &mut SimWorld,
        at: (usize, usize),
        effects: Vec<SchedulerEffect>,
    ) {
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, address, .. } => {
                    let upstream = world.upstream_at(address.port());
                    world.send(call_of(number), upstream);
                }
                SchedulerEffect::Refuse { number, .. } => world.refuse(call_of(number)),
            }
        }
        self.rearm(world, at);
    }

    fn rearm(&mut self, world: &mut SimWorld, (entry, pool): (usize, usize)) {
        let Some(at) = self.schedulers[entry][pool].next_wakeup() else { return };
        let at = at.max(world.now + TIMER_STEP);
        let planned = &mut self.wakeups[entry][pool];
        if planned.is_none_or(|planned| at < planned) {
            *planned = Some(at);
            world.events.add(at, SimEvent::Timer(PolicyTimer::Tick { entry, pool }));
        }
    }

    fn tick(&mut self, world: &mut SimWorld, entry: usize, pool: usize) {
        if self.wakeups[entry][pool].is_none_or(|planned| planned > world.now) {
            return;
        }
        self.wakeups[entry][pool] = None;
        let effects = self.schedulers[entry][pool].tick(world.now);
        self.carry_out(world, (entry, pool), effects);
    }

    fn send_deltas(&mut self, world: &mut SimWorld, entry: usize, pool: usize) {
        if !world.alive[entry] || self.reports[entry][pool].is_none_or(|at| at > world.now) {
            return;
        }
        self.reports[entry][pool] = None;
        for (zone, delta) in self.schedulers[entry][pool].take_reports(world.now) {
            let host = match &delta.to {
                Some(host) => self.host_at(host),
                None => {
                    let zone = self.zones.iter().position(|known| *known == zone).unwrap_or(0);
                    self.choice(world, entry, pool, zone)
                }
            };
            if let Some(host) = host {
                world.tell(entry, host, MessageBody::Delta(Box::new(delta)));
            }
        }
        self.rearm_report(world, (entry, pool));
    }

    fn rearm_report(&mut self, world: &mut SimWorld, (entry, pool): (usize, usize)) {
        let Some(at) = self.schedulers[entry][pool].next_report_at() else { return };
        let at = at.max(world.now + TIMER_STEP);
        let planned = &mut self.reports[entry][pool];
        if world.now < world.end && planned.is_none_or(|planned| at < planned) {
            *planned = Some(at);
            world.events.add(at, SimEvent::Timer(PolicyTimer::Delta { entry, pool }));
        }
    }

    fn host_at(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|known| known == host)
    }

    /// The coordinator of a pool's zone in the view of a host.
    fn choice(&self, world: &SimWorld, viewer: usize, pool: usize, zone: usize) -> Option<usize> {
        let seen = (0..world.deployment.entries).filter(|host| world.sees(viewer, *host));
        let pool = world.deployment.pool_name(pool).ok()?;
        let hosts = seen.map(|host| &self.hosts[host]);
        let chosen = coordinator_for(&pool, &self.zones[zone], hosts)?;
        self.host_at(chosen)
    }

    /// Starts and retires coordinators, as each live host chooses by its own view.
    fn place_coordinators(&mut self, world: &mut SimWorld) -> Result<()> {
        for host in 0..world.deployment.entries {
            for pool in 0..world.deployment.pools.len() {
                for zone in 0..world.deployment.zones {
                    let chosen =
                        world.alive[host] && self.choice(world, host, pool, zone) == Some(host);
                    let here = |c: &PlacedCoordinator| {
                        (c.host, c.pool, c.zone, c.retired) == (host, pool, zone, false)
                    };
                    match (chosen, self.coordinators.iter().position(here)) {
                        (true, None) => self.add_coordinator(world, host, pool, zone)?,
                        (false, Some(place)) => self.coordinators[place].retired = true,
                        _ => {}
                    }
                }
            }
        }
        self.split_bytes(world);
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
        let records = world.records(pool, world.deployment.zone_of(host))?;
        coordinator.apply_upstreams(world.now, &records);
        let place = self.coordinators.len();
        self.coordinators.push(PlacedCoordinator { host, pool, zone, coordinator, retired: false });
        let timer = PolicyTimer::Coordinate { place };
        world.events.add(world.now + TIMER_STEP, SimEvent::Timer(timer));
        Ok(())
    }

    /// The hosts' bound on bytes is split over the pools, those that are not simulated included;
    /// in proportion to the calls they answer.
    fn split_bytes(&mut self, world: &SimWorld) {
        let pools = &world.deployment.pools;
        let simulated: f64 = pools.iter().map(|pool| pool.slots_in_all() / pool.mean_s()).sum();
        #[expect(clippy::cast_precision_loss, reason = "pools are few")]
        let all = simulated * world.deployment.pools_in_all as f64 / pools.len() as f64;
        for placed in &mut self.coordinators {
            let pool = &pools[placed.pool];
            let part = pool.slots_in_all() / pool.mean_s() / all;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of a small number"
            )]
            let bytes = (f64::from(COUNT_BYTES_PER_SECOND) * part) as u32;
            placed.coordinator.set_bytes_per_second(bytes);
        }
    }

    fn coordinate(&mut self, world: &mut SimWorld, place: usize) {
        let placed = &mut self.coordinators[place];
        if placed.retired || !world.alive[placed.host] || world.now >= world.end {
            return;
        }
        let outputs = placed.coordinator.tick(world.now);
        let (host, pool) = (placed.host, placed.pool);
        let at = placed.coordinator.next_wakeup().max(world.now + TIMER_STEP);
        world.events.add(at, SimEvent::Timer(PolicyTimer::Coordinate { place }));
        for output in outputs {
            match output {
                CoordinatorOutput::Publish { to, sum } => {
                    let to = self.hosts.iter().position(|known| *known == to).unwrap_or(0);
                    world.tell(host, to, MessageBody::Sum(sum));
                }
                CoordinatorOutput::Probe { address, .. } => {
                    let upstream = world.upstream_at(address.port());
                    if world.now >= world.begin {
                        world.figures.pools[pool].probes.push(world.now);
                    }
                    let timer = PolicyTimer::Probed { place, upstream };
                    world.events.add(world.now + PROBE_TIME, SimEvent::Timer(timer));
                }
            }
        }
    }

    fn probed(&mut self, world: &SimWorld, place: usize, upstream: usize) {
        let model = &world.upstreams[upstream];
        let Ok(record) = world.deployment.record(model.pool, model.index) else { return };
        let outcome = ProbeOutcome::Answered { latency: PROBE_TIME, report: None };
        let coordinator = &mut self.coordinators[place].coordinator;
        coordinator.record_probe(world.now, &record.announcement.id, outcome);
    }
}

impl Dispatcher for SharedDispatcher {
    fn begin(&mut self, world: &mut SimWorld) -> Result<()> {
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
                scheduler.apply_upstreams(world.now, &world.records(pool, zone)?);
                schedulers.push(scheduler);
                let first = Duration::from_micros(world.rng.random_range(0..50_000));
                let timer = PolicyTimer::Delta { entry, pool };
                world.events.add(world.now + first, SimEvent::Timer(timer));
            }
            self.schedulers.push(schedulers);
            self.wakeups.push(vec![None; deployment.pools.len()]);
            self.reports.push(vec![Some(Moment::ZERO); deployment.pools.len()]);
        }
        self.place_coordinators(world)?;
        self.first_coordinator = self.choice(world, 0, 0, 0).unwrap_or(0);
        Ok(())
    }

    fn arrive(&mut self, world: &mut SimWorld, call: usize) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let ticket = ticket(world, call);
        let effects = self.schedulers[entry][pool].arrive(world.now, &ticket);
        self.carry_out(world, (entry, pool), effects);
    }

    fn ended(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        // The first upstream says in each answer that it is idle, however busy it is.
        let misleads =
            world.scenario == LoadScenario::MisleadingReport && world.calls[call].upstream == 0;
        let report = misleads.then_some(LoadReport { in_flight: Some(0), ..LoadReport::default() });
        let scheduler = &mut self.schedulers[entry][pool];
        let effects = scheduler.finish(world.now, number_of(call), outcome, report);
        self.carry_out(world, (entry, pool), effects);
    }

    fn timer(&mut self, world: &mut SimWorld, timer: PolicyTimer) {
        match timer {
            PolicyTimer::Tick { entry, pool } => self.tick(world, entry, pool),
            PolicyTimer::Delta { entry, pool } => self.send_deltas(world, entry, pool),
            PolicyTimer::Coordinate { place } => self.coordinate(world, place),
            PolicyTimer::Probed { place, upstream } => self.probed(world, place, upstream),
            PolicyTimer::Forwarded { .. } => {}
        }
    }

    fn deliver(&mut self, world: &mut SimWorld, (from, to): (usize, usize), body: MessageBody) {
        if !world.alive[to] {
            return;
        }
        match body {
            MessageBody::Delta(delta) => {
                let from = self.hosts[from].clone();
                let held = self.coordinators.iter_mut().filter(|c| c.host == to && !c.retired);
                for placed in held {
                    placed.coordinator.receive(world.now, &from, &delta);
                }
                for scheduler in &mut self.schedulers[to] {
                    scheduler.receive_report(&from, &delta);
                }
            }
            MessageBody::Sum(sum) => {
                for pool in 0..self.schedulers[to].len() {
                    let effects = self.schedulers[to][pool].receive_sum(world.now, &sum);
                    self.carry_out(world, (to, pool), effects);
                    for (hop, relay) in self.schedulers[to][pool].take_relays() {
                        if let Some(hop) = self.host_at(&hop) {
                            world.tell(to, hop, MessageBody::Sum(Box::new(relay)));
                        }
                    }
                    self.rearm_report(world, (to, pool));
                }
            }
            MessageBody::Ask { .. } | MessageBody::Grant { .. } | MessageBody::Return { .. } => {}
        }
    }

    fn changed(&mut self, world: &mut SimWorld) -> Result<()> {
        self.place_coordinators(world)?;
        for entry in 0..world.deployment.entries {
            let zone = world.deployment.zone_of(entry);
            for pool in 0..world.deployment.pools.len() {
                let records = world.records(pool, zone)?;
                let effects = self.schedulers[entry][pool].apply_upstreams(world.now, &records);
                self.carry_out(world, (entry, pool), effects);
            }
        }
        for placed in &mut self.coordinators {
            let records = world.records(placed.pool, world.deployment.zone_of(placed.host))?;
            placed.coordinator.apply_upstreams(world.now, &records);
        }
        Ok(())
    }

    fn coordinator(&self) -> usize {
        self.first_coordinator
    }
}
