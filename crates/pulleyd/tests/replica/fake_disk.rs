//! An in-memory disk that loses unsynced data in a crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use pulleyd::version::{DiskFile, DiskFolder};
use rand::Rng;
use rand::rngs::StdRng;

#[derive(Clone, Debug, Default)]
struct FileContent {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct DiskState {
    id: u64,
    files: BTreeMap<u64, FileContent>,
    next_file: u64,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    fail_syncs: bool,
    fail_appends: bool,
    syncs: u64,
}

/// An in-memory folder.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk(Arc<Mutex<DiskState>>);

/// A file in the folder.
#[derive(Debug)]
pub(crate) struct FakeFile {
    disk: FakeDisk,
    file: u64,
}

impl FakeDisk {
    fn with<T>(&self, act: impl FnOnce(&mut DiskState) -> T) -> T {
        act(&mut self.0.lock().expect("no test thread panicked while holding it"))
    }

    /// Creates an empty disk.
    pub(crate) fn new(id: u64) -> Self {
        let disk = Self::default();
        disk.with(|state| state.id = id);
        disk
    }

    /// Loses unsynced data. A part of each file's unsynced bytes may remain, damaged or not, and
    /// file names may be as before or after the last change.
    pub(crate) fn crash(&self, random: &mut StdRng) {
        self.with(|state| {
            for file in state.files.values_mut() {
                let unsynced = file.bytes.len() - file.synced;
                let kept = random.random_range(0..=unsynced);
                file.bytes.truncate(file.synced + kept);
                if kept > 0 && random.random_bool(0.5) {
                    let at = file.synced + random.random_range(0..kept);
                    file.bytes[at] ^= 0x5a;
                }
                file.synced = file.bytes.len();
            }
            if random.random_bool(0.5) {
                state.names = state.synced_names.clone();
            }
            state.synced_names = state.names.clone();
            state.fail_syncs = false;
        });
    }

    /// Makes syncs fail, or work again.
    pub(crate) fn fail_syncs(&self, fail: bool) {
        self.with(|state| state.fail_syncs = fail);
    }

    /// Makes appends fail as on a full disk, or work again.
    pub(crate) fn fail_appends(&self, fail: bool) {
        self.with(|state| state.fail_appends = fail);
    }

    /// Returns the number of file syncs.
    pub(crate) fn syncs(&self) -> u64 {
        self.with(|state| state.syncs)
    }

    /// Changes a byte of a file, counted from its beginning or, if negative, from its end.
    pub(crate) fn damage(&self, name: &str, offset: isize) {
        self.with(|state| {
            let file = state.names[name];
            let bytes = &mut state.files.get_mut(&file).expect("named files exist").bytes;
            let length = isize::try_from(bytes.len()).expect("test files are small");
            let at = if offset < 0 { length + offset } else { offset };
            bytes[usize::try_from(at).expect("within the file")] ^= 0x5a;
        });
    }
}

impl DiskFile for FakeFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.with(|state| {
            let file = state.files.get_mut(&self.file).expect("files are kept");
            if state.fail_appends {
                file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            file.bytes.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.with(|state| {
            state.syncs += 1;
            if state.fail_syncs {
                return Err(io::Error::other("the disk does not answer"));
            }
            let file = state.files.get_mut(&self.file).expect("files are kept");
            file.synced = file.bytes.len();
            Ok(())
        })
    }
}

impl DiskFolder for FakeDisk {
    type File = FakeFile;

    fn create(&mut self, name: &str) -> io::Result<FakeFile> {
        let file = self.with(|state| {
            state.next_file += 1;
            state.files.insert(state.next_file, FileContent::default());
            state.names.insert(name.to_owned(), state.next_file);
            state.next_file
        });
        Ok(FakeFile { disk: self.clone(), file })
    }

    fn open_at(&mut self, name: &str, length: u64) -> io::Result<FakeFile> {
        let file = self.with(|state| {
            let file = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
            let content = state.files.get_mut(&file).expect("named files exist");
            content.bytes.truncate(usize::try_from(length).expect("test files are small"));
            content.synced = content.bytes.len();
            Ok::<u64, io::Error>(file)
        })?;
        Ok(FakeFile { disk: self.clone(), file })
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.with(|state| state.names.get(name).map(|file| state.files[file].bytes.clone())))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.with(|state| {
            let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
            state.names.insert(to.to_owned(), file);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with(|state| state.names.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound))?;
        Ok(())
    }

    fn file_names(&self) -> io::Result<Vec<String>> {
        Ok(self.with(|state| state.names.keys().cloned().collect()))
    }

    fn generate_id(&mut self) -> u64 {
        self.with(|state| state.id)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.with(|state| {
            if state.fail_syncs {
                return Err(io::Error::other("the disk does not answer"));
            }
            state.synced_names = state.names.clone();
            Ok(())
        })
    }
}
