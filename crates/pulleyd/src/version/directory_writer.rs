//! The thread that writes the directory of upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::{self, JoinHandle};

use pulley_core::process::UpstreamDirectory;

use super::directory_file::DirectoryFile;
use super::disk_folder::DiskFolder;
use super::storage_fault::{Result, StorageFault};

/// The thread that writes the directory, so that neither the control thread nor the log blocks on
/// it when the disk is slow.
#[derive(Debug)]
pub struct DirectoryWriter {
    directories: Option<SyncSender<UpstreamDirectory>>,
    is_busy: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DirectoryWriter {
    /// Starts the thread. It calls `on_done` with the result of each write.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start<D>(
        mut file: DirectoryFile<D>,
        mut on_done: impl FnMut(Result<()>) + Send + 'static,
    ) -> Result<Self>
    where
        D: DiskFolder + 'static,
    {
        let (directories, queue) = sync_channel::<UpstreamDirectory>(1);
        let is_busy = Arc::new(AtomicBool::new(false));
        let busy_flag = Arc::clone(&is_busy);
        let thread = thread::Builder::new()
            .name("directory".to_owned())
            .spawn(move || {
                while let Ok(directory) = queue.recv() {
                    on_done(file.write(&directory));
                    busy_flag.store(false, Ordering::Release);
                }
            })
            .map_err(StorageFault::disk("directory thread"))?;
        Ok(Self { directories: Some(directories), is_busy, thread: Some(thread) })
    }

    /// Whether the last directory is still being written.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Acquire)
    }

    /// Queues a directory for the thread, or discards it if the thread is busy.
    pub fn submit(&self, directory: UpstreamDirectory) {
        let Some(directories) = &self.directories else { return };
        if !self.is_busy.swap(true, Ordering::AcqRel) {
            let _ = directories.try_send(directory);
        }
    }
}

impl Drop for DirectoryWriter {
    /// Waits for the write in progress, because the folder may be reopened immediately.
    fn drop(&mut self) {
        self.directories = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
