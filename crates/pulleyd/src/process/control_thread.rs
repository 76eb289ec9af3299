//! The control thread, which owns the control state of the host with its sockets, disk and timers.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::Moment;
use pulley_core::process::{HostRoles, MemberIncarnation, MemberRecord, ProbeOutcome};
use pulley_core::version::{AuditRead, DriverInput, PersistBatch};
use slog::{Logger, error, info, warn};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use super::control_core::{ControlCore, ControlOutput, CoreParts, TransportCounts};
use super::control_counts::ProbeReport;
use super::control_handle::ControlRequest;
use super::control_inbox::{ControlEvent, ControlInbox};
use super::control_log::ControlLog;
use super::replica_opener::{ReplicaDisk, ReplicaOpener};
use super::{DaemonSettings, ProcessClock, ViewCell};
use crate::connection::{
    DatagramSeal, FrameClass, InboundDatagram, InboundFrame, KeyRing, LinkSettings, PeerDatagrams,
    PeerLinks, UpstreamConnections, UpstreamProber,
};
use crate::request::{QuarantineGate, QuotaGate, SchedulerSet};
use crate::version::StorageFault;

/// The maximum number of messages of each kind that wait for the control thread. Further datagrams
/// are dropped, and later ones replace them. Links have to wait instead.
const QUEUE_DEPTH: usize = 4_096;

/// The longest sleep of the control thread.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

/// Bytes in a kilobit.
const BYTES_PER_KBIT: f64 = 125.0;
/// The interval at which the secret file is checked for changed keys.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The delay before a full disk is tried again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of events between two ticks, so that a flood of messages cannot delay
/// heartbeats.
const EVENT_BURST: usize = 64;

/// Why the control thread could not start.
#[derive(Debug, Error)]
pub enum ControlStartFault {
    /// The peers' address could not be bound.
    #[error("the peers' listener: {0}")]
    Listen(#[from] io::Error),
    /// The data folder could not be opened.
    #[error("the data folder: {0}")]
    Storage(#[from] StorageFault),
}

/// Result of starting the control thread.
pub type StartResult<T> = Result<T, ControlStartFault>;

/// The parts with which the control thread is started.
#[derive(Debug)]
pub struct ControlParts {
    /// The daemon's settings.
    pub settings: DaemonSettings,
    /// The bound address for callers.
    pub caller_address: SocketAddr,
    /// The bound address for operators.
    pub operator_address: SocketAddr,
    /// The keys of the installation.
    pub key_ring: KeyRing,
    /// The cell in which the control thread publishes its view.
    pub view: ViewCell,
    /// The schedulers whose counts it exchanges with other hosts.
    pub schedulers: Arc<SchedulerSet>,
    /// The gate to which it passes verdicts on quotas.
    pub quota_gate: Arc<QuotaGate>,
    /// The gate to which it passes what is known of suspected contents.
    pub quarantine_gate: Arc<QuarantineGate>,
    /// The connections to upstreams, which show which of them answer.
    pub connections: Arc<UpstreamConnections>,
    /// The requests of the traffic side and the operators.
    pub requests: mpsc::Receiver<ControlRequest>,
    /// Passes on connections that other hosts want to have relayed.
    pub relayed: mpsc::Sender<std::net::TcpStream>,
    /// Probes upstreams for their load, on the traffic threads.
    pub prober: UpstreamProber,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The event log.
    pub logger: Logger,
}

/// The running control thread.
#[derive(Debug)]
pub struct ControlThread {
    /// The address at which other hosts reach this one.
    pub peer_address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Opens the data folder and the peers' sockets, then runs until [`Self::stop`].
    ///
    /// # Errors
    /// Returns the fault that prevented the start. Nothing runs then.
    pub fn start(parts: ControlParts) -> StartResult<Self> {
        let (stop, stopped) = watch::channel(false);
        let (started, start) = std::sync::mpsc::sync_channel(1);
        let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => {
                    LocalSet::new().block_on(&runtime, run(parts, stopped, started));
                }
                Err(fault) => drop(started.send(Err(fault.into()))),
            }
        })?;
        let ended = || io::Error::other("the control thread ended while it started");
        let peer_address = start.recv().map_err(|_| ended())??;
        Ok(Self { peer_address, stop, thread })
    }

    /// Leaves the membership, closes the data folder and ends the thread.
    pub fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.thread.join();
    }
}

