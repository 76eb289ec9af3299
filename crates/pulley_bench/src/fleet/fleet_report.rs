//! Aggregates the rounds of a run and prints them as one line of key=value pairs.

use hdrhistogram::Histogram;

use super::FleetOptions;
use super::daemon_fleet::FleetCost;
use super::open_load::{LONGEST_MICROS, OpenLoadResult};
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
    processor: Vec<f64>,
    control: Vec<f64>,
    resident_mb: f64,
}

impl FleetReport {
    pub(super) fn new(share_counts: bool) -> Self {
        Self {
            share_counts,
            latencies: Histogram::new_with_bounds(1, LONGEST_MICROS, 3)
                .expect("the bounds are in order"),
            refused: 0,
            failed: 0,
            late: 0,
            upstreams: UpstreamCounts::default(),
            processor: Vec::new(),
            control: Vec::new(),
            resident_mb: 0.0,
        }
    }

    pub(super) fn share_counts(&self) -> bool {
        self.share_counts
    }

    pub(super) fn add(&mut self, load: &OpenLoadResult, seen: &UpstreamCounts, cost: &FleetCost) {
        let _ = self.latencies.add(&load.latencies);
        self.refused += load.refused;
        self.failed += load.failed;
        self.late += load.late;
        self.upstreams.requests += seen.requests;
        self.upstreams.collisions += seen.collisions;
        self.processor.extend(cost.processor.iter().map(|used| used / cost.at * 100.0));
        self.control.extend(cost.control_bytes.iter().map(|sent| sent / cost.at));
        self.resident_mb = cost.resident_mb.iter().copied().fold(self.resident_mb, f64::max);
    }

    pub(super) fn print(&self, options: &FleetOptions) {
        let at = |part: f64| self.latencies.value_at_quantile(part) as f64 / 1_000.0;
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
            at(0.5),
            at(0.99),
            at(0.999),
            self.upstreams.collisions as f64 / requests * 100.0,
            self.refused,
            self.failed,
            self.late,
            mean(&self.processor),
            largest(&self.processor),
            mean(&self.control),
            largest(&self.control),
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
