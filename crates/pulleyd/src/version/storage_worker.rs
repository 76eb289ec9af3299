//! The thread that writes, so that the control thread never waits for a disk.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};

use pulley_core::version::{PersistBatch, PersistTicket};

use super::disk_folder::DiskFolder;
use super::log_storage::LogStorage;
use super::storage_fault::{Result, StorageFault};

/// How many batches may wait. A replica has at most two under way, so a full queue means that
/// the owner no longer keeps to that.
const QUEUE_DEPTH: usize = 8;

/// The thread that writes to a data folder.
///
/// Whatever waits when a sync ends goes into the next one together.
#[derive(Debug)]
pub struct StorageWorker {
    batches: Option<SyncSender<PersistBatch>>,
    thread: Option<JoinHandle<()>>,
}

impl StorageWorker {
    /// Starts the thread; `on_done` is called on it with each batch's ticket and whether it is on
    /// disk, and with the fault if it is not.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start<D>(
        storage: LogStorage<D>,
        on_done: impl FnMut(PersistTicket, Result<()>) + Send + 'static,
    ) -> Result<Self>
    where
        D: DiskFolder + 'static,
        D::File: 'static,
    {
        let (batches, queue) = sync_channel(QUEUE_DEPTH);
        let thread = thread::Builder::new()
            .name("log-storage".to_owned())
            .spawn(move || run_worker(storage, &queue, on_done))
            .map_err(StorageFault::disk("storage thread"))?;
        Ok(Self { batches: Some(batches), thread: Some(thread) })
    }

    /// Hands a batch to the thread; never waits.
    ///
    /// # Errors
    /// `Stalled` if the queue is full or the thread is gone; nothing of the batch is written then,
    /// and the replica must be told that the write failed.
    pub fn submit(&self, batch: PersistBatch) -> Result<()> {
        let Some(batches) = &self.batches else { return Err(StorageFault::Stalled) };
        batches.try_send(batch).map_err(|_| StorageFault::Stalled)
    }
}

impl Drop for StorageWorker {
    /// Lets the thread write what it was given, then waits for its end, which frees the lock.
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_worker<D: DiskFolder>(
    mut storage: LogStorage<D>,
    queue: &Receiver<PersistBatch>,
    mut on_done: impl FnMut(PersistTicket, Result<()>),
) {
    while let Ok(first) = queue.recv() {
        let mut batches = vec![first];
        batches.extend(queue.try_iter());
        let tickets: Vec<PersistTicket> = batches.iter().map(|batch| batch.ticket).collect();
        match storage.write(&batches) {
            Ok(()) => tickets.into_iter().for_each(|ticket| on_done(ticket, Ok(()))),
            Err(fault) => report_fault(&tickets, fault, &mut on_done),
        }
    }
}

/// The first ticket carries the fault; the others say that the disk is no longer trusted.
fn report_fault(
    tickets: &[PersistTicket],
    fault: StorageFault,
    on_done: &mut impl FnMut(PersistTicket, Result<()>),
) {
    let mut fault = Some(fault);
    for ticket in tickets {
        let reported = fault.take().unwrap_or(StorageFault::Distrusted);
        on_done(*ticket, Err(reported));
    }
}
