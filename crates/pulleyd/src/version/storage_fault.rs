//! Errors of the data folder.

use std::io;

use thiserror::Error;

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, StorageFault>;

/// Why a data folder cannot be used.
#[derive(Debug, Error)]
pub enum StorageFault {
    /// Another process has the folder open.
    #[error("another process uses this data folder")]
    Locked,
    /// The folder belongs to another host or cluster.
    #[error("this data folder belongs to {found}, not to {expected}")]
    WrongOwner {
        /// The owner of the folder.
        found: String,
        /// The replica that opened it.
        expected: String,
    },
    /// The folder holds a log but no identity file.
    #[error("this data folder holds {file} but no identity file; it is foreign or damaged")]
    NoIdentity {
        /// One of the files found.
        file: String,
    },
    /// Synced data can no longer be read.
    #[error("{file} is damaged at byte {offset}: {what}; nothing was changed")]
    Damaged {
        /// The file.
        file: String,
        /// The byte offset of the damage.
        offset: u64,
        /// What is wrong at that offset.
        what: String,
    },
    /// The file system reported an error.
    #[error("{file}: {source}")]
    Disk {
        /// The file or folder.
        file: String,
        /// The reported error.
        source: io::Error,
    },
    /// An earlier write failed; what is on disk is unknown until the process restarts.
    #[error("an earlier write failed; this replica's disk is not trusted until it is restarted")]
    EarlierWriteFailed,
    /// A record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The queue of the storage thread is full, or the thread has ended.
    #[error("the storage thread accepts no more writes")]
    QueueUnavailable,
}

impl StorageFault {
    /// Whether a write failed because the disk or quota is full. Unlike after a failed sync, no
    /// synced data can be lost then.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        let Self::Disk { source, .. } = self else { return false };
        matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
    }

    pub(crate) fn disk(file: &str) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::Disk { file: file.to_owned(), source }
    }

    pub(crate) fn damaged(file: &str, offset: usize, what: impl Into<String>) -> Self {
        Self::Damaged { file: file.to_owned(), offset: offset as u64, what: what.into() }
    }
}
