//! The interface of a dispatch policy, and the simple policies used as baselines.

use std::collections::BTreeSet;

use eyre::Result;
use pulley_core::request::AttemptOutcome;
use rand::Rng;

use super::sim_world::{MessageBody, PolicyTimer, SimWorld};

/// A dispatch policy: decides which upstream a call is sent to, and when.
pub(crate) trait Dispatcher {
    /// Sets up the policy's state.
    fn begin(&mut self, world: &mut SimWorld) -> Result<()>;

    /// Handles a new call or a retry.
    fn arrive(&mut self, world: &mut SimWorld, call: usize);

    /// Handles the outcome of an attempt that has reached the call's entry.
    fn ended(&mut self, world: &mut SimWorld, call: usize, outcome: AttemptOutcome);

    /// Handles a freed slot without any delay. Only a policy with perfect knowledge uses this.
    fn freed(&mut self, _world: &mut SimWorld, _call: usize) {}

    /// Handles a timer of this policy.
    fn timer(&mut self, _world: &mut SimWorld, _timer: PolicyTimer) {}

    /// Handles a message from one host to another, given as `(from, to)`.
    fn deliver(&mut self, _world: &mut SimWorld, _hosts: (usize, usize), _body: MessageBody) {}

    /// Handles a change of the known hosts or upstreams.
    fn changed(&mut self, _world: &mut SimWorld) -> Result<()> {
        Ok(())
    }

    /// Returns the host whose loss affects the first pool most.
    fn coordinator(&self) -> usize {
        0
    }
}

/// Picks a random upstream regardless of its load.
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

/// Picks two random upstreams and takes the one with fewer calls in flight from this entry.
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

/// One queue with perfect knowledge and no delay: an upper bound for every policy.
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
            // The work starts at once, but the caller's latency still includes the delay to the
            // upstream.
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