struct ControlLoop {
    core: ControlCore,
    links: PeerLinks,
    datagrams: PeerDatagrams,
    opener: ReplicaOpener,
    disk: Option<ReplicaDisk>,
    /// When to open the data folder again after its disk was full.
    reopen_at: Option<Moment>,
    clock: ProcessClock,
    logger: Logger,
    key_ring: KeyRing,
    prober: UpstreamProber,
    probed: mpsc::Sender<ProbeReport>,
    /// The members' change count when the links were last given the members' addresses.
    linked_members: u64,
    log: ControlLog,
    next_key_check: Moment,
}

async fn run(
    parts: ControlParts,
    mut stopped: watch::Receiver<bool>,
    started: std::sync::mpsc::SyncSender<StartResult<SocketAddr>>,
) {
    let (mut control, mut inbox) = match open(parts).await {
        Ok(opened) => opened,
        Err(fault) => {
            let _ = started.send(Err(fault));
            return;
        }
    };
    let _ = started.send(Ok(control.links.local_address()));
    loop {
        control.run_upkeep();
        control.reopen_full_disk(&mut inbox);
        let due = control.core.next_wakeup().min(control.clock.now() + LONGEST_SLEEP);
        let wake = tokio::time::Instant::from_std(control.clock.instant_at(due));
        tokio::select! {
            biased;
            _ = stopped.changed() => break,
            () = tokio::time::sleep_until(wake) => {}
            () = control.next_event(&mut inbox) => {}
        }
        let now = control.clock.now();
        let outputs = control.core.tick(now);
        control.execute(outputs);
    }
    let outputs = control.core.leave(control.clock.now());
    control.execute(outputs);
}

async fn open(parts: ControlParts) -> StartResult<(ControlLoop, ControlInbox)> {
    let settings = &parts.settings;
    let (frame_sender, frames) = mpsc::channel(QUEUE_DEPTH);
    let (datagram_sender, datagrams_in) = mpsc::channel(QUEUE_DEPTH);
    let (probe_sender, probes) = mpsc::channel(QUEUE_DEPTH);
    let (links, datagrams) = open_sockets(&parts, frame_sender, datagram_sender).await?;
    let seed = rand::random();
    let now = parts.clock.now();
    let opener = ReplicaOpener::new(settings, parts.clock, parts.logger.clone());
    let (replica, disk, directory, stored) = match opener.open(now)? {
        Some(open) => (Some(open.driver), Some(open.disk), open.directory, open.stored),
        None => (None, None, None, mpsc::unbounded_channel().1),
    };
    let own = own_record(&parts, links.local_address());
    info!(parts.logger, "control-started"; "peers" => %own.peer_address, "replica" => replica.is_some(),
        "after_us" => parts.clock.now().micros());
    let core = ControlCore::new(CoreParts {
        own,
        seeds: settings.seeds.clone(),
        replica,
        directory,
        founders: settings.replicas.iter().map(|founder| founder.host.clone()).collect(),
        view: parts.view,
        schedulers: parts.schedulers,
        quota_gate: parts.quota_gate,
        quarantine_gate: parts.quarantine_gate,
        connections: parts.connections,
        quota_terms: settings.traffic.quota_terms(),
        key_lease: settings.traffic.key_lease,
        share_counts: settings.share_counts,
        upstream_lease: settings.traffic.upstream_lease,
        serves_without_quorum: settings.traffic.serves_without_quorum,
        link_rate: settings.traffic.link_kbps.map(|rate| f64::from(rate) * BYTES_PER_KBIT),
        seed,
    });
    let log = ControlLog::new(parts.logger.clone(), now);
    let control = ControlLoop {
        core,
        links,
        datagrams,
        opener,
        disk,
        reopen_at: None,
        clock: parts.clock,
        logger: parts.logger,
        key_ring: parts.key_ring,
        prober: parts.prober,
        probed: probe_sender,
        linked_members: u64::MAX,
        log,
        next_key_check: now + KEY_CHECK_INTERVAL,
    };
    let requests = parts.requests;
    let inbox = ControlInbox { requests, frames, datagrams: datagrams_in, stored, probes };
    Ok((control, inbox))
}

