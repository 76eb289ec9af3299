//! The files in which a replica stores the upstreams it knows.

use pulley_core::process::{DIRECTORY_LIMIT, UpstreamDirectory};

use super::disk_folder::{DiskFile, DiskFolder};
use super::record_frame::{WriteGroup, push_frame, read_frame};
use super::storage_fault::{Result, StorageFault};

/// Two copies, written alternately. An interrupted write damages one, and the other still holds the
/// previously synced directory. Renaming a file over another would cost a second sync.
const FILE_NAMES: [&str; 2] = ["upstreams-a", "upstreams-b"];

/// The result of reading both copies from a folder.
#[derive(Debug, Default)]
pub struct RecoveredDirectory {
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
    last_write: u64,
    /// Which copies have a synced directory entry in the folder.
    has_synced_name: [bool; 2],
}

impl<D: DiskFolder> DirectoryFile<D> {
    /// Opens the directory files of a folder and reads the newest intact directory. Copies that
    /// cannot be read, including one left by an interrupted write, are reported as faults.
    pub fn open(folder: D) -> (Self, RecoveredDirectory) {
        let mut file = Self { folder, last_write: 0, has_synced_name: [false; 2] };
        let mut recovered = RecoveredDirectory::default();
        for copy in 0..FILE_NAMES.len() {
            let (number, directory) = match file.read_copy(copy) {
                Ok(Some(read)) => read,
                Ok(None) => continue,
                Err(fault) => {
                    recovered.faults.push(fault);
                    continue;
                }
            };
            file.has_synced_name[copy] = true;
            if number >= file.last_write {
                file.last_write = number;
                recovered.newest = Some(directory);
            }
        }
        (file, recovered)
    }

    /// Overwrites the older copy with this directory and syncs it.
    ///
    /// # Errors
    /// If the directory is too large, or cannot be written or synced. The newer copy stays intact.
    pub fn write(&mut self, directory: &UpstreamDirectory) -> Result<()> {
        let number = self.last_write + 1;
        let copy = usize::from(number % 2 == 1);
        let name = FILE_NAMES[copy];
        let mut buffer = Vec::new();
        push_frame(&mut buffer, WriteGroup(number), true, directory)?;
        if buffer.len() > DIRECTORY_LIMIT {
            return Err(StorageFault::damaged(name, buffer.len(), "the directory is too large"));
        }
        let fault = || StorageFault::disk(name);
        // An existing file is truncated in place, because a newly created one could reappear with
        // its old content after a crash.
        let opened = match self.has_synced_name[copy] {
            true => self.folder.open_at(name, 0),
            false => self.folder.create(name),
        };
        let mut file = opened.map_err(fault())?;
        file.append(&buffer).map_err(fault())?;
        file.sync().map_err(fault())?;
        if !self.has_synced_name[copy] {
            self.folder.sync().map_err(fault())?;
            self.has_synced_name[copy] = true;
        }
        self.last_write = number;
        Ok(())
    }

    fn read_copy(&self, copy: usize) -> Result<Option<(u64, UpstreamDirectory)>> {
        let name = FILE_NAMES[copy];
        let read = self.folder.read(name).map_err(StorageFault::disk(name))?;
        let Some(bytes) = read else { return Ok(None) };
        let intact = (bytes.len() <= DIRECTORY_LIMIT).then(|| read_frame(&bytes, 0)).flatten();
        let Some(frame) = intact else {
            return Err(StorageFault::damaged(name, 0, "no intact directory"));
        };
        Ok(Some((frame.group.0, frame.decode()?)))
    }
}
