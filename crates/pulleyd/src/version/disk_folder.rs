//! The few things the log needs of a file system, so that tests can put a failing disk under it.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A file that is only ever appended to.
pub trait DiskFile: Send + fmt::Debug {
    /// Writes all bytes at the end.
    ///
    /// # Errors
    /// Whatever the file system reports; how much was written is then unknown.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes what was written last through a power loss.
    ///
    /// # Errors
    /// Whatever the file system reports; what is on disk is then unknown.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of files, without subfolders.
pub trait DiskFolder: Send + fmt::Debug {
    /// The files' type.
    type File: DiskFile;

    /// Makes an empty file for appending; one that exists is emptied.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for appending after its first `length` bytes; the rest is cut off.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn open_at(&mut self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Reads a whole file; `None` if there is none.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Renames a file over another.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// The names of all files, in order.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Draws an id for a folder that is new.
    fn draw_id(&mut self) -> u64;

    /// Makes creations, renames and removals last through a power loss.
    ///
    /// # Errors
    /// Whatever the file system reports.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the operating system.
#[derive(Clone, Debug)]
pub struct SystemFolder {
    path: PathBuf,
}

impl SystemFolder {
    /// Opens a folder, and makes it if it is not there.
    ///
    /// # Errors
    /// Whatever the file system reports.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self { path: path.to_owned() })
    }

    /// Where a file of the folder is.
    #[must_use]
    pub fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl DiskFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl DiskFolder for SystemFolder {
    type File = File;

    fn create(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).write(true).truncate(true).open(self.path_of(name))
    }

    fn open_at(&mut self, name: &str, length: u64) -> io::Result<File> {
        let file = OpenOptions::new().write(true).open(self.path_of(name))?;
        file.set_len(length)?;
        file.sync_all()?;
        drop(file);
        OpenOptions::new().append(true).open(self.path_of(name))
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path_of(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path_of(from), self.path_of(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path_of(name))
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            if let Ok(name) = item?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn draw_id(&mut self) -> u64 {
        rand::random()
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
