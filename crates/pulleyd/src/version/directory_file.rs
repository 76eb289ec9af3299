//! The file in which a replica writes down the upstreams it knows.

use pulley_core::process::{DIRECTORY_LIMIT, UpstreamDirectory};

use super::disk_folder::{DiskFile, DiskFolder};
use super::record_frame::{WriteGroup, push_frame, read_frame};
use super::storage_fault::{Result, StorageFault};

/// The two places that are written in turn: a write that is cut short spoils one, and the other
/// holds what was synced before. Renaming a file over another would cost a second sync.
const SLOTS: [&str; 2] = ["upstreams-a", "upstreams-b"];

/// What a folder holds of directories.
#[derive(Debug, Default)]
pub struct DirectoryReading {
    /// The newest whole one.
    pub newest: Option<UpstreamDirectory>,
    /// Why others could not be read.
    pub faults: Vec<StorageFault>,
}

/// The directory's place in a data folder.
///
/// Nothing else rests on it: what cannot be read or written is left out, and the replica starts as
/// one that knows no upstream.
#[derive(Debug)]
pub struct DirectoryFile<D: DiskFolder> {
    folder: D,
    /// Numbers the writes; the slot of each is its number modulo two.
    written: u64,
    /// Which slots have a name that is on disk.
    named: [bool; 2],
}

impl<D: DiskFolder> DirectoryFile<D> {
    /// Opens the directory of a folder, and reads the newest whole one that it holds. What could
    /// not be read is told beside it; a write that was cut short is among that.
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

    /// Writes a directory over the older of the two, and syncs it.
    ///
    /// # Errors
    /// If it is too large, or cannot be written or synced; the newer one stays as it is.
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
        // One that has a name is emptied in place: made anew, it could turn up as it was before.
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
            return Err(StorageFault::damaged(name, 0, "no whole directory"));
        };
        Ok(Some((frame.group.0, frame.decode()?)))
    }
}
