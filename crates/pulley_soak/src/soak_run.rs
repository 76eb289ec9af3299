//! One soak run: an installation with its callers, upstreams and operator, and the faults of one
//! seed.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use crate::soak_caller::{run_caller, send_ending_request};
use crate::soak_operator::{KEY, VersionState, apply_changes, monitor_entry};
use crate::soak_organisations::CallerPhases;
use crate::soak_upstream::{EndingWay, SoakUpstream};
use crate::stall_watch::{StallWatch, log_fault};
use crate::{
    DaemonProcess, FaultMix, FaultSchedule, HostCuts, ProxyMode, RequestHistory, ScheduledFault,
    SoakFault, SoakFinding,
};

/// Timeout for a new installation to serve its first requests.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How long after a disturbance an entry may take to recover.
const RECOVERY_SPAN: Duration = Duration::from_secs(4);

/// Time limit of a daemon's drain at shutdown. A process that runs for twice this time is killed.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// The same where some work takes longer than a shutdown.
const SHORT_DRAIN_GRACE: Duration = Duration::from_secs(1);

/// The time before the drain, in which a balancer notices that a daemon shuts down.
const READY_GRACE: Duration = Duration::from_millis(300);

/// The rate of the daemons' links where some work takes longer than a shutdown. It is too slow for
/// them to take requests that may outlast them.
const SLOW_LINK_KBPS: &str = "20000";

/// How long an upstream continues to serve after it has announced that it drains.
const DRAIN_SPAN: Duration = Duration::from_secs(5);

/// Minimum fraction of requests that must succeed. A run in which almost nothing succeeds would
/// check almost nothing.
const MIN_SUCCESS_RATIO: f64 = 0.2;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The seed of the schedule of faults.
    pub seed: u64,
    /// How long the run lasts.
    pub span: Duration,
    /// Number of daemons that are replicas. All of them are also entries.
    pub replicas: usize,
    /// Number of daemons that are only entries.
    pub entries: usize,
    /// Number of stand-in upstreams.
    pub upstreams: usize,
    /// Number of callers. Each sends one request at a time.
    pub callers: usize,
    /// Which faults the run has.
    pub mix: FaultMix,
    /// Path of the daemon's executable.
    pub program: PathBuf,
}

impl SoakSettings {
    /// Returns the time limit of a daemon's drain at shutdown.
    fn drain_grace(&self) -> Duration {
        if self.mix == FaultMix::Shutdowns { SHORT_DRAIN_GRACE } else { DRAIN_GRACE }
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// The violations of guarantees.
    pub findings: Vec<SoakFinding>,
    /// Numbers of requests sent, and of requests that succeeded.
    pub counts: (usize, usize),
    /// The newest accepted version.
    pub versions: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of times that the machine kept a daemon from running. Each counts as its outage.
    pub stalls: usize,
    /// The daemons' logs and data. The folder is deleted when this is dropped, unless it is kept.
    pub folder: TempDir,
}

type SharedDaemon = Arc<Mutex<DaemonProcess>>;

/// A run in progress.
pub struct SoakRun {
    settings: SoakSettings,
    folder: TempDir,
    history: Arc<RequestHistory>,
    versions: Arc<VersionState>,
    stopped: Arc<AtomicBool>,
    daemons: Vec<SharedDaemon>,
    upstreams: Vec<Arc<tokio::sync::Mutex<SoakUpstream>>>,
    cuts: HostCuts,
    /// Number of contents sent so far that end upstreams.
    ending_contents: u32,
    tasks: JoinSet<()>,
    faults: JoinSet<()>,
    /// Restarts upstreams until the run ends.
    restarts: JoinSet<()>,
}

impl SoakRun {
    /// Executes a run from start to end.
    ///
    /// # Errors
    /// If the installation cannot be started.
    pub async fn execute(settings: SoakSettings) -> Result<SoakReport> {
        let mut run = Self::start(settings).await?;
        let sizes = (run.daemons.len(), run.settings.replicas, run.upstreams.len());
        let SoakSettings { seed, span, mix, .. } = run.settings;
        let schedule = FaultSchedule::draw(seed, span, sizes, mix);
        let watch = StallWatch {
            daemons: run.daemons.clone(),
            folder: run.folder.path().to_owned(),
            history: Arc::clone(&run.history),
        };
        let watching = tokio::spawn(watch.run(Arc::clone(&run.stopped)));
        let began = Instant::now();
        for ScheduledFault { at, fault } in &schedule.0 {
            tokio::time::sleep((*at).saturating_sub(began.elapsed())).await;
            run.inject(*fault);
        }
        tokio::time::sleep(run.settings.span.saturating_sub(began.elapsed())).await;
        run.finish(schedule.0.len(), watching).await
    }

