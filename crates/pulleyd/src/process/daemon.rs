//! Starts the parts of one daemon and shuts them down.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::response::IntoResponse;
use axum::routing::get;
use http::header::CONTENT_TYPE;
use pulley_core::Moment;
use pulley_core::process::{ShutdownSchedule, ShutdownTerms};
use pulley_core::request::RetryAllowance;
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::control_thread::{ControlParts, ControlStartFault, ControlThread, hand_over_leadership};
use super::daemon_protocol::{DaemonProtocol, ProtocolRouter};
use super::{
    AnnounceApi, ApiLimits, ApiServer, ControlApi, ControlHandle, ControlRequest, DaemonSettings,
    HostReadiness, OperatorApi, ProcessClock, ProcessMetrics, TimerService, ViewCell,
};
use crate::connection::{
    CallerListener, DrainReport, KeyFault, KeyRing, RelayIdentity, RelayServer, TrafficThreads,
    UpstreamConnections, UpstreamProber,
};
use crate::request::{
    HeaderDialect, QuarantineGate, QuotaGate, SchedulerSet, TrafficContext, TrafficLimits,
    TrustedCallers,
};

/// The maximum number of requests that may wait for the control thread.
const CONTROL_QUEUE_DEPTH: usize = 8_192;

/// The maximum number of connections that wait to be relayed.
const RELAY_QUEUE_DEPTH: usize = 64;

/// One connection may be relayed for every so many that callers may open. A relayed connection costs
/// as much, and other hosts' callers must not crowd out this host's own.
const CALLERS_PER_RELAYED_CONNECTION: usize = 8;

