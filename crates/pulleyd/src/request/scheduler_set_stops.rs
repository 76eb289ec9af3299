//! What upstreams have asked of this host, on its way to the schedulers and the control thread.

use std::sync::Arc;

use pulley_core::PoolName;
use pulley_core::process::{UpstreamChange, UpstreamStop};
use pulley_core::request::SchedulerEffects;

use super::SchedulerSet;
use super::scheduler_set::PoolState;
use crate::connection::SendGate;
use crate::process::{ControlHandle, ControlRequest};

impl SchedulerSet {
    /// Returns the gate that keeps what upstreams have asked of this host.
    #[must_use]
    pub const fn gate(&self) -> &Arc<SendGate> {
        &self.gate
    }

    /// Applies what upstreams have newly asked for, and tells the control thread of departures, which
    /// tells all hosts.
    pub fn apply_stops(&self, control: &ControlHandle) {
        self.schedule_stops();
        for start in self.gate.take_untold() {
            control.tell(ControlRequest::ObservedDrain(start));
        }
    }

    /// Does the same where no request waits for it.
    pub(super) fn apply_late_stops(&self) {
        match &self.control {
            Some(control) => self.apply_stops(control),
            None => self.schedule_stops(),
        }
    }

    /// Whether any upstream of a pool takes requests of this host now.
    #[must_use]
    pub fn has_available(&self, pool: &PoolName) -> bool {
        self.with_scheduler(pool, |scheduler, now| scheduler.has_available(now)).unwrap_or(true)
    }

    fn schedule_stops(&self) {
        let now = self.clock.now();
        for (start, stop) in self.gate.take_unapplied() {
            for cell in self.pools.load().values() {
                let effects = cell.state.lock().scheduler.apply_stop(now, &start, stop);
                self.deliver(cell, effects);
            }
        }
    }
}

impl PoolState {
    /// Applies what upstreams that are listed newly had asked for before.
    pub(super) fn recall_stops(
        &mut self,
        now: pulley_core::Moment,
        gate: &SendGate,
        changes: &[UpstreamChange],
    ) -> SchedulerEffects {
        let mut effects = SchedulerEffects::new();
        for change in changes {
            let UpstreamChange::Put(record) = change else { continue };
            let start = record.announcement.start();
            let stop = gate.find(&start);
            if stop != UpstreamStop::default() {
                effects.extend(self.scheduler.apply_stop(now, &start, stop));
            }
        }
        effects
    }
}
