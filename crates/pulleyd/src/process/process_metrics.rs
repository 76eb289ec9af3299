//! The metrics of the process, by the conventions of Prometheus.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use pulley_core::connection::PathSurvey;
use pulley_core::process::{OrganisationName, QuotaCounts};
use pulley_core::version::KindPlan;
use pulley_core::{ConfigVersion, RequestVerdict};

use super::content_metrics::ContentMetrics;
use super::organisation_metrics::{OrganisationMetrics, OrganisationRequests};
use super::path_metrics::PathMetrics;
use super::quota_metrics::QuotaMetrics;
use crate::request::TrafficCounters;

/// Result of creating metrics. Fails if a name is taken or malformed.
pub(super) type Result<T> = std::result::Result<T, prometheus::Error>;

/// Bucket bounds of the latency that the system adds, in seconds. The goal is 1 ms for 99 in 100
/// requests.
const ADDED_BOUNDS: [f64; 10] = [0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.02, 0.1, 0.5, 2.0];

/// Bucket bounds of the upstreams' own latency, in seconds.
const UPSTREAM_BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 5.0, 30.0];

/// The metrics of one process. Clones share their values.
///
/// Label values come from the sheet in force or from fixed lists, never from callers. Otherwise a
/// caller could make the number of series grow without bound.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    answered: IntCounterVec,
    refused: IntCounterVec,
    added_seconds: Histogram,
    upstream_seconds: HistogramVec,
    callers_connections: IntGauge,
    in_progress: IntGauge,
    traffic: TrafficSeries,
    counters: Arc<TrafficCounters>,
    render_lock: Arc<Mutex<()>>,
    config_version: IntGauge,
    config_version_awaited: IntGauge,
    zones_evacuated: IntGauge,
    upstreams_evacuated: IntGauge,
    ready: IntGauge,
    organisations: OrganisationMetrics,
    paths: PathMetrics,
    quotas: QuotaMetrics,
    contents: ContentMetrics,
}

