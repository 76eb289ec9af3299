//! How the replicas and other entries have answered this entry's asks.

use std::time::Duration;

use super::{FastMap, HostId, Moment};

/// Typical round trips after which an ask counts as unanswered, and the bounds of that time. Before
/// the first answer it is the time in the middle.
const TIMEOUT_ROUND_TRIPS: u32 = 3;
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
const FIRST_TIMEOUT: Duration = Duration::from_millis(40);
const MAX_TIMEOUT: Duration = Duration::from_millis(150);

/// The part by which a round trip changes the typical one.
const ROUND_TRIP_WEIGHT: u32 = 8;

/// Unanswered asks after which a replica is tried last, and for how long.
const UNANSWERED_LIMIT: u8 = 2;
const TRIED_LAST_SPAN: Duration = Duration::from_secs(1);

/// How a replica has answered this entry's asks.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaPath {
    /// The typical round trip, if one is known.
    round_trip: Option<Duration>,
    /// Asks in sequence that were not answered.
    unanswered: u8,
    tried_last_until: Moment,
}

/// How the replicas, and the entries that forward to them, have answered this entry's asks, of all
/// organisations.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaPaths {
    paths: FastMap<HostId, ReplicaPath>,
}

impl ReplicaPaths {
    /// Forgets hosts that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.paths.retain(|host, _| is_known(host));
    }

    /// Returns the time after which an ask to a replica counts as unanswered.
    pub(super) fn timeout(&self, replica: &HostId) -> Duration {
        let round_trip = self.paths.get(replica).and_then(|path| path.round_trip);
        let timeout = round_trip.map_or(FIRST_TIMEOUT, |time| time * TIMEOUT_ROUND_TRIPS);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Whether a replica is tried after all others.
    pub(super) fn is_tried_last(&self, now: Moment, replica: &HostId) -> bool {
        self.paths.get(replica).is_some_and(|path| now < path.tried_last_until)
    }

    /// Records that a replica has answered, and the round trip if it is known.
    pub(super) fn record_answer(&mut self, replica: &HostId, round_trip: Option<Duration>) {
        let path = self.path(replica);
        path.unanswered = 0;
        path.tried_last_until = Moment::ZERO;
        if let Some(measured) = round_trip {
            let measured = measured.min(MAX_TIMEOUT);
            let known = path.round_trip.unwrap_or(measured);
            let kept = known * (ROUND_TRIP_WEIGHT - 1);
            path.round_trip = Some((kept + measured) / ROUND_TRIP_WEIGHT);
        }
    }

    /// Records that a replica has not answered an ask in time.
    pub(super) fn record_timeout(&mut self, now: Moment, replica: &HostId) {
        let path = self.path(replica);
        path.unanswered = path.unanswered.saturating_add(1);
        if path.unanswered >= UNANSWERED_LIMIT {
            path.tried_last_until = now + TRIED_LAST_SPAN;
        }
    }

    fn path(&mut self, replica: &HostId) -> &mut ReplicaPath {
        if !self.paths.contains_key(replica) {
            self.paths.insert(replica.clone(), ReplicaPath::default());
        }
        self.paths.get_mut(replica).expect("inserted above")
    }
}
