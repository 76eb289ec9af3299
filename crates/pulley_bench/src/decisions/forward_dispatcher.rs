//! A policy that forwards each call to one of the pool's owners, which schedules it alone.

use std::sync::Arc;

use eyre::Result;
use pulley_core::request::{
    AttemptOutcome, PoolScheduler, RequestNumber, RequestTicket, SchedulerEffect,
};
use rand::Rng;

use super::dispatcher::Dispatcher;
use super::sim_world::{PolicyTimer, SimEvent, SimWorld};

/// Number of owners of each pool. The upstreams are divided among them.
const OWNERS: usize = 2;

/// Gives each pool two owners. Each owner is a scheduler that shares no counts.
#[derive(Debug, Default)]
pub(crate) struct ForwardDispatcher {
    /// Indexed by pool, then by owner.
    owners: Vec<Vec<PoolScheduler>>,
}

impl ForwardDispatcher {
    fn owner_host(world: &SimWorld, pool: usize, owner: usize) -> usize {
        (pool * OWNERS + owner) % world.deployment.entries
    }

    fn apply_effects(world: &mut SimWorld, effects: Vec<SchedulerEffect>) {
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, address, .. } => {
                    let upstream = world.upstream_by_port(address.port());
                    world.send_call(call_index(number), upstream);
                }
                SchedulerEffect::Refuse { number, .. } => world.refuse(call_index(number)),
            }
        }
    }

    fn schedule_tick(&self, world: &mut SimWorld, pool: usize, owner: usize) {
        if let Some(at) = self.owners[pool][owner].next_wakeup() {
            let at = at.max(world.now + std::time::Duration::from_millis(1));
            world
                .events
                .schedule(at, SimEvent::Timer(PolicyTimer::SchedulerTick { entry: owner, pool }));
        }
    }
}

impl Dispatcher for ForwardDispatcher {
    fn start(&mut self, world: &mut SimWorld) -> Result<()> {
        let plan = Arc::new(world.deployment.plan()?.into());
        for pool in 0..world.deployment.pools.len() {
            let mut owners = Vec::new();
            for owner in 0..OWNERS {
                let host = Self::owner_host(world, pool, owner);
                let zone = world.deployment.zone_of(host);
                let mut scheduler = PoolScheduler::new(
                    world.deployment.host_name(host)?,
                    world.deployment.zone_name(zone)?,
                    world.deployment.pool_name(pool)?,
                    world.rng.random(),
                );
                scheduler.apply_plan(world.now, Arc::clone(&plan));
                let records = world.upstream_records(pool, zone)?;
                let own: Vec<_> = records.into_iter().skip(owner).step_by(OWNERS).collect();
                scheduler.apply_upstreams(world.now, &own);
                owners.push(scheduler);
            }
            self.owners.push(owners);
        }
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let pool = world.calls[call].pool;
        let owner = world.rng.random_range(0..OWNERS);
        let host = Self::owner_host(world, pool, owner);
        let entry_zone = world.deployment.zone_of(world.calls[call].entry);
        let delay = world.deployment.one_way_delay(entry_zone, world.deployment.zone_of(host));
        if world.calls[call].attempt == 0 {
            world.calls[call].extra_delay = delay;
        }
        world.calls[call].entry = host;
        let timer = PolicyTimer::DeliverForwarded { call, owner };
        world.events.schedule(world.now + delay, SimEvent::Timer(timer));
    }

    fn on_outcome(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome) {
        let pool = world.calls[call].pool;
        let upstream = world.upstreams[world.calls[call].upstream].index;
        let scheduler = &mut self.owners[pool][upstream % OWNERS];
        let effects = scheduler.finish(world.now, request_number(call), outcome, None);
        Self::apply_effects(world, effects);
    }

    fn on_timer(&mut self, world: &mut SimWorld, timer: PolicyTimer) {
        match timer {
            PolicyTimer::DeliverForwarded { call, owner } => {
                let pool = world.calls[call].pool;
                let ticket = request_ticket(world, call);
                let effects = self.owners[pool][owner].arrive(world.now, &ticket);
                let waits = effects.is_empty();
                Self::apply_effects(world, effects);
                if waits {
                    self.schedule_tick(world, pool, owner);
                }
            }
            PolicyTimer::SchedulerTick { entry, pool } => {
                let effects = self.owners[pool][entry].tick(world.now);
                Self::apply_effects(world, effects);
            }
            _ => {}
        }
    }
}

/// Returns the ticket that a scheduler takes for a call.
pub(crate) fn request_ticket(world: &SimWorld, number: usize) -> RequestTicket {
    let call = &world.calls[number];
    RequestTicket {
        number: request_number(number),
        kind: world.deployment.kind_row(call.pool, call.kind),
        deadline: call.deadline,
        target: None,
        attempt: call.attempt,
        avoid: call.avoid.clone(),
    }
}

/// Returns the request number for the call with this index.
pub(crate) fn request_number(call: usize) -> RequestNumber {
    RequestNumber(call as u64)
}

/// Returns the index of the call with this request number.
pub(crate) fn call_index(number: RequestNumber) -> usize {
    usize::try_from(number.0).unwrap_or(usize::MAX)
}
