//! Reads old audit records from the data folder, on a dedicated thread.

use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};

use pulley_core::version::{AuditChunk, AuditRead, AuditRecord};

use super::disk_folder::{DiskFolder, SystemFolder};
use super::record_frame::read_frame;
use super::storage_fault::{Result, StorageFault};

const CHUNK_PREFIX: &str = "audit-";
const CHUNK_SUFFIX: &str = ".records";

/// Capacity of the read queue. A replica never has more reads outstanding than this.
const QUEUE_DEPTH: usize = 64;

pub(crate) fn chunk_name(number: u64) -> String {
    format!("{CHUNK_PREFIX}{number:020}{CHUNK_SUFFIX}")
}

pub(crate) fn chunk_number(name: &str) -> Option<u64> {
    name.strip_prefix(CHUNK_PREFIX)?.strip_suffix(CHUNK_SUFFIX)?.parse().ok()
}

/// The thread that reads old audit records.
///
/// A query may scan years of chunks. Neither the control thread nor the thread that syncs the log
/// may block on that.
#[derive(Debug)]
pub struct AuditReader {
    reads: Option<SyncSender<AuditRead>>,
    thread: Option<JoinHandle<()>>,
}

impl AuditReader {
    /// Starts the thread. It calls `on_read` with each read's number and the matching records, or
    /// `None` if a chunk could not be read.
    ///
    /// # Errors
    /// If the folder cannot be opened or the thread cannot be started.
    pub fn start(
        folder: &Path,
        on_read: impl FnMut(u64, Option<Vec<AuditRecord>>) + Send + 'static,
    ) -> Result<Self> {
        let folder = SystemFolder::open(folder).map_err(StorageFault::disk("data folder"))?;
        let (reads, queue) = sync_channel(QUEUE_DEPTH);
        let thread = thread::Builder::new()
            .name("audit-reader".to_owned())
            .spawn(move || run_reader(&folder, &queue, on_read))
            .map_err(StorageFault::disk("audit thread"))?;
        Ok(Self { reads: Some(reads), thread: Some(thread) })
    }

    /// Queues a read for the thread without blocking.
    ///
    /// # Errors
    /// `QueueUnavailable` if the queue is full or the thread has ended.
    pub fn submit(&self, read: AuditRead) -> Result<()> {
        let Some(reads) = &self.reads else { return Err(StorageFault::QueueUnavailable) };
        reads.try_send(read).map_err(|_| StorageFault::QueueUnavailable)
    }
}

impl Drop for AuditReader {
    fn drop(&mut self) {
        self.reads = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_reader(
    folder: &SystemFolder,
    queue: &Receiver<AuditRead>,
    mut on_read: impl FnMut(u64, Option<Vec<AuditRecord>>),
) {
    while let Ok(read) = queue.recv() {
        on_read(read.id, read_audit(folder, &read));
    }
}

/// Reads chunks, newest first, until the limit of matching records is reached. Returns `None` if
/// a chunk cannot be read.
pub fn read_audit<D: DiskFolder>(folder: &D, read: &AuditRead) -> Option<Vec<AuditRecord>> {
    let mut found = Vec::new();
    for number in &read.chunks {
        let chunk = read_chunk(folder, *number)?;
        let newest = chunk.records.iter().map(|record| record.unix_ms).max().unwrap_or(0);
        for record in chunk.records.into_iter().rev() {
            if found.len() < read.limit && read.filter.matches(&record) {
                found.push(record);
            }
        }
        if found.len() >= read.limit || read.filter.excludes_up_to(newest) {
            break;
        }
    }
    Some(found)
}

fn read_chunk<D: DiskFolder>(folder: &D, number: u64) -> Option<AuditChunk> {
    let bytes = folder.read(&chunk_name(number)).ok()??;
    read_frame(&bytes, 0)?.decode().ok()
}
