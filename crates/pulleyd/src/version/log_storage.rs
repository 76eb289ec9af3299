//! The replica's data folder: log segments, snapshots, identity and lock.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use pulley_core::process::{ClusterId, HostId, MemberId};
use pulley_core::version::{
    AuditChunk, DiskId, LogIndex, PersistBatch, RecoveredState, ReplicaIdentity, ReplicaSnapshot,
    VoteRecord,
};

use serde::{Deserialize, Serialize};

use super::audit_reader::chunk_name;
use super::disk_folder::{DiskFile, DiskFolder, SystemFolder};
use super::log_recovery::{
    LogRecord, SegmentFile, SnapshotHeader, read_folder, segment_name, segment_number,
    snapshot_name, snapshot_number,
};
use super::record_frame::{WriteGroup, push_frame, read_frame};
use super::storage_fault::{Result, StorageFault};

/// Size in bytes at which a segment is closed and a new one started.
const SEGMENT_LIMIT: u64 = 8 << 20;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".new";

/// The owner of a folder.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct FolderIdentity {
    host: HostId,
    cluster: ClusterId,
    disk: DiskId,
    /// The member id assigned to this disk, if it is not the founding one.
    member: Option<MemberId>,
}

/// The replica's data folder.
///
/// After the first failed write or sync it rejects all further writes. The kernel reports a failed
/// sync only once and may drop the dirty pages, so a later successful sync proves nothing.
#[derive(Debug)]
pub struct LogStorage<D: DiskFolder = SystemFolder> {
    folder: D,
    owner: FolderIdentity,
    /// Keeps the folder locked for the lifetime of the storage.
    _lock: Option<File>,
    closed: Vec<SegmentFile>,
    open: SegmentFile,
    file: D::File,
    next_group: WriteGroup,
    vote: VoteRecord,
    segment_limit: u64,
    is_trusted: bool,
    torn_bytes: u64,
}

impl LogStorage<SystemFolder> {
    /// Opens or creates a data folder and recovers its state.
    ///
    /// # Errors
    /// `Locked` if another process has the folder open, `WrongOwner` if it belongs to another
    /// replica, `Damaged` if synced data cannot be read. The folder is then left unchanged.
    pub fn open(path: &Path, identity: &ReplicaIdentity) -> Result<(Self, RecoveredState)> {
        let folder = SystemFolder::open(path).map_err(StorageFault::disk("data folder"))?;
        // The lock is tied to the open file. The kernel releases it when the process dies, so no
        // stale lock remains, and two processes never write to the same log.
        let lock =
            File::create(folder.path_of(LOCK_FILE)).map_err(StorageFault::disk(LOCK_FILE))?;
        if lock.try_lock().is_err() {
            return Err(StorageFault::Locked);
        }
        Self::open_folder(folder, identity, Some(lock))
    }
}

impl<D: DiskFolder> LogStorage<D> {
    /// Opens any kind of folder, such as one from a test. Locking is up to the calling code.
    ///
    /// # Errors
    /// The same as [`LogStorage::open`], except `Locked`.
    pub fn open_folder(
        mut folder: D,
        identity: &ReplicaIdentity,
        lock: Option<File>,
    ) -> Result<(Self, RecoveredState)> {
        let owner = check_identity(&mut folder, identity)?;
        let contents = read_folder(&folder)?;
        let mut closed = contents.segments;
        let next_group = WriteGroup(contents.last_group.0 + 1);
        let (open, file) = match closed.pop() {
            Some(last) => {
                let name = last.name();
                let file = folder.open_at(&name, last.length).map_err(StorageFault::disk(&name))?;
                (last, file)
            }
            None => create_first_segment(&mut folder)?,
        };
        let mut recovered = contents.recovered;
        recovered.disk = owner.disk;
        recovered.member = owner.member;
        let storage = Self {
            folder,
            owner,
            _lock: lock,
            closed,
            open,
            file,
            next_group,
            vote: recovered.vote,
            segment_limit: SEGMENT_LIMIT,
            is_trusted: true,
            torn_bytes: contents.torn_bytes,
        };
        Ok((storage, recovered))
    }

