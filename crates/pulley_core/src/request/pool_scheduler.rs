//! Decides, for one pool at one entry, who starts, who waits and who is refused.

use std::sync::Arc;
use std::time::Duration;

use super::{
    AttemptOutcome, LoadReport, RefusalCause, RequestNumber, RequestTicket, SchedulerEffect,
    SchedulerEffects,
};
use crate::process::{FastMap, HostId, Moment, PoolName, UpstreamId, UpstreamRecord, ZoneName};
use crate::version::PolicyPlan;

/// One pool's scheduler at one entry.
///
/// It holds no socket and no clock: each call says what time it is, and the returned effects say
/// what to do.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: PoolName,
    plan: Arc<PolicyPlan>,
    upstreams: Vec<UpstreamRecord>,
    sent: FastMap<UpstreamId, u32>,
    running: FastMap<RequestNumber, UpstreamId>,
}

impl PoolScheduler {
    /// Makes a scheduler that knows no upstream yet.
    #[must_use]
    pub fn new(_host: HostId, _zone: ZoneName, pool: PoolName, _seed: u64) -> Self {
        Self {
            pool,
            plan: Arc::default(),
            upstreams: Vec::new(),
            sent: FastMap::default(),
            running: FastMap::default(),
        }
    }

    /// Puts a newer plan in force.
    pub fn apply_plan(&mut self, _now: Moment, plan: Arc<PolicyPlan>) -> SchedulerEffects {
        self.plan = plan;
        Vec::new()
    }

    /// Replaces what is known of the pool's upstreams.
    pub fn apply_upstreams(
        &mut self,
        _now: Moment,
        upstreams: &[UpstreamRecord],
    ) -> SchedulerEffects {
        self.upstreams = upstreams.to_vec();
        Vec::new()
    }

    /// Takes a new request; it starts, waits or is refused.
    pub fn arrive(&mut self, _now: Moment, ticket: &RequestTicket) -> SchedulerEffects {
        let free =
            self.upstreams.iter().filter(|upstream| upstream.takes_work).min_by_key(|upstream| {
                self.sent.get(&upstream.announcement.id).copied().unwrap_or(0)
            });
        let Some(upstream) = free else {
            return vec![SchedulerEffect::Refuse {
                number: ticket.number,
                cause: RefusalCause::NoUpstream,
                retry_after: Duration::from_secs(1),
            }];
        };
        let id = upstream.announcement.id.clone();
        *self.sent.entry(id.clone()).or_default() += 1;
        self.running.insert(ticket.number, id.clone());
        let address = upstream.announcement.address;
        vec![SchedulerEffect::Start { number: ticket.number, upstream: id, address }]
    }

    /// Notes the end of an attempt that was started.
    pub fn finish(
        &mut self,
        _now: Moment,
        number: RequestNumber,
        _outcome: AttemptOutcome,
        _report: Option<LoadReport>,
    ) -> SchedulerEffects {
        let Some(id) = self.running.remove(&number) else { return Vec::new() };
        if let Some(count) = self.sent.get_mut(&id) {
            *count = count.saturating_sub(1);
        }
        Vec::new()
    }

    /// Forgets a request that still waits, because its caller has left.
    pub fn cancel(&mut self, _now: Moment, _number: RequestNumber) -> SchedulerEffects {
        Vec::new()
    }

    /// Does what has come due: early refusals, grown-old counts, returned slots.
    pub fn tick(&mut self, _now: Moment) -> SchedulerEffects {
        Vec::new()
    }

    /// When [`Self::tick`] is next of use, if ever.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }

    /// The pool it decides for.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.pool
    }
}
