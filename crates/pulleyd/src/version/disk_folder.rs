//! The file system operations that the log needs, as traits so that tests can use a failing disk.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// An append-only file.
pub trait DiskFile: Send + fmt::Debug {
    /// Appends all bytes.
    ///
    /// # Errors
    /// Any file system error; how much was written is then unknown.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything written durable across a power loss.
    ///
    /// # Errors
    /// Any file system error; what is on disk is then unknown.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of files, without subfolders.
pub trait DiskFolder: Send + fmt::Debug {
    /// The type of its files.
    type File: DiskFile;

    /// Creates an empty file for appending, truncating an existing one.
    ///
    /// # Errors
    /// Any file system error.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Truncates a file to `length` bytes and opens it for appending.
    ///
    /// # Errors
    /// Any file system error.
    fn open_at(&mut self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Reads a whole file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// Any file system error.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// Any file system error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Any file system error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    /// Any file system error.
    fn file_names(&self) -> io::Result<Vec<String>>;

    /// Generates a random id for a new folder.
    fn generate_id(&mut self) -> u64;

    /// Makes creations, renames and removals durable across a power loss.
    ///
    /// # Errors
    /// Any file system error.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder in the file system of the operating system.
#[derive(Clone, Debug)]
pub struct SystemFolder {
    path: PathBuf,
}

impl SystemFolder {
    /// Opens a folder, creating it if it does not exist.
    ///
    /// # Errors
    /// Any file system error.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self { path: path.to_owned() })
    }

    /// Returns the path of a file in the folder.
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

    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            if let Ok(name) = item?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn generate_id(&mut self) -> u64 {
        rand::random()
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
