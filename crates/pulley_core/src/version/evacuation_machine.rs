//! Which availability zones operators have emptied, as all replicas agree.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{EvacuatedZones, LogIndex, ZoneAnswer, ZoneOrder, ZoneUse};
use crate::process::ZoneName;

/// How many zones may be evacuated at once; their names go along with every lease.
pub const EVACUATED_LIMIT: usize = 12;

/// How many zones are remembered with their latest order, those in use again included.
const ZONES_KEPT: usize = 64;

/// How many change ids are remembered: far more orders than come within any resend's time.
const OUTCOMES_KEPT: usize = 1_024;

/// The latest order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ZoneStanding {
    zone_use: ZoneUse,
    index: LogIndex,
}

/// The orders for zones that the log holds.
///
/// Which of two orders for a zone counts is decided by their order in the log, and a resend is
/// known by its change id. An order also names what it is based on: a question may be repeated on
/// its way to the leader for seconds after its operator has given up, sent the order to another
/// host and withdrawn it there. Applied then, it would empty a zone that is back in use, though
/// nobody has asked for that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationMachine {
    evacuated: Arc<EvacuatedZones>,
    standings: BTreeMap<ZoneName, ZoneStanding>,
    /// The latest order for a zone that is no longer remembered.
    forgotten: LogIndex,
    /// The oldest first.
    outcomes: VecDeque<(ZoneOrder, ZoneAnswer)>,
}

impl EvacuationMachine {
    /// The zones that are evacuated.
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
            self.remember(order, &answer);
        }
        answer
    }

    fn known_outcome(&self, order: &ZoneOrder) -> Option<ZoneAnswer> {
        let (known, answer) =
            self.outcomes.iter().find(|(known, _)| known.change_id == order.change_id)?;
        let is_same = known.zone == order.zone && known.zone_use == order.zone_use;
        Some(if is_same { answer.clone() } else { ZoneAnswer::ChangeIdReused })
    }

    fn decide(&mut self, index: LogIndex, order: &ZoneOrder) -> ZoneAnswer {
        let current = self.evacuated.zone_use(&order.zone);
        if current == order.zone_use {
            return ZoneAnswer::Accepted { revision: self.evacuated.revision };
        }
        let latest =
            self.standings.get(&order.zone).map_or(self.forgotten, |standing| standing.index);
        if latest > order.based_on {
            return ZoneAnswer::Overtaken { current };
        }
        let evacuates = order.zone_use == ZoneUse::Evacuated;
        if evacuates && self.evacuated.zones.len() >= EVACUATED_LIMIT {
            return ZoneAnswer::TooMany;
        }
        self.stand(index, order);
        ZoneAnswer::Accepted { revision: index }
    }

    /// Puts an order in force.
    fn stand(&mut self, index: LogIndex, order: &ZoneOrder) {
        let standing = ZoneStanding { zone_use: order.zone_use, index };
        self.standings.insert(order.zone.clone(), standing);
        let evacuated = self.standings.iter();
        let evacuated = evacuated.filter(|(_, standing)| standing.zone_use == ZoneUse::Evacuated);
        let zones = evacuated.map(|(zone, _)| zone.clone()).collect();
        self.evacuated = Arc::new(EvacuatedZones { revision: index, zones });
        if self.standings.len() > ZONES_KEPT {
            self.forget_oldest();
        }
    }

    /// Forgets the zone that has been back in use for longest.
    fn forget_oldest(&mut self) {
        let in_use = self.standings.iter();
        let in_use = in_use.filter(|(_, standing)| standing.zone_use == ZoneUse::InUse);
        let oldest = in_use.min_by_key(|(_, standing)| standing.index);
        let Some((zone, index)) = oldest.map(|(zone, standing)| (zone.clone(), standing.index))
        else {
            return;
        };
        self.standings.remove(&zone);
        self.forgotten = self.forgotten.max(index);
    }

    fn remember(&mut self, order: &ZoneOrder, answer: &ZoneAnswer) {
        self.outcomes.push_back((order.clone(), answer.clone()));
        if self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
    }
}
