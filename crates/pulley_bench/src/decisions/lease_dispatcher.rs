//! A policy in which one coordinator for each pool leases a slot for every call. Request, grant and
//! return are messages that may cross zones.

use std::collections::BTreeSet;

use eyre::Result;
use pulley_core::request::AttemptOutcome;

use super::dispatcher::Dispatcher;
use super::sim_world::{MessageBody, SimWorld};

/// Requests a slot from the pool's coordinator before it sends a call.
#[derive(Debug, Default)]
pub(crate) struct LeaseDispatcher {
    waiting: Vec<BTreeSet<(u8, usize)>>,
    leased_slots: Vec<u32>,
}

impl LeaseDispatcher {
    fn coordinator_host(world: &SimWorld, pool: usize) -> usize {
        pool % world.deployment.entries
    }

    fn grant_waiting(&mut self, world: &mut SimWorld, pool: usize) {
        let host = Self::coordinator_host(world, pool);
        while let Some((priority, call)) = self.waiting[pool].first().copied() {
            if world.calls[call].deadline <= world.now {
                self.waiting[pool].remove(&(priority, call));
                world.refuse(call);
                continue;
            }
            let available =
                world.available_upstreams(pool, world.deployment.zone_of(host)).into_iter();
            let free = available
                .filter(|upstream| self.leased_slots[*upstream] < world.upstreams[*upstream].slots);
            let Some(upstream) = free.min_by_key(|upstream| self.leased_slots[*upstream]) else {
                return;
            };
            self.waiting[pool].remove(&(priority, call));
            self.leased_slots[upstream] += 1;
            let to = world.calls[call].entry;
            world.send_message(host, to, MessageBody::LeaseGrant { call, upstream });
        }
    }
}

impl Dispatcher for LeaseDispatcher {
    fn start(&mut self, world: &mut SimWorld) -> Result<()> {
        self.waiting = vec![BTreeSet::new(); world.deployment.pools.len()];
        self.leased_slots = vec![0; world.upstreams.len()];
        Ok(())
    }

    fn on_arrival(&mut self, world: &mut SimWorld, call: usize) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let host = Self::coordinator_host(world, pool);
        world.send_message(entry, host, MessageBody::LeaseRequest { call });
    }

    fn on_outcome(&mut self, world: &mut SimWorld, call: usize, _outcome: AttemptOutcome) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let upstream = world.calls[call].upstream;
        let host = Self::coordinator_host(world, pool);
        world.send_message(entry, host, MessageBody::LeaseReturn { upstream });
    }

    fn on_message(&mut self, world: &mut SimWorld, _hosts: (usize, usize), body: MessageBody) {
        match body {
            MessageBody::LeaseRequest { call } => {
                let (pool, kind) = (world.calls[call].pool, world.calls[call].kind);
                let priority = world.deployment.pools[pool].kinds[kind].priority;
                self.waiting[pool].insert((priority, call));
                self.grant_waiting(world, pool);
            }
            MessageBody::LeaseGrant { call, upstream } => world.send_call(call, upstream),
            MessageBody::LeaseReturn { upstream } => {
                self.leased_slots[upstream] -= 1;
                let pool = world.upstreams[upstream].pool;
                self.grant_waiting(world, pool);
            }
            MessageBody::Delta(_) | MessageBody::Sum(_) => {}
        }
    }
}