impl ProcessMetrics {
    /// The content type of [`Self::render`]'s output.
    pub const CONTENT_TYPE: &'static str = "text/plain; version=0.0.4";

    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    /// Fails if two metrics have the same name. The names are fixed, so a test would detect it.
    pub fn new() -> Result<Self> {
        let answered = IntCounterVec::new(
            Opts::new("pulley_answers_total", "Answers of upstreams passed on."),
            &["service", "kind", "status_class"],
        )?;
        let refused = IntCounterVec::new(
            Opts::new("pulley_refusals_total", "Answers of this host's own, by cause."),
            &["service", "kind", "cause", "verdict"],
        )?;
        let added = HistogramOpts::new(
            "pulley_added_latency_seconds",
            "Time a request spent in this host, the upstream's own time left out.",
        );
        let upstream = HistogramOpts::new(
            "pulley_upstream_latency_seconds",
            "Time from the request sent to the head of the upstream's answer.",
        );
        let in_progress =
            IntGauge::new("pulley_requests_in_progress", "Requests in this process.")?;
        let callers = IntGauge::new("pulley_callers_connections", "Open connections of callers.")?;
        let version = IntGauge::new("pulley_config_version", "Version of the configuration.")?;
        let version_awaited = IntGauge::new(
            "pulley_config_version_awaited",
            "Newest accepted version heard of while it isn't in force here; 0 if it is.",
        )?;
        let zones_evacuated =
            IntGauge::new("pulley_zones_evacuated", "Zones that operators have emptied.")?;
        let upstreams_evacuated = IntGauge::new(
            "pulley_upstreams_evacuated",
            "Upstreams known that get no work because their zone is evacuated.",
        )?;
        let ready = IntGauge::new("pulley_ready", "1 if this host takes work.")?;
        let metrics = Self {
            registry: Registry::new(),
            answered,
            refused,
            added_seconds: Histogram::with_opts(added.buckets(ADDED_BOUNDS.to_vec()))?,
            upstream_seconds: HistogramVec::new(
                upstream.buckets(UPSTREAM_BOUNDS.to_vec()),
                &["pool"],
            )?,
            callers_connections: callers,
            in_progress,
            traffic: TrafficSeries::new()?,
            counters: Arc::default(),
            render_lock: Arc::default(),
            config_version: version,
            config_version_awaited: version_awaited,
            zones_evacuated,
            upstreams_evacuated,
            ready,
            organisations: OrganisationMetrics::new()?,
            paths: PathMetrics::new()?,
            quotas: QuotaMetrics::new()?,
            contents: ContentMetrics::new()?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<()> {
        self.paths.register(&self.registry)?;
        self.quotas.register(&self.registry)?;
        self.contents.register(&self.registry)?;
        self.registry.register(Box::new(self.answered.clone()))?;
        self.registry.register(Box::new(self.refused.clone()))?;
        self.registry.register(Box::new(self.added_seconds.clone()))?;
        self.registry.register(Box::new(self.upstream_seconds.clone()))?;
        self.registry.register(Box::new(self.callers_connections.clone()))?;
        self.registry.register(Box::new(self.in_progress.clone()))?;
        for series in self.traffic.all() {
            self.registry.register(Box::new(series.clone()))?;
        }
        self.registry.register(Box::new(self.config_version.clone()))?;
        self.registry.register(Box::new(self.config_version_awaited.clone()))?;
        self.registry.register(Box::new(self.zones_evacuated.clone()))?;
        self.registry.register(Box::new(self.upstreams_evacuated.clone()))?;
        self.registry.register(Box::new(self.organisations.series()))?;
        self.registry.register(Box::new(self.ready.clone()))
    }

    /// Returns the counters of the traffic side. [`Self::render`] copies them into the metrics.
    #[must_use]
    pub fn traffic(&self) -> Arc<TrafficCounters> {
        Arc::clone(&self.counters)
    }

    // -------------------------------------------------------------------------------------
    // Recording

    /// Records an upstream's answer: its HTTP status, the time that the request spent in this host,
    /// and the time that the upstream itself took.
    pub fn record_answer(&self, row: &KindPlan, status: u16, added: Duration, upstream: Duration) {
        let class = match status / 100 {
            1 => "1xx",
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        let labels = [row.service.as_str(), row.kind.as_str(), class];
        self.answered.with_label_values(&labels).inc();
        self.added_seconds.observe(added.as_secs_f64());
        let pool = self.upstream_seconds.with_label_values(&[row.pool.as_str()]);
        pool.observe(upstream.as_secs_f64());
    }

    /// Counts an answer that this host made itself. `row` is `None` if the request matched no row
    /// or was refused before the rows were searched.
    pub fn record_refusal(
        &self,
        row: Option<&KindPlan>,
        cause: &'static str,
        verdict: RequestVerdict,
    ) {
        let (service, kind) = row.map_or(("", ""), |row| (row.service.as_str(), row.kind.as_str()));
        let labels = [service, kind, cause, verdict.as_str()];
        self.refused.with_label_values(&labels).inc();
    }

    /// Counts an answer to a request of an organisation, by the cause if this host made it itself.
    pub fn record_organisation(&self, name: &OrganisationName, cause: Option<&'static str>) {
        self.organisations.record(name, cause);
    }

    /// Returns what has become of an organisation's requests on this host.
    #[must_use]
    pub fn organisation_requests(&self, name: &OrganisationName) -> OrganisationRequests {
        self.organisations.requests(name)
    }

    /// Records the version in force and whether this host accepts requests.
    pub fn record_view(&self, version: u64, ready: bool) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.ready.set(i64::from(ready));
    }

    /// Records the newer version that this host knows of but has not put in force, if there is one.
    pub fn record_awaited_version(&self, version: Option<ConfigVersion>) {
        let version = version.unwrap_or_default().0;
        self.config_version_awaited.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Records the number of evacuated zones, and the number of upstreams that get no requests for
    /// that reason.
    pub fn record_zones(&self, zones: usize, upstreams: usize) {
        self.zones_evacuated.set(i64::try_from(zones).unwrap_or(i64::MAX));
        self.upstreams_evacuated.set(i64::try_from(upstreams).unwrap_or(i64::MAX));
    }

    /// Records this host's paths to upstreams, and how many connections it relays for other hosts.
    pub fn record_paths(&self, survey: PathSurvey, is_cut_off: bool, relayed: usize) {
        self.paths.record(survey, is_cut_off, relayed);
    }

    /// Records the numbers of contents that are suspected and of those that are quarantined.
    pub fn record_contents(&self, (suspected, quarantined): (usize, usize)) {
        self.contents.record(suspected, quarantined);
    }

    /// Records the requests for permits of quotas, and the requests admitted without.
    pub fn record_quotas(&self, counts: QuotaCounts, isolated_admissions: u64) {
        self.quotas.record(counts, isolated_admissions);
    }

    // -------------------------------------------------------------------------------------
    // Reading

    /// Returns all metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let _guard = self.render_lock.lock();
        self.traffic.copy_counts(&self.counters);
        self.in_progress.set(gauge(&self.counters.in_progress));
        self.callers_connections.set(gauge(&self.counters.caller_connections));
        let mut text = Vec::new();
        // Encoding to memory fails only on a malformed metric family, which registration rejects.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// The series of the counts that the traffic side keeps in plain atomics.
#[derive(Clone, Debug)]
struct TrafficSeries {
    requests: IntCounter,
    not_run: IntCounter,
    may_have_run: IntCounter,
    retries: IntCounter,
    retries_denied: IntCounter,
    cut_short: IntCounter,
    malformed_reports: IntCounter,
    limits_named: IntCounter,
    malformed_limits: IntCounter,
    unrecorded: IntCounter,
    callers_refused: IntCounter,
}

impl TrafficSeries {
    fn new() -> Result<Self> {
        Ok(Self {
            requests: IntCounter::new("pulley_requests_total", "Requests taken up.")?,
            not_run: IntCounter::new(
                "pulley_not_run_total",
                "Requests that ended with the verdict not-run.",
            )?,
            may_have_run: IntCounter::new(
                "pulley_may_have_run_total",
                "Requests that ended with the verdict may-have-run.",
            )?,
            retries: IntCounter::new("pulley_retries_total", "Attempts after the first.")?,
            retries_denied: IntCounter::new(
                "pulley_retries_denied_total",
                "Further attempts that the retry budget did not allow.",
            )?,
            cut_short: IntCounter::new(
                "pulley_answers_cut_short_total",
                "Answers that an upstream began and did not finish.",
            )?,
            malformed_reports: IntCounter::new(
                "pulley_malformed_load_reports_total",
                "Load reports that could not be read.",
            )?,
            limits_named: IntCounter::new(
                "pulley_upstream_limits_named_total",
                "Answers in which an upstream named a request limit.",
            )?,
            malformed_limits: IntCounter::new(
                "pulley_malformed_limits_total",
                "Request limits of upstreams that could not be read.",
            )?,
            unrecorded: IntCounter::new(
                "pulley_unrecorded_outcomes_total",
                "Outcomes of claimed requests that the ledger did not take.",
            )?,
            callers_refused: IntCounter::new(
                "pulley_callers_refused_total",
                "Connections of callers refused because the process is full.",
            )?,
        })
    }

    fn all(&self) -> [&IntCounter; 11] {
        [
            &self.requests,
            &self.not_run,
            &self.may_have_run,
            &self.retries,
            &self.retries_denied,
            &self.cut_short,
            &self.malformed_reports,
            &self.limits_named,
            &self.malformed_limits,
            &self.unrecorded,
            &self.callers_refused,
        ]
    }

    fn copy_counts(&self, counters: &TrafficCounters) {
        raise_to(&self.requests, &counters.requests);
        raise_to(&self.not_run, &counters.refused);
        raise_to(&self.may_have_run, &counters.may_have_run);
        raise_to(&self.retries, &counters.retries);
        raise_to(&self.retries_denied, &counters.retries_denied);
        raise_to(&self.cut_short, &counters.cut_short);
        raise_to(&self.malformed_reports, &counters.malformed_reports);
        raise_to(&self.limits_named, &counters.limits_named);
        raise_to(&self.malformed_limits, &counters.malformed_limits);
        raise_to(&self.unrecorded, &counters.unrecorded);
        raise_to(&self.callers_refused, &counters.callers_refused);
    }
}

/// Raises a counter metric to the current value of `count`. [`ProcessMetrics::render`] holds a lock
/// meanwhile, because two concurrent calls would both add the same difference.
fn raise_to(series: &IntCounter, count: &AtomicU64) {
    let missing = count.load(Ordering::Relaxed).saturating_sub(series.get());
    series.inc_by(missing);
}

fn gauge(count: &AtomicUsize) -> i64 {
    i64::try_from(count.load(Ordering::Relaxed)).unwrap_or(i64::MAX)
}
