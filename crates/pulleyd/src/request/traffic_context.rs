//! The state that all requests on the traffic side share.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::process::{LinkPacer, QuotaTerms, ShutdownSchedule};
use pulley_core::request::{RequestNumber, RequestUrgency, RowDeadlines};
use slog::Logger;

use super::call_terms::CallTerms;
use super::request_run::PlannedKind;
use super::{
    HeaderDialect, HeldBodies, QuarantineGate, QuotaGate, SchedulerSet, TrafficCounters,
    TrustedCallers,
};
use crate::connection::{KeyRing, RelayIdentity, UpstreamConnections};
use crate::process::{
    ControlHandle, ProcessClock, ProcessMetrics, ShutdownCell, TimerService, ViewCell,
};

/// Limits of the traffic side, each against one kind of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Requests in this process at once. Beyond this limit new ones are refused as not run, because
    /// a process short of memory would slow down or lose all of them.
    pub requests: usize,
    /// Caller connections at once; beyond it a connection's first request is refused.
    pub caller_connections: usize,
    /// Bytes of a request's headers; a plan may allow less.
    pub header_bytes: u64,
    /// How long a caller may take to send a request's headers, including idle time before them; a
    /// plan may allow less.
    pub header_timeout: Duration,
    /// Upstreams probed when a request arrives.
    pub arrival_probes: usize,
    /// Bytes of a request body kept for another attempt.
    pub replay_bytes: usize,
    /// Bytes of the body of a request with an idempotency key. Its digest is needed before it is
    /// sent, so the whole body is held in memory.
    pub keyed_body_limit: usize,
    /// Bytes of a response body that the ledger stores.
    pub recorded_bytes: usize,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            requests: 20_000,
            caller_connections: 20_000,
            header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(60),
            arrival_probes: 0,
            replay_bytes: 64 * 1024,
            keyed_body_limit: 1024 * 1024,
            recorded_bytes: 16 * 1024,
        }
    }
}

/// The state that all requests on the traffic side share.
#[derive(Debug)]
pub struct TrafficContext {
    /// The snapshot of control state.
    pub view: ViewCell,
    /// The pool schedulers, which choose upstreams for requests.
    pub schedulers: Arc<SchedulerSet>,
    /// Admits organisations' requests by their quotas.
    pub quotas: Arc<QuotaGate>,
    /// The deadlines of callers' first attempts, for requests of organisations with quotas.
    pub row_deadlines: Mutex<RowDeadlines>,
    /// Admits requests whose contents are suspected to end upstreams.
    pub quarantine: Arc<QuarantineGate>,
    /// The memory for long bodies that are read whole before they are sent.
    pub held_bodies: HeldBodies,
    /// The keys under which contents of requests are digested.
    pub content_keys: KeyRing,
    /// The channel to the control thread.
    pub control: ControlHandle,
    /// The connections to upstreams.
    pub connections: Arc<UpstreamConnections>,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The process's timer service.
    pub timer: TimerService,
    /// The logger for events.
    pub logger: Logger,
    /// The limits beyond which the process refuses work.
    pub limits: TrafficLimits,
    /// The header names used with callers and upstreams.
    pub dialect: HeaderDialect,
    /// Paces large responses to the host's link rate, if that is known.
    pub link_pacer: Option<Arc<Mutex<LinkPacer>>>,
    /// What this host still does for requests once it shuts down.
    pub shutdown: ShutdownCell,
    /// The callers whose attempt and priority headers are trusted.
    pub trusted: TrustedCallers,
    /// The counters for metrics.
    pub counters: Arc<TrafficCounters>,
    /// The metrics of responses and refusals by kind, if metrics are enabled.
    pub metrics: Option<ProcessMetrics>,
    next_number: AtomicU64,
}

