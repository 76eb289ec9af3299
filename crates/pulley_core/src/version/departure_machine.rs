//! Which starts of upstreams have left for good, as all replicas agree.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::LogIndex;
use crate::process::{FastSet, UpstreamStart};

/// How many departures are remembered: some hours of those of 1,200 upstreams that are replaced a
/// few times a day, at about 40 bytes each. What is forgotten makes older directories unusable,
/// nothing else.
pub const DEPARTURES_KEPT: usize = 4_096;

/// The departures that were acknowledged.
///
/// What goes wrong without it: replicas write down the upstreams they know and offer them again
/// after a loss of power. A replica that was cut off, or lost its last write, would offer one whose
/// leaving another replica had acknowledged, and callers would be sent to an upstream that is gone.
/// Being in the log, a departure is known to whoever has applied a later leader's first entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureMachine {
    /// The oldest first.
    kept: VecDeque<(LogIndex, UpstreamStart)>,
    starts: FastSet<UpstreamStart>,
    /// The entry of the latest departure that is no longer kept.
    forgotten: LogIndex,
}

impl DepartureMachine {
    /// Whether a start of an upstream has left.
    #[must_use]
    pub fn has_left(&self, start: &UpstreamStart) -> bool {
        self.starts.contains(start)
    }

    /// Whether what was written down when an entry was the last applied can be told from what has
    /// left since: every later departure is still kept.
    #[must_use]
    pub fn covers(&self, written: LogIndex) -> bool {
        self.forgotten <= written
    }

    /// How many departures are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Applies a departure; one that is known already changes nothing.
    pub(crate) fn apply(&mut self, index: LogIndex, start: &UpstreamStart) {
        if !self.starts.insert(start.clone()) {
            return;
        }
        self.kept.push_back((index, start.clone()));
        if self.kept.len() > DEPARTURES_KEPT
            && let Some((index, oldest)) = self.kept.pop_front()
        {
            self.starts.remove(&oldest);
            self.forgotten = index;
        }
    }
}

/// The form that snapshots hold.
#[derive(Serialize, Deserialize)]
struct StoredDepartures {
    forgotten: LogIndex,
    kept: VecDeque<(LogIndex, UpstreamStart)>,
}

impl Serialize for DepartureMachine {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let stored = StoredDepartures { forgotten: self.forgotten, kept: self.kept.clone() };
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for DepartureMachine {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let StoredDepartures { forgotten, kept } = StoredDepartures::deserialize(deserializer)?;
        let starts = kept.iter().map(|(_, start)| start.clone()).collect();
        Ok(Self { kept, starts, forgotten })
    }
}
