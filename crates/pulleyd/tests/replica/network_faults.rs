//! The faults of the in-memory network.

use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Faults of the network and delays of the disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkFaults {
    pub(crate) loss: f64,
    pub(crate) duplicated: f64,
    pub(crate) longest_delay: Duration,
    /// Longest duration of a write.
    pub(crate) longest_write: Duration,
}

impl NetworkFaults {
    pub(crate) const NONE: Self =
        Self { loss: 0.0, duplicated: 0.0, longest_delay: MILLISECOND, longest_write: MILLISECOND };
}
