//! Aggregates the rounds of a run and prints them as one line of key=value pairs.

use hdrhistogram::Histogram;

use super::FleetOptions;
use super::daemon_fleet::FleetCost;
use super::open_load::{MAX_LATENCY_MICROS, OpenLoadResult};
use super::pool_upstreams::UpstreamCounts;

/// Aggregated figures of all rounds, either with shared counts or without.
#[derive(Debug)]
pub(super) struct FleetReport {
    share_counts: bool,
    latencies: Histogram<u64>,
    refused: u64,
    failed: u64,
    late: u64,
    upstreams: UpstreamCounts,
    cpu_pct: Vec<f64>,
    control_rates: Vec<f64>,
    resident_mb: f64,
}

impl FleetReport {
    pub(super) fn new(share_counts: bool) -> Self {
        Self {
            share_counts,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
                .expect("the bounds are in order"),
            refused: 0,
            failed: 0,
            late: 0,
            upstreams: UpstreamCounts::default(),
            cpu_pct: Vec::new(),
            control_rates: Vec::new(),
            resident_mb: 0.0,
        }
    }

    pub(super) fn share_counts(&self) -> bool {
        self.share_counts
    }

    pub(super) fn add(
        &mut self,
        load: &OpenLoadResult,
        upstreams: &UpstreamCounts,
        cost: &FleetCost,
    ) {
        let _ = self.latencies.add(&load.latencies);
        self.refused += load.refused;
        self.failed += load.failed;
        self.late += load.late;
        self.upstreams.requests += upstreams.requests;
        self.upstreams.collisions += upstreams.collisions;
        self.cpu_pct.extend(cost.cpu_seconds.iter().map(|used| used / cost.at * 100.0));
        self.control_rates.extend(cost.control_bytes.iter().map(|sent| sent / cost.at));
        self.resident_mb = cost.resident_mb.iter().copied().fold(self.resident_mb, f64::max);
    }

    pub(super) fn print(&self, options: &FleetOptions) {
        let quantile_ms =
            |quantile: f64| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        let requests = self.upstreams.requests.max(1) as f64;
        println!(
            "bench=fleet counts={} hosts={} upstreams={} slots={} load={} calls={} p50_ms={:.2} \
             p99_ms={:.2} p999_ms={:.2} collisions_pct={:.2} refused={} failed={} late={} \
             cpu_pct_mean={:.2} cpu_pct_max={:.2} control_bytes_per_s_mean={:.0} \
             control_bytes_per_s_max={:.0} resident_mb_max={:.1}",
            if self.share_counts { "shared" } else { "own" },
            options.hosts,
            options.upstreams,
            options.slots,
            options.load,
            self.latencies.len(),
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(0.999),
            self.upstreams.collisions as f64 / requests * 100.0,
            self.refused,
            self.failed,
            self.late,
            mean(&self.cpu_pct),
            largest(&self.cpu_pct),
            mean(&self.control_rates),
            largest(&self.control_rates),
            self.resident_mb,
        );
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