    async fn start(settings: SoakSettings) -> Result<Self> {
        let folder = TempDir::new()?;
        let daemons = start_daemons(&settings, &folder)?;
        let addresses = |kind: usize| -> Arc<[SocketAddr]> {
            daemons.iter().map(|daemon| daemon.lock().addresses[kind]).collect()
        };
        let (callers, announce, operators) = (addresses(0), addresses(1), addresses(2));
        let history = Arc::new(RequestHistory::default());
        history.set_replicas(settings.replicas);
        history.set_stop_span(READY_GRACE + settings.drain_grace());
        let (versions, stopped) = (Arc::new(VersionState::default()), Arc::default());
        let (mut upstreams, cuts) = (Vec::new(), HostCuts::default());
        let (ended, endings) = mpsc::unbounded_channel();
        for index in 0..settings.upstreams {
            let announce = Arc::clone(&announce);
            let told = (Arc::clone(&history), ended.clone());
            let mut upstream = SoakUpstream::start(index, announce, told, &cuts).await?;
            if settings.mix == FaultMix::Shutdowns {
                upstream.begin_long_work();
            }
            upstreams.push(Arc::new(tokio::sync::Mutex::new(upstream)));
        }
        let (tasks, faults, restarts) = (JoinSet::new(), JoinSet::new(), JoinSet::new());
        let mut run = Self {
            settings,
            folder,
            history,
            versions,
            stopped,
            daemons,
            upstreams,
            cuts,
            ending_contents: 0,
            tasks,
            faults,
            restarts,
        };
        let began = Instant::now();
        run.spawn_restarts(endings);
        run.spawn_tasks(&callers, &operators);
        run.await_service().await?;
        for host in 0..run.daemons.len() {
            run.history.record_outage(host, began, Instant::now());
        }
        Ok(run)
    }

    /// Ends the upstreams that requests end, and starts others in their place.
    fn spawn_restarts(&mut self, mut endings: mpsc::UnboundedReceiver<(usize, EndingWay)>) {
        let (upstreams, history) = (self.upstreams.clone(), Arc::clone(&self.history));
        self.restarts.spawn(async move {
            while let Some((index, way)) = endings.recv().await {
                let (upstream, history) = (Arc::clone(&upstreams[index]), Arc::clone(&history));
                tokio::spawn(async move { end_upstream(&upstream, way, &history).await });
            }
        });
    }

    fn spawn_tasks(&mut self, callers: &Arc<[SocketAddr]>, operators: &Arc<[SocketAddr]>) {
        let stopped = || Arc::clone(&self.stopped);
        let history = || Arc::clone(&self.history);
        let versions = || Arc::clone(&self.versions);
        self.tasks.spawn(apply_changes(Arc::clone(operators), versions(), history(), stopped()));
        for entry in callers.iter().copied().enumerate() {
            self.tasks.spawn(monitor_entry(entry, versions(), history(), stopped()));
        }
        for number in 0..self.settings.callers {
            let seed = self.settings.seed ^ (number as u64) << 32;
            let phases = CallerPhases::draw(self.settings.seed, number);
            let callers = Arc::clone(callers);
            let calls = run_caller(callers, history(), seed, phases, stopped());
            self.tasks.spawn(calls);
        }
    }

