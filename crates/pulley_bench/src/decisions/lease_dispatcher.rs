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
    leased: Vec<u32>,
}

impl LeaseDispatcher {
    fn host(world: &SimWorld, pool: usize) -> usize {
        pool % world.deployment.entries
    }

    fn grant(&mut self, world: &mut SimWorld, pool: usize) {
        let host = Self::host(world, pool);
        while let Some((priority, call)) = self.waiting[pool].first().copied() {
            if world.calls[call].deadline <= world.now {
                self.waiting[pool].remove(&(priority, call));
                world.refuse(call);
                continue;
            }
            let open = world.open(pool, world.deployment.zone_of(host)).into_iter();
            let free =
                open.filter(|upstream| self.leased[*upstream] < world.upstreams[*upstream].slots);
            let Some(upstream) = free.min_by_key(|upstream| self.leased[*upstream]) else { return };
            self.waiting[pool].remove(&(priority, call));
            self.leased[upstream] += 1;
            let to = world.calls[call].entry;
            world.tell(host, to, MessageBody::Grant { call, upstream });
        }
    }
}

impl Dispatcher for LeaseDispatcher {
    fn begin(&mut self, world: &mut SimWorld) -> Result<()> {
        self.waiting = vec![BTreeSet::new(); world.deployment.pools.len()];
        self.leased = vec![0; world.upstreams.len()];
        Ok(())
    }

    fn arrive(&mut self, world: &mut SimWorld, call: usize) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let host = Self::host(world, pool);
        world.tell(entry, host, MessageBody::Ask { call });
    }

    fn ended(&mut self, world: &mut SimWorld, call: usize, _outcome: AttemptOutcome) {
        let (entry, pool) = (world.calls[call].entry, world.calls[call].pool);
        let upstream = world.calls[call].upstream;
        let host = Self::host(world, pool);
        world.tell(entry, host, MessageBody::Return { upstream });
    }

    fn deliver(&mut self, world: &mut SimWorld, _hosts: (usize, usize), body: MessageBody) {
        match body {
            MessageBody::Ask { call } => {
                let (pool, kind) = (world.calls[call].pool, world.calls[call].kind);
                let priority = world.deployment.pools[pool].kinds[kind].priority;
                self.waiting[pool].insert((priority, call));
                self.grant(world, pool);
            }
            MessageBody::Grant { call, upstream } => world.send(call, upstream),
            MessageBody::Return { upstream } => {
                self.leased[upstream] -= 1;
                let pool = world.upstreams[upstream].pool;
                self.grant(world, pool);
            }
            MessageBody::Delta(_) | MessageBody::Sum(_) => {}
        }
    }
}
