//! Figures of one run, printed as one line for each pool.

use std::time::Duration;

use hdrhistogram::Histogram;
use pulley_core::Moment;

use super::deployment::DeploymentSpec;

/// Figures of one pool.
#[derive(Debug)]
pub(crate) struct PoolFigures {
    latency: Histogram<u64>,
    added: Histogram<u64>,
    /// Latency of the top-priority kind, the pool's first.
    top_priority: Histogram<u64>,
    pub(crate) refused: u64,
    pub(crate) first_refused: u64,
    pub(crate) deadline_missed: u64,
    pub(crate) failed: u64,
    /// Slot time of all calls, in seconds, indexed by kind.
    pub(crate) offered: Vec<f64>,
    /// Slot time of the calls answered before their deadline, in seconds, indexed by kind.
    pub(crate) served: Vec<f64>,
    pub(crate) probes: Vec<Moment>,
}

/// Figures of one run.
#[derive(Debug)]
pub(crate) struct RunFigures {
    pub(crate) pools: Vec<PoolFigures>,
    /// Control bytes sent, indexed by host.
    pub(crate) sent: Vec<u64>,
    /// Control bytes received, indexed by host.
    pub(crate) received: Vec<u64>,
}

/// The scenario, policy and seed that identify a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunName<'a> {
    pub(crate) scenario: &'a str,
    pub(crate) policy: &'a str,
    pub(crate) seed: u64,
}

impl PoolFigures {
    fn new(kinds: usize) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
        Self {
            latency: histogram(),
            added: histogram(),
            top_priority: histogram(),
            refused: 0,
            first_refused: 0,
            deadline_missed: 0,
            failed: 0,
            offered: vec![0.0; kinds],
            served: vec![0.0; kinds],
            probes: Vec::new(),
        }
    }

    /// Records an answer. `whole` is its total latency and `added` the part of it that is neither
    /// service time nor network delay. `top_priority` tells whether its kind has top priority.
    pub(crate) fn record(&mut self, whole: Duration, added: Duration, top_priority: bool) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1);
        self.latency.saturating_record(micros(whole));
        self.added.saturating_record(micros(added));
        if top_priority {
            self.top_priority.saturating_record(micros(whole));
        }
    }

    /// Returns the largest difference between a kind's served and due fraction of the pool, in
    /// percentage points.
    fn share_error(&self, shares: &[f64], capacity: f64) -> f64 {
        let due = self.due_fractions(shares, capacity);
        let served = self.served.iter().map(|slot_s| slot_s / capacity);
        served.zip(due).map(|(got, due)| (got - due).abs() * 100.0).fold(0.0, f64::max)
    }

    /// Returns the fraction of the pool that each kind is due.
    fn due_fractions(&self, shares: &[f64], capacity: f64) -> Vec<f64> {
        let demand: Vec<f64> = self.offered.iter().map(|slot_s| slot_s / capacity).collect();
        water_fill(&demand, shares)
    }

    /// Returns the highest probe rate over any window of ten seconds, in probes per second.
    fn probe_peak(&self) -> f64 {
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.probes.iter().enumerate() {
            while at.since(self.probes[first]) >= PROBE_WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        f64::from(u32::try_from(most).unwrap_or(u32::MAX)) / PROBE_WINDOW.as_secs_f64()
    }
}

/// The highest latency that the histograms can hold: ten minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Window over which the peak probe rate is computed.
const PROBE_WINDOW: Duration = Duration::from_secs(10);

/// Computes the weighted max-min fair fractions of a whole: each kind gets its demand up to its
/// share, and what is left is divided among the others in proportion to their shares.
fn water_fill(demand: &[f64], shares: &[f64]) -> Vec<f64> {
    let mut due = vec![0.0; demand.len()];
    let mut left = 1.0_f64;
    for _ in 0..demand.len() + 1 {
        let open: Vec<usize> = (0..demand.len()).filter(|i| due[*i] < demand[*i]).collect();
        let weights: f64 = open.iter().map(|i| shares[*i]).sum();
        if open.is_empty() || weights <= 0.0 || left < 1e-9 {
            break;
        }
        let portion = left;
        for i in open {
            let more = (portion * shares[i] / weights).min(demand[i] - due[i]);
            due[i] += more;
            left -= more;
        }
    }
    due
}

/// Formats fractions as percentages separated by slashes.
fn percentages(fractions: &[f64]) -> String {
    let texts: Vec<String> =
        fractions.iter().map(|fraction| format!("{:.1}", fraction * 100.0)).collect();
    texts.join("/")
}

impl RunFigures {
    pub(crate) fn new(deployment: &DeploymentSpec) -> Self {
        let pools = deployment.pools.iter().map(|pool| PoolFigures::new(pool.kinds.len()));
        Self {
            pools: pools.collect(),
            sent: vec![0; deployment.entries],
            received: vec![0; deployment.entries],
        }
    }

    /// Prints one line for each pool.
    pub(crate) fn print(&self, deployment: &DeploymentSpec, name: RunName<'_>) {
        for pool in 0..self.pools.len() {
            println!("{}", self.line(deployment, name, pool));
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "figures are printed to three digits")]
    fn line(&self, deployment: &DeploymentSpec, name: RunName<'_>, pool: usize) -> String {
        let figures = &self.pools[pool];
        let spec = &deployment.pools[pool];
        let seconds = deployment.measured_time.as_secs_f64();
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let shares: Vec<f64> =
            spec.kinds.iter().map(|kind| f64::from(kind.share_pct) / 100.0).collect();
        let capacity = spec.total_slots() * seconds;
        let peak_rate = |bytes: &[u64]| bytes.iter().copied().max().unwrap_or(0) as f64 / seconds;
        let latency = &figures.latency;
        let (deployment, spec_name) = (deployment.name, spec.name);
        format!(
            "scenario={} deployment={deployment} pool={spec_name} policy={} seed={} calls={} \
             p50_ms={:.1} p99_ms={:.1} p999_ms={:.1} added_p99_ms={:.2} refused={} \
             first_refused={} failed={} deadline_missed={} priority_p99_ms={:.1} goodput_pct={:.1} \
             control_bytes_per_s_per_host={:.0} received_bytes_per_s_per_host={:.0} \
             probes_per_s={:.2} probe_peak_per_s={:.2} probe_budget_per_s={:.2} \
             share_error_pct={:.2} served_pct={} due_pct={}",
            name.scenario,
            name.policy,
            name.seed,
            latency.len(),
            ms(latency, 0.5),
            ms(latency, 0.99),
            ms(latency, 0.999),
            ms(&figures.added, 0.99),
            figures.refused,
            figures.first_refused,
            figures.failed,
            figures.deadline_missed,
            ms(&figures.top_priority, 0.99),
            figures.served.iter().sum::<f64>() / capacity * 100.0,
            peak_rate(&self.sent),
            peak_rate(&self.received),
            figures.probes.len() as f64 / seconds,
            figures.probe_peak(),
            f64::from(spec.probe_budget) / 1_000.0,
            figures.share_error(&shares, capacity),
            percentages(&figures.served.iter().map(|slot_s| slot_s / capacity).collect::<Vec<_>>()),
            percentages(&figures.due_fractions(&shares, capacity)),
        )
    }
}