    /// Sets the size in bytes at which a new segment is started.
    #[must_use]
    pub fn with_segment_limit(mut self, limit: u64) -> Self {
        self.segment_limit = limit;
        self
    }

    /// Returns how many bytes of a torn write were discarded when the folder was opened.
    #[must_use]
    pub fn torn_bytes(&self) -> u64 {
        self.torn_bytes
    }

    /// Whether no write has failed so far.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.is_trusted
    }

    /// Writes batches in order and syncs them together.
    ///
    /// # Errors
    /// If a write or sync fails. Every later call then fails with `EarlierWriteFailed`.
    pub fn write(&mut self, batches: &[PersistBatch]) -> Result<()> {
        if !self.is_trusted {
            return Err(StorageFault::EarlierWriteFailed);
        }
        let result = self.write_all(batches);
        self.is_trusted = result.is_ok();
        result
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn write_all(&mut self, batches: &[PersistBatch]) -> Result<()> {
        let mut pending: Vec<LogRecord> = Vec::new();
        for batch in batches {
            for chunk in &batch.audit {
                write_chunk(&mut self.folder, chunk)?;
            }
            if let Some(index) = batch.truncate_from {
                pending.push(LogRecord::Truncate(index));
            }
            if let Some(snapshot) = &batch.snapshot {
                // The truncation must be on disk before the snapshot. Otherwise entries that are
                // not in the snapshot's log could reappear after it.
                self.write_records(&std::mem::take(&mut pending))?;
                self.write_snapshot(snapshot)?;
            }
            if let Some(member) = batch.member {
                self.owner.member = Some(member);
                write_identity(&mut self.folder, &self.owner)?;
            }
            if let Some(promise) = &batch.promise {
                pending.push(LogRecord::Promise(promise.clone()));
            }
            if let Some(vote) = batch.vote {
                self.vote = vote;
                pending.push(LogRecord::Vote(vote));
            }
            pending.extend(batch.entries.iter().cloned().map(LogRecord::Entry));
        }
        self.write_records(&pending)?;
        if self.open.length >= self.segment_limit {
            self.begin_segment()?;
        }
        Ok(())
    }

    fn write_records(&mut self, records: &[LogRecord]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = Vec::new();
        for (position, record) in records.iter().enumerate() {
            push_frame(&mut buffer, self.next_group, position == 0, record)?;
            if let LogRecord::Entry(entry) = record {
                self.open.highest = self.open.highest.max(entry.index);
            }
        }
        self.next_group.0 += 1;
        let name = self.open.name();
        self.file.append(&buffer).map_err(StorageFault::disk(&name))?;
        self.file.sync().map_err(StorageFault::disk(&name))?;
        self.open.length += buffer.len() as u64;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Arc<ReplicaSnapshot>) -> Result<()> {
        let name = snapshot_name(snapshot.position.index);
        let mut buffer = Vec::new();
        let header = SnapshotHeader {
            position: snapshot.position.clone(),
            size: snapshot.state.len() as u64,
            checksum: crc32c::crc32c(&snapshot.state),
        };
        push_frame(&mut buffer, WriteGroup(0), true, &header)?;
        replace_file(&mut self.folder, &name, &[&buffer, &snapshot.state])?;
        self.begin_segment()?;
        self.remove_covered(snapshot.position.index)
    }

    /// Closes the open segment and starts a new one. The new segment repeats the vote, so that
    /// earlier segments can be removed.
    fn begin_segment(&mut self) -> Result<()> {
        let number = self.open.number + 1;
        let name = segment_name(number);
        self.file = self.folder.create(&name).map_err(StorageFault::disk(&name))?;
        let next = SegmentFile { number, highest: LogIndex(0), length: 0 };
        self.closed.push(std::mem::replace(&mut self.open, next));
        self.write_records(&[LogRecord::Vote(self.vote)])?;
        self.folder.sync().map_err(StorageFault::disk(&name))
    }

    /// Removes old segments and snapshots that are covered by the snapshot at `index`, and leftover
    /// temporary files.
    fn remove_covered(&mut self, index: LogIndex) -> Result<()> {
        let covered = self.closed.iter().take_while(|segment| segment.highest <= index).count();
        for segment in self.closed.drain(..covered) {
            let name = segment.name();
            self.folder.remove(&name).map_err(StorageFault::disk(&name))?;
        }
        let names = self.folder.file_names().map_err(StorageFault::disk("data folder"))?;
        for name in names {
            let is_old = snapshot_number(&name).is_some_and(|number| number < index.0);
            if is_old || name.ends_with(TEMPORARY_SUFFIX) {
                self.folder.remove(&name).map_err(StorageFault::disk(&name))?;
            }
        }
        Ok(())
    }
}

