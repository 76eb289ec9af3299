//! What a policy has to do, and the simple policies that others are compared with.

use std::collections::BTreeSet;

use eyre::Result;
use pulley_core::request::AttemptOutcome;
use rand::Rng;

use super::sim_world::{MessageBody, PolicyTimer, SimWorld};

/// A policy: who starts where and when.
pub(crate) trait Dispatcher {
    /// Sets up its parts.
    fn begin(&mut self, world: &mut SimWorld) -> Result<()>;

    /// Takes a new call, or one to be tried again.
    fn arrive(&mut self, world: &mut SimWorld, call: usize);

    /// Learns that an answer has reached a call's entry.
    fn ended(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome);

    /// Learns at once that a slot is free; only a policy with perfect knowledge uses it.
    fn freed(&mut self, _world: &mut SimWorld, _call: usize) {}

    /// Runs a timer of its own.
    fn timer(&mut self, _world: &mut SimWorld, _timer: PolicyTimer) {}

    /// Takes in a message.
    fn deliver(&mut self, _world: &mut SimWorld, _hosts: (usize, usize), _body: MessageBody) {}

    /// Learns that hosts or upstreams have changed.
    fn changed(&mut self, _world: &mut SimWorld) -> Result<()> {
        Ok(())
    }

    /// The host whose loss hurts the first pool most.
    fn coordinator(&self) -> usize {
        0
    }
}

/// Any upstream, whatever its load.
#[derive(Debug, Default)]
pub(crate) struct RandomDispatcher;

impl Dispatcher for RandomDispatcher {
    fn begin(&mut self, _world: &mut SimWorld) -> Result<()> {
        Ok(())
    }

    fn arrive(&mut self, world: &mut SimWorld, call: usize) {
        let zone = world.deployment.zone_of(world.calls[call].entry);
        let open = world.open(world.calls[call].pool, zone);
        let chosen = open[world.rng.random_range(0..open.len())];
        world.send(call, chosen);
    }

    fn ended(&mut self, _world: &mut SimWorld, _call: usize, _outcome: AttemptOutcome) {}
}

/// The less loaded of two, by the entry's own calls.
#[derive(Debug, Default)]
pub(crate) struct OwnP2cDispatcher {
    own: Vec<Vec<u32>>,
}

impl Dispatcher for OwnP2cDispatcher {
    fn begin(&mut self, world: &mut SimWorld) -> Result<()> {
        self.own = vec![vec![0; world.upstreams.len()]; world.deployment.entries];
        Ok(())
    }

    fn arrive(&mut self, world: &mut SimWorld, call: usize) {
        let entry = world.calls[call].entry;
        let open = world.open(world.calls[call].pool, world.deployment.zone_of(entry));
        let one = open[world.rng.random_range(0..open.len())];
        let two = open[world.rng.random_range(0..open.len())];
        let own = &mut self.own[entry];
        let chosen = if own[two] < own[one] { two } else { one };
        own[chosen] += 1;
        world.send(call, chosen);
    }

    fn ended(&mut self, world: &mut SimWorld, call: usize, _outcome: AttemptOutcome) {
        let call = &world.calls[call];
        self.own[call.entry][call.upstream] -= 1;
    }
}

/// One queue with perfect knowledge and no delay: the limit that no policy beats.
#[derive(Debug, Default)]
pub(crate) struct CentralDispatcher {
    waiting: Vec<BTreeSet<(u8, usize)>>,
}

impl CentralDispatcher {
    fn start_waiting(&mut self, world: &mut SimWorld, pool: usize) {
        while let Some((priority, call)) = self.waiting[pool].first().copied() {
            if world.calls[call].deadline <= world.now + world.calls[call].size {
                self.waiting[pool].remove(&(priority, call));
                world.refuse(call);
                continue;
            }
            let zone = world.deployment.zone_of(world.calls[call].entry);
            let open = world.open(pool, zone).into_iter();
            let free = open.filter(|u| world.upstreams[*u].busy < world.upstreams[*u].slots);
            let chosen = free.min_by_key(|upstream| {
                let model = &world.upstreams[*upstream];
                let time = model.service_time(world.now, world.calls[call].size);
                (!model.answers(), time, world.deployment.delay(zone, model.zone))
            });
            let Some(upstream) = chosen else { return };
            self.waiting[pool].remove(&(priority, call));
            world.calls[call].upstream = upstream;
            // It starts at once, but its way there still counts for the caller.
            world.calls[call].extra_way =
                world.deployment.delay(zone, world.upstreams[upstream].zone);
            world.occupy(call);
        }
    }
}

impl Dispatcher for CentralDispatcher {
    fn begin(&mut self, world: &mut SimWorld) -> Result<()> {
        self.waiting = vec![BTreeSet::new(); world.deployment.pools.len()];
        Ok(())
    }

    fn arrive(&mut self, world: &mut SimWorld, call: usize) {
        let (pool, kind) = (world.calls[call].pool, world.calls[call].kind);
        let priority = world.deployment.pools[pool].kinds[kind].priority;
        self.waiting[pool].insert((priority, call));
        self.start_waiting(world, pool);
    }

    fn ended(&mut self, _world: &mut SimWorld, _call: usize, _outcome: AttemptOutcome) {}

    fn freed(&mut self, world: &mut SimWorld, call: usize) {
        let pool = world.calls[call].pool;
        self.start_waiting(world, pool);
    }
}
