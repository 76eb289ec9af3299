//! The state machine of upstream departures, on which all replicas agree.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::LogIndex;
use crate::process::{FastSet, UpstreamStart};

/// Number of departures remembered, at about 40 bytes each. They cover some hours when 1,200
/// upstreams are replaced a few times a day. Evicting a departure only makes directories that were
/// stored before it unusable.
pub const DEPARTURES_KEPT: usize = 4_096;

/// The acknowledged departures.
///
/// Replicas store the upstreams that they know and announce them again after a power loss. Without
/// this state, a replica that was partitioned or lost its last write would announce an upstream
/// whose departure another replica had acknowledged, and callers would be routed to an upstream
/// that no longer exists. Because departures are in the log, every replica that has applied a later
/// leader's first entry knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureMachine {
    /// Remembered departures, oldest first.
    kept: VecDeque<(LogIndex, UpstreamStart)>,
    starts: FastSet<UpstreamStart>,
    /// Log index of the departure evicted last.
    last_evicted: LogIndex,
}

impl DepartureMachine {
    /// Whether this incarnation of the upstream has departed.
    #[must_use]
    pub fn has_left(&self, start: &UpstreamStart) -> bool {
        self.starts.contains(start)
    }

    /// Whether all departures after log index `written` are still remembered, so that a directory
    /// stored at that index can be checked against them.
    #[must_use]
    pub fn remembers_all_since(&self, written: LogIndex) -> bool {
        self.last_evicted <= written
    }

    /// Returns the number of remembered departures.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no departure is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Applies a departure; a known one changes nothing.
    pub(crate) fn apply(&mut self, index: LogIndex, start: &UpstreamStart) {
        if !self.starts.insert(start.clone()) {
            return;
        }
        self.kept.push_back((index, start.clone()));
        if self.kept.len() > DEPARTURES_KEPT
            && let Some((index, oldest)) = self.kept.pop_front()
        {
            self.starts.remove(&oldest);
            self.last_evicted = index;
        }
    }
}

/// The form stored in snapshots.
#[derive(Serialize, Deserialize)]
struct StoredDepartures {
    last_evicted: LogIndex,
    kept: VecDeque<(LogIndex, UpstreamStart)>,
}

impl Serialize for DepartureMachine {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let stored = StoredDepartures { last_evicted: self.last_evicted, kept: self.kept.clone() };
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for DepartureMachine {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let StoredDepartures { last_evicted, kept } = StoredDepartures::deserialize(deserializer)?;
        let starts = kept.iter().map(|(_, start)| start.clone()).collect();
        Ok(Self { kept, starts, last_evicted })
    }
}
