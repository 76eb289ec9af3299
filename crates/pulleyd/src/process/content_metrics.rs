//! Metrics of contents that end upstreams.

use prometheus::{IntGauge, Registry};

use super::process_metrics::Result;

/// Metrics of contents that end upstreams.
#[derive(Clone, Debug)]
pub(super) struct ContentMetrics {
    suspected: IntGauge,
    quarantined: IntGauge,
}

impl ContentMetrics {
    /// # Errors
    /// Fails if a name is invalid. The names are fixed, so a test would detect it.
    pub(super) fn new() -> Result<Self> {
        Ok(Self {
            suspected: IntGauge::new(
                "pulley_contents_suspected",
                "Contents under which upstreams have ended, including quarantined ones.",
            )?,
            quarantined: IntGauge::new(
                "pulley_contents_quarantined",
                "Contents whose requests are refused because upstreams have ended under them.",
            )?,
        })
    }

    /// # Errors
    /// Fails if a name is taken.
    pub(super) fn register(&self, registry: &Registry) -> Result<()> {
        registry.register(Box::new(self.suspected.clone()))?;
        registry.register(Box::new(self.quarantined.clone()))
    }

    /// Records the numbers of contents that this host knows.
    pub(super) fn record(&self, suspected: usize, quarantined: usize) {
        self.suspected.set(i64::try_from(suspected).unwrap_or(i64::MAX));
        self.quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    }
}