async fn open_sockets(
    parts: &ControlParts,
    frames: mpsc::Sender<InboundFrame>,
    datagrams: mpsc::Sender<InboundDatagram>,
) -> StartResult<(PeerLinks, PeerDatagrams)> {
    let ControlParts { settings, key_ring, .. } = parts;
    let host = settings.host_id.clone();
    let cluster = settings.cluster.clone();
    let listen = settings.peers_listen;
    let mut link_settings =
        LinkSettings::new(host.clone(), cluster.clone(), listen, key_ring.clone())
            .with_process_id(rand::random())
            .with_relayed(parts.relayed.clone());
    let own: IpAddr = settings.own_address();
    if !own.is_unspecified() {
        link_settings = link_settings.with_bind_ip(own);
    }
    let links = PeerLinks::start(link_settings, frames).await?;
    let seal = DatagramSeal::new(host, cluster, key_ring.clone());
    let sockets = PeerDatagrams::bind(links.local_address(), seal, datagrams).await?;
    Ok((links, sockets))
}

fn own_record(parts: &ControlParts, peer_address: SocketAddr) -> MemberRecord {
    let settings = &parts.settings;
    MemberRecord {
        host: settings.host_id.clone(),
        zone: settings.zone.clone(),
        incarnation: MemberIncarnation(ProcessClock::unix_ms()),
        peer_address,
        caller_address: parts.caller_address,
        operator_address: parts.operator_address,
        roles: HostRoles { entry: settings.roles.entry, replica: settings.roles.replica },
    }
}

/// Whether messages of a class are sent in datagrams of their own. Hosts of earlier builds don't know
/// these classes, and reject datagrams that contain them.
const fn is_alone(class: FrameClass) -> bool {
    matches!(class, FrameClass::Limits | FrameClass::Quotas | FrameClass::Quarantine)
}

/// Removes and returns the next output if it is a datagram to the same host, so that one datagram
/// carries both.
fn take_same(
    outputs: &mut VecDeque<ControlOutput>,
    host: SocketAddr,
) -> Option<(FrameClass, Bytes)> {
    let is_same = |output: &mut ControlOutput| {
        matches!(output, ControlOutput::Datagram { to, class, .. }
            if *to == host && !is_alone(*class))
    };
    match outputs.pop_front_if(is_same) {
        Some(ControlOutput::Datagram { class, body, .. }) => Some((class, body)),
        _ => None,
    }
}