    async fn await_service(&self) -> Result<()> {
        let began = Instant::now();
        while self.history.counts().1 < 10 {
            if began.elapsed() > START_LIMIT {
                bail!("the installation does not serve");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn finish(mut self, faults: usize, watching: JoinHandle<usize>) -> Result<SoakReport> {
        while self.faults.join_next().await.is_some() {}
        self.stopped.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let stalls = watching.await?;
        let counts = self.history.counts();
        let mut findings = self.history.findings();
        findings.extend(self.daemon_findings());
        if (counts.1 as f64) < MIN_SUCCESS_RATIO * counts.0 as f64 {
            let observed = format!("{} of {} requests succeeded", counts.1, counts.0);
            findings.push(SoakFinding { guarantee: "it serves", observed });
        }
        let versions = self.versions.accepted().map_or(0, |(version, _)| version);
        self.upstreams.clear();
        Ok(SoakReport { findings, counts, versions, faults, stalls, folder: self.folder })
    }

    /// Returns findings for daemons that ended unexpectedly or panicked.
    fn daemon_findings(&self) -> Vec<SoakFinding> {
        let mut findings = Vec::new();
        for daemon in &self.daemons {
            let mut daemon = daemon.lock();
            if daemon.has_failed() {
                let observed = format!("{} has ended", daemon.host);
                findings.push(SoakFinding { guarantee: "a daemon runs on", observed });
            }
            let log = daemon.log();
            for line in log.lines().filter(|line| line.contains("panicked at")) {
                let observed = format!("{}: {line}", daemon.host);
                findings.push(SoakFinding { guarantee: "nothing panics", observed });
            }
        }
        findings
    }

    // ---------------------------------------------------------------------------------------------
    // Faults

    /// Injects a fault. Its later steps run in a background task.
    fn inject(&mut self, fault: SoakFault) {
        log_fault(self.folder.path(), &format!("{fault:?}"));
        match fault {
            SoakFault::Kill { host, down } => self.kill(&[host], down, false),
            SoakFault::KillAll { down } => {
                let all: Vec<usize> = (0..self.daemons.len()).collect();
                self.kill(&all, down, false);
            }
            SoakFault::Wipe { host } => self.kill(&[host], Duration::from_millis(500), true),
            SoakFault::Stop { host } => self.stop(host),
            SoakFault::Pause { host, span } => self.pause(host, span),
            SoakFault::Reload { host } => self.daemons[host].lock().signal(Signal::SIGHUP),
            SoakFault::Proxy { upstream, mode, span } => self.disturb(upstream, mode, span),
            SoakFault::Drain { upstream } => self.drain(upstream),
            SoakFault::Crash { upstream, down } => self.crash(upstream, down),
            SoakFault::Limit { upstream, tenths, span } => self.limit(upstream, tenths, span),
            SoakFault::Rest { upstream, rest, span } => self.rest(upstream, rest, span),
            SoakFault::Leave { upstream } => self.leave(upstream),
            SoakFault::CutOff { host, mode, span } => self.cut_off(host, mode, span),
            SoakFault::End { upstream } => {
                let (upstream, history) =
                    (Arc::clone(&self.upstreams[upstream]), Arc::clone(&self.history));
                self.faults.spawn(async move {
                    end_upstream(&upstream, EndingWay::Refuse, &history).await;
                });
            }
            SoakFault::EndingCalls { callers, pause } => self.send_ending_calls(callers, pause),
            SoakFault::ChangeBurst { changes } => {
                self.versions.extra_changes.fetch_add(changes, Ordering::Relaxed);
            }
        }
    }

    /// Records that a daemon is disturbed. If it is a replica, all daemons may be disturbed by
    /// that.
    fn record_disturbance(&self, host: usize, span: Duration) {
        let now = Instant::now();
        let until = now + span + RECOVERY_SPAN;
        self.history.record_entry_fault(host, now, until);
        let others = if host < self.settings.replicas { self.daemons.len() } else { 0 };
        for entry in (0..others).chain([host]) {
            self.history.record_disturbance(entry, now, until);
        }
    }

    /// Records a finding if a daemon has ended unexpectedly. Called before it is stopped or
    /// restarted.
    fn record_unexpected_end(&self, host: usize) {
        let mut daemon = self.daemons[host].lock();
        if daemon.has_failed() {
            self.history.record_finding("a daemon runs on", format!("{} has ended", daemon.host));
        }
    }

    fn kill(&mut self, hosts: &[usize], down: Duration, wipes: bool) {
        for host in hosts {
            self.record_unexpected_end(*host);
            self.record_disturbance(*host, down);
            if wipes {
                self.history.record_wipe(*host, Instant::now());
            }
            let daemon = Arc::clone(&self.daemons[*host]);
            let history = Arc::clone(&self.history);
            let (host, began) = (*host, Instant::now());
            daemon.lock().kill();
            self.faults.spawn(async move {
                tokio::time::sleep(down).await;
                let restarted = tokio::task::spawn_blocking(move || {
                    let mut daemon = daemon.lock();
                    if wipes {
                        daemon.wipe();
                    }
                    daemon.restart()
                });
                record_failed_start(&history, restarted.await);
                history.record_outage(host, began, Instant::now());
            });
        }
    }

    fn stop(&mut self, host: usize) {
        self.record_unexpected_end(host);
        let daemon = Arc::clone(&self.daemons[host]);
        let history = Arc::clone(&self.history);
        if daemon.lock().stop() {
            // A second signal ends the daemon's drain early, as documented for operators, and may
            // abort requests.
            self.record_disturbance(host, Duration::ZERO);
        } else {
            self.history.record_stop(host);
        }
        let (count, replicas) = (self.daemons.len(), self.settings.replicas);
        let began = Instant::now();
        self.faults.spawn(async move {
            while daemon.lock().is_running() && began.elapsed() < DRAIN_GRACE * 2 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            // The daemon counts as disturbed from its end on. Requests in flight before that had to
            // be answered.
            let (now, until) = (Instant::now(), Instant::now() + RECOVERY_SPAN);
            history.record_entry_fault(host, began, until);
            let others = if host < replicas { count } else { 0 };
            for entry in (0..others).chain([host]) {
                history.record_disturbance(entry, now, until);
            }
            let restarted = tokio::task::spawn_blocking(move || {
                let mut daemon = daemon.lock();
                daemon.kill();
                daemon.restart()
            });
            record_failed_start(&history, restarted.await);
            history.record_outage(host, began, Instant::now());
        });
    }

    fn pause(&mut self, host: usize, span: Duration) {
        self.record_disturbance(host, span);
        let daemon = Arc::clone(&self.daemons[host]);
        let history = Arc::clone(&self.history);
        let began = Instant::now();
        daemon.lock().signal(Signal::SIGSTOP);
        self.faults.spawn(async move {
            tokio::time::sleep(span).await;
            daemon.lock().signal(Signal::SIGCONT);
            history.record_outage(host, began, Instant::now());
        });
    }

    fn disturb(&mut self, upstream: usize, mode: ProxyMode, span: Duration) {
        // A connection that has dropped bytes stays silent until one of its ends closes it.
        let lasts = span + Duration::from_secs(4);
        self.history.record_upstream_fault(Instant::now(), Instant::now() + lasts);
        self.history.record_path_fault(upstream, Instant::now(), Instant::now() + lasts);
        let upstream = Arc::clone(&self.upstreams[upstream]);
        self.faults.spawn(async move {
            upstream.lock().await.proxy.set(mode);
            tokio::time::sleep(span).await;
            upstream.lock().await.proxy.set(ProxyMode::Pass);
        });
    }

    fn cut_off(&mut self, host: usize, mode: ProxyMode, span: Duration) {
        let now = Instant::now();
        self.history.record_cut(host, now, now + span);
        let ip = self.daemons[host].lock().addresses[3].ip();
        let cuts = self.cuts.clone();
        self.faults.spawn(async move {
            cuts.cut(ip, mode);
            tokio::time::sleep(span).await;
            cuts.heal(ip);
        });
    }

    fn drain(&mut self, upstream: usize) {
        let upstream = Arc::clone(&self.upstreams[upstream]);
        let history = Arc::clone(&self.history);
        self.faults.spawn(async move {
            if upstream.lock().await.drain().is_none() {
                return;
            }
            tokio::time::sleep(DRAIN_SPAN).await;
            history.record_upstream_fault(Instant::now(), Instant::now() + Duration::from_secs(1));
            let _ = upstream.lock().await.launch().await;
        });
    }

    /// Sends one content that ends upstreams from several callers.
    fn send_ending_calls(&mut self, callers: u32, pause: Duration) {
        let entries: Arc<[SocketAddr]> =
            self.daemons.iter().map(|daemon| daemon.lock().addresses[0]).collect();
        self.ending_contents += 1;
        let way = EndingWay::of_number(self.ending_contents);
        let content = format!("c{}-{}", self.ending_contents, way.name());
        for caller in 0..callers {
            let (entries, history) = (Arc::clone(&entries), Arc::clone(&self.history));
            let content = content.clone();
            self.faults.spawn(async move {
                tokio::time::sleep(pause * caller).await;
                send_ending_request(&entries, &history, &content, caller as usize).await;
            });
        }
    }

    fn limit(&mut self, upstream: usize, tenths: u32, span: Duration) {
        let upstream = Arc::clone(&self.upstreams[upstream]);
        self.faults.spawn(async move {
            upstream.lock().await.name_limit(Some(tenths));
            tokio::time::sleep(span).await;
            upstream.lock().await.name_limit(None);
        });
    }

    fn rest(&mut self, upstream: usize, rest: Duration, span: Duration) {
        let upstream = Arc::clone(&self.upstreams[upstream]);
        self.faults.spawn(async move {
            upstream.lock().await.ask_rest(Some(rest));
            tokio::time::sleep(span).await;
            upstream.lock().await.ask_rest(None);
        });
    }

    fn leave(&mut self, upstream: usize) {
        let upstream = Arc::clone(&self.upstreams[upstream]);
        let history = Arc::clone(&self.history);
        self.faults.spawn(async move {
            upstream.lock().await.leave();
            tokio::time::sleep(DRAIN_SPAN).await;
            history.record_upstream_fault(Instant::now(), Instant::now() + Duration::from_secs(1));
            let _ = upstream.lock().await.launch().await;
        });
    }

    fn crash(&mut self, upstream: usize, down: Duration) {
        let until = Instant::now() + down + Duration::from_secs(1);
        self.history.record_upstream_fault(Instant::now(), until);
        let upstream = Arc::clone(&self.upstreams[upstream]);
        self.faults.spawn(async move {
            upstream.lock().await.crash();
            tokio::time::sleep(down).await;
            let _ = upstream.lock().await.launch().await;
        });
    }
}

/// Ends an upstream in a way, and starts another in its place later.
async fn end_upstream(
    upstream: &tokio::sync::Mutex<SoakUpstream>,
    way: EndingWay,
    history: &RequestHistory,
) {
    let until = Instant::now() + way.span() + Duration::from_secs(1);
    history.record_upstream_fault(Instant::now(), until);
    upstream.lock().await.end(way);
    tokio::time::sleep(way.span()).await;
    upstream.lock().await.launch_again().await;
}

fn record_failed_start(
    history: &RequestHistory,
    restarted: std::result::Result<Result<()>, tokio::task::JoinError>,
) {
    if let Ok(Err(fault)) = restarted {
        history.record_finding("a daemon starts again", format!("{fault:#}"));
    }
}

fn start_daemons(settings: &SoakSettings, folder: &TempDir) -> Result<Vec<SharedDaemon>> {
    let secret = folder.path().join("secret");
    fs::write(&secret, format!("{KEY}\n"))?;
    let founders: Vec<String> = (1..=settings.replicas).map(|n| format!("h{n}=m{n}")).collect();
    let mut daemons: Vec<DaemonProcess> = Vec::new();
    for number in 1..=settings.replicas + settings.entries {
        let roles = if number <= settings.replicas { "entry,replica" } else { "entry" };
        let mut flags = Vec::new();
        for (name, value) in [
            ("--zone", "z1"),
            ("--cluster", "soak"),
            ("--roles", roles),
            ("--replicas", founders.join(",").as_str()),
            ("--replica-growth", "yes"),
            ("--drain-grace", format!("{}ms", settings.drain_grace().as_millis()).as_str()),
            ("--ready-grace", format!("{}ms", READY_GRACE.as_millis()).as_str()),
            ("--traffic-threads", "1"),
            // What quota_check.rs allows.
            ("--quota-window", "5"),
            ("--quota-overage", "10"),
            ("--quota-tolerance", "10"),
        ] {
            flags.extend([name.to_owned(), value.to_owned()]);
        }
        if settings.mix == FaultMix::Shutdowns {
            flags.extend(["--link-kbps".to_owned(), SLOW_LINK_KBPS.to_owned()]);
        }
        flags.extend(["--secret-file".to_owned(), secret.display().to_string()]);
        if let Some(first) = daemons.first() {
            flags.extend(["--seeds".to_owned(), first.addresses[3].to_string()]);
        }
        let host = format!("h{number}");
        daemons.push(DaemonProcess::start(&host, &settings.program, folder.path(), flags)?);
    }
    let seeds: Vec<String> =
        daemons.iter().take(3).map(|daemon| daemon.addresses[3].to_string()).collect();
    for daemon in &mut daemons {
        daemon.set_flag("--seeds", &seeds.join(","));
    }
    Ok(daemons.into_iter().map(|daemon| Arc::new(Mutex::new(daemon))).collect())
}
