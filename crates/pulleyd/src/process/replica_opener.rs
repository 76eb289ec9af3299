//! Opens the data folder of a replica and starts the threads that write to it and read from it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use pulley_core::Moment;
use pulley_core::process::{MemberId, UpstreamDirectory};
use pulley_core::version::{
    DriverInput, LedgerLimits, RecoveredState, ReplicaDriver, ReplicaIdentity, ReplicaSettings,
};
use slog::{Logger, error, info, warn};
use tokio::sync::mpsc;

use super::{DaemonSettings, ProcessClock};
use crate::version::{
    AuditReader, DirectoryFile, DirectoryWriter, LogStorage, StorageFault, StorageWorker,
    SystemFolder,
};

/// Result of opening a data folder.
type Result<T> = std::result::Result<T, StorageFault>;

/// The threads that write to a data folder and read from it.
pub(super) struct ReplicaDisk {
    pub(super) storage: StorageWorker,
    pub(super) audit: AuditReader,
    pub(super) directory: DirectoryWriter,
    full: Arc<AtomicBool>,
}

impl ReplicaDisk {
    /// Returns whether a write failed because the disk is full.
    pub(super) fn is_disk_full(&self) -> bool {
        self.full.load(Ordering::Acquire)
    }
}

/// A replica whose data folder is open.
pub(super) struct OpenReplica {
    pub(super) driver: ReplicaDriver,
    pub(super) disk: ReplicaDisk,
    /// The directory of upstreams as last written to the folder.
    pub(super) directory: Option<UpstreamDirectory>,
    /// The results that the threads report.
    pub(super) stored: mpsc::UnboundedReceiver<DriverInput>,
}

/// Opens the data folder of a replica, at the start and again after its disk was full.
pub(super) struct ReplicaOpener {
    settings: DaemonSettings,
    clock: ProcessClock,
    logger: Logger,
}

impl ReplicaOpener {
    pub(super) fn new(settings: &DaemonSettings, clock: ProcessClock, logger: Logger) -> Self {
        Self { settings: settings.clone(), clock, logger }
    }

    /// Opens the data folder and recovers its state. Returns `None` if this host is no replica.
    pub(super) fn open(&self, now: Moment) -> Result<Option<OpenReplica>> {
        let Some(folder) = &self.settings.data_folder else { return Ok(None) };
        let identity = self.identity();
        let (storage, recovered) = LogStorage::open(folder, &identity)?;
        self.log_recovery(&recovered);
        let settings = self.replica_settings(now);
        let driver = ReplicaDriver::new(identity, recovered, settings, now, rand::random());
        let (sender, stored) = mpsc::unbounded_channel();
        let audit_sender = sender.clone();
        let audit = AuditReader::start(folder, move |read, records| {
            let _ = audit_sender.send(DriverInput::AuditRead { read, records });
        })?;
        let full = Arc::new(AtomicBool::new(false));
        let (logger, disk_full) = (self.logger.clone(), Arc::clone(&full));
        let storage = StorageWorker::start(storage, move |ticket, outcome| {
            if let Err(fault) = &outcome {
                error!(logger, "storage-failed"; "error" => %fault);
                disk_full.fetch_or(fault.is_disk_full(), Ordering::AcqRel);
            }
            let _ = sender.send(DriverInput::Persisted { ticket, ok: outcome.is_ok() });
        })?;
        let (writer, directory) = self.open_directory(folder)?;
        let disk = ReplicaDisk { storage, audit, directory: writer, full };
        Ok(Some(OpenReplica { driver, disk, directory, stored }))
    }

    /// Opens the directory of upstreams. The replica works without it, so faults in it are only
    /// logged.
    fn open_directory(
        &self,
        folder: &Path,
    ) -> Result<(DirectoryWriter, Option<UpstreamDirectory>)> {
        let folder = SystemFolder::open(folder).map_err(StorageFault::disk("data folder"))?;
        let (file, reading) = DirectoryFile::open(folder);
        for fault in &reading.faults {
            warn!(self.logger, "directory-unreadable"; "error" => %fault);
        }
        let logger = self.logger.clone();
        let writer = DirectoryWriter::start(file, move |outcome| {
            if let Err(fault) = outcome {
                warn!(logger, "directory-not-written"; "error" => %fault);
            }
        })?;
        Ok((writer, reading.newest))
    }

    /// Returns the identity that the settings give this host. A host that is no founder, or whose
    /// disk was lost, gets its member id from the leader.
    fn identity(&self) -> ReplicaIdentity {
        let host = self.settings.host_id.clone();
        let founder = self.settings.replicas.iter().find(|founder| founder.host == host);
        let member = founder.map_or(MemberId::default(), |founder| founder.member);
        ReplicaIdentity { host, member, cluster: self.settings.cluster.clone() }
    }

    fn replica_settings(&self, now: Moment) -> ReplicaSettings {
        let settings = &self.settings;
        let founders = settings.replicas.iter().map(|f| (f.host.clone(), f.member)).collect();
        let ledger = LedgerLimits {
            capacity: u32::try_from(settings.ledger_capacity).unwrap_or(u32::MAX),
            retention: settings.ledger_retention,
            ..LedgerLimits::default()
        };
        let passed = self.clock.now().max(now).micros() / 1_000;
        ReplicaSettings::founded_by(founders)
            .with_ledger(ledger)
            .with_copies(settings.replication.copies)
            .with_growth(settings.replication.growth)
            .with_unix_origin(ProcessClock::unix_ms().saturating_sub(passed))
    }

    fn log_recovery(&self, recovered: &RecoveredState) {
        let snapshot = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index.0);
        info!(self.logger, "log-recovered";
            "entries" => recovered.entries.len(), "snapshot" => snapshot);
    }
}
