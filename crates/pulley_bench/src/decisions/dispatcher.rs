//! The interface of a dispatch policy, and the simple policies used as baselines.

use std::collections::BTreeSet;

use eyre::Result;
use pulley_core::request::AttemptOutcome;
use rand::Rng;

use super::sim_world::{MessageBody, PolicyTimer, SimWorld};

/// A dispatch policy: decides which upstream a call is sent to, and when.
pub(crate) trait Dispatcher {
    /// Sets up the policy's state.
    fn start(&mut self, world: &mut SimWorld) -> Result<()>;

    /// Handles a new call or a retry.
    fn on_arrival(&mut self, world: &mut SimWorld, call: usize);

    /// Handles the outcome of an attempt that has reached the call's entry.
    fn on_outcome(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome);

    /// Handles a freed slot without any delay. Only a policy with perfect knowledge uses this.
    fn on_slot_freed(&mut self, _world: &mut SimWorld, _call: usize) {}

    /// Handles a timer of this policy.
    fn on_timer(&mut self, _world: &mut SimWorld, _timer: PolicyTimer) {}

    /// Handles a message from one host to another, given as `(from, to)`.
    fn on_message(&mut self, _world: &mut SimWorld, _hosts: (usize, usize), _body: MessageBody) {}

    /// Handles a change of the known hosts or upstreams.
    fn on_change(&mut self, _world: &mut SimWorld) -> Result<()> {
        Ok(())
    }

    /// Returns the host whose loss affects the first pool most.
    fn critical_host(&self) -> usize {
        0
    }
}

/// Picks a random upstream regardless of its load.
#[derive(Debug, Default)]
pub(crate) struct RandomDispatcher;

impl Dispatcher for RandomDispatcher {
    fn start(&mut self, _world: &mut SimWorld) -> Result<()> {
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let zone = world.deployment.zone_of(world.calls[call].entry);
        let available = world.available_upstreams(world.calls[call].pool, zone);
        let chosen = available[world.rng.random_range(0..available.len())];
        world.send_call(call, chosen);
    }

    fn on_outcome(&mut self, _world: &mut SimWorld, _call: usize, _outcome: AttemptOutcome) {}
}

/// Picks two random upstreams and takes the one with fewer calls in flight from this entry.
#[derive(Debug, Default)]
pub(crate) struct OwnP2cDispatcher {
    in_flight: Vec<Vec<u32>>,
}

impl Dispatcher for OwnP2cDispatcher {
    fn start(&mut self, world: &mut SimWorld) -> Result<()> {
        self.in_flight = vec![vec![0; world.upstreams.len()]; world.deployment.entries];
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let entry = world.calls[call].entry;
        let available =
            world.available_upstreams(world.calls[call].pool, world.deployment.zone_of(entry));
        let first = available[world.rng.random_range(0..available.len())];
        let second = available[world.rng.random_range(0..available.len())];
        let in_flight = &mut self.in_flight[entry];
        let chosen = if in_flight[second] < in_flight[first] { second } else { first };
        in_flight[chosen] += 1;
        world.send_call(call, chosen);
    }

    fn on_outcome(&mut self, world: &mut SimWorld, call: usize, _outcome: AttemptOutcome) {
        let call = &world.calls[call];
        self.in_flight[call.entry][call.upstream] -= 1;
    }
}

/// One queue with perfect knowledge and no delay: an upper bound for every policy.
#[derive(Debug, Default)]
pub(crate) struct CentralDispatcher {
    waiting: Vec<BTreeSet<(u8, usize)>>,
}

impl CentralDispatcher {
    fn dispatch_waiting(&mut self, world: &mut SimWorld, pool: usize) {
        while let Some((priority, call)) = self.waiting[pool].first().copied() {
            if world.calls[call].deadline <= world.now + world.calls[call].nominal_time {
                self.waiting[pool].remove(&(priority, call));
                world.refuse(call);
                continue;
            }
            let zone = world.deployment.zone_of(world.calls[call].entry);
            let available = world.available_upstreams(pool, zone).into_iter();
            let free = available.filter(|u| world.upstreams[*u].busy < world.upstreams[*u].slots);
            let chosen = free.min_by_key(|upstream| {
                let model = &world.upstreams[*upstream];
                let time = model.service_time(world.now, world.calls[call].nominal_time);
                (!model.succeeds(), time, world.deployment.one_way_delay(zone, model.zone))
            });
            let Some(upstream) = chosen else { return };
            self.waiting[pool].remove(&(priority, call));
            world.calls[call].upstream = upstream;
            // The work starts at once, but the caller's latency still includes the delay to the
            // upstream.
            world.calls[call].extra_delay =
                world.deployment.one_way_delay(zone, world.upstreams[upstream].zone);
            world.start_work(call);
        }
    }
}

impl Dispatcher for CentralDispatcher {
    fn start(&mut self, world: &mut SimWorld) -> Result<()> {
        self.waiting = vec![BTreeSet::new(); world.deployment.pools.len()];
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let (pool, kind) = (world.calls[call].pool, world.calls[call].kind);
        let priority = world.deployment.pools[pool].kinds[kind].priority;
        self.waiting[pool].insert((priority, call));
        self.dispatch_waiting(world, pool);
    }

    fn on_outcome(&mut self, _world: &mut SimWorld, _call: usize, _outcome: AttemptOutcome) {}

    fn on_slot_freed(&mut self, world: &mut SimWorld, call: usize) {
        let pool = world.calls[call].pool;
        self.dispatch_waiting(world, pool);
    }
}
