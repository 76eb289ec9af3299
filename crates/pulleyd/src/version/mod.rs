//! State that belongs to the replicated log and its versions: the data folder of a replica.
//!
//! A folder holds segments of the log, the newest snapshot, an identity file and a lock. All
//! writing of these happens on one thread ([`StorageWorker`]), with one sync for all that waits.
//! Beside the log lies the directory of upstreams, written by a thread of its own
//! ([`DirectoryWriter`]): it may be lost, and must not hold up the log.

mod audit_reader;
mod directory_file;
mod directory_writer;
mod disk_folder;
mod log_recovery;
mod log_storage;
mod record_frame;
mod storage_fault;
mod storage_worker;

pub use audit_reader::{AuditReader, read_audit};
pub use directory_file::{DirectoryFile, DirectoryReading};
pub use directory_writer::DirectoryWriter;
pub use disk_folder::{DiskFile, DiskFolder, SystemFolder};
pub use log_storage::LogStorage;
pub use storage_fault::{Result, StorageFault};
pub use storage_worker::StorageWorker;