/// Writes a chunk of old audit records. The folder is synced as well, because the snapshot that
/// follows no longer contains these records.
fn write_chunk<D: DiskFolder>(folder: &mut D, chunk: &AuditChunk) -> Result<()> {
    let mut buffer = Vec::new();
    push_frame(&mut buffer, WriteGroup(0), true, chunk)?;
    replace_file(folder, &chunk_name(chunk.number), &[&buffer])
}

/// Replaces a file atomically: a crash leaves either the old or the new content.
fn replace_file<D: DiskFolder>(folder: &mut D, name: &str, parts: &[&[u8]]) -> Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut file = folder.create(&temporary).map_err(StorageFault::disk(&temporary))?;
    for part in parts {
        file.append(part).map_err(StorageFault::disk(&temporary))?;
    }
    file.sync().map_err(StorageFault::disk(&temporary))?;
    folder.rename(&temporary, name).map_err(StorageFault::disk(name))?;
    folder.sync().map_err(StorageFault::disk(name))
}

fn create_first_segment<D: DiskFolder>(folder: &mut D) -> Result<(SegmentFile, D::File)> {
    let segment = SegmentFile { number: 1, highest: LogIndex(0), length: 0 };
    let name = segment.name();
    let file = folder.create(&name).map_err(StorageFault::disk(&name))?;
    folder.sync().map_err(StorageFault::disk(&name))?;
    Ok((segment, file))
}

/// Checks that the folder belongs to this replica. An empty folder gets its identity.
fn check_identity<D: DiskFolder>(
    folder: &mut D,
    expected: &ReplicaIdentity,
) -> Result<FolderIdentity> {
    let bytes = folder.read(IDENTITY_FILE).map_err(StorageFault::disk(IDENTITY_FILE))?;
    let Some(bytes) = bytes else { return create_identity(folder, expected) };
    let found = read_frame(&bytes, 0)
        .and_then(|frame| frame.decode::<FolderIdentity>().ok())
        .ok_or_else(|| StorageFault::damaged(IDENTITY_FILE, 0, "the checksum does not match"))?;
    if found.host != expected.host || found.cluster != expected.cluster {
        return Err(StorageFault::WrongOwner {
            found: format!("host {} of cluster {}", found.host, found.cluster),
            expected: format!("host {} of cluster {}", expected.host, expected.cluster),
        });
    }
    Ok(found)
}

fn create_identity<D: DiskFolder>(
    folder: &mut D,
    expected: &ReplicaIdentity,
) -> Result<FolderIdentity> {
    let names = folder.file_names().map_err(StorageFault::disk("data folder"))?;
    let is_log_file =
        |name: &&String| segment_number(name).is_some() || snapshot_number(name).is_some();
    if let Some(file) = names.iter().find(is_log_file) {
        return Err(StorageFault::NoIdentity { file: file.clone() });
    }
    let identity = FolderIdentity {
        host: expected.host.clone(),
        cluster: expected.cluster.clone(),
        disk: DiskId(folder.generate_id()),
        member: None,
    };
    write_identity(folder, &identity)?;
    Ok(identity)
}

fn write_identity<D: DiskFolder>(folder: &mut D, identity: &FolderIdentity) -> Result<()> {
    let mut buffer = Vec::new();
    push_frame(&mut buffer, WriteGroup(0), true, identity)?;
    replace_file(folder, IDENTITY_FILE, &[&buffer])
}