impl ControlLoop {
    /// Waits for an event, then handles it and those already queued, up to [`EVENT_BURST`] in all.
    async fn next_event(&mut self, inbox: &mut ControlInbox) {
        let first = inbox.wait().await;
        self.handle(first);
        for _ in 1..EVENT_BURST {
            let Some(event) = inbox.poll() else { break };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        let outputs = match event {
            ControlEvent::Request(request) => {
                if matches!(request, ControlRequest::Status(_)) {
                    self.core.record_transport(TransportCounts {
                        datagrams: self.datagrams.counts(),
                        links: self.links.counts(),
                    });
                }
                self.core.request(now, request)
            }
            ControlEvent::Frame(frame) => {
                self.core.frame(now, &frame.from, frame.class, frame.body)
            }
            ControlEvent::Datagram(datagram) => self.core.datagram_in(
                now,
                &datagram.sender,
                datagram.from,
                datagram.class,
                &datagram.body,
            ),
            ControlEvent::Stored(input) => self.core.stored(now, input),
            ControlEvent::Probed(report) => {
                self.core.handle_probe(now, &report);
                Vec::new()
            }
            ControlEvent::Closed => Vec::new(),
        };
        self.execute(outputs);
    }

    fn execute(&mut self, outputs: Vec<ControlOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                ControlOutput::Link { to, class, body } => {
                    self.links.send(&to, class, body);
                }
                ControlOutput::Datagram { to, class, body } => {
                    let mut parts = vec![(class, body)];
                    if !is_alone(class) {
                        while let Some(part) = take_same(&mut outputs, to) {
                            parts.push(part);
                        }
                    }
                    self.datagrams.send_bundle(to, &parts);
                }
                ControlOutput::Persist(batch) => outputs.extend(self.persist(batch)),
                ControlOutput::ReadAudit(read) => outputs.extend(self.read_audit(read)),
                ControlOutput::Probe { pool, zone, upstream, address } => {
                    let reports = self.probed.clone();
                    let target = (pool.clone(), upstream.clone());
                    let report = move |outcome: ProbeOutcome| {
                        let _ = reports.try_send(ProbeReport { pool, zone, upstream, outcome });
                    };
                    self.prober.probe(target, address, report);
                }
            }
        }
    }

    fn read_audit(&mut self, read: AuditRead) -> Vec<ControlOutput> {
        let number = read.id;
        let submitted = self.disk.as_ref().map(|disk| disk.audit.submit(read));
        if matches!(submitted, Some(Ok(()))) {
            return Vec::new();
        }
        let failed = DriverInput::AuditRead { read: number, records: None };
        self.core.stored(self.clock.now(), failed)
    }

    fn persist(&mut self, batch: PersistBatch) -> Vec<ControlOutput> {
        let ticket = batch.ticket;
        let submitted = self.disk.as_ref().map(|disk| disk.storage.submit(batch));
        if matches!(submitted, Some(Ok(()))) {
            return Vec::new();
        }
        error!(self.logger, "storage-stalled"; "ticket" => %ticket);
        self.core.persisted(self.clock.now(), ticket, false)
    }

    /// Updates addresses and keys, logs changes of state, and writes the directory of upstreams.
    fn run_upkeep(&mut self) {
        let mark = self.core.members.changes();
        if mark != self.linked_members {
            self.linked_members = mark;
            self.apply_addresses();
        }
        self.log.record(self.clock.now(), &mut self.core);
        if let Some(outcome) = self.core.take_recall_outcome() {
            info!(self.logger, "upstreams-recalled"; "outcome" => ?outcome);
        }
        let now = self.clock.now();
        self.write_directory(now);
        if now < self.next_key_check {
            return;
        }
        self.next_key_check = now + KEY_CHECK_INTERVAL;
        match self.key_ring.reload() {
            Ok(true) => info!(self.logger, "keys-reloaded"),
            Ok(false) => {}
            Err(fault) => warn!(self.logger, "keys-unreadable"; "error" => %fault),
        }
    }

    /// Writes the directory of upstreams, if they have changed and the previous write has ended.
    fn write_directory(&mut self, now: Moment) {
        let Some(disk) = self.disk.as_ref().filter(|disk| !disk.directory.is_busy()) else {
            return;
        };
        if let Some(directory) = self.core.take_due_directory(now) {
            disk.directory.submit(directory);
        }
    }

    /// Opens the data folder again after its disk was full.
    ///
    /// A replica whose write failed stays silent until it is opened again. A full disk refuses
    /// writes but loses none: as soon as it has room, the folder holds what the replica had
    /// acknowledged, as after a restart. If such replicas stayed silent, one full disk after the
    /// other would cost the cluster its majority.
    fn reopen_full_disk(&mut self, inbox: &mut ControlInbox) {
        let now = self.clock.now();
        if self.reopen_at.is_none() && self.disk.as_ref().is_some_and(ReplicaDisk::is_disk_full) {
            warn!(self.logger, "disk-full"; "retry_ms" => millis(REOPEN_DELAY));
            self.reopen_at = Some(now + REOPEN_DELAY);
        }
        if self.reopen_at.is_none_or(|at| now < at) {
            return;
        }
        // The storage thread has to end before another one may open the folder.
        self.disk = None;
        match self.opener.open(now) {
            Ok(Some(open)) => {
                info!(self.logger, "disk-reopened");
                self.core.replica = Some(open.driver);
                self.disk = Some(open.disk);
                // Tickets are numbered from the start again. The old channel is dropped, so that
                // the result of an earlier write is not taken for that of a new one.
                inbox.stored = open.stored;
                self.reopen_at = None;
            }
            Ok(None) => self.reopen_at = None,
            Err(fault) => {
                warn!(self.logger, "disk-unusable"; "error" => %fault);
                self.reopen_at = Some(now + REOPEN_DELAY);
            }
        }
    }

    fn apply_addresses(&mut self) {
        for host in self.core.members.take_changed_hosts() {
            match self.core.members.find(&host) {
                Some(record) => self.links.set_address(&host, record.peer_address),
                None => self.links.forget(&host),
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Tells the control thread to hand over its leadership, and waits for its answer.
pub(super) async fn hand_over_leadership(handle: &super::ControlHandle) {
    let _ = handle.ask(|reply: oneshot::Sender<()>| ControlRequest::ShutDown(reply)).await;
}
