//! The files in which a replica stores the upstreams it knows.

use pulley_core::process::{DIRECTORY_LIMIT, UpstreamDirectory};

use super::disk_folder::{DiskFile, DiskFolder};
use super::record_frame::{WriteGroup, push_frame, read_frame};
use super::storage_fault::{Result, StorageFault};

/// Two copies, written alternately. An interrupted write damages one, and the other still holds the
/// previously synced directory. Renaming a file over another would cost a second sync.
const SLOTS: [&str; 2] = ["upstreams-a", "upstreams-b"];

/// The result of reading both copies from a folder.
#[derive(Debug, Default)]
pub struct DirectoryReading {
    /// The newest intact directory.
    pub newest: Option<UpstreamDirectory>,
    /// Why the other copies could not be read.
    pub faults: Vec<StorageFault>,
}

/// The directory of upstreams in a data folder.
///
/// Nothing else depends on it: read and write failures are tolerated, and a replica without a
/// readable directory starts with no known upstreams.
#[derive(Debug)]
pub struct DirectoryFile<D: DiskFolder> {
    folder: D,
    /// The number of the last write; its parity selects the copy that is written.
    written: u64,
    /// Which copies have a synced directory entry in the folder.
    named: [bool; 2],
}

impl<D: DiskFolder> DirectoryFile<D> {
    /// Opens the directory files of a folder and reads the newest intact directory. Copies that
    /// cannot be read, including one left by an interrupted write, are reported as faults.
    pub fn open(folder: D) -> (Self, DirectoryReading) {
        let mut file = Self { folder, written: 0, named: [false; 2] };
        let mut reading = DirectoryReading::default();
        for slot in 0..SLOTS.len() {
            let (group, directory) = match file.read_slot(slot) {
                Ok(Some(read)) => read,
                Ok(None) => continue,
                Err(fault) => {
                    reading.faults.push(fault);
                    continue;
                }
            };
            file.named[slot] = true;
            if group >= file.written {
                file.written = group;
                reading.newest = Some(directory);
            }
        }
        (file, reading)
    }

    /// Overwrites the older copy with this directory and syncs it.
    ///
    /// # Errors
    /// If the directory is too large, or cannot be written or synced. The newer copy stays intact.
    pub fn write(&mut self, directory: &UpstreamDirectory) -> Result<()> {
        let number = self.written + 1;
        let slot = usize::from(number % 2 == 1);
        let name = SLOTS[slot];
        let mut buffer = Vec::new();
        push_frame(&mut buffer, WriteGroup(number), true, directory)?;
        if buffer.len() > DIRECTORY_LIMIT {
            return Err(StorageFault::damaged(name, buffer.len(), "the directory is too large"));
        }
        let fault = || StorageFault::disk(name);
        // An existing file is truncated in place, because a newly created one could reappear with
        // its old content after a crash.
        let opened = match self.named[slot] {
            true => self.folder.open_at(name, 0),
            false => self.folder.create(name),
        };
        let mut file = opened.map_err(fault())?;
        file.append(&buffer).map_err(fault())?;
        file.sync().map_err(fault())?;
        if !self.named[slot] {
            self.folder.sync().map_err(fault())?;
            self.named[slot] = true;
        }
        self.written = number;
        Ok(())
    }

    fn read_slot(&self, slot: usize) -> Result<Option<(u64, UpstreamDirectory)>> {
        let name = SLOTS[slot];
        let read = self.folder.read(name).map_err(StorageFault::disk(name))?;
        let Some(bytes) = read else { return Ok(None) };
        let whole = (bytes.len() <= DIRECTORY_LIMIT).then(|| read_frame(&bytes, 0)).flatten();
        let Some(frame) = whole else {
            return Err(StorageFault::damaged(name, 0, "no intact directory"));
        };
        Ok(Some((frame.group.0, frame.decode()?)))
    }
}
