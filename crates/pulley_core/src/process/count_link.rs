//! An entry's side of sharing counts with one zone's coordinator.

use std::time::Duration;

use super::{COUNT_TERM, CountEpoch, CountKey, CountSum, Moment, ZoneName};

/// Time between deltas while no coordinator has set a pace.
const UNPACED: Duration = Duration::from_millis(100);

/// The longest time between deltas; three fit in the coordinator's term, so two may be lost
/// before this entry's counts are dropped.
const LONGEST_PACE: Duration = Duration::from_millis(250);

/// The shortest time between deltas.
const SHORTEST_PACE: Duration = Duration::from_millis(5);

/// What an entry knows of one zone's coordinator for one pool.
#[derive(Clone, Debug)]
pub(crate) struct CountLink {
    pub(crate) zone: ZoneName,
    pub(crate) sequence: u32,
    epoch: CountEpoch,
    coordinator: CountKey,
    sum_sequence: u32,
    heard: Option<Moment>,
    pace: Duration,
    delta_at: Moment,
}

impl CountLink {
    /// Makes a link that has heard nothing.
    pub(crate) fn new(zone: ZoneName, now: Moment) -> Self {
        Self {
            zone,
            sequence: 0,
            epoch: CountEpoch(0),
            coordinator: CountKey::default(),
            sum_sequence: 0,
            heard: None,
            pace: UNPACED,
            delta_at: now,
        }
    }

    /// Whether a sum is news; notes it if so. The parts of one sum bear the same sequence and
    /// are each taken in once or more, which changes nothing the second time.
    pub(crate) fn accept(&mut self, now: Moment, sum: &CountSum) -> bool {
        let from = CountKey::of(sum.coordinator.as_str());
        let same = from == self.coordinator && sum.epoch == self.epoch;
        let newer = if same { sum.sequence >= self.sum_sequence } else { sum.epoch > self.epoch };
        if !newer {
            return false;
        }
        self.epoch = sum.epoch;
        self.coordinator = from;
        self.sum_sequence = sum.sequence;
        self.heard = Some(now);
        let pace = Duration::from_millis(u64::from(sum.interval_ms));
        self.pace = pace.clamp(SHORTEST_PACE, LONGEST_PACE);
        true
    }

    /// Starts the next delta, if one is due.
    pub(crate) fn start_delta(&mut self, now: Moment) -> bool {
        if now < self.delta_at {
            return false;
        }
        if self.age(now).is_none() {
            self.pace = UNPACED;
        }
        self.delta_at = now + self.pace;
        self.sequence += 1;
        true
    }

    /// When the next delta is due.
    pub(crate) fn delta_at(&self) -> Moment {
        self.delta_at
    }

    /// How old the newest sum is; none without one within the term.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        let age = now.since(self.heard?);
        (age < COUNT_TERM).then_some(age)
    }

    /// When the newest sum stops counting; none if it has already been dropped.
    pub(crate) fn expires_at(&self) -> Option<Moment> {
        Some(self.heard? + COUNT_TERM)
    }

    /// Drops a sum whose term is over.
    pub(crate) fn expire(&mut self, now: Moment) {
        if self.age(now).is_none() {
            self.heard = None;
        }
    }

    /// The highest epoch seen, and whose it was.
    pub(crate) fn epoch(&self) -> (CountEpoch, CountKey) {
        (self.epoch, self.coordinator)
    }
}
