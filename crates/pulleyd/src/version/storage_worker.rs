//! The thread that writes the log, so that the control thread never blocks on a disk.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};

use pulley_core::version::{PersistBatch, PersistTicket};

use super::disk_folder::DiskFolder;
use super::log_storage::LogStorage;
use super::storage_fault::{Result, StorageFault};

/// Capacity of the batch queue. A replica has at most two batches outstanding, so a full queue
/// means that its owner violates that limit.
const QUEUE_DEPTH: usize = 8;

/// The thread that writes to a data folder.
///
/// All batches that are queued when a sync ends are written together with the next sync.
#[derive(Debug)]
pub struct StorageWorker {
    batches: Option<SyncSender<PersistBatch>>,
    thread: Option<JoinHandle<()>>,
}

impl StorageWorker {
    /// Starts the thread. It calls `on_done` with each batch's ticket and the result: `Ok` once the
    /// batch is on disk, or the fault.
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

    /// Queues a batch for the thread without blocking.
    ///
    /// # Errors
    /// `QueueUnavailable` if the queue is full or the thread has ended. No part of the batch is
    /// written then, and the owner must report the failed write to the replica.
    pub fn submit(&self, batch: PersistBatch) -> Result<()> {
        let Some(batches) = &self.batches else { return Err(StorageFault::QueueUnavailable) };
        batches.try_send(batch).map_err(|_| StorageFault::QueueUnavailable)
    }
}

impl Drop for StorageWorker {
    /// Lets the thread finish the queued batches, then joins it, which releases the folder's lock.
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

/// Reports the fault for the first ticket, and `EarlierWriteFailed` for the others.
fn report_fault(
    tickets: &[PersistTicket],
    fault: StorageFault,
    on_done: &mut impl FnMut(PersistTicket, Result<()>),
) {
    let mut fault = Some(fault);
    for ticket in tickets {
        let reported = fault.take().unwrap_or(StorageFault::EarlierWriteFailed);
        on_done(*ticket, Err(reported));
    }
}