impl TrafficContext {
    /// Creates a context with default limits that trusts no caller.
    #[must_use]
    pub fn new(
        view: ViewCell,
        schedulers: Arc<SchedulerSet>,
        control: ControlHandle,
        clock: ProcessClock,
        timer: TimerService,
        logger: Logger,
    ) -> Self {
        let gate = Arc::clone(schedulers.gate());
        let connections =
            UpstreamConnections::new(clock, timer.clone(), view.clone(), logger.clone(), gate);
        Self {
            view,
            schedulers,
            quotas: Arc::new(QuotaGate::new(control.clone(), clock, QuotaTerms::default())),
            row_deadlines: Mutex::default(),
            quarantine: Arc::new(QuarantineGate::new(control.clone(), clock)),
            held_bodies: HeldBodies::default(),
            content_keys: KeyRing::random(),
            control,
            connections: Arc::new(connections),
            clock,
            timer,
            logger,
            limits: TrafficLimits::default(),
            dialect: HeaderDialect::default(),
            link_pacer: None,
            shutdown: ShutdownCell::default(),
            trusted: TrustedCallers::default(),
            counters: Arc::default(),
            metrics: None,
            next_number: AtomicU64::new(0),
        }
    }

    /// Replaces the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: TrafficLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Shares a gate for quotas with the control thread.
    #[must_use]
    pub fn with_quotas(mut self, quotas: Arc<QuotaGate>) -> Self {
        self.quotas = quotas;
        self
    }

    /// Sets the header names.
    #[must_use]
    pub fn with_dialect(mut self, dialect: HeaderDialect) -> Self {
        self.schedulers.gate().set_departure_header(dialect.departure.clone());
        self.dialect = dialect;
        self
    }

    /// Paces large responses on a link of `kbps` kilobits a second, which leaves room for other
    /// traffic.
    #[must_use]
    pub fn with_link_rate(mut self, kbps: Option<u32>) -> Self {
        self.link_pacer = kbps.map(|kbps| Arc::new(Mutex::new(LinkPacer::new(kbps))));
        self
    }

    /// Records responses and refusals in these metrics and uses their traffic counters.
    #[must_use]
    pub fn with_metrics(mut self, metrics: ProcessMetrics) -> Self {
        self.counters = metrics.traffic();
        self.metrics = Some(metrics);
        self
    }

    /// Opens connections to upstreams from a local address, and over other hosts while this one has
    /// lost its own path to them.
    #[must_use]
    pub fn with_relays(mut self, identity: RelayIdentity, local_ip: IpAddr) -> Self {
        self.content_keys = identity.key_ring.clone();
        let (view, logger) = (self.view.clone(), self.logger.clone());
        let (timer, gate) = (self.timer.clone(), Arc::clone(self.schedulers.gate()));
        let piece = self.link_pacer.as_ref().map(|pacer| pacer.lock().piece_bytes());
        let connections = UpstreamConnections::new(self.clock, timer, view, logger, gate)
            .with_relays(identity, local_ip, self.control.clone(), piece);
        self.connections = Arc::new(connections);
        self
    }

    /// Trusts the attempt and priority headers of these callers.
    #[must_use]
    pub fn with_trusted_callers(mut self, trusted: TrustedCallers) -> Self {
        self.trusted = trusted;
        self
    }

    /// Begins the shutdown: from now on its schedule decides which requests are passed on, and no answer
    /// is held back.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shutdown.begin(schedule);
        if let Some(pacer) = &self.link_pacer {
            pacer.lock().release();
        }
    }

    /// Returns how long a caller may take to send headers: the shorter of the limits of the plan in
    /// force and the process.
    pub(crate) fn header_timeout(&self) -> Duration {
        self.view.load().plan.limits.header_timeout.min(self.limits.header_timeout)
    }

    /// Whether a caller's attempt and priority headers are trusted.
    pub(super) fn is_trusted(&self, caller: Option<IpAddr>) -> bool {
        caller.is_some_and(|caller| self.trusted.addresses.contains(&caller))
    }

    /// Returns the urgency of an arriving request, and counts its caller's deadline among those of
    /// its row. Without a target, its answer is in time until its deadline.
    pub(super) fn urgency_of(
        &self,
        kind: &PlannedKind,
        terms: &CallTerms,
        arrived: Moment,
    ) -> RequestUrgency {
        let usual = kind.usual_time(&self.schedulers).unwrap_or_default();
        let least_age = terms.sent_deadline.map_or(Duration::ZERO, |deadline| {
            self.row_deadlines.lock().record(arrived, kind.row(), deadline)
        });
        match kind.row().route.target {
            Some(target) => RequestUrgency::new(target, least_age, usual),
            None => {
                let left = terms.deadline.since(arrived);
                RequestUrgency::new(left, Duration::ZERO, usual)
            }
        }
    }

    /// Returns a request number that is unique in this process.
    pub(super) fn next_number(&self) -> RequestNumber {
        RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed))
    }
}
