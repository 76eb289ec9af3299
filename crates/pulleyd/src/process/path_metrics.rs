//! Metrics of the paths to upstreams.

use prometheus::{IntGauge, Registry};
use pulley_core::connection::PathSurvey;

use super::process_metrics::Result;

/// Metrics of the paths to upstreams.
#[derive(Clone, Debug)]
pub(super) struct PathMetrics {
    known: IntGauge,
    lost: IntGauge,
    cut_off: IntGauge,
    relayed: IntGauge,
}

impl PathMetrics {
    /// # Errors
    /// Fails if a name is invalid. The names are fixed, so a test would detect it.
    pub(super) fn new() -> Result<Self> {
        Ok(Self {
            known: IntGauge::new("pulley_upstream_paths", "Upstreams that this host has used.")?,
            lost: IntGauge::new(
                "pulley_upstream_paths_lost",
                "Those that last left a request unanswered or could not be connected to.",
            )?,
            cut_off: IntGauge::new(
                "pulley_cut_off",
                "1 if this host has lost its own path to upstreams and sends over other hosts.",
            )?,
            relayed: IntGauge::new(
                "pulley_relayed_connections",
                "Connections to upstreams that are open on behalf of other hosts.",
            )?,
        })
    }

    /// # Errors
    /// Fails if a name is taken.
    pub(super) fn register(&self, registry: &Registry) -> Result<()> {
        for gauge in [&self.known, &self.lost, &self.cut_off, &self.relayed] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(())
    }

    /// Records the paths of this host, and the connections that it relays.
    pub(super) fn record(&self, survey: PathSurvey, is_cut_off: bool, relayed: usize) {
        let value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.known.set(value(survey.known));
        self.lost.set(value(survey.lost));
        self.cut_off.set(i64::from(is_cut_off));
        self.relayed.set(value(relayed));
    }
}
