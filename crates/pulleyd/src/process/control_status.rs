//! Builds the host's view for the traffic side and its status for operators.

use std::sync::Arc;

use pulley_core::version::{PlanStanding, ReplicaDriver};
use pulley_core::{IndexedPlan, Moment};
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::control_core::{ControlCore, TransportCounts};
use super::{HostReadiness, RunningView};

impl ControlCore {
    /// Returns the current view.
    pub(super) fn build_view(&mut self, standing: PlanStanding) -> RunningView {
        let sharing = self.members.sharing_entries();
        RunningView {
            version: self.follower.version(),
            awaited_version: self.follower.awaited_version(),
            plan: self.plan_in_force(),
            upstreams: self.registry.pools().clone(),
            readiness: self.readiness(standing),
            evacuated: Arc::clone(self.follower.evacuated()),
            entries: Arc::clone(&self.entries),
            sharing_entries: u32::try_from(sharing).unwrap_or(u32::MAX).max(1),
            quota_scope: Arc::clone(&self.quota_scope),
        }
    }

    /// Returns the plan in force. It is the same `Arc` until another plan is in force, so that
    /// readers of views detect a change by its pointer.
    fn plan_in_force(&mut self) -> Arc<IndexedPlan> {
        let Some(plan) = self.follower.in_force() else { return Arc::default() };
        if !Arc::ptr_eq(self.view_plan.plan(), plan) {
            self.view_plan = Arc::new(IndexedPlan::new(Arc::clone(plan)));
        }
        Arc::clone(&self.view_plan)
    }

    fn readiness(&self, standing: PlanStanding) -> HostReadiness {
        let why = match standing {
            PlanStanding::InForce(version) | PlanStanding::Static(version) if version.0 > 0 => {
                return match self.shutting_down {
                    true => HostReadiness::ShuttingDown,
                    false => HostReadiness::Ready,
                };
            }
            PlanStanding::InForce(_) | PlanStanding::Static(_) => "no sheet has been applied yet",
            PlanStanding::Starting => "the current configuration is not known yet",
            PlanStanding::Expired(_) => "cannot tell whether the configuration is current",
        };
        HostReadiness::NotReady { why: SmolStr::new_static(why) }
    }

    /// Returns the age of the shared counts of each pool in milliseconds, or null where this host
    /// has none.
    fn count_ages(&self, now: Moment) -> Value {
        let ages = self.schedulers.count_ages(now);
        let ages = ages.into_iter().map(|(pool, age)| {
            let millis = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            (pool.to_string(), json!(millis))
        });
        Value::Object(ages.collect())
    }

    /// Returns the requests a second that upstreams have said they take, by upstream.
    fn limit_rates(&self) -> Value {
        let rates = self.limits.limits().filter_map(|record| {
            let rate = record.rate?.per_second();
            Some((record.upstream.to_string(), json!(rate)))
        });
        Value::Object(rates.collect())
    }

    /// Returns the counts of control messages since the process started. Bytes exclude the headers
    /// of IP, UDP and TCP, but include the overhead that links add to their frames.
    fn transport_status(&self) -> Value {
        let TransportCounts { datagrams, links } = self.transport;
        json!({
            "datagrams_sent": datagrams.sent,
            "datagrams_received": datagrams.received,
            "datagrams_refused": datagrams.refused,
            "datagrams_dropped": datagrams.dropped,
            "sent_bytes": datagrams.sent_bytes + links.wire_bytes,
            "received_bytes": datagrams.received_bytes,
            "link_frames": links.frames,
            "links_opened": links.opened,
            "links_silent": links.silent,
            "link_frames_dropped": links.dropped,
        })
    }

    /// Returns the host's status, as the operators' API shows it.
    pub(super) fn status(&self, now: Moment) -> Value {
        let standing = self.follower.standing(now);
        let hosts: Vec<Value> = self
            .members
            .live()
            .map(|record| {
                json!({
                    "host": record.host,
                    "zone": record.zone,
                    "peer": record.peer_address,
                    "roles": record.roles,
                    "version": self.follower.holders().get(&record.host),
                })
            })
            .collect();
        let replica = self.replica.as_ref().map(ReplicaDriver::status);
        json!({
            "host": self.members.own().host,
            "zone": self.members.own().zone,
            "version": self.follower.version(),
            "ready": standing.is_ready() && !self.shutting_down,
            "standing": standing_name(standing),
            "leader": self.follower.leader(now),
            "evacuated": self.follower.evacuated().zones,
            "hosts": hosts,
            "upstreams": self.registry.upstream_count(),
            "replica": replica,
            "replicas": replica.as_ref().map(|status| &status.members),
            "count_age_ms": self.count_ages(now),
            "control": self.transport_status(),
            "spread": self.follower.spread_counts(),
            "limits": self.limit_rates(),
            "permits": self.limits.counts(),
            "accounts": self.quotas.status(now),
            "quota_asks": self.quotas.counts(),
            "limited": self.schedulers.limited_upstreams(),
            "coordinates": self.counts.scopes(),
            "running": self.schedulers.running(),
            "waiting": self.schedulers.waiting(),
            "questions": self.router.waiting(),
        })
    }
}

/// Returns the status of the configuration as text for operators. The version is shown separately.
const fn standing_name(standing: PlanStanding) -> &'static str {
    match standing {
        PlanStanding::Starting => "starting",
        PlanStanding::InForce(_) => "in-force",
        PlanStanding::Static(_) => "static",
        PlanStanding::Expired(_) => "expired",
    }
}