/// The interval at which the metrics of the view are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the metrics' listener. It serves a few collectors, whose requests have no body.
const METRICS_LIMITS: ApiLimits = ApiLimits { connections: 16, body_bytes: 1 << 10 };

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum DaemonFault {
    /// A listener could not be bound.
    #[error("the {which} listener at {address}: {fault}")]
    Listen {
        /// Which listener it is.
        which: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        fault: io::Error,
    },
    /// The secret file is unreadable or holds no valid keys.
    #[error("the secret file: {0}")]
    Keys(#[from] KeyFault),
    /// The control thread did not start.
    #[error(transparent)]
    Control(#[from] ControlStartFault),
    /// The operating system refused a thread, a timer or a socket address.
    #[error("the operating system: {0}")]
    System(#[from] io::Error),
    /// The metrics could not be registered.
    #[error("the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Result of starting a daemon.
pub type DaemonResult<T> = Result<T, DaemonFault>;

/// The addresses on which a running daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For upstreams and the platform's balancer.
    pub upstreams: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
}

/// A running daemon.
///
/// ```ignore
/// let threads = TrafficThreads::start(settings.traffic_threads)?;
/// let signals = ProcessSignals::register(&threads)?;
/// let daemon = Daemon::start(settings, threads, logger)?;
/// let report = daemon.shut_down(std::future::pending());
/// ```
#[derive(Debug)]
pub struct Daemon {
    addresses: DaemonAddresses,
    parts: SharedParts,
    control: ControlThread,
    servers: DaemonServers,
}

impl Daemon {
    /// Binds every listener and starts the control thread. The daemon serves requests on `threads` once
    /// the configuration in force is known.
    ///
    /// # Errors
    /// Returns the fault that prevented the start. Nothing runs then.
    pub fn start(
        settings: DaemonSettings,
        threads: TrafficThreads,
        logger: Logger,
    ) -> DaemonResult<Self> {
        let key_ring = KeyRing::load(&settings.secret_file)?;
        Self::start_with_protocol((settings, threads), DaemonProtocol::default(), key_ring, logger)
    }

    /// Starts a daemon like [`Self::start`], but with a different protocol towards callers,
    /// upstreams and operators.
    ///
    /// # Errors
    /// Returns the fault that prevented the start. Nothing runs then.
    pub fn start_with_protocol(
        (settings, threads): (DaemonSettings, TrafficThreads),
        protocol: DaemonProtocol,
        key_ring: KeyRing,
        logger: Logger,
    ) -> DaemonResult<Self> {
        let DaemonProtocol { dialect, upstreams: upstreams_router, operators: operators_router } =
            protocol;
        let (parts, requests) = SharedParts::new((settings, threads), dialect, key_ring, logger)?;
        let runtime = parts.threads.handle().clone();
        let listeners = runtime.block_on(Listeners::bind(&parts))?;
        let (relayed, accepted) = mpsc::channel(RELAY_QUEUE_DEPTH);
        let relays = Arc::new(parts.relay_server(&listeners.context));
        runtime.spawn(Arc::clone(&relays).run(accepted));
        let control = ControlThread::start(ControlParts {
            settings: parts.settings.clone(),
            caller_address: listeners.addresses.0,
            operator_address: listeners.addresses.2,
            key_ring: parts.key_ring.clone(),
            view: parts.view.clone(),
            schedulers: Arc::clone(&parts.schedulers),
            quota_gate: Arc::clone(&parts.quota_gate),
            quarantine_gate: Arc::clone(&listeners.context.quarantine),
            connections: Arc::clone(&listeners.context.connections),
            requests,
            relayed,
            prober: UpstreamProber::new(
                runtime.clone(),
                Arc::clone(&listeners.context.connections),
            ),
            clock: parts.clock,
            logger: parts.logger.clone(),
        })?;
        let (callers, upstreams, operators) = listeners.addresses;
        let peers = control.peer_address;
        let addresses = DaemonAddresses { callers, upstreams, operators, peers };
        let routers = parts.routers(upstreams_router, operators_router);
        let servers = DaemonServers::start(&parts, listeners, routers, relays);
        runtime.spawn(Arc::clone(&parts.schedulers).run(parts.timer.clone()));
        info!(parts.logger, "listening"; "callers" => %addresses.callers,
            "upstreams" => %addresses.upstreams, "operators" => %addresses.operators,
            "peers" => %addresses.peers);
        Ok(Self { addresses, parts, control, servers })
    }

    /// Returns the addresses on which the daemon listens.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the runtime for tasks that live as long as the daemon.
    #[must_use]
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        self.parts.threads.handle()
    }

    /// Adds addresses of other hosts to the seeds.
    pub fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.parts.handle.tell(ControlRequest::Seeds(seeds));
    }

    /// Takes the spans of the shutdown from settings that have changed since the start.
    pub fn update_grace(&mut self, settings: &DaemonSettings) {
        self.parts.settings.drain_grace = settings.drain_grace;
        self.parts.settings.ready_grace = settings.ready_grace;
    }

    /// Shuts down in an order that loses no requests: the health check turns to not ready and
    /// leadership is handed over, the platform's balancer gets time to notice, the listener stops
    /// accepting, requests in flight finish, and the host leaves the membership. What it takes and refuses
    /// meanwhile, and until when it finishes requests, is decided by [`ShutdownSchedule`].
    ///
    /// `stop_now` ends the wait early. Returns the number of connections that were cut off.
    pub fn shut_down(self, stop_now: impl Future<Output = ()> + Send + 'static) -> usize {
        let Self { parts, control, servers, .. } = self;
        let runtime = parts.threads.handle().clone();
        let began = parts.clock.now();
        let schedule = ShutdownSchedule::new(began, shutdown_terms(&parts.settings));
        info!(parts.logger, "shutdown-began"; "running" => parts.schedulers.running(),
            "takes_ms" => millis(schedule.takes_until().since(began)),
            "ends_ms" => millis(schedule.ends_at().since(began)));
        servers.context.begin_shutdown(schedule);
        servers.relays.begin_drain();
        let cut = runtime.block_on(async {
            let handed_over = hand_over_leadership(&parts.handle);
            parts.timer.run_until(schedule.takes_until(), handed_over).await;
            let mut stop_now = std::pin::pin!(stop_now);
            let must_stop_now = tokio::select! {
                _ = parts.timer.at(schedule.takes_until()) => false,
                () = &mut stop_now => true,
            };
            // A future that has completed must not be polled again. Doing so made the process panic
            // on a second signal during the grace, which cut off all requests without a log line.
            if must_stop_now {
                servers.stop(&parts.schedulers, schedule, std::future::ready(())).await
            } else {
                servers.stop(&parts.schedulers, schedule, stop_now).await
            }
        });
        control.stop();
        parts.threads.stop();
        if cut > 0 {
            warn!(parts.logger, "shutdown-cut"; "connections" => cut);
        }
        info!(parts.logger, "shutdown-ended"; "cut" => cut);
        cut
    }
}

/// The state that several parts of the daemon share.
#[derive(Debug)]
struct SharedParts {
    settings: DaemonSettings,
    clock: ProcessClock,
    key_ring: KeyRing,
    threads: TrafficThreads,
    timer: TimerService,
    handle: ControlHandle,
    view: ViewCell,
    schedulers: Arc<SchedulerSet>,
    quota_gate: Arc<QuotaGate>,
    metrics: ProcessMetrics,
    dialect: HeaderDialect,
    logger: Logger,
}

impl SharedParts {
    fn new(
        (settings, threads): (DaemonSettings, TrafficThreads),
        dialect: HeaderDialect,
        key_ring: KeyRing,
        logger: Logger,
    ) -> DaemonResult<(Self, mpsc::Receiver<ControlRequest>)> {
        let clock = ProcessClock::start();
        let timer = TimerService::start(clock)?;
        let (handle, requests) = ControlHandle::channel(CONTROL_QUEUE_DEPTH);
        let view = ViewCell::new(clock);
        let (host, zone) = (settings.host_id.clone(), settings.zone.clone());
        let schedulers = SchedulerSet::new(host, zone, clock, rand::random())
            .with_retry_allowance(retry_allowance(&settings))
            .with_arrival_probes(rate_from_setting(settings.traffic.arrival_probe_rate))
            .with_control(handle.clone());
        let schedulers = Arc::new(schedulers);
        let quota_gate =
            Arc::new(QuotaGate::new(handle.clone(), clock, settings.traffic.quota_terms()));
        let metrics = ProcessMetrics::new()?;
        let parts = Self {
            settings,
            clock,
            key_ring,
            threads,
            timer,
            handle,
            view,
            schedulers,
            quota_gate,
            metrics,
            dialect,
            logger,
        };
        Ok((parts, requests))
    }

    /// Returns the routers of the listeners: the given ones, or those of the daemon's own protocol.
    fn routers(
        &self,
        upstreams: Option<ProtocolRouter>,
        operators: Option<ProtocolRouter>,
    ) -> DaemonRouters {
        let control = ControlApi::new(self.handle.clone(), self.view.clone());
        let own_upstreams = || {
            let announces = AnnounceApi::new(self.handle.clone(), self.view.clone());
            (announces.router(), AnnounceApi::LIMITS)
        };
        let own_operators = || (self.operator_api().router(), OperatorApi::LIMITS);
        let build = |router: ProtocolRouter| router.build(control.clone());
        DaemonRouters {
            upstreams: upstreams.map_or_else(own_upstreams, build),
            operators: operators.map_or_else(own_operators, build),
        }
    }

    fn operator_api(&self) -> OperatorApi {
        OperatorApi::new(
            self.handle.clone(),
            self.view.clone(),
            self.metrics.clone(),
            Arc::new(self.key_ring.clone()),
            self.logger.clone(),
        )
    }

    fn relay_identity(&self) -> RelayIdentity {
        RelayIdentity {
            host: self.settings.host_id.clone(),
            cluster: self.settings.cluster.clone(),
            key_ring: self.key_ring.clone(),
        }
    }

    fn relay_server(&self, context: &TrafficContext) -> RelayServer {
        RelayServer::new(
            self.relay_identity(),
            Arc::clone(&context.connections),
            self.view.clone(),
            self.timer.clone(),
            self.logger.clone(),
            (self.settings.callers_limit / CALLERS_PER_RELAYED_CONNECTION).max(1),
        )
    }

    fn traffic_context(&self) -> TrafficContext {
        let limits = TrafficLimits {
            caller_connections: self.settings.callers_limit,
            arrival_probes: self.settings.traffic.arrival_probes,
            ..TrafficLimits::default()
        };
        TrafficContext::new(
            self.view.clone(),
            Arc::clone(&self.schedulers),
            self.handle.clone(),
            self.clock,
            self.timer.clone(),
            self.logger.clone(),
        )
        .with_limits(limits)
        .with_quotas(Arc::clone(&self.quota_gate))
        .with_dialect(self.dialect.clone())
        .with_link_rate(self.settings.traffic.link_kbps)
        .with_metrics(self.metrics.clone())
        .with_relays(self.relay_identity(), self.settings.own_address())
        .with_trusted_callers(TrustedCallers {
            addresses: self.settings.trusted_callers.iter().copied().collect(),
        })
    }
}

/// The running servers of the listeners, with the channels that stop them.
#[derive(Debug)]
struct DaemonServers {
    context: Arc<TrafficContext>,
    /// Is sent until when requests in flight are finished.
    stop_callers: watch::Sender<Option<Moment>>,
    stop_apis: watch::Sender<bool>,
    callers: JoinHandle<DrainReport>,
    apis: Vec<JoinHandle<()>>,
    relays: Arc<RelayServer>,
}

impl DaemonServers {
    fn start(
        parts: &SharedParts,
        listeners: Listeners,
        routers: DaemonRouters,
        relays: Arc<RelayServer>,
    ) -> Self {
        let runtime = parts.threads.handle();
        let metrics = parts.metrics.clone();
        let gates = (Arc::clone(&parts.quota_gate), Arc::clone(&listeners.context.quarantine));
        runtime.spawn(record_view_metrics(metrics.clone(), parts.view.clone(), gates));
        let connections = Arc::clone(&listeners.context.connections);
        runtime.spawn(record_path_metrics(metrics.clone(), connections, Arc::clone(&relays)));
        let context = Arc::clone(&listeners.context);
        let (stop_callers, callers_stopped) = watch::channel(None);
        let (stop_apis, apis_stopped) = watch::channel(false);
        let callers = runtime.spawn(listeners.callers.serve(wait_for_drain(callers_stopped)));
        let mut served = vec![
            (listeners.upstreams, routers.upstreams),
            (listeners.operators, routers.operators),
        ];
        if let Some(listener) = listeners.metrics {
            served.push((listener, (metrics_router(metrics), METRICS_LIMITS)));
        }
        let apis = served
            .into_iter()
            .map(|(listener, (router, limits))| {
                let server = ApiServer::new(listener, router, limits, parts.logger.clone());
                runtime.spawn(server.run(wait_for_stop(apis_stopped.clone())))
            })
            .collect();
        Self { context, stop_callers, stop_apis, callers, apis, relays }
    }

    /// Waits for callers' requests to finish, then stops the other listeners. Health checks and
    /// announcements are still needed while requests run. Returns the number of connections that
    /// were cut off.
    async fn stop(
        self,
        schedulers: &SchedulerSet,
        schedule: ShutdownSchedule,
        stop_now: impl Future<Output = ()>,
    ) -> usize {
        let _ = self.stop_callers.send(Some(schedule.ends_at()));
        let relays_drained = self.relays.wait_drained(schedule.ends_at());
        let cut = tokio::select! {
            (report, ()) = futures::future::join(self.callers, relays_drained) => {
                report.map_or(0, |report| report.connections.max(report.requests))
            }
            () = stop_now => schedulers.running(),
        };
        self.relays.abort_all();
        let _ = self.stop_apis.send(true);
        for api in self.apis {
            let _ = api.await;
        }
        cut
    }
}

/// The routers of the listeners, with their limits.
struct DaemonRouters {
    upstreams: (Router, ApiLimits),
    operators: (Router, ApiLimits),
}

struct Listeners {
    context: Arc<TrafficContext>,
    callers: CallerListener,
    upstreams: TcpListener,
    operators: TcpListener,
    metrics: Option<TcpListener>,
    addresses: (SocketAddr, SocketAddr, SocketAddr),
}

impl Listeners {
    async fn bind(parts: &SharedParts) -> DaemonResult<Self> {
        let settings = &parts.settings;
        let context = Arc::new(parts.traffic_context());
        let fault = |which, address| move |fault| DaemonFault::Listen { which, address, fault };
        let callers = CallerListener::bind(settings.callers_listen, Arc::clone(&context))
            .await
            .map_err(fault("callers'", settings.callers_listen))?;
        let upstreams = TcpListener::bind(settings.upstreams_listen)
            .await
            .map_err(fault("upstreams'", settings.upstreams_listen))?;
        let operators = TcpListener::bind(settings.operators_listen)
            .await
            .map_err(fault("operators'", settings.operators_listen))?;
        let metrics = match settings.metrics_listen {
            Some(address) => {
                let bound = TcpListener::bind(address).await;
                Some(bound.map_err(fault("metrics'", address))?)
            }
            None => None,
        };
        let addresses = (callers.local_addr()?, upstreams.local_addr()?, operators.local_addr()?);
        Ok(Self { context, callers, upstreams, operators, metrics, addresses })
    }
}

/// Returns the spans of a shutdown. By default the platform's balancer has a fifth of the drain grace to
/// notice that the host is not ready, but at most 3 s: it usually needs three checks, one second apart.
fn shutdown_terms(settings: &DaemonSettings) -> ShutdownTerms {
    let usual_notice = (settings.drain_grace / 5).min(Duration::from_secs(3));
    ShutdownTerms {
        notice: settings.ready_grace.unwrap_or(usual_notice),
        drain: settings.drain_grace,
        link_kbps: settings.traffic.link_kbps,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn retry_allowance(settings: &DaemonSettings) -> Option<RetryAllowance> {
    let percent = settings.traffic.retry_percent;
    settings.traffic.retry_allowance.map(|extra| RetryAllowance { percent, extra })
}

#[expect(clippy::cast_precision_loss, reason = "the setting is at most a thousand")]
fn rate_from_setting(setting: usize) -> f32 {
    setting as f32
}

/// Returns the router of the metrics' listener. It needs no key, because the metrics hold no data
/// of callers and are collected by operators' tools.
fn metrics_router(metrics: ProcessMetrics) -> Router {
    let render = move || async move {
        ([(CONTENT_TYPE, ProcessMetrics::CONTENT_TYPE)], metrics.render()).into_response()
    };
    Router::new().route("/metrics", get(render))
}

/// Waits for the end of the notice. Returns until when requests in flight are finished.
async fn wait_for_drain(mut stopped: watch::Receiver<Option<Moment>>) -> Moment {
    let ends_at = stopped.wait_for(Option::is_some).await;
    ends_at.ok().and_then(|ends_at| *ends_at).unwrap_or_default()
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stop| *stop).await;
}

async fn record_view_metrics(
    metrics: ProcessMetrics,
    view: ViewCell,
    (quota_gate, quarantine_gate): (Arc<QuotaGate>, Arc<QuarantineGate>),
) {
    loop {
        let current = view.load();
        metrics.record_view(current.version.0, view.readiness() == HostReadiness::Ready);
        metrics.record_awaited_version(current.awaited_version);
        metrics.record_zones(current.evacuated.zones.len(), current.evacuated_upstreams());
        let (counts, isolated_admissions) = quota_gate.counts();
        metrics.record_quotas(counts, isolated_admissions);
        metrics.record_contents(quarantine_gate.counts());
        tokio::time::sleep(METRICS_INTERVAL).await;
    }
}

async fn record_path_metrics(
    metrics: ProcessMetrics,
    connections: Arc<UpstreamConnections>,
    relays: Arc<RelayServer>,
) {
    loop {
        let (survey, is_cut_off) = (connections.path_survey(), connections.is_cut_off());
        metrics.record_paths(survey, is_cut_off, relays.open_connections());
        tokio::time::sleep(METRICS_INTERVAL).await;
    }
}
