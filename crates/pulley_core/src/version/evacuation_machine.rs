//! The state machine of zone evacuations, on which all replicas agree.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{EvacuatedZones, LogIndex, ZoneAnswer, ZoneOrder, ZoneUse};
use crate::process::ZoneName;

/// Maximum number of zones evacuated at the same time. Their names are sent with every lease.
pub const EVACUATED_LIMIT: usize = 12;

/// Number of zones remembered with their latest order, including zones that are back in use.
const ZONES_KEPT: usize = 64;

/// Number of change ids remembered: far more than the orders that arrive before any resend.
const OUTCOMES_KEPT: usize = 1_024;

/// The latest order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LatestOrder {
    zone_use: ZoneUse,
    index: LogIndex,
}

/// The zone orders applied from the log.
///
/// Of two orders for a zone, the later one in the log holds. A resend is recognised by its change
/// id. An order also names the log index that it is based on, so that a late one is recognised. The
/// question that carries it may be retried for seconds. Meanwhile its operator may have given up,
/// sent the order to another host and withdrawn it there. Applying the late order would evacuate a
/// zone that is back in use, although nobody asked for that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationMachine {
    evacuated: Arc<EvacuatedZones>,
    latest_orders: BTreeMap<ZoneName, LatestOrder>,
    /// Log index of the latest order for a zone that is no longer remembered.
    last_evicted: LogIndex,
    /// Orders with their answers, oldest first.
    outcomes: VecDeque<(ZoneOrder, ZoneAnswer)>,
}

impl EvacuationMachine {
    /// Returns the evacuated zones.
    #[must_use]
    pub fn evacuated(&self) -> &Arc<EvacuatedZones> {
        &self.evacuated
    }

    /// Applies an order.
    pub(crate) fn apply(&mut self, index: LogIndex, order: &ZoneOrder) -> ZoneAnswer {
        if let Some(answer) = self.known_outcome(order) {
            return answer;
        }
        let answer = self.decide(index, order);
        if matches!(answer, ZoneAnswer::Accepted { .. }) {
            self.remember_outcome(order, &answer);
        }
        answer
    }

    fn known_outcome(&self, order: &ZoneOrder) -> Option<ZoneAnswer> {
        let (known_order, answer) = self
            .outcomes
            .iter()
            .find(|(known_order, _)| known_order.change_id == order.change_id)?;
        let is_resend = known_order.zone == order.zone && known_order.zone_use == order.zone_use;
        Some(if is_resend { answer.clone() } else { ZoneAnswer::ChangeIdReused })
    }

    fn decide(&mut self, index: LogIndex, order: &ZoneOrder) -> ZoneAnswer {
        let current = self.evacuated.zone_use(&order.zone);
        if current == order.zone_use {
            return ZoneAnswer::Accepted { revision: self.evacuated.revision };
        }
        let latest =
            self.latest_orders.get(&order.zone).map_or(self.last_evicted, |latest| latest.index);
        if latest > order.based_on {
            return ZoneAnswer::Overtaken { current };
        }
        let evacuates = order.zone_use == ZoneUse::Evacuated;
        if evacuates && self.evacuated.zones.len() >= EVACUATED_LIMIT {
            return ZoneAnswer::TooMany;
        }
        self.put_in_force(index, order);
        ZoneAnswer::Accepted { revision: index }
    }

    /// Makes an order the latest one for its zone.
    fn put_in_force(&mut self, index: LogIndex, order: &ZoneOrder) {
        let latest = LatestOrder { zone_use: order.zone_use, index };
        self.latest_orders.insert(order.zone.clone(), latest);
        let evacuated = self.latest_orders.iter();
        let evacuated = evacuated.filter(|(_, latest)| latest.zone_use == ZoneUse::Evacuated);
        let zones = evacuated.map(|(zone, _)| zone.clone()).collect();
        self.evacuated = Arc::new(EvacuatedZones { revision: index, zones });
        if self.latest_orders.len() > ZONES_KEPT {
            self.evict_oldest();
        }
    }

    /// Evicts the zone that has been back in use for longest.
    fn evict_oldest(&mut self) {
        let in_use = self.latest_orders.iter();
        let in_use = in_use.filter(|(_, latest)| latest.zone_use == ZoneUse::InUse);
        let oldest = in_use.min_by_key(|(_, latest)| latest.index);
        let Some((zone, index)) = oldest.map(|(zone, latest)| (zone.clone(), latest.index)) else {
            return;
        };
        self.latest_orders.remove(&zone);
        self.last_evicted = self.last_evicted.max(index);
    }

    fn remember_outcome(&mut self, order: &ZoneOrder, answer: &ZoneAnswer) {
        self.outcomes.push_back((order.clone(), answer.clone()));
        if self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
    }
}
