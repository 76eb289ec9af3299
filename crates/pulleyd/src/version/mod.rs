//! Persistent state of the replicated log: the data folder of a replica.
//!
//! A folder holds log segments, the newest snapshot, an identity file and a lock. They are all
//! written by one thread ([`StorageWorker`]), with one sync for all queued batches. The folder also
//! holds the directory of upstreams, which a separate thread writes ([`DirectoryWriter`]): losing
//! it is acceptable, and it must not delay the log.

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
pub use directory_file::{DirectoryFile, RecoveredDirectory};
pub use directory_writer::DirectoryWriter;
pub use disk_folder::{DiskFile, DiskFolder, SystemFolder};
pub use log_storage::LogStorage;
pub use storage_fault::{Result, StorageFault};
pub use storage_worker::StorageWorker;
