//! Metrics of the exchange of permits for quotas.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use pulley_core::process::QuotaCounts;

use super::process_metrics::Result;

/// Metrics of the exchange of permits for quotas.
#[derive(Clone, Debug)]
pub(super) struct QuotaMetrics {
    asks: IntCounterVec,
    relayed: IntCounter,
    forwarded: IntCounter,
    takeovers: IntCounter,
    isolated_admissions: IntCounter,
}

impl QuotaMetrics {
    /// # Errors
    /// Fails if a name is invalid. The names are fixed, so a test would detect it.
    pub(super) fn new() -> Result<Self> {
        let asks = IntCounterVec::new(
            Opts::new("pulley_quota_asks_total", "Requests for permits of quotas, by outcome."),
            &["outcome"],
        )?;
        Ok(Self {
            asks,
            relayed: IntCounter::new(
                "pulley_quota_relayed_total",
                "Requests for permits that this replica has relayed to the keeper.",
            )?,
            forwarded: IntCounter::new(
                "pulley_quota_forwarded_total",
                "Requests for permits that this entry has forwarded for entries without replicas.",
            )?,
            takeovers: IntCounter::new(
                "pulley_quota_takeovers_total",
                "Accounts that this replica has taken over from one that was down.",
            )?,
            isolated_admissions: IntCounter::new(
                "pulley_quota_isolated_admissions_total",
                "Requests admitted while no keeper of the account answered.",
            )?,
        })
    }

    /// # Errors
    /// Fails if a name is taken.
    pub(super) fn register(&self, registry: &Registry) -> Result<()> {
        registry.register(Box::new(self.asks.clone()))?;
        let counters = [&self.relayed, &self.forwarded, &self.takeovers, &self.isolated_admissions];
        for counter in counters {
            registry.register(Box::new(counter.clone()))?;
        }
        Ok(())
    }

    /// Records the counts of this host. One task calls this.
    pub(super) fn record(&self, counts: QuotaCounts, isolated_admissions: u64) {
        let outcomes = [
            ("granted", counts.granted),
            ("refused", counts.refused),
            ("not-keeper", counts.not_keeper),
            ("unanswered", counts.unanswered),
        ];
        for (outcome, count) in outcomes {
            raise_to(&self.asks.with_label_values(&[outcome]), count);
        }
        raise_to(&self.relayed, counts.relayed);
        raise_to(&self.forwarded, counts.forwarded);
        raise_to(&self.takeovers, counts.takeovers);
        raise_to(&self.isolated_admissions, isolated_admissions);
    }
}

fn raise_to(series: &IntCounter, count: u64) {
    series.inc_by(count.saturating_sub(series.get()));
}
