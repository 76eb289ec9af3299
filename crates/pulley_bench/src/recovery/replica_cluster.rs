//! A cluster of replicas on threads, with real storage and in-memory links.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use eyre::{Result, bail};
use pulley_core::Moment;
use pulley_core::process::{HostId, MemberId};
use pulley_core::version::{
    DriverInput, DriverOutput, ReplicaAnswer, ReplicaDriver, ReplicaIdentity, ReplicaQuestion,
    ReplicaSettings,
};
use pulleyd::process::ProcessClock;
use pulleyd::version::{LogStorage, StorageWorker};

/// The time limit for the first election of a leader.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// An event for a replica's thread.
enum ReplicaEvent {
    Input(DriverInput),
    IsLeader(Sender<bool>),
    Stop,
}

/// The token of a question, and the answer to that question.
pub(crate) type TokenAnswer = (u64, ReplicaAnswer);

/// A cluster of replicas on threads, with real storage and in-memory links.
pub(crate) struct ReplicaCluster {
    inboxes: Vec<Sender<ReplicaEvent>>,
    threads: Vec<JoinHandle<()>>,
    answers: Receiver<TokenAnswer>,
    leader: usize,
    traffic: Arc<LinkTraffic>,
}

/// The messages and bytes that all replicas together have sent.
#[derive(Debug, Default)]
pub(crate) struct LinkTraffic {
    pub(crate) messages: AtomicU64,
    pub(crate) bytes: AtomicU64,
}

impl ReplicaCluster {
    /// Starts `size` replicas with data folders inside `folder` and waits for a leader.
    pub(crate) fn start(size: usize, folder: &Path, settings: &ReplicaSettings) -> Result<Self> {
        let founders: Vec<(HostId, MemberId)> = (0..size)
            .map(|number| Ok((format!("host-{number}").parse()?, MemberId(number as u64 + 1))))
            .collect::<Result<_>>()?;
        let settings = ReplicaSettings { bootstrap: founders.clone(), ..settings.clone() };
        let (answer_sender, answers) = channel();
        let traffic = Arc::new(LinkTraffic::default());
        let (inboxes, queues): (Vec<_>, Vec<_>) = (0..size).map(|_| channel()).unzip();
        let mut threads = Vec::new();
        for (number, queue) in queues.into_iter().enumerate() {
            let (host, member) = founders[number].clone();
            let identity = ReplicaIdentity { host, member, cluster: "bench".parse()? };
            let path = folder.join(format!("replica-{number}"));
            let (storage, recovered) = LogStorage::open(&path, &identity)?;
            let clock = ProcessClock::start();
            let seed = number as u64;
            let driver =
                ReplicaDriver::new(identity, recovered, settings.clone(), clock.now(), seed);
            let own_inbox: Sender<ReplicaEvent> = inboxes[number].clone();
            let worker = StorageWorker::start(storage, move |ticket, result| {
                let input = DriverInput::Persisted { ticket, ok: result.is_ok() };
                let _ = own_inbox.send(ReplicaEvent::Input(input));
            })?;
            let peers =
                founders.iter().map(|(host, _)| host.clone()).zip(inboxes.clone()).collect();
            let answer_sender = answer_sender.clone();
            let traffic = Arc::clone(&traffic);
            let replica = RunningReplica { driver, worker, clock, peers, answer_sender, traffic };
            threads.push(thread::spawn(move || replica.run(&queue)));
        }
        let mut cluster = Self { inboxes, threads, answers, leader: 0, traffic };
        cluster.leader = cluster.find_leader()?;
        Ok(cluster)
    }

    /// Sends a question to the leader.
    pub(crate) fn ask(&self, token: u64, question: ReplicaQuestion) {
        let input = DriverInput::Ask { token, question };
        let _ = self.inboxes[self.leader].send(ReplicaEvent::Input(input));
    }

    /// Returns the messages and bytes that all replicas together have sent.
    pub(crate) fn traffic(&self) -> &LinkTraffic {
        &self.traffic
    }

    /// Waits up to 30 s for the next answer.
    pub(crate) fn next_answer(&self) -> Result<TokenAnswer> {
        Ok(self.answers.recv_timeout(Duration::from_secs(30))?)
    }

    fn find_leader(&self) -> Result<usize> {
        let clock = ProcessClock::start();
        while clock.now().since(Moment::ZERO) < ELECTION_TIMEOUT {
            for (number, inbox) in self.inboxes.iter().enumerate() {
                let (reply, is_leader) = channel();
                let _ = inbox.send(ReplicaEvent::IsLeader(reply));
                if is_leader.recv_timeout(Duration::from_secs(1)).unwrap_or(false) {
                    return Ok(number);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        bail!("no replica was elected within {ELECTION_TIMEOUT:?}")
    }
}

impl Drop for ReplicaCluster {
    fn drop(&mut self) {
        for inbox in &self.inboxes {
            let _ = inbox.send(ReplicaEvent::Stop);
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One replica, which runs on its own thread.
struct RunningReplica {
    driver: ReplicaDriver,
    worker: StorageWorker,
    clock: ProcessClock,
    peers: Vec<(HostId, Sender<ReplicaEvent>)>,
    answer_sender: Sender<TokenAnswer>,
    traffic: Arc<LinkTraffic>,
}

impl RunningReplica {
    fn run(mut self, queue: &Receiver<ReplicaEvent>) {
        loop {
            let now = self.clock.now();
            let wait = self.driver.next_wakeup().since(now);
            let event = queue.recv_timeout(wait);
            let now = self.clock.now();
            let outputs = match event {
                Ok(ReplicaEvent::Input(input)) => self.driver.handle(now, input),
                Ok(ReplicaEvent::IsLeader(reply)) => {
                    let _ = reply.send(self.driver.node().is_leader());
                    continue;
                }
                Err(RecvTimeoutError::Timeout) => self.driver.handle(now, DriverInput::Tick),
                Ok(ReplicaEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            };
            // A due tick runs even while the queue always holds events, which would starve it otherwise.
            let is_due = self.driver.next_wakeup() <= now;
            let ticked =
                if is_due { self.driver.handle(now, DriverInput::Tick) } else { Vec::new() };
            for output in outputs.into_iter().chain(ticked) {
                self.execute(output);
            }
        }
    }

    fn execute(&mut self, output: DriverOutput) {
        match output {
            DriverOutput::Send { to, body } => {
                let from = self.driver.status().host;
                let Some((_, peer)) = self.peers.iter().find(|(host, _)| *host == to) else {
                    return;
                };
                self.traffic.messages.fetch_add(1, Ordering::Relaxed);
                self.traffic.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
                let _ = peer.send(ReplicaEvent::Input(DriverInput::Peer { from, body }));
            }
            DriverOutput::Persist { ticket, batch } => {
                if self.worker.submit(batch).is_err() {
                    let now = self.clock.now();
                    self.driver.handle(now, DriverInput::Persisted { ticket, ok: false });
                }
            }
            DriverOutput::Answer { token, answer } => {
                let _ = self.answer_sender.send((token, answer));
            }
            // The measurements ignore versions and zones in force and request no old audit records.
            DriverOutput::InForce(_)
            | DriverOutput::ZonesInForce(_)
            | DriverOutput::ReadAudit(_) => {}
        }
    }
}
